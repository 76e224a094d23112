//! A client request whose body has been read.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{Delivery, Drain};
use calicohoist_ledger::commands::KEY_SEPARATOR;
use calicohoist_quarantine::{RequestContent, RequestFingerprint};
use calicohoist_routing::select::Affinity;
use calicohoist_routing::{
    HomeRegions, Route, RouteKind, RouteTable, Service, SoftwareRequirement, StreamOrigin, Tenant,
    stable_hash,
};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use parking_lot::Mutex;

use crate::dialect::RequestHead;
use crate::upstream::SendProgress;

/// Route and tenant of a request.
pub struct ResolvedRoute {
    /// Routing table at the time of the request.
    pub table: Arc<RouteTable>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Tenant that sent the request, if known.
    pub tenant: Option<Arc<Tenant>>,
}

/// A client request whose body has been read.
pub struct Call {
    /// Routing table at the time of the request.
    pub table: Arc<RouteTable>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Tenant that sent the request; `None` if no key is required and none was sent.
    pub tenant: Option<Arc<Tenant>>,
    /// Metadata from the request headers.
    pub head: RequestHead,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the head of the request was received.
    pub received_at: Instant,
    /// Deadline of the client for the response.
    client_deadline: Instant,
    /// Tells when the gateway stops.
    drain: Drain,
    /// Delivery of the response.
    pub delivery: Delivery,
    /// Sends of which it is not certain that they did not run.
    sends: Mutex<Vec<Arc<SendProgress>>>,
    /// How the stream that the request resumes continues, once known.
    continuation: OnceLock<Continuation>,
    /// Computed when it is first needed, which is after a crash.
    fingerprint: OnceLock<RequestFingerprint>,
}

/// Where a resumed stream may continue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Continuation {
    /// Name of the service that began the stream.
    pub service: String,
    /// Software that may continue it.
    pub software: SoftwareRequirement,
    /// Id of the replica that began the stream, unless its version is certain.
    pub began_at: Option<String>,
}

impl From<StreamOrigin> for Continuation {
    fn from(origin: StreamOrigin) -> Self {
        let software = origin.software();
        let began_at = Some(origin.replica).filter(|replica| !replica.is_empty());
        Self { service: origin.service, software, began_at }
    }
}

impl Call {
    /// Creates a call from its parts; `head` contains the metadata from its headers.
    pub fn new(
        resolved: ResolvedRoute,
        head: RequestHead,
        parts: Parts,
        body: Bytes,
        received_at: Instant,
        drain: Drain,
        delivery: Delivery,
    ) -> Self {
        let ResolvedRoute { table, route, tenant } = resolved;
        let timeout = head.deadline.map_or(route.timeout, |requested| requested.min(route.timeout));
        Self {
            table,
            route,
            tenant,
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            received_at,
            client_deadline: received_at + timeout,
            drain,
            delivery,
            sends: Mutex::default(),
            continuation: OnceLock::new(),
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns whether the request resumes a stream that another request began.
    pub fn resumes_stream(&self) -> bool {
        self.route.resumable && (self.head.resumes.is_some() || self.head.last_event_id.is_some())
    }

    /// Returns whether the request resumes a stream although its route does not allow that, or has no
    /// streams.
    pub fn resumes_without_permission(&self) -> bool {
        let RequestHead { resumes, last_event_id, .. } = &self.head;
        !self.route.resumable
            && match self.route.kind {
                RouteKind::Stream => resumes.is_some() || last_event_id.is_some(),
                // Services without streams may use either header for themselves.
                RouteKind::Safe | RouteKind::Unsafe => resumes.is_some() && last_event_id.is_some(),
            }
    }

    /// Sets how the stream that the request resumes continues.
    pub fn continue_at(&self, continuation: Continuation) {
        let _ = self.continuation.set(continuation);
    }

    /// Returns how the stream that the request resumes continues; `None` for any other request.
    pub fn continuation(&self) -> Option<&Continuation> {
        self.continuation.get()
    }

    /// Returns the name of the tenant.
    pub fn tenant_name(&self) -> Option<&str> {
        self.tenant.as_ref().map(|tenant| tenant.id.as_str())
    }

    /// Returns the fingerprint of the content, which is the same whenever the request is sent again.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
            let content = RequestContent {
                tenant: self.tenant_name(),
                program: self.head.program.as_deref(),
                previous_turn: self.head.previous_turn.as_deref(),
                method: self.method.as_str(),
                host: host.unwrap_or_default(),
                path: self.uri.path_and_query().map_or("", |path| path.as_str()),
                body: &self.body,
            };
            content.fingerprint()
        })
    }

    /// Returns a program or turn id as stored in the ledger. Ids are scoped by tenant, so that a
    /// tenant cannot access the turns of another.
    pub fn scoped(&self, name: &str) -> String {
        match self.tenant_name() {
            Some(tenant) => format!("{tenant}{KEY_SEPARATOR}{name}"),
            None => name.to_owned(),
        }
    }

    /// Returns the priority; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let requested = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        requested.unwrap_or(self.route.priority)
    }

    /// Returns the regions in which the request may be served and stored, as restricted by both
    /// its route and its tenant.
    pub fn homes(&self) -> HomeRegions {
        match &self.tenant {
            Some(tenant) => self.route.homes.intersection(&tenant.homes),
            None => self.route.homes.clone(),
        }
    }

    /// Returns the deadline for the response, which lies before the end of the gateway if that stops.
    pub fn deadline(&self) -> Instant {
        self.drain.limit(self.client_deadline)
    }

    /// Returns the deadline of the client, which may lie beyond the end of the gateway.
    pub fn client_deadline(&self) -> Instant {
        self.client_deadline
    }

    /// Returns whether the client waits for as long as the route allows.
    pub fn has_whole_timeout(&self) -> bool {
        self.head.deadline.is_none_or(|requested| requested >= self.route.timeout)
    }

    /// Records that the request is about to be sent.
    pub fn begin_send(&self, progress: &Arc<SendProgress>) {
        self.sends.lock().push(Arc::clone(progress));
    }

    /// Records that a send certainly did not run.
    pub fn withdraw_send(&self, progress: &Arc<SendProgress>) {
        self.sends.lock().retain(|send| !Arc::ptr_eq(send, progress));
    }

    /// Returns whether a replica may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.sends.lock().iter().any(|send| send.is_sent())
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Returns the time until the program should finish.
    pub fn program_time_left(&self) -> Option<Duration> {
        self.head
            .program_deadline
            .map(|deadline| deadline.saturating_sub(self.received_at.elapsed()))
    }

    /// Returns the deadline of an attempt after `attempts` others. While a request may be retried,
    /// an attempt gets at most half of the remaining time, since a replica may run it and lose the
    /// response. Stream attempts are not limited, since their events show progress.
    pub fn attempt_deadline(&self, attempts: u32) -> Instant {
        let may_retry =
            self.route.kind == RouteKind::Safe && attempts + 1 < self.route.max_attempts;
        if !may_retry {
            return self.deadline();
        }
        let now = Instant::now();
        let client_time = self.client_deadline.saturating_duration_since(now);
        self.drain.limit(now + client_time / 2)
    }

    /// Returns the service selected by the weights of the route, or the one that began the stream.
    /// A program always uses the same service, since a replica's prompt cache is useless to another
    /// service.
    pub fn service(&self) -> Option<&Arc<Service>> {
        if let Some(continuation) = self.continuation() {
            return self.table.service(&continuation.service);
        }
        let key = self.head.program.as_deref().unwrap_or(&self.head.request_id);
        let name = self.route.backend_for(stable_hash(&[key.as_bytes()]))?;
        self.table.service(name)
    }

    /// Returns the prompt affinity for the selection of a replica.
    pub fn affinity(&self) -> Affinity {
        let key = self.head.program.as_deref().filter(|_| !self.head.prompt.is_empty());
        let tokens = u32::try_from(self.head.prompt_tokens).unwrap_or(u32::MAX);
        Affinity { key: key.map(|key| stable_hash(&[key.as_bytes()])), tokens }
    }
}
