//! Reads the list of replicas from discovery on the leader, on behalf of all gateways.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use calicohoist_discovery::{ListedReplica, Reading};
use calicohoist_routing::{
    ColdChange, ColdReplicas, ColdTracker, DrainedZones, EntryStatus, IncarnationTracker, Replica,
    ReplicaList, Topology,
};
use calicohoist_scheduler::FleetView;
use calicohoist_telemetry::metrics::{Counter, Gauge};
use calicohoist_telemetry::{Event, emit};
use tokio::sync::watch;

use super::LedgerSettings;
use super::duties::{self, Duty};
use super::replica::GroupStatus;
use crate::protocol::{ListDigest, TermVersion, WatchRequest};

static COLD_REPLICAS: Gauge = Gauge::new(
    "calicohoist_ledger_cold_replicas",
    "Replicas that are cold, as the leader knows them",
);

static RESTARTS: Counter = Counter::new(
    "calicohoist_ledger_replica_starts_total",
    "Replicas that started again under their identity, and entries of earlier or unclear starts",
    "outcome",
);

/// Number of earlier lists from which changes are computed.
const KEPT_LISTS: usize = 4;
/// Maximum number of replica names in a log line.
const MAX_LOGGED_NAMES: usize = 8;

/// The replicas found by the most recent read of this machine.
#[derive(Clone, Debug, Default)]
pub struct DiscoverySnapshot {
    /// Digest of the list.
    pub mark: ListDigest,
    /// Term in which this machine led when it read the list.
    pub term: u64,
    /// The list of replicas.
    pub list: Arc<ReplicaList>,
    /// The lists before it, oldest first; at most [`KEPT_LISTS`].
    pub earlier: Arc<VecDeque<(ListDigest, Arc<ReplicaList>)>>,
    /// Number of pages of the last read.
    pub pages: usize,
    /// Time of the last successful read, whether or not the list changed.
    pub read_at: Option<Instant>,
    /// Recently started replicas that are still warming up. They are not part of `mark`.
    pub cold: Arc<ColdReplicas>,
    /// Changes when a replica becomes cold. It does not change when one becomes warm, because
    /// gateways know how long each replica stays cold.
    pub cold_mark: TermVersion,
}

impl DiscoverySnapshot {
    /// Returns whether to send the list to a gateway in `term`. The cold replicas are sent first;
    /// without them the gateway would treat all listed replicas as warm.
    pub fn should_send_list(&self, term: u64, seen: &WatchRequest) -> bool {
        let is_new = self.mark != seen.list && self.mark != ListDigest::default();
        let knows_cold = self.cold_mark.term != term || self.cold_mark == seen.cold;
        self.term == term && is_new && knows_cold
    }

    /// Returns an earlier list with this digest, if it is kept.
    pub fn earlier_list(&self, mark: ListDigest) -> Option<&ReplicaList> {
        let found = self.earlier.iter().find(|(earlier, _)| *earlier == mark);
        found.map(|(_, list)| list.as_ref())
    }

    /// Replaces the list and keeps the current one as an earlier list.
    fn replace_list(&mut self, mark: ListDigest, replicas: Vec<Replica>) {
        let version = self.list.version + 1;
        if self.mark != ListDigest::default() {
            let mut earlier = VecDeque::clone(&self.earlier);
            earlier.push_back((self.mark, Arc::clone(&self.list)));
            if earlier.len() > KEPT_LISTS {
                earlier.pop_front();
            }
            self.earlier = Arc::new(earlier);
        }
        self.mark = mark;
        self.list = Arc::new(ReplicaList { version, replicas });
    }

    /// Returns the cold replicas with the remaining time in ms, unless the gateway has `seen`
    /// them.
    pub fn cold_update(
        &self,
        seen: TermVersion,
        now: Instant,
    ) -> Option<(TermVersion, Vec<(String, u32)>)> {
        if self.cold_mark == seen {
            return None;
        }
        Some((self.cold_mark, self.cold.remaining_ms(now)))
    }
}

/// The state of the fleet that placement decisions are based on.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Replicas found by discovery.
    pub discovery: DiscoverySnapshot,
    /// Drained zones.
    pub drained: Arc<DrainedZones>,
    /// Regions of the zones.
    pub topology: Arc<Topology>,
}

impl FleetSnapshot {
    /// Returns a view for the scheduler.
    pub fn view(&self) -> FleetView<'_> {
        FleetView {
            replicas: &self.discovery.list.replicas,
            topology: &self.topology,
            drained: &self.drained,
            cold: &self.discovery.cold,
        }
    }
}

/// Starts a task that reads the list while this machine leads.
pub fn spawn(
    settings: &LedgerSettings,
    status: watch::Receiver<GroupStatus>,
) -> watch::Receiver<DiscoverySnapshot> {
    let (out, snapshots) = watch::channel(DiscoverySnapshot::default());
    let settings = settings.clone();
    tokio::spawn(async move { run(settings, status, out).await });
    snapshots
}

async fn run(
    settings: LedgerSettings,
    mut status: watch::Receiver<GroupStatus>,
    out: watch::Sender<DiscoverySnapshot>,
) {
    let Some(reader) = settings.list else {
        return;
    };
    let (mut watched_term, mut watch) = (0, ColdTracker::default());
    let mut starts = IncarnationTracker::default();
    loop {
        if status.wait_for(|status| status.is_leader).await.is_err() {
            return;
        }
        let term = status.borrow().term;
        if watched_term != term {
            // A list read in an earlier term does not show which replicas are new now.
            (watched_term, watch) = (term, ColdTracker::default());
        }
        let read_started = Instant::now();
        let pages = out.borrow().pages;
        match reader.read(settings.list_pace.timeout(pages)).await {
            Ok(Reading { replicas, pages, duration }) => {
                emit!(
                    Event::ListRead;
                    replicas = replicas.len(),
                    pages = pages,
                    after_ms = duration.as_millis(),
                );
                duties::timed(Duty::PublishList, || {
                    let listed = newest_starts(&mut starts, replicas);
                    publish(&out, &mut watch, term, listed, pages, read_started);
                });
            }
            Err(error) => {
                emit!(Event::PlatformUnreachable, "cannot read the list of replicas: {error}")
            }
        }
        let interval = settings.list_pace.interval(out.borrow().pages);
        tokio::time::sleep(interval.saturating_sub(read_started.elapsed())).await;
    }
}

/// Keeps the entry for the newest start of each replica.
fn newest_starts(
    starts: &mut IncarnationTracker,
    listed: Vec<ListedReplica>,
) -> Vec<ListedReplica> {
    let review = starts.update(listed.iter().map(|listed| &listed.replica));
    let left_out = review.ignored();
    RESTARTS.add("restarted", review.restarted as u64);
    RESTARTS.add("left_out", left_out as u64);
    if review.restarted > 0 {
        emit!(Event::ReplicasRestarted; replicas = review.restarted, left_out = left_out);
    }
    let is_newest = review.entries.iter().map(|entry| *entry == EntryStatus::Newest);
    listed
        .into_iter()
        .zip(is_newest)
        .filter_map(|(listed, is_newest)| is_newest.then_some(listed))
        .collect()
}

fn publish(
    out: &watch::Sender<DiscoverySnapshot>,
    watch: &mut ColdTracker,
    term: u64,
    listed: Vec<ListedReplica>,
    pages: usize,
    read_at: Instant,
) {
    let times = listed.iter().map(|listed| (listed.replica.id.as_str(), listed.cold_left));
    let change = watch.update(times, read_at);
    log_cold_change(&change, watch.cold().remaining(read_at).count());
    let replicas: Vec<_> = listed.into_iter().map(|listed| listed.replica).collect();
    let mark = ListDigest::of(&replicas);
    out.send_if_modified(|discovery| {
        discovery.read_at = Some(read_at);
        discovery.pages = pages;
        discovery.cold = Arc::new(watch.cold().clone());
        let is_same = discovery.term == term && discovery.mark == mark;
        // Change marks are only comparable within a term, so a new leader sends the cold replicas
        // again.
        let has_new_cold = !change.became_cold.is_empty()
            || (discovery.term != term && discovery.cold.remaining(read_at).next().is_some());
        if has_new_cold {
            discovery.cold_mark = discovery.cold_mark.next(term);
        }
        if is_same {
            return has_new_cold;
        }
        discovery.term = term;
        if discovery.mark != mark {
            discovery.replace_list(mark, replicas);
        }
        true
    });
}

/// Logs a change of the cold replicas.
fn log_cold_change(change: &ColdChange, cold: usize) {
    COLD_REPLICAS.set(cold as u64);
    if *change == ColdChange::default() {
        return;
    }
    emit!(
        Event::ColdReplicasChanged;
        cold = cold,
        became_cold = change.became_cold.len(),
        became_warm = change.became_warm.len(),
        named_cold = join_names(&change.became_cold),
        named_warm = join_names(&change.became_warm),
    );
}

/// Joins the first [`MAX_LOGGED_NAMES`] names, or returns a dash for none.
fn join_names(replicas: &[String]) -> String {
    match replicas {
        [] => "-".to_owned(),
        names => names[..names.len().min(MAX_LOGGED_NAMES)].join(","),
    }
}
