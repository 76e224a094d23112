//! Writing and reading of server-sent events.

use std::io::{self, BufRead, BufReader, Read, Write};

use serde::Serialize;

use crate::exchange::HeaderPair;
use crate::guarded_writer::GuardedWriter;
use crate::response::ResponseBody;

/// Maximum size of an event, including comments and other fields before its data, in bytes.
const MAX_EVENT_BYTES: u64 = 1 << 20;
/// Last chunk of a response with chunked transfer coding.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const DATA_FIELD: &str = "data: ";

/// Writes an event stream; each event is flushed immediately, the end of the stream on drop.
pub struct EventWriter {
    writer: GuardedWriter,
    framing: Framing,
}

/// How the end of a stream is marked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    Chunked,
    UntilClose,
}

impl EventWriter {
    pub(crate) fn start(
        mut writer: GuardedWriter,
        chunked: bool,
        headers: &[HeaderPair],
    ) -> io::Result<Self> {
        write!(writer, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n")?;
        write!(writer, "cache-control: no-store\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        let header = if chunked { "transfer-encoding: chunked" } else { "connection: close" };
        write!(writer, "{header}\r\n\r\n")?;
        writer.flush()?;
        let framing = if chunked { Framing::Chunked } else { Framing::UntilClose };
        Ok(Self { writer, framing })
    }

    /// Sends an event with `data` encoded as JSON.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn send<T: Serialize>(&mut self, data: &T) -> io::Result<()> {
        let text = serde_json::to_string(data)?;
        self.send_text(&text)
    }

    /// Sends an event with `data`, which must not contain line breaks.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn send_text(&mut self, data: &str) -> io::Result<()> {
        let event = format!("{DATA_FIELD}{data}\n\n");
        match self.framing {
            Framing::Chunked => write!(self.writer, "{:x}\r\n{event}\r\n", event.len())?,
            Framing::UntilClose => self.writer.write_all(event.as_bytes())?,
        }
        self.writer.flush()
    }
}

impl Drop for EventWriter {
    fn drop(&mut self) {
        if self.framing == Framing::Chunked {
            // Fails only if the connection is closed, when there is nobody to tell.
            let _ = self.writer.write_all(LAST_CHUNK).and_then(|()| self.writer.flush());
        }
    }
}

/// Reads the `data` fields of an event stream.
pub struct EventReader<R> {
    input: BufReader<R>,
}

impl EventReader<ResponseBody> {
    /// Restarts the time limit of the client, for a stream that makes progress.
    pub fn restart_timeout(&mut self) {
        self.input.get_mut().restart_timeout();
    }
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of `input`.
    pub fn new(input: R) -> Self {
        Self { input: BufReader::new(input) }
    }

    /// Returns the next `data` field, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the connection fails, if the stream ends within a line, or if no event
    /// ends within the size limit.
    pub fn next_data(&mut self) -> io::Result<Option<String>> {
        let mut input = (&mut self.input).take(MAX_EVENT_BYTES);
        let mut line = String::new();
        loop {
            line.clear();
            let read = input.read_line(&mut line)?;
            if input.limit() == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "an event exceeds the size limit",
                ));
            }
            if read == 0 {
                return Ok(None);
            }
            if !line.ends_with('\n') {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "the stream ends within a line",
                ));
            }
            if let Some(data) = line.trim_end().strip_prefix(DATA_FIELD) {
                return Ok(Some(data.to_owned()));
            }
        }
    }
}
