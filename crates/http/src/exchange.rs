//! One request and its answer.

use std::io::{self, Read};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response, StatusCode};

use crate::events::EventWriter;
use crate::server::ServerSettings;
use crate::slow_peer::SlowPeerWatch;

/// Bounds on a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    max_bytes: usize,
    timeout: Duration,
}

impl From<&ServerSettings> for BodyLimits {
    fn from(settings: &ServerSettings) -> Self {
        Self { max_bytes: settings.max_body_bytes, timeout: settings.body_timeout }
    }
}

/// Why a body could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// It did not arrive whole in time, or the connection broke.
    #[error("the body did not arrive whole within {} ms", timeout.as_millis())]
    Incomplete {
        /// Time the body had.
        timeout: Duration,
    },
    /// It is not the JSON that is wanted.
    #[error("the body is not valid: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A header of an answer: name and value.
pub type HeaderPair = (&'static str, String);

/// One request being handled.
pub struct Exchange {
    request: Request,
    limits: BodyLimits,
    watch: SlowPeerWatch,
    path: String,
    query: String,
}

impl Exchange {
    pub(crate) fn new(request: Request, limits: BodyLimits, watch: SlowPeerWatch) -> Self {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        Self { path: path.to_owned(), query: query.to_owned(), request, limits, watch }
    }

    /// The method, in capitals.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The path's segments.
    pub fn segments(&self) -> Vec<String> {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        parts.map(str::to_owned).collect()
    }

    /// The value of `name` in the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut matching = pairs.filter(|(key, _)| *key == name);
        matching.next().map(|(_, value)| value)
    }

    /// The value of the header `name`, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.request.headers();
        let found = headers
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(found.value.as_str())
    }

    /// Reads the whole body within the server's bounds.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub fn read_body(&mut self) -> Result<Vec<u8>, BodyError> {
        let limit = self.limits.max_bytes;
        if self.request.body_length().is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge { limit });
        }
        let timeout = self.limits.timeout;
        let peer = self.request.remote_addr().copied();
        let guard = peer.map(|peer| self.watch.guard(peer, timeout));
        let expected = self.request.body_length();
        let mut body = Vec::new();
        let mut reader = self.request.as_reader().take(limit as u64 + 1);
        let read = reader.read_to_end(&mut body);
        drop(guard);
        let is_short = expected.is_some_and(|length| body.len() < length);
        if read.is_err() || is_short {
            return Err(BodyError::Incomplete { timeout });
        }
        if body.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        Ok(body)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub fn read_json<T: DeserializeOwned>(&mut self) -> Result<T, BodyError> {
        let body = self.read_body()?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Answers with `body` as JSON.
    pub fn reply_json<T: Serialize>(self, status: u16, headers: &[HeaderPair], body: &T) {
        let text = serde_json::to_vec(body).unwrap_or_default();
        self.reply(status, "application/json", headers, text);
    }

    /// Answers with `body` as plain text.
    pub fn reply_text(self, status: u16, content_type: &str, body: impl Into<String>) {
        self.reply(status, content_type, &[], body.into().into_bytes());
    }

    fn reply(self, status: u16, content_type: &str, headers: &[HeaderPair], body: Vec<u8>) {
        let mut response = Response::from_data(body).with_status_code(StatusCode(status));
        add_header(&mut response, "content-type", content_type);
        for (name, value) in headers {
            add_header(&mut response, name, value);
        }
        // What is left of an unread body is drained when the request is dropped;
        // the guard keeps a slow sender from holding the worker there.
        let peer = self.request.remote_addr().copied();
        let guard = peer.map(|peer| self.watch.guard(peer, self.limits.timeout));
        let _ = self.request.respond(response);
        drop(guard);
    }

    /// Starts an answer of server-sent events.
    ///
    /// # Errors
    /// When the caller is gone already.
    pub fn start_events(self, headers: &[HeaderPair]) -> io::Result<EventWriter> {
        let chunked = *self.request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let is_head = *self.request.method() == Method::Head;
        EventWriter::start(self.request.into_writer(), chunked && !is_head, headers)
    }
}

fn add_header<R: Read>(response: &mut Response<R>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
        response.add_header(header);
    }
}
