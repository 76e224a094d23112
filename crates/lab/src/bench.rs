//! `bench`: measures the latency that the gateway path adds to a call and the throughput of
//! one gateway.

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
/// Numbers of concurrent callers, measured one after another.
const CONCURRENCY_LEVELS: [usize; 6] = [1, 4, 16, 32, 64, 128];

/// Settings of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// Number of direct and of proxied calls for the latency measurement.
    pub calls: usize,
    /// Duration of the measurement at each concurrency level.
    pub step_duration: Duration,
}

/// Latency percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_micros: u64,
    /// 99th percentile.
    pub p99_micros: u64,
}

/// Throughput at one concurrency level.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ThroughputPoint {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Answered calls per second.
    pub calls_per_second: f64,
    /// Number of failed calls.
    pub failed: u64,
    /// Latency of the answered calls.
    pub latency: Latency,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// Latency of calls sent directly to an engine.
    pub direct: Latency,
    /// Latency of calls sent through the gateway and store.
    pub through: Latency,
    /// Median of the pairwise latency differences.
    pub added_p50_micros: i64,
    /// 99th percentile of the pairwise latency differences.
    pub added_p99_micros: i64,
    /// Throughput of one gateway at each concurrency level.
    pub rate: Vec<ThroughputPoint>,
}

/// Measures latency and throughput on an embedded fleet.
///
/// # Errors
/// When the fleet cannot be started or a call fails.
pub fn run(settings: BenchSettings) -> Result<BenchReport> {
    let folder = tempfile::tempdir()?;
    let size = FleetSize { engines: 10, replicas: 1, gateways: 1, stores: 3 };
    let configure = |section: &mut calicohoist::settings::GatewaySection| section.workers = 256;
    let fleet = EmbeddedFleet::start_with(Deployment::Celje, size, folder.path(), 1, configure)?;
    let addresses = fleet.addresses();
    let (direct, through) = measure_latency(
        addresses.engines[0].address,
        addresses.gateways[0],
        Deployment::Celje.model(),
        settings.calls,
    )?;
    let mut added: Vec<i64> = direct
        .iter()
        .zip(&through)
        .map(|(direct, through)| *through as i64 - *direct as i64)
        .collect();
    added.sort_unstable();
    let percentile = |share: f64| added[((added.len() - 1) as f64 * share) as usize];
    let mut rate = Vec::new();
    for callers in CONCURRENCY_LEVELS {
        rate.push(measure_throughput(
            addresses.gateways[0],
            Deployment::Celje.model(),
            callers,
            settings.step_duration,
        )?);
    }
    Ok(BenchReport {
        direct: latency(&direct)?,
        through: latency(&through)?,
        added_p50_micros: percentile(0.50),
        added_p99_micros: percentile(0.99),
        rate,
    })
}

/// Sends the same calls alternately to an engine and to the gateway; returns the latencies in
/// microseconds.
fn measure_latency(
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
        direct.push(measure_stream(&client, &request)?);
        let client = HttpClient::new(gateway, TIMEOUT, TIMEOUT);
        through.push(measure_stream(&client, &request)?);
    }
    Ok((direct, through))
}

fn short_request(model: &str, number: u64) -> ChatRequest {
    let message = ChatMessage::new(Role::User, format!("question {number}"));
    let mut request = ChatRequest::streamed(model, &[message]);
    request.max_tokens = Some(4);
    request
}

fn measure_stream(client: &HttpClient, request: &ChatRequest) -> Result<u64> {
    let started = Instant::now();
    let mut events = client.post_event_stream("/v1/chat/completions", request)?;
    let mut is_complete = false;
    while let Some(data) = events.next_data()? {
        events.restart_timeout();
        is_complete |= data == calicohoist_http::STREAM_DONE;
    }
    if is_complete {
        Ok(started.elapsed().as_micros() as u64)
    } else {
        Err(eyre!("event stream ended without [DONE]"))
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

/// Runs `callers` threads that send short calls back to back for `duration`.
fn measure_throughput(
    gateway: SocketAddr,
    model: &str,
    callers: usize,
    duration: Duration,
) -> Result<ThroughputPoint> {
    let stop = AtomicBool::new(false);
    let failed = AtomicU64::new(0);
    let number = AtomicU64::new(1_000_000);
    let started = Instant::now();
    let per_thread: Vec<Vec<u64>> = std::thread::scope(|scope| {
        let send_calls = || {
            let client = HttpClient::new(gateway, TIMEOUT, TIMEOUT);
            let mut latencies = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let mut request = short_request(model, number.fetch_add(1, Ordering::Relaxed));
                request.stream = false;
                let started = Instant::now();
                match client.post::<_, Value>("/v1/chat/completions", &request) {
                    Ok(_) => latencies.push(started.elapsed().as_micros() as u64),
                    Err(_) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            latencies
        };
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(send_calls)).collect();
        std::thread::sleep(duration);
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect()
    });
    let all: Vec<u64> = per_thread.into_iter().flatten().collect();
    Ok(ThroughputPoint {
        callers,
        calls_per_second: all.len() as f64 / started.elapsed().as_secs_f64(),
        failed: failed.load(Ordering::Relaxed),
        latency: latency(&all)?,
    })
}
