//! JSON shapes of the OpenAI chat API, as far as this project speaks it, and the
//! fields it adds. Unknown fields of requests are ignored, as clients expect.

use serde::{Deserialize, Serialize};

use crate::chat::{ChatMessage, Role, Usage};
use crate::finding::Finding;

/// Header that names the caller's tenant.
pub const HEADER_TENANT: &str = "calicohoist-tenant";
/// Header that names the call's program.
pub const HEADER_PROGRAM: &str = "calicohoist-program";
/// Header with the call's place in its program, from 1.
pub const HEADER_SEQUENCE: &str = "calicohoist-sequence";
/// Header with the caller's key for the request.
pub const HEADER_KEY: &str = "idempotency-key";
/// Header that says whether the request may run more than once.
pub const HEADER_REPEATABLE: &str = "calicohoist-repeatable";
/// Header of answers that names the attempt.
pub const HEADER_ATTEMPT: &str = "calicohoist-attempt";
/// Header of answers with the outcome.
pub const HEADER_OUTCOME: &str = "calicohoist-outcome";
/// Header of requests to engines that names the attempt.
pub const HEADER_ENGINE_ATTEMPT: &str = "x-request-id";
/// Header of requests to engines that names the program, as a cache owner.
pub const HEADER_ENGINE_PROGRAM: &str = "x-cache-owner";
/// Header of requests to engines with the priority; smaller goes first.
pub const HEADER_ENGINE_PRIORITY: &str = "x-priority";

/// Content of a request's message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts, of which only text is taken.
    Parts(Vec<ContentPart>),
}

/// One part of a message's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentPart {
    /// `text` is the only kind that is taken.
    #[serde(rename = "type")]
    pub kind: String,
    /// The text.
    #[serde(default)]
    pub text: String,
}

/// One message of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestMessage {
    /// Who wrote it.
    pub role: Role,
    /// Its content.
    #[serde(default)]
    pub content: Option<Content>,
}

/// `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The messages.
    pub messages: Vec<RequestMessage>,
    /// Whether the answer is wanted as a stream.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate (older name).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Options of a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// To engines only: text of the answer that exists already.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub continuation: String,
}

/// Options of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk with the usage is wanted.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatRequest {
    /// A streamed request for `messages`.
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

    /// The limit of generated tokens, under whichever name it was given.
    pub fn token_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// The messages as plain text.
    ///
    /// # Errors
    /// Every message that is empty or not text.
    pub fn plain_messages(&self) -> Result<Vec<ChatMessage>, Vec<Finding>> {
        let mut found = Vec::new();
        let mut messages = Vec::new();
        if self.messages.is_empty() {
            found.push(Finding::of_field("messages", "is empty", "at least one message"));
        }
        for (index, message) in self.messages.iter().enumerate() {
            match plain_text(message.content.as_ref()) {
                Some(text) => messages.push(ChatMessage::new(message.role, text)),
                None => {
                    let field = format!("messages[{index}].content");
                    found.push(Finding::of_field(field, "is not text", "text or text parts"));
                }
            }
        }
        if found.is_empty() { Ok(messages) } else { Err(found) }
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

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
    /// More about the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// More about the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were not computed again.
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

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Names the answer.
    pub id: String,
    /// `chat.completion`.
    pub object: String,
    /// Seconds of Unix time.
    pub created: u64,
    /// The model.
    pub model: String,
    /// Always one.
    pub choices: Vec<Choice>,
    /// Tokens used.
    pub usage: UsageBody,
}

/// The choice of a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// 0.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Why generation ended.
    pub finish_reason: String,
}

/// One chunk of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Names the answer; the same in each chunk.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Seconds of Unix time.
    pub created: u64,
    /// The model.
    pub model: String,
    /// One, or none in the chunk with the usage.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageBody>,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// 0.
    pub index: u32,
    /// What is new.
    pub delta: Delta,
    /// Why generation ended, in the chunk that ends it.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// What is new in a chunk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// In the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
    /// More text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

impl ChatChunk {
    /// A chunk with more text, the end, or both.
    pub fn new(
        id: &str,
        created: u64,
        model: &str,
        text: Option<String>,
        end: Option<String>,
    ) -> Self {
        let delta = Delta { role: None, content: text };
        Self {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            created,
            model: model.to_owned(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason: end }],
            usage: None,
        }
    }

    /// The text this chunk adds.
    pub fn text(&self) -> &str {
        let content = self.choices.first().and_then(|choice| choice.delta.content.as_deref());
        content.unwrap_or_default()
    }

    /// Why generation ended, if this chunk ends it.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }
}

/// The body of every error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error in the OpenAI shape, with what this project adds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// Kind of error, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The field at fault.
    pub param: Option<String>,
    /// For programs.
    pub code: Option<String>,
    /// Whether the request ran: `not_run`, `unknown` or `completed`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// Everything wrong with the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

/// `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}

/// One model of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Its name.
    pub id: String,
    /// `model`.
    pub object: String,
    /// Seconds of Unix time.
    pub created: u64,
    /// Who serves it.
    pub owned_by: String,
}
