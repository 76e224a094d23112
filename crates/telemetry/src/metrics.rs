//! The process-wide metrics registry and its text form.
//!
//! Metrics are declared beside the code that they count; this module only collects them.

use std::sync::OnceLock;

use std::time::Duration;

use prometheus::{
    Encoder, HistogramVec, IntCounterVec, IntGauge, TextEncoder, register_histogram_vec,
    register_int_counter_vec, register_int_gauge,
};

/// Content type of [`render`]'s text.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// All metrics of the process in the Prometheus text format.
pub fn render() -> String {
    let mut text = Vec::new();
    let families = prometheus::gather();
    let encoded = TextEncoder::new().encode(&families, &mut text);
    if encoded.is_err() {
        return String::new();
    }
    String::from_utf8(text).unwrap_or_default()
}

/// A counter with one label, registered when it first counts.
pub struct Counter {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    registered: OnceLock<Option<IntCounterVec>>,
}

impl Counter {
    /// A counter called `name`, told apart by the values of `label`.
    pub const fn new(name: &'static str, help: &'static str, label: &'static str) -> Self {
        Self { name, help, label, registered: OnceLock::new() }
    }

    /// Counts one under `value` of the label.
    pub fn count(&self, value: &str) {
        self.add(value, 1);
    }

    /// Counts `amount` under `value` of the label.
    pub fn add(&self, value: &str, amount: u64) {
        let registered = self
            .registered
            .get_or_init(|| register_int_counter_vec!(self.name, self.help, &[self.label]).ok());
        if let Some(counter) = registered {
            counter.with_label_values(&[value]).inc_by(amount);
        }
    }
}

/// Bytes that were sent, by what they are and how far they went; registered when the first are
/// counted.
pub struct TrafficCounter {
    name: &'static str,
    help: &'static str,
    registered: OnceLock<Option<IntCounterVec>>,
}

impl TrafficCounter {
    /// A counter called `name`, with the labels `kind` and `distance`.
    pub const fn new(name: &'static str, help: &'static str) -> Self {
        Self { name, help, registered: OnceLock::new() }
    }

    /// Counts bytes of this kind that went so far.
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

/// A value that goes up and down, registered when it is first shown.
pub struct Gauge {
    name: &'static str,
    help: &'static str,
    registered: OnceLock<Option<IntGauge>>,
}

impl Gauge {
    /// A gauge called `name`.
    pub const fn new(name: &'static str, help: &'static str) -> Self {
        Self { name, help, registered: OnceLock::new() }
    }

    /// Shows `value`.
    pub fn show(&self, value: u64) {
        let registered =
            self.registered.get_or_init(|| register_int_gauge!(self.name, self.help).ok());
        if let Some(gauge) = registered {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }
}

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Times with one label, registered when one is first measured.
pub struct Times {
    name: &'static str,
    help: &'static str,
    label: &'static str,
    registered: OnceLock<Option<HistogramVec>>,
}

impl Times {
    /// Times called `name`, told apart by the values of `label`.
    pub const fn new(name: &'static str, help: &'static str, label: &'static str) -> Self {
        Self { name, help, label, registered: OnceLock::new() }
    }

    /// Notes one time under `value` of the label.
    pub fn note(&self, value: &str, time: Duration) {
        let registered = self.registered.get_or_init(|| {
            let buckets = TIME_BUCKETS.to_vec();
            register_histogram_vec!(self.name, self.help, &[self.label], buckets).ok()
        });
        if let Some(times) = registered {
            times.with_label_values(&[value]).observe(time.as_secs_f64());
        }
    }
}
