//! Removal of headers that must not be forwarded.

use calicohoist_telemetry::metrics::Counter;
use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};

use crate::dialect::{Dialect, HeaderOwner};

static HEADERS_DROPPED: Counter = Counter::new(
    "calicohoist_proxy_headers_dropped_total",
    "Headers of callers that only a gateway may set, by header",
    "header",
);

/// Removes headers that only a gateway may set, and hop-by-hop headers.
pub fn remove_gateway_headers(dialect: &dyn Dialect, headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(dialect, headers);
    for name in names_owned_by(dialect, headers, HeaderOwner::Gateway) {
        HEADERS_DROPPED.inc(name.as_str());
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, including those named by `Connection`.
pub fn remove_hop_by_hop_headers(dialect: &dyn Dialect, headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in names_owned_by(dialect, headers, HeaderOwner::Connection) {
        headers.remove(name);
    }
}

fn names_owned_by(
    dialect: &dyn Dialect,
    headers: &HeaderMap,
    owner: HeaderOwner,
) -> Vec<HeaderName> {
    headers.keys().filter(|name| dialect.owner_of(name) == owner).cloned().collect()
}
