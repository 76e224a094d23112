//! Buffer for encoded messages.

use bincode::enc::write::Writer;
use bincode::error::EncodeError;

/// Capacity up to which a buffer grows by doubling, in bytes.
const MAX_DOUBLED_BYTES: usize = 256 << 10;
/// Part of its capacity by which a larger buffer grows.
const GROWTH_DIVISOR: usize = 8;

/// Buffer that wastes little memory on large messages. Doubling would reserve twice the size of a
/// message whose last field follows a long one.
#[derive(Debug)]
pub(crate) struct MessageBuffer(Vec<u8>);

impl MessageBuffer {
    /// Creates a buffer that begins with `header_bytes` zero bytes.
    pub(crate) fn with_header(header_bytes: usize) -> Self {
        Self(vec![0; header_bytes])
    }

    /// Returns the content. The capacity of a large one is its length.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let mut bytes = self.0;
        if bytes.capacity() > MAX_DOUBLED_BYTES {
            bytes.shrink_to_fit();
        }
        bytes
    }

    fn make_room(&mut self, bytes: usize) {
        let capacity = self.0.capacity();
        if self.0.len() + bytes > capacity && capacity > MAX_DOUBLED_BYTES {
            self.0.reserve_exact(bytes.max(capacity / GROWTH_DIVISOR));
        }
    }
}

impl Writer for MessageBuffer {
    fn write(&mut self, bytes: &[u8]) -> Result<(), EncodeError> {
        self.make_room(bytes.len());
        self.0.extend_from_slice(bytes);
        Ok(())
    }
}
