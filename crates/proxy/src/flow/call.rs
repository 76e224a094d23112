//! A request that was read whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::select::Affinity;
use calicohoist_routing::{
    HomeRegions, Route, RouteKind, RouteTable, Service, Tenant, stable_hash,
};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};

use crate::dialect::CallHead;

/// Stands between a tenant's name and a name of its own. It can stand in neither: names of
/// tenants are checked, and others come from headers.
const SCOPE_SEPARATOR: char = '\u{1f}';

/// A request that may come in: where it goes, on which terms, and whose it is.
pub struct Admission {
    /// The routes that were in force when it came.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is.
    pub tenant: Option<Arc<Tenant>>,
}

/// A request that was read whole.
pub struct Call {
    /// The routes that were in force when it came.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is; `None` where no key is needed and none was shown.
    pub tenant: Option<Arc<Tenant>>,
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
    /// A request of `admission` with its headers read as `head`.
    pub fn new(
        admission: Admission,
        head: CallHead,
        parts: Parts,
        body: Bytes,
        received: Instant,
    ) -> Self {
        let Admission { table, route, tenant } = admission;
        let patience = head.deadline.map_or(route.timeout, |own| own.min(route.timeout));
        Self {
            table,
            route,
            tenant,
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            received,
            deadline: received + patience,
        }
    }

    /// Name of the tenant.
    pub fn tenant_name(&self) -> Option<&str> {
        self.tenant.as_ref().map(|tenant| tenant.id.as_str())
    }

    /// A program's or turn's name as the ledger knows it. Each tenant has names of its own,
    /// so that another tenant's turn is as unknown as one that never was.
    pub fn scoped(&self, name: &str) -> String {
        match self.tenant_name() {
            Some(tenant) => format!("{tenant}{SCOPE_SEPARATOR}{name}"),
            None => name.to_owned(),
        }
    }

    /// Rank among requests; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Where it may be served and kept: both its route and its tenant have a say.
    pub fn homes(&self) -> HomeRegions {
        match &self.tenant {
            Some(tenant) => self.route.homes.intersection(&tenant.homes),
            None => self.route.homes.clone(),
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
