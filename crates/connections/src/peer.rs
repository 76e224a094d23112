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
/// Interval at which it is checked whether a connection on which a further request waits is
/// half-closed, and whether a half-closed one is reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Watches the peer of a connection.
pub struct PeerWatch {
    stream: SharedStream,
    progress: Progress,
    /// Present while a further request waits.
    end_checks: Option<Interval>,
    /// Present once the peer has half-closed the connection.
    reset_checks: Option<Interval>,
}

impl PeerWatch {
    pub fn new(stream: SharedStream, progress: Progress) -> Self {
        Self { stream, progress, end_checks: None, reset_checks: None }
    }

    /// Completes when the peer has closed the connection while its response is awaited.
    ///
    /// To be polled after the connection, which records the progress.
    pub fn poll_left(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.progress.phase() != Phase::Answering {
            self.end_checks = None;
            self.reset_checks = None;
            return Poll::Pending;
        }
        if self.progress.peer_end() == PeerEnd::Open {
            match ready!(self.stream.poll_has_bytes(context)) {
                Ok(true) => ready!(self.poll_end(context)),
                Ok(false) => {}
                Err(_) => return Poll::Ready(()),
            }
            if self.stream.has_failed() {
                return Poll::Ready(());
            }
            self.progress.set_peer_end(PeerEnd::HalfClosed);
        }
        self.poll_reset(context)
    }

    /// Waits for the end of the stream behind a further request.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let checks = self.end_checks.get_or_insert_with(check_interval);
        loop {
            ready!(checks.poll_tick(context));
            if self.stream.is_half_closed() {
                return Poll::Ready(());
            }
        }
    }

    fn poll_reset(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.reset_checks.is_none() {
            self.probe();
        }
        let checks = self.reset_checks.get_or_insert_with(check_interval);
        loop {
            ready!(checks.poll_tick(context));
            if self.stream.has_failed() {
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
            // Counted with the rest.
            written.map(|_| self.progress.record_write(ResponseStart::FirstByte, 0))
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

fn check_interval() -> Interval {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    checks
}
