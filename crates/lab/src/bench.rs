//! `bench`: what the whole path adds to a call, and how many short calls one
//! gateway holds. Figures are ratios within one run wherever that is possible.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use calicohoist_http::HttpClient;
use calicohoist_types::openai::{ChatRequest, HEADER_ENGINE_ATTEMPT, HEADER_ENGINE_PROGRAM};
use calicohoist_types::{ChatMessage, Role};
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

use crate::deployment::Deployment;
use crate::fleet::backends::FleetSize;
use crate::fleet::{EmbeddedFleet, FleetControl};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Callers at a time, one step after the other.
const CONCURRENCY: [usize; 6] = [1, 4, 16, 32, 64, 128];

/// What to measure.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// Calls of each kind for the added latency.
    pub calls: usize,
    /// Time of each step of the rate.
    pub step: Duration,
}

/// Times of one kind of call, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_micros: u64,
    /// 99 in 100.
    pub p99_micros: u64,
}

/// One step of the rate.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RateStep {
    /// Callers at a time.
    pub callers: usize,
    /// Answers per second.
    pub calls_per_second: f64,
    /// Calls that got no answer.
    pub failed: u64,
    /// Their latency.
    pub latency: Latency,
}

/// Everything measured.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// Straight to an engine.
    pub direct: Latency,
    /// Through gateway and store.
    pub through: Latency,
    /// Median of the differences, pair by pair.
    pub added_p50_micros: i64,
    /// The 99th percentile of the differences, pair by pair.
    pub added_p99_micros: i64,
    /// Rates at one gateway.
    pub rate: Vec<RateStep>,
}

/// Runs both measurements on an embedded fleet.
///
/// # Errors
/// When the fleet cannot be started or a call fails.
pub fn run(settings: BenchSettings) -> Result<BenchReport> {
    let folder = tempfile::tempdir()?;
    let size = FleetSize { engines: 10, replicas: 1, gateways: 1, stores: 3 };
    let tune = |section: &mut calicohoist::settings::GatewaySection| section.workers = 256;
    let fleet = EmbeddedFleet::start_with(Deployment::Celje, size, folder.path(), 1, tune)?;
    let map = fleet.map();
    let (direct, through) = compare(
        map.engines[0].address,
        map.gateways[0],
        Deployment::Celje.model(),
        settings.calls,
    )?;
    let mut added: Vec<i64> = direct
        .iter()
        .zip(&through)
        .map(|(direct, through)| *through as i64 - *direct as i64)
        .collect();
    added.sort_unstable();
    let at = |share: f64| added[((added.len() - 1) as f64 * share) as usize];
    let mut rate = Vec::new();
    for callers in CONCURRENCY {
        rate.push(measure_rate(
            map.gateways[0],
            Deployment::Celje.model(),
            callers,
            settings.step,
        )?);
    }
    Ok(BenchReport {
        direct: latency(&direct)?,
        through: latency(&through)?,
        added_p50_micros: at(0.50),
        added_p99_micros: at(0.99),
        rate,
    })
}

/// The same calls straight to an engine and through the gateway, in turn.
fn compare(
    engine: SocketAddr,
    gateway: SocketAddr,
    model: &str,
    calls: usize,
) -> Result<(Vec<u64>, Vec<u64>)> {
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for call in 0..calls {
        let request = short_request(model, call as u64);
        let attempt = format!("bench/{}/1", call + 1);
        let client = HttpClient::new(engine, TIMEOUT, TIMEOUT)
            .with_header(HEADER_ENGINE_ATTEMPT, attempt)
            .with_header(HEADER_ENGINE_PROGRAM, "bench");
        direct.push(time_stream(&client, &request)?);
        let client = HttpClient::new(gateway, TIMEOUT, TIMEOUT);
        through.push(time_stream(&client, &request)?);
    }
    Ok((direct, through))
}

fn short_request(model: &str, number: u64) -> ChatRequest {
    let message = ChatMessage::new(Role::User, format!("question {number}"));
    let mut request = ChatRequest::streamed(model, &[message]);
    request.max_tokens = Some(4);
    request
}

fn time_stream(client: &HttpClient, request: &ChatRequest) -> Result<u64> {
    let begin = Instant::now();
    let mut events = client.post_event_stream("/v1/chat/completions", request)?;
    let mut is_done = false;
    while let Some(data) = events.next_data()? {
        is_done |= data == calicohoist_http::STREAM_DONE;
    }
    if is_done {
        Ok(begin.elapsed().as_micros() as u64)
    } else {
        Err(eyre!("the answer has no end"))
    }
}

fn latency(values: &[u64]) -> Result<Latency> {
    let mut histogram = Histogram::<u64>::new(3)?;
    for value in values {
        histogram.record(*value)?;
    }
    Ok(Latency {
        p50_micros: histogram.value_at_quantile(0.50),
        p99_micros: histogram.value_at_quantile(0.99),
    })
}

/// Callers that send one short call after the other for `step`.
fn measure_rate(
    gateway: SocketAddr,
    model: &str,
    callers: usize,
    step: Duration,
) -> Result<RateStep> {
    let stop = AtomicBool::new(false);
    let failed = AtomicU64::new(0);
    let number = AtomicU64::new(1_000_000);
    let begin = Instant::now();
    let times: Vec<Vec<u64>> = std::thread::scope(|scope| {
        let call = || {
            let client = HttpClient::new(gateway, TIMEOUT, TIMEOUT);
            let mut times = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let mut request = short_request(model, number.fetch_add(1, Ordering::Relaxed));
                request.stream = false;
                let begin = Instant::now();
                match client.post::<_, Value>("/v1/chat/completions", &request) {
                    Ok(_) => times.push(begin.elapsed().as_micros() as u64),
                    Err(_) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            times
        };
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(call)).collect();
        std::thread::sleep(step);
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect()
    });
    let all: Vec<u64> = times.into_iter().flatten().collect();
    Ok(RateStep {
        callers,
        calls_per_second: all.len() as f64 / begin.elapsed().as_secs_f64(),
        failed: failed.load(Ordering::Relaxed),
        latency: latency(&all)?,
    })
}
