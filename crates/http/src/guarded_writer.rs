//! Writer of a response whose reader may stall.

use std::io::{self, Write};
use std::time::Duration;

use crate::slow_peer::{Awaited, DeadlineGuard};

/// Maximum number of bytes written under one deadline. A part fits into the buffer of a socket that
/// accepts bytes again, so that bytes only leave the buffer while a write waits.
const PART_BYTES: usize = 16 << 10;

/// Writer whose connection is closed if its peer reads nothing while a write waits.
pub(crate) struct GuardedWriter {
    writer: Box<dyn Write + Send>,
    guard: Option<DeadlineGuard>,
    stall_timeout: Duration,
}

impl GuardedWriter {
    /// Waits until earlier responses of the connection are written.
    pub(crate) fn start(
        mut writer: Box<dyn Write + Send>,
        guard: Option<DeadlineGuard>,
        stall_timeout: Duration,
    ) -> io::Result<Self> {
        writer.flush()?;
        Ok(Self { writer, guard, stall_timeout })
    }

    fn with_deadline<T>(&mut self, write: impl FnOnce(&mut dyn Write) -> T) -> T {
        if let Some(guard) = &self.guard {
            guard.renew(Awaited::Progress, self.stall_timeout);
        }
        let result = write(&mut *self.writer);
        if let Some(guard) = &self.guard {
            guard.clear();
        }
        result
    }
}

impl Write for GuardedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let part = &bytes[..bytes.len().min(PART_BYTES)];
        self.with_deadline(|writer| writer.write(part))
    }

    fn flush(&mut self) -> io::Result<()> {
        self.with_deadline(|writer| writer.flush())
    }
}
