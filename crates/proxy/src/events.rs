//! Incremental parser for server-sent events.
//!
//! Emits complete events only, since a replica may fail in the middle of an event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Raw bytes, including the terminating empty line.
    pub bytes: Bytes,
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Values of the `data` fields joined by line feeds, or `None` if there are none.
    pub data: Option<Vec<u8>>,
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds the maximum size")]
pub struct EventTooLong;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes that were searched for the end of an event already.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete event, if any.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an incomplete event exceeds the maximum size.
    pub fn next_event(&mut self) -> Result<Option<ServerEvent>, EventTooLong> {
        let from = self.searched.saturating_sub(3);
        match end_of_event(&self.buffer, from) {
            Some(end) => {
                self.searched = 0;
                Ok(Some(parse(self.buffer.split_to(end).freeze())))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(EventTooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the index after the empty line that ends the first event, searching from `from`.
fn end_of_event(buffer: &[u8], from: usize) -> Option<usize> {
    let tail = buffer.get(from..)?;
    for (offset, byte) in tail.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &tail[offset + 1..];
        if rest.starts_with(b"\n") {
            return Some(from + offset + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(from + offset + 3);
        }
    }
    None
}

fn parse(bytes: Bytes) -> ServerEvent {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id:") {
            id = Some(String::from_utf8_lossy(value).into_owned());
        }
        if let Some(value) = field_value(line, b"data:") {
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
    }
    ServerEvent { bytes, id, data }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
