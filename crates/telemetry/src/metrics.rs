//! Metric types and the text rendering of the process-wide Prometheus registry.
//!
//! Metrics are declared as statics next to the code that updates them.

use std::sync::OnceLock;

use std::time::Duration;

use prometheus::{
    Encoder, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, TextEncoder,
    register_histogram_vec, register_int_counter_vec, register_int_gauge, register_int_gauge_vec,
};

/// Content type of the text that [`render`] returns.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Renders all metrics of the process in the Prometheus text format.
pub fn render() -> String {
    let mut text = Vec::new();
    let families = prometheus::gather();
    let encoded = TextEncoder::new().encode(&families, &mut text);
    if encoded.is_err() {
        return String::new();
    }
    String::from_utf8(text).unwrap_or_default()
}

/// Counter with one label, registered on first use.
pub struct Counter {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    registered: OnceLock<Option<IntCounterVec>>,
}

impl Counter {
    /// Creates a counter with the given name, help text and label name.
    pub const fn new(name: &'static str, help: &'static str, label: &'static str) -> Self {
        Self { name, help, label, registered: OnceLock::new() }
    }

    /// Increments the counter for the label value `value`.
    pub fn inc(&self, value: &str) {
        self.add(value, 1);
    }

    /// Adds `amount` to the counter for the label value `value`.
    pub fn add(&self, value: &str, amount: u64) {
        let registered = self
            .registered
            .get_or_init(|| register_int_counter_vec!(self.name, self.help, &[self.label]).ok());
        if let Some(counter) = registered {
            counter.with_label_values(&[value]).inc_by(amount);
        }
    }
}

/// Counter of sent bytes by kind of traffic and network distance, registered on first use.
pub struct TrafficCounter {
    name: &'static str,
    help: &'static str,
    registered: OnceLock<Option<IntCounterVec>>,
}

impl TrafficCounter {
    /// Creates a counter with the labels `kind` and `distance`.
    pub const fn new(name: &'static str, help: &'static str) -> Self {
        Self { name, help, registered: OnceLock::new() }
    }

    /// Adds `bytes` to the counter for `kind` and `distance`.
    pub fn add(&self, kind: &str, distance: &str, bytes: usize) {
        let labels = &["kind", "distance"];
        let registered = self
            .registered
            .get_or_init(|| register_int_counter_vec!(self.name, self.help, labels).ok());
        if let Some(counter) = registered {
            counter.with_label_values(&[kind, distance]).inc_by(bytes as u64);
        }
    }
}

/// Gauge without labels, registered on first use.
pub struct Gauge {
    name: &'static str,
    help: &'static str,
    registered: OnceLock<Option<IntGauge>>,
}

impl Gauge {
    /// Creates a gauge with the given name and help text.
    pub const fn new(name: &'static str, help: &'static str) -> Self {
        Self { name, help, registered: OnceLock::new() }
    }

    /// Sets the gauge to `value`.
    pub fn set(&self, value: u64) {
        let registered =
            self.registered.get_or_init(|| register_int_gauge!(self.name, self.help).ok());
        if let Some(gauge) = registered {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }
}

/// Gauge with one label, registered on first use.
pub struct LabeledGauge {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    registered: OnceLock<Option<IntGaugeVec>>,
}

impl LabeledGauge {
    /// Creates a gauge with the given name, help text and label name.
    pub const fn new(name: &'static str, help: &'static str, label: &'static str) -> Self {
        Self { name, help, label, registered: OnceLock::new() }
    }

    /// Sets the gauge for the label value `value` to `amount`.
    pub fn set(&self, value: &str, amount: u64) {
        let registered = self
            .registered
            .get_or_init(|| register_int_gauge_vec!(self.name, self.help, &[self.label]).ok());
        if let Some(gauge) = registered {
            gauge.with_label_values(&[value]).set(i64::try_from(amount).unwrap_or(i64::MAX));
        }
    }
}

/// Upper bounds of the histogram buckets, in seconds.
const DURATION_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Histogram of durations with one label, registered on first use.
pub struct DurationHistogram {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    registered: OnceLock<Option<HistogramVec>>,
}

impl DurationHistogram {
    /// Creates a histogram with the given name, help text and label name.
    pub const fn new(name: &'static str, help: &'static str, label: &'static str) -> Self {
        Self { name, help, label, registered: OnceLock::new() }
    }

    /// Records one duration under the label value `value`.
    pub fn observe(&self, value: &str, duration: Duration) {
        let registered = self.registered.get_or_init(|| {
            let buckets = DURATION_BUCKETS.to_vec();
            register_histogram_vec!(self.name, self.help, &[self.label], buckets).ok()
        });
        if let Some(histogram) = registered {
            histogram.with_label_values(&[value]).observe(duration.as_secs_f64());
        }
    }
}
