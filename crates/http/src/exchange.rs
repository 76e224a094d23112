//! HTTP request and its response.

use std::io::{self, Cursor, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Header, Method, Request, Response, StatusCode};

use crate::events::EventWriter;
use crate::guarded_writer::GuardedWriter;
use crate::server::ServerSettings;
use crate::slow_peer::{Awaited, DeadlineGuard, PeerDeadlines};

/// Header that asks the peer to close the connection.
///
/// `tiny_http` omits a header named `connection`, so it follows another one in the same value.
const CLOSE_HEADER: (&str, &str) = ("cache-control", "no-store\r\nconnection: close");

/// Limits on a request and its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeLimits {
    max_body_bytes: usize,
    body_timeout: Duration,
    stall_timeout: Duration,
}

impl From<&ServerSettings> for ExchangeLimits {
    fn from(settings: &ServerSettings) -> Self {
        Self {
            max_body_bytes: settings.max_body_bytes,
            body_timeout: settings.body_timeout,
            stall_timeout: settings.reader_stall_timeout,
        }
    }
}

/// Error in reading a request body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body was not fully received in time, or the connection failed.
    #[error("the body did not arrive whole within {} ms", timeout.as_millis())]
    Incomplete {
        /// Time limit for receiving the body.
        timeout: Duration,
    },
    /// The body is not valid JSON of the expected type.
    #[error("the body is not valid: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Name and value of a response header.
pub type HeaderPair = (&'static str, String);

/// Request that is being handled, with the means to respond to it.
pub struct Exchange {
    request: Request,
    limits: ExchangeLimits,
    deadlines: PeerDeadlines,
    /// Whether the response asks the peer to close the connection.
    closing: Arc<AtomicBool>,
    path: String,
    query: String,
}

impl Exchange {
    pub(crate) fn new(
        request: Request,
        limits: ExchangeLimits,
        deadlines: PeerDeadlines,
        closing: Arc<AtomicBool>,
    ) -> Self {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        Self { request, limits, deadlines, closing, path, query }
    }

    /// Returns the method in upper case.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<String> {
        let segments = self.path.split('/').filter(|part| !part.is_empty());
        segments.map(str::to_owned).collect()
    }

    /// Returns the first value of the query parameter `name`, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut matches = pairs.filter(|(key, _)| *key == name);
        matches.next().map(|(_, value)| value)
    }

    /// Returns the value of the header `name`, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.request.headers();
        let found = headers
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(found.value.as_str())
    }

    /// Reads the complete body within the server's limits.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub fn read_body(&mut self) -> Result<Vec<u8>, BodyError> {
        let limit = self.limits.max_body_bytes;
        if self.request.body_length().is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge { limit });
        }
        let timeout = self.limits.body_timeout;
        let guard = self.guard();
        if let Some(guard) = &guard {
            guard.renew(Awaited::Body, timeout);
        }
        let expected = self.request.body_length();
        let mut body = Vec::new();
        let mut reader = self.request.as_reader().take(limit as u64 + 1);
        let read = reader.read_to_end(&mut body);
        drop(guard);
        let is_truncated = expected.is_some_and(|length| body.len() < length);
        if read.is_err() || is_truncated {
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

    /// Responds with `body` encoded as JSON.
    pub fn reply_json<T: Serialize>(self, status: u16, headers: &[HeaderPair], body: &T) {
        let text = serde_json::to_vec(body).unwrap_or_default();
        self.reply(status, "application/json", headers, text);
    }

    /// Responds with the text `body`.
    pub fn reply_text(self, status: u16, content_type: &str, body: impl Into<String>) {
        self.reply(status, content_type, &[], body.into().into_bytes());
    }

    fn reply(self, status: u16, content_type: &str, headers: &[HeaderPair], body: Vec<u8>) {
        let guard = self.guard();
        let length = Some(body.len());
        let body =
            GuardedBody { body: Cursor::new(body), guard: guard.as_ref(), limits: self.limits };
        let mut response = Response::new(StatusCode(status), Vec::new(), body, length, None);
        add_header(&mut response, "content-type", content_type);
        for (name, value) in headers {
            add_header(&mut response, name, value);
        }
        if self.is_closing() {
            let (name, value) = CLOSE_HEADER;
            add_header(&mut response, name, value);
        }
        // Fails only if the peer has closed the connection or is too slow, which is logged.
        let _ = self.request.respond(response);
        drop(guard);
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    fn guard(&self) -> Option<DeadlineGuard> {
        let peer = self.request.remote_addr().copied();
        peer.map(|peer| self.deadlines.guard(peer))
    }

    /// Starts a response of server-sent events.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn start_event_stream(self, headers: &[HeaderPair]) -> io::Result<EventWriter> {
        let chunked = *self.request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let is_head = *self.request.method() == Method::Head;
        let guard = self.guard();
        let stall_timeout = self.limits.stall_timeout;
        let mut headers = headers.to_vec();
        if self.is_closing() && chunked {
            headers.push(("connection", "close".to_owned()));
        }
        let writer = GuardedWriter::start(self.request.into_writer(), guard, stall_timeout)?;
        EventWriter::start(writer, chunked && !is_head, &headers)
    }
}

fn add_header<R: Read>(response: &mut Response<R>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
        response.add_header(header);
    }
}

/// Response body whose reads renew the deadline of the connection.
///
/// The first read follows the head, which waits until earlier responses are written.
struct GuardedBody<'a> {
    body: Cursor<Vec<u8>>,
    guard: Option<&'a DeadlineGuard>,
    limits: ExchangeLimits,
}

impl Read for GuardedBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some(guard) = self.guard {
            guard.renew(Awaited::Progress, self.limits.stall_timeout);
        }
        self.body.read(buffer)
    }
}

impl Drop for GuardedBody<'_> {
    fn drop(&mut self) {
        // Dropping the request reads the rest of its body.
        if let Some(guard) = self.guard {
            guard.renew(Awaited::Progress, self.limits.body_timeout);
        }
    }
}
