//! Server-sent events, written and read.

use std::io::{self, BufRead, BufReader, Read, Write};

use chunked_transfer::Encoder;
use serde::Serialize;

use crate::exchange::HeaderPair;

/// Longest accepted line of an event stream, in bytes.
const MAX_LINE_BYTES: u64 = 8 << 20;
/// Bytes gathered before a chunk is sent without an explicit flush.
const CHUNK_BYTES: usize = 4096;
const DATA_FIELD: &str = "data: ";

/// Writes events to a caller, each flushed at once.
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

    /// Sends one event with `data` as JSON.
    ///
    /// # Errors
    /// When the caller is gone.
    pub fn send<T: Serialize>(&mut self, data: &T) -> io::Result<()> {
        let text = serde_json::to_string(data)?;
        self.send_text(&text)
    }

    /// Sends one event with `data` as it is; it must hold no line break.
    ///
    /// # Errors
    /// When the caller is gone.
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

/// Reads the data fields of an event stream.
pub struct EventReader<R> {
    input: BufReader<R>,
}

impl<R: Read> EventReader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Self {
        Self { input: BufReader::new(input) }
    }

    /// The next data field; `None` at the end of the stream.
    ///
    /// # Errors
    /// When the connection breaks or a line is longer than 8 MiB.
    pub fn next_data(&mut self) -> io::Result<Option<String>> {
        loop {
            let mut line = String::new();
            let read = (&mut self.input).take(MAX_LINE_BYTES).read_line(&mut line)?;
            if read == 0 {
                return Ok(None);
            }
            if read as u64 == MAX_LINE_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "line too long"));
            }
            if let Some(data) = line.trim_end().strip_prefix(DATA_FIELD) {
                return Ok(Some(data.to_owned()));
            }
        }
    }
}
