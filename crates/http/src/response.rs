//! Response to a request of a client.

use std::io::{self, Read};
use std::time::Duration;

use bytes::{Buf, Bytes};
use calicohoist_telemetry::{Event, emit};
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::client::ClientError;
use crate::connection::RequestConnection;
use crate::events::EventReader;

/// Maximum size of the body of an error response, in bytes. The rest is discarded.
const MAX_ERROR_BODY_BYTES: u64 = 64 << 10;
/// Time limit for the body of an error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Response whose head has been received.
#[derive(Debug)]
pub struct Response {
    status: StatusCode,
    body: ResponseBody,
}

impl Response {
    pub(crate) fn new(
        connection: RequestConnection,
        response: hyper::Response<Incoming>,
        max_bytes: u64,
    ) -> Self {
        let status = response.status();
        let body = ResponseBody {
            incoming: response.into_body(),
            part: Bytes::new(),
            remaining_bytes: max_bytes,
            connection,
        };
        Self { status, body }
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Reads the whole body as JSON.
    ///
    /// # Errors
    /// Returns [`ClientError::Broken`] or [`ClientError::Malformed`].
    pub fn read_json<T: DeserializeOwned>(mut self) -> Result<T, ClientError> {
        let mut text = Vec::new();
        let read = self.body.read_to_end(&mut text);
        read.map_err(|error| ClientError::Broken(error.to_string()))?;
        serde_json::from_slice(&text).map_err(|error| ClientError::Malformed(error.to_string()))
    }

    /// Reads the body as an event stream.
    pub fn into_events(self) -> EventReader<ResponseBody> {
        EventReader::new(self.body)
    }

    /// Turns a response with a status other than 2xx into an error.
    pub(crate) fn require_success(self) -> Result<Self, ClientError> {
        if self.is_success() {
            return Ok(self);
        }
        let Self { status, mut body } = self;
        let status = status.as_u16();
        body.connection.shorten_timeout(ERROR_BODY_TIMEOUT);
        let mut text = Vec::new();
        if let Err(error) = body.take(MAX_ERROR_BODY_BYTES).read_to_end(&mut text) {
            emit!(
                Event::ConnectionFailed,
                "the body of a response with status {status} is not complete: {error}"
            );
        }
        let body = String::from_utf8_lossy(&text).into_owned();
        Err(ClientError::Status { status, body })
    }
}

/// Body of a response, which ends with an error at the limits of its client.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    /// Received and not read yet.
    part: Bytes,
    remaining_bytes: u64,
    connection: RequestConnection,
}

impl ResponseBody {
    /// Restarts the time limit of the client, for a stream that makes progress.
    pub fn restart_timeout(&mut self) {
        self.connection.restart_timeout();
    }

    /// Receives the next part; returns whether there is one.
    fn receive_part(&mut self) -> io::Result<bool> {
        while self.part.is_empty() {
            let Some(part) = self.connection.receive(&mut self.incoming)? else {
                return Ok(false);
            };
            let remaining_bytes = self.remaining_bytes.checked_sub(part.len() as u64);
            self.remaining_bytes = remaining_bytes
                .ok_or_else(|| io::Error::other("the response exceeds its size limit"))?;
            self.part = part;
        }
        Ok(true)
    }
}

impl Read for ResponseBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if buffer.is_empty() || !self.receive_part()? {
            return Ok(0);
        }
        let length = buffer.len().min(self.part.len());
        self.part.copy_to_slice(&mut buffer[..length]);
        Ok(length)
    }
}
