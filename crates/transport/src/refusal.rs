//! Frames that cannot be read: counted all, logged now and then.

use std::fmt::Display;
use std::time::{Duration, Instant};

use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_wire::FrameError;
use parking_lot::Mutex;

use crate::version::VersionError;

/// Time between two log lines of one kind of link: a peer of another build opens a connection
/// after the other, each of which fails alike.
const LINE_EVERY: Duration = Duration::from_secs(1);

static REFUSED: Counter = Counter::new(
    "calicohoist_frames_refused_total",
    "Frames that could not be read, by the link on which they came",
    "link",
);

/// Notes what came on one kind of link and could not be read.
pub struct RefusalLog {
    link: &'static str,
    logged: Mutex<Option<Instant>>,
}

impl RefusalLog {
    /// For links that operators know as `link`.
    pub const fn new(link: &'static str) -> Self {
        Self { link, logged: Mutex::new(None) }
    }

    /// Notes that a frame of `peer` could not be read. A connection that broke is no refusal.
    pub fn note(&self, peer: impl Display, error: &FrameError) {
        if !matches!(error, FrameError::Io(_)) {
            self.refuse(peer, error);
        }
    }

    /// Notes that no version could be agreed on with `peer`.
    pub fn note_version(&self, peer: impl Display, error: &VersionError) {
        match error {
            VersionError::Io(_) => {}
            VersionError::Unreadable(error) => self.note(peer, error),
            VersionError::NotAnswered | VersionError::NoneCommon { .. } => {
                self.refuse(peer, error);
            }
        }
    }

    fn refuse(&self, peer: impl Display, error: impl Display) {
        REFUSED.count(self.link);
        let now = Instant::now();
        let mut logged = self.logged.lock();
        if logged.is_some_and(|at| now < at + LINE_EVERY) {
            return;
        }
        *logged = Some(now);
        emit!(Event::FrameRefused; link = self.link, peer = peer, error = error);
    }
}
