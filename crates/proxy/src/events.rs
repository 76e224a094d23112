//! Server-sent events, cut from a byte stream.
//!
//! Only whole events leave: a replica that breaks off may stop within one.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its identity, where it has one.
    pub id: Option<String>,
    /// Its data; lines are joined by a line feed. `None` without any.
    pub data: Option<Vec<u8>>,
}

/// An event is longer than is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event is too long")]
pub struct EventTooLong;

/// Cuts events from pieces of any size.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes that were searched in vain.
    searched: usize,
}

impl EventSplitter {
    /// Adds what arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next whole event.
    ///
    /// # Errors
    /// [`EventTooLong`].
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

    /// Whether part of an event is left.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Index after the empty line that ends the first event; searched from `from` on.
fn end_of_event(buffer: &[u8], from: usize) -> Option<usize> {
    let tail = buffer.get(from..)?;
    for (offset, byte) in tail.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let after = &tail[offset + 1..];
        if after.starts_with(b"\n") {
            return Some(from + offset + 2);
        }
        if after.starts_with(b"\r\n") {
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
        if let Some(value) = field(line, b"id:") {
            id = Some(String::from_utf8_lossy(value).into_owned());
        }
        if let Some(value) = field(line, b"data:") {
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

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
