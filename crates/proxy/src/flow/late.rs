//! Requests that arrive, or are still served, while the gateway stops.
//!
//! A request that the gateway takes on is answered before the process exits. One that cannot be is
//! rejected before it runs.

use std::time::{Duration, Instant};

use calicohoist_routing::Route;
use calicohoist_telemetry::{Event, emit};

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use crate::app::App;

/// Time after which a client may try another gateway.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum time for a request of which it is not known how long it takes.
const MIN_TIME: Duration = Duration::from_millis(100);
/// Part of its timeout for which a request must have time that must not run twice, if it is not known
/// how long it takes.
const TIMEOUT_DIVISOR: u32 = 2;

/// Checks whether a request can be answered before the gateway exits, given its deadline.
///
/// # Errors
/// Returns an error if it cannot. It has not run then.
pub fn check(app: &App, route: &Route, deadline: Instant) -> Result<(), GatewayError> {
    let Some(answer_by) = app.drain.answer_by().filter(|answer_by| *answer_by < deadline) else {
        return Ok(());
    };
    let now = Instant::now();
    let left = answer_by.saturating_duration_since(now);
    let timeout = deadline.saturating_duration_since(now);
    if left < required_time(app, route, timeout) { Err(rejection()) } else { Ok(()) }
}

/// Returns the time with which a request is taken on. One that may be repeated is taken on if it can
/// be answered in time, any other one only if it probably will be.
fn required_time(app: &App, route: &Route, timeout: Duration) -> Duration {
    match app.response_times.of(route) {
        Some(usual) if route.is_repeatable() => usual.low().max(MIN_TIME),
        Some(usual) => usual.high().max(MIN_TIME),
        None if route.is_repeatable() => MIN_TIME,
        None => (timeout / TIMEOUT_DIVISOR).max(MIN_TIME),
    }
}

/// Returns the error for a request that is not taken on because the gateway stops.
pub fn rejection() -> GatewayError {
    GatewayError::not_executed(NotExecutedReason::Stopping, RETRY_AFTER)
}

/// Returns the error for a request that is still being served when it has to be answered.
pub fn unanswered(call: &Call) -> GatewayError {
    if call.may_have_run() { GatewayError::Deadline } else { rejection() }
}

/// Logs a stream that is still being forwarded when the gateway stops.
pub fn log_aborted(call: &Call) {
    super::record_end("stopped", call.received_at.elapsed());
    emit!(
        Event::RequestEnded;
        request = call.head.request_id,
        route = call.route.name,
        outcome = "aborted because the gateway stops",
        after_ms = call.received_at.elapsed().as_millis(),
    );
}
