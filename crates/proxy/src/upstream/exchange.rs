//! One request to one replica, up to the head of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::Incarnation;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, HeaderName};
use hyper::{HeaderMap, Method, Request, Response, Uri};

use super::{Checkout, Pool};
use crate::dialect::{AnswerHead, Dialect, OutgoingHead};
use crate::fleet::{LoadGuard, Member};

/// What goes to a replica.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Method, as the caller sent it.
    pub method: &'a Method,
    /// Path and query, as the caller sent them.
    pub uri: &'a Uri,
    /// Headers to pass on.
    pub headers: &'a HeaderMap,
    /// Identity of the request, which the answer must repeat.
    pub request_id: &'a str,
    /// The whole body.
    pub body: Bytes,
    /// Continue a stream after this event.
    pub last_event: Option<&'a str>,
    /// The tenant that sent it.
    pub tenant: Option<&'a str>,
    /// Until when the caller waits; the replica is told what is left.
    pub deadline: Instant,
}

/// Why an exchange gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[error("no connection")]
    NotSent,
    /// Nothing was sent: the time to send it was over.
    #[error("too late to be sent")]
    Lapsed,
    /// The replica states that it did not run the request.
    #[error("the replica did not run it")]
    NotExecuted,
    /// It was sent, and nobody knows whether it ran.
    #[error("no answer")]
    Unknown,
    /// It was sent, and its time ran out.
    #[error("deadline")]
    Deadline,
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// Its head and body.
    pub response: Response<Incoming>,
    /// Where it came from.
    pub member: Arc<Member>,
    sender: SendRequest<Full<Bytes>>,
    keep: Keep,
    /// Counts the request as load of the replica.
    _load: LoadGuard,
}

/// Whether the connection may be kept.
#[derive(Clone, Copy, Debug)]
enum Keep {
    No,
    For(Option<Duration>),
}

impl Exchange {
    /// Gives the connection back after the whole body was read.
    pub fn finish(self, pool: &Pool) {
        if let Keep::For(keep) = self.keep {
            pool.check_in(&self.member.replica.id, self.sender, keep);
        }
    }
}

/// Sends a request, until `send_by` at the latest, and waits for the head of its answer, until
/// `patience`.
///
/// # Errors
/// See [`ExchangeError`].
pub async fn exchange(
    pool: &Pool,
    dialect: &dyn Dialect,
    member: &Arc<Member>,
    outgoing: &Outgoing<'_>,
    send_by: Option<Instant>,
    patience: Instant,
) -> Result<Exchange, ExchangeError> {
    let load = member.begin();
    let replica = &member.replica;
    let mut checkout = Checkout::Any;
    loop {
        let connection = pool.check_out(&replica.id, replica.address, checkout).await;
        let mut connection = connection.map_err(|_| ExchangeError::NotSent)?;
        // Looked at only now, since a new connection may have taken long.
        if send_by.is_some_and(|send_by| send_by <= Instant::now()) {
            // Nothing was sent on it, so that the next request may use it.
            pool.check_in(&replica.id, connection.sender, None);
            return Err(ExchangeError::Lapsed);
        }
        let request = build(dialect, outgoing, Incarnation::identity_of(&replica.id));
        let sending = connection.sender.try_send_request(request);
        let answered = tokio::time::timeout_at(patience.into(), sending).await;
        match answered {
            Err(_) => return Err(ExchangeError::Deadline),
            Ok(Err(mut failed)) => {
                // The message comes back when the connection ended before it went out.
                let was_sent = failed.take_message().is_none();
                if was_sent {
                    return Err(ExchangeError::Unknown);
                }
                if !connection.is_reused {
                    return Err(ExchangeError::NotSent);
                }
                checkout = Checkout::New;
            }
            Ok(Ok(response)) => {
                let answer = dialect.read_answer(response.headers());
                check(&answer, outgoing.request_id)?;
                let keep = keep_of(&response);
                let member = Arc::clone(member);
                let sender = connection.sender;
                return Ok(Exchange { response, member, sender, keep, _load: load });
            }
        }
    }
}

/// An answer to another request is none; the connection is dropped with it.
fn check(answer: &AnswerHead, request_id: &str) -> Result<(), ExchangeError> {
    if answer.request_id.as_deref().is_some_and(|id| id != request_id) {
        return Err(ExchangeError::Unknown);
    }
    if answer.is_not_executed {
        return Err(ExchangeError::NotExecuted);
    }
    match answer.request_id {
        Some(_) => Ok(()),
        None => Err(ExchangeError::Unknown),
    }
}

fn build(dialect: &dyn Dialect, outgoing: &Outgoing<'_>, replica: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let left = outgoing.deadline.saturating_duration_since(Instant::now());
    let Outgoing { last_event, tenant, .. } = *outgoing;
    let head = OutgoingHead { deadline: left, replica, last_event, tenant };
    dialect.write_call(request.headers_mut(), &head);
    request
}

fn keep_of(response: &Response<Incoming>) -> Keep {
    let headers = response.headers();
    let closes = headers.get(CONNECTION).and_then(|value| value.to_str().ok());
    if closes.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return Keep::No;
    }
    Keep::For(keep_alive(headers))
}

/// The time that a `Keep-Alive: timeout=N` header announces.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?.to_str().ok()?;
    let parts = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = parts.filter_map(|seconds| seconds.parse().ok()).next();
    seconds.map(Duration::from_secs)
}
