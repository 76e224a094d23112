//! TCP stream that the reactor does not watch during pauses.
//!
//! The reactor wakes up for each segment that arrives, even if nobody waits for it, so that a server
//! which sends many tiny ones costs processor time while its connection pauses.

use std::io;
use std::mem;
use std::net::TcpStream as UnwatchedStream;
use std::pin::Pin;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, Take};
use tokio::net::TcpStream;

#[derive(Debug)]
enum StreamState {
    /// The limit is set before each read.
    Watched(Take<TcpStream>),
    Unwatched(UnwatchedStream),
    /// The reactor did not accept a change.
    Failed(io::ErrorKind),
}

/// Handle of a stream, used by the task of one connection.
#[derive(Clone, Debug)]
pub struct PausableStream(Arc<Mutex<StreamState>>);

impl PausableStream {
    /// Creates a stream that is not paused.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(StreamState::Watched(stream.take(0)))))
    }

    /// Takes the stream from the reactor. It cannot be used until it is resumed.
    pub fn pause(&self) {
        self.change(|state| match state {
            StreamState::Watched(stream) => {
                stream.into_inner().into_std().map(StreamState::Unwatched)
            }
            other => Ok(other),
        });
    }

    /// Returns the stream to the reactor.
    pub fn resume(&self) {
        self.change(|state| match state {
            StreamState::Unwatched(stream) => {
                TcpStream::from_std(stream).map(|stream| StreamState::Watched(stream.take(0)))
            }
            other => Ok(other),
        });
    }

    /// Uses the stream.
    ///
    /// # Errors
    /// Returns an error if the stream is paused or has failed in a pause.
    pub fn with<T>(&self, task: impl FnOnce(Pin<&mut Take<TcpStream>>) -> T) -> io::Result<T> {
        match &mut *self.0.lock() {
            StreamState::Watched(stream) => Ok(task(Pin::new(stream))),
            StreamState::Unwatched(_) => Err(io::ErrorKind::NotConnected.into()),
            StreamState::Failed(kind) => Err((*kind).into()),
        }
    }

    /// Changes the state. An error is reported by the next use.
    fn change(&self, change: impl FnOnce(StreamState) -> io::Result<StreamState>) {
        let mut state = self.0.lock();
        let unknown = StreamState::Failed(io::ErrorKind::NotConnected);
        let changed = change(mem::replace(&mut *state, unknown));
        *state = changed.unwrap_or_else(|error| StreamState::Failed(error.kind()));
    }
}
