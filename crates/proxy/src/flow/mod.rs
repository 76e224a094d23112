//! The way of one request.
//!
//! [`handle`] decides what it is and whose; [`home`] whether it may be served anywhere;
//! [`permit`] whether its tenant's limit lets it run; [`dispatch`] finds a replica that runs it;
//! [`plain`] and [`stream`] carry the answer; [`turn`] keeps accounts and histories of programs.

mod answer;
mod body;
mod call;
mod dispatch;
mod failure;
mod headers;
mod home;
mod permit;
mod plain;
mod refusal;
mod stream;
mod turn;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::{Credential, Limits, Route, RouteKind, RouteTable, Tenant};
use calicohoist_telemetry::metrics::DurationHistogram;
use calicohoist_telemetry::{Event, emit};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};

use crate::app::App;
use crate::memory::ByteClass;
pub use answer::{AnswerBody, BodyError};
use body::BodyProblem;
use call::{Admission, Call};
use refusal::{KeyProblem, NotRunReason, Refusal};

/// Longest time that a request's body may take.
const BODY_PATIENCE: Duration = Duration::from_secs(5);

/// How long a request waits at a gateway that has no configuration yet: one that starts
/// together with its ledger has it within this.
const CONFIGURATION_PATIENCE: Duration = Duration::from_millis(800);

/// When the caller of a request may come back that needs a newer configuration: an election takes up
/// to 360 ms, and what is new is told at once.
const OLD_CONFIGURATION_PAUSE: Duration = Duration::from_millis(500);

/// Serves one request of a caller.
pub async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let guard = app.begin_request();
    match read_call(&app, request, received).await {
        Ok(call) => {
            let call = Arc::new(call);
            log_taken(&call);
            let abandoned = Abandoned::new(&call);
            let result = match (home::check(&app, &call), call.route.kind) {
                (Err(refusal), _) => Err(refusal),
                (Ok(()), RouteKind::Stream) => stream::serve(&app, &call, guard).await,
                (Ok(()), RouteKind::Safe | RouteKind::Unsafe) => plain::serve(&app, &call).await,
            };
            abandoned.disarm();
            result.unwrap_or_else(|refusal| {
                log_refusal(&call.head.request_id, &call.route.name, received, &refusal);
                refusal.into_response(app.dialect(), &call.head.request_id)
            })
        }
        Err((id, refusal)) => {
            log_refusal(&id, "-", received, &refusal);
            refusal.into_response(app.dialect(), &id)
        }
    }
}

fn log_refusal(id: &str, route: &str, received: Instant, refusal: &Refusal) {
    note_end(refusal.word(), received.elapsed());
    emit!(
        Event::RequestEnded;
        request = id,
        route = route,
        outcome = refusal,
        after_ms = received.elapsed().as_millis(),
    );
}

static REQUEST_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_request_seconds",
    "Time from a request's head to the end of its answer, by outcome",
    "outcome",
);

/// Counts a request that has ended.
fn note_end(outcome: &str, time: Duration) {
    REQUEST_TIMES.observe(outcome, time);
}

fn log_taken(call: &Call) {
    emit!(
        Event::RequestTaken;
        request = call.head.request_id,
        program = call.head.program.as_deref().unwrap_or("-"),
        tenant = call.tenant_name().unwrap_or("-"),
        route = call.route.name,
        configuration = call.table.version(),
        bytes = call.body.len(),
        left_ms = call.left().as_millis(),
    );
}

/// Tells of a request whose caller leaves before there is an answer: the library then
/// drops everything that serves it.
struct Abandoned {
    call: Option<Arc<Call>>,
}

impl Abandoned {
    fn new(call: &Arc<Call>) -> Self {
        Self { call: Some(Arc::clone(call)) }
    }

    fn disarm(mut self) {
        self.call = None;
    }
}

impl Drop for Abandoned {
    fn drop(&mut self) {
        let Some(call) = &self.call else {
            return;
        };
        note_end("caller_left", call.received.elapsed());
        emit!(
            Event::RequestEnded;
            request = call.head.request_id,
            route = call.route.name,
            outcome = "caller left before an answer",
            after_ms = call.received.elapsed().as_millis(),
        );
    }
}

/// Understands a request and reads it whole; on failure its identity goes along.
async fn read_call(
    app: &Arc<App>,
    request: Request<Incoming>,
    received: Instant,
) -> Result<Call, (String, Refusal)> {
    let (mut parts, body) = request.into_parts();
    let unnamed = |refusal| ("-".to_owned(), refusal);
    let admission = admit(app, &mut parts).await.map_err(unnamed)?;
    let head = app.dialect().read_call(&parts.headers);
    let head = head.map_err(|findings| unnamed(Refusal::Malformed(findings)))?;
    headers::keep_callers(app.dialect(), &mut parts.headers);
    let id = head.request_id.clone();
    let limits = admission.table.limits();
    let body = read_body(app, body, limits).await.map_err(|refusal| (id, refusal))?;
    Ok(Call::new(admission, head, parts, body, received))
}

/// Finds where a request goes and whose it is. A key goes no further than this.
async fn admit(app: &App, parts: &mut Parts) -> Result<Admission, Refusal> {
    let table = app.wait_for_table(CONFIGURATION_PATIENCE).await;
    let table = table.ok_or(Refusal::NoConfiguration)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| unless_old(app, Refusal::NoRoute))?;
    let tenant = find_tenant(app, &table, &route, &mut parts.headers);
    let tenant = tenant.map_err(|refusal| unless_old(app, refusal))?;
    Ok(Admission { table, route, tenant })
}

/// A refusal that the configuration in force here leads to. Callers take it as final, so a gateway
/// that does not follow its leader sends them away for a moment instead.
fn unless_old(app: &App, refusal: Refusal) -> Refusal {
    if app.follows(Instant::now()) {
        return refusal;
    }
    Refusal::not_run(NotRunReason::OldConfiguration, OLD_CONFIGURATION_PAUSE)
}

/// The tenant that holds the key of a request. Without any tenant in the configuration,
/// requests need no key, and what looks like one is a header like others.
fn find_tenant(
    app: &App,
    table: &RouteTable,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if table.keys().is_empty() {
        return Ok(None);
    }
    let credential = app.dialect().read_credential(headers);
    app.dialect().remove_credential(headers);
    let problem = match credential {
        Credential::Missing => KeyProblem::Missing,
        Credential::Malformed => KeyProblem::Unreadable,
        Credential::Key(key) => match table.keys().find(&key) {
            Some(tenant) => return Ok(Some(Arc::clone(tenant))),
            None => KeyProblem::Unknown,
        },
    };
    if route.is_public {
        return Ok(None);
    }
    Err(Refusal::Unauthorized { problem, configuration: table.version() })
}

async fn read_body(app: &App, body: Incoming, limits: Limits) -> Result<Bytes, Refusal> {
    let mut body = body;
    let announced = body::announced(&body);
    if announced > limits.max_body_bytes && body.size_hint().exact().is_some() {
        return Err(Refusal::BodyTooLarge);
    }
    let held = app.memory.try_hold(ByteClass::Body, announced).ok_or_else(no_memory)?;
    let read = body::read_whole(&mut body, limits.max_body_bytes, held);
    match tokio::time::timeout(BODY_PATIENCE, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyProblem::TooLarge)) => Err(Refusal::BodyTooLarge),
        Ok(Err(BodyProblem::NoRoom)) => Err(no_memory()),
        Ok(Err(BodyProblem::Cut)) => Err(Refusal::BodyCut),
        Err(_) => Err(Refusal::BodyTooSlow),
    }
}

fn no_memory() -> Refusal {
    /// Most answers that fill the memory have been read by then.
    const RETRY_AFTER: Duration = Duration::from_millis(300);
    Refusal::not_run(NotRunReason::MemoryInUse, RETRY_AFTER)
}
