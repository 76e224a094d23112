//! A request that was read whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::select::Affinity;
use calicohoist_routing::{Route, RouteKind, RouteTable, Service, stable_hash};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};

use crate::dialect::CallHead;

/// A request that was read whole.
pub struct Call {
    /// The routes that were in force when it came.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<Route>,
    /// What its caller says about it.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers that are passed on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head had been read.
    pub received: Instant,
    /// When it must have been answered.
    pub deadline: Instant,
}

impl Call {
    /// A request on `route`.
    pub fn new(
        table: Arc<RouteTable>,
        route: Arc<Route>,
        head: CallHead,
        parts: Parts,
        body: Bytes,
        received: Instant,
    ) -> Self {
        let patience = head.deadline.map_or(route.timeout, |own| own.min(route.timeout));
        let mut headers = parts.headers;
        remove_connection_headers(&mut headers);
        Self {
            table,
            route,
            head,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            received,
            deadline: received + patience,
        }
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that is left until its program should be over.
    pub fn finish_left(&self) -> Option<Duration> {
        self.head.finish.map(|finish| finish.saturating_sub(self.received.elapsed()))
    }

    /// Until when an attempt may take after `attempts` others. A replica may run a request
    /// and lose its answer: while a request may run again, one attempt gets at most half
    /// of the time that is left. A stream shows by its events that it is alive.
    pub fn attempt_deadline(&self, attempts: u32) -> Instant {
        let may_follow =
            self.route.kind == RouteKind::Safe && attempts + 1 < self.route.max_attempts;
        if may_follow { Instant::now() + self.left() / 2 } else { self.deadline }
    }

    /// The service that its route's weights choose. A program stays with one service,
    /// since what a replica holds of its prompt is of no use at another.
    pub fn service(&self) -> Option<&Arc<Service>> {
        let key = self.head.program.as_deref().unwrap_or(&self.head.request_id);
        let name = self.route.backend_for(stable_hash(&[key.as_bytes()]))?;
        self.table.service(name)
    }

    /// Where it would like to run.
    pub fn affinity(&self) -> Affinity {
        let key = self.head.program.as_deref().filter(|_| !self.head.prompt.is_empty());
        let tokens = u32::try_from(self.head.prompt_tokens).unwrap_or(u32::MAX);
        Affinity { key: key.map(|key| stable_hash(&[key.as_bytes()])), tokens }
    }
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] =
    [CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Drops what concerns one connection only, and what `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
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
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
