//! Limits of tenants over all gateways.
//!
//! One leader issues permits for requests, and gateways spend them within a short time.
//! A turn asks along with its reservation and brings some permits for the tool calls that
//! follow it; a gateway without any asks for one. A gateway that is cut off gets none, and
//! those that it has end by themselves.
//!
//! - [`tolerance`]: how exact a limit must be, and what follows from it;
//! - [`bucket`]: what a tenant may still send now;
//! - [`permit`]: what gateways ask for and get;
//! - [`issuer`]: the leader's side;
//! - [`purse`]: a gateway's side.
//!
//! Nothing here reads a clock, opens a socket or knows its callers.

pub mod bucket;
pub mod issuer;
pub mod permit;
pub mod purse;
pub mod tolerance;

pub use bucket::TokenBucket;
pub use issuer::{PermitIssuer, TenantUse};
pub use permit::{PermitAnswer, PermitGrant, PermitRequest, Purpose};
pub use purse::PermitPurse;
pub use tolerance::LimitTolerance;
