//! The HTTP API for callers and operators.
//!
//! - [`chat`]: the OpenAI chat endpoint and stored answers;
//! - [`programs`]: creation, inspection, end and cancellation of programs;
//! - [`services`]: calls to tool services;
//! - [`resources`]: the resource API for operators;
//! - [`headers`]: request headers that extend the OpenAI API;
//! - [`errors`]: error responses;
//! - [`caller_channels`]: channels from the core to the HTTP workers.

pub mod caller_channels;
pub mod chat;
pub mod errors;
pub mod headers;
pub mod programs;
pub mod resources;
pub mod services;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use calicohoist_http::{Exchange, Handler};
use calicohoist_store::{GroupMap, StoreReply, StoreRequest};
use calicohoist_telemetry::{Event, emit, metrics};
use crossbeam::channel::Sender;

use crate::core::message::{CallerEvent, Input, Ticket};
use crate::driver::CoreInput;
use crate::view::SharedView;
use caller_channels::{CallerChannel, CallerChannels};
use errors::ApiError;

/// Maximum wait for an event of the core; a safeguard, as the core has its own timeouts.
const CORE_TIMEOUT: Duration = Duration::from_secs(120);

/// Handler of all endpoints.
pub struct ApiHandler {
    pub(crate) core: Sender<CoreInput>,
    pub(crate) caller_channels: Arc<CallerChannels>,
    pub(crate) view: Arc<SharedView>,
    pub(crate) groups: GroupMap,
    pub(crate) stopping: Arc<AtomicBool>,
}

impl ApiHandler {
    /// Opens a channel for events from the core.
    pub(crate) fn open_channel(&self) -> CallerChannel {
        self.caller_channels.open()
    }

    pub(crate) fn send(&self, input: Input) -> Result<(), ApiError> {
        let sent = self.core.send(CoreInput::Input(input));
        sent.map_err(|_| ApiError::shutting_down())
    }

    /// Sends a request to the store and waits for the reply.
    pub(crate) fn store_request(&self, request: StoreRequest) -> Result<StoreReply, ApiError> {
        let channel = self.open_channel();
        self.send(Input::StoreRequest(channel.ticket(), Box::new(request)))?;
        match channel.next(CORE_TIMEOUT) {
            Some(CallerEvent::StoreReply(Some(reply))) => Ok(*reply),
            _ => Err(ApiError::store_unavailable()),
        }
    }

    pub(crate) fn next_event(&self, channel: &CallerChannel) -> Option<CallerEvent> {
        channel.next(CORE_TIMEOUT)
    }

    pub(crate) fn report_disconnect(&self, ticket: Ticket) {
        let _ = self.core.send(CoreInput::Input(Input::CallerDisconnected(ticket)));
    }

    fn route(&self, mut exchange: Exchange) {
        let method = exchange.method().to_owned();
        let segments = exchange.segments();
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        let result = match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => return self.chat(exchange),
            ("GET", ["v1", "programs", program, "calls", sequence, "answer"]) => {
                return self.stored_answer(exchange, program, sequence);
            }
            ("POST", ["v1", "services", service]) => {
                return self.call_service(exchange, service);
            }
            ("GET", ["v1", "models"]) => Ok(self.list_models()),
            ("POST", ["v1", "programs"]) => self.create_program(&mut exchange, None),
            ("POST", ["v1", "programs", parent, "agents"]) => {
                self.create_program(&mut exchange, Some(parent))
            }
            ("GET", ["v1", "programs", program]) => self.get_program(&exchange, program),
            ("GET", ["v1", "programs", program, "history"]) => self.get_history(&exchange, program),
            ("POST", ["v1", "programs", program, "end"]) => self.end_program(&exchange, program),
            ("POST", ["v1", "programs", program, "cancel"]) => {
                self.cancel_program(&exchange, program)
            }
            ("GET", ["apis", "v1", "status"]) => self.fleet_status(),
            ("GET", ["apis", "v1", "groups"]) => self.group_status(),
            ("GET", ["apis", "v1", "changes"]) => self.list_changes(&exchange),
            ("GET", ["apis", "v1", kind]) => self.list_resources(&exchange, kind),
            ("GET", ["apis", "v1", kind, name]) => self.get_resource(kind, name),
            ("PUT", ["apis", "v1", kind, name]) => self.put_resource(&mut exchange, kind, name),
            ("DELETE", ["apis", "v1", kind, name]) => self.delete_resource(&exchange, kind, name),
            ("GET", ["healthz"]) => return exchange.reply_text(200, "text/plain", "ok\n"),
            ("GET", ["readyz"]) => return self.ready(exchange),
            ("GET", ["metrics"]) => {
                return exchange.reply_text(200, metrics::CONTENT_TYPE, metrics::render());
            }
            _ => Err(ApiError::no_such_endpoint(&method, exchange.path())),
        };
        match result {
            Ok(reply) => exchange.reply_json(reply.status, &reply.headers, &reply.body),
            Err(error) => error.reply(exchange),
        }
    }

    fn ready(&self, exchange: Exchange) {
        if self.view.is_ready() && !self.stopping.load(Ordering::SeqCst) {
            exchange.reply_text(200, "text/plain", "ready\n");
        } else {
            exchange.reply_text(503, "text/plain", "not ready\n");
        }
    }
}

/// A JSON response.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: serde_json::Value,
}

impl Reply {
    /// Creates a response with status 200.
    pub fn ok(body: serde_json::Value) -> Self {
        Self { status: 200, headers: Vec::new(), body }
    }
}

impl Handler for ApiHandler {
    fn handle(&self, exchange: Exchange) {
        self.route(exchange);
    }

    fn handle_overload(&self, exchange: Exchange) {
        emit!(Event::RequestRefused, "all workers are busy: {}", exchange.path());
        let has_key = exchange.header(calicohoist_types::openai::HEADER_KEY).is_some();
        ApiError::busy(has_key).reply(exchange);
    }
}
