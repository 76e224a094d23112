//! JSON types of the supported subset of the OpenAI chat API, with this project's extensions.
//!
//! Unknown fields of requests are ignored.

use serde::{Deserialize, Serialize};

use crate::chat::{ChatMessage, Role, Usage};
use crate::finding::Finding;

/// Request header with the tenant.
pub const HEADER_TENANT: &str = "calicohoist-tenant";
/// Request header with the program of the call.
pub const HEADER_PROGRAM: &str = "calicohoist-program";
/// Request header with the sequence number of the call in its program, starting at 1.
pub const HEADER_SEQUENCE: &str = "calicohoist-sequence";
/// Request header with the caller's idempotency key.
pub const HEADER_KEY: &str = "idempotency-key";
/// Request header that says whether the request may be executed more than once.
pub const HEADER_REPEATABLE: &str = "calicohoist-repeatable";
/// Response header with the attempt.
pub const HEADER_ATTEMPT: &str = "calicohoist-attempt";
/// Response header with the outcome.
pub const HEADER_OUTCOME: &str = "calicohoist-outcome";
/// Header of requests to engines with the attempt.
pub const HEADER_ENGINE_ATTEMPT: &str = "x-request-id";
/// Header of requests to engines with the program that owns the cached tokens.
pub const HEADER_ENGINE_PROGRAM: &str = "x-cache-owner";
/// Header of requests to engines with the priority; smaller values are served first.
pub const HEADER_ENGINE_PRIORITY: &str = "x-priority";

/// Content of a message in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Content parts; only text parts are accepted.
    Parts(Vec<ContentPart>),
}

/// Part of a message's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentPart {
    /// Type of the part; only `text` is accepted.
    #[serde(rename = "type")]
    pub kind: String,
    /// Text of the part.
    #[serde(default)]
    pub text: String,
}

/// Message of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestMessage {
    /// Author of the message.
    pub role: Role,
    /// Content of the message.
    #[serde(default)]
    pub content: Option<Content>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<RequestMessage>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of generated tokens (deprecated name).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Maximum number of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Options of a streamed response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// Text of the answer that was already generated; used in requests to engines only.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub continuation: String,
}

/// Options of a streamed response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a final chunk with the usage is sent.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatRequest {
    /// Creates a streaming request.
    pub fn streamed(model: impl Into<String>, messages: &[ChatMessage]) -> Self {
        Self {
            model: model.into(),
            messages: messages.iter().map(RequestMessage::from).collect(),
            stream: true,
            max_tokens: None,
            max_completion_tokens: None,
            stream_options: Some(StreamOptions { include_usage: true }),
            continuation: String::new(),
        }
    }

    /// Returns the maximum number of generated tokens from whichever field is set.
    pub fn token_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Converts the messages to plain text.
    ///
    /// # Errors
    /// Returns a finding for each message without text content, or one if there are no messages.
    pub fn plain_messages(&self) -> Result<Vec<ChatMessage>, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut messages = Vec::new();
        if self.messages.is_empty() {
            findings.push(Finding::of_field("messages", "is empty", "at least one message"));
        }
        for (index, message) in self.messages.iter().enumerate() {
            match plain_text(message.content.as_ref()) {
                Some(text) => messages.push(ChatMessage::new(message.role, text)),
                None => {
                    let field = format!("messages[{index}].content");
                    findings.push(Finding::of_field(field, "is not text", "text or text parts"));
                }
            }
        }
        if findings.is_empty() { Ok(messages) } else { Err(findings) }
    }
}

fn plain_text(content: Option<&Content>) -> Option<String> {
    match content? {
        Content::Text(text) => Some(text.clone()),
        Content::Parts(parts) if parts.iter().all(|part| part.kind == "text") => {
            Some(parts.iter().map(|part| part.text.as_str()).collect())
        }
        Content::Parts(_) => None,
    }
}

impl From<&ChatMessage> for RequestMessage {
    fn from(message: &ChatMessage) -> Self {
        Self { role: message.role, content: Some(Content::Text(message.content.clone())) }
    }
}

/// Token usage of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt, including cached ones.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u64,
    /// Details of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were read from the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.total(),
            prompt_tokens_details: PromptDetails { cached_tokens: usage.cached_tokens },
        }
    }
}

impl From<UsageBody> for Usage {
    fn from(body: UsageBody) -> Self {
        Self {
            prompt_tokens: body.prompt_tokens,
            completion_tokens: body.completion_tokens,
            cached_tokens: body.prompt_tokens_details.cached_tokens,
        }
    }
}

/// Response that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Identifier of the response.
    pub id: String,
    /// Object type, `chat.completion`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// Generated answers; always exactly one.
    pub choices: Vec<Choice>,
    /// Token usage.
    pub usage: UsageBody,
}

/// Generated answer of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Message of the assistant.
    pub message: ChatMessage,
    /// Reason why generation ended.
    pub finish_reason: String,
}

/// Chunk of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifier of the response, the same in each chunk.
    pub id: String,
    /// Object type, `chat.completion.chunk`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Name of the model.
    pub model: String,
    /// One choice; empty in the chunk with the usage.
    pub choices: Vec<ChunkChoice>,
    /// Token usage; only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// Choice of a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Index of the choice, always 0.
    pub index: u32,
    /// Increment to the message.
    pub delta: Delta,
    /// Reason why generation ended; only in the chunk that ends it.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Increment to a streamed message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Author of the message; only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// Additional text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

impl ChatChunk {
    /// Creates a chunk with additional text, a finish reason, or both.
    pub fn new(
        id: &str,
        created: u64,
        model: &str,
        text: Option<String>,
        finish_reason: Option<String>,
    ) -> Self {
        let delta = Delta { role: None, content: text };
        Self {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            created,
            model: model.to_owned(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
            usage: None,
        }
    }

    /// Returns the text of this chunk, empty if there is none.
    pub fn text(&self) -> &str {
        let content = self.choices.first().and_then(|choice| choice.delta.content.as_deref());
        content.unwrap_or_default()
    }

    /// Returns the reason why generation ended, if this chunk ends it.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Error as in the OpenAI API, with this project's extensions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Error type, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Invalid field or header, if any.
    pub param: Option<String>,
    /// Machine-readable error code.
    pub code: Option<String>,
    /// Outcome of the request: `not_run`, `unknown` or `completed`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// All validation errors of the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

/// Response to `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Object type, `list`.
    pub object: String,
    /// Available models.
    pub data: Vec<ModelEntry>,
}

/// Entry of a model list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Object type, `model`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Owner of the model.
    pub owned_by: String,
}
