//! Streams, jobs, lists and control requests whose responses are cut short.

#[path = "../../http/tests/support/mod.rs"]
mod support;

mod tasks;

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::backend::{engine, platform};
use calicohoist_gateway::core::message::{BackendEvent, BackendFailure};
use calicohoist_types::{AttemptId, ProgramId};
use support::{ConnectionEnd, ENDS, cut, start_cut};
use tasks::{ATTEMPT, engine_event, engine_task, run_job};

/// Far above the time that a response takes.
const TIMEOUT: Duration = Duration::from_secs(20);
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

#[test]
fn cut_job_result_breaks_the_attempt() {
    let failure = vec![BackendEvent::Failed(BackendFailure::Broken)];
    let run = |address| run_job(address, TIMEOUT, false);
    assert_each_cut_fails(r#"{"key":"key",|"output":"who|le"|}"#, failure, run);
}

#[test]
fn cut_result_that_is_looked_up_is_not_seen() {
    let failure = vec![BackendEvent::Failed(BackendFailure::NotSeen)];
    let run = |address| run_job(address, TIMEOUT, true);
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

fn run_attempt(address: SocketAddr, resume: Option<AttemptId>) -> Vec<BackendEvent> {
    let mut events = Vec::new();
    engine::run(&engine_task(address, resume), TIMEOUT, |event| events.push(event));
    events
}

#[test]
fn cut_stream_breaks_the_attempt() {
    let (first, last) = (engine_event(Some("word"), None), engine_event(None, Some("stop")));
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
