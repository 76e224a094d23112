//! Finds out in the background whether a replica has crashed under a request that failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{charge_crash, store_crash};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::{CRASH_RETENTION, CrashRecord, RequestFingerprint};
use calicohoist_routing::Replica;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};

use super::ClosedConnection;
use crate::app::App;
use crate::fleet::ListStatus;
use crate::sends::{OpenSend, SendStage};
use crate::upstream::{ProcessState, check_listener, check_process};

static CHECKS: Counter = Counter::new(
    "calicohoist_proxy_replica_checks_total",
    "Checks of replicas under whose requests a connection ended, by state of the process",
    "state",
);

/// Delays before each check of a replica. A process may end after the request was given up.
const CHECK_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_000),
];
/// Time after the checks in which a replica that leaves the list counts as crashed. Longer than the
/// list keeps a crashed replica.
const DEPARTURE_TIME: Duration = Duration::from_secs(10);
/// Interval between looks at the list.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for which a request waits for the record of a crash. Covers a leader election, and
/// the time after which the leader stops waiting for a silent gateway.
const RECORD_WAIT: Duration = Duration::from_millis(2_500);
/// Timeout for recording a crash in the background.
const RECORD_TIMEOUT: Duration = Duration::from_secs(20);

/// How a request ended without a whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestFailure {
    /// The replica closed the connection.
    Closed(ClosedConnection),
    /// The gateway closed the connection: the client left, the deadline passed, or the response was
    /// malformed.
    GivenUp,
}

/// What is checked.
#[derive(Clone, Debug)]
pub(super) struct CheckSubject {
    /// Replica that received the request.
    pub replica: Replica,
    /// Path at which the replica reports its health.
    pub health_path: Option<String>,
    /// Id of the request, for the log.
    pub request: String,
    /// Tenant that sent the request.
    pub tenant: Option<String>,
    /// How the request ended.
    pub failure: RequestFailure,
}

impl CheckSubject {
    fn record(&self, request: RequestFingerprint) -> CrashRecord {
        let (tenant, replica) = (self.tenant.clone(), self.replica.id.clone());
        CrashRecord { tenant, request, replica }
    }
}

/// Result of one check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// The replica has crashed under the request.
    Crashed,
    /// The replica has crashed, possibly before the request reached it.
    Unconfirmed,
    /// The replica has not crashed under the request, and will not.
    NotCrashed,
    /// The replica runs, and may still crash under the request.
    Running,
    /// Nothing is known.
    Unknown,
}

/// Checks a replica until it is known whether it crashed under the request.
pub(super) async fn run(app: Arc<App>, open: Arc<OpenSend>, subject: CheckSubject) {
    // Also drops the request, whose body is not needed any more.
    let request = open.fingerprint();
    match check_repeatedly(&app, &open, &subject).await {
        Finding::Crashed => record(&app, &open, request, &subject).await,
        Finding::Unconfirmed => record_unconfirmed(&app, request, &subject),
        Finding::NotCrashed => {}
        finding @ (Finding::Running | Finding::Unknown) => {
            match finding {
                Finding::Unknown => app.sends.set_stage(&open, SendStage::Unclear),
                _ => end(&app, &open),
            }
            if watch_departure(&app, &subject, &open).await {
                record(&app, &open, request, &subject).await;
            }
        }
    }
    end(&app, &open);
    app.sends.end_check(&open);
}

fn end(app: &App, open: &OpenSend) {
    drop(open.take_grant());
    app.sends.set_stage(open, SendStage::Ended);
}

async fn check_repeatedly(app: &Arc<App>, open: &OpenSend, subject: &CheckSubject) -> Finding {
    // A graceful shutdown waits for the checks.
    let _guard = app.begin_task();
    let mut finding = Finding::Unknown;
    for delay in CHECK_DELAYS {
        tokio::time::sleep(delay).await;
        finding = check(app, open, subject).await;
        match finding {
            Finding::Crashed | Finding::Unconfirmed | Finding::NotCrashed => return finding,
            Finding::Running => app.sends.set_stage(open, SendStage::Unclear),
            Finding::Unknown => app.sends.set_stage(open, SendStage::Unreachable),
        }
    }
    finding
}

/// Returns whether the replica leaves the list without having drained.
async fn watch_departure(app: &App, subject: &CheckSubject, open: &OpenSend) -> bool {
    let until = Instant::now() + DEPARTURE_TIME;
    while Instant::now() < until {
        tokio::time::sleep(DEPARTURE_INTERVAL).await;
        match app.fleet.list_status(&subject.replica.id) {
            ListStatus::Ready => {}
            ListStatus::EndsByPlan => return false,
            ListStatus::Departed { .. } => {
                return check(app, open, subject).await == Finding::Crashed;
            }
        }
    }
    false
}

async fn check(app: &App, open: &OpenSend, subject: &CheckSubject) -> Finding {
    if open.is_answered_since() {
        return Finding::NotCrashed;
    }
    let status = app.fleet.list_status(&subject.replica.id);
    if status == ListStatus::EndsByPlan {
        return Finding::NotCrashed;
    }
    let has_departed = matches!(status, ListStatus::Departed { .. });
    match subject.failure {
        RequestFailure::GivenUp if !has_departed => check_given_up(app, open, subject).await,
        RequestFailure::GivenUp | RequestFailure::Closed(_) => {
            let CheckSubject { replica, health_path, .. } = subject;
            let process =
                check_process(&app.pool, app.dialect(), replica, health_path.as_deref()).await;
            let finding = assess(open, subject, process, status);
            report(app, open, subject, process, finding);
            finding
        }
    }
}

/// Checks a replica that has not closed the connection of the request. Requests are given up often,
/// so another connection that is open serves as evidence.
async fn check_given_up(app: &App, open: &OpenSend, subject: &CheckSubject) -> Finding {
    let replica = &subject.replica;
    let is_busy = app.fleet.find(&replica.id).is_some_and(|member| member.loads().0 > 0);
    if is_busy || app.pool.has_idle(&replica.id) {
        return Finding::Running;
    }
    let process = check_listener(&app.pool, replica).await;
    let finding = assess(open, subject, process, ListStatus::Ready);
    if finding == Finding::Crashed {
        report(app, open, subject, process, finding);
    }
    finding
}

/// Decides whether the process ended after the request had reached it.
fn assess(
    open: &OpenSend,
    subject: &CheckSubject,
    process: ProcessState,
    status: ListStatus,
) -> Finding {
    match (process, subject.failure) {
        (ProcessState::Ended, _) => Finding::Crashed,
        (ProcessState::Restarted, RequestFailure::Closed(ClosedConnection::WasIdle)) => {
            Finding::Unconfirmed
        }
        (ProcessState::Restarted, _) => Finding::Crashed,
        (ProcessState::Running, RequestFailure::Closed(_)) => Finding::NotCrashed,
        (ProcessState::Running, RequestFailure::GivenUp) => Finding::Running,
        (ProcessState::Unresponsive, _) => match status {
            ListStatus::Ready | ListStatus::EndsByPlan => Finding::Unknown,
            // Replicas that lose power together may have been lost before the request was sent on a
            // connection that was open.
            ListStatus::Departed { with_others: true }
                if open.progress.is_on_reused_connection() =>
            {
                Finding::NotCrashed
            }
            ListStatus::Departed { .. } => Finding::Crashed,
        },
    }
}

fn report(
    app: &App,
    open: &OpenSend,
    subject: &CheckSubject,
    process: ProcessState,
    finding: Finding,
) {
    CHECKS.inc(process.as_str());
    emit!(
        Event::ReplicaChecked;
        request = subject.request,
        content = open.fingerprint(),
        replica = subject.replica.id,
        process = process,
        closed = matches!(subject.failure, RequestFailure::Closed(_)),
        crashed = finding == Finding::Crashed,
        follows_ledger = app.follows_ledger(Instant::now()),
    );
}

/// Records a crash at this gateway and in the ledger.
async fn record(
    app: &Arc<App>,
    open: &Arc<OpenSend>,
    request: RequestFingerprint,
    subject: &CheckSubject,
) {
    let record = subject.record(request);
    app.crashes.lock().record(request, &record.replica, CRASH_RETENTION, Instant::now());
    record_confirmed(app, &request);
    let storing = tokio::spawn(store(Arc::clone(app), Some(Arc::clone(open)), record));
    match tokio::time::timeout(RECORD_WAIT, storing).await {
        Ok(Ok(true)) => {}
        Ok(Ok(false) | Err(_)) | Err(_) => {
            open.mark_unrecorded();
            let replica = &subject.replica.id;
            emit!(Event::CrashRecordLate; content = request, replica = replica);
        }
    }
}

/// Records a crash at this gateway that counts once another one under the request is known.
fn record_unconfirmed(app: &Arc<App>, request: RequestFingerprint, subject: &CheckSubject) {
    let record = subject.record(request);
    app.crashes.lock().record_unconfirmed(record, CRASH_RETENTION, Instant::now());
    record_confirmed(app, &request);
}

/// Records the crashes under a request that another crash under it has confirmed.
pub fn record_confirmed(app: &Arc<App>, request: &RequestFingerprint) {
    let confirmed = app.crashes.lock().take_confirmed(request);
    for record in confirmed {
        app.crashes.lock().record(*request, &record.replica, CRASH_RETENTION, Instant::now());
        tokio::spawn(store(Arc::clone(app), None, record));
    }
}

/// Records a crash in the ledger. Returns whether it was recorded.
async fn store(app: Arc<App>, open: Option<Arc<OpenSend>>, record: CrashRecord) -> bool {
    // A graceful shutdown waits for the record.
    let _guard = app.begin_task();
    let started_at = Instant::now();
    let deadline = started_at + RECORD_TIMEOUT;
    let charge = LedgerRequest::Settle(charge_crash(&record));
    let charged = app.ledger.request(&charge, deadline).await;
    // Given back after the crash was charged, so that the account is never too full.
    drop(open.and_then(|open| open.take_grant()));
    let question = LedgerRequest::Settle(store_crash(&record));
    let answer = app.ledger.request(&question, deadline).await;
    // `Noted`: the tenant has too many records, and the crash counts at this gateway only.
    let is_stored = matches!(answer, Ok(LedgerResponse::Settled | LedgerResponse::Noted));
    if !is_stored || charged.is_err() {
        return false;
    }
    emit!(
        Event::CrashRecorded;
        content = record.request,
        replica = record.replica,
        took_ms = started_at.elapsed().as_millis(),
    );
    true
}
