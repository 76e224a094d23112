//! Watches the ledger for configuration, replicas and loads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_discovery::{ListedReplica, ReadError, Reading};
use calicohoist_ledger::client::{RequestError, VersionedResponse};
use calicohoist_ledger::compression::CompressedBytes;
use calicohoist_ledger::protocol::{
    CrashNotice, FleetUpdate, ListDigest, TermVersion, UnpackError, WatchRequest, WatchUpdate,
};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_quarantine::CRASH_RETENTION;
use calicohoist_routing::{
    ColdTracker, DrainedZones, HomeFindings, ListPatch, Replica, RouteTable, check_homes,
};
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_telemetry::{Event, emit};
use rand::RngExt;

use crate::app::App;
use crate::{flow, ledger_contact};

static DRAINED_ZONES: Gauge =
    Gauge::new("calicohoist_proxy_drained_zones", "Zones that are drained, as known here");
static REQUESTS_IN_DRAINED_ZONES: Gauge = Gauge::new(
    "calicohoist_proxy_running_in_drained",
    "Requests of this gateway that still run in drained zones",
);

static LIST_AGE_MS: Gauge = Gauge::new(
    "calicohoist_proxy_list_age_ms",
    "Time since a leader read the list of replicas that this gateway has",
);

/// Timeout of a watch request: twice the time of the largest configuration, 16 MB that do not
/// compress, over a link of 30 Mbit/s. An unresponsive leader is detected earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum age of the replica list from which the gateway reads it from discovery itself.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_000);
/// Time in which a list that the leader has read reaches the gateway.
const LIST_DELIVERY_TIME: Duration = Duration::from_millis(600);
/// Minimum interval between the gateway's own readings of the list.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(1_200);
/// Maximum factor by which the interval grows while readings are refused by the rate limit.
const MAX_READ_BACKOFF: u32 = 64;
/// Delay after a rejected configuration, which the leader would send again immediately.
const REJECTED_CONFIGURATION_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of home problems that are logged individually.
const MAX_LOGGED_HOME_PROBLEMS: usize = 20;
/// Interval between checks of the list's age.
const LIST_AGE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Watches the ledger, and reads the replica list from discovery while the ledger is unavailable.
pub async fn run(app: Arc<App>) {
    let watcher = LedgerWatcher { app, state: parking_lot::Mutex::default() };
    tokio::join!(watcher.watch_ledger(), watcher.poll_list());
}

#[derive(Clone, Copy, Default)]
struct WatchState {
    list: ListDigest,
    failing: TermVersion,
    cold: TermVersion,
    crashes: TermVersion,
    /// `None` until a leader has reported its status.
    size: Option<FleetSize>,
}

/// What determines how often the gateway may read the list itself.
#[derive(Clone, Copy)]
struct FleetSize {
    /// Number of pages of the list.
    list_pages: usize,
    /// Number of gateways that may read it.
    gateways: usize,
}

impl FleetSize {
    /// Size reported by a leader; 0 stands for an unknown number.
    fn reported(list_pages: u32, gateways: u32) -> Self {
        Self { list_pages: list_pages.max(1) as usize, gateways: gateways.max(1) as usize }
    }
}

struct LedgerWatcher {
    app: Arc<App>,
    state: parking_lot::Mutex<WatchState>,
}

impl LedgerWatcher {
    async fn watch_ledger(&self) {
        loop {
            let WatchState { list, failing, cold, crashes, .. } = *self.state.lock();
            let seen = WatchRequest {
                gateway: self.app.settings.name.clone(),
                configuration: self.app.table().map_or(0, |table| table.version()),
                list,
                failing,
                cold,
                loads: self.app.fleet.own_loads(),
                drained: self.app.fleet.drained_version(),
                crashes: Some(crashes),
            };
            LIST_AGE_MS.set(self.app.fleet.list_age().as_millis().try_into().unwrap_or(u64::MAX));
            REQUESTS_IN_DRAINED_ZONES.set(u64::from(self.app.fleet.requests_in_drained_zones()));
            self.app.crashes.lock().expire(Instant::now());
            let asked_at = Instant::now();
            let deadline = asked_at + WATCH_TIMEOUT;
            let request = LedgerRequest::Watch(seen);
            let answer = self.app.ledger.request_versioned(&request, deadline).await;
            // Crash records come without a confirmation of the leadership.
            if let Ok(VersionedResponse { response, version, sent_at }) = &answer
                && !matches!(response, LedgerResponse::Crashes { .. })
            {
                let given_at = ledger_contact::given_at(*sent_at, Instant::now());
                self.app.record_leader_answer(*version, given_at);
            }
            match answer.map(|answer| answer.response) {
                Ok(LedgerResponse::Configuration { version, document }) => {
                    if !self.apply_configuration(version, &document) {
                        tokio::time::sleep(REJECTED_CONFIGURATION_DELAY).await;
                    }
                }
                Ok(LedgerResponse::List { mark, list }) => self.apply_list(mark, list.replicas),
                Ok(LedgerResponse::PackedList { mark, replicas }) => match replicas.unpack() {
                    Ok(replicas) => self.apply_list(mark, replicas),
                    Err(error) => emit!(Event::ListRejected; list = mark, error = error),
                },
                Ok(LedgerResponse::VersionedList { mark, replicas }) => match replicas.unpack() {
                    Ok(replicas) => self.apply_list(mark, replicas.into_replicas()),
                    Err(error) => emit!(Event::ListRejected; list = mark, error = error),
                },
                Ok(LedgerResponse::ListChanges { since, mark, patch }) => {
                    self.apply_list_changes(since, mark, || patch.unpack());
                }
                Ok(LedgerResponse::VersionedChanges { since, mark, patch }) => {
                    self.apply_list_changes(since, mark, || patch.unpack().map(ListPatch::from));
                }
                Ok(LedgerResponse::Crashes { mark, crashes }) => {
                    self.record_crashes(&crashes);
                    // The next watch acknowledges the crashes.
                    flow::count_exposed(&self.app, &crashes).await;
                    self.state.lock().crashes = mark;
                    let waited_ms = asked_at.elapsed().as_millis();
                    emit!(
                        Event::CrashesReceived;
                        term = mark.term,
                        change = mark.change,
                        crashes = crashes.len(),
                        waited_ms = waited_ms,
                    );
                }
                Ok(LedgerResponse::DrainedZones(drained)) => self.apply_drained_zones(drained),
                Ok(LedgerResponse::News(news)) => self.apply_news(news),
                Ok(LedgerResponse::Update(update)) => self.apply_update(update),
                Ok(_) | Err(RequestError::DeadlineExceeded) => {}
            }
        }
    }

    /// Applies an update from a leader that does not omit idle replicas.
    fn apply_news(&self, news: WatchUpdate) {
        if news.loads_of == self.state.lock().list {
            self.app.fleet.record_other_loads(&news.loads, Instant::now());
        }
        self.apply_update(FleetUpdate {
            list_age_ms: news.list_age_ms,
            machines: news.machines,
            failing: news.failing,
            cold: news.cold,
            gateways: Some(0),
            ..FleetUpdate::default()
        });
    }

    fn apply_update(&self, update: FleetUpdate) {
        self.app.ledger.update_members(update.machines);
        {
            let mut state = self.state.lock();
            if let Some(gateways) = update.gateways {
                state.size = Some(FleetSize::reported(update.list_pages, gateways));
            }
            if update.loads_of == state.list && state.list != ListDigest::default() {
                self.app.fleet.record_busy_replicas(&update.loads, Instant::now());
            }
        }
        if let Some((mark, failing)) = update.failing {
            self.state.lock().failing = mark;
            self.app.fleet.mark_failing(&failing);
        }
        if let Some((mark, cold)) = update.cold {
            self.state.lock().cold = mark;
            self.app.fleet.mark_cold(&cold, Instant::now());
        }
        if let Some(age) = update.list_age_ms {
            let read_at = Instant::now().checked_sub(Duration::from_millis(age));
            self.app.fleet.record_list_read(read_at);
        }
    }

    fn record_crashes(&self, notices: &[CrashNotice]) {
        let now = Instant::now();
        let mut crashes = self.app.crashes.lock();
        for notice in notices {
            let CrashNotice { request, replica, left_ms } = notice;
            if notice.is_cleared() {
                crashes.clear(*request, replica, CRASH_RETENTION, now);
            } else {
                let left = Duration::from_millis(u64::from(*left_ms));
                crashes.record_stored(*request, replica, left, now);
            }
        }
        drop(crashes);
        for notice in notices {
            flow::record_confirmed(&self.app, &notice.request);
        }
    }

    fn apply_drained_zones(&self, drained: DrainedZones) {
        let (version, zones) = (drained.version, drained.to_string());
        DRAINED_ZONES.set(drained.zones.len() as u64);
        self.app.fleet.set_drained(drained);
        let running = self.app.fleet.requests_in_drained_zones();
        emit!(Event::DrainApplied; version = version, zones = zones, running = running);
    }

    fn apply_list(&self, mark: ListDigest, replicas: Vec<Replica>) {
        emit!(
            Event::ListApplied;
            source = "leader",
            list = mark,
            replicas = replicas.len(),
        );
        self.app.fleet.mark_new_as_cold(&replicas, Instant::now());
        self.install_list(replicas);
        self.state.lock().list = mark;
    }

    /// Applies changes to the list. If they are not those of the current list, the leader is asked
    /// for the whole list.
    fn apply_list_changes(
        &self,
        since: ListDigest,
        mark: ListDigest,
        unpack: impl FnOnce() -> Result<ListPatch, UnpackError>,
    ) {
        let mut state = self.state.lock();
        if state.list != since {
            return;
        }
        // Until the changes are applied, and if that fails, no list is held.
        state.list = ListDigest::default();
        let patch = match unpack() {
            Ok(patch) => patch,
            Err(error) => return emit!(Event::ListRejected; list = mark, error = error),
        };
        let now = Instant::now();
        match self.app.fleet.apply_patch(patch, now) {
            Ok(changes) => {
                emit!(
                    Event::ListApplied;
                    source = "leader's changes",
                    list = mark,
                    replicas = changes.listed,
                    inserted = changes.inserted,
                );
                state.list = mark;
                drop(state);
                self.finish_list();
            }
            Err(error) => emit!(Event::ListRejected; list = mark, error = error),
        }
    }

    /// Applies a configuration; returns `false` if it is invalid.
    fn apply_configuration(&self, version: u64, document: &CompressedBytes) -> bool {
        let document = match document.decompress() {
            Ok(document) => document,
            Err(error) => {
                emit!(Event::ChangeRefused, "version={version}: {error}");
                return false;
            }
        };
        match self.app.dialect().parse_configuration(&document) {
            Ok(configuration) => {
                let topology = &self.app.settings.topology;
                let findings = check_homes(&configuration, topology, MAX_LOGGED_HOME_PROBLEMS);
                if self.app.install_table(RouteTable::new(configuration, &self.app.key_secret)) {
                    emit!(Event::ConfigurationApplied; version = version, bytes = document.len());
                    log_home_problems(version, &findings);
                }
                true
            }
            Err(findings) => {
                emit!(Event::ChangeRefused, "version={version}: {findings}");
                false
            }
        }
    }

    fn install_list(&self, replicas: Vec<Replica>) {
        self.app.fleet.update(replicas);
        self.finish_list();
    }

    fn finish_list(&self) {
        self.app.pool.retain(|replica| self.app.fleet.is_listed(replica));
        self.app.mark_list_received();
    }

    /// Marks the cold replicas that the gateway's own reading shows.
    fn mark_listed_cold(
        &self,
        cold_tracker: &mut ColdTracker,
        listed: &[ListedReplica],
        started_at: Instant,
    ) {
        let times = listed.iter().map(|listed| (listed.replica.id.as_str(), listed.cold_left));
        cold_tracker.update(times, started_at);
        self.app.fleet.mark_cold(&cold_tracker.cold().remaining_ms(started_at), started_at);
    }

    /// Returns the size of the fleet if the list is so old that this gateway should read it itself.
    ///
    /// Before a leader has reported the size, a gateway does not know how often it may read, and
    /// cannot serve requests for lack of a configuration.
    fn size_if_outdated(&self) -> Option<FleetSize> {
        let size = self.state.lock().size?;
        let interval = self.app.settings.list_pace.interval(size.list_pages);
        let max_age = MAX_LIST_AGE.max(interval * 2 + LIST_DELIVERY_TIME);
        (self.app.fleet.list_age() >= max_age).then_some(size)
    }

    /// Interval between own readings, such that those of all gateways together stay within their
    /// part of the rate limit.
    fn own_read_interval(&self, size: FleetSize) -> Duration {
        let FleetSize { list_pages, gateways } = size;
        let interval = self.app.settings.list_pace.substitute_interval(list_pages, gateways);
        interval.max(LIST_READ_INTERVAL)
    }

    /// Returns whether the list stays out of date for `duration`.
    async fn stays_outdated(&self, duration: Duration) -> bool {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(LIST_AGE_CHECK_INTERVAL)).await;
            if self.size_if_outdated().is_none() {
                return false;
            }
        }
        true
    }

    /// Reads the replica list from discovery and installs it.
    async fn read_list(
        &self,
        size: FleetSize,
        cold_tracker: &mut ColdTracker,
    ) -> Result<(), ReadError> {
        let started_at = Instant::now();
        let timeout = self.app.settings.list_pace.timeout(size.list_pages);
        let Reading { replicas, pages, .. } = self.app.settings.list.read(timeout).await?;
        emit!(Event::ListApplied; source = "own reading", replicas = replicas.len());
        self.mark_listed_cold(cold_tracker, &replicas, started_at);
        self.install_list(replicas.into_iter().map(|listed| listed.replica).collect());
        let mut state = self.state.lock();
        state.size = Some(FleetSize { list_pages: pages.max(1), ..size });
        // Makes the leader send its list again, whatever its version.
        state.list = ListDigest::default();
        Ok(())
    }

    /// Reads the replica list from discovery while the leader provides no recent one.
    async fn poll_list(&self) {
        let mut cold_tracker = ColdTracker::default();
        let mut backoff = 1;
        tokio::time::sleep(MAX_LIST_AGE).await;
        loop {
            let Some(size) = self.size_if_outdated() else {
                backoff = 1;
                tokio::time::sleep(LIST_AGE_CHECK_INTERVAL).await;
                continue;
            };
            let interval = self.own_read_interval(size);
            // Many gateways notice at the same time that the leader is gone.
            if interval > LIST_READ_INTERVAL {
                let delay = interval.mul_f64(rand::rng().random_range(0.0..1.0));
                if !self.stays_outdated(delay).await {
                    continue;
                }
            }
            let started_at = Instant::now();
            match self.read_list(size, &mut cold_tracker).await {
                Ok(()) => backoff = 1,
                Err(error) => {
                    if error.is_rate_limited() {
                        backoff = (backoff * 2).min(MAX_READ_BACKOFF);
                    }
                    emit!(Event::PlatformUnreachable, "list of replicas: {error}");
                }
            }
            let interval =
                (self.own_read_interval(size) * backoff).saturating_sub(started_at.elapsed());
            let jitter = if backoff > 1 { rand::rng().random_range(0.5..1.0) } else { 1.0 };
            tokio::time::sleep(interval.mul_f64(jitter)).await;
        }
    }
}

/// Logs the problems with homes: the first ones individually, the rest as a count.
fn log_home_problems(version: u64, findings: &HomeFindings) {
    let HomeFindings { problems, more, .. } = findings;
    for problem in problems {
        emit!(Event::HomeQuestionable; version = version, problem = problem);
    }
    if *more > 0 {
        emit!(Event::HomeQuestionable; version = version, problem = format!("{more} more"));
    }
}
