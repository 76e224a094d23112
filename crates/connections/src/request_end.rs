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

/// Counts the bytes received since the start of a request.
///
/// Does not parse requests: it only recognizes the blank line after a head, and is told the length
/// of the body.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestEnd {
    last_bytes: u32,
    /// Number of bytes received after the head, once the head is complete.
    after_head: Option<u64>,
    /// Whether the start of the request was among the bytes of an earlier one.
    is_unknown: bool,
}

impl RequestEnd {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while self.after_head.is_none()
            && let Some((first, following)) = rest.split_first()
        {
            self.last_bytes = self.last_bytes << 8 | u32::from(*first);
            rest = following;
            if self.last_bytes == HEAD_END {
                self.after_head = Some(0);
            }
        }
        if let Some(after_head) = &mut self.after_head {
            *after_head += rest.len() as u64;
        }
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
}
