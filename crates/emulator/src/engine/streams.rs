//! Buffered answer streams, kept so that an interrupted client can resume.

use std::collections::HashMap;
use std::time::Duration;

use calicohoist_types::{AttemptId, Usage};
use parking_lot::{Condvar, Mutex};

use super::model::EngineOutput;

/// Maximum time that one poll blocks.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Buffered state of one answer.
#[derive(Clone, Debug, Default)]
pub struct StreamState {
    /// Text chunks generated so far.
    pub chunks: Vec<String>,
    /// Finish reason and usage, once the answer is complete.
    pub end: Option<(&'static str, Usage)>,
    /// Whether the request was cancelled.
    pub cancelled: bool,
}

/// Answer streams of all attempts.
#[derive(Debug, Default)]
pub struct Streams {
    states: Mutex<HashMap<AttemptId, StreamState>>,
    changed: Condvar,
}

/// Result of polling a stream.
pub enum StreamPoll {
    /// New chunks, and the end of the stream if it was reached.
    Chunks(Vec<String>, Option<(&'static str, Usage)>),
    /// No new chunks before the timeout.
    Pending,
    /// The stream does not exist or was cancelled.
    Closed,
}

impl Streams {
    /// Opens the stream of an attempt.
    pub fn open(&self, attempt: AttemptId) {
        self.states.lock().entry(attempt).or_default();
    }

    /// Returns whether a stream of this attempt exists.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.states.lock().contains_key(attempt)
    }

    /// Marks a stream as cancelled and wakes its readers.
    pub fn cancel(&self, attempt: &AttemptId) {
        if let Some(state) = self.states.lock().get_mut(attempt) {
            state.cancelled = true;
        }
        self.changed.notify_all();
    }

    /// Appends step outputs to their streams and wakes the readers.
    pub fn append(&self, outputs: Vec<EngineOutput>) {
        if outputs.is_empty() {
            return;
        }
        let mut states = self.states.lock();
        for output in outputs {
            match output {
                EngineOutput::Text { attempt, text } => {
                    states.entry(attempt).or_default().chunks.push(text);
                }
                EngineOutput::Done { attempt, finish_reason, usage } => {
                    states.entry(attempt).or_default().end = Some((finish_reason, usage))
                }
            }
        }
        drop(states);
        self.changed.notify_all();
    }

    /// Waits up to the poll timeout for chunks beyond the first `offset`.
    pub fn poll(&self, attempt: &AttemptId, offset: usize) -> StreamPoll {
        let mut states = self.states.lock();
        let is_ready = |states: &HashMap<AttemptId, StreamState>| {
            let state = states.get(attempt);
            state.is_none_or(|state| {
                state.chunks.len() > offset || state.end.is_some() || state.cancelled
            })
        };
        if !is_ready(&states) {
            self.changed.wait_for(&mut states, POLL_TIMEOUT);
        }
        match states.get(attempt) {
            None => StreamPoll::Closed,
            Some(state) if state.cancelled => StreamPoll::Closed,
            Some(state) if state.chunks.len() > offset || state.end.is_some() => {
                StreamPoll::Chunks(
                    state.chunks[offset.min(state.chunks.len())..].to_vec(),
                    state.end,
                )
            }
            Some(_) => StreamPoll::Pending,
        }
    }
}
