//! Chat messages and token counts, as in the OpenAI HTTP API.

use serde::{Deserialize, Serialize};

/// Author of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions that precede the conversation.
    System,
    /// Instructions from the application (newer name of `system`).
    Developer,
    /// The end user or client program.
    User,
    /// The model.
    Assistant,
    /// Result of a tool call.
    Tool,
}

impl Role {
    /// Returns the name used in JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::System => "system",
            Self::Developer => "developer",
            Self::User => "user",
            Self::Assistant => "assistant",
            Self::Tool => "tool",
        }
    }
}

/// Message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message.
    pub role: Role,
    /// Text of the message.
    pub content: String,
}

impl ChatMessage {
    /// Creates a message.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Self { role, content: content.into() }
    }

    /// Estimates the prompt tokens of this message, including its role marker.
    pub fn tokens(&self) -> u64 {
        ROLE_MARKER_TOKENS + estimate_tokens(&self.content)
    }
}

/// Prompt tokens of a message's role marker.
pub const ROLE_MARKER_TOKENS: u64 = 1;

/// Maximum number of bytes of a word that count as one token.
const BYTES_PER_TOKEN: usize = 12;

/// Estimates the tokens of `text`: each word counts one token per 12 bytes, rounded up.
///
/// The estimate is used to reserve budget before the back end reports its usage. The emulated
/// engines count tokens in the same way.
pub fn estimate_tokens(text: &str) -> u64 {
    let tokens: usize =
        text.split_whitespace().map(|word| word.len().div_ceil(BYTES_PER_TOKEN)).sum();
    tokens as u64
}

/// Token usage of a call, as reported by its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, including cached ones.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine read from its cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Returns the sum of prompt and generated tokens, which is charged to the budget.
    pub const fn total(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}
