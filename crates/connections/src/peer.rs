//! Detects peers that leave while their response is awaited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use calicohoist_telemetry::{Event, emit};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::exchange::{PeerEnd, Phase, Progress, ResponseStart};

/// First byte of every response.
const FIRST_BYTE: &[u8] = b"H";

type ErrorReadiness = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Watches the peer of a connection.
pub struct PeerWatch {
    stream: Arc<TcpStream>,
    progress: Progress,
    /// Completes when the connection fails; present once the peer has half-closed it.
    failure: Option<ErrorReadiness>,
}

impl PeerWatch {
    pub fn new(stream: Arc<TcpStream>, progress: Progress) -> Self {
        Self { stream, progress, failure: None }
    }

    /// Completes when the peer has closed the connection while its response is awaited.
    ///
    /// To be polled after the connection, which records the progress.
    pub fn poll_left(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.progress.phase() != Phase::Answering {
            return Poll::Pending;
        }
        if self.progress.peer_end() == PeerEnd::Open {
            match self.poll_half_closed(context) {
                Poll::Pending | Poll::Ready(Ok(false)) => return Poll::Pending,
                Poll::Ready(Ok(true)) => self.progress.set_peer_end(PeerEnd::HalfClosed),
                Poll::Ready(Err(_)) => return Poll::Ready(()),
            }
        }
        let failure = match &mut self.failure {
            Some(failure) => failure,
            None => {
                self.probe();
                self.failure.insert(error_readiness(Arc::clone(&self.stream)))
            }
        };
        failure.as_mut().poll(context)
    }

    /// Returns whether the peer sends nothing more; `false` if a further request has arrived, in
    /// which case it is not watched any longer.
    fn poll_half_closed(&self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut byte = [0];
        let peeked = self.stream.poll_peek(context, &mut ReadBuf::new(&mut byte));
        peeked.map_ok(|length| length == 0)
    }

    /// Sends the first byte of the response ahead of the rest: a peer that has closed its connection
    /// resets it then, one that has shut down only its sending side does not. A response that has
    /// begun is probe enough.
    fn probe(&self) {
        if self.progress.response_start() != ResponseStart::None {
            return;
        }
        match self.stream.try_write(FIRST_BYTE) {
            Ok(_) => self.progress.record_write(ResponseStart::FirstByte),
            Err(error) => {
                emit!(Event::ConnectionFailed, "cannot probe a half-closed connection: {error}");
            }
        }
    }
}

fn error_readiness(stream: Arc<TcpStream>) -> ErrorReadiness {
    Box::pin(async move {
        // An error means that the runtime is shutting down.
        let _ = stream.ready(Interest::ERROR).await;
    })
}
