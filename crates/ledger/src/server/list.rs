//! The leader reads the list of replicas for all gateways.

use std::sync::Arc;
use std::time::Instant;

use calicohoist_discovery::ListedReplica;
use calicohoist_routing::{ColdReplicas, DrainedZones, ReplicaList, Topology};
use calicohoist_scheduler::FleetView;
use calicohoist_telemetry::{Event, emit};
use tokio::sync::watch;

use super::LedgerSettings;
use super::replica::Standing;
use crate::protocol::ListMark;

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
    /// Those that have just started. They are no part of the mark: a list of which only a
    /// time left has changed is the same list.
    pub cold: Arc<ColdReplicas>,
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
    /// The same for the scheduler.
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
    loop {
        if standing.wait_for(|standing| standing.is_leader).await.is_err() {
            return;
        }
        let term = standing.borrow().term;
        let began = Instant::now();
        match reader.read().await {
            Ok(replicas) => publish(&out, term, replicas, began),
            Err(error) => emit!(Event::PlatformUnreachable, "list of replicas: {error}"),
        }
        tokio::time::sleep(settings.list_interval.saturating_sub(began.elapsed())).await;
    }
}

fn publish(out: &watch::Sender<Reading>, term: u64, listed: Vec<ListedReplica>, read_at: Instant) {
    let mut cold = ColdReplicas::default();
    for listed in listed.iter().filter(|listed| !listed.cold_left.is_zero()) {
        cold.note(&listed.replica.id, read_at + listed.cold_left);
    }
    let replicas: Vec<_> = listed.into_iter().map(|listed| listed.replica).collect();
    let mark = ListMark::of(&replicas);
    out.send_if_modified(|reading| {
        reading.read_at = Some(read_at);
        reading.cold = Arc::new(cold);
        let is_same = reading.term == term && reading.mark == mark;
        if is_same {
            return false;
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
