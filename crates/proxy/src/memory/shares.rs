//! Division of the memory limit between classes of reservations.

/// Responses above this fraction of the limit are large.
const LARGE_RESPONSE_DIVISOR: usize = 16;
/// Bytes of a response of unknown length that are read before it counts as a large one.
pub const UNANNOUNCED_BYTES: usize = 64 << 10;

/// Purpose of reserved memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClass {
    /// Body of a request, which may still be rejected.
    RequestBody,
    /// Response or part of one, which must be delivered to the client.
    Response,
    /// Large response, or one of unknown length that may become large. Limited separately, so that
    /// large responses do not block small ones.
    LargeResponse,
}

impl MemoryClass {
    /// Returns the class of a response of `bytes` bytes.
    pub fn of_response(bytes: usize, limit: usize) -> Self {
        if bytes > limit / LARGE_RESPONSE_DIVISOR { Self::LargeResponse } else { Self::Response }
    }

    /// Returns the class of a reservation that grows to `bytes` bytes. A response that has become
    /// large stays so.
    pub(super) fn when_grown(self, bytes: usize, limit: usize) -> Self {
        match self {
            Self::Response if bytes > UNANNOUNCED_BYTES => Self::LargeResponse,
            Self::Response => Self::of_response(bytes, limit),
            other => other,
        }
    }

    /// Returns whether a new reservation of `bytes` bytes is possible. If nothing else is reserved
    /// in its share, one of any size is granted, since it could never succeed otherwise; a large
    /// response that exceeds its share counts as that share for the others.
    pub(super) fn admits(self, bytes: usize, reserved: &BytesByClass, limit: usize) -> bool {
        let BytesByClass { request_bodies, responses, large_responses } = *reserved;
        let is_first = match self {
            Self::RequestBody => request_bodies == 0,
            Self::Response => responses + large_responses == 0,
            Self::LargeResponse => large_responses == 0 && responses_fit(responses, bytes, limit),
        };
        is_first || self.has_room(bytes, reserved, limit)
    }

    /// Returns whether `bytes` bytes fit into the share of this class beside what others have
    /// reserved. Request bodies get a quarter of the limit and responses the rest, so that accepted
    /// requests find room for their responses; large responses leave a quarter for small ones.
    pub(super) fn has_room(self, bytes: usize, others: &BytesByClass, limit: usize) -> bool {
        let BytesByClass { request_bodies, responses, large_responses } = *others;
        match self {
            Self::RequestBody => request_bodies.saturating_add(bytes) <= limit / 4,
            Self::Response => {
                responses_fit(responses.saturating_add(bytes), large_responses, limit)
            }
            Self::LargeResponse => {
                let large_responses = large_responses.saturating_add(bytes);
                large_responses <= large_share(limit)
                    && responses_fit(responses, large_responses, limit)
            }
        }
    }
}

fn large_share(limit: usize) -> usize {
    limit / 2
}

/// Large responses count as their share at most.
fn responses_fit(responses: usize, large_responses: usize, limit: usize) -> bool {
    responses.saturating_add(large_responses.min(large_share(limit))) <= limit / 4 * 3
}

/// Reserved bytes by class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BytesByClass {
    request_bodies: usize,
    responses: usize,
    large_responses: usize,
}

impl BytesByClass {
    pub(super) fn add(&mut self, class: MemoryClass, bytes: usize) {
        *self.class_mut(class) += bytes;
    }

    pub(super) fn subtract(&mut self, class: MemoryClass, bytes: usize) {
        *self.class_mut(class) -= bytes;
    }

    /// Returns whether all responses are within their shares.
    pub(super) fn is_within(&self, limit: usize) -> bool {
        MemoryClass::LargeResponse.has_room(0, self, limit)
    }

    pub(super) fn sum(&self) -> usize {
        self.request_bodies + self.responses + self.large_responses
    }

    fn class_mut(&mut self, class: MemoryClass) -> &mut usize {
        match class {
            MemoryClass::RequestBody => &mut self.request_bodies,
            MemoryClass::Response => &mut self.responses,
            MemoryClass::LargeResponse => &mut self.large_responses,
        }
    }
}
