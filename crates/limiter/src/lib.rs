//! Distributed rate limiting of tenants.
//!
//! The leader of the ledger issues permits for requests, and gateways use them before they expire.
//! A gateway requests permits together with the reservation of a turn, including spare permits for
//! the tool calls that follow the turn. A gateway without a permit requests a single one. A
//! gateway that is partitioned from the leader receives no permits, and the ones it caches expire.
//! Issued permits are recorded in the replicated log, so that a new leader can restore the counts.
//!
//! - [`tolerance`]: by how much a limit may be exceeded, and the bounds derived from that;
//! - [`window`]: sliding-window counter of issued permits;
//! - [`permit`]: messages between gateways and the leader;
//! - `account`: the leader's state of one tenant;
//! - [`issuer`]: the leader's side;
//! - [`permit_cache`]: the gateway's side.
//!
//! This crate performs no I/O and does not read the clock.

mod account;
pub mod issuer;
pub mod permit;
pub mod permit_cache;
pub mod tolerance;
pub mod window;

pub use issuer::{IssueOutcome, PermitIssuer, TenantUsage};
pub use permit::{IssuedPermits, PermitAnswer, PermitGrant, PermitPurpose, PermitRequest};
pub use permit_cache::PermitCache;
pub use tolerance::LimitTolerance;
pub use window::IssueWindow;
