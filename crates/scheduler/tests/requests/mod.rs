//! Requests for placement.

use calicohoist_scheduler::{PlacementRequest, PromptPart};

/// Returns the request of a turn in a program that is under way. Replicas cache `memory_tokens` tokens.
pub fn request_under_way(
    service: &str,
    zone: &str,
    memory_tokens: u64,
    prompt: Vec<PromptPart>,
) -> PlacementRequest {
    PlacementRequest {
        connected: Vec::new(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        prompt,
        memory_tokens,
        left_ms: 4_000,
        finish_ms: None,
        priority: 0,
        is_under_way: true,
        homes: Default::default(),
        cold: None,
        version: None,
    }
}
