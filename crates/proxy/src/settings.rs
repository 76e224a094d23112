//! Startup settings of a gateway.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_discovery::{ListPace, ListReader};
use calicohoist_routing::Topology;

use crate::dialect::Dialect;

/// Settings of a gateway.
#[derive(Clone)]
pub struct ProxySettings {
    /// Name of the gateway in logs and load reports.
    pub name: String,
    /// Zone of the gateway.
    pub zone: String,
    /// Regions of the zones.
    pub topology: Arc<Topology>,
    /// Listen address for client requests.
    pub http: SocketAddr,
    /// Listen address for readiness checks.
    pub ready: SocketAddr,
    /// Addresses of the ledger machines to contact first.
    pub ledger_seeds: Vec<Ipv4Addr>,
    /// Port of the ledger for gateways.
    pub ledger_port: u16,
    /// Reads the replica list when no leader provides it.
    pub list: ListReader,
    /// Intervals between readings of the list.
    pub list_pace: ListPace,
    /// Time between a shutdown request and the termination of the process.
    pub grace: Duration,
    /// Memory of the machine in bytes, if known.
    pub memory: Option<usize>,
    /// Header and document format of the platform.
    pub dialect: Arc<dyn Dialect>,
}
