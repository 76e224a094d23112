//! Shape of a deployment, read from a file.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Region of each zone.
    pub zones: BTreeMap<String, String>,
    pub gateways: Machines,
    pub ledger: Machines,
    pub callers: Callers,
    pub planned: Planned,
    pub services: Vec<Service>,
    pub routes: Vec<Route>,
    pub tenants: Vec<Tenant>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machines {
    pub machines: usize,
    /// Further machines that join during the run.
    #[serde(default)]
    pub spares: usize,
    pub memory_mb: usize,
    /// Part of a core that a process has; absent means no limit.
    pub core_share: Option<f64>,
}

/// Number of callers of each kind.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    pub programs: usize,
    pub streams: usize,
    /// Callers that continue turns late in their retention.
    pub keepers: usize,
    /// Longest time between two requests of a program, in milliseconds.
    pub think_ms: u64,
}

/// Pauses between two pieces of planned work of each series, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Planned {
    /// Number of series of gateway stops that run side by side.
    pub gateway_series: usize,
    pub gateway_pause_ms: u64,
    pub ledger_pause_ms: u64,
    pub reload_pause_ms: u64,
    pub configuration_pause_ms: u64,
    pub release_pause_ms: u64,
    pub retirement_pause_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    pub replicas: usize,
    pub slots: u32,
    pub max_conns: u32,
    #[serde(default)]
    pub is_model: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    Safe,
    Unsafe,
    Stream,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    pub kind: RouteKind,
    pub service: String,
    pub timeout_ms: u64,
    /// Present on routes that keep turns.
    pub retention_s: Option<f64>,
    #[serde(default)]
    pub resumable: bool,
    pub allowed_regions: Option<Vec<String>>,
}

impl Route {
    pub fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }

    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    pub fn retention(&self) -> Duration {
        Duration::from_secs_f64(self.retention_s.unwrap_or_default())
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub key: String,
    #[serde(default)]
    pub rate_per_s: f64,
    #[serde(default)]
    pub burst: f64,
    pub allowed_regions: Option<Vec<String>>,
}

impl Shape {
    pub fn read(path: &Path) -> Self {
        let text = std::fs::read_to_string(path).expect("a file with a shape");
        toml_edit::de::from_str(&text).expect("a shape")
    }

    pub fn zone(&self, number: usize) -> &str {
        self.zones.keys().nth(number % self.zones.len()).expect("a zone")
    }

    pub fn retaining_routes(&self) -> Vec<&Route> {
        self.routes.iter().filter(|route| route.retention_s.is_some()).collect()
    }

    pub fn route_of_kind(&self, kind: RouteKind) -> &Route {
        self.routes.iter().find(|route| route.kind == kind).expect("a route of each kind")
    }

    pub fn resumable_route(&self) -> &Route {
        self.routes.iter().find(|route| route.resumable).expect("a resumable route")
    }
}
