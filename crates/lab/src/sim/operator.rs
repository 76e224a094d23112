//! Simulated operators: declare the fleet, change the configuration, send conflicting writes, and
//! probe whether gateways apply a configuration that is reported as in force.

use std::time::Duration;

use calicohoist_gateway::core::message::{CallPayload, CallRequest, CallerEvent};
use calicohoist_store::commands::resource::{ResourceCommand, ResourceOutput};
use calicohoist_store::state::RESOURCE_GROUP;
use calicohoist_store::{Command, Output, StoreReply, StoreRequest};
use calicohoist_types::{
    ChatMessage, EngineSpec, ModelId, ModelSpec, Moment, RequestId, ResourceKey, ResourceKind,
    ResourceSpec, Revision, Role, ServiceSpec, TenantId,
};

use super::backends::{PROBE_MODEL, SimEngine};
use super::caller::{ClientTimer, StoreRequestOwner};
use super::frame::ClientRequest;
use super::network::zone_name;
use super::world::{SimEvent, World};
use crate::history::ConfigProbe;

/// Maximum number of concurrent calls per engine.
const ENGINE_SLOTS: u32 = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of output limits that probes cycle through; all are below the shortest answer.
const PROBE_LIMIT_COUNT: u64 = 7;
/// Maximum number of calls of a probe.
const MAX_PROBE_CALLS: u32 = 30;

/// A task of an operator.
#[derive(Debug)]
pub enum OperatorTask {
    /// Declares resources in sequence.
    Declare {
        /// The remaining resources, the next one last.
        remaining: Vec<ResourceCommand>,
    },
    /// Changes the probed limit, waits until it is in force, and probes each gateway.
    Probe(ProbeTask),
    /// Sends two changes based on the same version and counts how many are accepted.
    ConflictingWrites {
        /// Whether each answered change was accepted.
        answers: Vec<bool>,
        /// Whether the changes were sent.
        sent: bool,
    },
    /// The task is complete.
    Done,
}

/// A change of the probed output limit.
#[derive(Clone, Copy, Debug)]
pub struct ProbeChange {
    limit: u64,
    /// Set once the change is accepted.
    revision: Option<Revision>,
}

/// State of a probed change.
#[derive(Debug)]
pub struct ProbeTask {
    limit: u64,
    accepted: Option<(Revision, Moment)>,
    in_force: Option<Moment>,
    remaining_gateways: Vec<usize>,
    calls: u32,
}

impl OperatorTask {
    /// Returns whether the task is complete.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Done)
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

fn engine_spec(index: usize, engine: &SimEngine, drain: bool) -> ResourceSpec {
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
        let mut remaining = Vec::new();
        let model = self.deployment.model();
        remaining.push(change(key(ResourceKind::Model, model), model_spec(64), "model".into()));
        let probe = key(ResourceKind::Model, PROBE_MODEL);
        remaining.push(change(probe, model_spec(PROBE_LIMIT_COUNT), "probe-model".into()));
        for (index, engine) in self.engines.iter().enumerate() {
            let spec = engine_spec(index, engine, false);
            let name = engine.name.as_str();
            remaining.push(change(
                key(ResourceKind::Engine, name),
                spec,
                format!("declare-{name}"),
            ));
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
            remaining.push(change(
                key(ResourceKind::Service, name),
                spec,
                format!("declare-{name}"),
            ));
        }
        remaining.reverse();
        self.add_task(OperatorTask::Declare { remaining });
    }

    /// Drains an engine by a configuration change.
    pub(super) fn drain_engine(&mut self, engine: usize) {
        let target = &self.engines[engine];
        let spec = engine_spec(engine, target, true);
        let name = target.name.as_str();
        let drain = change(key(ResourceKind::Engine, name), spec, format!("drain-{name}"));
        self.add_task(OperatorTask::Declare { remaining: vec![drain] });
    }

    /// Starts a probed change of the output limit.
    pub(super) fn probe_change(&mut self) {
        let number = self.clients.tasks.len() as u64;
        let limit = number % PROBE_LIMIT_COUNT + 1;
        let change = ProbeChange { limit, revision: None };
        self.clients.probe_changes.insert(self.clients.tasks.len(), change);
        self.add_task(OperatorTask::Probe(ProbeTask {
            limit,
            accepted: None,
            in_force: None,
            remaining_gateways: (0..self.gateways.len()).collect(),
            calls: 0,
        }));
    }

    /// Makes a change and measures the time until it is in force at all gateways.
    pub fn measure_change_latency(&mut self) {
        self.probe_change();
        let task = self.clients.tasks.len() - 1;
        if let Some(OperatorTask::Probe(probe)) = self.clients.tasks.get_mut(task) {
            probe.remaining_gateways.clear();
        }
    }

    /// Returns the milliseconds from the acceptance of each change until it was in force.
    pub fn change_latencies_ms(&self) -> Vec<u64> {
        self.clients.change_latencies.iter().map(|time| time.as_millis() as u64).collect()
    }

    /// Applies `count` configuration changes in sequence.
    pub(super) fn apply_bulk_changes(&mut self, count: u32) {
        let name = |number: u32| format!("bulk-{}", number % 50);
        let spec = |number: u32| {
            ResourceSpec::Tenant(calicohoist_types::TenantSpec {
                default_program_tokens: u64::from(number) + 1,
                max_program_tokens: 1_000_000,
                max_calls: 100,
            })
        };
        let remaining = (0..count).map(|number| {
            let key = key(ResourceKind::Tenant, &name(number));
            change(key, spec(number), format!("bulk-{number}"))
        });
        self.add_task(OperatorTask::Declare { remaining: remaining.collect() });
    }

    /// Sends two changes of a resource based on the same version.
    pub(super) fn start_conflicting_writes(&mut self) {
        self.add_task(OperatorTask::ConflictingWrites { answers: Vec::new(), sent: false });
    }

    fn add_task(&mut self, task: OperatorTask) {
        let index = self.clients.tasks.len();
        self.clients.tasks.push(task);
        self.continue_operator_task(index);
    }

    /// Continues a task.
    pub(super) fn continue_operator_task(&mut self, index: usize) {
        match &mut self.clients.tasks[index] {
            OperatorTask::Declare { remaining } => match remaining.last().cloned() {
                Some(next) => {
                    let owner = StoreRequestOwner::Operator(index);
                    self.schedule_store_request(Duration::ZERO, owner, command(next), index);
                }
                None => self.clients.tasks[index] = OperatorTask::Done,
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
                self.schedule_store_request(
                    Duration::ZERO,
                    StoreRequestOwner::Operator(index),
                    request,
                    index,
                );
            }
            OperatorTask::ConflictingWrites { sent, .. } => {
                if !std::mem::replace(sent, true) {
                    self.send_conflicting_writes(index);
                }
            }
            OperatorTask::Done => {}
        }
    }

    fn send_conflicting_writes(&mut self, index: usize) {
        for writer in 0..2 {
            let spec = ResourceSpec::Tenant(calicohoist_types::TenantSpec {
                default_program_tokens: writer + 1,
                max_program_tokens: 1_000,
                max_calls: 10,
            });
            let key = key(ResourceKind::Tenant, &format!("race-{index}"));
            let mut conflicting = change(key, spec, format!("race-{index}-{writer}"));
            conflicting.expected = Some(Revision(0));
            let gateway = index + writer as usize;
            self.schedule_store_request(
                Duration::ZERO,
                StoreRequestOwner::Operator(index),
                command(conflicting),
                gateway,
            );
        }
    }

    /// Handles a reply of the store to a request of a task.
    pub(super) fn handle_operator_reply(&mut self, index: usize, reply: StoreReply) {
        let now = self.now;
        match (&mut self.clients.tasks[index], reply) {
            (OperatorTask::Declare { remaining }, _) => {
                let done = remaining.pop();
                let drained = done.and_then(drained_engine);
                if let Some(engine) = drained {
                    self.history.drains.push(crate::history::DrainEvent { engine, at: now });
                }
                self.continue_operator_task(index);
            }
            (OperatorTask::Probe(probe), StoreReply::Output(Output::Resource(output))) => {
                if let ResourceOutput::Stored(resource) = output {
                    probe.accepted = Some((resource.version, now));
                    if let Some(change) = self.clients.probe_changes.get_mut(&index) {
                        change.revision = Some(resource.version);
                    }
                }
                self.schedule_in(
                    POLL_INTERVAL,
                    SimEvent::ClientTimer(ClientTimer::Operator(index)),
                );
            }
            (OperatorTask::Probe(probe), StoreReply::FleetStatus(status)) => {
                let target_revision = probe.accepted.map_or(Revision(0), |(revision, _)| revision);
                if status.in_force >= target_revision && probe.in_force.is_none() {
                    let accepted = probe.accepted.map_or(now, |(_, at)| at);
                    self.clients.change_latencies.push(now.since(accepted));
                    probe.in_force = Some(now);
                }
                self.schedule_in(
                    POLL_INTERVAL,
                    SimEvent::ClientTimer(ClientTimer::Operator(index)),
                );
            }
            (
                OperatorTask::ConflictingWrites { answers, .. },
                StoreReply::Output(Output::Resource(output)),
            ) => {
                answers.push(matches!(output, ResourceOutput::Stored(_)));
                if answers.len() == 2 {
                    let accepted_writes = answers.iter().filter(|accepted| **accepted).count();
                    self.clients.tasks[index] = OperatorTask::Done;
                    self.history.races.push(accepted_writes as u32);
                }
            }
            _ => {}
        }
    }

    /// Sends a call to the next gateway; the length of its answer shows the applied limit.
    fn send_probe(&mut self, index: usize) {
        let OperatorTask::Probe(probe) = &mut self.clients.tasks[index] else {
            return;
        };
        probe.calls += 1;
        let gateway = probe.remaining_gateways.last().copied();
        let Some(gateway) = gateway.filter(|_| probe.calls < MAX_PROBE_CALLS) else {
            self.clients.tasks[index] = OperatorTask::Done;
            return;
        };
        let message = ChatMessage::new(Role::User, format!("probe {index} {}", probe.calls));
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

    /// Returns the limits that are valid once the change of a task is in force.
    fn valid_limits(&self, index: usize) -> Vec<u64> {
        let changes = &self.clients.probe_changes;
        let own_revision = changes.get(&index).and_then(|change| change.revision);
        let later = changes.values().filter(|change| {
            // A change whose reply is missing may have any revision.
            change.revision.is_none() || change.revision >= own_revision
        });
        later.map(|change| change.limit).collect()
    }

    /// Handles the end of a call of a probe.
    pub(super) fn handle_probe_end(&mut self, index: usize, event: Option<&CallerEvent>) {
        let valid = self.valid_limits(index);
        let OperatorTask::Probe(probe) = &mut self.clients.tasks[index] else {
            return;
        };
        let Some(CallerEvent::Finished(finish)) = event else {
            return self.schedule_in(
                POLL_INTERVAL * 25,
                SimEvent::ClientTimer(ClientTimer::Operator(index)),
            );
        };
        let Some(gateway) = probe.remaining_gateways.pop() else {
            return;
        };
        if let (Some((revision, accepted)), Some(in_force)) = (probe.accepted, probe.in_force) {
            // The limit of a later change is valid, that of an earlier one is not.
            let held = valid.contains(&finish.usage.completion_tokens);
            self.history.probes.push(ConfigProbe {
                revision: revision.0,
                gateway,
                accepted,
                in_force,
                held,
            });
        }
        self.continue_operator_task(index);
    }
}

fn drained_engine(change: ResourceCommand) -> Option<String> {
    match change.spec {
        Some(ResourceSpec::Engine(spec)) if spec.drain => Some(change.key.name),
        _ => None,
    }
}
