//! Client of the gateway API that retries calls, resumes interrupted streams and records
//! every attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use calicohoist_emulator::RealClock;
use calicohoist_gateway::api::services::{ServiceReply, ServiceRequest};
use calicohoist_http::{ClientError, HttpClient, Method, Response, STREAM_DONE};
use calicohoist_types::openai::{
    ChatChunk, ChatRequest, ErrorBody, HEADER_KEY, HEADER_PROGRAM, HEADER_REPEATABLE,
    HEADER_SEQUENCE, HEADER_TENANT,
};
use calicohoist_types::{ChatMessage, Moment, Outcome, Usage};
use parking_lot::Mutex;

use crate::history::{CallInput, CallResult, CallTry};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_ATTEMPTS: usize = 20;
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// State shared by all callers.
pub struct CallerContext {
    /// Addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// One-way delay between client and gateway.
    pub delay: Duration,
    /// Model that they call.
    pub model: String,
    /// Service that they call.
    pub service: String,
    /// Number of attempts in flight at each gateway.
    pub in_flight: Vec<AtomicUsize>,
    /// Records of all attempts.
    pub attempts: Mutex<Vec<CallTry>>,
}

/// Client that sends the calls of one program.
#[derive(Clone)]
pub struct Caller {
    context: Arc<CallerContext>,
    /// Program ID.
    pub program: String,
    tenant: String,
    next_sequence: u64,
    gateway: usize,
    clock: RealClock,
}

/// Error of a call that was refused or exhausted its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Error code of the last refusal; empty if there was none.
    pub code: String,
}

/// Faults that the client injects into a call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestOptions {
    /// Disconnect after a few chunks and resume at another gateway.
    pub disconnect: bool,
    /// Send a duplicate of the request concurrently.
    pub duplicate: bool,
}

impl Caller {
    /// Creates a caller for `program` that uses the gateway with index `gateway` first.
    pub fn new(context: Arc<CallerContext>, program: &str, tenant: &str, gateway: usize) -> Self {
        Self {
            context,
            program: program.to_owned(),
            tenant: tenant.to_owned(),
            next_sequence: 1,
            gateway,
            clock: RealClock,
        }
    }

    fn client(&self, gateway: usize) -> HttpClient {
        let gateways = &self.context.gateways;
        let address = gateways[gateway % gateways.len()];
        HttpClient::new(address, CONNECT_TIMEOUT, READ_TIMEOUT)
            .with_header(HEADER_TENANT, &self.tenant)
    }

    /// Calls the model and returns the text of the answer.
    ///
    /// # Errors
    /// When the call is refused permanently or all attempts fail.
    pub fn call_model(
        &mut self,
        messages: Vec<ChatMessage>,
        options: RequestOptions,
    ) -> Result<String, CallError> {
        let model = self.context.model.clone();
        self.call(CallInput::Model { model, messages }, true, options)
    }

    /// Calls the service and returns its output.
    ///
    /// # Errors
    /// When the call is refused permanently or all attempts fail.
    pub fn call_service(
        &mut self,
        input: String,
        repeatable: bool,
        options: RequestOptions,
    ) -> Result<String, CallError> {
        let service = self.context.service.clone();
        self.call(CallInput::Service { service, input }, repeatable, options)
    }

    /// Sends a call with the sequence number after the next one, which must be refused.
    pub fn send_out_of_order(&mut self, messages: Vec<ChatMessage>) {
        let model = self.context.model.clone();
        let asked = CallInput::Model { model, messages };
        let sequence = self.next_sequence + 1;
        let key = format!("early-{sequence}");
        self.send_attempt(self.gateway, sequence, &key, &asked, true, false);
    }

    fn call(
        &mut self,
        asked: CallInput,
        repeatable: bool,
        options: RequestOptions,
    ) -> Result<String, CallError> {
        let sequence = self.next_sequence;
        let mut key_number = 0;
        let mut options = options;
        let mut last_code = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            let key = format!("k{sequence}-{key_number}");
            if options.duplicate {
                options.duplicate = false;
                self.send_duplicate(sequence, &key, &asked, repeatable);
            }
            let disconnect = std::mem::take(&mut options.disconnect);
            match self.send_attempt(self.gateway, sequence, &key, &asked, repeatable, disconnect) {
                CallResult::Answered { text, .. } => {
                    self.next_sequence += 1;
                    return Ok(text);
                }
                CallResult::Refused { outcome, code } => {
                    if !is_retryable(&code) {
                        return Err(CallError { code });
                    }
                    // The refusal is stored under the key, so the next attempt needs a new key.
                    if outcome == Outcome::NotRun {
                        key_number += 1;
                    }
                    last_code = code;
                }
                CallResult::Cut | CallResult::NotConnected | CallResult::HungUp => {}
            }
            self.gateway += 1;
            std::thread::sleep(RETRY_DELAY.mul_f64((attempt as f64 / 2.0).min(1.0)));
        }
        Err(CallError { code: last_code })
    }

    /// Sends the same request concurrently through another gateway.
    fn send_duplicate(&self, sequence: u64, key: &str, asked: &CallInput, repeatable: bool) {
        let duplicate = self.clone();
        let (key, asked) = (key.to_owned(), asked.clone());
        std::thread::spawn(move || {
            duplicate.send_attempt(
                duplicate.gateway + 1,
                sequence,
                &key,
                &asked,
                repeatable,
                false,
            );
        });
    }

    fn send_attempt(
        &self,
        gateway: usize,
        sequence: u64,
        key: &str,
        asked: &CallInput,
        repeatable: bool,
        disconnect: bool,
    ) -> CallResult {
        let sent = self.clock.now();
        let in_flight = &self.context.in_flight[gateway % self.context.gateways.len()];
        in_flight.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(self.context.delay);
        let client = self
            .client(gateway)
            .with_header(HEADER_PROGRAM, &self.program)
            .with_header(HEADER_SEQUENCE, sequence.to_string())
            .with_header(HEADER_KEY, key)
            .with_header(HEADER_REPEATABLE, repeatable.to_string());
        let end = match asked {
            CallInput::Model { model, messages } => {
                let request = ChatRequest::streamed(model, messages);
                let path = "/v1/chat/completions";
                let response = client.request_json(Method::POST, path, &request);
                self.read_model_response(response, gateway, sequence, disconnect)
            }
            CallInput::Service { service, input } => {
                let request = ServiceRequest { input: input.clone() };
                let path = format!("/v1/services/{service}");
                read_service_response(client.request_json(Method::POST, &path, &request))
            }
        };
        std::thread::sleep(self.context.delay);
        in_flight.fetch_sub(1, Ordering::SeqCst);
        self.context.attempts.lock().push(CallTry {
            program: self.program.clone(),
            sequence,
            key: key.to_owned(),
            asked: asked.clone(),
            repeatable,
            gateway: gateway % self.context.gateways.len(),
            sent,
            ended: self.clock.now(),
            end: end.clone(),
        });
        end
    }

    fn read_model_response(
        &self,
        response: Result<Response, ClientError>,
        gateway: usize,
        sequence: u64,
        disconnect: bool,
    ) -> CallResult {
        let response = match response {
            Ok(response) if response.is_success() => response,
            Ok(response) => return read_error_response(response),
            Err(error) => return end_from_transport_error(&error),
        };
        let mut text = String::new();
        match read_stream(response, &mut text, disconnect) {
            // Keeps the received text and fetches the rest from another gateway.
            CallResult::HungUp => self.resume(gateway + 1, sequence, text),
            end => end,
        }
    }

    /// Fetches the rest of an answer, starting at the byte offset after the received text.
    fn resume(&self, gateway: usize, sequence: u64, mut text: String) -> CallResult {
        let path = format!(
            "/v1/programs/{}/calls/{sequence}/answer?offset={}&stream=true",
            self.program,
            text.len()
        );
        let response = self.client(gateway).request_json(Method::GET, &path, &());
        match response {
            Ok(response) if response.is_success() => read_stream(response, &mut text, false),
            Ok(response) => read_error_response(response),
            Err(error) => end_from_transport_error(&error),
        }
    }

    /// Ends the program; returns whether a gateway confirmed it.
    pub fn end_program(&mut self) -> bool {
        (0..MAX_ATTEMPTS).any(|_| {
            let path = format!("/v1/programs/{}/end", self.program);
            let ended = self.client(self.gateway).post::<_, serde_json::Value>(&path, &());
            if ended.is_err() {
                self.gateway += 1;
                std::thread::sleep(RETRY_DELAY);
            }
            ended.is_ok()
        })
    }

    /// Creates a sub-agent and returns its caller.
    pub fn create_sub_agent(&mut self, key: &str) -> Option<Self> {
        let path = format!("/v1/programs/{}/agents", self.program);
        let id = self.create_with_retries(&path, key, &serde_json::json!({}))?;
        Some(Self::new(self.context.clone(), &id, &self.tenant, self.gateway))
    }

    /// Creates the program; returns whether a gateway confirmed it.
    pub fn create_program(&mut self, budget: u64) -> bool {
        let body = serde_json::json!({ "id": self.program, "budget_tokens": budget });
        let key = format!("create-{}", self.program);
        self.create_with_retries("/v1/programs", &key, &body).is_some()
    }

    fn create_with_retries(
        &mut self,
        path: &str,
        key: &str,
        body: &serde_json::Value,
    ) -> Option<String> {
        for _ in 0..MAX_ATTEMPTS {
            let client = self.client(self.gateway).with_header(HEADER_KEY, key);
            match client.post::<_, serde_json::Value>(path, body) {
                Ok(created) => return created["id"].as_str().map(str::to_owned),
                Err(_) => {
                    self.gateway += 1;
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
        None
    }

    /// Current time, as used in records.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}

/// Chunks after which a caller disconnects if `RequestOptions::disconnect` is set.
const CHUNKS_BEFORE_DISCONNECT: usize = 3;

fn read_stream(response: Response, text: &mut String, disconnect: bool) -> CallResult {
    let mut events = response.into_events();
    let mut finish_reason = None;
    let mut usage = Usage::default();
    let mut chunks = 0;
    loop {
        let data = match events.next_data() {
            Ok(Some(data)) => data,
            Ok(None) | Err(_) => return CallResult::Cut,
        };
        events.restart_timeout();
        if data == STREAM_DONE {
            let finish_reason = finish_reason.unwrap_or_default();
            return CallResult::Answered { text: std::mem::take(text), finish_reason, usage };
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(&data) {
            return refusal_from_body(&error);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) else {
            return CallResult::Cut;
        };
        text.push_str(chunk.text());
        chunks += 1;
        if let Some(reason) = chunk.finish_reason() {
            finish_reason = Some(reason.to_owned());
        }
        if let Some(body) = chunk.usage {
            usage = body.into();
        }
        if disconnect && chunks == CHUNKS_BEFORE_DISCONNECT {
            return CallResult::HungUp;
        }
    }
}

fn read_service_response(response: Result<Response, ClientError>) -> CallResult {
    match response {
        Ok(response) if response.is_success() => match response.read_json::<ServiceReply>() {
            Ok(reply) => CallResult::Answered {
                text: reply.output,
                finish_reason: "stop".to_owned(),
                usage: Usage::default(),
            },
            Err(_) => CallResult::Cut,
        },
        Ok(response) => read_error_response(response),
        Err(error) => end_from_transport_error(&error),
    }
}

fn read_error_response(response: Response) -> CallResult {
    match response.read_json::<ErrorBody>() {
        Ok(error) => refusal_from_body(&error),
        Err(_) => CallResult::Cut,
    }
}

fn refusal_from_body(error: &ErrorBody) -> CallResult {
    let outcome = match error.error.outcome.as_deref() {
        Some("not_run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    CallResult::Refused { outcome, code: error.error.code.clone().unwrap_or_default() }
}

fn end_from_transport_error(error: &ClientError) -> CallResult {
    if error.never_sent() { CallResult::NotConnected } else { CallResult::Cut }
}

/// Whether a call that was refused with this code may succeed later.
pub(crate) fn is_retryable(code: &str) -> bool {
    !matches!(
        code,
        "budget_exhausted"
            | "program_over"
            | "program_cancelled"
            | "program_ended"
            | "too_many_calls"
    )
}
