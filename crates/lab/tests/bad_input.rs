//! Bad input at a real gateway: a typed error that says whether the request ran,
//! nothing lost, nothing stuck, no panic.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use calicohoist_lab::deployment::Deployment;
use calicohoist_lab::fleet::backends::FleetSize;
use calicohoist_lab::fleet::{EmbeddedFleet, FleetControl};
use calicohoist_types::openai::ErrorBody;
use serde_json::{Value, json};

const MAX_BODY: usize = 16 * 1024;

struct Fixture {
    fleet: EmbeddedFleet,
    _folder: tempfile::TempDir,
}

fn start() -> Fixture {
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = EmbeddedFleet::start_with(
        Deployment::Celje,
        FleetSize::SMALL,
        folder.path(),
        1,
        |section| {
            section.max_body_bytes = MAX_BODY;
            section.body_timeout = Duration::from_millis(300);
            section.queue_timeout = Duration::from_millis(1_500);
            section.workers = 8;
        },
    );
    Fixture { fleet: fleet.expect("a fleet"), _folder: folder }
}

impl Fixture {
    fn address(&self) -> SocketAddr {
        self.fleet.map().gateways[0]
    }

    /// Sends a request as it is; returns status and body.
    fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let mut request =
            format!("{method} {path} HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n");
        for (name, value) in headers {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
        request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
        exchange(self.address(), request.as_bytes())
    }

    fn chat(&self, headers: &[(&str, &str)], body: &Value) -> (u16, String) {
        self.send("POST", "/v1/chat/completions", headers, &body.to_string())
    }

    /// The gateway still answers a good call.
    fn assert_still_serves(&self) {
        let (status, body) = self.chat(&[], &good_body());
        assert_eq!(status, 200, "{body}");
    }

    /// No engine took a call of this program.
    fn assert_never_ran(&self, program: &str) {
        let records = self.fleet.map().engine_records();
        assert!(records.iter().all(|record| record.program.as_str() != program));
    }
}

fn exchange(address: SocketAddr, request: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    let _ = stream.write_all(request);
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    let reply = String::from_utf8_lossy(&reply).into_owned();
    let status = reply.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = reply.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    (status, body)
}

fn good_body() -> Value {
    json!({ "model": "notice-writer", "messages": [{ "role": "user", "content": "hello" }] })
}

fn error(body: &str) -> ErrorBody {
    let start = body.find('{').expect("a JSON body");
    let end = body.rfind('}').expect("a JSON body");
    serde_json::from_str(&body[start..=end]).expect("an error body")
}

fn assert_refused(reply: &(u16, String), status: u16, code: &str) {
    assert_eq!(reply.0, status, "{}", reply.1);
    let error = error(&reply.1).error;
    assert_eq!(error.code.as_deref(), Some(code));
    assert_eq!(error.outcome.as_deref(), Some("not_run"));
}

#[test]
fn bad_requests_are_refused_with_type_and_outcome() {
    let fixture = start();
    assert_refused(
        &fixture.send("POST", "/v1/chat/completions", &[], "{ not json"),
        400,
        "unreadable_body",
    );
    let mut unknown = good_body();
    unknown["model"] = json!("nobody");
    assert_refused(&fixture.chat(&[], &unknown), 404, "unknown_model");
    let far = [("calicohoist-program", "p"), ("calicohoist-sequence", "99999999")];
    assert_refused(&fixture.chat(&far, &good_body()), 400, "invalid_request");
    let missing = [("calicohoist-program", "no-such-program")];
    assert_refused(&fixture.chat(&missing, &good_body()), 404, "unknown_program");
    let bad_name = [("calicohoist-program", "not a name!")];
    assert_refused(&fixture.chat(&bad_name, &good_body()), 400, "invalid_request");
    assert_refused(&fixture.send("GET", "/v1/nothing", &[], ""), 404, "no_such_endpoint");
    let many = json!({ "model": "not a name", "messages": [{ "role": "user" }], "max_tokens": 0 });
    let reply = fixture.chat(&[("calicohoist-repeatable", "maybe")], &many);
    assert_eq!(error(&reply.1).error.findings.len(), 4, "all findings at once: {}", reply.1);
    fixture.assert_never_ran("p");
    fixture.assert_still_serves();
}

#[test]
fn oversized_and_slow_bodies_hold_no_worker() {
    let fixture = start();
    let large = "x".repeat(MAX_BODY + 1);
    assert_refused(
        &fixture.send("POST", "/v1/chat/completions", &[], &large),
        413,
        "unreadable_body",
    );
    // More slow bodies than workers: each is closed when its time is over.
    let mut slow = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(fixture.address()).expect("a connection");
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: g\r\ncontent-length: 5000\r\n\r\n{";
        stream.write_all(head.as_bytes()).expect("a request");
        slow.push(stream);
    }
    for mut stream in slow {
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let mut reply = Vec::new();
        // The end of the connection arrives; a worker is not waiting any more.
        let _ = stream.read_to_end(&mut reply);
    }
    fixture.assert_still_serves();
}

#[test]
fn unreachable_back_ends_end_in_a_refusal_that_is_true() {
    let mut fixture = start();
    fixture.fleet.backends.engines.clear();
    let reply = fixture.chat(&[("idempotency-key", "k1")], &good_body());
    assert_eq!(reply.0, 503, "{}", reply.1);
    let error = error(&reply.1).error;
    assert_eq!(error.outcome.as_deref(), Some("not_run"));
    assert!(
        matches!(error.code.as_deref(), Some("no_backend" | "refused_by_backend" | "overloaded")),
        "{error:?}"
    );
    // The refusal is durable: the same key gets the same answer.
    let again = fixture.chat(&[("idempotency-key", "k1")], &good_body());
    assert_eq!(again.0, 503);
}

#[test]
fn the_stock_shape_of_requests_and_answers_is_kept() {
    let fixture = start();
    let (status, body) = fixture.chat(&[], &good_body());
    assert_eq!(status, 200, "{body}");
    let answer: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["role"], "assistant");
    assert!(answer["usage"]["total_tokens"].as_u64().is_some_and(|tokens| tokens > 0));
    let mut streamed = good_body();
    streamed["stream"] = json!(true);
    streamed["messages"][0]["content"] = json!([{ "type": "text", "text": "hello" }]);
    let (status, events) = fixture.chat(&[], &streamed);
    assert_eq!(status, 200);
    assert!(events.contains("chat.completion.chunk"), "{events}");
    assert!(events.contains("data: [DONE]"), "{events}");
    let (status, models) = fixture.send("GET", "/v1/models", &[], "");
    assert_eq!(status, 200);
    assert!(models.contains("notice-writer"));
}
