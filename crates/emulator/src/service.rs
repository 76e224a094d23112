//! Tool services: print orders and utility records. Each execution is counted
//! by its key; nothing is deduplicated, so a request that runs twice shows.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};
use calicohoist_types::Moment;
use calicohoist_types::backend_api::{JobRequest, JobResult};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock::RealClock;

/// One key a service executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The replica.
    pub replica: String,
    /// The key.
    pub key: String,
    /// How often it was executed.
    pub executions: u32,
    /// When it was first executed.
    pub first: Moment,
    /// What the service answered.
    pub output: String,
}

/// What a service says to an input.
pub fn job_output(service: &str, input: &str) -> String {
    let hash = blake3::hash(input.as_bytes());
    format!("{service} done, receipt {}", &hash.to_hex()[..12])
}

/// A replica as a model without I/O.
#[derive(Debug)]
pub struct ServiceModel {
    replica: String,
    fastest: Duration,
    random: ChaCha8Rng,
    records: BTreeMap<String, ServiceRecord>,
}

impl ServiceModel {
    /// A replica whose jobs take `fastest` and, now and then, much longer.
    pub fn new(replica: impl Into<String>, fastest: Duration, seed: u64) -> Self {
        Self {
            replica: replica.into(),
            fastest,
            random: ChaCha8Rng::seed_from_u64(seed),
            records: BTreeMap::new(),
        }
    }

    /// Draws how long the next job takes: a Pareto tail cut at ten times the fastest.
    pub fn draw_duration(&mut self) -> Duration {
        let share: f64 = self.random.random_range(0.0..1.0);
        let stretch = (1.0 - share).powf(-0.5).min(10.0);
        self.fastest.mul_f64(stretch)
    }

    /// Executes a job.
    pub fn execute(&mut self, now: Moment, job: &JobRequest) -> JobResult {
        let output = job_output(&job.service, &job.input);
        let record = self.records.entry(job.key.clone()).or_insert_with(|| ServiceRecord {
            replica: self.replica.clone(),
            key: job.key.clone(),
            executions: 0,
            first: now,
            output: output.clone(),
        });
        record.executions += 1;
        JobResult { key: job.key.clone(), output }
    }

    /// What became of a key.
    pub fn look_up(&self, key: &str) -> Option<JobResult> {
        let record = self.records.get(key)?;
        Some(JobResult { key: key.to_owned(), output: record.output.clone() })
    }

    /// Every key it executed.
    pub fn records(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.records.values()
    }
}

struct ServiceHandler {
    model: Mutex<ServiceModel>,
    delay: Duration,
    clock: RealClock,
    hung: AtomicBool,
}

/// A replica behind its HTTP API, in real time.
pub struct ServiceServer {
    http: HttpServer,
    handler: Arc<ServiceHandler>,
}

impl ServiceServer {
    /// Starts a replica on `listener`, with a one-way network delay before it.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        model: ServiceModel,
        delay: Duration,
        listener: TcpListener,
    ) -> std::io::Result<Self> {
        let handler = Arc::new(ServiceHandler {
            model: Mutex::new(model),
            delay,
            clock: RealClock,
            hung: AtomicBool::new(false),
        });
        let http = HttpServer::start_on(listener, ServerSettings::default(), handler.clone())?;
        Ok(Self { http, handler })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Every key it executed so far.
    pub fn records(&self) -> Vec<ServiceRecord> {
        self.handler.model.lock().records().cloned().collect()
    }

    /// Makes it execute jobs without answering, or answer again.
    pub fn hang(&self, hung: bool) {
        self.handler.hung.store(hung, Ordering::SeqCst);
    }
}

impl ServiceHandler {
    fn execute(&self, mut exchange: Exchange) {
        let Ok(job) = exchange.read_json::<JobRequest>() else {
            return exchange.reply_json(400, &[], &json!({ "error": "not a job" }));
        };
        let duration = self.model.lock().draw_duration();
        std::thread::sleep(duration);
        let result = self.model.lock().execute(self.clock.now(), &job);
        if self.hung.load(Ordering::SeqCst) {
            return;
        }
        exchange.reply_json(200, &[], &result);
    }

    fn look_up(&self, exchange: Exchange, key: &str) {
        let found = self.model.lock().look_up(&key.replace(':', "/"));
        match found {
            Some(result) => exchange.reply_json(200, &[], &result),
            None => exchange.reply_json(404, &[], &json!({ "error": "no such key" })),
        }
    }
}

impl Handler for ServiceHandler {
    fn handle(&self, exchange: Exchange) {
        std::thread::sleep(self.delay);
        let method = exchange.method().to_owned();
        let segments = exchange.segments();
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "jobs"]) => self.execute(exchange),
            ("GET", ["v1", "jobs", key]) => self.look_up(exchange, key),
            ("GET", ["records"]) => {
                let records: Vec<ServiceRecord> = self.model.lock().records().cloned().collect();
                exchange.reply_json(200, &[], &records);
            }
            _ => exchange.reply_json(404, &[], &json!({ "error": "no such endpoint" })),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_json(503, &[], &json!({ "error": "too many requests" }));
    }
}
