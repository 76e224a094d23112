//! Identifiers, units, resources and outcomes shared by the other crates.
//!
//! Nothing in this crate performs I/O, reads a clock or generates random numbers.

pub mod backend_api;
pub mod chat;
pub mod digest;
pub mod finding;
pub mod ids;
pub mod machine;
pub mod openai;
pub mod outcome;
pub mod resource;
pub mod time;

pub use chat::{ChatMessage, Role, Usage, estimate_tokens};
pub use digest::{Digest, HistoryDigest};
pub use finding::{Finding, Findings, Location};
pub use ids::{
    AttemptId, CallId, EngineId, IdempotencyKey, Incarnation, ModelId, NodeId, ProgramId, Region,
    RequestId, Revision, ServiceId, TenantId, Zone, is_valid_name,
};
pub use machine::{MachineState, MachineStatus};
pub use outcome::{NotRunReason, Outcome};
pub use resource::{
    EngineSpec, ModelSpec, Resource, ResourceKey, ResourceKind, ResourceSpec, ServiceSpec,
    TenantSpec,
};
pub use time::Moment;
