//! Progress of the current request of a connection, shared by its socket and its handler.

use std::sync::{Arc, OnceLock};
use std::time::Instant;

use parking_lot::Mutex;

use crate::request_end::{ReadBound, RequestEnd, Surplus};

/// Progress of the current request and its response.
///
/// A request passes through the phases in their order, and is followed by [`Idle`](Self::Idle) when
/// its response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing of a request has been received, as far as is known.
    Idle,
    /// A request is being received.
    Receiving,
    /// The request has been received, and its response is awaited.
    Answering,
    /// The whole response has been handed over, but may not have been written yet.
    Flushing,
}

/// How much of a response was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStart {
    /// Nothing.
    None,
    /// Its first byte, ahead of the rest.
    FirstByte,
    /// More than that, or an interim response.
    Begun,
}

/// Number of bytes of a connection up to the end of one response, once that was written.
#[derive(Clone, Debug, Default)]
pub struct ResponseEnd(Arc<OnceLock<u64>>);

impl ResponseEnd {
    pub fn get(&self) -> Option<u64> {
        self.0.get().copied()
    }

    fn record(&self, bytes: u64) {
        let _ = self.0.set(bytes);
    }
}

/// How the peer has ended its side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    /// It has not.
    Open,
    /// It sends nothing more, but may still receive.
    HalfClosed,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    request_end: RequestEnd,
    /// Length of the current request's body, if known.
    body_bytes: Option<u64>,
    /// Whether the body of the current request was received.
    is_body_received: bool,
    response_start: ResponseStart,
    requests: u64,
    written_bytes: u64,
    response_end: ResponseEnd,
    /// Ends of earlier responses that may not have been written yet.
    earlier_ends: Vec<ResponseEnd>,
    /// Whether everything handed over so far has been written.
    is_flushed: bool,
    /// Whether the current response has chunked transfer coding.
    is_chunked: bool,
    /// Whether the body of the current response has failed.
    has_failed_body: bool,
    /// When the last response was written.
    answered_at: Option<Instant>,
    peer_end: PeerEnd,
    /// Time from which the connection is to be closed when it is idle.
    close_idle_at: Option<Instant>,
    /// Whether this side has closed the connection while it was idle.
    is_closed_idle: bool,
}

/// Progress of a connection.
#[derive(Clone, Debug)]
pub struct Progress(Arc<Mutex<State>>);

impl Progress {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            phase: Phase::Idle,
            request_end: RequestEnd::default(),
            body_bytes: None,
            is_body_received: false,
            response_start: ResponseStart::None,
            requests: 0,
            written_bytes: 0,
            response_end: ResponseEnd::default(),
            earlier_ends: Vec::new(),
            is_flushed: true,
            is_chunked: false,
            has_failed_body: false,
            answered_at: None,
            peer_end: PeerEnd::Open,
            close_idle_at: None,
            is_closed_idle: false,
        })))
    }

    pub fn phase(&self) -> Phase {
        self.0.lock().phase
    }

    /// Returns where the response to the current request ends, once it was written.
    pub fn response_end(&self) -> ResponseEnd {
        self.0.lock().response_end.clone()
    }

    /// Returns the number of bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.0.lock().written_bytes
    }

    pub fn record_read(&self, bytes: &[u8]) {
        let mut state = self.0.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Receiving;
        }
        state.request_end.push(bytes);
    }

    pub fn response_start(&self) -> ResponseStart {
        self.0.lock().response_start
    }

    pub fn record_write(&self, start: ResponseStart, bytes: usize) {
        let mut state = self.0.lock();
        state.written_bytes += bytes as u64;
        state.response_start = start;
        state.is_flushed = false;
    }

    /// Records that everything handed over so far has been written.
    pub fn record_flush(&self) {
        let mut state = self.0.lock();
        state.is_flushed = true;
        let written_bytes = state.written_bytes;
        state.earlier_ends.drain(..).for_each(|end| end.record(written_bytes));
        if state.phase == Phase::Flushing {
            let surplus = state.request_end.surplus(state.body_bytes);
            let has_next = state.request_end.has_surplus(state.body_bytes);
            match state.request_end.missing_body(state.body_bytes) {
                Some(missing @ 1..) => state.request_end.begin_behind(missing),
                _ => state.request_end.begin_next(surplus),
            }
            state.body_bytes = None;
            state.phase = if has_next { Phase::Receiving } else { Phase::Idle };
            state.answered_at = Some(Instant::now());
            state.response_end.record(written_bytes);
        }
    }

    /// Records that the head of a request was received.
    pub fn begin_request(&self, body_bytes: Option<u64>) {
        let mut state = self.0.lock();
        state.requests += 1;
        let earlier = std::mem::take(&mut state.response_end);
        if state.requests > 1 && earlier.get().is_none() {
            state.earlier_ends.push(earlier);
        }
        state.body_bytes = body_bytes;
        state.response_start = ResponseStart::None;
        state.is_chunked = false;
        state.has_failed_body = false;
        state.is_body_received = body_bytes == Some(0);
        state.phase = if state.is_body_received { Phase::Answering } else { Phase::Receiving };
    }

    /// Records that the body of the current request was received.
    pub fn record_body_received(&self) {
        let mut state = self.0.lock();
        state.is_body_received = true;
        // An interim response may have been written before.
        state.response_start = ResponseStart::None;
        state.phase = Phase::Answering;
    }

    /// Records how the body of the current response is transferred.
    pub fn begin_response(&self, is_chunked: bool) {
        self.0.lock().is_chunked = is_chunked;
    }

    /// Records that the body of the current response ends before it is complete.
    pub fn record_body_failure(&self) {
        self.0.lock().has_failed_body = true;
    }

    /// Returns whether the current response ends before it is complete.
    pub fn is_response_cut(&self) -> bool {
        self.0.lock().has_failed_body
    }

    /// Returns whether the current response is cut, and looks complete to a peer that sees the end of
    /// the connection.
    pub fn is_cut_unnoticeably(&self) -> bool {
        let state = self.0.lock();
        state.has_failed_body && !state.is_chunked
    }

    /// Returns whether the next byte of the current response begins the size of a chunk.
    pub fn is_between_chunks(&self) -> bool {
        let state = self.0.lock();
        let is_begun = state.response_start == ResponseStart::Begun;
        is_begun && state.is_chunked && state.is_flushed && state.phase == Phase::Answering
    }

    /// Returns when the last response was written.
    pub fn answered_at(&self) -> Option<Instant> {
        self.0.lock().answered_at
    }

    /// Records that the whole response was handed over.
    pub fn record_response_end(&self) {
        self.0.lock().phase = Phase::Flushing;
    }

    pub fn has_requests(&self) -> bool {
        self.0.lock().requests > 0
    }

    /// Returns whether bytes beyond the current request may have been received.
    pub fn surplus(&self) -> Surplus {
        let state = self.0.lock();
        state.request_end.surplus(state.body_bytes)
    }

    /// Returns what may be read without reading beyond the current request.
    pub fn read_bound(&self) -> ReadBound {
        let state = self.0.lock();
        state.request_end.read_bound(state.body_bytes)
    }

    /// Returns how many of the `waiting` bytes belong to the head of the current request.
    pub fn head_part(&self, waiting: &[u8]) -> usize {
        self.0.lock().request_end.head_part(waiting)
    }

    /// Returns how many bytes of the last request's body were not received, if that is known.
    pub fn missing_body(&self) -> Option<u64> {
        let state = self.0.lock();
        match state.request_end.previous_body() {
            0 => state.request_end.missing_body(state.body_bytes),
            missing => Some(missing),
        }
    }

    /// Returns whether the connection ends within a request whose rest is not read.
    pub fn is_request_cut(&self) -> bool {
        let state = self.0.lock();
        let has_unread_body = state.requests > 0 && !state.is_body_received;
        state.phase == Phase::Receiving || has_unread_body
    }

    pub fn set_peer_end(&self, end: PeerEnd) {
        self.0.lock().peer_end = end;
    }

    pub fn peer_end(&self) -> PeerEnd {
        self.0.lock().peer_end
    }

    /// Closes the connection when it is idle at `moment` or later.
    pub fn close_idle_at(&self, moment: Instant) {
        self.0.lock().close_idle_at = Some(moment);
    }

    /// Records that this side closes the connection while it is idle.
    pub fn record_idle_close(&self) {
        self.0.lock().is_closed_idle = true;
    }

    pub fn is_closed_idle(&self) -> bool {
        self.0.lock().is_closed_idle
    }

    /// Returns whether the connection is to be closed unless a request has arrived.
    pub fn is_closable(&self, now: Instant) -> bool {
        let state = self.0.lock();
        state.phase == Phase::Idle && state.close_idle_at.is_some_and(|moment| moment <= now)
    }
}
