//! Chat messages and token counts in the shape of the OpenAI HTTP API.

use serde::{Deserialize, Serialize};

/// Who wrote a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions that come before the conversation.
    System,
    /// Instructions by the application (newer name for system messages).
    Developer,
    /// The person or program that asks.
    User,
    /// The model.
    Assistant,
    /// The result of a tool.
    Tool,
}

impl Role {
    /// The role as it stands in JSON.
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

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who wrote it.
    pub role: Role,
    /// Its text.
    pub content: String,
}

impl ChatMessage {
    /// A message of `role` with `content`.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Self { role, content: content.into() }
    }

    /// Estimated prompt tokens of this message, its role marker included.
    pub fn tokens(&self) -> u64 {
        ROLE_MARKER_TOKENS + count_tokens(&self.content)
    }
}

/// Prompt tokens that the role marker of a message takes.
pub const ROLE_MARKER_TOKENS: u64 = 1;

/// Longest run of bytes without white space that counts as one token.
const BYTES_PER_TOKEN: usize = 12;

/// Estimates the tokens of `text`: one per started 12 bytes of each word.
///
/// The estimate is used to reserve budget before the back end reports usage; it
/// equals the emulated engines' tokenizer.
pub fn count_tokens(text: &str) -> u64 {
    let tokens: usize =
        text.split_whitespace().map(|word| word.len().div_ceil(BYTES_PER_TOKEN)).sum();
    tokens as u64
}

/// Tokens that one call used, as its back end reported them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine already held and did not compute again.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Prompt and generated tokens together: the amount a budget is charged.
    pub const fn total(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }
}
