//! Processing of a single request.
//!
//! [`handle`] reads a request and looks up its route and tenant; [`origin`] looks up which software
//! began a stream that it resumes; [`home`] checks whether it may be served in any region; [`permit`]
//! enforces the tenant's rate limit; [`dispatch`] sends the request to a replica; [`crash`] keeps
//! requests that crash replicas from further ones; [`late`] rejects requests that cannot be answered
//! before the gateway stops; [`buffered`] and [`stream`] forward the response;
//! [`turn`] manages the token budgets and turn histories of programs, [`retention`] how long those are
//! kept, and [`turn_output`] limits what their responses may contain.

mod body;
mod buffered;
mod call;
mod crash;
mod dispatch;
mod error;
mod failure;
mod headers;
mod home;
mod late;
mod origin;
mod permit;
mod response;
mod response_failure;
mod retention;
mod stream;
mod turn;
mod turn_output;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{Delivery, RequestContext};
use calicohoist_routing::{Credential, Limits, Route, RouteKind, RouteTable, Tenant};
use calicohoist_telemetry::metrics::DurationHistogram;
use calicohoist_telemetry::{Event, emit};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};

use crate::app::App;
use crate::memory::MemoryClass;
use body::BodyReadError;
use call::{Call, ResolvedRoute};
pub use crash::{SendGrant, count_exposed, record_confirmed};
use error::{GatewayError, KeyError, NotExecutedReason};
pub use response::{BodyAborted, BodyPart, ResponseBody};

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for which a request waits for the gateway's first configuration.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Retry delay for requests that need a newer configuration. Covers a leader election.
const STALE_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves a single client request.
pub async fn handle(
    app: Arc<App>,
    request: Request<Incoming>,
    context: RequestContext,
) -> Response<ResponseBody> {
    let received_at = Instant::now();
    let read = tokio::select! {
        biased;
        read = read_request(&app, request, received_at, context.delivery()) => read,
        () = app.drain.answers_due() => Err(("-".to_owned(), late::rejection())),
    };
    match read {
        Ok(call) => {
            context.body_received();
            let call = Arc::new(call);
            log_received(&call);
            let disconnect_guard = DisconnectGuard::new(&call);
            let result = tokio::select! {
                biased;
                result = serve(&app, &call) => result,
                () = app.drain.answers_due() => Err(late::unanswered(&call)),
            };
            disconnect_guard.disarm();
            if matches!(result, Err(GatewayError::Deadline)) && call.has_whole_timeout() {
                app.response_times.record(&call.route, received_at.elapsed());
            }
            result.unwrap_or_else(|error| {
                log_error(&call.head.request_id, &call.route.name, received_at, &error);
                error.into_response(app.dialect(), &call.head.request_id)
            })
        }
        Err((id, error)) => {
            log_error(&id, "-", received_at, &error);
            error.into_response(app.dialect(), &id)
        }
    }
}

async fn serve(app: &Arc<App>, call: &Arc<Call>) -> Result<Response<ResponseBody>, GatewayError> {
    late::check(app, call)?;
    crash::reject_quarantined(app, call)?;
    origin::resolve(app, call).await?;
    home::check(app, call)?;
    match call.route.kind {
        RouteKind::Stream => stream::serve(app, call).await,
        RouteKind::Safe | RouteKind::Unsafe => buffered::serve(app, call).await,
    }
}

fn log_error(id: &str, route: &str, received_at: Instant, error: &GatewayError) {
    record_end(error.metric_label(), received_at.elapsed());
    emit!(
        Event::RequestEnded;
        request = id,
        route = route,
        outcome = error,
        after_ms = received_at.elapsed().as_millis(),
    );
}

static REQUEST_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_request_seconds",
    "Time from a request's head to the end of its answer, by outcome",
    "outcome",
);

/// Records the duration of a finished request.
fn record_end(outcome: &str, time: Duration) {
    REQUEST_TIMES.observe(outcome, time);
}

fn log_received(call: &Call) {
    emit!(
        Event::RequestTaken;
        request = call.head.request_id,
        program = call.head.program.as_deref().unwrap_or("-"),
        tenant = call.tenant_name().unwrap_or("-"),
        route = call.route.name,
        configuration = call.table.version(),
        bytes = call.body.len(),
        resumes = call.head.resumes.as_deref().unwrap_or("-"),
        last_event = call.head.last_event_id.as_deref().unwrap_or("-"),
        left_ms = call.time_left().as_millis(),
    );
}

/// Logs a request whose client disconnects before the response has begun. hyper then drops the
/// future that serves the request.
struct DisconnectGuard {
    call: Option<Arc<Call>>,
}

impl DisconnectGuard {
    fn new(call: &Arc<Call>) -> Self {
        Self { call: Some(Arc::clone(call)) }
    }

    fn disarm(mut self) {
        self.call = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let Some(call) = &self.call else {
            return;
        };
        record_end("caller_left", call.received_at.elapsed());
        emit!(
            Event::RequestEnded;
            request = call.head.request_id,
            route = call.route.name,
            outcome = "caller left before an answer",
            after_ms = call.received_at.elapsed().as_millis(),
        );
    }
}

/// Reads a request including its body. Errors include the request id, if known.
async fn read_request(
    app: &Arc<App>,
    request: Request<Incoming>,
    received_at: Instant,
    delivery: &Delivery,
) -> Result<Call, (String, GatewayError)> {
    let (mut parts, body) = request.into_parts();
    let without_id = |error| ("-".to_owned(), error);
    let resolved = resolve_route(app, &mut parts).await.map_err(without_id)?;
    let head = app.dialect().read_request(&parts.headers);
    let head = head.map_err(|findings| without_id(GatewayError::Malformed(findings)))?;
    headers::remove_gateway_headers(app.dialect(), &mut parts.headers);
    let id = head.request_id.clone();
    let limits = resolved.table.limits();
    let body = read_body(app, body, limits).await.map_err(|error| (id, error))?;
    let (drain, delivery) = (app.drain.clone(), delivery.clone());
    Ok(Call::new(resolved, head, parts, body, received_at, drain, delivery))
}

/// Looks up the route and the tenant of a request. The API key is not passed on.
async fn resolve_route(app: &App, parts: &mut Parts) -> Result<ResolvedRoute, GatewayError> {
    let table = app.wait_for_table(CONFIGURATION_TIMEOUT).await;
    let table = table.ok_or(GatewayError::NoConfiguration)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| unless_stale(app, GatewayError::NoRoute))?;
    let tenant = find_tenant(app, &table, &route, &mut parts.headers);
    let tenant = tenant.map_err(|error| unless_stale(app, error))?;
    Ok(ResolvedRoute { table, route, tenant })
}

/// Returns the given error if the configuration is current. Clients treat such an error as final,
/// so a gateway with a possibly outdated configuration asks them to retry instead.
fn unless_stale(app: &App, error: GatewayError) -> GatewayError {
    if app.is_current(Instant::now()) {
        return error;
    }
    GatewayError::not_executed(
        NotExecutedReason::StaleConfiguration,
        STALE_CONFIGURATION_RETRY_AFTER,
    )
}

/// Looks up the tenant of a request by its API key. If the configuration has no tenants, requests
/// need no key, and the header that carries one is forwarded like any other.
fn find_tenant(
    app: &App,
    table: &RouteTable,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Tenant>>, GatewayError> {
    if table.keys().is_empty() {
        return Ok(None);
    }
    let credential = app.dialect().read_credential(headers);
    app.dialect().remove_credential(headers);
    let problem = match credential {
        Credential::Missing => KeyError::Missing,
        Credential::Malformed => KeyError::Malformed,
        Credential::Key(key) => match table.keys().find(&key) {
            Some(tenant) => return Ok(Some(Arc::clone(tenant))),
            None => KeyError::Unknown,
        },
    };
    if route.is_public {
        return Ok(None);
    }
    Err(GatewayError::Unauthorized { problem, configuration: table.version() })
}

async fn read_body(app: &App, body: Incoming, limits: Limits) -> Result<Bytes, GatewayError> {
    let mut body = body;
    let expected_bytes = body::expected_bytes(&body);
    if expected_bytes > limits.max_body_bytes && body.size_hint().exact().is_some() {
        return Err(GatewayError::BodyTooLarge);
    }
    let reservation = app
        .memory
        .try_reserve(MemoryClass::RequestBody, expected_bytes)
        .ok_or_else(memory_limit_reached)?;
    let read = body::read_whole(&mut body, limits.max_body_bytes, reservation);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyReadError::TooLarge)) => Err(GatewayError::BodyTooLarge),
        Ok(Err(BodyReadError::MemoryLimit)) => Err(memory_limit_reached()),
        Ok(Err(BodyReadError::Truncated)) => Err(GatewayError::BodyTruncated),
        Err(_) => Err(GatewayError::BodyTooSlow),
    }
}

fn memory_limit_reached() -> GatewayError {
    /// Time in which most buffered responses are delivered.
    const RETRY_AFTER: Duration = Duration::from_millis(300);
    GatewayError::not_executed(NotExecutedReason::MemoryLimit, RETRY_AFTER)
}
