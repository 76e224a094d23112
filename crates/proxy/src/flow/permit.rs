//! Rate-limit permits of tenants.
//!
//! A turn requests a permit along with its reservation. Any other request uses a spare permit
//! obtained with an earlier turn, and asks the ledger if there is none.

use std::time::{Duration, Instant};

use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_limiter::{PermitAnswer, PermitRequest};
use calicohoist_scheduler::queue_timeout;
use calicohoist_telemetry::metrics::{Counter, DurationHistogram};

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use crate::app::App;

/// Timeout for the ledger's answer. Covers a leader election.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
const RETRY_AFTER: Duration = Duration::from_millis(200);

static PERMITS: Counter = Counter::new(
    "calicohoist_proxy_permits_total",
    "Permits of requests that are no turns, by where they came from",
    "source",
);
static PERMIT_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_permit_seconds",
    "Time until the ledger answered for a permit, by outcome",
    "outcome",
);

/// Permission to send one request to one replica under the tenant's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permit {
    /// There is no permit, or it was used.
    #[default]
    Missing,
    /// The tenant has no limit.
    Unlimited,
    /// The permit expires at this time.
    ValidUntil(Instant),
}

impl Permit {
    /// Returns whether a request may be sent at `now`.
    pub fn is_valid(self, now: Instant) -> bool {
        match self {
            Self::Missing => false,
            Self::Unlimited => true,
            Self::ValidUntil(expires_at) => now < expires_at,
        }
    }

    /// Returns the time at which the permit expires; `None` without a limit.
    pub fn expires_at(self) -> Option<Instant> {
        match self {
            Self::Missing | Self::Unlimited => None,
            Self::ValidUntil(expires_at) => Some(expires_at),
        }
    }

    /// Invalidates the permit after an attempt that may have run, or after a long wait.
    pub fn invalidate(&mut self) {
        if matches!(self, Self::ValidUntil(_)) {
            *self = Self::Missing;
        }
    }
}

/// Builds the permit request for a turn, which also asks for spare permits for the requests after
/// it; `None` without a limit.
pub fn request_for_turn(app: &App, call: &Call) -> Option<PermitRequest> {
    let mut request = permit_request(call)?;
    request.spare = app.permits.lock().record_turn(&request.tenant, Instant::now());
    Some(request)
}

/// Obtains a permit for a request that makes no reservation.
///
/// # Errors
/// Returns an error if the tenant has reached its limit, or if the ledger does not respond.
pub async fn acquire(app: &App, call: &Call) -> Result<Permit, GatewayError> {
    let Some(request) = permit_request(call) else {
        return Ok(Permit::Unlimited);
    };
    let now = Instant::now();
    let spare_expires_at = app.permits.lock().consume(&request.tenant, now);
    if let Some(expires_at) = spare_expires_at {
        PERMITS.inc("held");
        return Ok(Permit::ValidUntil(expires_at));
    }
    PERMITS.inc("asked");
    let deadline = now + queue_timeout(call.time_left(), REQUEST_TIMEOUT);
    let answer = app.ledger.request(&LedgerRequest::Permit(request.clone()), deadline).await;
    match answer {
        Ok(LedgerResponse::Permit(answer)) => {
            PERMIT_TIMES.observe("answered", now.elapsed());
            apply_answer(app, &request, answer, now)
        }
        _ => {
            PERMIT_TIMES.observe("no answer", now.elapsed());
            Err(GatewayError::not_executed(NotExecutedReason::LedgerUnavailable, RETRY_AFTER))
        }
    }
}

/// Processes the ledger's answer to a permit request that was sent at `requested_at`.
///
/// # Errors
/// Returns an error if the tenant has reached its limit.
pub fn apply_answer(
    app: &App,
    request: &PermitRequest,
    answer: PermitAnswer,
    requested_at: Instant,
) -> Result<Permit, GatewayError> {
    match answer {
        PermitAnswer::Granted(grant) => {
            app.permits.lock().add_grant(&request.tenant, grant, requested_at, Instant::now());
            Ok(Permit::ValidUntil(requested_at + grant.life))
        }
        PermitAnswer::OverLimit(retry_after) => Err(GatewayError::OverLimit {
            tenant: request.tenant.clone(),
            limit: request.limit,
            configuration: request.configuration,
            retry_after,
        }),
    }
}

fn permit_request(call: &Call) -> Option<PermitRequest> {
    let tenant = call.tenant.as_ref()?;
    Some(PermitRequest {
        tenant: tenant.id.clone(),
        limit: tenant.limit?,
        configuration: call.table.version(),
        spare: 0,
    })
}
