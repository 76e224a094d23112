//! Tasks for back ends, and what these send.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::backend::service;
use calicohoist_gateway::core::message::{BackendEvent, EngineTask, ServiceTask};
use calicohoist_types::openai::ChatChunk;
use calicohoist_types::{AttemptId, EngineId, IdempotencyKey, ModelId, ServiceId};

pub const ATTEMPT: &str = "program/1/1";
const MAX_TOKENS: u64 = 100;
const MODEL: &str = "model";

/// Returns an attempt on the engine at `address`, as a resumption of another one if that is given.
pub fn engine_task(address: SocketAddr, resume: Option<AttemptId>) -> EngineTask {
    EngineTask {
        attempt: AttemptId::parse(ATTEMPT).expect("valid"),
        engine: EngineId::new("engine"),
        address,
        model: ModelId::new(MODEL),
        prompt: Vec::new(),
        continuation: String::new(),
        max_tokens: MAX_TOKENS,
        priority: 0,
        resume,
    }
}

/// Returns the line of an event with a part of the text, or with the reason for its end.
pub fn engine_event(text: Option<&str>, finish_reason: Option<&str>) -> String {
    let text = text.map(str::to_owned);
    let mut chunk = ChatChunk::new(ATTEMPT, 0, MODEL, text, finish_reason.map(str::to_owned));
    chunk.usage = finish_reason.map(|_| Default::default());
    format!("data: {}", serde_json::to_string(&chunk).expect("valid"))
}

/// Runs a job, or looks its result up, and returns the events.
pub fn run_job(address: SocketAddr, timeout: Duration, lookup_only: bool) -> Vec<BackendEvent> {
    let task = ServiceTask {
        attempt: AttemptId::parse(ATTEMPT).expect("valid"),
        address,
        service: ServiceId::new("tools"),
        key: IdempotencyKey::new("key"),
        input: "input".to_owned(),
        lookup_only,
    };
    let mut events = Vec::new();
    service::run(&task, timeout, |event| events.push(event));
    events
}
