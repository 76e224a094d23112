//! The replicated log: elections, quorum commit, durable storage and snapshots.
//!
//! Layers, each knowing only those above it in this list:
//!
//! - [`message`]: what replicas say to each other, and what a log holds;
//! - [`raft`]: the protocol of one group as a state machine without I/O;
//! - [`storage`]: one checksummed log for all groups of a machine;
//! - [`node`]: all groups of a machine, with group commit and state machines.
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
