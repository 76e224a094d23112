//! Headers that are not passed on.

use calicohoist_telemetry::metrics::Counter;
use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName};

use crate::dialect::{Dialect, HeaderOwner};

static HEADERS_DROPPED: Counter = Counter::new(
    "calicohoist_proxy_headers_dropped_total",
    "Headers of callers that only a gateway may set, by header",
    "header",
);

/// Drops what a caller may not tell a replica, and what concerns its connection only.
pub fn keep_callers(dialect: &dyn Dialect, headers: &mut HeaderMap) {
    remove_connection_headers(dialect, headers);
    for name in owned_by(dialect, headers, HeaderOwner::Gateway) {
        HEADERS_DROPPED.inc(name.as_str());
        headers.remove(name);
    }
}

/// Drops what concerns one connection only, and what `Connection` names.
pub fn remove_connection_headers(dialect: &dyn Dialect, headers: &mut HeaderMap) {
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
    for name in owned_by(dialect, headers, HeaderOwner::Connection) {
        headers.remove(name);
    }
}

fn owned_by(dialect: &dyn Dialect, headers: &HeaderMap, owner: HeaderOwner) -> Vec<HeaderName> {
    headers.keys().filter(|name| dialect.owner_of(name) == owner).cloned().collect()
}
