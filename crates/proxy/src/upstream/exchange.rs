//! Sends a single request to a replica and reads the head of its response.

use std::error::Error;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_outbound::{HeadTooLong, ReadLane, UsedBeforeRequest, has_readable_body};
use calicohoist_routing::{Incarnation, Replica, StartTime, StreamOrigin};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Method, Request, Response, Uri};

use super::start_check::{StartCheck, check_connection, check_start_anew, is_open, listed_start};
use super::{Checkout, Pool, PooledConnection};
use crate::dialect::{Dialect, OutgoingHead, ResponseHead};
use crate::fleet::{LoadGuard, Member};

/// Number of new connections on which a process is asked before a stream begins at an unknown one.
const MAX_IDENTIFICATIONS: usize = 2;

/// How far a request has come, for whoever finds it abandoned.
#[derive(Debug, Default)]
pub struct SendProgress {
    is_sent: AtomicBool,
    is_on_reused_connection: AtomicBool,
}

impl SendProgress {
    /// Returns whether the replica may have received the request.
    pub fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Returns whether the request was sent on a connection that had been idle.
    pub fn is_on_reused_connection(&self) -> bool {
        self.is_on_reused_connection.load(Ordering::Relaxed)
    }

    fn record_sent(&self, is_reused: bool) {
        self.is_on_reused_connection.store(is_reused, Ordering::Relaxed);
        self.is_sent.store(true, Ordering::Relaxed);
    }
}

/// Request to a replica.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method of the client's request.
    pub method: &'a Method,
    /// Path and query of the client's request.
    pub uri: &'a Uri,
    /// Headers to forward.
    pub headers: &'a HeaderMap,
    /// Id of the request, which the response must repeat.
    pub request_id: &'a str,
    /// Complete body.
    pub body: Bytes,
    /// Id of the event after which a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// What must be known of the process that runs the request.
    pub process_check: ProcessCheck,
    /// Whether a replica has or may have crashed under the request.
    pub is_suspect: bool,
    /// Tenant that sent the request.
    pub tenant: Option<&'a str>,
    /// Deadline of the client. The replica receives the remaining time.
    pub deadline: Instant,
    /// Records how far the request has come.
    pub progress: Arc<SendProgress>,
}

/// What must be known of the process that runs a request before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessCheck {
    /// Nothing.
    None,
    /// Which process it is, if the replica says so, because a stream may begin.
    Identify,
    /// That it is the listed process, because its software matters.
    RequireListed,
}

/// Process that has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerProcess {
    /// Not asked for, or the list has no start times.
    Unchecked,
    /// The listed process.
    Listed,
    /// Another process than the listed one, which started at this time.
    Restarted(StartTime),
    /// Not asked for on this connection. One that was opened before reached a process which started at
    /// this time.
    Preceded(StartTime),
    /// Asked for without an answer.
    Unknown,
}

/// Reason for which an exchange yielded no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed before the request was sent.
    #[error("no connection")]
    NotSent,
    /// The replica has restarted under its identity since it was listed; nothing was sent.
    #[error("the replica has restarted")]
    Restarted,
    /// The deadline for sending passed before the request was sent.
    #[error("too late to be sent")]
    SendTimeout,
    /// The replica reports that it did not run the request.
    #[error("the replica did not run it")]
    NotExecuted,
    /// The host of the replica did not acknowledge the request.
    #[error("not acknowledged")]
    Unacknowledged,
    /// The request was sent and may have run.
    #[error("no answer")]
    Unknown,
    /// The request was sent and may have run; the head of the response is endless or too large.
    #[error("response head too large")]
    HeadTooLong,
    /// The request was sent and may have run; the replica closed the connection.
    #[error("connection closed")]
    Closed {
        /// Whether the connection had been idle, so that the replica may have closed it before the
        /// request arrived.
        was_idle: bool,
    },
    /// The request was sent, and its deadline passed.
    #[error("deadline")]
    Deadline,
}

impl ExchangeError {
    /// Returns whether the request certainly did not run.
    pub fn is_not_executed(&self) -> bool {
        match self {
            Self::NotSent | Self::Restarted | Self::SendTimeout | Self::NotExecuted => true,
            Self::Unacknowledged
            | Self::Unknown
            | Self::HeadTooLong
            | Self::Closed { .. }
            | Self::Deadline => false,
        }
    }
}

/// A response whose body has not been read yet.
pub struct Exchange {
    /// Head and body of the response.
    pub response: Response<Incoming>,
    /// Replica that sent the response.
    pub member: Arc<Member>,
    connection: PooledConnection,
    process: ServerProcess,
    reuse: ConnectionReuse,
    /// Counts the request as load of the replica.
    _load: LoadGuard,
}

/// Whether the connection may be reused after the response.
#[derive(Clone, Copy, Debug)]
enum ConnectionReuse {
    No,
    For(Option<Duration>),
}

impl Exchange {
    /// Returns the reading state, to which the consumer of the body charges its work.
    pub fn lane(&self) -> Arc<ReadLane> {
        Arc::clone(self.connection.sender.lane())
    }

    /// Asks which process answers now if one that closes its connections answered before this one was
    /// opened. If it is the same, it has accepted this connection too: one process at a time listens at
    /// an address.
    pub async fn identify_process(&mut self, pool: &Pool, dialect: &dyn Dialect) {
        let ServerProcess::Preceded(before) = self.process else {
            return;
        };
        let replica = &self.member.replica;
        // A kept connection may lead to a process that listens no more.
        let check = check_start_anew(pool, dialect, replica).await;
        self.process = match check {
            StartCheck::Listed if listed_start(replica) == Some(before) => ServerProcess::Listed,
            StartCheck::Restarted(start) if start == before => ServerProcess::Restarted(start),
            _ => ServerProcess::Unknown,
        };
    }

    /// Returns the origin of a stream that this response begins; `None` if it is unknown which process
    /// sends it.
    pub fn stream_origin(&self) -> Option<StreamOrigin> {
        let replica = &self.member.replica;
        match self.process {
            ServerProcess::Unchecked => Some(StreamOrigin::at(replica)),
            ServerProcess::Listed => Some(StreamOrigin::confirmed_at(replica)),
            ServerProcess::Restarted(start) => Some(StreamOrigin::restarted_at(replica, start)),
            ServerProcess::Preceded(_) | ServerProcess::Unknown => None,
        }
    }

    /// Returns the connection to the pool after the whole body was read.
    pub fn finish(self, pool: &Pool) {
        if let ConnectionReuse::For(keep_alive) = self.reuse {
            pool.check_in(&self.member.replica.id, self.connection, keep_alive);
        }
    }
}

/// Sends a request no later than `send_by`, and waits for the head of the response until
/// `response_deadline`.
///
/// # Errors
/// See [`ExchangeError`].
pub async fn exchange(
    pool: &Pool,
    dialect: &dyn Dialect,
    member: &Arc<Member>,
    outgoing: &OutgoingRequest<'_>,
    send_by: Option<Instant>,
    response_deadline: Instant,
) -> Result<Exchange, ExchangeError> {
    let load = member.begin_request(outgoing.is_suspect);
    let replica = &member.replica;
    // A crash on a new connection is certain to have happened after the request arrived.
    let mut checkout = if outgoing.is_suspect { Checkout::New } else { Checkout::Any };
    loop {
        let (mut connection, process) =
            connect(pool, dialect, replica, outgoing.process_check, checkout).await?;
        // Checked after connecting, which may take long.
        if send_by.is_some_and(|send_by| send_by <= Instant::now()) {
            // Nothing was sent on the connection, so it can be reused.
            pool.check_in(&replica.id, connection, None);
            return Err(ExchangeError::SendTimeout);
        }
        let request = build_request(dialect, outgoing, Incarnation::identity_of(&replica.id));
        outgoing.progress.record_sent(connection.is_reused);
        let sending = connection.sender.try_send_request(request);
        let result = tokio::time::timeout_at(response_deadline.into(), sending).await;
        match result {
            Err(_) => return Err(ExchangeError::Deadline),
            Ok(Err(mut error)) => {
                // hyper returns the message if the connection closed before it was sent.
                let was_sent = error.take_message().is_none()
                    && !is_caused_by::<UsedBeforeRequest>(error.error());
                if was_sent {
                    return Err(sent_error(error.error(), connection.is_reused));
                }
                pool.discard(&replica.id, &connection);
                if !connection.is_reused {
                    return Err(ExchangeError::NotSent);
                }
                checkout = Checkout::New;
            }
            Ok(Ok(response)) => {
                let head = dialect.read_response(response.status(), response.headers());
                check_response(&head, outgoing.request_id)?;
                if !has_readable_body(&response) {
                    return Err(ExchangeError::Unknown);
                }
                let reuse = connection_reuse(&response);
                let member = Arc::clone(member);
                return Ok(Exchange { response, member, connection, process, reuse, _load: load });
            }
        }
    }
}

/// Returns a connection to a replica, and the process at its other end as far as it must be known.
///
/// # Errors
/// Returns an error if there is no connection, or if it must be the listed process and is not.
async fn connect(
    pool: &Pool,
    dialect: &dyn Dialect,
    replica: &Replica,
    process_check: ProcessCheck,
    checkout: Checkout,
) -> Result<(PooledConnection, ServerProcess), ExchangeError> {
    let is_checked = process_check != ProcessCheck::None && listed_start(replica).is_some();
    let must_be_listed = process_check == ProcessCheck::RequireListed;
    let mut checkout = checkout;
    let (mut unanswered, mut preceding) = (0, None);
    loop {
        let connection = pool.check_out(&replica.id, replica.address, checkout).await;
        let mut connection = connection.map_err(|_| ExchangeError::NotSent)?;
        if !is_checked {
            return Ok((connection, ServerProcess::Unchecked));
        }
        if unanswered == MAX_IDENTIFICATIONS {
            return Ok((connection, ServerProcess::Unknown));
        }
        if let Some(start) = preceding {
            return Ok((connection, ServerProcess::Preceded(start)));
        }
        let check = check_connection(&mut connection, dialect, replica).await;
        let is_open = check != StartCheck::NoAnswer && is_open(&mut connection).await;
        match check {
            StartCheck::Restarted(_) if must_be_listed => return Err(ExchangeError::Restarted),
            StartCheck::Listed if is_open => return Ok((connection, ServerProcess::Listed)),
            StartCheck::Restarted(start) if is_open => {
                return Ok((connection, ServerProcess::Restarted(start)));
            }
            // A reused connection may have been closed, or received what nobody asked for.
            _ if connection.is_reused => pool.discard(&replica.id, &connection),
            StartCheck::Listed if must_be_listed => return Err(ExchangeError::NotSent),
            // The replica closes each connection after a response.
            StartCheck::Listed | StartCheck::Restarted(_) => preceding = connection.start,
            StartCheck::NoAnswer if must_be_listed => return Err(ExchangeError::NotSent),
            // The replica may have closed the connection, or answer later.
            StartCheck::NoAnswer => unanswered += 1,
        }
        checkout = Checkout::New;
    }
}

/// Returns the error for a request that was sent on a connection which then failed.
fn sent_error(error: &hyper::Error, was_idle: bool) -> ExchangeError {
    if is_closed_by_peer(error) {
        return ExchangeError::Closed { was_idle };
    }
    if error.is_parse_too_large() || is_caused_by::<HeadTooLong>(error) {
        return ExchangeError::HeadTooLong;
    }
    match io_error_kind(error) {
        Some(io::ErrorKind::TimedOut) => ExchangeError::Unacknowledged,
        _ => ExchangeError::Unknown,
    }
}

/// Returns whether the peer closed or reset the connection, as opposed to a timeout or a malformed
/// response.
pub fn is_closed_by_peer(error: &hyper::Error) -> bool {
    match io_error_kind(error) {
        Some(kind) => matches!(
            kind,
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof
        ),
        None => error.is_incomplete_message(),
    }
}

/// Returns whether the peer has sent a malformed response, as opposed to a connection that failed.
pub fn is_malformed(error: &hyper::Error) -> bool {
    let kind = io_error_kind(error);
    error.is_parse()
        || matches!(kind, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
}

/// Returns the kind of the I/O error that caused an error, if any.
fn io_error_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    causes(error).find_map(|cause| cause.downcast_ref::<io::Error>()).map(io::Error::kind)
}

/// Returns whether an error of type `E` caused an error.
fn is_caused_by<E: Error + 'static>(error: &hyper::Error) -> bool {
    causes(error).any(|cause| {
        // The source of an I/O error is that of the error inside, which it does not list itself.
        let inner = cause.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        cause.is::<E>() || inner.is_some_and(|inner| inner.is::<E>())
    })
}

fn causes(error: &hyper::Error) -> impl Iterator<Item = &(dyn Error + 'static)> {
    std::iter::successors(error.source(), |cause: &&(dyn Error + 'static)| (*cause).source())
}

/// Checks that the response belongs to the request. Otherwise it is ignored and the connection is
/// closed.
fn check_response(head: &ResponseHead, request_id: &str) -> Result<(), ExchangeError> {
    if head.request_id.as_deref().is_some_and(|id| id != request_id) {
        return Err(ExchangeError::Unknown);
    }
    if head.is_not_executed {
        return Err(ExchangeError::NotExecuted);
    }
    match head.request_id {
        Some(_) => Ok(()),
        None => Err(ExchangeError::Unknown),
    }
}

fn build_request(
    dialect: &dyn Dialect,
    outgoing: &OutgoingRequest<'_>,
    replica: &str,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let time_left = outgoing.deadline.saturating_duration_since(Instant::now());
    let OutgoingRequest { last_event_id, tenant, .. } = *outgoing;
    let head = OutgoingHead { deadline: time_left, replica, last_event_id, tenant };
    dialect.write_request(request.headers_mut(), &head);
    request
}

fn connection_reuse(response: &Response<Incoming>) -> ConnectionReuse {
    let headers = response.headers();
    let connection_header = headers.get(CONNECTION).and_then(|value| value.to_str().ok());
    if connection_header.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return ConnectionReuse::No;
    }
    ConnectionReuse::For(keep_alive_timeout(headers))
}

/// Returns the time in a `Keep-Alive: timeout=N` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let parts = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = parts.filter_map(|seconds| seconds.parse().ok()).next();
    seconds.map(Duration::from_secs)
}
