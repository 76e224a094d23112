//! HTTP endpoint for operators.
//!
//! Every machine accepts requests. A follower redirects the caller to the leader. A machine that
//! knows no leader, or does not know the outcome of a change, answers that it is unavailable.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, RequestContext, accept};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{Findings, Zone};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::LOCATION;
use hyper::{Method, Request as HttpRequest, Response as HttpResponse, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::bodies::{BodyError, BodyMemory, ReceivedBody};
use super::list::DiscoverySnapshot;
use super::peers::{KnownPeers, VersionSkew};
use super::replica::{GroupStatus, ReplicaHandle, Request, Response};
use super::{LedgerSettings, machine_address};
use crate::commands::{Command, Output, RetiringOutcome};
use crate::state::VersionedConfiguration;

const CONNECTION_SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: Duration::from_secs(5),
    max_head_bytes: 64 << 10,
    stall_timeout: Duration::from_secs(10),
};
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Maximum age of a list of replicas from which a zone may be considered unknown. It covers the
/// read interval and the duration of a read.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_000);

/// A parsed operator request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Activate a configuration.
    PutConfiguration {
        /// Version of the configuration.
        version: u64,
    },
    /// Read the active configuration.
    GetConfiguration,
    /// Retire a machine.
    Retire {
        /// Name of the machine.
        machine: String,
    },
    /// Read whether a retiring machine is empty.
    GetRetiring {
        /// Name of the machine.
        machine: String,
    },
    /// Stop sending requests to the replicas of a zone.
    DrainZone {
        /// The zone.
        zone: Zone,
    },
    /// End the draining of a zone.
    RestoreZone {
        /// The zone.
        zone: Zone,
    },
}

impl ControlCall {
    /// Returns the zone to drain or restore, if any.
    fn zone(&self) -> Option<&Zone> {
        match self {
            Self::DrainZone { zone } | Self::RestoreZone { zone } => Some(zone),
            _ => None,
        }
    }
}

/// Why a request could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The path does not exist.
    Unknown,
    /// The path exists, but not with this method.
    WrongMethod,
    /// The body is not acceptable.
    Invalid(Findings),
}

/// Outcome of an operator request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The change was applied.
    Done,
    /// The active configuration as sent by the operator.
    Configuration(Bytes),
    /// State of a retiring machine.
    Retiring {
        /// Whether it no longer holds a replica.
        is_empty: bool,
    },
    /// The path, machine or zone does not exist.
    NotFound,
    /// The path exists, but not with this method.
    WrongMethod,
    /// Too few machines would remain.
    TooFewLeft,
    /// The body is not acceptable.
    Invalid(Findings),
    /// There is no leader, or the outcome is unknown.
    Unavailable,
}

/// Parses operator requests and renders their outcomes.
pub trait ControlCodec: Send + Sync {
    /// Parses a request.
    ///
    /// # Errors
    /// See [`CallError`].
    fn parse(&self, method: &Method, path: &str, body: &[u8]) -> Result<ControlCall, CallError>;

    /// Returns the HTTP status and JSON body for an outcome.
    fn render(&self, outcome: &ControlOutcome) -> (StatusCode, Vec<u8>);
}

/// Whether a zone exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneExistence {
    Known,
    /// The zone does not exist according to a recent list of replicas.
    Unknown,
    /// There is no recent list of replicas to decide from.
    Uncertain,
}

/// Handles operator requests.
#[derive(Clone)]
pub struct Control {
    /// Settings of this machine.
    pub settings: Arc<LedgerSettings>,
    /// Handle of the replica thread.
    pub replica: ReplicaHandle,
    /// Status of the Raft group.
    pub group_status: watch::Receiver<GroupStatus>,
    /// Replicas found by discovery.
    pub list: watch::Receiver<DiscoverySnapshot>,
    /// The other ledger machines.
    pub peers: KnownPeers,
    /// Memory for the bodies of requests.
    pub bodies: BodyMemory,
    /// Closes the connections of operators.
    pub drain: Drain,
}

/// Serves operators until the drain closes their connections.
pub async fn serve(listener: TcpListener, control: Control) {
    let drain = control.drain.clone();
    let handler = move |request, context| {
        let control = control.clone();
        async move { control.handle(request, context).await }
    };
    accept(listener, drain, || CONNECTION_SETTINGS, handler).await;
}

impl Control {
    async fn handle(
        &self,
        request: HttpRequest<Incoming>,
        context: RequestContext,
    ) -> HttpResponse<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let received = match self.receive(body).await {
            Ok(received) => received,
            Err(error) => return self.refuse(&head.method, &path, error),
        };
        // The memory stays taken until the call is answered: the replica may still hold the content.
        let ReceivedBody { bytes: body, memory: _memory } = received;
        let body_bytes = body.len();
        context.body_received();
        let call = match self.settings.control.parse(&head.method, &path, &body) {
            Ok(call) => call,
            Err(CallError::Unknown) => return self.render(&ControlOutcome::NotFound),
            Err(CallError::WrongMethod) => return self.render(&ControlOutcome::WrongMethod),
            Err(CallError::Invalid(findings)) => {
                emit!(Event::ChangeRefused; call = format!("{} {path}", head.method), findings = findings);
                return self.render(&ControlOutcome::Invalid(findings));
            }
        };
        let response = self.perform_in_time(&call, body, &context).await;
        emit!(
            Event::ControlCall;
            call = format!("{call:?}"),
            bytes = body_bytes,
            outcome = summarize(&response),
        );
        match response {
            Response::NotLeader(leader) => self.redirect(leader, &path),
            response => self.render(&to_outcome(response)),
        }
    }

    /// Receives a body until the machine has to answer its calls.
    async fn receive(&self, body: Incoming) -> Result<ReceivedBody, BodyError> {
        tokio::select! {
            biased;
            received = self.bodies.receive(body) => received,
            () = self.drain.answers_due() => Err(BodyError::Stopping),
        }
    }

    /// Refuses a request whose body was not received.
    fn refuse(&self, method: &Method, path: &str, error: BodyError) -> HttpResponse<Full<Bytes>> {
        emit!(Event::ChangeRefused; call = format!("{method} {path}"), findings = error);
        match error {
            BodyError::NoMemory | BodyError::Stopping => self.render(&ControlOutcome::Unavailable),
            BodyError::TooLong | BodyError::Incomplete | BodyError::TimedOut => {
                json_response(StatusCode::BAD_REQUEST, Vec::new())
            }
        }
    }

    /// Performs a call in the time that is left for it. One that arrives too late is not started,
    /// and is redirected to the leader if that is another machine.
    async fn perform_in_time(
        &self,
        call: &ControlCall,
        body: Vec<u8>,
        context: &RequestContext,
    ) -> Response {
        if self.drain.answer_by().is_some_and(|answer_by| answer_by <= Instant::now()) {
            return Response::NotLeader(None);
        }
        tokio::select! {
            response = self.perform(call, body, context) => response,
            () = tokio::time::sleep(CALL_TIMEOUT) => Response::Lost,
            () = self.drain.answers_due() => Response::Lost,
        }
    }

    async fn perform(
        &self,
        call: &ControlCall,
        body: Vec<u8>,
        context: &RequestContext,
    ) -> Response {
        if let Some(zone) = call.zone() {
            // A caller that has disconnected may already have requested the opposite change from
            // another machine.
            context.confirm_peer().await;
            if self.zone_existence(zone) != ZoneExistence::Known {
                return self.reject_zone(zone).await;
            }
            if let Some(skew) = self.version_skew() {
                return Response::FleetLags(skew);
            }
        }
        self.replica.call(to_request(call.clone(), body)).await
    }

    /// On the leader, returns a member that may not support zone drains. A machine running an
    /// older build would not apply the command to its state.
    fn version_skew(&self) -> Option<VersionSkew> {
        let group_status = self.group_status.borrow();
        let own = super::machine_number(self.settings.ip);
        let others = group_status.machines.iter().copied().filter(|machine| *machine != own);
        group_status.is_leader.then(|| self.peers.version_skew(others)).flatten()
    }

    /// Rejects a change of a zone that is not known to exist, after confirming the leadership.
    async fn reject_zone(&self, zone: &Zone) -> Response {
        match self.replica.call(Request::ConfirmLeadership).await {
            // Checked again, because only now are the drained zones known to be up to date.
            Response::Leads(_) if self.zone_existence(zone) == ZoneExistence::Unknown => {
                Response::UnknownZone
            }
            Response::Leads(_) => Response::Overdue,
            response => response,
        }
    }

    /// Looks a zone up in the topology, the drained zones and the list of replicas.
    fn zone_existence(&self, zone: &Zone) -> ZoneExistence {
        let group_status = self.group_status.borrow();
        let discovery = self.list.borrow();
        let mut replicas = discovery.list.replicas.iter();
        if self.settings.topology.contains(zone)
            || group_status.drained.contains(zone.as_str())
            || replicas.any(|replica| replica.zone == zone.as_str())
        {
            return ZoneExistence::Known;
        }
        let is_current = group_status.is_leader && discovery.term == group_status.term;
        let age = discovery.read_at.filter(|_| is_current).map(|at| at.elapsed());
        match age {
            Some(age) if age <= MAX_LIST_AGE => ZoneExistence::Unknown,
            _ => ZoneExistence::Uncertain,
        }
    }

    fn redirect(&self, leader: Option<u32>, path: &str) -> HttpResponse<Full<Bytes>> {
        let known = leader.or_else(|| self.group_status.borrow().leader);
        let own = super::machine_number(self.settings.ip);
        let Some(leader) = known.filter(|leader| *leader != own) else {
            return self.render(&ControlOutcome::Unavailable);
        };
        let address = machine_address(leader, self.settings.ports.control);
        let response = HttpResponse::builder()
            .status(StatusCode::TEMPORARY_REDIRECT)
            .header(LOCATION, format!("http://{address}{path}"));
        response.body(Full::default()).unwrap_or_default()
    }

    fn render(&self, outcome: &ControlOutcome) -> HttpResponse<Full<Bytes>> {
        let (status, body) = self.settings.control.render(outcome);
        json_response(status, body)
    }
}

fn json_response(status: StatusCode, body: Vec<u8>) -> HttpResponse<Full<Bytes>> {
    let response =
        HttpResponse::builder().status(status).header("content-type", "application/json");
    response.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

fn to_request(call: ControlCall, body: Vec<u8>) -> Request {
    match call {
        ControlCall::PutConfiguration { version } => {
            Request::Change(Command::PutConfiguration { version, document: body })
        }
        ControlCall::GetConfiguration => Request::ReadConfiguration { newer_than: 0 },
        ControlCall::Retire { machine } => Request::Retire(machine),
        ControlCall::GetRetiring { machine } => Request::ReadRetiring(machine),
        ControlCall::DrainZone { zone } => Request::Change(Command::DrainZone { zone }),
        ControlCall::RestoreZone { zone } => Request::Change(Command::RestoreZone { zone }),
    }
}

fn to_outcome(response: Response) -> ControlOutcome {
    match response {
        Response::Changed(Output::Configuration { .. } | Output::DrainedZones { .. }) => {
            ControlOutcome::Done
        }
        Response::UnknownZone => ControlOutcome::NotFound,
        Response::Configuration(Some(configuration)) => read_document(&configuration),
        // No configuration has been activated yet.
        Response::Configuration(None) => ControlOutcome::Unavailable,
        Response::Retiring(RetiringOutcome::Accepted) => ControlOutcome::Done,
        Response::Retiring(RetiringOutcome::Unknown) => ControlOutcome::NotFound,
        Response::Retiring(RetiringOutcome::TooFewLeft) => ControlOutcome::TooFewLeft,
        Response::Retired(Some(is_empty)) => ControlOutcome::Retiring { is_empty },
        Response::Retired(None) => ControlOutcome::NotFound,
        _ => ControlOutcome::Unavailable,
    }
}

fn read_document(configuration: &VersionedConfiguration) -> ControlOutcome {
    match configuration.document.bytes() {
        Ok(document) => ControlOutcome::Configuration(document),
        Err(error) => {
            let version = configuration.version;
            emit!(Event::ChangeRefused; call = format!("read configuration {version}"), findings = error);
            ControlOutcome::Unavailable
        }
    }
}

fn summarize(response: &Response) -> String {
    match response {
        Response::Configuration(configuration) => {
            format!(
                "configuration {}",
                configuration.as_ref().map_or(0, |configuration| configuration.version)
            )
        }
        other => format!("{other:?}"),
    }
}
