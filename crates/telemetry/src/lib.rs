//! Numbered log events, log output and the metrics registry.

pub mod bounded;
pub mod events;
pub mod logging;
pub mod metrics;

pub use events::Event;
pub use logging::{LogFormat, LogSettings};
