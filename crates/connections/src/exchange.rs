//! Progress of the current request of a connection, shared by its socket and its handler.

use std::sync::Arc;

use parking_lot::Mutex;

/// Progress of the current request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing of a request has been received.
    Idle,
    /// A request is being received.
    Receiving,
    /// The request has been received, and its response is awaited.
    Answering,
    /// The whole response has been handed over, but may not have been written yet.
    Flushing,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Whether the connection is to be closed when it is idle.
    closes_when_idle: bool,
}

/// Progress of a connection.
#[derive(Clone, Debug)]
pub struct Progress(Arc<Mutex<State>>);

impl Progress {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State { phase: Phase::Idle, closes_when_idle: false })))
    }

    pub fn record_read(&self) {
        let mut state = self.0.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Receiving;
        }
    }

    /// Records that everything handed over so far has been written.
    pub fn record_flush(&self) {
        let mut state = self.0.lock();
        if state.phase == Phase::Flushing {
            state.phase = Phase::Idle;
        }
    }

    /// Records that the head of a request was received.
    pub fn begin_request(&self, body_bytes: Option<u64>) {
        let has_body = body_bytes != Some(0);
        self.0.lock().phase = if has_body { Phase::Receiving } else { Phase::Answering };
    }

    /// Records that the body of the current request was received.
    pub fn record_body_received(&self) {
        self.0.lock().phase = Phase::Answering;
    }

    /// Records that the whole response was handed over.
    pub fn record_response_end(&self) {
        self.0.lock().phase = Phase::Flushing;
    }

    /// Closes the connection when it is idle.
    pub fn close_when_idle(&self) {
        self.0.lock().closes_when_idle = true;
    }

    /// Returns whether the connection is to be closed now.
    pub fn is_closable(&self) -> bool {
        let state = self.0.lock();
        state.phase == Phase::Idle && state.closes_when_idle
    }
}
