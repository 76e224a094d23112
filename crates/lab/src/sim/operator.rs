//! Operators: declaring the fleet, changing it, racing each other, and probing
//! whether what is in force holds at each gateway.

use std::time::Duration;

use calicohoist_gateway::core::message::{CallPayload, CallRequest, CallerEvent};
use calicohoist_store::commands::resource::{ResourceCommand, ResourceOutput};
use calicohoist_store::state::RESOURCE_GROUP;
use calicohoist_store::{Command, Output, StoreReply, StoreRequest};
use calicohoist_types::{
    ChatMessage, EngineSpec, ModelId, ModelSpec, Moment, RequestId, ResourceKey, ResourceKind,
    ResourceSpec, Revision, Role, ServiceSpec, TenantId,
};

use super::backends::{EnginePart, PROBE_MODEL};
use super::caller::{AskOwner, Wake};
use super::frame::ClientRequest;
use super::network::zone_name;
use super::world::{Happening, World};
use crate::history::ConfigProbe;

/// Calls that run on an engine at a time.
const ENGINE_SLOTS: u32 = 6;
const POLL: Duration = Duration::from_millis(20);
/// Limits a probe cycles through; all are shorter than the shortest answer.
const PROBE_LIMITS: u64 = 7;
/// Tries of a probe before it is given up.
const MAX_PROBE_TRIES: u32 = 30;

/// What an operator does.
#[derive(Debug)]
pub enum OperatorTask {
    /// Declares resources one after the other.
    Declare {
        /// What is left.
        left: Vec<ResourceCommand>,
    },
    /// Changes the probed limit, waits until it is in force, probes each gateway.
    Probe(ProbeTask),
    /// Two changes with the same version; counts how many were accepted.
    Race {
        /// The racers' answers.
        answers: Vec<bool>,
        /// Whether the race has begun.
        begun: bool,
    },
    /// Nothing more to do.
    Over,
}

/// A change of the probed limit.
#[derive(Clone, Copy, Debug)]
pub struct ProbeChange {
    limit: u64,
    /// Known once the change was accepted.
    revision: Option<Revision>,
}

/// A change that is probed.
#[derive(Debug)]
pub struct ProbeTask {
    limit: u64,
    accepted: Option<(Revision, Moment)>,
    in_force: Option<Moment>,
    gateways_left: Vec<usize>,
    tries: u32,
}

impl OperatorTask {
    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Over)
    }
}

fn change(key: ResourceKey, spec: ResourceSpec, request: String) -> ResourceCommand {
    ResourceCommand {
        key,
        spec: Some(spec),
        expected: None,
        request: RequestId::new(request),
        actor: "operator".to_owned(),
    }
}

fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    ResourceKey { kind, name: name.to_owned() }
}

fn model_spec(max_output_tokens: u64) -> ResourceSpec {
    ResourceSpec::Model(ModelSpec { max_output_tokens, max_prompt_tokens: 100_000 })
}

fn engine_spec(index: usize, engine: &EnginePart, drain: bool) -> ResourceSpec {
    ResourceSpec::Engine(EngineSpec {
        address: engine.address,
        zone: zone_name(index),
        model: engine.model_name.clone(),
        slots: ENGINE_SLOTS,
        drain,
    })
}

fn command(change: ResourceCommand) -> StoreRequest {
    StoreRequest::Command(RESOURCE_GROUP, Command::Resource(change))
}

impl World {
    /// Declares the whole fleet.
    pub fn declare_fleet(&mut self) {
        let mut left = Vec::new();
        let model = self.deployment.model();
        left.push(change(key(ResourceKind::Model, model), model_spec(64), "model".into()));
        let probe = key(ResourceKind::Model, PROBE_MODEL);
        left.push(change(probe, model_spec(PROBE_LIMITS), "probe-model".into()));
        for (index, engine) in self.engines.iter().enumerate() {
            let spec = engine_spec(index, engine, false);
            let name = engine.name.as_str();
            left.push(change(key(ResourceKind::Engine, name), spec, format!("declare-{name}")));
        }
        for (index, replica) in self.replicas.iter().enumerate() {
            let spec = ResourceSpec::Service(ServiceSpec {
                service: self.deployment.service().to_owned(),
                address: replica.address,
                zone: zone_name(index),
                slots: 4,
                drain: false,
            });
            let name = &replica.name;
            left.push(change(key(ResourceKind::Service, name), spec, format!("declare-{name}")));
        }
        left.reverse();
        self.add_task(OperatorTask::Declare { left });
    }

    /// Has an operator drain an engine.
    pub(super) fn drain_engine(&mut self, engine: usize) {
        let part = &self.engines[engine];
        let spec = engine_spec(engine, part, true);
        let name = part.name.as_str();
        let drain = change(key(ResourceKind::Engine, name), spec, format!("drain-{name}"));
        self.add_task(OperatorTask::Declare { left: vec![drain] });
    }

    /// Changes the probed limit and probes it.
    pub(super) fn probe_change(&mut self) {
        let number = self.clients.tasks.len() as u64;
        let limit = number % PROBE_LIMITS + 1;
        let change = ProbeChange { limit, revision: None };
        self.clients.probe_changes.insert(self.clients.tasks.len(), change);
        self.add_task(OperatorTask::Probe(ProbeTask {
            limit,
            accepted: None,
            in_force: None,
            gateways_left: (0..self.gateways.len()).collect(),
            tries: 0,
        }));
    }

    /// Makes a change and notes when it is in force everywhere.
    pub fn time_change(&mut self) {
        self.probe_change();
        let task = self.clients.tasks.len() - 1;
        if let Some(OperatorTask::Probe(probe)) = self.clients.tasks.get_mut(task) {
            probe.gateways_left.clear();
        }
    }

    /// Milliseconds from the acceptance of each change until it was in force.
    pub fn change_times(&self) -> Vec<u64> {
        self.clients.change_times.iter().map(|time| time.as_millis() as u64).collect()
    }

    /// Makes many changes one after the other.
    pub(super) fn many_changes(&mut self, count: u32) {
        let name = |number: u32| format!("bulk-{}", number % 50);
        let spec = |number: u32| {
            ResourceSpec::Tenant(calicohoist_types::TenantSpec {
                default_program_tokens: u64::from(number) + 1,
                max_program_tokens: 1_000_000,
                max_calls: 100,
            })
        };
        let left = (0..count).map(|number| {
            let key = key(ResourceKind::Tenant, &name(number));
            change(key, spec(number), format!("bulk-{number}"))
        });
        self.add_task(OperatorTask::Declare { left: left.collect() });
    }

    /// Two operators change the same resource based on the same version.
    pub(super) fn race(&mut self) {
        self.add_task(OperatorTask::Race { answers: Vec::new(), begun: false });
    }

    fn add_task(&mut self, task: OperatorTask) {
        let index = self.clients.tasks.len();
        self.clients.tasks.push(task);
        self.operator_wake(index);
    }

    /// Goes on with a task.
    pub(super) fn operator_wake(&mut self, index: usize) {
        match &mut self.clients.tasks[index] {
            OperatorTask::Declare { left } => match left.last().cloned() {
                Some(next) => {
                    let owner = AskOwner::Operator(index);
                    self.ask_after(Duration::ZERO, owner, command(next), index);
                }
                None => self.clients.tasks[index] = OperatorTask::Over,
            },
            OperatorTask::Probe(probe) => {
                let request = if probe.accepted.is_none() {
                    let key = key(ResourceKind::Model, PROBE_MODEL);
                    let request = format!("probe-{index}");
                    command(change(key, model_spec(probe.limit), request))
                } else if probe.in_force.is_none() {
                    StoreRequest::FleetStatus
                } else {
                    return self.send_probe(index);
                };
                self.ask_after(Duration::ZERO, AskOwner::Operator(index), request, index);
            }
            OperatorTask::Race { begun, .. } => {
                if !std::mem::replace(begun, true) {
                    self.begin_race(index);
                }
            }
            OperatorTask::Over => {}
        }
    }

    fn begin_race(&mut self, index: usize) {
        for racer in 0..2 {
            let spec = ResourceSpec::Tenant(calicohoist_types::TenantSpec {
                default_program_tokens: racer + 1,
                max_program_tokens: 1_000,
                max_calls: 10,
            });
            let key = key(ResourceKind::Tenant, &format!("race-{index}"));
            let mut racing = change(key, spec, format!("race-{index}-{racer}"));
            racing.expected = Some(Revision(0));
            let gateway = index + racer as usize;
            self.ask_after(Duration::ZERO, AskOwner::Operator(index), command(racing), gateway);
        }
    }

    /// The store answered a request of a task.
    pub(super) fn operator_answered(&mut self, index: usize, reply: StoreReply) {
        let now = self.now;
        match (&mut self.clients.tasks[index], reply) {
            (OperatorTask::Declare { left }, _) => {
                let done = left.pop();
                let drained = done.and_then(drained_engine);
                if let Some(engine) = drained {
                    self.history.drains.push(crate::history::DrainEvent { engine, at: now });
                }
                self.operator_wake(index);
            }
            (OperatorTask::Probe(probe), StoreReply::Output(Output::Resource(output))) => {
                if let ResourceOutput::Stored(resource) = output {
                    probe.accepted = Some((resource.version, now));
                    if let Some(change) = self.clients.probe_changes.get_mut(&index) {
                        change.revision = Some(resource.version);
                    }
                }
                self.plan_in(POLL, Happening::ClientWake(Wake::Operator(index)));
            }
            (OperatorTask::Probe(probe), StoreReply::FleetStatus(status)) => {
                let wanted = probe.accepted.map_or(Revision(0), |(revision, _)| revision);
                if status.in_force >= wanted && probe.in_force.is_none() {
                    let accepted = probe.accepted.map_or(now, |(_, at)| at);
                    self.clients.change_times.push(now.since(accepted));
                    probe.in_force = Some(now);
                }
                self.plan_in(POLL, Happening::ClientWake(Wake::Operator(index)));
            }
            (OperatorTask::Race { answers, .. }, StoreReply::Output(Output::Resource(output))) => {
                answers.push(matches!(output, ResourceOutput::Stored(_)));
                if answers.len() == 2 {
                    let winners = answers.iter().filter(|won| **won).count();
                    self.clients.tasks[index] = OperatorTask::Over;
                    self.history.races.push(winners as u32);
                }
            }
            _ => {}
        }
    }

    /// Sends a short call to the next gateway; its answer shows the limit it keeps.
    fn send_probe(&mut self, index: usize) {
        let OperatorTask::Probe(probe) = &mut self.clients.tasks[index] else {
            return;
        };
        probe.tries += 1;
        let gateway = probe.gateways_left.last().copied();
        let Some(gateway) = gateway.filter(|_| probe.tries < MAX_PROBE_TRIES) else {
            self.clients.tasks[index] = OperatorTask::Over;
            return;
        };
        let message = ChatMessage::new(Role::User, format!("probe {index} {}", probe.tries));
        let request = CallRequest {
            tenant: TenantId::new("operator"),
            program: None,
            sequence: None,
            key: None,
            repeatable: true,
            payload: CallPayload::Model {
                model: ModelId::new(PROBE_MODEL),
                messages: vec![message],
                max_tokens: None,
            },
        };
        let ticket = self.clients.open_probe(gateway, index);
        self.send_client(gateway, ticket, ClientRequest::Call(Box::new(request)));
    }

    /// Limits that may hold once the change of a task is in force.
    fn limits_since(&self, index: usize) -> Vec<u64> {
        let changes = &self.clients.probe_changes;
        let own = changes.get(&index).and_then(|change| change.revision);
        let later = changes.values().filter(|change| {
            // A change without a known revision may have been made at any time.
            change.revision.is_none() || change.revision >= own
        });
        later.map(|change| change.limit).collect()
    }

    /// A probe's call ended.
    pub(super) fn probe_answered(&mut self, index: usize, event: Option<&CallerEvent>) {
        let allowed = self.limits_since(index);
        let OperatorTask::Probe(probe) = &mut self.clients.tasks[index] else {
            return;
        };
        let Some(CallerEvent::Finished(finish)) = event else {
            return self.plan_in(POLL * 25, Happening::ClientWake(Wake::Operator(index)));
        };
        let Some(gateway) = probe.gateways_left.pop() else {
            return;
        };
        if let (Some((revision, accepted)), Some(in_force)) = (probe.accepted, probe.in_force) {
            // A later change may hold by now; an earlier one must not.
            let held = allowed.contains(&finish.usage.completion_tokens);
            self.history.probes.push(ConfigProbe {
                revision: revision.0,
                gateway,
                accepted,
                in_force,
                held,
            });
        }
        self.operator_wake(index);
    }
}

fn drained_engine(change: ResourceCommand) -> Option<String> {
    match change.spec {
        Some(ResourceSpec::Engine(spec)) if spec.drain => Some(change.key.name),
        _ => None,
    }
}
