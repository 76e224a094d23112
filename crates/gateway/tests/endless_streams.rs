//! Attempts on engines whose streams never end, or make no progress.

#[path = "../../http/tests/support/mod.rs"]
mod support;

mod tasks;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use calicohoist_gateway::backend::engine;
use calicohoist_gateway::core::message::{BackendEvent, BackendFailure};
use support::{MAX_TAKEN_BYTES, ScriptedServer, send_without_end, trickle};
use tasks::{engine_event, engine_task};

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// Far above the time that a stream of the size limit takes.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Far below the time that a trickled stream takes, and above the time between its parts.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns an event with the empty line that ends it.
fn event(text: Option<&str>, finish_reason: Option<&str>) -> String {
    format!("{}\n\n", engine_event(text, finish_reason))
}

/// Runs an attempt; returns its last event and the length of its text.
fn run(address: SocketAddr, timeout: Duration) -> (Option<BackendEvent>, usize) {
    let (mut last, mut text_bytes) = (None, 0);
    engine::run(&engine_task(address, None), timeout, |event| {
        if let BackendEvent::Text { text, .. } = &event {
            text_bytes += text.len();
        }
        last = Some(event);
    });
    (last, text_bytes)
}

const BROKEN: Option<BackendEvent> = Some(BackendEvent::Failed(BackendFailure::Broken));

fn assert_endless_stream_breaks(part: String) -> usize {
    let server = ScriptedServer::start(move |stream| send_without_end(stream, HEAD, &part));
    let (last, text_bytes) = run(server.address, LONG_TIMEOUT);
    assert_eq!(last, BROKEN);
    let taken = server.join();
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes were taken");
    text_bytes
}

fn assert_trickled_stream_breaks(part: String) {
    let end = event(Some("late"), Some("stop"));
    let server = ScriptedServer::start(move |stream| trickle(stream, HEAD, &part, &end));
    let (last, _) = run(server.address, SHORT_TIMEOUT);
    assert_eq!(last, BROKEN);
    assert!(!server.join(), "the attempt waited for the end of the stream");
}

#[test]
fn text_beyond_the_maximum_of_tokens_breaks_the_attempt() {
    let text_bytes = assert_endless_stream_breaks(event(Some(&"word ".repeat(100)), None));
    assert!(text_bytes < 1 << 20, "{text_bytes} bytes of text were reported");
}

#[test]
fn chunks_without_text_break_the_attempt() {
    assert_endless_stream_breaks(event(None, None));
}

#[test]
fn comments_without_end_break_the_attempt() {
    assert_endless_stream_breaks(": ping\n\n".to_owned());
}

#[test]
fn trickled_comments_break_the_attempt_at_its_time_limit() {
    assert_trickled_stream_breaks(": ping\n\n".to_owned());
}

#[test]
fn trickled_chunks_without_text_break_the_attempt_at_its_time_limit() {
    assert_trickled_stream_breaks(event(None, None));
}

#[test]
fn trickled_event_breaks_the_attempt_at_its_time_limit() {
    assert_trickled_stream_breaks("data: ".to_owned());
}

#[test]
fn slow_stream_that_makes_progress_is_read_to_its_end() {
    let (part, end) = (event(Some("word "), None), event(None, Some("stop")));
    let server = ScriptedServer::start(move |stream| trickle(stream, HEAD, &part, &end));
    let (last, text_bytes) = run(server.address, SHORT_TIMEOUT);
    assert!(matches!(last, Some(BackendEvent::Done { .. })), "{last:?}");
    assert!(server.join());
    assert_eq!(text_bytes, support::TRICKLE_PARTS * "word ".len());
}

#[test]
fn engine_that_cannot_be_reached_did_not_start_the_attempt() {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let not_started = Some(BackendEvent::Failed(BackendFailure::NotStarted));
    assert_eq!(run(address, LONG_TIMEOUT).0, not_started);
}
