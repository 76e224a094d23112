//! Numbered log events, log output and the metrics registry.

pub mod events;
pub mod logging;
pub mod metrics;
pub mod non_blocking;

pub use events::Event;
pub use logging::{LogFormat, LogSettings};
