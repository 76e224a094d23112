//! What gateways ask for and get.

use std::time::Duration;

use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use serde::{Deserialize, Serialize};

/// Asks for a permit for one request, and perhaps some for later ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Whose request it is.
    pub tenant: TenantId,
    /// The tenant's limit, as the gateway knows it.
    pub limit: RateLimit,
    /// Version of the configuration that says so. The newest one that the leader was told
    /// counts.
    pub configuration: u64,
    /// Permits for later requests that the gateway could use, beside the one.
    pub spare: u32,
}

/// What a permit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose<'a> {
    /// The first turn of a program.
    Begin(&'a str),
    /// A further turn of a program.
    GoOn(&'a str),
    /// A request whose program is not told, or that has none.
    Single,
}

/// Permits for one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// How many, from 1 on.
    pub permits: u32,
    /// How long they hold, from the time of asking on.
    pub life: Duration,
}

/// Permits that were issued to one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedPermits {
    /// The tenant.
    pub tenant: TenantId,
    /// How many.
    pub count: u32,
}

/// What becomes of a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may run.
    Granted(PermitGrant),
    /// The tenant has used up what it may send; there will be room after this time.
    OverLimit(Duration),
}
