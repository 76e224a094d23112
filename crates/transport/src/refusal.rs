//! Counts frames that cannot be read and logs them at a limited rate.

use std::fmt::Display;
use std::time::{Duration, Instant};

use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_wire::FrameError;
use parking_lot::Mutex;

use crate::version::VersionError;

/// Minimum interval between log lines of one kind of link. An incompatible peer reconnects
/// repeatedly, and each attempt fails in the same way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

static FRAMES_REFUSED: Counter = Counter::new(
    "calicohoist_frames_refused_total",
    "Frames that could not be read, by the link on which they came",
    "link",
);

/// Records frames of one kind of link that could not be read.
pub struct RefusedFrameLog {
    link: &'static str,
    last_logged: Mutex<Option<Instant>>,
}

impl RefusedFrameLog {
    /// Creates a recorder for the kind of link shown as `link` in logs and metrics.
    pub const fn new(link: &'static str) -> Self {
        Self { link, last_logged: Mutex::new(None) }
    }

    /// Records a frame of `peer` that could not be read. Connection errors are ignored.
    pub fn record(&self, peer: impl Display, error: &FrameError) {
        if !matches!(error, FrameError::Io(_)) {
            self.report(peer, error);
        }
    }

    /// Records a failed version negotiation with `peer`. Connection errors are ignored.
    pub fn record_version_error(&self, peer: impl Display, error: &VersionError) {
        match error {
            VersionError::Io(_) => {}
            VersionError::Malformed(error) => self.record(peer, error),
            VersionError::NoAnswer | VersionError::NoCommonVersion { .. } => {
                self.report(peer, error);
            }
        }
    }

    fn report(&self, peer: impl Display, error: impl Display) {
        FRAMES_REFUSED.inc(self.link);
        let now = Instant::now();
        let mut last_logged = self.last_logged.lock();
        if last_logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        *last_logged = Some(now);
        emit!(Event::FrameRefused; link = self.link, peer = peer, error = error);
    }
}
