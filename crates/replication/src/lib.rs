//! Replicated log: leader election, quorum commit, durable storage and snapshots.
//!
//! The layers, each depending only on those listed before it:
//!
//! - [`message`]: messages between replicas, and log entries;
//! - [`raft`]: the protocol of one group, as a state machine without I/O;
//! - [`storage`]: a checksummed log file shared by all groups of a machine;
//! - [`node`]: all groups of a machine, with group commit and their state machines.
//!
//! The protocol is Raft with pre-vote, check-quorum, leader leases for reads,
//! learners and single-step membership changes (Ongaro, *Consensus: Bridging
//! Theory and Practice*, 2014).

pub mod message;
pub mod node;
pub mod raft;
pub mod storage;

pub use message::{
    Entry, EntryKind, GroupId, GroupMessage, HardState, Index, Membership, Message, ReplicaId,
    SegmentId, Snapshot, Term,
};
pub use node::{Node, NodeEvent, NodeSettings, SealedSegment, SegmentPiece, StateMachine, Ticket};
pub use raft::{Raft, RaftSettings, ReadReadiness};
pub use storage::{DirectoryDisk, Disk, DiskError, DiskLog, Recovered};
