//! Clears the crashes under requests that turn out to be harmless.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{clear_commands, report_answer};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::CrashRecord;
use calicohoist_telemetry::{Event, emit};

use crate::app::App;
use crate::flow::call::Call;

/// Timeout for clearing a crash at the other gateways. Covers a leader election.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for reporting an answer. Further answers follow.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Records that a replica has answered a request, as it does if many clients send the same harmless
/// one. Crashes under it that no longer count here are cleared in the ledger in the background. Until
/// then the ledger adds up the answers of all gateways.
pub(super) fn record_answer(app: &Arc<App>, call: &Call, replica: &str) {
    let (request, newest, cleared) = {
        let mut crashes = app.crashes.lock();
        if crashes.is_empty() {
            return;
        }
        let (request, now) = (call.fingerprint(), Instant::now());
        let newest = crashes.newest_crash(&request, now).map(str::to_owned);
        (request, newest, crashes.record_answered(&request, replica, now))
    };
    let record = |replica| {
        let tenant = call.tenant_name().map(str::to_owned);
        CrashRecord { tenant, request, replica }
    };
    if let Some(newest) = newest.filter(|_| cleared.is_empty()) {
        tokio::spawn(report(Arc::clone(app), record(newest), replica.to_owned()));
    }
    for replica in cleared {
        tokio::spawn(store(Arc::clone(app), record(replica)));
    }
}

/// Reports an answer since the newest crash that this gateway knows.
async fn report(app: Arc<App>, newest: CrashRecord, replica: String) {
    let question = LedgerRequest::Settle(report_answer(&newest, &replica));
    let _ = app.ledger.request(&question, Instant::now() + REPORT_TIMEOUT).await;
}

async fn store(app: Arc<App>, record: CrashRecord) {
    // A graceful shutdown waits for the record.
    let _guard = app.begin_task();
    let deadline = Instant::now() + CLEAR_TIMEOUT;
    let mut is_stored = true;
    for command in clear_commands(&record) {
        // A crash is not cleared unless its account goes on counting it.
        if is_stored {
            let answer = app.ledger.request(&LedgerRequest::Settle(command), deadline).await;
            is_stored = matches!(answer, Ok(LedgerResponse::Settled));
        }
    }
    let CrashRecord { request, replica, .. } = record;
    emit!(Event::CrashCleared; content = request, replica = replica, stored = is_stored);
}
