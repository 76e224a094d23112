//! Brings faults about and heals them.

use std::time::Duration;

use calicohoist_gateway::core::message::Input;
use calicohoist_replication::ReplicaId;
use calicohoist_types::Moment;
use rand::RngExt;

use super::disk::SimDisk;
use super::fault::Fault;
use super::frame::Actor;
use super::world::{Happening, World};
use crate::history::{DrainEvent, StopEvent};
use crate::workload::{ClientBehavior, ProgramPlan, Step, generate_programs};

/// Share of frames that a bad network loses, and repeats.
const LOSS: f64 = 0.03;
const REPETITION: f64 = 0.05;
/// Bytes of an unfinished write that may remain after a crash.
const MAX_KEPT_BYTES: usize = 4_096;
/// A machine whose disk was lost is back after this time.
const REPLACEMENT: Duration = Duration::from_secs(1);
/// A machine that was announced to leave goes after this time.
const NOTICE: Duration = Duration::from_secs(10);
/// Longer than any run.
const FOR_GOOD: Duration = Duration::from_secs(100_000);
/// Time between looks at whether the fleet is fully replicated.
const REPAIR_POLL: Duration = Duration::from_millis(100);
/// Programs of a burst start within this time.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Turns of a program that does not end by itself, and the calls it may make.
const RUNAWAY_TURNS: usize = 200;
const RUNAWAY_CALLS: u64 = 20;
/// Calls of an ordinary program.
pub const MAX_CALLS: u64 = 400;

impl World {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        if let Fault::StopGateway(index, _) = fault
            && self.gateways[index].frozen_until > self.now
        {
            // A process that stands still handles its signals when it goes on.
            let until = self.gateways[index].frozen_until;
            return self.plan(until, Happening::FaultBegins(fault));
        }
        if matches!(fault, Fault::LoseNextDisk(_)) && !self.is_repaired() {
            return self.plan_in(REPAIR_POLL, Happening::FaultBegins(fault));
        }
        self.faults += 1;
        let now = self.now;
        let heals_after = match fault {
            Fault::KillGateway(index, span) => {
                self.kill_gateway(index);
                Some(span)
            }
            Fault::FreezeGateway(index, span) => {
                // A process that is down cannot stand still.
                let part = &mut self.gateways[index];
                if part.core.is_some() {
                    part.frozen_until = part.frozen_until.max(now + span);
                }
                None
            }
            Fault::IsolateGateway(index, span) => {
                self.network.isolate(Actor::Gateway(index), true);
                Some(span)
            }
            Fault::StopGateway(index, away) => {
                self.stop_gateway(index, away);
                None
            }
            Fault::KillEngine(index, span) => {
                self.kill_engine(index);
                Some(span)
            }
            Fault::HangEngine(index, span) => {
                self.hang_engine(index, true);
                Some(span)
            }
            Fault::DrainEngine(index) => {
                self.drain_engine(index);
                None
            }
            Fault::LeaveEngine(index) => {
                self.leave_engine(index);
                None
            }
            Fault::HangReplica(index, span) => {
                self.replicas[index].hung = true;
                Some(span)
            }
            Fault::KillReplica(index, span) => {
                self.replicas[index].is_up = false;
                self.replicas[index].start += 1;
                Some(span)
            }
            Fault::KillStore(index, span) => {
                self.crash_store(index);
                Some(span)
            }
            Fault::FreezeStore(index, span) => {
                let part = &mut self.stores[index];
                if part.service.is_some() {
                    part.frozen_until = part.frozen_until.max(now + span);
                }
                None
            }
            Fault::IsolateStore(index, span) => {
                self.network.isolate(Actor::Store(index), true);
                Some(span)
            }
            Fault::IsolateLeader(span) => {
                self.isolate_leader();
                Some(span)
            }
            Fault::LoseDisk(index) | Fault::LoseNextDisk(index) => {
                self.crash_store(index);
                self.stores[index].disk = SimDisk::default();
                Some(REPLACEMENT)
            }
            Fault::SlowDisk(index, span) => {
                self.stores[index].set_slow(true);
                Some(span)
            }
            Fault::FullDisk(index, span) => {
                self.set_disk_full(index, true);
                Some(span)
            }
            Fault::CutZone(zone, span) => {
                self.network.cut_zone(zone, true);
                Some(span)
            }
            Fault::LossyNetwork(span) => {
                self.network.loss = LOSS;
                self.network.repetition = REPETITION;
                Some(span)
            }
            Fault::LoseReplies(span) => {
                self.lose_replies_until = now + span;
                None
            }
            Fault::LoseEngineReports(span) => {
                self.lose_reports_until = now + span;
                None
            }
            Fault::WriteConflict => {
                self.race();
                None
            }
            Fault::ManyChanges(count) => {
                self.many_changes(count);
                None
            }
            Fault::Burst(count) => {
                self.burst(count);
                None
            }
            Fault::Runaway => {
                self.add_runaway();
                None
            }
            Fault::CancelProgram => {
                self.cancel_some_program();
                None
            }
        };
        if let Some(span) = heals_after {
            self.plan_in(span, Happening::FaultEnds(fault));
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillGateway(index, _) | Fault::StopGateway(index, _) => {
                self.restart_gateway(index);
            }
            Fault::IsolateGateway(index, _) => self.network.isolate(Actor::Gateway(index), false),
            Fault::KillEngine(index, _) => self.start_engine(index),
            Fault::HangEngine(index, _) => self.hang_engine(index, false),
            Fault::HangReplica(index, _) => self.replicas[index].hung = false,
            Fault::KillReplica(index, _) => self.replicas[index].is_up = true,
            Fault::KillStore(index, _) | Fault::LoseDisk(index) | Fault::LoseNextDisk(index) => {
                self.restart_store(index);
            }
            Fault::IsolateStore(index, _) => self.network.isolate(Actor::Store(index), false),
            Fault::IsolateLeader(_) => {
                if let Some(index) = self.isolated_leaders.pop_front() {
                    self.network.isolate(Actor::Store(index), false);
                }
            }
            Fault::SlowDisk(index, _) => self.stores[index].set_slow(false),
            Fault::FullDisk(index, _) => {
                self.set_disk_full(index, false);
                self.restart_store(index);
            }
            Fault::CutZone(zone, _) => self.network.cut_zone(zone, false),
            Fault::LossyNetwork(_) => {
                self.network.loss = 0.0;
                self.network.repetition = 0.0;
            }
            _ => {}
        }
    }

    fn crash_store(&mut self, index: usize) {
        if self.stores[index].service.is_some() {
            let kept = self.random.random_range(0..MAX_KEPT_BYTES);
            self.kill_store(index, kept);
        }
    }

    fn restart_gateway(&mut self, index: usize) {
        if self.gateways[index].core.is_none() {
            self.start_gateway(index);
        }
    }

    fn restart_store(&mut self, index: usize) {
        if self.stores[index].service.is_none() {
            self.start_store(index, self.stores.len());
        }
    }

    fn set_disk_full(&mut self, index: usize, full: bool) {
        let part = &mut self.stores[index];
        match &mut part.log {
            Some(log) => log.disk_mut().set_full(full),
            None => part.disk.set_full(full),
        }
    }

    fn isolate_leader(&mut self) {
        let leads = |index: &usize| {
            let service = self.stores[*index].service.as_ref();
            service.is_some_and(calicohoist_store::StoreService::leads_any)
        };
        let leader = (0..self.stores.len()).find(leads).unwrap_or_default();
        self.isolated_leaders.push_back(leader);
        self.network.isolate(Actor::Store(leader), true);
    }

    /// Whether the status of every group says that a machine may be lost, with
    /// every machine as it is now among the voters.
    fn is_repaired(&self) -> bool {
        let now = self.now;
        let running = self.stores.iter().filter_map(|store| store.service.as_ref());
        let status: Vec<_> = running.flat_map(|service| service.group_status(now)).collect();
        let mut groups: Vec<_> = status.iter().map(|status| status.group).collect();
        groups.sort_unstable();
        groups.dedup();
        let is_safe = |group| {
            let leaders = status.iter().filter(|status| status.group == group && status.is_leader);
            let mut leaders = leaders.into_iter();
            leaders.any(|status| status.fully_replicated && self.is_current(&status.voters))
        };
        self.stores.iter().all(|store| store.service.is_some()) && groups.into_iter().all(is_safe)
    }

    fn is_current(&self, voters: &[ReplicaId]) -> bool {
        self.stores.iter().all(|store| voters.contains(&store.id))
    }

    fn stop_gateway(&mut self, index: usize, away: Duration) {
        let now = self.now;
        let part = &mut self.gateways[index];
        let Some(core) = part.core.as_mut() else {
            return;
        };
        if part.stopping_since.is_some() {
            return;
        }
        part.stopping_since = Some(now);
        part.away = away;
        let actions = core.step(now, Input::Stop);
        self.perform_all(index, actions);
    }

    /// A planned stop is over: the process ends, and comes back later.
    pub(super) fn gateway_stopped(&mut self, index: usize) {
        let part = &self.gateways[index];
        let left = part.core.as_ref().map_or(0, |core| core.active_calls());
        let began = part.stopping_since.unwrap_or(Moment::ZERO);
        let away = part.away;
        self.history.stops.push(StopEvent {
            gateway: index,
            began,
            ended: self.now,
            complete: left == 0,
        });
        self.kill_gateway(index);
        self.plan_in(away, Happening::FaultEnds(Fault::StopGateway(index, away)));
    }

    fn leave_engine(&mut self, index: usize) {
        let engine = self.engines[index].name.as_str().to_owned();
        self.platform.announce_leaving(self.now, &engine);
        self.history.drains.push(DrainEvent { engine, at: self.now });
        self.plan_in(NOTICE, Happening::FaultBegins(Fault::KillEngine(index, FOR_GOOD)));
    }

    fn burst(&mut self, count: usize) {
        let seed = self.random.random();
        for mut plan in generate_programs(self.deployment, count, BURST_WINDOW, seed) {
            plan.id = format!("burst-{}", plan.id);
            self.add_program(plan, MAX_CALLS);
        }
    }

    fn add_runaway(&mut self) {
        let drawn = generate_programs(self.deployment, 1, BURST_WINDOW, self.random.random());
        for plan in drawn {
            let asks = plan.steps.iter().filter(|step| matches!(step, Step::ModelCall(_))).cloned();
            let asks: Vec<Step> = asks.collect();
            let steps = asks.into_iter().cycle().take(RUNAWAY_TURNS).collect();
            let id = format!("runaway-{}", plan.id);
            let runaway = ProgramPlan { id, steps, behavior: ClientBehavior::Normal, ..plan };
            self.add_program(runaway, RUNAWAY_CALLS);
        }
    }
}
