//! Queues of the engines that this gateway owns.
//!
//! Two gateways may consider themselves the owner of an engine for a short time.
//! This affects scheduling order but not correctness: the engine batches its
//! requests itself, and every attempt is fenced in the program's record.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_scheduler::{EngineQueue, QueueEntry};
use calicohoist_store::EngineLoad;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{EngineId, Moment, NodeId};

use super::message::{EngineReport, PeerMessage};
use super::view::FleetView;

/// Time between probes of an owned engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a probe reply after which an engine gets no new work.
const PROBE_EXPIRY: Duration = Duration::from_secs(3);
/// Minimum age of a slot before its absence from a holder's report frees it.
const SLOT_REPORT_GRACE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct OwnedEngine {
    queue: EngineQueue,
    next_probe: Moment,
    last_reply: Option<Moment>,
    leaving: bool,
}

/// Results of [`EngineOwner::run`].
#[derive(Debug, Default)]
pub(crate) struct OwnerOutcome {
    /// Engines to probe.
    pub(crate) probes: Vec<(EngineId, SocketAddr)>,
    /// Messages to gateways about their attempts.
    pub(crate) messages: Vec<(NodeId, PeerMessage)>,
}

/// The engines that this gateway owns.
#[derive(Debug)]
pub(crate) struct EngineOwner {
    engines: BTreeMap<EngineId, OwnedEngine>,
    /// Owners version and stopping flag of the last ownership update.
    last_ownership: Option<(u64, bool)>,
    max_waiting: usize,
}

impl EngineOwner {
    pub(crate) fn new(max_waiting: usize) -> Self {
        Self { engines: BTreeMap::new(), last_ownership: None, max_waiting }
    }

    /// Returns the owned engines.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &EngineId> {
        self.engines.keys()
    }

    /// Updates ownership from the view, schedules probes and grants slots.
    pub(crate) fn run(
        &mut self,
        now: Moment,
        own_node: &NodeId,
        view: &FleetView,
        stopping: bool,
    ) -> OwnerOutcome {
        let mut outcome = OwnerOutcome::default();
        self.update_ownership(own_node, view, stopping, &mut outcome);
        for (engine, owned) in &mut self.engines {
            let Some(spec) = view.engine(engine) else {
                continue;
            };
            owned.queue.retain_holders(|holder| view.is_listed(holder));
            if now >= owned.next_probe {
                owned.next_probe = now + PROBE_INTERVAL;
                outcome.probes.push((engine.clone(), spec.address));
            }
            if !view.is_schedulable(engine) || owned.leaving {
                refuse_waiting(engine, owned, &mut outcome);
            } else if owned.is_responsive(now) && view.has_lease(now) {
                grant_slots(now, engine, spec.slots, owned, &mut outcome);
            }
        }
        outcome
    }

    fn update_ownership(
        &mut self,
        own_node: &NodeId,
        view: &FleetView,
        stopping: bool,
        outcome: &mut OwnerOutcome,
    ) {
        let current = (view.owners_version(), stopping);
        if self.last_ownership.replace(current) == Some(current) {
            return;
        }
        let is_own =
            |engine: &EngineId| !stopping && view.owner_of(engine).as_ref() == Some(own_node);
        let engines = view.engines().map(|(engine, _)| engine);
        let wanted: BTreeSet<EngineId> = engines.filter(is_own).collect();
        let disowned: Vec<EngineId> =
            self.engines.keys().filter(|engine| !wanted.contains(*engine)).cloned().collect();
        for engine in disowned {
            emit!(Event::EngineDisowned, "{engine}");
            if let Some(mut owned) = self.engines.remove(&engine) {
                refuse_waiting(&engine, &mut owned, outcome);
            }
        }
        for engine in wanted {
            self.engines.entry(engine.clone()).or_insert_with(|| {
                emit!(Event::EngineOwned, "{engine}");
                OwnedEngine::default()
            });
        }
    }

    pub(crate) fn on_probe(
        &mut self,
        now: Moment,
        engine: &EngineId,
        report: Option<EngineReport>,
    ) {
        if let (Some(owned), Some(report)) = (self.engines.get_mut(engine), report) {
            owned.last_reply = Some(now);
            owned.leaving = report.leaving;
        }
    }

    /// Handles a message of another gateway; returns the reply, if any.
    pub(crate) fn on_message(
        &mut self,
        now: Moment,
        from: NodeId,
        message: PeerMessage,
    ) -> Option<PeerMessage> {
        match message {
            PeerMessage::Enqueue { attempt, engine, attained_tokens, prompt_tokens } => {
                let refused = |overloaded| {
                    Some(PeerMessage::Refused {
                        attempt: attempt.clone(),
                        engine: engine.clone(),
                        overloaded,
                    })
                };
                let Some(owned) = self.engines.get_mut(&engine) else {
                    return refused(false);
                };
                if owned.queue.is_running(&attempt) {
                    return Some(PeerMessage::Granted { attempt, engine });
                }
                let entry = QueueEntry {
                    attempt: attempt.clone(),
                    holder: from,
                    attained_tokens,
                    prompt_tokens,
                    queued_at: now,
                };
                let added = owned.queue.add(entry, self.max_waiting);
                if added.is_err() { refused(true) } else { None }
            }
            PeerMessage::Release { attempt, engine } => {
                if let Some(owned) = self.engines.get_mut(&engine) {
                    owned.queue.remove(&attempt);
                }
                None
            }
            PeerMessage::Holding { engine, attempts } => {
                if let Some(owned) = self.engines.get_mut(&engine) {
                    for attempt in &attempts {
                        owned.queue.adopt(attempt.clone(), from.clone(), now);
                    }
                    owned.queue.reconcile(&from, &attempts, now - SLOT_REPORT_GRACE);
                }
                None
            }
            _ => None,
        }
    }

    /// Returns the loads of the owned engines, which gateways use for routing.
    pub(crate) fn loads(&self, now: Moment, view: &FleetView) -> Vec<EngineLoad> {
        let load = |(engine, owned): (&EngineId, &OwnedEngine)| EngineLoad {
            engine: engine.clone(),
            running: owned.queue.running(),
            waiting: owned.queue.waiting(),
            waiting_tokens: owned.queue.waiting_tokens(),
            accepts: view.is_schedulable(engine) && !owned.leaving && owned.is_responsive(now),
        };
        self.engines.iter().map(load).collect()
    }
}

impl OwnedEngine {
    fn is_responsive(&self, now: Moment) -> bool {
        self.last_reply.is_some_and(|last_reply| now.since(last_reply) < PROBE_EXPIRY)
    }
}

fn grant_slots(
    now: Moment,
    engine: &EngineId,
    slots: u32,
    owned: &mut OwnedEngine,
    outcome: &mut OwnerOutcome,
) {
    for entry in owned.queue.grant(now, slots) {
        let message = PeerMessage::Granted { attempt: entry.attempt, engine: engine.clone() };
        outcome.messages.push((entry.holder, message));
    }
}

/// Refuses all waiting attempts, so that their gateways route them again.
fn refuse_waiting(engine: &EngineId, owned: &mut OwnedEngine, outcome: &mut OwnerOutcome) {
    for entry in owned.queue.drain_waiting() {
        let message = PeerMessage::Refused {
            attempt: entry.attempt,
            engine: engine.clone(),
            overloaded: false,
        };
        outcome.messages.push((entry.holder, message));
    }
}
