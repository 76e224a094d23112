//! Answers of the gateway's own.
//!
//! Three outcomes are kept apart: the request did not run and never will (408, 429,
//! 503), nobody knows (502, 504), or it ran, and then the answer is the replica's.

use std::time::Duration;

use calicohoist_routing::{RateLimit, stable_hash};
use calicohoist_scheduler::jittered_delay;
use calicohoist_types::{Findings, TenantId};
use hyper::header::{CONTENT_TYPE, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};

use super::answer::AnswerBody;
use crate::dialect::Dialect;

/// Why a request has no answer of a replica.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("no configuration")]
    NoConfiguration,
    /// No route has this host and path.
    #[error("no route")]
    NoRoute,
    /// Nobody is known to hold the key that the request shows.
    #[error("unauthorized: {problem}, configuration {configuration}")]
    Unauthorized {
        /// What is wrong with it.
        problem: KeyProblem,
        /// Version of the configuration that says so.
        configuration: u64,
    },
    /// Headers cannot be accepted.
    #[error("malformed: {0}")]
    Malformed(Findings),
    /// The body is over the limit.
    #[error("body too large")]
    BodyTooLarge,
    /// The body ended early.
    #[error("body cut")]
    BodyCut,
    /// The body did not come in time.
    #[error("body too slow")]
    BodyTooSlow,
    /// The turn does not fit into what is left of the program's budget.
    #[error("budget spent")]
    BudgetSpent,
    /// The turn that it continues from does not exist.
    #[error("no such turn")]
    NoSuchTurn,
    /// Its tenant has sent as much as its limit allows.
    #[error("over the limit of {tenant}, {limit}, configuration {configuration}")]
    OverLimit {
        /// The tenant.
        tenant: TenantId,
        /// Its limit.
        limit: RateLimit,
        /// Version of the configuration that says so.
        configuration: u64,
        /// When there will be room.
        retry_after: Duration,
    },
    /// It did not run and never will; it may come back after a while.
    #[error("not run: {reason}")]
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    #[error("outcome unknown")]
    Unknown,
    /// It may have run; its time is over.
    #[error("deadline")]
    Deadline,
}

/// What is wrong with the key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyProblem {
    /// There is none.
    #[error("no key")]
    Missing,
    /// It cannot be read.
    #[error("unreadable key")]
    Unreadable,
    /// Nobody holds it.
    #[error("unknown key")]
    Unknown,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRunReason {
    /// No replica of the service is listed.
    #[error("no replica")]
    NoReplica,
    /// Its route and its tenant leave it no region.
    #[error("no home")]
    NoHome,
    /// The service has no replica in the regions where it may be served.
    #[error("no replica in its homes")]
    NoReplicaAtHome,
    /// Its route keeps turns, and the ledger would keep them outside of its homes, too.
    #[error("cannot be kept in its homes")]
    NotKeptAtHome,
    /// Every replica that was asked refused or could not be reached.
    #[error("replicas full")]
    ReplicasFull,
    /// Every replica that may get it has just started.
    #[error("replicas cold")]
    ReplicasCold,
    /// It came with too little time to be offered to a replica.
    #[error("too little time")]
    TooLate,
    /// Its body found no room among what is held for others.
    #[error("memory in use")]
    MemoryInUse,
    /// The ledger did not answer.
    #[error("ledger unavailable")]
    LedgerUnavailable,
    /// The configuration held here does not allow it, and there may be a newer one.
    #[error("configuration may be out of date")]
    OldConfiguration,
}

impl Refusal {
    /// A request that did not run.
    pub fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        Self::NotRun { reason, retry_after }
    }

    /// One word for metrics.
    pub fn word(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::Unauthorized { .. } => "unauthorized",
            Self::Malformed(_) => "malformed",
            Self::BodyTooLarge | Self::BodyCut | Self::BodyTooSlow => "bad_body",
            Self::BudgetSpent => "budget_spent",
            Self::NoSuchTurn => "no_such_turn",
            Self::OverLimit { .. } => "over_limit",
            Self::NotRun { .. } => "not_run",
            Self::Unknown => "unknown",
            Self::Deadline => "deadline",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::Unauthorized { .. } => StatusCode::UNAUTHORIZED,
            Self::Malformed(_) | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller of this request may come back. The end of a limit's window is told
    /// exactly; any other time is an estimate, and callers are spread around it.
    fn retry_after(&self, request_id: &str) -> Option<Duration> {
        const BEFORE_FIRST_CONFIGURATION: Duration = Duration::from_millis(300);
        let hash = stable_hash(&[request_id.as_bytes()]);
        match self {
            Self::NoConfiguration => Some(jittered_delay(BEFORE_FIRST_CONFIGURATION, hash)),
            Self::NotRun { retry_after, .. } => Some(jittered_delay(*retry_after, hash)),
            Self::OverLimit { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// The answer to the caller of this request.
    pub fn into_response(self, dialect: &dyn Dialect, request_id: &str) -> Response<AnswerBody> {
        let body = serde_json_string(&self.to_string());
        let mut response = Response::new(AnswerBody::whole(body));
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

fn serde_json_string(error: &str) -> bytes::Bytes {
    serde_json::json!({ "error": error }).to_string().into()
}
