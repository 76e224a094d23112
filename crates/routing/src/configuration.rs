//! Versioned configurations of routes, services and tenants, and their validation.

use std::collections::BTreeSet;
use std::time::Duration;

use calicohoist_types::{Finding, Findings};

use crate::cold::ColdLimit;
use crate::eligibility::HomeRegions;
use crate::tenant::{self, Tenant};

/// Retry semantics and response type of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// The response is an event stream. Requests run at most once, unless the route is resumable.
    Stream,
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Routing rule for requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Value of the host header, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Retry semantics and response type.
    pub kind: RouteKind,
    /// Request timeout.
    pub timeout: Duration,
    /// Target time until the response, or until the first event of a stream.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights; not empty.
    pub backends: Vec<Backend>,
    /// Maximum number of replicas to which one request is sent.
    pub max_attempts: u32,
    /// Whether turns are retained, so that later turns contain only new messages.
    pub retain: bool,
    /// How long a turn and the account of its program are retained after their last use.
    pub retention: Duration,
    /// Whether an interrupted stream may be resumed after its last event.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Regions in which requests may be served and their content stored.
    pub homes: HomeRegions,
}

impl Route {
    /// Returns whether a request may be retried after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Iterates over the services that the route sends requests to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let backends = self.backends.iter().filter(|backend| backend.weight > 0);
        backends.map(|backend| backend.service.as_str())
    }

    /// Returns whether the route sends requests to the service.
    pub fn sends_to(&self, service: &str) -> bool {
        self.services().any(|name| name == service)
    }

    /// Returns the service for a request with this hash, which must be uniformly distributed.
    pub fn backend_for(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut remaining = hash.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remaining < weight {
                return Some(&backend.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Properties of the inference engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that one replica runs concurrently.
    pub slots: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Capacity of a replica's memory, in tokens.
    pub memory_tokens: u64,
}

/// A service: a set of equivalent replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name in routes and in discovery.
    pub name: String,
    /// Path at which a replica reports its health and identity; `None` if unknown.
    pub health_path: Option<String>,
    /// Maximum number of connections to one replica, from all gateways together.
    pub max_connections: u32,
    /// Engine properties, if the replicas are inference engines.
    pub engine: Option<Engine>,
    /// Load limit of recently started replicas; `None` for no limit.
    pub cold: Option<ColdLimit>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Timeout of an idle keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration. The one with the highest version is in effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Tenants. If there are none, requests need no API key.
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Validates the configuration and reports all findings at once.
    ///
    /// # Errors Returns findings for routes with an unknown service, a duplicate host and path
    /// prefix, a malformed prefix, a total weight of 0 or a timeout of 0; for duplicate or invalid
    /// names; for API keys of several tenants; and for limits that are negative or not finite.
    pub fn validate(&self) -> Result<(), Findings> {
        let mut findings = Vec::new();
        self.check_services(&mut findings);
        let mut prefixes = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let field = format!("routes[{index}]");
            self.check_route(&field, route, &mut findings);
            if !prefixes.insert((&route.host, &route.path_prefix)) {
                findings.push(Finding::of_field(
                    field,
                    "another route has the same host and prefix",
                    "one route for each host and prefix",
                ));
            }
        }
        tenant::check(&self.tenants, &mut findings);
        Findings::into_result(findings)
    }

    fn check_services(&self, findings: &mut Vec<Finding>) {
        let mut names = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                findings.push(Finding::of_field(
                    format!("services[{index}].name"),
                    format!("{:?} stands twice", service.name),
                    "each name once",
                ));
            }
        }
    }

    fn check_route(&self, field: &str, route: &Route, findings: &mut Vec<Finding>) {
        let is_known = |name: &str| self.services.iter().any(|service| service.name == name);
        for backend in &route.backends {
            if !is_known(&backend.service) {
                findings.push(Finding::of_field(
                    format!("{field}.backends"),
                    format!("service {:?} is unknown", backend.service),
                    "a name that stands under services",
                ));
            }
        }
        let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            findings.push(Finding::of_field(
                format!("{field}.backends"),
                "the weights add up to 0",
                "a sum above 0",
            ));
        }
        if route.timeout.is_zero() {
            findings.push(Finding::of_field(format!("{field}.timeout"), "is 0", "above 0"));
        }
        let has_slashes = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
        if !has_slashes {
            findings.push(Finding::of_field(
                format!("{field}.path_prefix"),
                format!("{:?} lacks a slash", route.path_prefix),
                "a path that begins and ends with a slash",
            ));
        }
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
