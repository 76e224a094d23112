//! Permission of the ledger to send a request under which replicas have crashed.
//!
//! A request is sent at most as often as replicas may still crash under it, over all gateways. A send
//! whose gateway is lost counts as a crash.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{Reservation, SettleTurn, release_send, reserve_send};
use calicohoist_ledger::protocol::CrashNotice;
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::RequestFingerprint;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use tokio::runtime::Handle;

use crate::app::App;
use crate::flow::error::{GatewayError, NotExecutedReason};
use crate::flow::turn::RETRY_AFTER;

static GRANTS: Counter = Counter::new(
    "calicohoist_proxy_send_grants_total",
    "Requests under which replicas crashed that were to be sent again, by answer of the ledger",
    "answer",
);

/// Timeout for a permission. Covers a leader election.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for counting a request that was sent before its first crash was known. The gateway
/// acknowledges the crash after that.
const EXPOSURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for giving a permission back in the background. Covers a leader election.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Permission to send a request once. Given back when dropped.
pub struct SendGrant {
    app: Arc<App>,
    request: RequestFingerprint,
    send: String,
}

impl fmt::Debug for SendGrant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("SendGrant");
        fields.field("request", &self.request).field("send", &self.send).finish()
    }
}

impl Drop for SendGrant {
    fn drop(&mut self) {
        settle_later(&self.app, release_send(&self.request, &self.send));
    }
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// The crashes and the sends under way use up the account of the request.
    AccountSpent,
    /// No leader answered in time.
    NoLeader,
}

/// Asks the ledger for the permission to send a request once.
///
/// # Errors
/// Returns an error if the request must not be sent.
pub(super) async fn acquire(
    app: &Arc<App>,
    request: RequestFingerprint,
    deadline: Instant,
) -> Result<SendGrant, GatewayError> {
    let deadline = deadline.min(Instant::now() + GRANT_TIMEOUT);
    let result = reserve(app, request, deadline).await;
    let answer = match &result {
        Ok(_) => "granted",
        Err(Refusal::AccountSpent) => "refused",
        Err(Refusal::NoLeader) => "no_leader",
    };
    GRANTS.inc(answer);
    emit!(Event::SendPermitted; content = request, answer = answer);
    result.map_err(|refusal| {
        let reason = match refusal {
            Refusal::AccountSpent => NotExecutedReason::Quarantined,
            Refusal::NoLeader => NotExecutedReason::LedgerUnavailable,
        };
        GatewayError::not_executed(reason, RETRY_AFTER)
    })
}

async fn reserve(
    app: &Arc<App>,
    request: RequestFingerprint,
    deadline: Instant,
) -> Result<SendGrant, Refusal> {
    let send = format!("{}-{:016x}", app.settings.name, rand::random::<u64>());
    let cleared = app.crashes.lock().cleared(&request, Instant::now());
    let question = LedgerRequest::Reserve {
        reserve: reserve_send(&request, &send, cleared),
        placement: None,
        permit: None,
    };
    // Given back unless it is returned, also if the request ends meanwhile: it may have been given although
    // no answer says so.
    let grant = SendGrant { app: Arc::clone(app), request, send };
    match app.ledger.request(&question, deadline).await {
        Ok(LedgerResponse::Reserved { reservation: Reservation::Granted, .. }) => Ok(grant),
        Ok(LedgerResponse::Reserved { .. }) => Err(Refusal::AccountSpent),
        Ok(_) | Err(_) => Err(Refusal::NoLeader),
    }
}

/// Counts the requests that this gateway has under way, and under which the first crash has just
/// become known, as sends that may crash a replica.
pub async fn count_exposed(app: &Arc<App>, notices: &[CrashNotice]) {
    let is_exposed = |request: RequestFingerprint, replica: &str| {
        let is_same = |notice: &&CrashNotice| notice.request == request && !notice.is_cleared();
        let mut crashes = notices.iter().filter(is_same).peekable();
        crashes.peek().is_some() && crashes.all(|notice| notice.replica != replica)
    };
    let sends = app.sends.without_grant().into_iter();
    let exposed = sends.filter(|open| is_exposed(open.fingerprint(), &open.replica));
    let deadline = Instant::now() + EXPOSURE_TIMEOUT;
    for open in exposed {
        // Without room in the account nothing is sent again anyway.
        if let Ok(grant) = reserve(app, open.fingerprint(), deadline).await {
            open.hold_grant(grant);
        }
    }
}

/// Sends a command to the ledger in the background.
fn settle_later(app: &Arc<App>, settle: SettleTurn) {
    // There is no runtime once the gateway has ended.
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    let (guard, app) = (app.begin_task(), Arc::clone(app));
    runtime.spawn(async move {
        let _guard = guard;
        let question = LedgerRequest::Settle(settle);
        if app.ledger.request(&question, Instant::now() + RELEASE_TIMEOUT).await.is_err() {
            emit!(Event::SettlementLost; request = "permission to send again");
        }
    });
}
