//! Whether a tenant's limit lets a request run.
//!
//! A turn asks along with its reservation. Any other request spends a permit that a turn
//! has brought, and asks when there is none.

use std::time::{Duration, Instant};

use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_limiter::{PermitAnswer, PermitRequest};
use calicohoist_scheduler::queue_timeout;
use calicohoist_telemetry::metrics::{Counter, DurationHistogram};

use super::call::Call;
use super::refusal::{NotRunReason, Refusal};
use crate::app::App;

/// Longest time for the ledger's answer: an election fits in.
const ASK_PATIENCE: Duration = Duration::from_millis(1_000);
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

/// Leave of a tenant's limit for one request at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permit {
    /// There is none, or it was used.
    #[default]
    Missing,
    /// The tenant has no limit.
    Unlimited,
    /// It holds until then.
    Until(Instant),
}

impl Permit {
    /// Whether a request may be sent now.
    pub fn holds(self, now: Instant) -> bool {
        match self {
            Self::Missing => false,
            Self::Unlimited => true,
            Self::Until(until) => now < until,
        }
    }

    /// When it ends; `None` without a limit.
    pub fn until(self) -> Option<Instant> {
        match self {
            Self::Missing | Self::Unlimited => None,
            Self::Until(until) => Some(until),
        }
    }

    /// A request was sent that may have run, or long after the permit was issued.
    pub fn lapse(&mut self) {
        if matches!(self, Self::Until(_)) {
            *self = Self::Missing;
        }
    }
}

/// Asks for a permit for a turn, and for those of the requests after it; `None` without a
/// limit.
pub fn request_for_turn(app: &App, call: &Call) -> Option<PermitRequest> {
    let mut request = request_of(call)?;
    request.spare = app.purse.lock().record_turn(&request.tenant, Instant::now());
    Some(request)
}

/// A permit for a request that makes no reservation.
///
/// # Errors
/// When the tenant has used up its limit, or the ledger does not answer.
pub async fn obtain(app: &App, call: &Call) -> Result<Permit, Refusal> {
    let Some(request) = request_of(call) else {
        return Ok(Permit::Unlimited);
    };
    let now = Instant::now();
    let held = app.purse.lock().consume(&request.tenant, now);
    if let Some(until) = held {
        PERMITS.inc("held");
        return Ok(Permit::Until(until));
    }
    PERMITS.inc("asked");
    let deadline = now + queue_timeout(call.left(), ASK_PATIENCE);
    let answer = app.ledger.request(&LedgerRequest::Permit(request.clone()), deadline).await;
    match answer {
        Ok(LedgerResponse::Permit(answer)) => {
            PERMIT_TIMES.observe("answered", now.elapsed());
            accept(app, &request, answer, now)
        }
        _ => {
            PERMIT_TIMES.observe("no answer", now.elapsed());
            Err(Refusal::not_run(NotRunReason::LedgerUnavailable, RETRY_AFTER))
        }
    }
}

/// Takes in what the ledger answered to a question of `asked`.
///
/// # Errors
/// When the tenant has used up its limit.
pub fn accept(
    app: &App,
    request: &PermitRequest,
    answer: PermitAnswer,
    asked: Instant,
) -> Result<Permit, Refusal> {
    match answer {
        PermitAnswer::Granted(grant) => {
            app.purse.lock().add_grant(&request.tenant, grant, asked, Instant::now());
            Ok(Permit::Until(asked + grant.life))
        }
        PermitAnswer::OverLimit(retry_after) => Err(Refusal::OverLimit {
            tenant: request.tenant.clone(),
            limit: request.limit,
            configuration: request.configuration,
            retry_after,
        }),
    }
}

fn request_of(call: &Call) -> Option<PermitRequest> {
    let tenant = call.tenant.as_ref()?;
    Some(PermitRequest {
        tenant: tenant.id.clone(),
        limit: tenant.limit?,
        configuration: call.table.version(),
        spare: 0,
    })
}
