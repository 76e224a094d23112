//! Replicas that crash while they run a request.
//!
//! When a replica closes the connection of a request, it is checked in the background whether it has
//! crashed, and a crash is recorded in the ledger, which all gateways follow. Sending the request
//! elsewhere waits for that only if the result could put the request into quarantine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::store_crash;
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::prelude::*;
use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use tokio::task::JoinHandle;

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use super::turn::RETRY_AFTER;
use crate::app::App;
use crate::upstream::{ProcessState, check_process};

static CHECKS: Counter = Counter::new(
    "calicohoist_proxy_replica_checks_total",
    "Checks of replicas that closed a connection during a request, by state of the process",
    "state",
);

/// Maximum time for which a request waits for the record of a crash. Covers a leader election, and
/// the time after which the leader stops waiting for a silent gateway.
const RECORD_WAIT: Duration = Duration::from_millis(2_500);
/// Timeout for recording a crash in the background.
const RECORD_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    /// The replica has not crashed under the request.
    NoCrash,
    /// The replica has crashed, which all gateways learn.
    Recorded,
    /// The replica has crashed, which other gateways have not learned yet.
    Unrecorded,
}

/// Checks of the replicas that closed a connection of one request.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    unfinished: Vec<JoinHandle<CheckResult>>,
    /// Whether a crash could not be recorded. Other gateways do not count it, so the request is not
    /// sent again here.
    has_unrecorded_crash: bool,
}

impl CrashMonitor {
    /// Checks in the background whether a replica has crashed under the request.
    pub fn check(
        &mut self,
        app: &Arc<App>,
        call: &Arc<Call>,
        replica: &Replica,
        closed: ClosedConnection,
    ) {
        if is_expected_to_run(app, replica) {
            let check = check(Arc::clone(app), Arc::clone(call), replica.clone(), closed);
            self.unfinished.push(tokio::spawn(check));
        }
    }

    /// Waits until the request may be sent to a replica: it may if it stays out of quarantine even
    /// if all unfinished checks find a crash.
    ///
    /// # Errors
    /// Returns an error if too many replicas have crashed under the request, if a crash under it
    /// could not be recorded, or if the deadline passes.
    pub async fn admit(&mut self, app: &App, call: &Call) -> Result<(), GatewayError> {
        loop {
            reject_quarantined(app, call)?;
            if self.has_unrecorded_crash {
                return Err(GatewayError::Unknown);
            }
            if self.unfinished.is_empty() {
                return Ok(());
            }
            let crashes = app.crashes.lock().crashes(&call.fingerprint(), Instant::now());
            let is_finished = self.unfinished.iter().any(JoinHandle::is_finished);
            if !is_finished && crashes + self.unfinished.len() < max_crashes(app) {
                return Ok(());
            }
            let finish = tokio::time::timeout_at(call.deadline.into(), self.finish_one());
            finish.await.map_err(|_| GatewayError::Deadline)?;
        }
    }

    /// Returns whether a replica has or may have crashed under the request.
    pub fn is_suspect(&self, app: &App, call: &Call) -> bool {
        if !self.unfinished.is_empty() {
            return true;
        }
        let crashes = app.crashes.lock();
        !crashes.is_empty() && crashes.crashes(&call.fingerprint(), Instant::now()) > 0
    }

    /// Waits for all checks, at most until the deadline, before a request fails that its client may
    /// repeat at once.
    pub async fn finish_before_retry(&mut self, call: &Call) {
        let finish = async {
            while !self.unfinished.is_empty() {
                self.finish_one().await;
            }
        };
        // The remaining checks continue in the background.
        let _ = tokio::time::timeout_at(call.deadline.into(), finish).await;
    }

    /// Waits for a check, if possible for one that has finished.
    async fn finish_one(&mut self) {
        let finished = self.unfinished.iter().position(JoinHandle::is_finished);
        let index = finished.unwrap_or_default();
        if let Some(check) = self.unfinished.get_mut(index) {
            // A check that panicked has found nothing.
            let result = check.await.unwrap_or(CheckResult::NoCrash);
            self.has_unrecorded_crash |= result == CheckResult::Unrecorded;
            self.unfinished.swap_remove(index);
        }
    }
}

/// Returns the number of crashes from which on this gateway does not send a request.
fn max_crashes(app: &App) -> usize {
    if app.follows_ledger(Instant::now()) { MAX_CRASHES } else { 1 }
}

async fn check(
    app: Arc<App>,
    call: Arc<Call>,
    replica: Replica,
    closed: ClosedConnection,
) -> CheckResult {
    let follows_ledger = app.follows_ledger(Instant::now());
    let service = call.table.service(&replica.service);
    let health_path = service.and_then(|service| service.health_path.as_deref());
    let process = check_process(app.dialect(), &replica, health_path).await;
    CHECKS.inc(process.as_str());
    let has_crashed = has_crashed_under_request(process, closed);
    let request = call.fingerprint();
    emit!(
        Event::ReplicaChecked;
        request = call.head.request_id,
        content = request,
        replica = replica.id,
        process = process,
        crashed = has_crashed,
        follows_ledger = follows_ledger,
    );
    if !has_crashed {
        return CheckResult::NoCrash;
    }
    app.crashes.lock().record(request, &replica.id, CRASH_RETENTION, Instant::now());
    let tenant = call.tenant_name().map(str::to_owned);
    let storing = tokio::spawn(store(
        Arc::clone(&app),
        CrashRecord { tenant, request, replica: replica.id.clone() },
    ));
    match tokio::time::timeout(RECORD_WAIT, storing).await {
        Ok(Ok(true)) => CheckResult::Recorded,
        Ok(Ok(false) | Err(_)) | Err(_) => {
            emit!(Event::CrashRecordLate; content = request, replica = replica.id);
            CheckResult::Unrecorded
        }
    }
}

/// Records a crash in the ledger. Returns whether it was recorded.
async fn store(app: Arc<App>, record: CrashRecord) -> bool {
    // A graceful shutdown waits for the record.
    let _guard = app.begin_task();
    let started_at = Instant::now();
    let question = LedgerRequest::Settle(store_crash(&record));
    let answer = app.ledger.request(&question, started_at + RECORD_TIMEOUT).await;
    // `Noted`: the tenant has too many records, and the crash counts at this gateway only.
    let is_recorded = matches!(answer, Ok(LedgerResponse::Settled | LedgerResponse::Noted));
    if is_recorded {
        emit!(
            Event::CrashRecorded;
            content = record.request,
            replica = record.replica,
            took_ms = started_at.elapsed().as_millis(),
        );
    }
    is_recorded
}

/// Returns whether the replica is listed as ready. One that drains or has left the list ends by
/// plan.
fn is_expected_to_run(app: &App, replica: &Replica) -> bool {
    let member = app.fleet.find(&replica.id);
    member.is_some_and(|member| member.replica.state == ReplicaState::Ready)
}

/// Returns whether the process ended after the request had reached it. A process that runs again
/// already had ended earlier, unless it had accepted the connection for this request.
fn has_crashed_under_request(process: ProcessState, closed: ClosedConnection) -> bool {
    match process {
        ProcessState::Ended => true,
        ProcessState::Restarted => closed == ClosedConnection::WasInUse,
        ProcessState::Running | ProcessState::Unresponsive => false,
    }
}
