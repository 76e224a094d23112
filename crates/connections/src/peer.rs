//! Detects peers that leave while their response is awaited.

use std::task::{Context, Poll, ready};
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::exchange::{PeerEnd, Phase, Progress, ResponseStart};
use crate::shared_stream::SharedStream;

/// First byte of every response.
const FIRST_BYTE: &[u8] = b"H";
/// Digit that may precede the size of every chunk.
const LEADING_ZERO: &[u8] = b"0";
/// Interval at which a half-closed connection is checked for a reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Watches the peer of a connection.
pub struct PeerWatch {
    stream: SharedStream,
    progress: Progress,
    /// Present once the peer has half-closed the connection.
    reset_checks: Option<Interval>,
}

impl PeerWatch {
    pub fn new(stream: SharedStream, progress: Progress) -> Self {
        Self { stream, progress, reset_checks: None }
    }

    /// Completes when the peer has closed the connection while its response is awaited.
    ///
    /// To be polled after the connection, which records the progress.
    pub fn poll_left(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.progress.phase() != Phase::Answering {
            self.reset_checks = None;
            return Poll::Pending;
        }
        if self.progress.peer_end() == PeerEnd::Open {
            match ready!(self.stream.poll_has_bytes(context)) {
                // A further request has arrived, behind which the end cannot be seen.
                Ok(true) => return Poll::Pending,
                Ok(false) => self.progress.set_peer_end(PeerEnd::HalfClosed),
                Err(_) => return Poll::Ready(()),
            }
        }
        self.poll_reset(context)
    }

    fn poll_reset(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.reset_checks.is_none() {
            self.probe();
        }
        let checks = self.reset_checks.get_or_insert_with(|| {
            let mut checks = interval(RESET_CHECK_INTERVAL);
            checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            checks
        });
        loop {
            ready!(checks.poll_tick(context));
            if !matches!(self.stream.lock().take_error(), Ok(None)) {
                return Poll::Ready(());
            }
        }
    }

    /// Sends a byte of the response ahead of the rest: a peer that has closed its connection resets
    /// it then, one that has shut down only its sending side does not. Bytes that are still being
    /// written have the same effect.
    fn probe(&self) {
        let probed = if self.progress.response_start() == ResponseStart::None {
            let written = self.stream.lock().try_write(FIRST_BYTE);
            written.map(|_| self.progress.record_write(ResponseStart::FirstByte))
        } else if self.progress.is_between_chunks() {
            self.stream.lock().try_write(LEADING_ZERO).map(|_| ())
        } else {
            Ok(())
        };
        if let Err(error) = probed {
            emit!(Event::ConnectionFailed, "cannot probe a half-closed connection: {error}");
        }
    }
}
