//! A caller: streams answers, repeats what may be repeated, resumes what broke,
//! and records every try as it saw it.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use attohttpc::{Method, Response};
use calicohoist_emulator::RealClock;
use calicohoist_gateway::api::services::{ServiceReply, ServiceRequest};
use calicohoist_http::{ClientError, EventReader, HttpClient, STREAM_DONE};
use calicohoist_types::openai::{
    ChatChunk, ChatRequest, ErrorBody, HEADER_KEY, HEADER_PROGRAM, HEADER_REPEATABLE,
    HEADER_SEQUENCE, HEADER_TENANT,
};
use calicohoist_types::{ChatMessage, Moment, Outcome, Usage};
use parking_lot::Mutex;

use crate::history::{CallInput, CallResult, CallTry};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Tries of one call before its caller gives up.
const MAX_TRIES: usize = 20;
/// Pause before a call is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What callers share.
pub struct CallerContext {
    /// Addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// One-way delay between client and gateway.
    pub delay: Duration,
    /// The model they ask.
    pub model: String,
    /// The service they use.
    pub service: String,
    /// Tries under way at each gateway.
    pub under_way: Vec<AtomicUsize>,
    /// Every try.
    pub tries: Mutex<Vec<CallTry>>,
}

/// A caller inside one program.
#[derive(Clone)]
pub struct Caller {
    context: Arc<CallerContext>,
    /// The program.
    pub program: String,
    tenant: String,
    next_sequence: u64,
    gateway: usize,
    clock: RealClock,
}

/// A call that got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GaveUp {
    /// The code of the last refusal.
    pub code: String,
}

/// How a try is to be made.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// Hang up after a few pieces and resume elsewhere.
    pub hang_up: bool,
    /// Send the request a second time at the same moment.
    pub twice: bool,
}

impl Caller {
    /// A caller for `program`, which exists.
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

    /// Asks the model.
    ///
    /// # Errors
    /// When the call is refused for good.
    pub fn ask(&mut self, messages: Vec<ChatMessage>, manner: Manner) -> Result<String, GaveUp> {
        let model = self.context.model.clone();
        self.call(CallInput::Model { model, messages }, true, manner)
    }

    /// Uses the service.
    ///
    /// # Errors
    /// When the call is refused for good.
    pub fn use_service(
        &mut self,
        input: String,
        repeatable: bool,
        manner: Manner,
    ) -> Result<String, GaveUp> {
        let service = self.context.service.clone();
        self.call(CallInput::Service { service, input }, repeatable, manner)
    }

    /// Sends a call for a place whose turn has not come; it must be refused.
    pub fn send_too_early(&mut self, messages: Vec<ChatMessage>) {
        let model = self.context.model.clone();
        let asked = CallInput::Model { model, messages };
        let sequence = self.next_sequence + 1;
        let key = format!("early-{sequence}");
        self.try_once(self.gateway, sequence, &key, &asked, true, false);
    }

    fn call(
        &mut self,
        asked: CallInput,
        repeatable: bool,
        manner: Manner,
    ) -> Result<String, GaveUp> {
        let sequence = self.next_sequence;
        let mut round = 0;
        let mut manner = manner;
        let mut last = String::new();
        for attempt in 0..MAX_TRIES {
            let key = format!("k{sequence}-{round}");
            if manner.twice {
                manner.twice = false;
                self.send_second(sequence, &key, &asked, repeatable);
            }
            let hang_up = std::mem::take(&mut manner.hang_up);
            match self.try_once(self.gateway, sequence, &key, &asked, repeatable, hang_up) {
                CallResult::Answered { text, .. } => {
                    self.next_sequence += 1;
                    return Ok(text);
                }
                CallResult::Refused { outcome, code } => {
                    if !is_worth_another_try(&code) {
                        return Err(GaveUp { code });
                    }
                    // A refused key stays refused; the call itself may run.
                    if outcome == Outcome::NotRun {
                        round += 1;
                    }
                    last = code;
                }
                CallResult::Cut | CallResult::NotConnected | CallResult::HungUp => {}
            }
            self.gateway += 1;
            std::thread::sleep(RETRY_PAUSE.mul_f64((attempt as f64 / 2.0).min(1.0)));
        }
        Err(GaveUp { code: last })
    }

    /// The same request once more, at the same time, through another gateway.
    fn send_second(&self, sequence: u64, key: &str, asked: &CallInput, repeatable: bool) {
        let twin = self.clone();
        let (key, asked) = (key.to_owned(), asked.clone());
        std::thread::spawn(move || {
            twin.try_once(twin.gateway + 1, sequence, &key, &asked, repeatable, false);
        });
    }

    fn try_once(
        &self,
        gateway: usize,
        sequence: u64,
        key: &str,
        asked: &CallInput,
        repeatable: bool,
        hang_up: bool,
    ) -> CallResult {
        let sent = self.clock.now();
        let under_way = &self.context.under_way[gateway % self.context.gateways.len()];
        under_way.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(self.context.delay);
        let sender = self
            .client(gateway)
            .with_header(HEADER_PROGRAM, &self.program)
            .with_header(HEADER_SEQUENCE, sequence.to_string())
            .with_header(HEADER_KEY, key)
            .with_header(HEADER_REPEATABLE, repeatable.to_string());
        let end = match asked {
            CallInput::Model { model, messages } => {
                let request = ChatRequest::streamed(model, messages);
                let path = "/v1/chat/completions";
                let response = sender.request_json(Method::POST, path, &request);
                self.read_answer(response, gateway, sequence, hang_up)
            }
            CallInput::Service { service, input } => {
                let request = ServiceRequest { input: input.clone() };
                let path = format!("/v1/services/{service}");
                read_service(sender.request_json(Method::POST, &path, &request))
            }
        };
        std::thread::sleep(self.context.delay);
        under_way.fetch_sub(1, Ordering::SeqCst);
        self.context.tries.lock().push(CallTry {
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

    fn read_answer(
        &self,
        response: Result<Response, ClientError>,
        gateway: usize,
        sequence: u64,
        hang_up: bool,
    ) -> CallResult {
        let response = match response {
            Ok(response) if response.is_success() => response,
            Ok(response) => return refusal(response),
            Err(error) => return transport_end(&error),
        };
        let mut text = String::new();
        match read_stream(response, &mut text, hang_up) {
            // Whatever was received stays; the rest comes through another gateway.
            CallResult::HungUp => self.resume(gateway + 1, sequence, text),
            end => end,
        }
    }

    /// Gets the rest of an answer from the byte where it broke off.
    fn resume(&self, gateway: usize, sequence: u64, mut text: String) -> CallResult {
        let path = format!(
            "/v1/programs/{}/calls/{sequence}/answer?offset={}&stream=true",
            self.program,
            text.len()
        );
        let response = self.client(gateway).request_json(Method::GET, &path, &());
        match response {
            Ok(response) if response.is_success() => read_stream(response, &mut text, false),
            Ok(response) => refusal(response),
            Err(error) => transport_end(&error),
        }
    }

    /// Ends the program; `true` once that is confirmed.
    pub fn end(&mut self) -> bool {
        (0..MAX_TRIES).any(|_| {
            let path = format!("/v1/programs/{}/end", self.program);
            let ended = self.client(self.gateway).post::<_, serde_json::Value>(&path, &());
            if ended.is_err() {
                self.gateway += 1;
                std::thread::sleep(RETRY_PAUSE);
            }
            ended.is_ok()
        })
    }

    /// Starts a sub-agent; returns its caller.
    pub fn start_agent(&mut self, key: &str) -> Option<Self> {
        let path = format!("/v1/programs/{}/agents", self.program);
        let id = self.create(&path, key, &serde_json::json!({}))?;
        Some(Self::new(self.context.clone(), &id, &self.tenant, self.gateway))
    }

    /// Creates the caller's own program.
    pub fn create_program(&mut self, budget: u64) -> bool {
        let body = serde_json::json!({ "id": self.program, "budget_tokens": budget });
        let key = format!("create-{}", self.program);
        self.create("/v1/programs", &key, &body).is_some()
    }

    fn create(&mut self, path: &str, key: &str, body: &serde_json::Value) -> Option<String> {
        for _ in 0..MAX_TRIES {
            let sender = self.client(self.gateway).with_header(HEADER_KEY, key);
            match sender.post::<_, serde_json::Value>(path, body) {
                Ok(created) => return created["id"].as_str().map(str::to_owned),
                Err(_) => {
                    self.gateway += 1;
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
        }
        None
    }

    /// When it is now, for records.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}

/// Pieces after which a caller hangs up on purpose.
const PIECES_BEFORE_HANG_UP: usize = 3;

fn read_stream(response: Response, text: &mut String, hang_up: bool) -> CallResult {
    let mut events = EventReader::new(response.split().2);
    let mut finish_reason = None;
    let mut usage = Usage::default();
    let mut pieces = 0;
    loop {
        let data = match events.next_data() {
            Ok(Some(data)) => data,
            Ok(None) | Err(_) => return CallResult::Cut,
        };
        if data == STREAM_DONE {
            let finish_reason = finish_reason.unwrap_or_default();
            return CallResult::Answered { text: std::mem::take(text), finish_reason, usage };
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(&data) {
            return refused(&error);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) else {
            return CallResult::Cut;
        };
        text.push_str(chunk.text());
        pieces += 1;
        if let Some(reason) = chunk.finish_reason() {
            finish_reason = Some(reason.to_owned());
        }
        if let Some(body) = chunk.usage {
            usage = body.into();
        }
        if hang_up && pieces == PIECES_BEFORE_HANG_UP {
            return CallResult::HungUp;
        }
    }
}

fn read_service(response: Result<Response, ClientError>) -> CallResult {
    match response {
        Ok(response) if response.is_success() => match response.json::<ServiceReply>() {
            Ok(reply) => CallResult::Answered {
                text: reply.output,
                finish_reason: "stop".to_owned(),
                usage: Usage::default(),
            },
            Err(_) => CallResult::Cut,
        },
        Ok(response) => refusal(response),
        Err(error) => transport_end(&error),
    }
}

fn refusal(response: Response) -> CallResult {
    let mut body = Vec::new();
    let read = response.split().2.read_to_end(&mut body);
    match (read, serde_json::from_slice::<ErrorBody>(&body)) {
        (Ok(_), Ok(error)) => refused(&error),
        _ => CallResult::Cut,
    }
}

fn refused(error: &ErrorBody) -> CallResult {
    let outcome = match error.error.outcome.as_deref() {
        Some("not_run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    CallResult::Refused { outcome, code: error.error.code.clone().unwrap_or_default() }
}

fn transport_end(error: &ClientError) -> CallResult {
    if error.never_sent() { CallResult::NotConnected } else { CallResult::Cut }
}

/// Whether a refusal with this code may turn out otherwise later.
pub(crate) fn is_worth_another_try(code: &str) -> bool {
    !matches!(
        code,
        "budget_exhausted"
            | "program_over"
            | "program_cancelled"
            | "program_ended"
            | "too_many_calls"
    )
}
