//! Incremental parser for server-sent events.
//!
//! Emits complete events only, since a replica may fail in the middle of an event.

use bytes::Bytes;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Raw bytes, including the terminating empty line.
    pub bytes: Bytes,
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Values of the `data` fields joined by line feeds, or `None` if there are none. Shares the
    /// raw bytes if there is one.
    pub data: Option<Bytes>,
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event exceeds the maximum size")]
pub struct EventTooLong;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that were taken.
    taken: usize,
    /// Index up to which the buffer was searched for the end of an event already.
    searched: usize,
}

impl EventSplitter {
    /// Returns the size of the buffer once `more` bytes are appended, in bytes.
    pub fn capacity_with(&self, more: usize) -> usize {
        let needed = self.partial_bytes() + more;
        let capacity = self.buffer.capacity();
        if needed <= capacity { capacity } else { needed.max(2 * capacity) }
    }

    /// Returns the size of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        let capacity = self.capacity_with(data.len());
        self.buffer.drain(..self.taken);
        self.searched -= self.taken;
        self.taken = 0;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.buffer.extend_from_slice(data);
    }

    /// Returns the length of the next complete event, if any.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an incomplete event exceeds the maximum size.
    pub fn event_bytes(&mut self) -> Result<Option<usize>, EventTooLong> {
        // The end of an event may have arrived in several parts.
        let from = self.searched.saturating_sub(3).max(self.taken);
        match end_of_event(&self.buffer, from) {
            Some(end) => Ok(Some(end - self.taken)),
            None if self.partial_bytes() > MAX_EVENT_BYTES => Err(EventTooLong),
            None => {
                self.searched = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Takes the next complete event, whose length is `bytes`. An empty buffer is freed, so that
    /// streams hold no memory between events.
    pub fn take_event(&mut self, bytes: usize) -> Bytes {
        let end = self.taken + bytes;
        let event = Bytes::copy_from_slice(&self.buffer[self.taken..end]);
        self.taken = end;
        self.searched = end;
        if self.partial_bytes() == 0 {
            *self = Self::default();
        }
        event
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        self.partial_bytes() > 0
    }

    fn partial_bytes(&self) -> usize {
        self.buffer.len() - self.taken
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

impl ServerEvent {
    /// Returns the raw bytes. Their memory is released when the last handle to them is dropped, so
    /// that the other fields, which may share them, should not be kept.
    pub fn into_bytes(self) -> Bytes {
        self.bytes
    }

    /// Parses the bytes of a complete event.
    pub fn parse(bytes: Bytes) -> Self {
        let mut id = None;
        let mut first: Option<Bytes> = None;
        let mut joined = Vec::new();
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field_value(line, b"id:") {
                id = Some(String::from_utf8_lossy(value).into_owned());
            }
            if let Some(value) = field_value(line, b"data:") {
                match &first {
                    None => first = Some(bytes.slice_ref(value)),
                    Some(first) => {
                        if joined.is_empty() {
                            joined.extend_from_slice(first);
                        }
                        joined.push(b'\n');
                        joined.extend_from_slice(value);
                    }
                }
            }
        }
        let data = if joined.is_empty() { first } else { Some(joined.into()) };
        Self { bytes, id, data }
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
