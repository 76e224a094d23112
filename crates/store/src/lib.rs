//! Durable program records and resources over the replicated log.
//!
//! - [`state`]: replicated state of each Raft group;
//! - [`commands`]: commands that change the state, with their results;
//! - [`queries`]: read-only queries and their answers;
//! - [`clock`]: timestamps of the commands of program groups;
//! - [`nodes`]: gateway leases, kept in memory by the leader of group 0;
//! - [`service`]: one store machine as a state machine without I/O;
//! - [`router`]: client-side routing with leader discovery, retries and timeouts;
//! - [`driver`]: threads, sockets and disk I/O of the service.

pub mod broken_rules;
pub mod clock;
pub mod commands;
pub mod driver;
pub mod loads;
mod metrics;
pub mod nodes;
pub mod protocol;
pub mod queries;
pub mod router;
pub mod service;
pub mod state;

pub use commands::{Command, Output};
pub use protocol::{
    EngineLoad, Heartbeat, HeartbeatReply, LoadsUpdate, NodeInfo, NodeRef, StoreReply, StoreRequest,
};
pub use queries::{Answer, Query};
pub use router::{RouterEvent, StoreRouter};
pub use service::{StoreAction, StoreService};
pub use state::{GroupMap, GroupState};
