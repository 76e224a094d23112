//! Error responses: HTTP status, code, and whether the request ran.

use calicohoist_http::{BodyError, Exchange};
use calicohoist_store::commands::program::ProgramError;
use calicohoist_types::openai::{ErrorBody, ErrorDetail, HEADER_OUTCOME};
use calicohoist_types::{Finding, NotRunReason, Outcome};

use crate::core::message::{Failure, FailureCause};

const INVALID_REQUEST: &str = "invalid_request_error";
const UNAVAILABLE: &str = "unavailable_error";
const CONFLICT: &str = "conflict_error";
const LIMIT: &str = "limit_error";

/// Value of the `retry-after` header.
const RETRY_AFTER_SECONDS: u32 = 1;

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    status: u16,
    kind: &'static str,
    code: String,
    message: String,
    outcome: Option<Outcome>,
    findings: Vec<Finding>,
    retry_after: Option<u32>,
    current_resource: Option<Box<serde_json::Value>>,
}

impl ApiError {
    fn new(status: u16, kind: &'static str, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            code: code.to_owned(),
            message: message.into(),
            outcome: Some(Outcome::NotRun),
            findings: Vec::new(),
            retry_after: None,
            current_resource: None,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Creates an error for an invalid request.
    pub fn invalid(findings: Vec<Finding>) -> Self {
        let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
        Self { findings, ..Self::new(400, INVALID_REQUEST, "invalid_request", lines.join("; ")) }
    }

    /// Creates an error for a single invalid field.
    pub fn invalid_field(field: &str, problem: impl Into<String>, accepted: &str) -> Self {
        Self::invalid(vec![Finding::of_field(field, problem, accepted)])
    }

    /// Creates an error for an unknown path or method.
    pub fn no_such_endpoint(method: &str, path: &str) -> Self {
        let message = format!("there is no endpoint {method} {path}");
        Self::new(404, INVALID_REQUEST, "no_such_endpoint", message)
    }

    /// Creates an error for a named object that does not exist.
    pub fn not_found(kind: &str, name: &str) -> Self {
        let code = format!("unknown_{kind}");
        Self::new(404, INVALID_REQUEST, &code, format!("there is no {kind} {name:?}"))
    }

    /// Creates an error for a request that found no free worker.
    pub fn busy(has_key: bool) -> Self {
        // A request with an idempotency key may be a resend of one that ran.
        let outcome = if has_key { Outcome::Unknown } else { Outcome::NotRun };
        Self {
            outcome: Some(outcome),
            retry_after: Some(RETRY_AFTER_SECONDS),
            ..Self::new(503, UNAVAILABLE, "overloaded", "every worker is busy")
        }
    }

    /// Creates an error for a request to a stopping gateway.
    pub fn shutting_down() -> Self {
        Self {
            retry_after: Some(RETRY_AFTER_SECONDS),
            ..Self::new(503, UNAVAILABLE, "shutting_down", "this gateway is stopping")
        }
    }

    /// Creates an error for a store timeout, after which a change may have taken effect.
    pub fn store_unavailable() -> Self {
        Self {
            outcome: Some(Outcome::Unknown),
            retry_after: Some(RETRY_AFTER_SECONDS),
            ..Self::new(503, UNAVAILABLE, "store_unavailable", "the store did not answer in time")
        }
    }

    /// Creates an error for a resource whose version differs from the expected one.
    pub fn version_conflict(current: serde_json::Value) -> Self {
        Self {
            current_resource: Some(Box::new(current)),
            ..Self::new(409, CONFLICT, "version_conflict", "the resource has another version")
        }
    }

    /// Converts a program error of the store.
    pub fn from_program_error(error: &ProgramError, program: &str) -> Self {
        match error {
            ProgramError::Missing => Self::not_found("program", program),
            ProgramError::Exists => Self::new(409, CONFLICT, "program_exists", "the name is taken"),
            ProgramError::NotActive(_) => program_ended(),
            ProgramError::Busy(sequence) => {
                let message = format!("call {sequence} is under way");
                Self::new(409, CONFLICT, "call_under_way", message)
            }
            ProgramError::TooDeep => {
                Self::new(422, LIMIT, "too_deep", "sub-agents are nested too deeply")
            }
            ProgramError::TooManyChildren => {
                Self::new(422, LIMIT, "too_many_agents", "the program has too many sub-agents")
            }
            ProgramError::PromptTooLong(_) => prompt_too_long(),
            ProgramError::KeyMismatch => key_mismatch(),
            ProgramError::Stale
            | ProgramError::NotRepeatable
            | ProgramError::BudgetExhausted
            | ProgramError::MayHaveRun => Self::store_unavailable(),
        }
    }

    /// Converts the failure of a call.
    pub fn from_failure(failure: &Failure) -> Self {
        let mut error = match &failure.cause {
            FailureCause::NotRun(reason) => not_run(*reason),
            FailureCause::UnknownModel(model) => Self::not_found("model", model.as_str()),
            FailureCause::UnknownService(service) => Self::not_found("service", service.as_str()),
            FailureCause::UnknownProgram => {
                Self::new(404, INVALID_REQUEST, "unknown_program", "there is no such program")
            }
            FailureCause::KeyMismatch => key_mismatch(),
            FailureCause::ProgramOver => program_ended(),
            FailureCause::PromptTooLong => prompt_too_long(),
            FailureCause::StoreUnavailable => Self::store_unavailable(),
            FailureCause::BackendLost => Self::new(
                502,
                UNAVAILABLE,
                "backend_lost",
                "the back end did not say what became of the request",
            ),
            FailureCause::TakenOver => {
                let message = "another gateway took the call over; ask for its answer";
                Self::new(409, CONFLICT, "taken_over", message)
            }
            FailureCause::GatewayStopped => {
                let message = "the gateway stopped before the answer; ask another one for it";
                Self {
                    retry_after: Some(RETRY_AFTER_SECONDS),
                    ..Self::new(504, UNAVAILABLE, "gateway_stopped", message)
                }
            }
            FailureCause::StillRunning => {
                let message = "the same request is under way; ask for its answer";
                Self {
                    retry_after: Some(RETRY_AFTER_SECONDS),
                    ..Self::new(409, CONFLICT, "still_running", message)
                }
            }
        };
        error.outcome = Some(failure.outcome);
        error
    }

    /// Returns the JSON body.
    pub fn body(&self) -> ErrorBody {
        let param = self.findings.first().map(|finding| finding.place.field.clone());
        ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                kind: self.kind.to_owned(),
                param,
                code: Some(self.code.clone()),
                outcome: self.outcome.map(|outcome| outcome.as_str().to_owned()),
                findings: self.findings.clone(),
            },
        }
    }

    /// Sends the response.
    pub fn reply(self, exchange: Exchange) {
        let mut headers = Vec::new();
        if let Some(outcome) = self.outcome {
            headers.push((HEADER_OUTCOME, outcome.as_str().to_owned()));
        }
        if let Some(seconds) = self.retry_after {
            headers.push(("retry-after", seconds.to_string()));
        }
        let mut body = serde_json::to_value(self.body()).unwrap_or_default();
        if let Some(current_resource) = self.current_resource {
            body["current"] = *current_resource;
        }
        exchange.reply_json(self.status, &headers, &body);
    }
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> Self {
        let status = match &error {
            BodyError::TooLarge { .. } => 413,
            BodyError::Incomplete { .. } => 408,
            BodyError::Malformed(_) => 400,
        };
        Self::new(status, INVALID_REQUEST, "unreadable_body", error.to_string())
    }
}

fn key_mismatch() -> ApiError {
    let message = "this place of the program was used by another request";
    ApiError::new(409, CONFLICT, "key_mismatch", message)
}

fn program_ended() -> ApiError {
    ApiError::new(409, CONFLICT, "program_over", "the program has ended or was cancelled")
}

fn prompt_too_long() -> ApiError {
    let message = "the prompt with its history is longer than the model takes";
    ApiError::new(400, INVALID_REQUEST, "context_length_exceeded", message)
}

fn not_run(reason: NotRunReason) -> ApiError {
    let (status, kind) = match reason {
        NotRunReason::ProgramEnded | NotRunReason::ProgramCancelled => (409, CONFLICT),
        NotRunReason::BudgetExhausted => (402, LIMIT),
        NotRunReason::TooManyCalls => (422, LIMIT),
        NotRunReason::SequenceGap => (425, CONFLICT),
        NotRunReason::TenantLimit => (429, LIMIT),
        NotRunReason::NoBackend
        | NotRunReason::Overloaded
        | NotRunReason::RefusedByBackend
        | NotRunReason::ShuttingDown => (503, UNAVAILABLE),
    };
    let message = format!("the request was not run: {}", reason.as_str().replace('_', " "));
    ApiError {
        retry_after: reason.is_transient().then_some(RETRY_AFTER_SECONDS),
        ..ApiError::new(status, kind, reason.as_str(), message)
    }
}
