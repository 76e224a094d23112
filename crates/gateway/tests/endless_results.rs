//! Jobs, lists and control requests whose responses never end.

#[path = "../../http/tests/support/mod.rs"]
mod support;

mod tasks;

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_gateway::backend::{engine, platform};
use calicohoist_gateway::core::message::{BackendEvent, BackendFailure};
use calicohoist_types::ProgramId;
use support::{MAX_TAKEN_BYTES, ScriptedServer, send_without_end, trickle};
use tasks::run_job;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// Far above the time that a response of the size limit takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Far below the time that a trickled response takes, and above the time between its parts.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Passes the address of a server whose response never ends to `request`.
fn request_endless<T>(start: &str, part: &'static str, request: impl FnOnce(SocketAddr) -> T) -> T {
    let start = format!("{HEAD}{start}");
    let server = ScriptedServer::start(move |stream| send_without_end(stream, &start, part));
    let result = request(server.address);
    let taken = server.join();
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes were taken");
    result
}

#[test]
fn job_result_without_end_breaks_the_attempt() {
    let start = r#"{"key":"key","output":""#;
    let events = request_endless(start, "x", |address| run_job(address, LONG_TIMEOUT, false));
    assert_eq!(events, [BackendEvent::Failed(BackendFailure::Broken)]);
}

#[test]
fn looked_up_result_without_end_is_not_seen() {
    let start = r#"{"key":"key","output":""#;
    let events = request_endless(start, "x", |address| run_job(address, LONG_TIMEOUT, true));
    assert_eq!(events, [BackendEvent::Failed(BackendFailure::NotSeen)]);
}

#[test]
fn trickled_job_result_breaks_the_attempt_at_its_time_limit() {
    let start = [HEAD, r#"{"key":"key","output":""#].concat();
    let server = ScriptedServer::start(move |stream| trickle(stream, &start, "x", r#""}"#));
    let events = run_job(server.address, SHORT_TIMEOUT, false);
    assert_eq!(events, [BackendEvent::Failed(BackendFailure::Broken)]);
    assert!(!server.join(), "the attempt waited for the end of the result");
}

#[test]
fn machine_list_without_end_is_not_used() {
    let machine = r#"{"name":"machine","state":"live"},"#;
    assert!(request_endless("[", machine, platform::list).is_none());
}

#[test]
fn cache_listing_without_end_is_not_used() {
    let held = r#"{"program":"program","tokens":1},"#;
    assert!(request_endless(r#"{"programs":["#, held, engine::list).is_none());
}

#[test]
fn probe_without_end_is_no_report() {
    assert!(request_endless("", " ", engine::probe).is_none());
}

#[test]
fn release_without_end_is_not_confirmed() {
    let release = |address| engine::release(address, &ProgramId::new("program"));
    assert!(!request_endless("", " ", release));
}
