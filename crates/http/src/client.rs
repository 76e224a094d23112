//! HTTP client based on `attohttpc`, whose errors tell whether a request may have reached the
//! server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, Method, RequestBuilder, ResponseReader};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::events::EventReader;

/// JSON responses are read up to this size, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be established; the server did not receive the request.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The connection failed or timed out; the server may have processed the request.
    #[error("connection failed or timed out: {0}")]
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
    /// Returns whether the request is known not to have been response.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::NotConnected(_))
    }
}

/// HTTP client for one server address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    base: String,
    connect_timeout: Duration,
    read_timeout: Duration,
    headers: Vec<(&'static str, String)>,
}

impl HttpClient {
    /// Creates a client for the server at `address`.
    pub fn new(address: SocketAddr, connect_timeout: Duration, read_timeout: Duration) -> Self {
        Self {
            base: format!("http://{address}"),
            connect_timeout,
            read_timeout,
            headers: Vec::new(),
        }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends `GET path` and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send_empty(Method::GET, path)?;
        read_json(response)
    }

    /// Sends `DELETE path` and parses the response as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send_empty(Method::DELETE, path)?;
        read_json(response)
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
        self.send_json(Method::POST, path, body).and_then(read_json)
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
        self.send_json(Method::PUT, path, body).and_then(read_json)
    }

    /// Sends `POST path` with a JSON body and reads the response as an event stream.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn post_event_stream<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<EventReader<ResponseReader>, ClientError> {
        let response = self.send_json(Method::POST, path, body)?;
        Ok(EventReader::new(response.split().2))
    }

    /// Sends `GET path` and reads the response as an event stream.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get_event_stream(&self, path: &str) -> Result<EventReader<ResponseReader>, ClientError> {
        let response = self.send_empty(Method::GET, path)?;
        Ok(EventReader::new(response.split().2))
    }

    /// Sends `body` as JSON and returns the response, regardless of its status.
    ///
    /// # Errors
    /// Returns [`ClientError::NotConnected`] or [`ClientError::Broken`].
    pub fn request_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<attohttpc::Response, ClientError> {
        let request = self.builder(method, path);
        let request = request.json(body).map_err(classify_error)?;
        request.send().map_err(classify_error)
    }

    fn send_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<attohttpc::Response, ClientError> {
        self.request_json(method, path, body).and_then(check_status)
    }

    fn send_empty(&self, method: Method, path: &str) -> Result<attohttpc::Response, ClientError> {
        let response = self.builder(method, path).send().map_err(classify_error);
        response.and_then(check_status)
    }

    fn builder(&self, method: Method, path: &str) -> RequestBuilder {
        let mut builder = RequestBuilder::new(method, format!("{}{path}", self.base))
            .connect_timeout(self.connect_timeout)
            .read_timeout(self.read_timeout)
            .follow_redirects(false);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value.as_str());
        }
        builder
    }
}

fn check_status(response: attohttpc::Response) -> Result<attohttpc::Response, ClientError> {
    if response.is_success() {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let body = response.text().unwrap_or_default();
    Err(ClientError::Status { status, body })
}

fn read_json<T: DeserializeOwned>(response: attohttpc::Response) -> Result<T, ClientError> {
    use std::io::Read;
    let mut body = Vec::new();
    let mut reader = response.split().2.take(MAX_RESPONSE_BYTES);
    reader.read_to_end(&mut body).map_err(|error| ClientError::Broken(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| ClientError::Malformed(error.to_string()))
}

fn classify_error(error: attohttpc::Error) -> ClientError {
    let message = error.to_string();
    match error.kind() {
        ErrorKind::ConnectNotSupported | ErrorKind::InvalidBaseUrl | ErrorKind::InvalidUrlHost => {
            ClientError::NotConnected(message)
        }
        ErrorKind::Io(source) if is_connect_failure(source) => ClientError::NotConnected(message),
        _ => ClientError::Broken(message),
    }
}

/// Returns whether `error` can only occur while a connection is being established.
fn is_connect_failure(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}
