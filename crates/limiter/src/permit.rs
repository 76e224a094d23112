//! Messages between gateways and the leader.

use std::time::Duration;

use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use serde::{Deserialize, Serialize};

/// Request for one permit, and optionally for spare ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Tenant that sent the request.
    pub tenant: TenantId,
    /// The tenant's limit in the gateway's configuration.
    pub limit: RateLimit,
    /// Version of that configuration. The leader uses the limit with the highest version.
    pub configuration: u64,
    /// Number of additional permits for later requests.
    pub spare: u32,
}

/// Kind of request that a permit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitPurpose<'a> {
    /// The first turn of the program with this id.
    FirstTurn(&'a str),
    /// A later turn of the program with this id.
    LaterTurn(&'a str),
    /// A request without a known program.
    NoProgram,
}

/// Permits granted to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Number of permits, at least 1.
    pub permits: u32,
    /// Time to live, counted from the moment the gateway sent its request.
    pub life: Duration,
}

/// Number of permits issued to one tenant, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedPermits {
    /// The tenant.
    pub tenant: TenantId,
    /// Number of permits.
    pub count: u32,
}

/// Answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The request may run.
    Granted(PermitGrant),
    /// The tenant has reached its limit; retry after this time.
    OverLimit(Duration),
}
