//! Finds the end of a request in the bytes of a connection.

/// Bytes that end the head of a request.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Whether a connection has received bytes beyond the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    /// It has not.
    None,
    /// It has, or that cannot be told.
    Possible,
}

/// What may be read of a connection without reading beyond the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBound {
    /// The rest of its head.
    HeadEnd,
    /// This many bytes of its body.
    BodyBytes(u64),
    /// Its end is not known.
    Unknown,
}

/// Counts the bytes received since the start of a request.
///
/// Does not parse requests: it only recognizes the blank line after a head, and is told the length
/// of the body.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestEnd {
    /// Number of bytes that are still to be received of the body of the previous request.
    previous_body: u64,
    last_bytes: u32,
    /// Number of bytes received after the head, once the head is complete.
    after_head: Option<u64>,
    /// Whether the start of the request was among the bytes of an earlier one.
    is_unknown: bool,
}

impl RequestEnd {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let previous = bytes.len().min(usize::try_from(self.previous_body).unwrap_or(usize::MAX));
        self.previous_body -= previous as u64;
        let mut rest = &bytes[previous..];
        while self.after_head.is_none()
            && let Some((first, following)) = rest.split_first()
        {
            rest = following;
            // Blank lines may precede a request.
            if self.last_bytes == 0 && matches!(first, b'\r' | b'\n') {
                continue;
            }
            self.last_bytes = self.last_bytes << 8 | u32::from(*first);
            if self.last_bytes == HEAD_END {
                self.after_head = Some(0);
            }
        }
        if let Some(after_head) = &mut self.after_head {
            *after_head += rest.len() as u64;
        }
    }

    /// Returns how many of the `waiting` bytes, which follow the received ones, belong to the head.
    pub fn head_part(&self, waiting: &[u8]) -> usize {
        let mut end = *self;
        end.push(waiting);
        let after_head = end.after_head.unwrap_or(0);
        waiting.len().saturating_sub(usize::try_from(after_head).unwrap_or(usize::MAX))
    }

    /// Returns what may be read of the request, which has a body of `body_bytes` bytes, or one of
    /// unknown length.
    pub fn read_bound(&self, body_bytes: Option<u64>) -> ReadBound {
        match (self.after_head, self.missing_body(body_bytes)) {
            (None, _) => ReadBound::HeadEnd,
            (Some(_), Some(missing @ 1..)) => ReadBound::BodyBytes(missing),
            (Some(_), _) => ReadBound::Unknown,
        }
    }

    /// Returns how many bytes of the previous request's body are still to be received.
    pub fn previous_body(&self) -> u64 {
        self.previous_body
    }

    /// Returns how many bytes of the body were not received, if that is known.
    pub fn missing_body(&self, body_bytes: Option<u64>) -> Option<u64> {
        let (received, length) = self.after_head.zip(body_bytes)?;
        (!self.is_unknown).then(|| length.saturating_sub(received))
    }

    /// Returns whether bytes beyond the request were received, which has a body of `body_bytes`
    /// bytes, or one of unknown length.
    pub fn surplus(&self, body_bytes: Option<u64>) -> Surplus {
        let is_exact = body_bytes.is_some() && self.after_head == body_bytes;
        if is_exact && !self.is_unknown { Surplus::None } else { Surplus::Possible }
    }

    /// Returns whether bytes beyond the request were certainly received.
    pub fn has_surplus(&self, body_bytes: Option<u64>) -> bool {
        let has_more = body_bytes.is_some_and(|body_bytes| self.after_head > Some(body_bytes));
        has_more && !self.is_unknown
    }

    /// Begins the next request, given whether bytes of it have been received.
    pub fn begin_next(&mut self, surplus: Surplus) {
        *self = Self { is_unknown: surplus == Surplus::Possible, ..Self::default() };
    }

    /// Begins the next request, behind a number of bytes of the current one.
    pub fn begin_behind(&mut self, previous_body: u64) {
        *self = Self { previous_body, ..Self::default() };
    }
}
