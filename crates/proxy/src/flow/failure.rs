//! Reports of replicas that give no answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::LedgerRequest;
use calicohoist_telemetry::metrics::Counter;

use crate::app::App;

/// How long a report is tried: later than that it is no news.
const PATIENCE: Duration = Duration::from_millis(300);

static REPORTS: Counter = Counter::new(
    "calicohoist_proxy_failures_reported_total",
    "Reports of replicas without an answer, by outcome",
    "outcome",
);

/// Tells the leader that a replica gave no answer, unless that is under way.
pub fn report(app: &Arc<App>, replica: &str) {
    if !app.fleet.begin_report(replica) {
        return;
    }
    let app = Arc::clone(app);
    let replica = replica.to_owned();
    tokio::spawn(async move {
        let question = LedgerRequest::ReportFailure { replica: replica.clone() };
        let told = app.ledger.request(&question, Instant::now() + PATIENCE).await;
        REPORTS.inc(if told.is_ok() { "told" } else { "no answer" });
        app.fleet.end_report(&replica);
    });
}
