//! Emulated tool services. Executions are counted by idempotency key and not deduplicated, so that
//! the checker detects duplicate executions.

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

/// Execution record of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Replica name.
    pub replica: String,
    /// Idempotency key.
    pub key: String,
    /// Number of executions.
    pub executions: u32,
    /// Time of the first execution.
    pub first: Moment,
    /// Output returned to the caller.
    pub output: String,
}

/// Returns the output of `service` for `input`.
pub fn job_output(service: &str, input: &str) -> String {
    let hash = blake3::hash(input.as_bytes());
    format!("{service} done, receipt {}", &hash.to_hex()[..12])
}

/// I/O-free model of a service replica.
#[derive(Debug)]
pub struct ServiceModel {
    replica: String,
    min_duration: Duration,
    random: ChaCha8Rng,
    records: BTreeMap<String, ServiceRecord>,
}

impl ServiceModel {
    /// Creates a replica whose job durations follow a Pareto distribution from `min_duration` on.
    pub fn new(replica: impl Into<String>, min_duration: Duration, seed: u64) -> Self {
        Self {
            replica: replica.into(),
            min_duration,
            random: ChaCha8Rng::seed_from_u64(seed),
            records: BTreeMap::new(),
        }
    }

    /// Draws a job duration from a Pareto distribution, capped at ten times the minimum.
    pub fn draw_duration(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(0.0..1.0);
        let factor = (1.0 - uniform).powf(-0.5).min(10.0);
        self.min_duration.mul_f64(factor)
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

    /// Returns the result of an executed key.
    pub fn look_up(&self, key: &str) -> Option<JobResult> {
        let record = self.records.get(key)?;
        Some(JobResult { key: key.to_owned(), output: record.output.clone() })
    }

    /// Returns the records of all executed keys.
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

/// HTTP server that runs a service replica in real time.
pub struct ServiceServer {
    http: HttpServer,
    handler: Arc<ServiceHandler>,
}

impl ServiceServer {
    /// Starts a replica on `listener` with a simulated one-way network delay.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be spawned.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the records of all executed keys.
    pub fn records(&self) -> Vec<ServiceRecord> {
        self.handler.model.lock().records().cloned().collect()
    }

    /// Suspends or resumes replies; a hung replica still executes jobs.
    pub fn set_hung(&self, hung: bool) {
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
