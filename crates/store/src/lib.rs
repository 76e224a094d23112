//! Durable program records and resources over the replicated log.
//!
//! - [`state`]: what the groups replicate;
//! - [`commands`]: everything that changes it, each with its result;
//! - [`queries`]: everything that reads it;
//! - [`nodes`]: leases of gateways, held by the leader of group 0 in memory;
//! - [`service`]: one store machine as a state machine without I/O;
//! - [`router`]: the client side of it: finds leaders, repeats, gives up;
//! - [`driver`]: threads, sockets and disk around the service.

pub mod broken;
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
