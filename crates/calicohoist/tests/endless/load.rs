//! Callers beside each other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use crate::cluster::GATEWAY_IPS;
use crate::support::{EndlessKind, exchange, request_head};
use crate::{Deployment, ProcessCost, TURN};

const HARMLESS_CALLERS: usize = 8;
const HARMLESS_PAUSE: Duration = Duration::from_millis(20);
/// Pause of a caller after an endless response, which it asks for again.
const ENDLESS_PAUSE: Duration = Duration::from_millis(100);
/// Time in which the harmless callers are alone, and in which the others are beside them.
const ALONE_DURATION: Duration = Duration::from_secs(1);
const DURATION: Duration = Duration::from_secs(3);
/// Path of responses that are complete before bytes without end.
const COMPLETE_PATH: &str = "/unsafe/complete/endless";
/// Time in which a caller that has decided to send a request does so.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Counts of one run.
#[derive(Default)]
struct LoadCounts {
    number: AtomicUsize,
    served: AtomicUsize,
    ended: AtomicUsize,
    is_over: AtomicBool,
}

impl LoadCounts {
    fn requests(&self) -> u32 {
        let requests = self.served.load(Ordering::Relaxed) + self.ended.load(Ordering::Relaxed);
        u32::try_from(requests).expect("a short run")
    }

    fn next_id(&self) -> String {
        format!("call-{}", self.number.fetch_add(1, Ordering::Relaxed))
    }
}

/// Runs harmless callers alone, then beside `endless_callers` that ask for endless responses, and
/// stops the gateway while some of these are being read. Asserts that each harmless request is served, that
/// each other one is answered, and that no process uses more than its share. Returns what still runs.
pub fn run(
    deployment: Deployment,
    endless_callers: usize,
    endless_path: &'static str,
) -> Deployment {
    run_beside(deployment, endless_callers, endless_path, || {})
}

/// Like [`run`]; calls `begin` when the harmless callers have been alone.
pub fn run_beside(
    deployment: Deployment,
    endless_callers: usize,
    endless_path: &'static str,
    begin: impl FnOnce() + Send,
) -> Deployment {
    let gateway = deployment.cluster.http(GATEWAY_IPS[0]);
    let counts = LoadCounts::default();
    let counts = &counts;
    let (deployment, alone, beside, requests) = thread::scope(move |scope| {
        for _ in 0..HARMLESS_CALLERS {
            call_harmlessly(scope, gateway, counts);
        }
        let alone = measure(&deployment, counts, ALONE_DURATION);
        begin();
        for _ in 0..endless_callers {
            call_endlessly(scope, gateway, endless_path, counts);
        }
        let beside = measure(&deployment, counts, DURATION);
        counts.is_over.store(true, Ordering::Relaxed);
        // Callers send nothing more after this.
        thread::sleep(SETTLE_TIME);
        let deployment = deployment.stop_gateway();
        (deployment, alone.0, beside.0, [alone.1, beside.1])
    });
    let [served, ended] =
        [&counts.served, &counts.ended].map(|count| count.load(Ordering::Relaxed));
    println!("{served} served, {ended} endless responses ended, {requests:?} requests");
    for (alone, beside) in alone.iter().zip(&beside) {
        beside.check(alone, f64::from(requests[1]) / f64::from(requests[0].max(1)));
    }
    assert!(served > 0 && (ended > 0 || endless_callers == 0), "nothing ran");
    deployment
}

/// Waits for `duration`; returns what the processes have cost meanwhile, and the number of requests
/// that have ended.
fn measure(
    deployment: &Deployment,
    counts: &LoadCounts,
    duration: Duration,
) -> (Vec<ProcessCost>, u32) {
    let used = deployment.processor_times();
    let (started_at, requests) = (Instant::now(), counts.requests());
    thread::sleep(duration);
    let costs = deployment.costs_since(&used, started_at.elapsed());
    (costs, counts.requests() - requests)
}

fn call_harmlessly<'scope>(
    scope: &'scope Scope<'scope, '_>,
    gateway: SocketAddr,
    counts: &'scope LoadCounts,
) {
    scope.spawn(move || {
        while !counts.is_over.load(Ordering::Relaxed) {
            let id = counts.next_id();
            let head = request_head("GET", "/unsafe/a", &id, 0, &["Connection: close"]);
            let response = exchange(gateway, head.as_bytes());
            let got = (response.status, response.is_complete);
            assert!(got == (200, true), "{id}: {response:?}");
            counts.served.fetch_add(1, Ordering::Relaxed);
            thread::sleep(HARMLESS_PAUSE);
        }
    });
}

fn call_endlessly<'scope>(
    scope: &'scope Scope<'scope, '_>,
    gateway: SocketAddr,
    path: &'static str,
    counts: &'scope LoadCounts,
) {
    scope.spawn(move || {
        while !counts.is_over.load(Ordering::Relaxed) {
            let id = counts.next_id();
            let head = request_head("GET", path, &id, 0, &["Connection: close"]);
            let response = exchange(gateway, head.as_bytes());
            // A stream may have begun, and is then cut.
            let is_answered = matches!(response.status, 200 | 502..=504);
            assert!(is_answered, "{id}: {}", response.status);
            let may_be_complete = path == COMPLETE_PATH;
            let is_cut = response.status != 200 || !response.is_complete;
            assert!(may_be_complete || is_cut, "{id} is complete");
            counts.ended.fetch_add(1, Ordering::Relaxed);
            thread::sleep(ENDLESS_PAUSE);
        }
    });
}

/// Runs callers beside endless responses of calls.
pub fn run_calls(kinds: &'static [EndlessKind], endless_callers: usize) {
    let _turn = TURN.lock();
    let deployment = Deployment::start(kinds, crate::Cluster::new());
    let path = match kinds[0] {
        EndlessKind::AfterResponse => COMPLETE_PATH,
        kind if kind.is_stream() => "/stream/endless",
        _ => "/unsafe/endless",
    };
    run(deployment, endless_callers, path);
}
