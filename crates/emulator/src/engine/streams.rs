//! Answers of an engine's requests, kept so that a broken stream can be resumed.

use std::collections::HashMap;
use std::time::Duration;

use calicohoist_types::{AttemptId, Usage};
use parking_lot::{Condvar, Mutex};

use super::model::EngineOutput;

/// Longest wait for more of an answer in one call.
const WAIT: Duration = Duration::from_millis(200);

/// One answer so far.
#[derive(Clone, Debug, Default)]
pub struct StreamState {
    /// The pieces of text.
    pub pieces: Vec<String>,
    /// Why it ended, and the usage.
    pub end: Option<(&'static str, Usage)>,
    /// It was cancelled.
    pub cancelled: bool,
}

/// All answers.
#[derive(Debug, Default)]
pub struct Streams {
    states: Mutex<HashMap<AttemptId, StreamState>>,
    changed: Condvar,
}

/// What a reader of a stream sees.
pub enum More {
    /// New pieces, and the end if it is reached.
    Pieces(Vec<String>, Option<(&'static str, Usage)>),
    /// Nothing yet.
    NotYet,
    /// There is no such answer, or it was cancelled.
    Gone,
}

impl Streams {
    /// Opens the stream of an attempt.
    pub fn open(&self, attempt: AttemptId) {
        self.states.lock().entry(attempt).or_default();
    }

    /// Whether there is a stream of this attempt.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.states.lock().contains_key(attempt)
    }

    /// Notes that a request was cancelled.
    pub fn cancel(&self, attempt: &AttemptId) {
        if let Some(state) = self.states.lock().get_mut(attempt) {
            state.cancelled = true;
        }
        self.changed.notify_all();
    }

    /// Adds what a step produced.
    pub fn add(&self, outputs: Vec<EngineOutput>) {
        if outputs.is_empty() {
            return;
        }
        let mut states = self.states.lock();
        for output in outputs {
            match output {
                EngineOutput::Text { attempt, text } => {
                    states.entry(attempt).or_default().pieces.push(text);
                }
                EngineOutput::Done { attempt, finish_reason, usage } => {
                    states.entry(attempt).or_default().end = Some((finish_reason, usage))
                }
            }
        }
        drop(states);
        self.changed.notify_all();
    }

    /// Waits a little for pieces after the first `seen`.
    pub fn more(&self, attempt: &AttemptId, seen: usize) -> More {
        let mut states = self.states.lock();
        let has_more = |states: &HashMap<AttemptId, StreamState>| {
            let state = states.get(attempt);
            state.is_none_or(|state| {
                state.pieces.len() > seen || state.end.is_some() || state.cancelled
            })
        };
        if !has_more(&states) {
            self.changed.wait_for(&mut states, WAIT);
        }
        match states.get(attempt) {
            None => More::Gone,
            Some(state) if state.cancelled => More::Gone,
            Some(state) if state.pieces.len() > seen || state.end.is_some() => {
                More::Pieces(state.pieces[seen.min(state.pieces.len())..].to_vec(), state.end)
            }
            Some(_) => More::NotYet,
        }
    }
}
