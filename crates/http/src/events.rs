//! Writing and reading of server-sent events.

use std::io::{self, BufRead, BufReader, Read, Write};

use chunked_transfer::Encoder;
use serde::Serialize;

use crate::exchange::HeaderPair;

/// Maximum length of a line of an event stream, in bytes.
const MAX_LINE_BYTES: u64 = 8 << 20;
/// Buffer size of the chunked encoder, in bytes.
const CHUNK_BYTES: usize = 4096;
const DATA_FIELD: &str = "data: ";

/// Writes an event stream; each event is flushed immediately.
pub struct EventWriter {
    output: Output,
}

enum Output {
    Chunked(Encoder<Box<dyn Write + Send>>),
    Plain(Box<dyn Write + Send>),
}

impl EventWriter {
    pub(crate) fn start(
        mut writer: Box<dyn Write + Send>,
        chunked: bool,
        headers: &[HeaderPair],
    ) -> io::Result<Self> {
        write!(writer, "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n")?;
        write!(writer, "cache-control: no-store\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        let framing = if chunked { "transfer-encoding: chunked" } else { "connection: close" };
        write!(writer, "{framing}\r\n\r\n")?;
        writer.flush()?;
        let output = if chunked {
            Output::Chunked(Encoder::with_chunks_size(writer, CHUNK_BYTES))
        } else {
            Output::Plain(writer)
        };
        Ok(Self { output })
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
        match &mut self.output {
            Output::Chunked(encoder) => {
                encoder.write_all(event.as_bytes())?;
                encoder.flush()
            }
            Output::Plain(writer) => {
                writer.write_all(event.as_bytes())?;
                writer.flush()
            }
        }
    }
}

/// Reads the `data` fields of an event stream.
pub struct EventReader<R> {
    input: BufReader<R>,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of `input`.
    pub fn new(input: R) -> Self {
        Self { input: BufReader::new(input) }
    }

    /// Returns the next `data` field, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the connection fails or a line is too long.
    pub fn next_data(&mut self) -> io::Result<Option<String>> {
        loop {
            let mut line = String::new();
            let read = (&mut self.input).take(MAX_LINE_BYTES).read_line(&mut line)?;
            if read == 0 {
                return Ok(None);
            }
            if read as u64 == MAX_LINE_BYTES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "event stream line exceeds the size limit",
                ));
            }
            if let Some(data) = line.trim_end().strip_prefix(DATA_FIELD) {
                return Ok(Some(data.to_owned()));
            }
        }
    }
}
