//! Operators that change the configuration side by side, and probes of the one in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::attempts::{Submission, exchange_recorded};
use crate::client::World;
use crate::documents::{PASSING_KEY, PASSING_ROUTE, Variation, document, invalid_document};
use crate::fleet::Node;
use crate::support::request_head;
use crate::timeline::SentConfiguration;
use crate::unanswered::APPLY_TIME;

/// Version of the configuration with which a run begins.
pub const FIRST_VERSION: u64 = 5;
/// How much longer than the apply time a configuration may take while ledger machines stop.
const MAX_SKEW: Duration = Duration::from_secs(5);
/// How long an order is sent again.
const ORDER_PATIENCE: Duration = Duration::from_secs(15);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PROBE_PAUSE: Duration = Duration::from_millis(50);
const PROBE_TIME_LIMIT: Duration = Duration::from_secs(2);
const INVALID_PROBABILITY: f64 = 0.1;
const MAX_STORM: u64 = 5;
const STORM_PROBABILITY: f64 = 0.2;
/// Most routes that configurations grow to, and by how many at once.
const MAX_EXTRA_ROUTES: usize = 240;
const GROWTH: usize = 8;

/// A version that was sent.
struct Version {
    document: Value,
    has_passing_route: bool,
    sent_at: Instant,
    acknowledged_at: Option<Instant>,
}

/// Versions of a run.
pub struct Versions {
    sent: Mutex<BTreeMap<u64, Version>>,
    next: AtomicU64,
    growth: AtomicU64,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    slowest: Mutex<Duration>,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            sent: Mutex::default(),
            next: AtomicU64::new(FIRST_VERSION),
            growth: AtomicU64::new(0),
            counts: Mutex::default(),
            slowest: Mutex::default(),
        }
    }
}

impl Versions {
    /// Returns a number above all earlier ones, in uneven steps.
    fn next_number(&self, rng: &mut StdRng) -> u64 {
        let step = rng.random_range(1..4);
        self.next.fetch_add(step, Ordering::SeqCst) + step
    }

    fn count(&self, what: &'static str) {
        *self.counts.lock().entry(what).or_default() += 1;
    }

    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().clone()
    }

    /// Returns the longest time until a version was acknowledged.
    pub fn slowest(&self) -> Duration {
        *self.slowest.lock()
    }

    fn newest_acknowledged(&self, before: Instant) -> Option<u64> {
        let sent = self.sent.lock();
        let is_old = |version: &Version| version.acknowledged_at.is_some_and(|at| at <= before);
        sent.iter().rev().find(|(_, version)| is_old(version)).map(|(number, _)| *number)
    }

    /// Returns whether the passing route may be there, or may not, for a request that was sent when
    /// all versions acknowledged before `settled` were in force, and ended at `ended`.
    fn allowed_presence(&self, settled: Instant, ended: Instant) -> [bool; 2] {
        let newest = self.newest_acknowledged(settled).unwrap_or_default();
        let sent = self.sent.lock();
        let mut allowed = [false; 2];
        for version in sent.range(newest..).map(|(_, version)| version) {
            if version.sent_at <= ended {
                allowed[usize::from(version.has_passing_route)] = true;
            }
        }
        allowed
    }
}

fn pick_control(world: &World, rng: &mut StdRng) -> Arc<Node> {
    let ledger = world.fleet.ledger();
    Arc::clone(&ledger[rng.random_range(0..ledger.len())])
}

/// Sends a version to any control nodes until one acknowledges it; returns whether one did.
pub fn put_version(
    world: &World,
    versions: &Versions,
    rng: &mut StdRng,
    number: u64,
    variation: Variation,
) -> bool {
    let document = document(world.shape(), number, variation);
    let body = document.to_string();
    let sent_at = Instant::now();
    let has_passing_route = variation.has_passing_route;
    let version = Version { document, has_passing_route, sent_at, acknowledged_at: None };
    versions.sent.lock().insert(number, version);
    let id = format!("config-{number}");
    while sent_at.elapsed() < ORDER_PATIENCE {
        let control = pick_control(world, rng);
        let tried_at = Instant::now();
        let (status, _) = world.fleet.operate(&control, &id, "PUT", "/-/config", &body);
        let acknowledged = (status == 200).then(Instant::now);
        let configuration = SentConfiguration { sent: tried_at, acknowledged };
        world.fleet.timeline.lock().configurations.push(configuration);
        if let Some(at) = acknowledged {
            if let Some(version) = versions.sent.lock().get_mut(&number) {
                version.acknowledged_at = Some(at);
            }
            let mut slowest = versions.slowest.lock();
            *slowest = slowest.max(at - sent_at);
            return true;
        }
        if (400..500).contains(&status) && !matches!(status, 408 | 429) {
            world.records.violate(format!("CONFIG: version {number} was refused with {status}"));
            return false;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    versions.count("given up");
    false
}

/// Changes the configuration until the run is over.
pub fn operate(world: &World, versions: &Versions, mut rng: StdRng) {
    let pause = Duration::from_millis(world.shape().planned.configuration_pause_ms);
    while world.pause(pause.mul_f64(rng.random_range(0.5..1.5))) {
        let storm = if rng.random_bool(STORM_PROBABILITY) { MAX_STORM } else { 1 };
        for _ in 0..storm {
            let number = versions.next_number(&mut rng);
            let growth = versions.growth.fetch_add(1, Ordering::Relaxed) as usize * GROWTH;
            let variation = Variation {
                has_passing_route: rng.random_bool(0.5),
                extra_routes: growth.min(MAX_EXTRA_ROUTES),
                has_short_timeouts: rng.random_bool(0.5),
                has_small_limits: rng.random_bool(0.5),
            };
            if put_version(world, versions, &mut rng, number, variation) {
                versions.count("acknowledged");
            }
        }
        if rng.random_bool(INVALID_PROBABILITY) {
            put_invalid(world, versions, &mut rng);
        }
        read_back(world, versions, &mut rng);
    }
}

fn put_invalid(world: &World, versions: &Versions, rng: &mut StdRng) {
    let number = versions.next_number(rng);
    let body = invalid_document(world.shape(), number).to_string();
    let control = pick_control(world, rng);
    let (status, _) = world.fleet.operate(&control, "config-bad", "PUT", "/-/config", &body);
    versions.count("invalid");
    if status == 200 {
        world.records.violate(format!("CONFIG: invalid version {number} was acknowledged"));
    }
}

/// Reads the configuration from a control node; `None` without a clear answer.
fn read(world: &World, rng: &mut StdRng) -> Option<Value> {
    let control = pick_control(world, rng);
    let (status, body) = world.fleet.operate(&control, "read", "GET", "/-/config", "");
    (status == 200).then(|| serde_json::from_slice(&body).expect("a configuration"))
}

fn read_back(world: &World, versions: &Versions, rng: &mut StdRng) {
    let before = Instant::now().checked_sub(APPLY_TIME);
    let newest = before.and_then(|before| versions.newest_acknowledged(before));
    let Some(document) = read(world, rng) else { return };
    versions.count("read");
    check_document(world, versions, &document, newest.unwrap_or_default());
}

fn check_document(world: &World, versions: &Versions, document: &Value, newest: u64) {
    let number = document["version"].as_u64().unwrap_or_default();
    if number < newest {
        let records = &world.records;
        records.violate(format!("CONFIG: version {number} was read, {newest} is acknowledged"));
    }
    let sent = versions.sent.lock();
    if sent.get(&number).is_none_or(|version| version.document != *document) {
        world.records.violate(format!("CONFIG: version {number} was read and never sent so"));
    }
}

/// Reads the configuration at the end of the run, and checks it.
pub fn read_last(world: &World, versions: &Versions, rng: &mut StdRng) {
    let started_at = Instant::now();
    let newest = versions.newest_acknowledged(started_at).unwrap_or_default();
    while started_at.elapsed() < ORDER_PATIENCE {
        if let Some(document) = read(world, rng) {
            return check_document(world, versions, &document, newest);
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    world.records.violate("CONFIG: the configuration is not readable at the end".to_owned());
}

/// Sends requests to the route that goes and comes back, at gateways in touch.
pub fn probe(world: &World, versions: &Versions, mut rng: StdRng) {
    for count in 0.. {
        if !world.pause(PROBE_PAUSE) {
            return;
        }
        let gateways = world.entry.gateways();
        let gateway = &gateways[rng.random_range(0..gateways.len())];
        let started = Instant::now();
        let id = format!("probe-{count}");
        let authorization = format!("Authorization: Bearer {PASSING_KEY}");
        let path = format!("/{PASSING_ROUTE}/a");
        let head = request_head("GET", &path, &id, 0, &[&authorization]);
        world.records.send(&id, &format!("GET {path} HTTP/1.1"), "", gateway, false);
        let submission = Submission::new(&id, &head, PROBE_TIME_LIMIT);
        let address = world.fleet.http(gateway);
        let reply = exchange_recorded(address, &submission, &world.fleet.attempts);
        let ended = Instant::now();
        let is_present = match reply.map(|reply| reply.status) {
            Some(200) => true,
            Some(401 | 404) => false,
            _ => continue,
        };
        versions.count(if is_present { "probes served" } else { "probes refused" });
        let is_calm = world.fleet.is_ledger_calm(ended);
        let settle_time = if is_calm { APPLY_TIME } else { APPLY_TIME + MAX_SKEW };
        let settled = started.checked_sub(settle_time).unwrap_or(started);
        let allowed = versions.allowed_presence(settled, ended);
        let is_violation = !allowed[usize::from(is_present)];
        if is_violation && gateway.is_in_touch(ended) {
            let name = &gateway.name;
            let text = format!("CONFIG: {id} at {name}: served {is_present}, calm {is_calm}");
            world.records.violate(text);
        }
    }
}

/// Asserts that the operators and probes of a run met something.
pub fn assert_played(versions: &Versions) {
    let counts = versions.counts();
    for what in ["acknowledged", "read", "probes served", "probes refused"] {
        assert!(counts.contains_key(what), "nothing {what}: {counts:?}");
    }
}
