//! Deterministic answers: a function of the model and the full prompt.

use calicohoist_types::{ChatMessage, ModelId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Minimum answer length, in tokens.
pub const MIN_ANSWER_TOKENS: usize = 8;
/// Maximum answer length, in tokens.
pub const MAX_ANSWER_TOKENS: usize = 40;

/// Vocabulary; each word is at most 12 bytes, which makes it exactly one token.
const VOCABULARY: [&str; 40] = [
    "notice",
    "permit",
    "water",
    "outage",
    "snow",
    "route",
    "closure",
    "ballot",
    "sample",
    "draft",
    "street",
    "office",
    "review",
    "funeral",
    "column",
    "edition",
    "print",
    "order",
    "record",
    "meter",
    "account",
    "clerk",
    "citizen",
    "reporter",
    "morning",
    "evening",
    "north",
    "south",
    "bridge",
    "harbour",
    "correction",
    "deadline",
    "approved",
    "pending",
    "issued",
    "valid",
    "until",
    "from",
    "between",
    "and",
];

/// Returns the tokens of the unlimited answer to `prompt`.
pub fn answer_tokens(model: &ModelId, prompt: &[ChatMessage]) -> Vec<&'static str> {
    let mut random = ChaCha8Rng::from_seed(prompt_seed(model, prompt));
    let length = random.random_range(MIN_ANSWER_TOKENS..=MAX_ANSWER_TOKENS);
    let word = |_| VOCABULARY[random.random_range(0..VOCABULARY.len())];
    (0..length).map(word).collect()
}

/// Returns the answer to `prompt`, truncated to `max_tokens`.
pub fn answer_text(model: &ModelId, prompt: &[ChatMessage], max_tokens: u64) -> String {
    let tokens = answer_tokens(model, prompt);
    let limit = usize::try_from(max_tokens).unwrap_or(usize::MAX);
    let truncated: Vec<&str> = tokens.into_iter().take(limit).collect();
    truncated.join(" ")
}

fn prompt_seed(model: &ModelId, prompt: &[ChatMessage]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_str().as_bytes());
    for message in prompt {
        hasher.update(&[0]);
        hasher.update(message.role.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(message.content.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
