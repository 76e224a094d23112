//! Replies of a store that permits everything, to a gateway of one service.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use calicohoist_gateway::GatewaySettings;
use calicohoist_gateway::core::message::{CallPayload, CallRequest};
use calicohoist_store::commands::program::{
    Admission, BeginCall, BeginOutcome, ProgramCommand, ProgramOutput,
};
use calicohoist_store::queries::resource::{ResourceUpdate, UpdateContent};
use calicohoist_store::{
    Command, HeartbeatReply, LoadsUpdate, NodeRef, Output, StoreReply, StoreRequest,
};
use calicohoist_types::{
    AttemptId, CallId, HistoryDigest, IdempotencyKey, Incarnation, NodeId, Resource, ResourceKey,
    ResourceKind, ResourceSpec, Revision, ServiceId, ServiceSpec, TenantId, Zone,
};

const REPLICAS: u16 = 10;
const SERVICE: &str = "tools";

/// Settings of a gateway without a platform.
pub fn settings() -> GatewaySettings {
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

/// Returns the name of a replica.
pub fn replica_name(number: u16) -> String {
    format!("replica-{number}")
}

/// Returns the address of a replica.
pub fn replica_address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + number))
}

fn replica(number: u16) -> Resource {
    let spec = ServiceSpec {
        service: SERVICE.to_owned(),
        address: replica_address(number),
        zone: Zone::new("a"),
        slots: 1,
        drain: false,
    };
    Resource {
        key: ResourceKey { kind: ResourceKind::Service, name: replica_name(number) },
        version: Revision(1),
        spec: ResourceSpec::Service(spec),
    }
}

fn heartbeat_reply(lease: Duration) -> HeartbeatReply {
    HeartbeatReply {
        lease,
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

/// Returns a call of the service.
pub fn call() -> CallRequest {
    CallRequest {
        tenant: TenantId::new("tenant"),
        program: None,
        sequence: None,
        key: Some(IdempotencyKey::new("key")),
        repeatable: true,
        payload: CallPayload::Service {
            service: ServiceId::new(SERVICE),
            input: "input".to_owned(),
        },
    }
}

/// Replies as a store that permits everything, grants leases of this length, and admits calls with this
/// attempt.
pub fn reply_to(request: StoreRequest, lease: Duration, attempt: u32) -> StoreReply {
    let command = match request {
        StoreRequest::Heartbeat(_) => {
            return StoreReply::Heartbeat(Box::new(heartbeat_reply(lease)));
        }
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
