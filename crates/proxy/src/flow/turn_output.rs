//! Output of a turn, within what its request may generate.

use calicohoist_routing::Engine;

use super::buffered::MAX_RESPONSE_BYTES;
use super::call::Call;

/// Maximum size of the data of one token with the format around it, in bytes.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// A response exceeds what its request may generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more output than the request may generate")]
pub struct OutputTooLong;

/// Limits of what a request may generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OutputLimit {
    /// Maximum number of tokens; `None` for no limit.
    tokens: Option<u64>,
    /// Maximum size of the retained data, in bytes.
    bytes: usize,
}

impl OutputLimit {
    /// Returns the limits that the request states, or those of the configuration if it states none.
    fn of(call: &Call, engine: Option<&Engine>) -> Self {
        let stated = Some(call.head.max_tokens).filter(|tokens| *tokens > 0);
        let max_bytes = match stated.map(usize::try_from) {
            Some(tokens) => {
                tokens.map_or(usize::MAX, |tokens| tokens.saturating_mul(MAX_TOKEN_BYTES))
            }
            None => call.table.limits().max_body_bytes,
        };
        Self {
            tokens: stated.or_else(|| configured_tokens(call, engine)),
            bytes: max_bytes.min(MAX_RESPONSE_BYTES),
        }
    }
}

/// Returns the limit of a turn that is charged or retained although its request states none: the
/// budget of its program, and the memory of a replica.
fn configured_tokens(call: &Call, engine: Option<&Engine>) -> Option<u64> {
    let is_limited = call.head.budget.is_some() || call.route.retain;
    let memory_tokens = engine.map(|engine| engine.memory_tokens).filter(|tokens| *tokens > 0);
    let limits = [call.head.budget, memory_tokens];
    limits.into_iter().flatten().min().filter(|_| is_limited)
}

/// Events of a turn that are sent to the client: their tokens, and their data if the turn is retained.
#[derive(Debug)]
pub struct TurnOutput {
    limit: OutputLimit,
    tokens_per_event: u64,
    is_retained: bool,
    tokens: u64,
    data: Vec<u8>,
}

impl TurnOutput {
    /// Creates the output of a turn that has not begun.
    pub fn new(call: &Call) -> Self {
        let engine = call.service().and_then(|service| service.engine.clone());
        let tokens_per_event = engine.as_ref().map_or(1, |engine| engine.tokens_per_event.max(1));
        Self {
            limit: OutputLimit::of(call, engine.as_ref()),
            tokens_per_event: u64::from(tokens_per_event),
            is_retained: call.route.retain,
            tokens: 0,
            data: Vec::new(),
        }
    }

    /// Returns the number of tokens in all events.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the memory used for the data, in bytes.
    pub fn capacity(&self) -> usize {
        self.data.capacity()
    }

    /// Returns the memory used once an event with `data` is appended, in bytes.
    ///
    /// # Errors
    /// Returns an error if the output would exceed its limits. The last event may contain fewer tokens
    /// than others, and one without data contains none.
    pub fn capacity_with(&self, data: Option<&[u8]>) -> Result<usize, OutputTooLong> {
        let length = self.data.len() + self.retained_bytes(data);
        let has_tokens_left = self.limit.tokens.is_none_or(|limit| self.tokens < limit);
        if data.is_some() && !has_tokens_left || length > self.limit.bytes {
            return Err(OutputTooLong);
        }
        let capacity = self.data.capacity();
        let grown = length.max(2 * capacity).min(self.limit.bytes);
        Ok(if length <= capacity { capacity } else { grown })
    }

    /// Appends an event, using `capacity` bytes of memory.
    pub fn append(&mut self, data: Option<&[u8]>, capacity: usize) {
        let Some(data) = data else {
            return;
        };
        self.tokens += self.tokens_per_event;
        if self.is_retained {
            self.data.reserve_exact(capacity.saturating_sub(self.data.len()));
            self.data.extend_from_slice(data);
            self.data.push(b'\n');
        }
    }

    /// Takes the data of all events, with a line feed after each.
    pub fn take_data(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.data)
    }

    /// Returns the number of bytes that are retained of an event with `data`.
    fn retained_bytes(&self, data: Option<&[u8]>) -> usize {
        data.filter(|_| self.is_retained).map_or(0, |data| data.len() + 1)
    }
}
