//! A small client over `attohttpc` with typed errors that say whether a request
//! can have reached its target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{ErrorKind, Method, RequestBuilder, ResponseReader};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::events::EventReader;

/// Largest reply that is read whole, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 20;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection came about, so the target saw nothing of the request.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The connection broke or timed out; the target may have acted.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The target answered with another status than 200 or 201.
    #[error("status {status}: {body}")]
    Status {
        /// The status.
        status: u16,
        /// The start of the body.
        body: String,
    },
    /// The answer is not the JSON that is wanted.
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

impl ClientError {
    /// Whether the target certainly saw nothing of the request.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::NotConnected(_))
    }
}

/// Sends requests to one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    base: String,
    connect_timeout: Duration,
    read_timeout: Duration,
    headers: Vec<(&'static str, String)>,
}

impl HttpClient {
    /// A client for `address`.
    pub fn new(address: SocketAddr, connect_timeout: Duration, read_timeout: Duration) -> Self {
        Self {
            base: format!("http://{address}"),
            connect_timeout,
            read_timeout,
            headers: Vec::new(),
        }
    }

    /// The same client with one more header on each request.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// `GET path` as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send_empty(Method::GET, path)?;
        read_json(response)
    }

    /// `DELETE path`, the answer as JSON.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = self.send_empty(Method::DELETE, path)?;
        read_json(response)
    }

    /// `POST path` with a JSON body, the answer as JSON.
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

    /// `PUT path` with a JSON body, the answer as JSON.
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

    /// `POST path` with a JSON body, the answer as a stream of events.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn post_events<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<EventReader<ResponseReader>, ClientError> {
        let response = self.send_json(Method::POST, path, body)?;
        Ok(EventReader::new(response.split().2))
    }

    /// `GET path`, the answer as a stream of events.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub fn get_events(&self, path: &str) -> Result<EventReader<ResponseReader>, ClientError> {
        let response = self.send_empty(Method::GET, path)?;
        Ok(EventReader::new(response.split().2))
    }

    /// Sends `body` as JSON and returns the response whatever its status is.
    ///
    /// # Errors
    /// [`ClientError::NotConnected`] or [`ClientError::Broken`].
    pub fn exchange_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<attohttpc::Response, ClientError> {
        let request = self.builder(method, path);
        let request = request.json(body).map_err(classify)?;
        request.send().map_err(classify)
    }

    fn send_json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<attohttpc::Response, ClientError> {
        self.exchange_json(method, path, body).and_then(accept_status)
    }

    fn send_empty(&self, method: Method, path: &str) -> Result<attohttpc::Response, ClientError> {
        let sent = self.builder(method, path).send().map_err(classify);
        sent.and_then(accept_status)
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

fn accept_status(response: attohttpc::Response) -> Result<attohttpc::Response, ClientError> {
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
    let mut reader = response.split().2.take(MAX_REPLY_BYTES);
    reader.read_to_end(&mut body).map_err(|error| ClientError::Broken(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| ClientError::Malformed(error.to_string()))
}

fn classify(error: attohttpc::Error) -> ClientError {
    let text = error.to_string();
    match error.kind() {
        ErrorKind::ConnectNotSupported | ErrorKind::InvalidBaseUrl | ErrorKind::InvalidUrlHost => {
            ClientError::NotConnected(text)
        }
        ErrorKind::Io(source) if is_connect_failure(source) => ClientError::NotConnected(text),
        _ => ClientError::Broken(text),
    }
}

/// Only failures that cannot happen once a connection stands.
fn is_connect_failure(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}
