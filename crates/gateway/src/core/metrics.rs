//! What a gateway counts of its calls.

use std::sync::LazyLock;

use prometheus::{IntCounterVec, IntGauge, register_int_counter_vec, register_int_gauge};

/// Calls that ended, by what is certain about them.
pub(super) static CALLS_ENDED: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Calls that ended, by outcome";
    register_int_counter_vec!("calicohoist_calls_ended_total", help, &["outcome"]).ok()
});

/// Attempts that were sent to back ends, by whether they resumed an earlier one.
pub(super) static ATTEMPTS_SENT: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Attempts sent to back ends";
    register_int_counter_vec!("calicohoist_attempts_sent_total", help, &["kind"]).ok()
});

/// Attempts that failed.
pub(super) static ATTEMPTS_FAILED: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Attempts that failed, by how";
    register_int_counter_vec!("calicohoist_attempts_failed_total", help, &["failure"]).ok()
});

/// Calls under way.
pub(super) static CALLS_UNDER_WAY: LazyLock<Option<IntGauge>> = LazyLock::new(|| {
    register_int_gauge!("calicohoist_calls_under_way", "Calls under way in this process").ok()
});

/// Revision of the configuration that this gateway acts on.
pub(super) static APPLIED_REVISION: LazyLock<Option<IntGauge>> = LazyLock::new(|| {
    register_int_gauge!("calicohoist_applied_revision", "Revision of the configuration").ok()
});

/// Counts one of `counter` under `label`.
pub(super) fn count(counter: &LazyLock<Option<IntCounterVec>>, label: &str) {
    if let Some(counter) = counter.as_ref() {
        counter.with_label_values(&[label]).inc();
    }
}

/// Shows `value` in `gauge`.
pub(super) fn show(gauge: &LazyLock<Option<IntGauge>>, value: u64) {
    if let Some(gauge) = gauge.as_ref() {
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    }
}
