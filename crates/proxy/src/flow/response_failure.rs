//! Responses that are given up while their body is read.

use calicohoist_telemetry::{Event, emit};

use super::body::BodyReadError;
use super::error::GatewayError;

/// Reason for which a response was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FailureReason {
    /// The body or an event exceeds its size limit.
    #[error("too large")]
    TooLarge,
    /// The response contains more than its request may generate.
    #[error("more than requested")]
    MoreThanRequested,
    /// The response exceeded the memory limit while others waited for memory.
    #[error("no memory")]
    NoMemory,
    /// The body ended early or is malformed.
    #[error("truncated")]
    Truncated,
    /// The body did not end before the deadline.
    #[error("deadline")]
    Deadline,
}

impl From<BodyReadError> for FailureReason {
    fn from(error: BodyReadError) -> Self {
        match error {
            BodyReadError::TooLarge => Self::TooLarge,
            BodyReadError::MemoryLimit => Self::NoMemory,
            BodyReadError::Truncated => Self::Truncated,
        }
    }
}

/// A response that was given up while its body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseFailure {
    /// The reason.
    pub reason: FailureReason,
    /// Number of bytes of the body that were read.
    pub bytes_read: usize,
}

impl ResponseFailure {
    /// Logs the failure of a response of `replica` to the request with the id `request`.
    pub fn log(&self, request: &str, replica: &str) {
        emit!(
            Event::ResponseFailed;
            request = request,
            replica = replica,
            reason = self.reason,
            bytes_read = self.bytes_read,
        );
    }
}

impl From<ResponseFailure> for GatewayError {
    fn from(failure: ResponseFailure) -> Self {
        match failure.reason {
            FailureReason::Deadline => Self::Deadline,
            // The request has run.
            FailureReason::TooLarge
            | FailureReason::MoreThanRequested
            | FailureReason::NoMemory
            | FailureReason::Truncated => Self::Unknown,
        }
    }
}
