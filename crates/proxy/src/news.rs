//! Configuration, replicas and loads, as the ledger tells them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_discovery::ListedReplica;
use calicohoist_ledger::client::RequestError;
use calicohoist_ledger::compression::CompressedBytes;
use calicohoist_ledger::protocol::{ListDigest, TermVersion, WatchRequest, WatchUpdate};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_routing::{
    ColdTracker, DrainedZones, HomeFindings, Replica, ReplicaList, RouteTable, check_homes,
};
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_telemetry::{Event, emit};

use crate::app::App;

static DRAINED_ZONES: Gauge =
    Gauge::new("calicohoist_proxy_drained_zones", "Zones that are drained, as known here");
static RUNNING_IN_DRAINED: Gauge = Gauge::new(
    "calicohoist_proxy_running_in_drained",
    "Requests of this gateway that still run in drained zones",
);

/// Longest time that one watch is asked for: twice what the largest configuration, 16 MB that do
/// not compress, takes over a link of 30 Mbit/s. A leader that is silent is left long before; an
/// answer that comes later is lost, and would have to come again over the same link.
const WATCH_PATIENCE: Duration = Duration::from_secs(10);
/// Age of the newest reading from which a gateway reads for itself.
const LIST_AGE: Duration = Duration::from_millis(2_000);
/// Time between two readings of its own.
const OWN_READING_INTERVAL: Duration = Duration::from_millis(1_200);
/// Pause after a configuration that cannot be read here: it would come again at once.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Problems with homes that are logged one by one; the others are counted. Each of tens of
/// thousands of tenants may have one with each route.
const MOST_HOME_LINES: usize = 20;
/// How often the age is looked at.
const AGE_CHECK: Duration = Duration::from_millis(400);

/// Follows the ledger, and discovery where the ledger says nothing.
pub async fn follow(app: Arc<App>) {
    let follower = Follower { app, state: parking_lot::Mutex::default() };
    tokio::join!(follower.watch_ledger(), follower.watch_list());
}

#[derive(Clone, Copy, Default)]
struct FollowerState {
    list: ListDigest,
    failing: TermVersion,
    cold: TermVersion,
}

struct Follower {
    app: Arc<App>,
    state: parking_lot::Mutex<FollowerState>,
}

impl Follower {
    async fn watch_ledger(&self) {
        loop {
            let FollowerState { list, failing, cold } = *self.state.lock();
            let seen = WatchRequest {
                gateway: self.app.settings.name.clone(),
                configuration: self.app.table().map_or(0, |table| table.version()),
                list,
                failing,
                cold,
                loads: self.app.fleet.own_loads(),
                drained: self.app.fleet.drained_version(),
            };
            RUNNING_IN_DRAINED.set(u64::from(self.app.fleet.running_in_drained()));
            let deadline = Instant::now() + WATCH_PATIENCE;
            let answer = self.app.ledger.request(&LedgerRequest::Watch(seen), deadline).await;
            if answer.is_ok() {
                self.app.note_followed(Instant::now());
            }
            match answer {
                Ok(LedgerResponse::Configuration { version, document }) => {
                    if !self.apply(version, &document) {
                        tokio::time::sleep(REFUSED_PAUSE).await;
                    }
                }
                Ok(LedgerResponse::List { mark, list }) => self.take_list(mark, list),
                Ok(LedgerResponse::DrainedZones(drained)) => self.take_drained(drained),
                Ok(LedgerResponse::News(news)) => self.take(news),
                Ok(_) | Err(RequestError::DeadlineExceeded) => {}
            }
        }
    }

    fn take(&self, news: WatchUpdate) {
        self.app.ledger.update_members(news.machines);
        if news.loads_of == self.state.lock().list {
            self.app.fleet.note_other_loads(&news.loads, Instant::now());
        }
        if let Some((mark, failing)) = news.failing {
            self.state.lock().failing = mark;
            self.app.fleet.note_failing(&failing);
        }
        if let Some((mark, cold)) = news.cold {
            self.state.lock().cold = mark;
            self.app.fleet.note_cold(&cold, Instant::now());
        }
        if let Some(age) = news.list_age_ms {
            let read = Instant::now().checked_sub(Duration::from_millis(age));
            self.app.fleet.note_list_read(read);
        }
    }

    fn take_drained(&self, drained: DrainedZones) {
        let (version, zones) = (drained.version, drained.to_string());
        DRAINED_ZONES.set(drained.zones.len() as u64);
        self.app.fleet.set_drained(drained);
        let running = self.app.fleet.running_in_drained();
        emit!(Event::DrainApplied; version = version, zones = zones, running = running);
    }

    fn take_list(&self, mark: ListDigest, list: ReplicaList) {
        emit!(
            Event::ListApplied;
            source = "leader",
            list = mark,
            replicas = list.replicas.len(),
        );
        self.app.fleet.note_first_sight(&list.replicas, Instant::now());
        self.put_list(list.replicas);
        self.state.lock().list = mark;
    }

    /// Puts a configuration in force; `false` when it is none.
    fn apply(&self, version: u64, document: &CompressedBytes) -> bool {
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
                let findings = check_homes(&configuration, topology, MOST_HOME_LINES);
                if self.app.put_table(RouteTable::new(configuration, &self.app.key_secret)) {
                    emit!(Event::ConfigurationApplied; version = version, bytes = document.len());
                    log_homes(version, &findings);
                }
                true
            }
            Err(findings) => {
                emit!(Event::ChangeRefused, "version={version}: {findings}");
                false
            }
        }
    }

    fn put_list(&self, replicas: Vec<Replica>) {
        self.app.fleet.update(replicas);
        self.app.pool.retain(&self.app.fleet.ids());
        self.app.note_list();
    }

    /// Takes in what this gateway's own reading tells of cold replicas.
    fn note_listed_cold(&self, watch: &mut ColdTracker, listed: &[ListedReplica], began: Instant) {
        let times = listed.iter().map(|listed| (listed.replica.id.as_str(), listed.cold_left));
        watch.update(times, began);
        self.app.fleet.note_cold(&watch.cold().remaining_ms(began), began);
    }

    /// Reads the list here when no leader has told of a reading lately.
    async fn watch_list(&self) {
        let mut watch = ColdTracker::default();
        tokio::time::sleep(LIST_AGE).await;
        loop {
            if self.app.fleet.list_age() < LIST_AGE {
                tokio::time::sleep(AGE_CHECK).await;
                continue;
            }
            let began = Instant::now();
            match self.app.settings.list.read().await {
                Ok(replicas) => {
                    emit!(Event::ListApplied; source = "own reading", replicas = replicas.len());
                    self.note_listed_cold(&mut watch, &replicas, began);
                    self.put_list(replicas.into_iter().map(|listed| listed.replica).collect());
                    let mut state = self.state.lock();
                    // The leader's list is to be told anew, whatever its version.
                    state.list = ListDigest::default();
                }
                Err(error) => emit!(Event::PlatformUnreachable, "list of replicas: {error}"),
            }
            tokio::time::sleep(OWN_READING_INTERVAL.saturating_sub(began.elapsed())).await;
        }
    }
}

/// Logs what is questionable about homes, the first problems one by one.
fn log_homes(version: u64, findings: &HomeFindings) {
    let HomeFindings { problems, more, .. } = findings;
    for problem in problems {
        emit!(Event::HomeQuestionable; version = version, problem = problem);
    }
    if *more > 0 {
        emit!(Event::HomeQuestionable; version = version, problem = format!("{more} more"));
    }
}
