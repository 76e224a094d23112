//! Operators' calls.
//!
//! Any machine takes them. One that does not lead sends the caller on to the leader;
//! one that knows no leader, or cannot be certain of the outcome, says so.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{Findings, Zone};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::LOCATION;
use hyper::service::service_fn;
use hyper::{Method, Request as HttpRequest, Response as HttpResponse, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::list::Reading;
use super::peers::{FleetLag, KnownPeers};
use super::replica::{ReplicaHandle, Request, Response, Standing};
use super::{LedgerSettings, machine_address};
use crate::commands::{Command, Output, RetiringOutcome};

const MAX_BODY_BYTES: usize = 16 << 20;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Operators give up on a call after about a second and ask elsewhere.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Age of the list of replicas up to which a zone that it does not show counts as unknown: a
/// leader reads it every 700 ms, and a reading takes up to a second.
const LIST_FRESH: Duration = Duration::from_millis(2_000);

/// A call of an operator, understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Put a configuration in force.
    PutConfiguration {
        /// Its version.
        version: u64,
    },
    /// Read the configuration in force.
    GetConfiguration,
    /// Empty a machine.
    Retire {
        /// Its name.
        machine: String,
    },
    /// Whether a machine is empty.
    GetRetiring {
        /// Its name.
        machine: String,
    },
    /// Send nothing more to the replicas of a zone.
    DrainZone {
        /// The zone.
        zone: Zone,
    },
    /// Take a drained zone into use again.
    RestoreZone {
        /// The zone.
        zone: Zone,
    },
}

impl ControlCall {
    /// The zone that it is about.
    fn zone(&self) -> Option<&Zone> {
        match self {
            Self::DrainZone { zone } | Self::RestoreZone { zone } => Some(zone),
            _ => None,
        }
    }
}

/// Why a call was not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No such call.
    Unknown,
    /// The path exists, but not with this method.
    WrongMethod,
    /// The body is not acceptable.
    Invalid(Findings),
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlOutcome {
    /// It is done.
    Done,
    /// The configuration in force, as it was sent.
    Configuration(Bytes),
    /// Whether the machine is empty.
    Retiring {
        /// It is.
        is_empty: bool,
    },
    /// There is no such thing.
    NotFound,
    /// The path exists, but not with this method.
    WrongMethod,
    /// It would leave too few machines.
    TooFewLeft,
    /// The body is not acceptable.
    Invalid(Findings),
    /// Nobody can be certain now.
    Unavailable,
}

/// How operators speak.
pub trait ControlCodec: Send + Sync {
    /// Understands a call.
    ///
    /// # Errors
    /// See [`CallError`].
    fn parse(&self, method: &Method, path: &str, body: &[u8]) -> Result<ControlCall, CallError>;

    /// Status and JSON body of an outcome.
    fn render(&self, outcome: &ControlOutcome) -> (StatusCode, Vec<u8>);
}

/// Whether a zone exists, as far as this machine can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneJudgement {
    Known,
    /// The newest list of replicas does not show it either.
    Unknown,
    /// Replicas may lie there: this machine has no fresh list.
    Uncertain,
}

/// Tells whether a caller is still there. The connection belongs to the library that serves it, so
/// this is a second descriptor of the same socket.
struct CallerWatch(std::net::TcpStream);

impl CallerWatch {
    fn of(stream: TcpStream) -> std::io::Result<(TcpStream, Self)> {
        let stream = stream.into_std()?;
        let watched = Self(stream.try_clone()?);
        Ok((TcpStream::from_std(stream)?, watched))
    }

    /// Whether the caller has closed the connection.
    fn has_left(&self) -> bool {
        match self.0.peek(&mut [0]) {
            Ok(read) => read == 0,
            // The socket is non-blocking; any other error is a broken connection.
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// What operators' calls are answered from.
#[derive(Clone)]
pub struct Control {
    /// Settings of this machine.
    pub settings: Arc<LedgerSettings>,
    /// The replicated log.
    pub replica: ReplicaHandle,
    /// What is known of the group.
    pub standing: watch::Receiver<Standing>,
    /// The list of replicas.
    pub list: watch::Receiver<Reading>,
    /// The other ledger machines.
    pub peers: KnownPeers,
}

/// Takes connections of operators.
pub async fn accept(listener: TcpListener, control: Control) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, control.clone()));
        }
    }
}

async fn serve(stream: TcpStream, control: Control) {
    let Ok((stream, watched)) = CallerWatch::of(stream) else {
        // No descriptor is left to watch it with; the operator asks another machine.
        return;
    };
    let watched = Arc::new(watched);
    let service = service_fn(move |request| {
        let (control, watched) = (control.clone(), Arc::clone(&watched));
        async move { Ok::<_, Infallible>(control.handle(request, &watched).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    // An operator that goes away is no event of ours.
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

impl Control {
    async fn handle(
        &self,
        request: HttpRequest<Incoming>,
        caller: &CallerWatch,
    ) -> HttpResponse<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
            return plain(StatusCode::BAD_REQUEST, Vec::new());
        };
        let body = body.to_bytes();
        let call = match self.settings.control.parse(&head.method, &path, &body) {
            Ok(call) => call,
            Err(CallError::Unknown) => return self.render(&ControlOutcome::NotFound),
            Err(CallError::WrongMethod) => return self.render(&ControlOutcome::WrongMethod),
            Err(CallError::Invalid(findings)) => {
                emit!(Event::ChangeRefused; call = format!("{} {path}", head.method), findings = findings);
                return self.render(&ControlOutcome::Invalid(findings));
            }
        };
        let response = tokio::time::timeout(PATIENCE, self.perform(&call, &body, caller)).await;
        let response = response.unwrap_or(Response::Lost);
        emit!(
            Event::ControlCall;
            call = format!("{call:?}"),
            bytes = body.len(),
            outcome = summary(&response),
        );
        match response {
            Response::NotLeader(leader) => self.redirect(leader, &path),
            response => self.render(&to_outcome(response)),
        }
    }

    async fn perform(&self, call: &ControlCall, body: &Bytes, caller: &CallerWatch) -> Response {
        if let Some(zone) = call.zone() {
            // A caller that has closed its connection may have asked another machine since, and
            // withdrawn the order there. The library drops a call under way when its caller
            // closes, but it begins a call before it reads a close that came along with it.
            if caller.has_left() {
                return Response::Overdue;
            }
            if self.judge_zone(zone) != ZoneJudgement::Known {
                return self.refuse_zone(zone).await;
            }
            if let Some(lag) = self.fleet_lag() {
                return Response::FleetLags(lag);
            }
        }
        self.replica.call(to_request(call.clone(), body)).await
    }

    /// What keeps the ledger from draining zones, as far as the leader knows: a machine of an older
    /// build would leave the order out of its state.
    fn fleet_lag(&self) -> Option<FleetLag> {
        let standing = self.standing.borrow();
        let own = super::machine_number(self.settings.ip);
        let others = standing.machines.iter().copied().filter(|machine| *machine != own);
        standing.is_leader.then(|| self.peers.lag(others)).flatten()
    }

    /// Answers an order for a zone that this machine does not know, without proposing it.
    async fn refuse_zone(&self, zone: &Zone) -> Response {
        match self.replica.call(Request::ConfirmLeadership).await {
            // Looked up again: only now are the drained zones known here certain to be the newest.
            Response::Leads(_) if self.judge_zone(zone) == ZoneJudgement::Unknown => {
                Response::UnknownZone
            }
            Response::Leads(_) => Response::Overdue,
            response => response,
        }
    }

    /// Whether a zone exists: it is named in the settings, some listed replica lies there, or
    /// it is drained.
    fn judge_zone(&self, zone: &Zone) -> ZoneJudgement {
        let standing = self.standing.borrow();
        let reading = self.list.borrow();
        let mut replicas = reading.list.replicas.iter();
        if self.settings.topology.contains(zone)
            || standing.drained.contains(zone.as_str())
            || replicas.any(|replica| replica.zone == zone.as_str())
        {
            return ZoneJudgement::Known;
        }
        let is_current = standing.is_leader && reading.term == standing.term;
        let age = reading.read_at.filter(|_| is_current).map(|at| at.elapsed());
        match age {
            Some(age) if age <= LIST_FRESH => ZoneJudgement::Unknown,
            _ => ZoneJudgement::Uncertain,
        }
    }

    fn redirect(&self, leader: Option<u32>, path: &str) -> HttpResponse<Full<Bytes>> {
        let known = leader.or_else(|| self.standing.borrow().leader);
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
        plain(status, body)
    }
}

fn plain(status: StatusCode, body: Vec<u8>) -> HttpResponse<Full<Bytes>> {
    let response =
        HttpResponse::builder().status(status).header("content-type", "application/json");
    response.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

fn to_request(call: ControlCall, body: &Bytes) -> Request {
    match call {
        ControlCall::PutConfiguration { version } => {
            Request::Change(Command::PutConfiguration { version, document: body.to_vec() })
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
        Response::Configuration(Some(held)) => ControlOutcome::Configuration(held.document),
        // Before the first configuration nothing can be shown.
        Response::Configuration(None) => ControlOutcome::Unavailable,
        Response::Retiring(RetiringOutcome::Accepted) => ControlOutcome::Done,
        Response::Retiring(RetiringOutcome::Unknown) => ControlOutcome::NotFound,
        Response::Retiring(RetiringOutcome::TooFewLeft) => ControlOutcome::TooFewLeft,
        Response::Retired(Some(is_empty)) => ControlOutcome::Retiring { is_empty },
        Response::Retired(None) => ControlOutcome::NotFound,
        _ => ControlOutcome::Unavailable,
    }
}

fn summary(response: &Response) -> String {
    match response {
        Response::Configuration(held) => {
            format!("configuration {}", held.as_ref().map_or(0, |held| held.version))
        }
        other => format!("{other:?}"),
    }
}
