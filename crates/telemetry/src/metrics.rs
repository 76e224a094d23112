//! The process-wide metrics registry and its text form.
//!
//! Metrics are declared beside the code that they count; this module only collects them.

use prometheus::{Encoder, TextEncoder};

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
