//! An engine behind its HTTP API, in real time.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpClient, HttpServer, STREAM_DONE, ServerSettings};
use calicohoist_types::backend_api::{
    CacheListing, CacheReleased, CachedProgram, ExportedCache, FencedCommand, TransferReply,
    TransferRequest,
};
use calicohoist_types::openai::{
    ChatChunk, ChatRequest, ErrorBody, ErrorDetail, HEADER_ENGINE_ATTEMPT, HEADER_ENGINE_PRIORITY,
    HEADER_ENGINE_PROGRAM, ModelEntry, ModelList,
};
use calicohoist_types::{AttemptId, EngineId, ModelId, Moment, ProgramId};
use parking_lot::Mutex;
use serde_json::json;

use super::model::{EngineModel, EngineProfile, Refusal, Submission};
use super::record::EngineRecord;
use super::streams::{More, Streams};
use crate::clock::RealClock;

/// How often the engine's duty looks for the end of a step when idle.
const IDLE_POLL: Duration = Duration::from_millis(2);

/// Patience with the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of an engine server.
#[derive(Clone, Debug)]
pub struct EngineServerSettings {
    /// Its name.
    pub name: String,
    /// The model it serves at first.
    pub model: ModelId,
    /// Speed and size.
    pub profile: EngineProfile,
    /// One-way delay of the network before it.
    pub delay: Duration,
    /// The weight store that models are loaded from; without one they load at once.
    pub weights: Option<SocketAddr>,
    /// Seed of event losses.
    pub seed: u64,
}

struct EngineHandler {
    model: Mutex<EngineModel>,
    streams: Streams,
    delay: Duration,
    clock: RealClock,
    weights: Option<SocketAddr>,
    loads_until: Mutex<Option<Moment>>,
    hung: AtomicBool,
}

/// A running engine. Dropping it stops it at once.
pub struct EngineServer {
    http: HttpServer,
    handler: Arc<EngineHandler>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl EngineServer {
    /// Starts an engine on `listener`.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(settings: EngineServerSettings, listener: TcpListener) -> std::io::Result<Self> {
        let workers = settings.profile.max_batch * 2 + 8;
        let model =
            EngineModel::new(settings.name, settings.profile, settings.model, settings.seed);
        let handler = Arc::new(EngineHandler {
            model: Mutex::new(model),
            streams: Streams::default(),
            delay: settings.delay,
            clock: RealClock,
            weights: settings.weights,
            loads_until: Mutex::new(None),
            hung: AtomicBool::new(false),
        });
        let server_settings =
            ServerSettings { workers, queue: workers * 4, ..ServerSettings::default() };
        let http = HttpServer::start_on(listener, server_settings, handler.clone())?;
        let stop = Arc::new(AtomicBool::new(false));
        let (duty, stop_seen) = (handler.clone(), stop.clone());
        let thread = std::thread::Builder::new()
            .name("engine-steps".to_owned())
            .spawn(move || duty.run_steps(&stop_seen))?;
        Ok(Self { http, handler, stop, thread: Some(thread) })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Everything it was asked to do so far.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.handler.model.lock().records().cloned().collect()
    }

    /// Programs it holds memory of.
    pub fn holdings(&self) -> Vec<(ProgramId, u64)> {
        self.handler.model.lock().listing()
    }

    /// Makes it take no new work.
    pub fn leave(&self) {
        self.handler.model.lock().leave();
    }

    /// Makes it stop generating without a word, or go on.
    pub fn hang(&self, hung: bool) {
        self.handler.hung.store(hung, Ordering::SeqCst);
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.http.stop();
    }
}

impl EngineHandler {
    fn run_steps(&self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            if self.hung.load(Ordering::SeqCst) {
                std::thread::sleep(IDLE_POLL);
                continue;
            }
            let next = {
                let mut model = self.model.lock();
                let now = self.clock.now();
                if self.loads_until.lock().take_if(|ready| *ready <= now).is_some() {
                    model.finish_loading();
                }
                let outputs = model.advance(now);
                self.streams.add(outputs);
                model.next_step_end()
            };
            let idle_until = self.clock.now() + IDLE_POLL;
            self.clock.sleep_until(next.unwrap_or(idle_until).min(idle_until));
        }
    }

    fn chat(&self, mut exchange: Exchange) {
        let request = match exchange.read_json::<ChatRequest>() {
            Ok(request) => request,
            Err(error) => return refuse(exchange, 400, &error.to_string()),
        };
        let Ok(prompt) = request.plain_messages() else {
            return refuse(exchange, 400, "messages must be text");
        };
        let attempt = exchange.header(HEADER_ENGINE_ATTEMPT).and_then(AttemptId::parse);
        let program = exchange.header(HEADER_ENGINE_PROGRAM).and_then(ProgramId::parse);
        let (Some(attempt), Some(program)) = (attempt, program) else {
            return refuse(exchange, 400, "x-request-id and x-cache-owner are needed");
        };
        let priority = exchange.header(HEADER_ENGINE_PRIORITY).and_then(|text| text.parse().ok());
        let max_tokens = request.token_limit().unwrap_or(u64::MAX);
        let submission = Submission {
            attempt: attempt.clone(),
            program,
            model: ModelId::new(&request.model),
            prompt,
            continuation: request.continuation,
            max_tokens,
            priority: priority.unwrap_or(u64::MAX),
        };
        let submitted = self.model.lock().submit(self.clock.now(), submission);
        match submitted {
            Ok(()) => {
                self.streams.open(attempt.clone());
                self.stream(exchange, &attempt, &request.model, 0);
            }
            Err(Refusal::Leaving) => refuse(exchange, 503, "leaving"),
            Err(Refusal::WrongModel) => refuse(exchange, 404, "model is not loaded"),
            Err(Refusal::Duplicate) => refuse(exchange, 409, "attempt exists"),
        }
    }

    fn stream(&self, exchange: Exchange, attempt: &AttemptId, model: &str, from_piece: usize) {
        let Ok(mut events) = exchange.start_event_stream(&[]) else {
            return;
        };
        let id = attempt.to_string();
        let mut seen = from_piece;
        loop {
            match self.streams.more(attempt, seen) {
                More::Gone => return,
                // Keeps the connection known to be alive, as real engines do.
                More::NotYet if self.hung.load(Ordering::SeqCst) => {}
                More::NotYet => {
                    if events.send(&ChatChunk::new(&id, 0, model, None, None)).is_err() {
                        return;
                    }
                }
                More::Pieces(pieces, end) => {
                    seen += pieces.len();
                    let text = pieces.concat();
                    let reason = end.map(|(reason, _)| reason.to_owned());
                    let mut chunk = ChatChunk::new(&id, 0, model, Some(text), reason);
                    chunk.usage = end.map(|(_, usage)| usage.into());
                    if events.send(&chunk).is_err() {
                        return;
                    }
                    if end.is_some() {
                        let _ = events.send_text(STREAM_DONE);
                        return;
                    }
                }
            }
        }
    }

    fn resume(&self, exchange: Exchange, segments: &[String]) {
        let Some(attempt) = AttemptId::parse(&segments.join("/")) else {
            return refuse(exchange, 400, "not an attempt");
        };
        if !self.streams.contains(&attempt) {
            return refuse(exchange, 404, "no such attempt");
        }
        let model = self.model.lock().model().to_string();
        self.stream(exchange, &attempt, &model, 0);
    }

    fn cancel(&self, exchange: Exchange, segments: &[String]) {
        let attempt = AttemptId::parse(&segments.join("/"));
        let cancelled = attempt.is_some_and(|attempt| {
            self.streams.cancel(&attempt);
            self.model.lock().cancel(&attempt)
        });
        exchange.reply_json(200, &[], &json!({ "cancelled": cancelled }));
    }

    fn release(&self, exchange: Exchange, program: &str) {
        let Some(program) = ProgramId::parse(program) else {
            return refuse(exchange, 400, "not a program");
        };
        let tokens = self.model.lock().release(self.clock.now(), &program);
        exchange.reply_json(200, &[], &CacheReleased { tokens });
    }

    fn list_cache(&self, exchange: Exchange) {
        let held = self.model.lock().listing().into_iter();
        let programs = held.map(|(program, tokens)| CachedProgram { program, tokens }).collect();
        exchange.reply_json(200, &[], &CacheListing { programs });
    }

    fn list_models(&self, exchange: Exchange) {
        let entry = ModelEntry {
            id: self.model.lock().model().to_string(),
            object: "model".to_owned(),
            created: 0,
            owned_by: "engine".to_owned(),
        };
        let list = ModelList { object: "list".to_owned(), data: vec![entry] };
        exchange.reply_json(200, &[], &list);
    }

    fn order(&self, mut exchange: Exchange) {
        match exchange.read_json::<FencedCommand>() {
            Ok(order) => {
                let reply = self.model.lock().order(&order);
                if reply.accepted {
                    self.fetch_weights();
                }
                let status = if reply.accepted { 200 } else { 409 };
                exchange.reply_json(status, &[], &reply);
            }
            Err(error) => refuse(exchange, 400, &error.to_string()),
        }
    }

    /// Starts the transfer of the model that is to be loaded, if one is.
    fn fetch_weights(&self) {
        let (name, loading) = {
            let model = self.model.lock();
            (model.name().to_owned(), model.loading().cloned())
        };
        let Some(model) = loading else {
            return;
        };
        let wait = self.weights.and_then(|address| {
            let client = HttpClient::new(address, WEIGHTS_TIMEOUT, WEIGHTS_TIMEOUT);
            let engine = EngineId::new(name);
            let request = TransferRequest { engine, model };
            client.post::<_, TransferReply>("/v1/transfers", &request).ok()
        });
        let wait =
            wait.map_or(Duration::ZERO, |reply| Duration::from_micros(reply.ready_in_micros));
        *self.loads_until.lock() = Some(self.clock.now() + wait);
    }

    fn export(&self, exchange: Exchange, program: &str) {
        let exported = self.model.lock().export(&ProgramId::new(program));
        std::thread::sleep(Duration::from_micros(exported.transfer_micros));
        exchange.reply_json(200, &[], &exported);
    }

    fn import(&self, mut exchange: Exchange) {
        match exchange.read_json::<ExportedCache>() {
            Ok(exported) => {
                std::thread::sleep(Duration::from_micros(exported.transfer_micros));
                let blocks = self.model.lock().import(self.clock.now(), &exported);
                exchange.reply_json(200, &[], &json!({ "blocks": blocks }));
            }
            Err(error) => refuse(exchange, 400, &error.to_string()),
        }
    }

    fn events(&self, exchange: Exchange) {
        let after = exchange.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = self.model.lock().events_after(self.clock.now(), after);
        exchange.reply_json(200, &[], &events);
    }

    fn load(&self, exchange: Exchange) {
        let report = self.model.lock().load(self.clock.now());
        exchange.reply_json(200, &[], &report);
    }
}

impl Handler for EngineHandler {
    fn handle(&self, exchange: Exchange) {
        std::thread::sleep(self.delay);
        let method = exchange.method().to_owned();
        let segments = exchange.segments();
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.chat(exchange),
            ("GET", ["v1", "attempts", ..]) => self.resume(exchange, &segments[2..]),
            ("DELETE", ["v1", "attempts", ..]) => self.cancel(exchange, &segments[2..]),
            ("GET", ["v1", "models"]) => self.list_models(exchange),
            ("GET", ["v1", "load"]) => self.load(exchange),
            ("GET", ["v1", "events"]) => self.events(exchange),
            ("GET", ["v1", "cache"]) => self.list_cache(exchange),
            ("DELETE", ["v1", "cache", program]) => self.release(exchange, program),
            ("GET", ["v1", "cache", program, "export"]) => self.export(exchange, program),
            ("POST", ["v1", "cache", "import"]) => self.import(exchange),
            ("POST", ["v1", "orders"]) => self.order(exchange),
            ("GET", ["records"]) => {
                let records: Vec<EngineRecord> = self.model.lock().records().cloned().collect();
                exchange.reply_json(200, &[], &records);
            }
            _ => refuse(exchange, 404, "no such endpoint"),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        refuse(exchange, 503, "too many requests");
    }
}

fn refuse(exchange: Exchange, status: u16, message: &str) {
    let error = ErrorDetail {
        message: message.to_owned(),
        kind: "engine_error".to_owned(),
        param: None,
        code: None,
        outcome: None,
        findings: Vec::new(),
    };
    exchange.reply_json(status, &[], &ErrorBody { error });
}
