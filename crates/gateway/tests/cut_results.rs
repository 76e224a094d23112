//! Streams, jobs, lists and control requests whose responses are cut short.

#[path = "../../http/tests/support/mod.rs"]
mod support;

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::backend::{engine, platform, service};
use calicohoist_gateway::core::message::{BackendEvent, BackendFailure, EngineTask, ServiceTask};
use calicohoist_types::openai::ChatChunk;
use calicohoist_types::{AttemptId, EngineId, IdempotencyKey, ModelId, ProgramId, ServiceId};
use support::{ConnectionEnd, ENDS, cut, start_cut};

/// Far above the time that a response takes.
const TIMEOUT: Duration = Duration::from_secs(20);
const ATTEMPT: &str = "program/1/1";
const MODEL: &str = "model";
/// Stands for the body of a response.
const BODY: &str = "{body}";
const LENGTH: &str = "{length}";
/// Responses, cut in their head, in their framing and by the marks of their body.
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 2|00 OK|\r\n|content-len|gth: {length}|\r\n|\r|\n|{body}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chu|nked\r\n|\r\n|{length-hex}|\r\n|{body}|\r|\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n|HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n|\
     \r\n|{body}",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n|\r\n|{body}",
];

/// Returns the parts before the marks of all responses with this body.
fn cut_responses(body: &str) -> Vec<String> {
    let length = body.replace('|', "").len();
    let fill = |response: &str| {
        let response = response.replace("{length-hex}", &format!("{length:x}"));
        response.replace(LENGTH, &length.to_string()).replace(BODY, body)
    };
    RESPONSES.iter().flat_map(|response| cut(&fill(response))).collect()
}

/// Calls `request` with the address of a server for each of these parts of a response with this body,
/// and asserts that it returns `failure`, but not for the whole response.
fn assert_each_fails<T: Debug + PartialEq>(
    body: &str,
    parts: &[String],
    failure: T,
    request: impl Fn(SocketAddr) -> T,
) {
    let whole = format!("HTTP/1.1 200 OK\r\n\r\n{}", body.replace('|', ""));
    assert_ne!(request(start_cut(&whole, ConnectionEnd::Closed)), failure, "{whole:?}");
    for part in parts {
        for end in ENDS {
            assert_eq!(request(start_cut(part, end)), failure, "{part:?}, {end:?}");
        }
    }
}

/// Like [`assert_each_fails`], for each way to cut a response with this body.
fn assert_each_cut_fails<T: Debug + PartialEq>(
    body: &str,
    failure: T,
    request: impl Fn(SocketAddr) -> T,
) {
    assert_each_fails(body, &cut_responses(body), failure, request);
}

fn run_job(address: SocketAddr, lookup_only: bool) -> Vec<BackendEvent> {
    let task = ServiceTask {
        attempt: AttemptId::parse(ATTEMPT).expect("valid"),
        address,
        service: ServiceId::new("tools"),
        key: IdempotencyKey::new("key"),
        input: "input".to_owned(),
        lookup_only,
    };
    let mut events = Vec::new();
    service::run(&task, TIMEOUT, |event| events.push(event));
    events
}

#[test]
fn cut_job_result_breaks_the_attempt() {
    let failure = vec![BackendEvent::Failed(BackendFailure::Broken)];
    let run = |address| run_job(address, false);
    assert_each_cut_fails(r#"{"key":"key",|"output":"who|le"|}"#, failure, run);
}

#[test]
fn cut_result_that_is_looked_up_is_not_seen() {
    let failure = vec![BackendEvent::Failed(BackendFailure::NotSeen)];
    let run = |address| run_job(address, true);
    assert_each_cut_fails(r#"{"key":"key",|"output":"who|le"|}"#, failure, run);
}

#[test]
fn cut_machine_list_is_not_used() {
    assert_each_cut_fails(r#"[|{"name":"machine",|"state":"live"}|]"#, None, platform::list);
}

#[test]
fn cut_cache_listing_is_not_used() {
    let body = r#"{"programs":[|{"program":"program",|"tokens":1}|]|}"#;
    assert_each_cut_fails(body, None, engine::list);
}

#[test]
fn cut_probe_is_no_report() {
    let body = r#"{"running":0,"waiting":0,|"used_blocks":0,"total_blocks":1,"leaving":|false|}"#;
    assert_each_cut_fails(body, false, |address| engine::probe(address).is_some());
}

#[test]
fn cut_release_is_not_confirmed() {
    let release = |address| engine::release(address, &ProgramId::new("program"));
    assert_each_cut_fails(r#"{"tokens":1|}"#, false, release);
}

fn event(text: Option<&str>, finish_reason: Option<&str>) -> String {
    let text = text.map(str::to_owned);
    let mut chunk = ChatChunk::new(ATTEMPT, 0, MODEL, text, finish_reason.map(str::to_owned));
    chunk.usage = finish_reason.map(|_| Default::default());
    format!("data: {}", serde_json::to_string(&chunk).expect("valid"))
}

fn run_attempt(address: SocketAddr, resume: Option<AttemptId>) -> Vec<BackendEvent> {
    let task = EngineTask {
        attempt: AttemptId::parse(ATTEMPT).expect("valid"),
        engine: EngineId::new("engine"),
        address,
        model: ModelId::new(MODEL),
        prompt: Vec::new(),
        continuation: String::new(),
        max_tokens: 100,
        priority: 0,
        resume,
    };
    let mut events = Vec::new();
    engine::run(&task, TIMEOUT, |event| events.push(event));
    events
}

#[test]
fn cut_stream_breaks_the_attempt() {
    let (first, last) = (event(Some("word"), None), event(None, Some("stop")));
    let (begun, rest) = last.split_at(last.len() / 2);
    let body = format!("da|ta: |{}|\n|\n|{begun}|{rest}|\n\n", &first["data: ".len()..]);
    // A stream is complete with its last event, whatever follows.
    let is_cut = |part: &String| !part.contains(&format!("{last}\n\n"));
    let parts: Vec<String> = cut_responses(&body).into_iter().filter(is_cut).collect();
    for resume in [None, Some(AttemptId::parse(ATTEMPT).expect("valid"))] {
        assert_each_fails(&body, &parts, true, |address| {
            let events = run_attempt(address, resume.clone());
            let (end, texts) = events.split_last().expect("an end");
            let word = BackendEvent::Text { offset: 0, text: "word".to_owned() };
            assert!(texts.is_empty() || texts == [word], "{texts:?}");
            matches!(end, BackendEvent::Failed(_))
        });
    }
}
