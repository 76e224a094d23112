//! Configuration documents of a shape.

use serde_json::{Value, json};

use crate::shape::{Route, RouteKind, Shape};
use crate::support::HOST;

/// Route that goes and comes back.
pub const PASSING_ROUTE: &str = "passing";
/// Key of a tenant that goes and comes back with this route.
pub const PASSING_KEY: &str = "key-of-guest";
/// Timeout of the routes of tools in configurations that shorten it, in milliseconds.
pub const SHORT_TIMEOUT_MS: u64 = 1_500;

/// What a configuration has beyond the routes of the shape, and what differs in these.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variation {
    pub has_passing_route: bool,
    /// Number of further routes that are not used.
    pub extra_routes: usize,
    pub has_short_timeouts: bool,
    pub has_small_limits: bool,
}

pub fn document(shape: &Shape, version: u64, variation: Variation) -> Value {
    let mut routes: Vec<Value> =
        shape.routes.iter().map(|route| route_entry(route, variation)).collect();
    let safe = route_entry(shape.route_of_kind(RouteKind::Safe), variation);
    let named = |name: &str| {
        let mut entry = safe.clone();
        entry["name"] = json!(name);
        entry["path_prefix"] = json!(format!("/{name}/"));
        entry
    };
    let mut tenants: Vec<Value> = shape
        .tenants
        .iter()
        .map(|tenant| {
            let mut entry = json!({
                "name": tenant.name, "api_keys": [tenant.key], "rate_per_s": tenant.rate_per_s,
                "burst": tenant.burst,
            });
            if let Some(regions) = &tenant.allowed_regions {
                entry["allowed_regions"] = json!(regions);
            }
            entry
        })
        .collect();
    if variation.has_passing_route {
        routes.push(named(PASSING_ROUTE));
        tenants.push(json!({ "name": "guest", "api_keys": [PASSING_KEY] }));
    }
    routes.extend((0..variation.extra_routes).map(|number| named(&format!("extra-{number}"))));
    let services: Vec<Value> = shape
        .services
        .iter()
        .map(|service| {
            let mut entry = json!({
                "name": service.name, "health_path": "/health", "max_conns": service.max_conns,
            });
            if service.is_model {
                entry["engine"] = json!({
                    "slots": service.slots, "kv_capacity": 127_559, "tokens_per_event": 9,
                });
            }
            entry
        })
        .collect();
    let max_body_bytes = if variation.has_small_limits { 262_144 } else { 4_194_304 };
    json!({
        "version": version, "routes": routes, "services": services, "tenants": tenants,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}

/// Returns a document that must be rejected: a route names an unknown service.
pub fn invalid_document(shape: &Shape, version: u64) -> Value {
    let mut document = document(shape, version, Variation::default());
    document["routes"][0]["service"] = json!("unknown");
    document
}

fn route_entry(route: &Route, variation: Variation) -> Value {
    let is_stream = route.kind == RouteKind::Stream;
    let timeout_ms = match variation.has_short_timeouts && !is_stream {
        true => SHORT_TIMEOUT_MS,
        false => route.timeout_ms,
    };
    let kind = match route.kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Stream => "stream",
    };
    let mut entry = json!({
        "name": route.name, "host": HOST, "path_prefix": route.prefix(), "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1,
        "service": route.service, "max_attempts": if kind == "safe" { 2 } else { 1 },
        "retain": route.retention_s.is_some(), "retention_s": route.retention_s.unwrap_or(60.0),
        "sticky": is_stream, "resumable": route.resumable, "target_gap_ms": 200,
    });
    if let Some(regions) = &route.allowed_regions {
        entry["allowed_regions"] = json!(regions);
    }
    entry
}
