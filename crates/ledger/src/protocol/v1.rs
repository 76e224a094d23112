//! Messages of protocol version 1, used by builds without version negotiation, and conversions
//! from and to the latest version.
//!
//! Information that version 1 cannot represent is omitted or mapped to a safe equivalent, as
//! documented at each conversion.

use std::time::Duration;

use calicohoist_limiter::{PermitAnswer, PermitRequest};
use calicohoist_routing::{DrainedZones, HomeRegions, Incarnation, ReplicaList};
use calicohoist_scheduler::{Decision, PlacementRequest, PromptPart};
use serde::{Deserialize, Serialize};

use super::{
    LedgerRequest, LedgerResponse, ListDigest, RequestEnvelope, ResponseEnvelope, TermVersion,
    WatchRequest, WatchUpdate,
};
use crate::commands::{Reservation, ReserveTurn, SettleTurn, TurnId};
use crate::compression::CompressedBytes;

/// A request of version 1 with its number.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestEnvelopeV1 {
    number: u64,
    question: RequestV1,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum RequestV1 {
    Reserve {
        reserve: ReserveTurn,
        placement: Option<PlacementRequestV1>,
        permit: Option<PermitRequest>,
    },
    Permit(PermitRequest),
    Place {
        turn: TurnId,
        placement: PlacementRequestV1,
    },
    Settle(SettleTurn),
    Watch(WatchRequestV1),
    ReportFailure {
        replica: String,
    },
    FindLeader,
}

/// Placement request without home regions and limits for cold replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PlacementRequestV1 {
    service: String,
    zone: String,
    connected: Vec<String>,
    prompt: Vec<PromptPart>,
    memory_tokens: u64,
    left_ms: u64,
    finish_ms: Option<u64>,
    priority: u8,
    is_under_way: bool,
}

/// Watch request without cold replicas and drained zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WatchRequestV1 {
    gateway: String,
    configuration: u64,
    list: ListDigest,
    loads: Vec<(String, u32)>,
    failing: TermVersion,
}

/// A response of version 1 with the number of its request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseEnvelopeV1 {
    number: u64,
    answer: ResponseV1,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum ResponseV1 {
    Reserved {
        reservation: Reservation,
        #[serde(with = "serde_bytes")]
        history: Vec<u8>,
        decision: Option<DecisionV1>,
        is_under_way: bool,
        permit: Option<PermitAnswer>,
    },
    Permit(PermitAnswer),
    Placed(DecisionV1),
    Settled,
    Noted,
    Configuration {
        version: u64,
        document: CompressedBytes,
    },
    List {
        mark: ListDigest,
        list: ReplicaList,
    },
    News(WatchUpdateV1),
    Leads {
        machines: Vec<u32>,
    },
    NotLeader {
        leader: Option<u32>,
        machines: Vec<u32>,
    },
    Unavailable,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum DecisionV1 {
    Run(String),
    RunAnywhere,
    Wait,
    Refuse(Duration),
}

/// Watch update without cold replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WatchUpdateV1 {
    list_age_ms: Option<u64>,
    loads: Vec<u32>,
    loads_of: ListDigest,
    machines: Vec<u32>,
    failing: Option<(TermVersion, Vec<(String, u32)>)>,
}

impl From<RequestEnvelopeV1> for RequestEnvelope {
    fn from(RequestEnvelopeV1 { number, question }: RequestEnvelopeV1) -> Self {
        let question = match question {
            RequestV1::Reserve { reserve, placement, permit } => {
                LedgerRequest::Reserve { reserve, placement: placement.map(Into::into), permit }
            }
            RequestV1::Permit(permit) => LedgerRequest::Permit(permit),
            RequestV1::Place { turn, placement } => {
                LedgerRequest::Place { turn, placement: placement.into() }
            }
            RequestV1::Settle(settle) => LedgerRequest::Settle(settle),
            RequestV1::Watch(request) => LedgerRequest::Watch(request.into()),
            RequestV1::ReportFailure { replica } => LedgerRequest::ReportFailure { replica },
            RequestV1::FindLeader => LedgerRequest::FindLeader,
        };
        Self { number, question }
    }
}

/// Replica IDs are reduced to the identity, since version 1 has no incarnations.
impl From<RequestEnvelope> for RequestEnvelopeV1 {
    fn from(RequestEnvelope { number, question }: RequestEnvelope) -> Self {
        let question = match question {
            LedgerRequest::Reserve { reserve, placement, permit } => {
                RequestV1::Reserve { reserve, placement: placement.map(Into::into), permit }
            }
            LedgerRequest::Permit(permit) => RequestV1::Permit(permit),
            LedgerRequest::Place { turn, placement } => {
                RequestV1::Place { turn, placement: placement.into() }
            }
            LedgerRequest::Settle(mut settle) => {
                if let Some(run) = &mut settle.run {
                    strip_incarnation(&mut run.replica);
                }
                RequestV1::Settle(settle)
            }
            LedgerRequest::Watch(request) => RequestV1::Watch(request.into()),
            LedgerRequest::ReportFailure { mut replica } => {
                strip_incarnation(&mut replica);
                RequestV1::ReportFailure { replica }
            }
            LedgerRequest::FindLeader => RequestV1::FindLeader,
            LedgerRequest::ForVersion { request, .. } => {
                return Self::from(RequestEnvelope { number, question: *request });
            }
            LedgerRequest::WatchCrashes { watch, .. } => RequestV1::Watch(watch.into()),
        };
        Self { number, question }
    }
}

/// Gateways of version 1 restrict neither home regions nor load on cold replicas.
impl From<PlacementRequestV1> for PlacementRequest {
    fn from(request: PlacementRequestV1) -> Self {
        let PlacementRequestV1 {
            service,
            zone,
            connected,
            prompt,
            memory_tokens,
            left_ms,
            finish_ms,
            priority,
            is_under_way,
        } = request;
        Self {
            service,
            zone,
            connected,
            prompt,
            memory_tokens,
            left_ms,
            finish_ms,
            priority,
            is_under_way,
            homes: HomeRegions::anywhere(),
            cold: None,
            version: None,
        }
    }
}

/// Leaders of version 1 support neither home regions nor cold replicas nor software versions. The
/// gateway enforces these restrictions itself, whatever placement the leader returns.
impl From<PlacementRequest> for PlacementRequestV1 {
    fn from(request: PlacementRequest) -> Self {
        let PlacementRequest {
            service,
            zone,
            mut connected,
            prompt,
            memory_tokens,
            left_ms,
            finish_ms,
            priority,
            is_under_way,
            homes: _,
            cold: _,
            version: _,
        } = request;
        connected.iter_mut().for_each(strip_incarnation);
        Self {
            service,
            zone,
            connected,
            prompt,
            memory_tokens,
            left_ms,
            finish_ms,
            priority,
            is_under_way,
        }
    }
}

/// Gateways of version 1 have no version of cold replicas and drained zones.
impl From<WatchRequestV1> for WatchRequest {
    fn from(
        WatchRequestV1 { gateway, configuration, list, loads, failing }: WatchRequestV1,
    ) -> Self {
        let (cold, drained, crashes) = (TermVersion::default(), None, None);
        Self { gateway, configuration, list, loads, failing, cold, drained, crashes }
    }
}

impl From<WatchRequest> for WatchRequestV1 {
    fn from(request: WatchRequest) -> Self {
        let WatchRequest {
            gateway,
            configuration,
            list,
            mut loads,
            failing,
            cold: _,
            drained: _,
            crashes: _,
        } = request;
        loads.iter_mut().for_each(|(replica, _)| strip_incarnation(replica));
        Self { gateway, configuration, list, loads, failing }
    }
}

impl From<ResponseEnvelopeV1> for ResponseEnvelope {
    fn from(ResponseEnvelopeV1 { number, answer }: ResponseEnvelopeV1) -> Self {
        let answer = match answer {
            ResponseV1::Reserved { reservation, history, decision, is_under_way, permit } => {
                let decision = decision.map(Into::into);
                LedgerResponse::Reserved { reservation, history, decision, is_under_way, permit }
            }
            ResponseV1::Permit(permit) => LedgerResponse::Permit(permit),
            ResponseV1::Placed(decision) => LedgerResponse::Placed(decision.into()),
            ResponseV1::Settled => LedgerResponse::Settled,
            ResponseV1::Noted => LedgerResponse::Noted,
            ResponseV1::Configuration { version, document } => {
                LedgerResponse::Configuration { version, document }
            }
            ResponseV1::List { mark, list } => LedgerResponse::List { mark, list },
            ResponseV1::News(update) => LedgerResponse::News(update.into()),
            ResponseV1::Leads { machines } => LedgerResponse::Leads { machines },
            ResponseV1::NotLeader { leader, machines } => {
                LedgerResponse::NotLeader { leader, machines }
            }
            ResponseV1::Unavailable => LedgerResponse::Unavailable,
        };
        Self { number, answer }
    }
}

impl From<ResponseEnvelope> for ResponseEnvelopeV1 {
    fn from(ResponseEnvelope { number, answer }: ResponseEnvelope) -> Self {
        let answer = match answer {
            LedgerResponse::Reserved { reservation, history, decision, is_under_way, permit } => {
                let decision = decision.map(Into::into);
                ResponseV1::Reserved { reservation, history, decision, is_under_way, permit }
            }
            LedgerResponse::Permit(permit) => ResponseV1::Permit(permit),
            LedgerResponse::Placed(decision) => ResponseV1::Placed(decision.into()),
            LedgerResponse::Settled => ResponseV1::Settled,
            LedgerResponse::Noted => ResponseV1::Noted,
            LedgerResponse::Configuration { version, document } => {
                ResponseV1::Configuration { version, document }
            }
            LedgerResponse::List { mark, list } => ResponseV1::List { mark, list },
            LedgerResponse::News(update) => ResponseV1::News(update.into()),
            LedgerResponse::Leads { machines } => ResponseV1::Leads { machines },
            LedgerResponse::NotLeader { leader, machines } => {
                ResponseV1::NotLeader { leader, machines }
            }
            // Version 1 gateways retry and then receive drained zones as part of the replica list.
            // The answers added in later versions are not sent to them.
            LedgerResponse::Unavailable
            | LedgerResponse::DrainedZones(_)
            | LedgerResponse::PackedList { .. }
            | LedgerResponse::ListChanges { .. }
            | LedgerResponse::Update(_)
            | LedgerResponse::VersionedList { .. }
            | LedgerResponse::VersionedChanges { .. }
            | LedgerResponse::Crashes { .. } => ResponseV1::Unavailable,
        };
        Self { number, answer }
    }
}

impl From<DecisionV1> for Decision {
    fn from(decision: DecisionV1) -> Self {
        match decision {
            DecisionV1::Run(replica) => Self::Run(replica),
            DecisionV1::RunAnywhere => Self::RunAnywhere,
            DecisionV1::Wait => Self::Wait,
            DecisionV1::Refuse(retry_after) => Self::Refuse(retry_after),
        }
    }
}

impl From<Decision> for DecisionV1 {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Run(mut replica) | Decision::RunCold { mut replica, .. } => {
                strip_incarnation(&mut replica);
                Self::Run(replica)
            }
            Decision::RunAnywhere => Self::RunAnywhere,
            Decision::Wait => Self::Wait,
            Decision::Refuse(retry_after) => Self::Refuse(retry_after),
        }
    }
}

impl From<WatchUpdateV1> for WatchUpdate {
    fn from(
        WatchUpdateV1 { list_age_ms, loads, loads_of, machines, failing }: WatchUpdateV1,
    ) -> Self {
        Self { list_age_ms, loads, loads_of, machines, failing, cold: None }
    }
}

impl From<WatchUpdate> for WatchUpdateV1 {
    fn from(update: WatchUpdate) -> Self {
        let WatchUpdate { list_age_ms, loads, loads_of, machines, mut failing, cold: _ } = update;
        let replicas = failing.iter_mut().flat_map(|(_, replicas)| replicas);
        replicas.for_each(|(replica, _)| strip_incarnation(replica));
        Self { list_age_ms, loads, loads_of, machines, failing }
    }
}

impl LedgerRequest {
    /// Returns the response to a request that a leader of version 1 does not support. No zone can
    /// be drained while the leader runs version 1.
    pub fn local_response_for_v1(&self) -> Option<LedgerResponse> {
        match self {
            Self::Watch(WatchRequest { drained: None, .. }) => {
                Some(LedgerResponse::DrainedZones(DrainedZones::none()))
            }
            _ => None,
        }
    }
}

/// Removes the incarnation from a replica ID, which leaves its identity.
fn strip_incarnation(replica: &mut String) {
    let identity_len = Incarnation::identity_of(replica).len();
    replica.truncate(identity_len);
}
