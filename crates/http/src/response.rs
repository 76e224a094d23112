//! Response to a request of a client.

use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use serde::de::DeserializeOwned;

use crate::client::ClientError;
use crate::events::EventReader;
use crate::limited_stream::LimitedStream;
use crate::response_head::{BodyFraming, HeadError, ResponseHead};

/// Maximum length of the line before a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: u64 = 256;
/// Maximum size of the body of an error response, in bytes. The rest is discarded.
const MAX_ERROR_BODY_BYTES: u64 = 64 << 10;
/// Time limit for the body of an error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Response whose head has been received.
#[derive(Debug)]
pub struct Response {
    status: u16,
    body: ResponseBody,
}

impl Response {
    pub(crate) fn receive(stream: LimitedStream) -> Result<Self, HeadError> {
        let mut input = BufReader::new(stream);
        let ResponseHead { status, framing } = ResponseHead::read(&mut input)?;
        let remaining = match framing {
            BodyFraming::Chunked => Remaining::Chunks(0),
            BodyFraming::Length(length) => Remaining::Bytes(length),
            BodyFraming::UntilClose => Remaining::UntilClose,
        };
        Ok(Self { status, body: ResponseBody { input, remaining } })
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
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
        body.input.get_mut().shorten_timeout(ERROR_BODY_TIMEOUT);
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

/// What is still to come of a body.
#[derive(Clone, Copy, Debug)]
enum Remaining {
    /// Bytes of the current chunk, and further chunks.
    Chunks(u64),
    /// Bytes of the body.
    Bytes(u64),
    /// Everything up to the end of the connection.
    UntilClose,
    /// Nothing.
    Nothing,
}

/// Body of a response, which ends with an error at the limits of its client.
#[derive(Debug)]
pub struct ResponseBody {
    input: BufReader<LimitedStream>,
    remaining: Remaining,
}

impl ResponseBody {
    /// Restarts the time limit of the client, for a stream that makes progress.
    pub fn restart_timeout(&mut self) {
        self.input.get_mut().restart_timeout();
    }

    /// Reads at most `limit` bytes of the body, of which at least one must follow.
    fn read_part(&mut self, buffer: &mut [u8], limit: u64) -> io::Result<u64> {
        let read = (&mut self.input).take(limit).read(buffer)?;
        if read == 0 && !buffer.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(read as u64)
    }

    fn read_chunk(&mut self, buffer: &mut [u8], rest: u64) -> io::Result<u64> {
        let rest = if rest == 0 { self.read_chunk_length()? } else { rest };
        if rest == 0 {
            // The connection is closed, so that trailers are not read.
            self.remaining = Remaining::Nothing;
            return Ok(0);
        }
        let read = self.read_part(buffer, rest)?;
        self.remaining = Remaining::Chunks(rest - read);
        if rest == read {
            self.read_chunk_end()?;
        }
        Ok(read)
    }

    fn read_chunk_length(&mut self) -> io::Result<u64> {
        let mut line = Vec::new();
        (&mut self.input).take(MAX_CHUNK_LINE_BYTES).read_until(b'\n', &mut line)?;
        let has_length = line.first().is_some_and(u8::is_ascii_hexdigit);
        match httparse::parse_chunk_size(&line) {
            Ok(httparse::Status::Complete((_, length))) if has_length => Ok(length),
            _ => Err(invalid_chunk()),
        }
    }

    fn read_chunk_end(&mut self) -> io::Result<()> {
        let mut end = [0; 2];
        self.input.read_exact(&mut end)?;
        if end == *b"\r\n" { Ok(()) } else { Err(invalid_chunk()) }
    }
}

impl Read for ResponseBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if buffer.is_empty() {
            return Ok(0);
        }
        let read = match self.remaining {
            Remaining::Nothing | Remaining::Bytes(0) => 0,
            Remaining::Bytes(rest) => {
                let read = self.read_part(buffer, rest)?;
                self.remaining = Remaining::Bytes(rest - read);
                read
            }
            Remaining::Chunks(rest) => self.read_chunk(buffer, rest)?,
            Remaining::UntilClose => return self.input.read(buffer),
        };
        // At most the length of the buffer.
        Ok(read as usize)
    }
}

fn invalid_chunk() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the response has an invalid chunk")
}
