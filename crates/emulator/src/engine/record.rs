//! What an engine notes of each request it was sent, for the checker.

use calicohoist_types::{AttemptId, ChatMessage, Moment, ProgramId, Usage};
use serde::{Deserialize, Serialize};

/// One request an engine took.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// The engine.
    pub engine: String,
    /// The attempt it was sent as.
    pub attempt: AttemptId,
    /// The program it said it belongs to.
    pub program: ProgramId,
    /// The whole prompt.
    pub prompt: Vec<ChatMessage>,
    /// When it arrived.
    pub arrived: Moment,
    /// When its last token was generated; `None` when it was cancelled or runs.
    pub finished: Option<Moment>,
    /// Tokens used so far.
    pub usage: Usage,
}
