//! Calls under which back ends are lost.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use calicohoist_gateway::core::message::{
    BackendEvent, BackendFailure, CallPayload, CallRequest, CallerEvent,
};
use calicohoist_gateway::{Action, Gateway, GatewaySettings, Input};
use calicohoist_store::commands::program::{
    Admission, BeginCall, BeginOutcome, ProgramCommand, ProgramOutput,
};
use calicohoist_store::queries::resource::{ResourceUpdate, UpdateContent};
use calicohoist_store::{
    Command, HeartbeatReply, LoadsUpdate, NodeRef, Output, StoreReply, StoreRequest,
};
use calicohoist_types::{
    AttemptId, CallId, HistoryDigest, IdempotencyKey, Incarnation, Moment, NodeId, Resource,
    ResourceKey, ResourceKind, ResourceSpec, Revision, ServiceId, ServiceSpec, TenantId, Zone,
};

/// Number of back ends that may be lost under one call.
const MAX_LOST: usize = 3;
const REPLICAS: u16 = 10;
const SERVICE: &str = "tools";
const TICK: Duration = Duration::from_millis(10);
/// Longer than all backoffs of a call.
const CALL_TIME: Duration = Duration::from_secs(20);

fn settings() -> GatewaySettings {
    GatewaySettings {
        node: NodeRef { node: NodeId::new("gateway-0"), incarnation: Incarnation(1) },
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        zone: Zone::new("a"),
        store_machines: vec![1],
        program_groups: 1,
        queue_timeout: Duration::from_secs(15),
        gap_timeout: Duration::from_secs(1),
        stall_timeout: Duration::from_secs(3),
        duplicate_timeout: Duration::from_secs(15),
        max_calls: 10,
        max_waiting_per_engine: 10,
        max_attempts: 8,
        weights: Default::default(),
        has_platform: false,
        seed: 1,
    }
}

fn replica(number: u16) -> Resource {
    let spec = ServiceSpec {
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + number)),
        zone: Zone::new("a"),
        slots: 1,
        drain: false,
    };
    Resource {
        key: ResourceKey { kind: ResourceKind::Service, name: format!("replica-{number}") },
        version: Revision(1),
        spec: ResourceSpec::Service(spec),
    }
}

fn heartbeat_reply() -> HeartbeatReply {
    HeartbeatReply {
        lease: Duration::from_secs(60),
        nodes_version: 0,
        nodes: None,
        nodes_complete: true,
        loads: LoadsUpdate { version: 0, is_whole: true, changed: Vec::new(), gone: Vec::new() },
        update: ResourceUpdate {
            revision: Revision(1),
            content: UpdateContent::Whole((0..REPLICAS).map(replica).collect()),
        },
        in_force: Revision(1),
    }
}

fn admit(begin: BeginCall, number: u32) -> Admission {
    let call = CallId { program: begin.program.clone(), sequence: 1 };
    Admission {
        attempt: AttemptId { call, number },
        target: begin.target,
        repeatable: begin.repeatable,
        prompt: begin.messages,
        prompt_tokens: 0,
        digest: HistoryDigest::empty(&begin.program),
        max_tokens: begin.max_tokens,
        holdings: Vec::new(),
        attained_tokens: 0,
        previous: None,
    }
}

/// Replies as a store that permits everything, and admits calls with this attempt.
fn reply_to(request: StoreRequest, attempt: u32) -> StoreReply {
    let command = match request {
        StoreRequest::Heartbeat(_) => return StoreReply::Heartbeat(Box::new(heartbeat_reply())),
        StoreRequest::Command(_, Command::Program(command)) => command,
        _ => return StoreReply::Unavailable,
    };
    let output = match command {
        ProgramCommand::Begin(begin) => {
            ProgramOutput::Begin(BeginOutcome::Admitted(Box::new(admit(*begin, attempt))))
        }
        ProgramCommand::Retry { attempt, .. } => {
            ProgramOutput::Retry(AttemptId { number: attempt.number + 1, ..attempt })
        }
        _ => ProgramOutput::Done,
    };
    StoreReply::Output(Output::Program(output))
}

/// A gateway with a store, and replicas that fail each attempt.
struct Fleet {
    gateway: Gateway,
    now: Moment,
    failure: BackendFailure,
    /// Number of the attempt with which calls are admitted.
    first_attempt: u32,
    /// Replicas that received the call.
    sent_to: BTreeSet<SocketAddr>,
    has_failed: bool,
}

impl Fleet {
    fn new(failure: BackendFailure) -> Self {
        let now = Moment::ZERO + TICK;
        let gateway = Gateway::new(settings(), now);
        Self {
            gateway,
            now,
            failure,
            first_attempt: 1,
            sent_to: BTreeSet::new(),
            has_failed: false,
        }
    }

    fn apply(&mut self, mut actions: Vec<Action>) {
        while let Some(action) = actions.pop() {
            let input = match action {
                Action::ToStore { id, request, .. } => {
                    Input::StoreReply { id, reply: reply_to(*request, self.first_attempt) }
                }
                Action::RunOnService(task) => {
                    self.sent_to.insert(task.address);
                    Input::Backend(task.attempt, BackendEvent::Failed(self.failure))
                }
                Action::ToCaller(_, event) => {
                    self.has_failed |= matches!(event, CallerEvent::Failed(_));
                    continue;
                }
                _ => continue,
            };
            actions.extend(self.gateway.step(self.now, input));
        }
    }

    fn run_call(&mut self) {
        let actions = self.gateway.tick(self.now);
        self.apply(actions);
        let request = CallRequest {
            tenant: TenantId::new("tenant"),
            program: None,
            sequence: None,
            key: Some(IdempotencyKey::new("key")),
            repeatable: true,
            payload: CallPayload::Service {
                service: ServiceId::new(SERVICE),
                input: "fatal".to_owned(),
            },
        };
        let actions = self.gateway.step(self.now, Input::Call(1, Box::new(request)));
        self.apply(actions);
        let end = self.now + CALL_TIME;
        while self.now < end {
            self.now = self.now + TICK;
            let actions = self.gateway.tick(self.now);
            self.apply(actions);
        }
    }
}

#[test]
fn call_is_not_sent_to_a_fourth_back_end_after_three_were_lost_under_it() {
    let mut fleet = Fleet::new(BackendFailure::Broken);
    fleet.run_call();
    assert_eq!((fleet.sent_to.len(), fleet.has_failed), (MAX_LOST, true));
}

#[test]
fn attempts_of_a_gateway_that_was_lost_count() {
    let mut fleet = Fleet { first_attempt: 3, ..Fleet::new(BackendFailure::Broken) };
    fleet.run_call();
    assert_eq!((fleet.sent_to.len(), fleet.has_failed), (MAX_LOST - 2, true));
}

#[test]
fn attempts_that_did_not_start_are_not_counted_as_lost() {
    let mut fleet = Fleet::new(BackendFailure::NotStarted);
    fleet.run_call();
    assert!(fleet.sent_to.len() > MAX_LOST, "{:?}", fleet.sent_to);
}
