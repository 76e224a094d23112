//! Client of engines: chat completions, cache control and probes.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_http::{ClientError, EventReader, HttpClient, ResponseBody, STREAM_DONE};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::backend_api::{CacheListing, CacheReleased, LoadReport};
use calicohoist_types::openai::{
    ChatChunk, ChatRequest, HEADER_ENGINE_ATTEMPT, HEADER_ENGINE_PRIORITY, HEADER_ENGINE_PROGRAM,
};
use calicohoist_types::{AttemptId, ProgramId};

use super::{CONNECT_TIMEOUT, CONTROL_TIMEOUT, MAX_CONTROL_RESPONSE_BYTES, MAX_LIST_BYTES};
use crate::core::message::{BackendEvent, BackendFailure, EngineReport, EngineTask};

/// Maximum length of the text of a token, in bytes.
const MAX_TOKEN_BYTES: u64 = 256;
/// Maximum size of the events of a token, including those that keep its connection alive, in bytes.
const MAX_TOKEN_EVENT_BYTES: u64 = 16 << 10;
/// Maximum size of a stream without the events of tokens, in bytes.
const MAX_STREAM_OVERHEAD_BYTES: u64 = 1 << 20;

/// Runs a task on an engine; the last event passed to `report` ends the attempt.
pub fn run(task: &EngineTask, read_timeout: Duration, mut report: impl FnMut(BackendEvent)) {
    let opened = match &task.resume {
        Some(earlier) => resume(task, earlier, read_timeout),
        None => start(task, read_timeout),
    };
    let expected = task.resume.as_ref().unwrap_or(&task.attempt).to_string();
    match opened {
        Ok(events) => relay_events(task, &expected, events, &mut report),
        Err(failure) => report(BackendEvent::Failed(failure)),
    }
}

type Events = EventReader<ResponseBody>;

fn control_client(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, CONNECT_TIMEOUT, CONTROL_TIMEOUT)
        .with_max_response_bytes(MAX_CONTROL_RESPONSE_BYTES)
}

/// Client of streams, which end when they exceed what `max_tokens` tokens can need.
fn stream_client(task: &EngineTask, timeout: Duration) -> HttpClient {
    let max_token_bytes = task.max_tokens.saturating_mul(MAX_TOKEN_EVENT_BYTES);
    HttpClient::new(task.address, CONNECT_TIMEOUT, timeout)
        .with_max_response_bytes(max_token_bytes.saturating_add(MAX_STREAM_OVERHEAD_BYTES))
}

fn start(task: &EngineTask, read_timeout: Duration) -> Result<Events, BackendFailure> {
    let mut request = ChatRequest::streamed(task.model.as_str(), &task.prompt);
    request.max_tokens = Some(task.max_tokens);
    request.continuation = task.continuation.clone();
    let client = stream_client(task, read_timeout)
        .with_header(HEADER_ENGINE_ATTEMPT, task.attempt.to_string())
        .with_header(HEADER_ENGINE_PROGRAM, task.attempt.call.program.as_str())
        .with_header(HEADER_ENGINE_PRIORITY, task.priority.to_string());
    client
        .post_event_stream("/v1/chat/completions", &request)
        .map_err(|error| classify_error(&error))
}

fn resume(
    task: &EngineTask,
    earlier: &AttemptId,
    read_timeout: Duration,
) -> Result<Events, BackendFailure> {
    let path = format!("/v1/attempts/{earlier}");
    let opened = stream_client(task, read_timeout).get_event_stream(&path);
    opened.map_err(|_| BackendFailure::NothingToResume)
}

/// Maps a client error: an engine sends an error status only before it starts a request.
fn classify_error(error: &ClientError) -> BackendFailure {
    match error {
        ClientError::InvalidRequest(_)
        | ClientError::NotConnected(_)
        | ClientError::Status { .. } => BackendFailure::NotStarted,
        ClientError::Broken(_) | ClientError::Malformed(_) => BackendFailure::Broken,
    }
}

fn relay_events(
    task: &EngineTask,
    expected: &str,
    mut events: Events,
    report: &mut impl FnMut(BackendEvent),
) {
    let max_text_bytes = task.max_tokens.saturating_mul(MAX_TOKEN_BYTES);
    let mut offset = if task.resume.is_some() { 0 } else { task.continuation.len() };
    loop {
        let chunk = match next_chunk(&mut events, expected) {
            Some(chunk) => chunk,
            None => return report(BackendEvent::Failed(BackendFailure::Broken)),
        };
        if chunk.id != expected {
            emit!(Event::FrameMismatch, "received a chunk of {} instead of {expected}", chunk.id);
            return report(BackendEvent::Failed(BackendFailure::Broken));
        }
        let text = chunk.text().to_owned();
        if !text.is_empty() {
            let start = offset;
            offset += text.len();
            if offset as u64 > max_text_bytes {
                emit!(Event::StreamBroken, "{expected}: more than {max_text_bytes} bytes of text");
                return report(BackendEvent::Failed(BackendFailure::Broken));
            }
            report(BackendEvent::Text { offset: start, text });
            events.restart_timeout();
        }
        if let (Some(reason), Some(usage)) = (chunk.finish_reason(), chunk.usage) {
            return report(BackendEvent::Done {
                finish_reason: reason.to_owned(),
                usage: usage.into(),
            });
        }
    }
}

fn next_chunk(events: &mut Events, expected: &str) -> Option<ChatChunk> {
    let data = match events.next_data() {
        Ok(data) => data?,
        Err(error) => {
            emit!(Event::StreamBroken, "{expected}: {error}");
            return None;
        }
    };
    if data == STREAM_DONE {
        return None;
    }
    serde_json::from_str(&data).ok()
}

/// Cancels an attempt; errors are ignored, as its result is no longer used.
pub fn cancel(address: SocketAddr, attempt: &AttemptId) {
    let path = format!("/v1/attempts/{attempt}");
    let _ = control_client(address).delete::<serde_json::Value>(&path);
}

/// Releases a program's cache memory; returns whether the engine confirmed it.
pub fn release(address: SocketAddr, program: &ProgramId) -> bool {
    let path = format!("/v1/cache/{program}");
    control_client(address).delete::<CacheReleased>(&path).is_ok()
}

/// Lists the programs in the engine's cache; `None` when the engine does not answer.
pub fn list(address: SocketAddr) -> Option<Vec<ProgramId>> {
    let client = control_client(address).with_max_response_bytes(MAX_LIST_BYTES);
    let listing = client.get::<CacheListing>("/v1/cache").ok()?;
    Some(listing.programs.into_iter().map(|held| held.program).collect())
}

/// Queries the engine's status; `None` when the engine does not answer.
pub fn probe(address: SocketAddr) -> Option<EngineReport> {
    let report = control_client(address).get::<LoadReport>("/v1/load").ok()?;
    Some(EngineReport { leaving: report.leaving })
}
