//! What a store machine counts.

use std::sync::LazyLock;

use prometheus::{IntCounterVec, IntGauge, register_int_counter_vec, register_int_gauge};

/// Requests of gateways, by kind.
static REQUESTS: LazyLock<Option<IntCounterVec>> = LazyLock::new(|| {
    let help = "Requests of gateways and tools, by kind";
    register_int_counter_vec!("calicohoist_store_requests_total", help, &["kind"]).ok()
});

/// Groups that this machine leads.
static GROUPS_LED: LazyLock<Option<IntGauge>> = LazyLock::new(|| {
    register_int_gauge!("calicohoist_store_groups_led", "Groups that this machine leads").ok()
});

/// Counts a request.
pub(crate) fn count_request(kind: &str) {
    if let Some(counter) = REQUESTS.as_ref() {
        counter.with_label_values(&[kind]).inc();
    }
}

/// Shows how many groups are led.
pub(crate) fn show_groups_led(groups: usize) {
    if let Some(gauge) = GROUPS_LED.as_ref() {
        gauge.set(groups as i64);
    }
}
