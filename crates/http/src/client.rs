//! HTTP client whose errors tell whether a request may have reached the server, and whose requests
//! end in bounded time and memory whatever the server sends.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::connection::{RequestConnection, ResponseLimits};
use crate::events::EventReader;
use crate::request::{RequestContent, build_request};
use crate::response::{Response, ResponseBody};

/// Default of the maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request cannot be encoded; it was not sent.
    #[error("invalid request: {0}")]
    InvalidRequest(String),
    /// The connection could not be established; the server did not receive the request.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The connection failed or timed out, or the response exceeded a limit; the server may have
    /// processed the request.
    #[error("no complete response: {0}")]
    Broken(String),
    /// The server responded with a status other than 2xx.
    #[error("status {status}: {body}")]
    Status {
        /// Status code.
        status: u16,
        /// Response body.
        body: String,
    },
    /// The response body is not valid JSON of the expected type.
    #[error("invalid response body: {0}")]
    Malformed(String),
}

impl ClientError {
    /// Returns whether the request is known not to have been sent.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::InvalidRequest(_) | Self::NotConnected(_))
    }
}

/// HTTP client for one server address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Duration,
    limits: ResponseLimits,
    headers: Vec<(&'static str, String)>,
}

impl HttpClient {
    /// Creates a client for the server at `address`. `timeout` limits the whole time from connecting
    /// to the end of the response, unless it is restarted.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timeout: Duration) -> Self {
        let limits = ResponseLimits { timeout, max_bytes: MAX_RESPONSE_BYTES };
        Self { address, connect_timeout, limits, headers: Vec::new() }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the maximum size of the body of a response, in bytes.
    #[must_use]
    pub fn with_max_response_bytes(mut self, max_bytes: u64) -> Self {
        self.limits.max_bytes = max_bytes;
        self
    }

    /// Sends `GET path` and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.send_empty(Method::GET, path)?.read_json()
    }

    /// Sends `DELETE path` and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.send_empty(Method::DELETE, path)?.read_json()
    }

    /// Sends `POST path` with a JSON body and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        self.send_json(Method::POST, path, body)?.read_json()
    }

    /// Sends `PUT path` with a JSON body and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn put<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        self.send_json(Method::PUT, path, body)?.read_json()
    }

    /// Sends `POST path` with a JSON body and reads the response as an event stream.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn post_event_stream<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<EventReader<ResponseBody>, ClientError> {
        self.send_json(Method::POST, path, body).map(Response::into_events)
    }

    /// Sends `GET path` and reads the response as an event stream.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get_event_stream(&self, path: &str) -> Result<EventReader<ResponseBody>, ClientError> {
        self.send_empty(Method::GET, path).map(Response::into_events)
    }

    /// Sends `body` as JSON and returns the response, regardless of its status.
    ///
    /// # Errors
    /// See [`ClientError`]; never returns [`ClientError::Status`].
    pub fn request_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response, ClientError> {
        self.exchange(method, path, &RequestContent::Json(body))
    }

    fn send_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<Response, ClientError> {
        self.request_json(method, path, body)?.require_success()
    }

    fn send_empty(&self, method: Method, path: &str) -> Result<Response, ClientError> {
        self.exchange::<()>(method, path, &RequestContent::Empty)?.require_success()
    }

    fn exchange<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        content: &RequestContent<'_, B>,
    ) -> Result<Response, ClientError> {
        let ResponseLimits { timeout, max_bytes } = self.limits;
        let request = build_request(method, path, self.address, &self.headers, content)?;
        let mut connection = RequestConnection::open(self.address, self.connect_timeout, timeout)?;
        let response = connection.send(request);
        let response = response.map_err(|error| ClientError::Broken(error.to_string()))?;
        Ok(Response::new(connection, response, max_bytes))
    }
}
