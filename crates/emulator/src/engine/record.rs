//! Engine-side record of each request, evaluated by the checker.

use calicohoist_types::{AttemptId, ChatMessage, Moment, ProgramId, Usage};
use serde::{Deserialize, Serialize};

/// Record of one request accepted by an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Engine name.
    pub engine: String,
    /// Attempt id.
    pub attempt: AttemptId,
    /// Program named by the request.
    pub program: ProgramId,
    /// Full prompt.
    pub prompt: Vec<ChatMessage>,
    /// Arrival time.
    pub arrived: Moment,
    /// Completion time; `None` while the request runs or if it was cancelled.
    pub finished: Option<Moment>,
    /// Token usage; zero until the request completes.
    pub usage: Usage,
}
