//! Operators' calls.
//!
//! Any machine takes them. One that does not lead sends the caller on to the leader;
//! one that knows no leader, or cannot be certain of the outcome, says so.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Findings;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::LOCATION;
use hyper::service::service_fn;
use hyper::{Method, Request as HttpRequest, Response as HttpResponse, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::replica::{ReplicaHandle, Request, Response, Standing};
use super::{LedgerSettings, machine_address};
use crate::commands::{Command, Output, RetiringOutcome};

const MAX_BODY_BYTES: usize = 16 << 20;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Operators give up on a call after about a second and ask elsewhere.
const PATIENCE: Duration = Duration::from_millis(3_000);

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
}

/// Why a call was not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No such call.
    Unknown,
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

#[derive(Clone)]
struct Control {
    settings: Arc<LedgerSettings>,
    replica: ReplicaHandle,
    standing: watch::Receiver<Standing>,
}

/// Takes connections of operators.
pub async fn accept(
    listener: TcpListener,
    settings: LedgerSettings,
    replica: ReplicaHandle,
    standing: watch::Receiver<Standing>,
) {
    let control = Control { settings: Arc::new(settings), replica, standing };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, control.clone()));
        }
    }
}

async fn serve(stream: TcpStream, control: Control) {
    let service = service_fn(move |request| {
        let control = control.clone();
        async move { Ok::<_, Infallible>(control.handle(request).await) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    // An operator that goes away is no event of ours.
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

impl Control {
    async fn handle(&self, request: HttpRequest<Incoming>) -> HttpResponse<Full<Bytes>> {
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
            Err(CallError::Invalid(findings)) => {
                emit!(Event::ChangeRefused; call = format!("{} {path}", head.method), findings = findings);
                return self.render(&ControlOutcome::Invalid(findings));
            }
        };
        let request = to_request(call.clone(), &body);
        let response = tokio::time::timeout(PATIENCE, self.replica.call(request)).await;
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
    }
}

fn to_outcome(response: Response) -> ControlOutcome {
    match response {
        Response::Changed(Output::Configuration { .. }) => ControlOutcome::Done,
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
