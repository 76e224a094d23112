//! Limits of tenants over all gateways.
//!
//! One leader issues permits for requests, and gateways spend them within a short time.
//! A turn asks along with its reservation and brings some permits for the tool calls that
//! follow it; a gateway without any asks for one. A gateway that is cut off gets none, and
//! those that it has end by themselves. What was issued is noted in the leader's log, so
//! that the next leader knows it.
//!
//! - [`tolerance`]: how exact a limit must be, and what follows from it;
//! - [`window`]: what a tenant was given lately;
//! - [`permit`]: what gateways ask for and get;
//! - `account`: what a leader knows of one tenant;
//! - [`issuer`]: the leader's side;
//! - [`purse`]: a gateway's side.
//!
//! Nothing here reads a clock, opens a socket or knows its callers.

mod account;
pub mod issuer;
pub mod permit;
pub mod purse;
pub mod tolerance;
pub mod window;

pub use issuer::{Issued, PermitIssuer, TenantUse};
pub use permit::{IssuedPermits, PermitAnswer, PermitGrant, PermitRequest, Purpose};
pub use purse::PermitPurse;
pub use tolerance::LimitTolerance;
pub use window::IssueWindow;
