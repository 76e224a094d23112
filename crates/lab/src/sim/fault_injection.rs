//! Injects faults into the simulation and heals them.

use std::time::Duration;

use calicohoist_gateway::core::message::Input;
use calicohoist_replication::ReplicaId;
use calicohoist_types::Moment;
use rand::RngExt;

use super::disk::SimDisk;
use super::fault::Fault;
use super::frame::Actor;
use super::world::{SimEvent, World};
use crate::history::{DrainEvent, StopEvent};
use crate::workload::{ClientBehavior, ProgramPlan, Step, generate_programs};

/// Probabilities that a lossy network loses or duplicates a frame.
const LOSS_RATE: f64 = 0.03;
const DUPLICATION_RATE: f64 = 0.05;
/// Upper bound of unsynced bytes that remain in a file after a crash.
const MAX_KEPT_BYTES: usize = 4_096;
/// Delay before a machine with a lost disk restarts.
const DISK_REPLACEMENT_DELAY: Duration = Duration::from_secs(1);
/// Time between the announcement and the removal of an engine.
const REMOVAL_NOTICE: Duration = Duration::from_secs(10);
/// Time in which the calls of a stopping gateway must end.
const STOP_CALL_TIME: Duration = Duration::from_secs(110);
/// Exceeds the duration of any run.
const PERMANENT: Duration = Duration::from_secs(100_000);
/// Interval between checks whether the fleet is fully replicated.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Period within which the programs of a burst start.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Number of turns of a runaway program and the limit of its calls.
const RUNAWAY_TURNS: usize = 200;
const RUNAWAY_MAX_CALLS: u64 = 20;
/// Call limit of an ordinary program.
pub const MAX_CALLS: u64 = 400;

impl World {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        if let Fault::StopGateway(index, _) = fault
            && self.gateways[index].frozen_until > self.now
        {
            // A paused process handles the stop signal once it resumes.
            let until = self.gateways[index].frozen_until;
            return self.schedule(until, SimEvent::InjectFault(fault));
        }
        if matches!(fault, Fault::LoseNextDisk(_)) && !self.is_fully_replicated() {
            return self.schedule_in(REPLICATION_POLL_INTERVAL, SimEvent::InjectFault(fault));
        }
        self.faults += 1;
        let now = self.now;
        let heal_after = match fault {
            Fault::KillGateway(index, duration) => {
                self.kill_gateway(index);
                Some(duration)
            }
            Fault::FreezeGateway(index, duration) => {
                // A stopped process cannot be paused.
                let gateway = &mut self.gateways[index];
                if gateway.core.is_some() {
                    gateway.frozen_until = gateway.frozen_until.max(now + duration);
                }
                None
            }
            Fault::IsolateGateway(index, duration) => {
                self.network.isolate(Actor::Gateway(index), true);
                Some(duration)
            }
            Fault::StopGateway(index, downtime) => {
                self.stop_gateway(index, downtime);
                None
            }
            Fault::KillEngine(index, duration) => {
                self.kill_engine(index);
                Some(duration)
            }
            Fault::HangEngine(index, duration) => {
                self.hang_engine(index, true);
                Some(duration)
            }
            Fault::DrainEngine(index) => {
                self.drain_engine(index);
                None
            }
            Fault::LeaveEngine(index) => {
                self.announce_engine_removal(index);
                None
            }
            Fault::HangReplica(index, duration) => {
                self.replicas[index].hung = true;
                Some(duration)
            }
            Fault::KillReplica(index, duration) => {
                self.replicas[index].is_up = false;
                self.replicas[index].generation += 1;
                Some(duration)
            }
            Fault::KillStore(index, duration) => {
                self.crash_store(index);
                Some(duration)
            }
            Fault::FreezeStore(index, duration) => {
                let store = &mut self.stores[index];
                if store.service.is_some() {
                    store.frozen_until = store.frozen_until.max(now + duration);
                }
                None
            }
            Fault::IsolateStore(index, duration) => {
                self.network.isolate(Actor::Store(index), true);
                Some(duration)
            }
            Fault::IsolateLeader(duration) => {
                self.isolate_leader();
                Some(duration)
            }
            Fault::LoseDisk(index) | Fault::LoseNextDisk(index) => {
                self.crash_store(index);
                self.stores[index].disk = SimDisk::default();
                Some(DISK_REPLACEMENT_DELAY)
            }
            Fault::SlowDisk(index, duration) => {
                self.stores[index].set_slow(true);
                Some(duration)
            }
            Fault::FullDisk(index, duration) => {
                self.set_disk_full(index, true);
                Some(duration)
            }
            Fault::CutZone(zone, duration) => {
                self.network.partition_zone(zone, true);
                Some(duration)
            }
            Fault::LossyNetwork(duration) => {
                self.network.loss = LOSS_RATE;
                self.network.duplication = DUPLICATION_RATE;
                Some(duration)
            }
            Fault::LoseReplies(duration) => {
                self.lose_replies_until = now + duration;
                None
            }
            Fault::LoseEngineReports(duration) => {
                self.lose_reports_until = now + duration;
                None
            }
            Fault::WriteConflict => {
                self.start_conflicting_writes();
                None
            }
            Fault::ManyChanges(count) => {
                self.apply_bulk_changes(count);
                None
            }
            Fault::Burst(count) => {
                self.start_burst(count);
                None
            }
            Fault::Runaway => {
                self.add_runaway_program();
                None
            }
            Fault::CancelProgram => {
                self.cancel_running_program();
                None
            }
        };
        if let Some(duration) = heal_after {
            self.schedule_in(duration, SimEvent::HealFault(fault));
        }
    }

    pub(super) fn heal_fault(&mut self, fault: Fault) {
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
            Fault::CutZone(zone, _) => self.network.partition_zone(zone, false),
            Fault::LossyNetwork(_) => {
                self.network.loss = 0.0;
                self.network.duplication = 0.0;
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
        let store = &mut self.stores[index];
        match &mut store.log {
            Some(log) => log.disk_mut().set_full(full),
            None => store.disk.set_full(full),
        }
    }

    fn isolate_leader(&mut self) {
        let is_leader_of_any = |index: &usize| {
            let service = self.stores[*index].service.as_ref();
            service.is_some_and(calicohoist_store::StoreService::leads_any)
        };
        let leader = (0..self.stores.len()).find(is_leader_of_any).unwrap_or_default();
        self.isolated_leaders.push_back(leader);
        self.network.isolate(Actor::Store(leader), true);
    }

    /// Returns whether every group reports full replication with all current replicas as voters,
    /// so that the loss of one machine is tolerated.
    fn is_fully_replicated(&self) -> bool {
        let now = self.now;
        let running = self.stores.iter().filter_map(|store| store.service.as_ref());
        let status: Vec<_> = running.flat_map(|service| service.group_status(now)).collect();
        let mut groups: Vec<_> = status.iter().map(|status| status.group).collect();
        groups.sort_unstable();
        groups.dedup();
        let is_replicated = |group| {
            let leaders = status.iter().filter(|status| status.group == group && status.is_leader);
            let mut leaders = leaders.into_iter();
            leaders.any(|status| status.fully_replicated && self.is_current(&status.voters))
        };
        self.stores.iter().all(|store| store.service.is_some())
            && groups.into_iter().all(is_replicated)
    }

    fn is_current(&self, voters: &[ReplicaId]) -> bool {
        self.stores.iter().all(|store| voters.contains(&store.id))
    }

    fn stop_gateway(&mut self, index: usize, downtime: Duration) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let Some(core) = gateway.core.as_mut() else {
            return;
        };
        if gateway.stop_requested_at.is_some() {
            return;
        }
        gateway.stop_requested_at = Some(now);
        gateway.downtime = downtime;
        let actions = core.step(now, Input::Stop { call_time: STOP_CALL_TIME });
        self.perform_all(index, actions);
    }

    /// Terminates a gateway after its graceful shutdown and schedules its restart.
    pub(super) fn finish_gateway_stop(&mut self, index: usize, interrupted_calls: usize) {
        let gateway = &self.gateways[index];
        let unfinished_calls = gateway.core.as_ref().map_or(0, |core| core.active_calls());
        let began = gateway.stop_requested_at.unwrap_or(Moment::ZERO);
        let downtime = gateway.downtime;
        self.history.stops.push(StopEvent {
            gateway: index,
            began,
            ended: self.now,
            complete: unfinished_calls + interrupted_calls == 0,
        });
        self.kill_gateway(index);
        self.schedule_in(downtime, SimEvent::HealFault(Fault::StopGateway(index, downtime)));
    }

    fn announce_engine_removal(&mut self, index: usize) {
        let engine = self.engines[index].name.as_str().to_owned();
        self.platform.announce_leaving(self.now, &engine);
        self.history.drains.push(DrainEvent { engine, at: self.now });
        self.schedule_in(
            REMOVAL_NOTICE,
            SimEvent::InjectFault(Fault::KillEngine(index, PERMANENT)),
        );
    }

    fn start_burst(&mut self, count: usize) {
        let seed = self.random.random();
        for mut plan in generate_programs(self.deployment, count, BURST_WINDOW, seed) {
            plan.id = format!("burst-{}", plan.id);
            self.add_program(plan, MAX_CALLS);
        }
    }

    fn add_runaway_program(&mut self) {
        let plans = generate_programs(self.deployment, 1, BURST_WINDOW, self.random.random());
        for plan in plans {
            let model_steps =
                plan.steps.iter().filter(|step| matches!(step, Step::ModelCall(_))).cloned();
            let model_steps: Vec<Step> = model_steps.collect();
            let steps = model_steps.into_iter().cycle().take(RUNAWAY_TURNS).collect();
            let id = format!("runaway-{}", plan.id);
            let runaway = ProgramPlan { id, steps, behavior: ClientBehavior::Normal, ..plan };
            self.add_program(runaway, RUNAWAY_MAX_CALLS);
        }
    }
}
