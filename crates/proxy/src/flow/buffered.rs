//! Requests whose response is buffered before it is sent to the client.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::RouteKind;
use calicohoist_telemetry::{Event, emit};
use hyper::Response;
use hyper::body::Incoming;
use tokio::task::JoinSet;

use super::body::{BodyReader, expected_bytes};
use super::call::Call;
use super::crash::ClosedConnection;
use super::dispatch::{AttemptState, Payload, dispatch};
use super::error::GatewayError;
use super::headers::remove_hop_by_hop_headers;
use super::response::ResponseBody;
use super::response_failure::{FailureReason, ResponseFailure};
use crate::app::App;
use crate::upstream::Exchange;

/// Maximum size of a buffered response in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Serves a request with a buffered response. If the response is truncated, a safe request can be
/// retried on another replica.
///
/// # Errors
/// Returns an error if no replica returned a complete response.
pub async fn serve(
    app: &Arc<App>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, GatewayError> {
    let mut attempt_state = AttemptState::default();
    let result = serve_attempts(app, call, &mut attempt_state).await;
    if result.is_err() {
        attempt_state.crashes.finish_before_retry(call).await;
    }
    result
}

async fn serve_attempts(
    app: &Arc<App>,
    call: &Arc<Call>,
    attempt_state: &mut AttemptState,
) -> Result<Response<ResponseBody>, GatewayError> {
    let payload = Payload { body: call.body.clone(), last_event_id: None };
    loop {
        let exchange = dispatch(app, call, &payload, attempt_state).await?;
        let replica = exchange.member.replica.id.clone();
        let deadline = call.attempt_deadline(attempt_state.attempts - 1);
        let request = &call.head.request_id;
        match collect_response(app, request, deadline, exchange, attempt_state).await {
            Ok(response) => {
                log_end(call, &replica, &response, attempt_state);
                if response.status().is_success() {
                    app.response_times.record(&call.route, call.received_at.elapsed());
                }
                return Ok(response.map(ResponseBody::buffered));
            }
            Err(error) => {
                let may_retry = call.route.kind == RouteKind::Safe;
                if !may_retry || attempt_state.attempts >= call.route.max_attempts {
                    return Err(error);
                }
                attempt_state.exclude(&replica);
            }
        }
    }
}

/// Reads the complete response to the request with the id `request`.
pub async fn collect_response(
    app: &Arc<App>,
    request: &str,
    deadline: Instant,
    exchange: Exchange,
    attempt_state: &mut AttemptState,
) -> Result<Response<Bytes>, GatewayError> {
    const PENALTY_DURATION: Duration = Duration::from_millis(1_000);
    const PENALTY: Duration = Duration::from_millis(50);
    let (mut exchange, body) = collect_body(app, deadline, exchange).await;
    let body = match body {
        Ok(body) => body,
        Err(failure) => {
            failure.log(request, &exchange.member.replica.id);
            match failure.reason {
                // The replica may not be at fault.
                FailureReason::Deadline | FailureReason::NoMemory => {
                    attempt_state.crashes.record_given_up();
                }
                FailureReason::TooLarge
                | FailureReason::MoreThanRequested
                | FailureReason::Truncated => {
                    exchange.member.penalize(PENALTY, PENALTY_DURATION);
                    attempt_state.crashes.record_closed(ClosedConnection::WasInUse);
                }
            }
            return Err(failure.into());
        }
    };
    attempt_state.crashes.record_answered();
    let mut response = Response::new(body);
    *response.status_mut() = exchange.response.status();
    *response.headers_mut() = std::mem::take(exchange.response.headers_mut());
    remove_hop_by_hop_headers(app.dialect(), response.headers_mut());
    exchange.finish(&app.pool);
    Ok(response)
}

/// Reads the body of a response in a task of its own, which ends with this call: whatever is polled for
/// each part of the body is charged.
async fn collect_body(
    app: &Arc<App>,
    deadline: Instant,
    mut exchange: Exchange,
) -> (Exchange, Result<Bytes, ResponseFailure>) {
    let (app, lane) = (Arc::clone(app), exchange.lane());
    let mut task = JoinSet::new();
    task.spawn(async move {
        let body = read_response_body(&app, deadline, exchange.response.body_mut());
        let body = lane.charge_polls(body).await;
        (exchange, body)
    });
    let collected = task.join_next().await.expect("one task");
    collected.expect("a task that does not panic")
}

/// Reads a response body once there is memory for it; the replica has to wait until then.
async fn read_response_body(
    app: &App,
    deadline: Instant,
    body: &mut Incoming,
) -> Result<Bytes, ResponseFailure> {
    let too_late = |bytes_read| ResponseFailure { reason: FailureReason::Deadline, bytes_read };
    let expected_bytes = expected_bytes(body).min(MAX_RESPONSE_BYTES);
    let reservation = app.memory.reserve_response(expected_bytes);
    let reservation = tokio::time::timeout_at(deadline.into(), reservation).await;
    let mut reader = BodyReader::new(MAX_RESPONSE_BYTES, reservation.map_err(|_| too_late(0))?);
    let result = tokio::time::timeout_at(deadline.into(), reader.read(body)).await;
    match result {
        Ok(Ok(())) => Ok(reader.into_bytes()),
        Ok(Err(error)) => {
            Err(ResponseFailure { reason: error.into(), bytes_read: reader.bytes_read() })
        }
        Err(_) => Err(too_late(reader.bytes_read())),
    }
}

/// Logs the end of a request with a response from a replica.
pub fn log_end(
    call: &Call,
    replica: &str,
    response: &Response<Bytes>,
    attempt_state: &AttemptState,
) {
    let outcome = response.status();
    super::record_end(outcome.as_str(), call.received_at.elapsed());
    emit!(
        Event::RequestEnded;
        request = call.head.request_id,
        route = call.route.name,
        replica = replica,
        outcome = outcome.as_u16(),
        attempts = attempt_state.attempts,
        after_ms = call.received_at.elapsed().as_millis(),
    );
}
