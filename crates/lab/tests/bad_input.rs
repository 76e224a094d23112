//! Invalid requests to a gateway of an embedded fleet: each gets a typed error with its outcome,
//! and the gateway keeps serving.

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
    _data_folder: tempfile::TempDir,
}

fn start() -> Fixture {
    let data_folder = tempfile::tempdir().expect("a folder");
    let fleet = EmbeddedFleet::start_with(
        Deployment::Celje,
        FleetSize::SMALL,
        data_folder.path(),
        1,
        |section| {
            section.max_body_bytes = MAX_BODY;
            section.body_timeout = Duration::from_millis(300);
            section.queue_timeout = Duration::from_millis(1_500);
            section.workers = 8;
        },
    );
    Fixture { fleet: fleet.expect("a fleet"), _data_folder: data_folder }
}

impl Fixture {
    fn address(&self) -> SocketAddr {
        self.fleet.addresses().gateways[0]
    }

    /// Sends a raw HTTP request; returns status and body.
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

    /// Asserts that the gateway still answers a valid call.
    fn assert_still_serves(&self) {
        let (status, body) = self.chat(&[], &valid_body());
        assert_eq!(status, 200, "{body}");
    }

    /// Asserts that no engine received a call of this program.
    fn assert_never_ran(&self, program: &str) {
        let records = self.fleet.addresses().engine_records();
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

fn valid_body() -> Value {
    json!({ "model": "notice-writer", "messages": [{ "role": "user", "content": "hello" }] })
}

fn error(body: &str) -> ErrorBody {
    let start = body.find('{').expect("a JSON body");
    let end = body.rfind('}').expect("a JSON body");
    serde_json::from_str(&body[start..=end]).expect("an error body")
}

fn assert_rejected(reply: &(u16, String), status: u16, code: &str) {
    assert_eq!(reply.0, status, "{}", reply.1);
    let error = error(&reply.1).error;
    assert_eq!(error.code.as_deref(), Some(code));
    assert_eq!(error.outcome.as_deref(), Some("not_run"));
}

#[test]
fn invalid_requests_are_rejected_with_code_and_outcome() {
    let fixture = start();
    assert_rejected(
        &fixture.send("POST", "/v1/chat/completions", &[], "{ not json"),
        400,
        "unreadable_body",
    );
    let mut unknown_model = valid_body();
    unknown_model["model"] = json!("nobody");
    assert_rejected(&fixture.chat(&[], &unknown_model), 404, "unknown_model");
    let invalid_sequence = [("calicohoist-program", "p"), ("calicohoist-sequence", "99999999")];
    assert_rejected(&fixture.chat(&invalid_sequence, &valid_body()), 400, "invalid_request");
    let unknown_program = [("calicohoist-program", "no-such-program")];
    assert_rejected(&fixture.chat(&unknown_program, &valid_body()), 404, "unknown_program");
    let invalid_name = [("calicohoist-program", "not a name!")];
    assert_rejected(&fixture.chat(&invalid_name, &valid_body()), 400, "invalid_request");
    assert_rejected(&fixture.send("GET", "/v1/nothing", &[], ""), 404, "no_such_endpoint");
    let invalid_fields =
        json!({ "model": "not a name", "messages": [{ "role": "user" }], "max_tokens": 0 });
    let reply = fixture.chat(&[("calicohoist-repeatable", "maybe")], &invalid_fields);
    assert_eq!(error(&reply.1).error.findings.len(), 4, "all findings at once: {}", reply.1);
    fixture.assert_never_ran("p");
    fixture.assert_still_serves();
}

#[test]
fn oversized_and_slow_bodies_do_not_block_workers() {
    let fixture = start();
    let large = "x".repeat(MAX_BODY + 1);
    assert_rejected(
        &fixture.send("POST", "/v1/chat/completions", &[], &large),
        413,
        "unreadable_body",
    );
    // More slow bodies than workers; each connection is closed when the body timeout expires.
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
        // Returns when the gateway has closed the connection.
        let _ = stream.read_to_end(&mut reply);
    }
    fixture.assert_still_serves();
}

#[test]
fn calls_without_reachable_engines_are_rejected_as_not_run() {
    let mut fixture = start();
    fixture.fleet.backends.engines.clear();
    let reply = fixture.chat(&[("idempotency-key", "k1")], &valid_body());
    assert_eq!(reply.0, 503, "{}", reply.1);
    let error = error(&reply.1).error;
    assert_eq!(error.outcome.as_deref(), Some("not_run"));
    assert!(
        matches!(error.code.as_deref(), Some("no_backend" | "refused_by_backend" | "overloaded")),
        "{error:?}"
    );
    // The refusal is stored under the key, so a repeated request gets the same response.
    let again = fixture.chat(&[("idempotency-key", "k1")], &valid_body());
    assert_eq!(again.0, 503);
}

#[test]
fn requests_and_responses_follow_the_openai_format() {
    let fixture = start();
    let (status, body) = fixture.chat(&[], &valid_body());
    assert_eq!(status, 200, "{body}");
    let answer: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["role"], "assistant");
    assert!(answer["usage"]["total_tokens"].as_u64().is_some_and(|tokens| tokens > 0));
    let mut streamed = valid_body();
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
