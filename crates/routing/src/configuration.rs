//! A whole configuration: routes, services and limits under one version.

use std::collections::BTreeSet;
use std::time::Duration;

use calicohoist_types::{Finding, Findings};

use crate::cold::ColdLimit;
use crate::eligibility::HomeRegions;
use crate::tenant::{self, Tenant};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The answer is a series of events; a request runs at most once unless the
    /// route is resumable.
    Stream,
}

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and on which terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Host header, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is in time.
    pub target_latency: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub backends: Vec<Backend>,
    /// Most replicas that may be given one request.
    pub max_attempts: u32,
    /// Whether turns are kept, so that later ones bring only what is new.
    pub retain: bool,
    /// How long a turn and its program's account are kept after their last use.
    pub retention: Duration,
    /// Whether a broken stream may be continued from its last event.
    pub resumable: bool,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Where its requests may be served and kept.
    pub homes: HomeRegions,
}

impl Route {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request whose uniformly distributed hash is `hash`.
    pub fn backend_for(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut left = hash.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }
}

/// What is known of a service's inference engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Tokens that a replica's memory holds.
    pub memory_tokens: u64,
}

/// A service: a set of equal replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name in routes and in discovery.
    pub name: String,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Set where replicas are inference engines.
    pub engine: Option<Engine>,
    /// What a replica bears that has just started; `None` for as much as any other.
    pub cold: Option<ColdLimit>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a request's head may take.
    pub header_timeout: Duration,
    /// Longest time that a kept connection may rest.
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

/// A whole configuration. The one with the highest version is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Orders configurations.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Who may send requests; without any, requests need no key.
    pub tenants: Vec<Tenant>,
}

impl Configuration {
    /// Checks everything and reports all findings at once.
    ///
    /// # Errors
    /// When a route names an unknown service, shares its place with another, has no
    /// weight or no time, a name stands twice, two tenants share a key, or a limit is no
    /// amount.
    pub fn validate(&self) -> Result<(), Findings> {
        let mut found = Vec::new();
        self.check_services(&mut found);
        let mut places = BTreeSet::new();
        for (number, route) in self.routes.iter().enumerate() {
            let field = format!("routes[{number}]");
            self.check_route(&field, route, &mut found);
            if !places.insert((&route.host, &route.path_prefix)) {
                found.push(Finding::of_field(
                    field,
                    "another route has the same host and prefix",
                    "one route for each host and prefix",
                ));
            }
        }
        tenant::check(&self.tenants, &mut found);
        Findings::into_result(found)
    }

    fn check_services(&self, found: &mut Vec<Finding>) {
        let mut names = BTreeSet::new();
        for (number, service) in self.services.iter().enumerate() {
            if !names.insert(&service.name) {
                found.push(Finding::of_field(
                    format!("services[{number}].name"),
                    format!("{:?} stands twice", service.name),
                    "each name once",
                ));
            }
        }
    }

    fn check_route(&self, field: &str, route: &Route, found: &mut Vec<Finding>) {
        let is_known = |name: &str| self.services.iter().any(|service| service.name == name);
        for backend in &route.backends {
            if !is_known(&backend.service) {
                found.push(Finding::of_field(
                    format!("{field}.backends"),
                    format!("service {:?} is unknown", backend.service),
                    "a name that stands under services",
                ));
            }
        }
        let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        if total == 0 {
            found.push(Finding::of_field(
                format!("{field}.backends"),
                "the weights add up to 0",
                "a sum above 0",
            ));
        }
        if route.timeout.is_zero() {
            found.push(Finding::of_field(format!("{field}.timeout"), "is 0", "above 0"));
        }
        let has_slashes = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
        if !has_slashes {
            found.push(Finding::of_field(
                format!("{field}.path_prefix"),
                format!("{:?} lacks a slash", route.path_prefix),
                "a path that begins and ends with a slash",
            ));
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
