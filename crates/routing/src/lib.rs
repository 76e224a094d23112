//! What operators configure and which replica a request goes to.
//!
//! Everything here is a pure function of its arguments: no clock, no socket.
//!
//! - [`tenant`]: tenants, their keys and limits;
//! - [`configuration`]: a whole, versioned configuration and what makes it valid;
//! - [`table`]: from host and path to a route;
//! - [`replica`]: the replicas of services, as discovery lists them;
//! - [`select`]: the choice of a replica by cost.

pub mod configuration;
pub mod replica;
pub mod select;
pub mod table;
pub mod tenant;

pub use configuration::{Backend, Configuration, Engine, Limits, Route, RouteKind, Service};
pub use replica::{Replica, ReplicaList, ReplicaState};
pub use select::{Affinity, Candidate, CostWeights, choose, stable_hash};
pub use table::RouteTable;
pub use tenant::{ApiKey, Credential, KeyRing, KeySecret, RateLimit, Tenant};
