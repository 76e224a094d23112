//! Requests that arrive, or are still served, while the gateway stops.
//!
//! A request that the gateway takes on is answered before the process exits. One that cannot be is
//! rejected before it runs.

use std::time::{Duration, Instant};

use calicohoist_connections::DrainStage;
use calicohoist_routing::{Route, RouteKind};

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use crate::app::App;

/// Time after which a client may try another gateway.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Minimum time with which a request is sent.
const MIN_TIME: Duration = Duration::from_millis(100);
/// Part of its timeout for which a request must have time that must not run twice, if it is not known
/// how long it takes.
const TIMEOUT_DIVISOR: u32 = 2;

/// Checks whether a request can be answered before the gateway exits.
///
/// # Errors
/// Returns an error if it cannot, or probably will not be. It must not have been sent.
pub fn check(app: &App, call: &Call) -> Result<(), GatewayError> {
    let Some(answer_by) = app.drain.answer_by() else {
        return Ok(());
    };
    if call.client_deadline() <= answer_by {
        return Ok(());
    }
    let now = Instant::now();
    let left = answer_by.saturating_duration_since(now);
    let fits = match app.drain.stage() {
        // Clients cannot know yet that the gateway stops.
        DrainStage::Serving | DrainStage::Announced => is_usual(app, &call.route, left),
        // A stream that is aborted is no answer.
        DrainStage::Closing if call.route.kind == RouteKind::Stream => false,
        DrainStage::Closing => {
            let timeout = call.client_deadline().saturating_duration_since(now);
            is_usual(app, &call.route, left) && is_known_or_short(app, &call.route, timeout, left)
        }
    };
    if fits && left >= MIN_TIME { Ok(()) } else { Err(rejection()) }
}

/// Returns whether a response may take at most `left`, as far as the usual durations tell. A request
/// that may be repeated needs time for a short one, any other request for a long one.
fn is_usual(app: &App, route: &Route, left: Duration) -> bool {
    app.response_times.of(route).is_none_or(|usual| {
        let required = if route.is_repeatable() { usual.low() } else { usual.high() };
        required <= left
    })
}

/// Returns whether the usual duration is known, or a request that must not run twice has time for a good
/// part of its timeout.
fn is_known_or_short(app: &App, route: &Route, timeout: Duration, left: Duration) -> bool {
    let is_known = app.response_times.of(route).is_some();
    is_known || route.is_repeatable() || timeout / TIMEOUT_DIVISOR <= left
}

/// Returns the error for a request that is not taken on because the gateway stops.
pub fn rejection() -> GatewayError {
    GatewayError::not_executed(NotExecutedReason::Stopping, RETRY_AFTER)
}

/// Returns the error for a request that is still being served when it has to be answered.
pub fn unanswered(call: &Call) -> GatewayError {
    if call.may_have_run() { GatewayError::Interrupted } else { rejection() }
}
