//! Reports unresponsive replicas to the leader of the ledger.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::LedgerRequest;
use calicohoist_telemetry::metrics::Counter;

use crate::app::App;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

static REPORTS: Counter = Counter::new(
    "calicohoist_proxy_failures_reported_total",
    "Reports of replicas without an answer, by outcome",
    "outcome",
);

/// Reports to the leader that a replica did not respond, unless a report is already pending.
pub fn report(app: &Arc<App>, replica: &str) {
    if !app.fleet.begin_report(replica) {
        return;
    }
    let app = Arc::clone(app);
    let replica = replica.to_owned();
    tokio::spawn(async move {
        let question = LedgerRequest::ReportFailure { replica: replica.clone() };
        let result = app.ledger.request(&question, Instant::now() + REPORT_TIMEOUT).await;
        REPORTS.inc(if result.is_ok() { "told" } else { "no answer" });
        app.fleet.end_report(&replica);
    });
}
