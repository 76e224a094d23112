//! Releases of a service while all gateways are killed, and callers that take its streams up again
//! at once or many seconds later.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::arrivals::{ArrivalLog, Outcome};
use crate::attempts::{AttemptLog, RecordedConnection, Submission};
use crate::faults::Soak;
use crate::support::replica::Exchange;
use crate::support::{
    HOST, ListServer, Response, ScriptedReplica, list_entry, remove_entry, request_head,
};
use crate::{ROUTE_TIMEOUT, Shared};

const SERVICE: &str = "released";
const PATH_PREFIX: &str = "/released/";
/// Zone of the replicas, which is never drained.
const ZONE: &str = "loft";
const REPLICAS_PER_VERSION: usize = 2;
const EVENTS_PER_STREAM: usize = 4;
/// Events after which a caller leaves, and before which a replica that began the stream pauses.
const EVENTS_BEFORE_PAUSE: usize = 2;
/// Separates the random streams of releases and their callers from the others.
const RELEASE_SEED: u64 = 86 << 40;
const CALLERS: usize = 6;
/// Tries of a caller that is asked to come back.
const MAX_TRIES: usize = 3;
/// Pauses between two streams that a caller begins.
const PAUSE_MS: std::ops::Range<u64> = 30..120;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Waits of callers before they take their streams up.
const WAITS_MS: [std::ops::Range<u64>; 3] = [0..400, 1_000..5_000, 5_000..20_000];
/// Wait from which a stream counts among those that are taken up late.
pub const LATE: Duration = Duration::from_secs(5);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time from the start of a run to the first release, and between two of them.
const RELEASE_INTERVAL_MS: std::ops::Range<u64> = 4_000..6_000;
/// Time for which a version serves beside the older one before gateways are killed.
const OVERLAP_MS: std::ops::Range<u64> = 1_500..2_500;
/// Downtime of the killed gateways.
const DOWNTIME_MS: std::ops::Range<u64> = 0..300;
/// Time within which the gateways learn of a change of the list.
pub const LIST_DELAY: Duration = Duration::from_secs(3);
/// Number of streams of a group from which its share is judged.
pub const MIN_JUDGED_STREAMS: usize = 12;

/// Adds the route and the service to a configuration.
pub fn add_released_service(document: &mut Value) {
    let route = json!({
        "name": SERVICE, "host": HOST, "path_prefix": PATH_PREFIX, "kind": "stream",
        "timeout_ms": ROUTE_TIMEOUT.as_millis(), "target_latency_ms": 200, "priority": 1,
        "service": SERVICE, "max_attempts": 1, "retain": false, "retention_s": 60.0,
        "sticky": true, "resumable": true, "target_gap_ms": 200,
    });
    let service = json!({
        "name": SERVICE, "health_path": "/health", "max_conns": 100,
        "engine": { "slots": 4, "kv_capacity": 100_000, "tokens_per_event": 9 },
    });
    for (list, entry) in [("routes", route), ("services", service)] {
        document[list].as_array_mut().expect("a list").push(entry);
    }
}

/// How the older version leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// It is replaced while the gateways are killed.
    Replace,
    /// It leaves while the gateways are killed, after the newer one has served beside it.
    Overlap,
    /// It serves beside the newer one until the next release.
    SideBySide,
}

impl Release {
    const ALL: [Self; 3] = [Self::SideBySide, Self::Overlap, Self::Replace];

    fn name(self) -> &'static str {
        match self {
            Self::Replace => "all gateways killed, version replaced",
            Self::Overlap => "all gateways killed, older version left",
            Self::SideBySide => "all gateways killed beside two versions",
        }
    }
}

/// Interval in which the replicas of a version are listed.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub from: Instant,
    /// `None` while they are listed.
    pub until: Option<Instant>,
}

impl Listing {
    /// Returns whether the replicas served all the time between two moments.
    fn covers(&self, from: Instant, until: Instant) -> bool {
        self.from + LIST_DELAY <= from && self.until.is_none_or(|end| until <= end)
    }
}

/// Listings by version.
pub type Listings = BTreeMap<String, Listing>;

/// The service, its replicas, and when each version was listed.
pub struct ReleasedService {
    list: ListServer,
    arrivals: ArrivalLog,
    rng: StdRng,
    replicas: Vec<ScriptedReplica>,
    pub listings: Listings,
    /// Number of releases so far, and the kind of the first one.
    releases: usize,
    first_kind: usize,
    next_release: Instant,
    /// Moment at which the gateways are killed in the release under way.
    kill_at: Option<Instant>,
}

impl ReleasedService {
    /// Starts the replicas of the first version.
    pub fn start(seed: u64, soak: &Soak) -> Self {
        let ListServer { address, instances } = &soak.cluster.platform_list;
        let mut service = Self {
            list: ListServer { address: *address, instances: Arc::clone(instances) },
            arrivals: soak.arrivals.clone(),
            rng: StdRng::seed_from_u64(seed ^ RELEASE_SEED),
            replicas: Vec::new(),
            listings: BTreeMap::new(),
            releases: 0,
            first_kind: 0,
            next_release: Instant::now(),
            kill_at: None,
        };
        service.list_next_version();
        service.first_kind = service.rng.random_range(0..Release::ALL.len());
        service.next_release = Instant::now() + service.random_millis(RELEASE_INTERVAL_MS);
        service
    }

    /// Begins or ends a release if it is time for that.
    pub fn advance(&mut self, soak: &mut Soak) {
        let now = Instant::now();
        let release = Release::ALL[(self.first_kind + self.releases) % Release::ALL.len()];
        if self.kill_at.is_none() && now >= self.next_release {
            let overlap = match release {
                Release::Replace => Duration::ZERO,
                Release::Overlap | Release::SideBySide => {
                    self.list_next_version();
                    self.random_millis(OVERLAP_MS)
                }
            };
            self.kill_at = Some(now + overlap);
        }
        if self.kill_at.is_some_and(|kill_at| now >= kill_at) {
            self.finish(release, soak);
        }
    }

    fn finish(&mut self, release: Release, soak: &mut Soak) {
        let downtime = self.random_millis(DOWNTIME_MS);
        soak.kill_gateways(downtime);
        *soak.fault_counts.entry(release.name()).or_default() += 1;
        if release == Release::Replace {
            self.list_next_version();
        }
        if release != Release::SideBySide {
            self.unlist_older_versions();
        }
        self.releases += 1;
        self.kill_at = None;
        self.next_release = Instant::now() + self.random_millis(RELEASE_INTERVAL_MS);
    }

    fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn list_next_version(&mut self) {
        let version = format!("r{}", self.listings.len() + 1);
        for number in 1..=REPLICAS_PER_VERSION {
            let name = format!("{version}-{number}");
            let script_version = version.clone();
            let replica = self
                .arrivals
                .start_replica(&name, move |exchange| serve(exchange, &script_version));
            // One step, since no reader may see the entry without its version.
            let mut entry = list_entry(&replica, ZONE, SERVICE, "ready");
            entry["version"] = json!(version);
            self.list.instances.lock().push(entry);
            self.replicas.push(replica);
        }
        self.listings.insert(version, Listing { from: Instant::now(), until: None });
    }

    fn unlist_older_versions(&mut self) {
        let newest = format!("r{}", self.listings.len());
        for (version, listing) in &mut self.listings {
            if *version != newest && listing.until.is_none() {
                listing.until = Some(Instant::now());
                for number in 1..=REPLICAS_PER_VERSION {
                    remove_entry(&self.list.instances, &format!("{version}-{number}"));
                }
            }
        }
    }
}

/// Sends the events of a stream, and pauses until its caller leaves if it begins here.
fn serve(exchange: &mut Exchange<'_>, version: &str) -> Outcome {
    let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
    exchange.start_stream();
    for number in last.unwrap_or(0) + 1..=EVENTS_PER_STREAM {
        if last.is_none() && number > EVENTS_BEFORE_PAUSE {
            exchange.wait_for_close();
            return Outcome::BrokenOff;
        }
        thread::sleep(Duration::from_millis(4));
        exchange.send_event(number as u64, &format!("{version} {number}"));
    }
    exchange.end_stream();
    Outcome::Whole
}

/// A stream as its caller saw it.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Id of the try that brought the first event.
    pub first: String,
    /// Data of the events, each the version and the number.
    pub events: Vec<String>,
    /// Time for which the caller waits before it takes the stream up.
    pub wait: Duration,
    pub due: Instant,
}

impl Stream {
    fn version(&self) -> &str {
        self.events[0].split(' ').next().unwrap_or_default()
    }

    /// Returns whether the events are those of one version, in order.
    fn is_sound(&self) -> bool {
        let numbers = 1..=self.events.len();
        self.events
            .iter()
            .zip(numbers)
            .all(|(event, number)| *event == format!("{} {number}", self.version()))
    }
}

/// A stream that its caller took up.
#[derive(Clone, Debug)]
pub struct TakenUp {
    pub stream: Stream,
    pub from: Instant,
    pub until: Instant,
    pub goes_on: bool,
    /// Status of the last answer, and its text if it is not a success.
    pub reply: (u16, String),
}

/// What callers of the service have seen. Requests without any answer are left out.
#[derive(Clone, Debug, Default)]
pub struct ReleaseRecords {
    /// Streams that callers asked for, and those that began.
    pub requested: usize,
    pub begun: usize,
    pub taken_up: Vec<TakenUp>,
}

/// Starts the callers.
pub fn start_release_callers(
    seed: u64,
    soak: &Soak,
    records: &Shared,
    stop_flag: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let callers = (0..CALLERS).map(|number| ReleaseCaller {
        number,
        count: 0,
        gateways: soak.gateways(),
        rng: StdRng::seed_from_u64((seed << 8 | number as u64) ^ RELEASE_SEED),
        attempts: records.lock().attempts.clone(),
        records: Arc::clone(records),
        stop_flag: Arc::clone(stop_flag),
        begun: Vec::new(),
    });
    callers.map(|caller| thread::spawn(|| caller.run())).collect()
}

struct ReleaseCaller {
    number: usize,
    /// Number of requests so far.
    count: usize,
    gateways: Vec<SocketAddr>,
    rng: StdRng,
    attempts: AttemptLog,
    records: Shared,
    stop_flag: Arc<AtomicBool>,
    /// Streams to take up.
    begun: Vec<Stream>,
}

impl ReleaseCaller {
    fn run(mut self) {
        let mut next_begin = Instant::now();
        while !self.stop_flag.load(Ordering::Relaxed) {
            let now = Instant::now();
            while let Some(stream) = self.begun.pop_if(|stream| stream.due <= now) {
                self.take_up(stream);
            }
            if Instant::now() >= next_begin {
                self.begin();
                let pause = self.rng.random_range(PAUSE_MS);
                next_begin = Instant::now() + Duration::from_millis(pause);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Requests a new stream.
    fn begin(&mut self) {
        let mut has_answer = false;
        for _ in 0..MAX_TRIES {
            let (first, reply) = self.request(&[], EVENTS_BEFORE_PAUSE);
            has_answer |= reply.status != 0;
            let events = events_of(&reply);
            if !events.is_empty() {
                let range = WAITS_MS[self.rng.random_range(0..WAITS_MS.len())].clone();
                let wait = Duration::from_millis(self.rng.random_range(range));
                self.begun.push(Stream { first, events, wait, due: Instant::now() + wait });
                // The next one to be taken up is the last.
                self.begun.sort_by_key(|stream| std::cmp::Reverse(stream.due));
                let mut records = self.records.lock();
                records.releases.requested += 1;
                records.releases.begun += 1;
                return;
            }
            if !self.is_asked_to_come_back(&reply) {
                break;
            }
        }
        self.records.lock().releases.requested += usize::from(has_answer);
    }

    /// Takes a stream up.
    fn take_up(&mut self, mut stream: Stream) {
        let from = Instant::now();
        let received = stream.events.len();
        let mut last_reply = None;
        for _ in 0..MAX_TRIES {
            let (last, resumes) = (
                format!("Last-Event-Id: {}", stream.events.len()),
                format!("Resumes: {}", stream.first),
            );
            let (_, reply) = self.request(&[&last, &resumes], EVENTS_PER_STREAM);
            stream.events.extend(events_of(&reply));
            let comes_back = self.is_asked_to_come_back(&reply);
            if reply.status != 0 {
                let reason = if reply.status == 200 { String::new() } else { reply.text() };
                last_reply = Some((reply.status, reason));
            }
            if !comes_back {
                break;
            }
        }
        let Some(reply) = last_reply else {
            return;
        };
        let goes_on = stream.events.len() > received;
        let taken_up = TakenUp { stream, from, until: Instant::now(), goes_on, reply };
        self.records.lock().releases.taken_up.push(taken_up);
    }

    /// Sends a request to any gateway, and leaves after `events`; returns its id and the answer,
    /// empty without one.
    fn request(&mut self, headers: &[&str], events: usize) -> (String, Response) {
        self.count += 1;
        let id = format!("{SERVICE}-{}-{}", self.number, self.count);
        let head = request_head("POST", &format!("{PATH_PREFIX}a"), &id, 2, headers);
        let submission = Submission::new(&id, &format!("{head}hi"), ROUTE_TIMEOUT);
        let gateway = self.gateways[self.rng.random_range(0..self.gateways.len())];
        let reply = self.exchange(gateway, submission, events);
        (id, reply.unwrap_or_default())
    }

    fn exchange(
        &self,
        gateway: SocketAddr,
        submission: Submission,
        events: usize,
    ) -> Option<Response> {
        let mut connection = RecordedConnection::open(gateway, &submission, &self.attempts)?;
        let request = connection.send(&[submission]).pop()?;
        Some(connection.receive_events(request, events))
    }

    /// Waits as long as a refusal asks for; returns whether the caller shall try again.
    fn is_asked_to_come_back(&self, reply: &Response) -> bool {
        let is_refused = matches!(reply.status, 0 | 503);
        if is_refused && !self.stop_flag.load(Ordering::Relaxed) {
            let seconds = reply.header("retry-after").and_then(|value| value.parse().ok());
            thread::sleep(seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs_f64));
        }
        is_refused
    }
}

/// Returns the data of the events.
fn events_of(reply: &Response) -> Vec<String> {
    let text = reply.text();
    text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
}

/// Streams of which a part went on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Share {
    count: usize,
    of: usize,
}

impl Share {
    /// Returns whether this share is under half of another one. Few streams have no share.
    fn is_under_half_of(self, other: Self) -> bool {
        let has_shares = self.of >= MIN_JUDGED_STREAMS && other.of > 0;
        has_shares && 2 * self.count * other.of < other.count * self.of
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.count, self.of)
    }
}

/// What became of the streams of a run.
#[derive(Debug)]
pub struct ReleaseFindings {
    begun: Share,
    /// Of the streams whose version served all the time, those that went on.
    prompt: Share,
    late: Share,
    /// Streams that were taken up without replicas of their version.
    unserved: usize,
    unsound: Vec<String>,
    /// Replies to those of which none went on though their version served.
    failed: BTreeMap<(u16, String), usize>,
}

impl fmt::Display for ReleaseFindings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { begun, prompt, late, unserved, unsound, failed } = self;
        write!(
            formatter,
            "{begun} streams begun; of those taken up while their version served, {prompt} within \
             {LATE:?} and {late} later went on; {unserved} others taken up; {} joined or out of \
             order; not continued: {failed:?}",
            unsound.len(),
        )
    }
}

impl ReleaseFindings {
    pub fn violations(&self) -> Vec<String> {
        let Self { begun, prompt, late, unsound, .. } = self;
        let mut violations: Vec<String> = unsound.clone();
        for (group, share) in [("soon", prompt), ("late", late)] {
            if share.is_under_half_of(*begun) {
                violations.push(format!(
                    "{share} streams taken up {group} went on while their version served, \
                     {begun} began"
                ));
            }
        }
        violations
    }
}

/// Judges the streams of a run.
pub fn judge_releases(records: &ReleaseRecords, listings: &Listings) -> ReleaseFindings {
    let ReleaseRecords { requested, begun, taken_up } = records;
    let is_served = |taken_up: &&TakenUp| {
        let listing = listings.get(taken_up.stream.version());
        listing.is_some_and(|listing| listing.covers(taken_up.from, taken_up.until))
    };
    let served: Vec<&TakenUp> = taken_up.iter().filter(is_served).collect();
    let share = |is_late: bool| {
        let is_of_group = |taken_up: &&&TakenUp| (taken_up.stream.wait >= LATE) == is_late;
        let group = served.iter().filter(is_of_group);
        let continued = group.clone().filter(|taken_up| taken_up.goes_on);
        Share { count: continued.count(), of: group.count() }
    };
    let mut failed = BTreeMap::new();
    for taken_up in served.iter().filter(|taken_up| !taken_up.goes_on) {
        *failed.entry(taken_up.reply.clone()).or_default() += 1;
    }
    let unsound = taken_up.iter().filter(|taken_up| !taken_up.stream.is_sound());
    ReleaseFindings {
        begun: Share { count: *begun, of: *requested },
        prompt: share(false),
        late: share(true),
        unserved: taken_up.len() - served.len(),
        unsound: unsound
            .map(|TakenUp { stream, .. }| {
                format!(
                    "{} was taken up after {:?} and has the events {:?}",
                    stream.first, stream.wait, stream.events
                )
            })
            .collect(),
        failed,
    }
}
