//! Clears the crashes under requests that turn out to be harmless.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::clear_crash;
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::CrashRecord;
use calicohoist_telemetry::{Event, emit};

use crate::app::App;
use crate::flow::call::Call;

/// Timeout for clearing a crash at the other gateways. Covers a leader election.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(20);

/// Records that a replica has answered a request, as it does if many clients send the same harmless
/// one. Crashes under it that no longer count here are cleared in the ledger in the background.
pub(super) fn record_answer(app: &Arc<App>, call: &Call, replica: &str) {
    let (request, cleared) = {
        let mut crashes = app.crashes.lock();
        if crashes.is_empty() {
            return;
        }
        let request = call.fingerprint();
        (request, crashes.record_answered(&request, replica, Instant::now()))
    };
    for replica in cleared {
        let tenant = call.tenant_name().map(str::to_owned);
        tokio::spawn(store(Arc::clone(app), CrashRecord { tenant, request, replica }));
    }
}

async fn store(app: Arc<App>, record: CrashRecord) {
    // A graceful shutdown waits for the record.
    let _guard = app.begin_task();
    let question = LedgerRequest::Settle(clear_crash(&record));
    let answer = app.ledger.request(&question, Instant::now() + CLEAR_TIMEOUT).await;
    let is_stored = matches!(answer, Ok(LedgerResponse::Settled));
    let CrashRecord { request, replica, .. } = record;
    emit!(Event::CrashCleared; content = request, replica = replica, stored = is_stored);
}
