//! The leader reads the list of replicas for all gateways.

use std::sync::Arc;
use std::time::Instant;

use calicohoist_discovery::ListedReplica;
use calicohoist_routing::{
    ColdChange, ColdReplicas, ColdWatch, DrainedZones, ListedStart, NewestStarts, ReplicaList,
    Topology,
};
use calicohoist_scheduler::FleetView;
use calicohoist_telemetry::metrics::{Counter, Gauge};
use calicohoist_telemetry::{Event, emit};
use tokio::sync::watch;

use super::LedgerSettings;
use super::replica::Standing;
use crate::protocol::{ChangeMark, ListMark, Seen};

static COLD_REPLICAS: Gauge = Gauge::new(
    "calicohoist_ledger_cold_replicas",
    "Replicas that are cold, as the leader knows them",
);

static RESTARTS: Counter = Counter::new(
    "calicohoist_ledger_replica_starts_total",
    "Replicas that started again under their identity, and entries of earlier or unclear starts",
    "outcome",
);

/// Replicas that one log line names: a whole region may start at once.
const MOST_NAMED: usize = 8;

/// The newest reading of this machine.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Tells it from others.
    pub mark: ListMark,
    /// Term in which this machine led when it read it.
    pub term: u64,
    /// What was read.
    pub list: Arc<ReplicaList>,
    /// When it was read last, changed or not.
    pub read_at: Option<Instant>,
    /// The replicas that have just started. They do not change `mark`: a list in which only a
    /// time left differs is the same list.
    pub cold: Arc<ColdReplicas>,
    /// Changes when a replica becomes cold. It does not when one becomes warm: gateways are told
    /// how long each stays cold.
    pub cold_mark: ChangeMark,
}

impl Reading {
    /// Whether the leader of `term` tells a gateway the list itself. The gateway hears first which
    /// replicas are cold: with the list alone it would send to all of them alike.
    pub fn tells_list(&self, term: u64, seen: &Seen) -> bool {
        let is_new = self.mark != seen.list && self.mark != ListMark::default();
        let knows_cold = self.cold_mark.term != term || self.cold_mark == seen.cold;
        self.term == term && is_new && knows_cold
    }

    /// The cold replicas, each with the ms left, unless a gateway has `seen` them.
    pub fn cold_news(
        &self,
        seen: ChangeMark,
        now: Instant,
    ) -> Option<(ChangeMark, Vec<(String, u32)>)> {
        if self.cold_mark == seen {
            return None;
        }
        Some((self.cold_mark, self.cold.left_ms(now)))
    }
}

/// The newest reading with what else decides where requests go.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// The replicas.
    pub reading: Reading,
    /// Zones whose replicas get nothing.
    pub drained: Arc<DrainedZones>,
    /// Where zones lie.
    pub topology: Arc<Topology>,
}

impl FleetSnapshot {
    /// The same as the scheduler takes it.
    pub fn view(&self) -> FleetView<'_> {
        FleetView {
            replicas: &self.reading.list.replicas,
            topology: &self.topology,
            drained: &self.drained,
            cold: &self.reading.cold,
        }
    }
}

/// Reads the list while this machine leads.
pub fn spawn(
    settings: &LedgerSettings,
    standing: watch::Receiver<Standing>,
) -> watch::Receiver<Reading> {
    let (out, readings) = watch::channel(Reading::default());
    let settings = settings.clone();
    tokio::spawn(async move { run(settings, standing, out).await });
    readings
}

async fn run(
    settings: LedgerSettings,
    mut standing: watch::Receiver<Standing>,
    out: watch::Sender<Reading>,
) {
    let Some(reader) = settings.list else {
        return;
    };
    let (mut watched_term, mut watch) = (0, ColdWatch::default());
    let mut starts = NewestStarts::default();
    loop {
        if standing.wait_for(|standing| standing.is_leader).await.is_err() {
            return;
        }
        let term = standing.borrow().term;
        if watched_term != term {
            // What was listed when this machine led before does not show what is new now.
            (watched_term, watch) = (term, ColdWatch::default());
        }
        let began = Instant::now();
        match reader.read().await {
            Ok(listed) => {
                let listed = newest_starts(&mut starts, listed);
                publish(&out, &mut watch, term, listed, began);
            }
            Err(error) => emit!(Event::PlatformUnreachable, "list of replicas: {error}"),
        }
        tokio::time::sleep(settings.list_interval.saturating_sub(began.elapsed())).await;
    }
}

/// The entries that count: the newest start of each replica.
fn newest_starts(starts: &mut NewestStarts, listed: Vec<ListedReplica>) -> Vec<ListedReplica> {
    let review = starts.take(listed.iter().map(|listed| &listed.replica));
    let left_out = review.left_out();
    RESTARTS.add("restarted", review.restarted as u64);
    RESTARTS.add("left_out", left_out as u64);
    if review.restarted > 0 {
        emit!(Event::ReplicasRestarted; replicas = review.restarted, left_out = left_out);
    }
    let counts = review.entries.iter().map(|entry| *entry == ListedStart::Newest);
    listed.into_iter().zip(counts).filter_map(|(listed, counts)| counts.then_some(listed)).collect()
}

fn publish(
    out: &watch::Sender<Reading>,
    watch: &mut ColdWatch,
    term: u64,
    listed: Vec<ListedReplica>,
    read_at: Instant,
) {
    let times = listed.iter().map(|listed| (listed.replica.id.as_str(), listed.cold_left));
    let change = watch.take(times, read_at);
    log_cold(&change, watch.cold().left(read_at).count());
    let replicas: Vec<_> = listed.into_iter().map(|listed| listed.replica).collect();
    let mark = ListMark::of(&replicas);
    out.send_if_modified(|reading| {
        reading.read_at = Some(read_at);
        reading.cold = Arc::new(watch.cold().clone());
        let is_same = reading.term == term && reading.mark == mark;
        // A new leader tells everything anew: a gateway knows only one leader's marks.
        let is_cold_news = !change.became_cold.is_empty()
            || (reading.term != term && reading.cold.left(read_at).next().is_some());
        if is_cold_news {
            reading.cold_mark = reading.cold_mark.next(term);
        }
        if is_same {
            return is_cold_news;
        }
        reading.term = term;
        if reading.mark != mark {
            let version = reading.list.version + 1;
            reading.mark = mark;
            reading.list = Arc::new(ReplicaList { version, replicas });
        }
        true
    });
}

/// Logs one line for each reading that shows a change, whatever the size of the fleet.
fn log_cold(change: &ColdChange, cold: usize) {
    COLD_REPLICAS.set(cold as u64);
    if *change == ColdChange::default() {
        return;
    }
    emit!(
        Event::ColdReplicasChanged;
        cold = cold,
        became_cold = change.became_cold.len(),
        became_warm = change.became_warm.len(),
        named_cold = named(&change.became_cold),
        named_warm = named(&change.became_warm),
    );
}

/// The first [`MOST_NAMED`] replicas, or a dash for none.
fn named(replicas: &[String]) -> String {
    match replicas {
        [] => "-".to_owned(),
        some => some[..some.len().min(MOST_NAMED)].join(","),
    }
}
