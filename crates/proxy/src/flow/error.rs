//! Error responses of the gateway.
//!
//! The status code tells the client whether the request ran: it did not and will not (408, 429,
//! 503), or it may have run (502, 504). Any response of a replica means that it ran.

use std::time::Duration;

use calicohoist_routing::{RateLimit, stable_hash};
use calicohoist_scheduler::jittered_delay;
use calicohoist_types::{Findings, TenantId};
use hyper::header::{CONTENT_TYPE, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};

use super::response::ResponseBody;
use crate::dialect::Dialect;

/// Reason for which a request has no response of a replica.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum GatewayError {
    /// The gateway has no configuration yet.
    #[error("no configuration")]
    NoConfiguration,
    /// No route matches the host and path.
    #[error("no route")]
    NoRoute,
    /// The API key is missing or invalid.
    #[error("unauthorized: {problem}, configuration {configuration}")]
    Unauthorized {
        /// What is wrong with the key.
        problem: KeyError,
        /// Version of the configuration that was applied.
        configuration: u64,
    },
    /// The request has invalid headers.
    #[error("malformed: {0}")]
    Malformed(Findings),
    /// The body exceeds the size limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The body ended early.
    #[error("body cut")]
    BodyTruncated,
    /// The body was not received in time.
    #[error("body too slow")]
    BodyTooSlow,
    /// The turn exceeds the remaining budget of its program.
    #[error("budget spent")]
    BudgetSpent,
    /// The turn to be continued does not exist.
    #[error("no such turn")]
    NoSuchTurn,
    /// It is not known what began the stream to be resumed, so it cannot continue.
    #[error("unknown stream")]
    UnknownStream,
    /// The route does not allow streams to be resumed.
    #[error("not resumable")]
    NotResumable,
    /// The tenant has reached its rate limit.
    #[error("over the limit of {tenant}, {limit}, configuration {configuration}")]
    OverLimit {
        /// The tenant.
        tenant: TenantId,
        /// The rate limit of the tenant.
        limit: RateLimit,
        /// Version of the configuration that was applied.
        configuration: u64,
        /// Time until the limit allows another request.
        retry_after: Duration,
    },
    /// The request did not run and will not. The client may retry.
    #[error("not run: {reason}")]
    NotExecuted {
        /// The reason.
        reason: NotExecutedReason,
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The request may have run.
    #[error("outcome unknown")]
    Unknown,
    /// The request may have run, and its deadline passed.
    #[error("deadline")]
    Deadline,
    /// The request may have run, and the gateway stops.
    #[error("gateway stops, outcome unknown")]
    Interrupted,
}

/// Problem with the API key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// There is no key.
    #[error("no key")]
    Missing,
    /// The key cannot be parsed.
    #[error("unreadable key")]
    Malformed,
    /// No tenant has this key.
    #[error("unknown key")]
    Unknown,
}

/// Reason for which a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotExecutedReason {
    /// No replica of the service is listed.
    #[error("no replica")]
    NoReplica,
    /// No zone lies in the homes of both the route and the tenant.
    #[error("no home")]
    NoHome,
    /// The service has no replica in the request's homes.
    #[error("no replica in its homes")]
    NoReplicaInHomes,
    /// The route retains turns, and the ledger would store them outside the request's homes.
    #[error("cannot be kept in its homes")]
    RetainedOutsideHomes,
    /// No replica runs the software version that began the stream.
    #[error("no replica of its version")]
    NoReplicaOfVersion,
    /// The gateway cannot tell yet which software version began the stream.
    #[error("its version is uncertain")]
    UncertainVersion,
    /// The record of what began the stream may still be on its way to the ledger.
    #[error("its record may be pending")]
    PendingRecord,
    /// Every replica that was tried rejected the request or was unreachable.
    #[error("replicas full")]
    ReplicasFull,
    /// Every eligible replica is cold.
    #[error("replicas cold")]
    ReplicasCold,
    /// Too many replicas have crashed under the request.
    #[error("replicas crash under it")]
    Quarantined,
    /// The gateway stops before the request could be answered.
    #[error("gateway stops")]
    Stopping,
    /// Too little time was left to send the request to a replica.
    #[error("too little time")]
    TooLittleTime,
    /// The memory limit for buffered bodies was reached.
    #[error("memory in use")]
    MemoryLimit,
    /// The request was read long after it was sent, and the turn that it continues has expired since.
    #[error("read late, its turn has expired")]
    ReadLate,
    /// The ledger did not respond.
    #[error("ledger unavailable")]
    LedgerUnavailable,
    /// The request is not allowed by the gateway's configuration, which may be outdated.
    #[error("configuration may be out of date")]
    StaleConfiguration,
}

impl GatewayError {
    /// Creates the error for a request that did not run.
    pub fn not_executed(reason: NotExecutedReason, retry_after: Duration) -> Self {
        Self::NotExecuted { reason, retry_after }
    }

    /// Returns the outcome label for metrics.
    pub fn metric_label(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::Unauthorized { .. } => "unauthorized",
            Self::Malformed(_) => "malformed",
            Self::BodyTooLarge | Self::BodyTruncated | Self::BodyTooSlow => "bad_body",
            Self::BudgetSpent => "budget_spent",
            Self::NoSuchTurn => "no_such_turn",
            Self::UnknownStream => "unknown_stream",
            Self::NotResumable => "not_resumable",
            Self::OverLimit { .. } => "over_limit",
            Self::NotExecuted { .. } => "not_run",
            Self::Unknown => "unknown",
            Self::Deadline => "deadline",
            Self::Interrupted => "interrupted",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::NotExecuted { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            Self::Malformed(_) | Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::UnknownStream | Self::NotResumable => StatusCode::CONFLICT,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Deadline | Self::Interrupted => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the delay after which the client may retry. The end of a rate limit's window is
    /// returned exactly; other delays are estimates, and jittered per request.
    fn retry_after(&self, request_id: &str) -> Option<Duration> {
        const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);
        let hash = stable_hash(&[request_id.as_bytes()]);
        match self {
            Self::NoConfiguration => Some(jittered_delay(NO_CONFIGURATION_RETRY_AFTER, hash)),
            Self::NotExecuted { retry_after, .. } => Some(jittered_delay(*retry_after, hash)),
            Self::OverLimit { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Converts the error into a response to the client.
    pub fn into_response(self, dialect: &dyn Dialect, request_id: &str) -> Response<ResponseBody> {
        let body = error_document(&self.to_string());
        let mut response = Response::new(ResponseBody::buffered(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
        if matches!(self, Self::Unauthorized { .. }) {
            headers.insert(WWW_AUTHENTICATE, hyper::header::HeaderValue::from_static("Bearer"));
        }
        if let Some(after) = self.retry_after(request_id) {
            dialect.write_retry_after(headers, after);
        }
        response
    }
}

fn error_document(error: &str) -> bytes::Bytes {
    serde_json::json!({ "error": error }).to_string().into()
}
