//! Replicas that crash while they run a request.
//!
//! When a request fails at a replica, it is checked in the background whether the replica has crashed
//! ([`check`]). A crash is recorded in the ledger, which all gateways follow. A request under which no
//! crash is known is sent freely; after one, the ledger permits each further send ([`grant`]) until the
//! request is answered. Answers that show the request to be harmless clear its crashes ([`clear`]).

mod check;
mod clear;
mod grant;

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_quarantine::{MAX_CRASHES, RequestFingerprint};
use calicohoist_routing::Replica;
use tokio::runtime::Handle;

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use super::turn::RETRY_AFTER;
use crate::app::App;
use crate::sends::{OpenSend, SendStage};
use crate::upstream::SendProgress;
pub use check::record_confirmed;
use check::{CheckSubject, RequestFailure};
pub use grant::{SendGrant, count_exposed};

/// How often a request looks whether unreachable replicas have been reached.
const UNREACHABLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time for which a request waits for replicas that closed its connection and cannot be
/// reached.
const MAX_REACH_TIME: Duration = Duration::from_secs(1);

/// How a replica closed the connection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedConnection {
    /// The connection had been idle before the request, and no byte of a response arrived on it.
    /// The replica may have crashed before the request reached it.
    WasIdle,
    /// The replica had accepted the connection, or begun to respond, for this request.
    WasInUse,
}

/// Rejects a request that is in quarantine. A gateway that is cut off from the ledger can neither
/// record crashes nor learn of others, and rejects a request under which any replica has crashed.
///
/// # Errors
/// Returns an error if too many replicas have crashed under the request.
pub fn reject_quarantined(app: &App, call: &Call) -> Result<(), GatewayError> {
    let crashes = app.crashes.lock();
    if crashes.is_empty() {
        return Ok(());
    }
    let (request, now) = (call.fingerprint(), Instant::now());
    if let Some(left) = crashes.quarantine(&request, now) {
        return Err(GatewayError::not_executed(NotExecutedReason::Quarantined, left));
    }
    if crashes.crashes(&request, now) >= max_crashes(app) {
        let reason = NotExecutedReason::LedgerUnavailable;
        return Err(GatewayError::not_executed(reason, RETRY_AFTER));
    }
    Ok(())
}

/// Returns the number of crashes from which on this gateway does not send a request.
fn max_crashes(app: &App) -> usize {
    if app.follows_ledger(Instant::now()) { MAX_CRASHES } else { 1 }
}

/// Returns whether a replica has or may have crashed under the request, as this gateway knows.
fn is_known_suspect(app: &App, call: &Call) -> bool {
    let crashes = app.crashes.lock();
    !crashes.is_empty() && crashes.is_suspect(&call.fingerprint(), Instant::now())
}

/// Returns whether the request must not be sent without a permission of the ledger.
fn needs_permission(app: &App, call: &Call) -> bool {
    let crashes = app.crashes.lock();
    !crashes.is_empty() && crashes.needs_permission(&call.fingerprint(), Instant::now())
}

/// A request that a replica runs. If it is dropped without an outcome, the client has left.
struct RunningRequest {
    app: Arc<App>,
    open: Arc<OpenSend>,
    call: Arc<Call>,
    replica: Replica,
    has_outcome: bool,
}

impl RunningRequest {
    /// Ends a request under which the replica did not crash. Returns the permission for the send.
    fn end(mut self) -> Option<SendGrant> {
        self.has_outcome = true;
        let grant = self.open.take_grant();
        self.app.sends.set_stage(&self.open, SendStage::Ended);
        grant
    }

    /// Checks in the background whether the replica has crashed under the request.
    fn fail(mut self, failure: RequestFailure) -> FailedSend {
        self.has_outcome = true;
        self.check(failure);
        FailedSend { open: Arc::clone(&self.open), failure }
    }

    fn check(&self, failure: RequestFailure) {
        // There is no runtime once the gateway has ended.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let Self { app, open, call, replica, .. } = self;
        app.sends.set_stage(open, SendStage::Checking);
        app.sends.begin_check(open);
        let health_path = call.table.service(&replica.service);
        let subject = CheckSubject {
            replica: replica.clone(),
            health_path: health_path.and_then(|service| service.health_path.clone()),
            request: call.head.request_id.clone(),
            tenant: call.tenant_name().map(str::to_owned),
            failure,
        };
        runtime.spawn(check::run(Arc::clone(app), Arc::clone(open), subject));
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if self.has_outcome {
            return;
        }
        if self.open.progress.is_sent() {
            self.check(RequestFailure::GivenUp);
        } else {
            drop(self.open.take_grant());
            self.app.sends.set_stage(&self.open, SendStage::Ended);
        }
    }
}

/// An attempt that failed.
struct FailedSend {
    open: Arc<OpenSend>,
    failure: RequestFailure,
}

/// Follows the attempts of one request.
#[derive(Default)]
pub struct CrashMonitor {
    running: Option<RunningRequest>,
    failed: Vec<FailedSend>,
    /// End of the time for which the request waits for replicas that closed its connection and
    /// cannot be reached.
    reach_until: Option<Instant>,
    /// Permission for the next attempt, left by one that did not run.
    grant: Option<SendGrant>,
}

impl CrashMonitor {
    /// Waits until it is known whether replicas have crashed under earlier attempts at this gateway.
    ///
    /// # Errors
    /// Returns an error if too many replicas have crashed under the request, if a crash under it
    /// could not be recorded, or if the deadline passes.
    pub async fn admit(&mut self, app: &App, call: &Call) -> Result<(), GatewayError> {
        if app.sends.has_pending() {
            let request = call.fingerprint();
            let finish = async {
                self.wait_until_checked().await;
                finish_pending(app, &request).await;
            };
            let finish = tokio::time::timeout_at(call.deadline().into(), finish);
            finish.await.map_err(|_| GatewayError::Deadline)?;
        }
        // Other gateways do not count a crash that is not recorded, so the request is not sent again
        // here.
        if self.failed.iter().any(|failed| failed.open.is_unrecorded()) {
            return Err(GatewayError::Unknown);
        }
        reject_quarantined(app, call)
    }

    /// Begins an attempt. Asks for a permission if a crash under the request is known.
    ///
    /// # Errors
    /// Returns an error if the request must not be sent.
    pub async fn begin(
        &mut self,
        app: &Arc<App>,
        call: &Arc<Call>,
        replica: &Replica,
    ) -> Result<Arc<SendProgress>, GatewayError> {
        let request = Arc::clone(call);
        // Known to `count_exposed` before crashes are looked up, so that either side sees the other.
        let body_bytes = call.body.len();
        let open = app.sends.insert(&replica.id, body_bytes, move || request.fingerprint());
        let progress = Arc::clone(&open.progress);
        let running = self.running.insert(RunningRequest {
            app: Arc::clone(app),
            open,
            call: Arc::clone(call),
            replica: replica.clone(),
            has_outcome: false,
        });
        if let Some(grant) = self.grant.take() {
            running.open.hold_grant(grant);
        } else if needs_permission(app, call) {
            let grant = grant::acquire(app, call.fingerprint(), call.deadline()).await?;
            running.open.hold_grant(grant);
        }
        Ok(progress)
    }

    /// Records that the replica did not run the request.
    pub fn record_not_executed(&mut self) {
        self.grant = self.running.take().and_then(RunningRequest::end);
    }

    /// Records that the replica has answered completely.
    pub fn record_answered(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        running.app.sends.record_answered(&running.open);
        clear::record_answer(&running.app, &running.call, &running.replica.id);
        drop(running.end());
    }

    /// Records that the replica closed the connection of the request.
    pub fn record_closed(&mut self, closed: ClosedConnection) {
        self.record_failure(RequestFailure::Closed(closed));
    }

    /// Records that this gateway closed the connection of the request.
    pub fn record_given_up(&mut self) {
        self.record_failure(RequestFailure::GivenUp);
    }

    fn record_failure(&mut self, failure: RequestFailure) {
        let Some(running) = self.running.take() else {
            return;
        };
        if matches!(failure, RequestFailure::Closed(_)) {
            self.reach_until.get_or_insert_with(|| reach_until(running.call.deadline()));
        }
        self.failed.push(running.fail(failure));
    }

    /// Waits until the replicas of failed attempts have been checked. One that closed the connection
    /// and cannot be reached is probably crashing, and is waited for; one that did not respond may
    /// have lost its power or network.
    async fn wait_until_checked(&self) {
        for FailedSend { open, failure } in &self.failed {
            open.checked().await;
            if let (RequestFailure::Closed(_), Some(until)) = (failure, self.reach_until) {
                // Afterwards, the replica counts as unreachable.
                let _ = tokio::time::timeout_at(until.into(), open.reached()).await;
            }
        }
    }

    /// Returns whether a replica has or may have crashed under the request.
    pub fn is_suspect(&self, app: &App, call: &Call) -> bool {
        let is_unclear = |failed: &FailedSend| failed.open.stage() != SendStage::Ended;
        self.failed.iter().any(is_unclear) || is_known_suspect(app, call)
    }

    /// Waits until the replicas have been checked and crashes recorded, at most until the deadline,
    /// before a request fails that its client may send again at once.
    pub async fn finish_before_retry(&self, call: &Call) {
        let finish = self.wait_until_checked();
        // The checks continue in the background.
        let _ = tokio::time::timeout_at(call.deadline().into(), finish).await;
    }
}

/// Waits until all replicas under a request have been checked once, and until it stays out of
/// quarantine even if all of them that could not be reached have crashed.
async fn finish_pending(app: &App, request: &RequestFingerprint) {
    for open in app.sends.at_stage(request, SendStage::Checking) {
        open.checked().await;
    }
    loop {
        let unreachable = app.sends.at_stage(request, SendStage::Unreachable).len();
        let crashes = app.crashes.lock().crashes(request, Instant::now());
        if unreachable == 0 || crashes + unreachable < MAX_CRASHES {
            return;
        }
        tokio::time::sleep(UNREACHABLE_INTERVAL).await;
    }
}

/// Returns until when a request waits for unreachable replicas that closed its connection just now.
/// Leaves time for another attempt.
fn reach_until(deadline: Instant) -> Instant {
    let now = Instant::now();
    now + MAX_REACH_TIME.min(deadline.saturating_duration_since(now) * 2 / 3)
}
