//! HTTP server that runs an engine model in real time.

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

use super::model::{EngineModel, EngineProfile, Submission, SubmitError};
use super::record::EngineRecord;
use super::streams::{StreamPoll, Streams};
use crate::clock::RealClock;

/// Polling interval of the step thread while no step is running.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Connect and reply timeout of the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of an engine server.
#[derive(Clone, Debug)]
pub struct EngineServerSettings {
    /// Engine name.
    pub name: String,
    /// Initially loaded model.
    pub model: ModelId,
    /// Performance and capacity parameters.
    pub profile: EngineProfile,
    /// Simulated one-way network delay, applied to each request.
    pub delay: Duration,
    /// Address of the weight store; without one, models load instantly.
    pub weights: Option<SocketAddr>,
    /// Seed for the simulated loss of cache events.
    pub seed: u64,
}

struct EngineHandler {
    model: Mutex<EngineModel>,
    streams: Streams,
    delay: Duration,
    clock: RealClock,
    weights: Option<SocketAddr>,
    load_ready_at: Mutex<Option<Moment>>,
    hung: AtomicBool,
}

/// Running engine server, stopped when dropped.
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
    /// Returns an error if a thread cannot be spawned.
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
            load_ready_at: Mutex::new(None),
            hung: AtomicBool::new(false),
        });
        let server_settings =
            ServerSettings { workers, queue: workers * 4, ..ServerSettings::default() };
        let http = HttpServer::start_on(listener, server_settings, handler.clone())?;
        let stop = Arc::new(AtomicBool::new(false));
        let (step_handler, stop_flag) = (handler.clone(), stop.clone());
        let thread = std::thread::Builder::new()
            .name("engine-steps".to_owned())
            .spawn(move || step_handler.run_steps(&stop_flag))?;
        Ok(Self { http, handler, stop, thread: Some(thread) })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the records of all submitted requests.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.handler.model.lock().records().cloned().collect()
    }

    /// Returns the number of cached tokens of each program.
    pub fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.handler.model.lock().cached_programs()
    }

    /// Stops accepting new requests.
    pub fn leave(&self) {
        self.handler.model.lock().leave();
    }

    /// Suspends or resumes generation; a hung engine keeps its connections open.
    pub fn set_hung(&self, hung: bool) {
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
                std::thread::sleep(IDLE_POLL_INTERVAL);
                continue;
            }
            let next = {
                let mut model = self.model.lock();
                let now = self.clock.now();
                if self.load_ready_at.lock().take_if(|ready| *ready <= now).is_some() {
                    model.finish_loading();
                }
                let outputs = model.advance(now);
                self.streams.append(outputs);
                model.next_step_end()
            };
            let idle_until = self.clock.now() + IDLE_POLL_INTERVAL;
            self.clock.sleep_until(next.unwrap_or(idle_until).min(idle_until));
        }
    }

    fn chat(&self, mut exchange: Exchange) {
        let request = match exchange.read_json::<ChatRequest>() {
            Ok(request) => request,
            Err(error) => return reply_error(exchange, 400, &error.to_string()),
        };
        let Ok(prompt) = request.plain_messages() else {
            return reply_error(exchange, 400, "messages must be text");
        };
        let attempt = exchange.header(HEADER_ENGINE_ATTEMPT).and_then(AttemptId::parse);
        let program = exchange.header(HEADER_ENGINE_PROGRAM).and_then(ProgramId::parse);
        let (Some(attempt), Some(program)) = (attempt, program) else {
            return reply_error(exchange, 400, "x-request-id and x-cache-owner are needed");
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
            Err(SubmitError::Leaving) => reply_error(exchange, 503, "leaving"),
            Err(SubmitError::WrongModel) => reply_error(exchange, 404, "model is not loaded"),
            Err(SubmitError::Duplicate) => reply_error(exchange, 409, "attempt exists"),
        }
    }

    fn stream(&self, exchange: Exchange, attempt: &AttemptId, model: &str, from_chunk: usize) {
        let Ok(mut events) = exchange.start_event_stream(&[]) else {
            return;
        };
        let id = attempt.to_string();
        let mut offset = from_chunk;
        loop {
            match self.streams.poll(attempt, offset) {
                StreamPoll::Closed => return,
                // A hung engine sends no keep-alive chunks.
                StreamPoll::Pending if self.hung.load(Ordering::SeqCst) => {}
                StreamPoll::Pending => {
                    if events.send(&ChatChunk::new(&id, 0, model, None, None)).is_err() {
                        return;
                    }
                }
                StreamPoll::Chunks(chunks, end) => {
                    offset += chunks.len();
                    let text = chunks.concat();
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
            return reply_error(exchange, 400, "not an attempt");
        };
        if !self.streams.contains(&attempt) {
            return reply_error(exchange, 404, "no such attempt");
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
            return reply_error(exchange, 400, "not a program");
        };
        let tokens = self.model.lock().release(self.clock.now(), &program);
        exchange.reply_json(200, &[], &CacheReleased { tokens });
    }

    fn list_cache(&self, exchange: Exchange) {
        let cached = self.model.lock().cached_programs().into_iter();
        let programs = cached.map(|(program, tokens)| CachedProgram { program, tokens }).collect();
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

    fn execute_command(&self, mut exchange: Exchange) {
        match exchange.read_json::<FencedCommand>() {
            Ok(command) => {
                let reply = self.model.lock().execute(&command);
                if reply.accepted {
                    self.start_weight_transfer();
                }
                let status = if reply.accepted { 200 } else { 409 };
                exchange.reply_json(status, &[], &reply);
            }
            Err(error) => reply_error(exchange, 400, &error.to_string()),
        }
    }

    /// Requests the weights of the pending model load, if any, and schedules its completion.
    fn start_weight_transfer(&self) {
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
        *self.load_ready_at.lock() = Some(self.clock.now() + wait);
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
            Err(error) => reply_error(exchange, 400, &error.to_string()),
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
            ("POST", ["v1", "orders"]) => self.execute_command(exchange),
            ("GET", ["records"]) => {
                let records: Vec<EngineRecord> = self.model.lock().records().cloned().collect();
                exchange.reply_json(200, &[], &records);
            }
            _ => reply_error(exchange, 404, "no such endpoint"),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        reply_error(exchange, 503, "too many requests");
    }
}

fn reply_error(exchange: Exchange, status: u16, message: &str) {
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
