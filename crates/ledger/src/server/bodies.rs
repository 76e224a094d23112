//! Receives the bodies of operator requests, in bounded time and memory.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Part of its length by which a body's buffer grows. Doubling would reserve twice its size.
const GROWTH_DIVISOR: usize = 8;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of the bodies of operator requests, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Length of one body.
    pub one: usize,
    /// Length of all bodies together.
    pub total: usize,
}

/// Memory for the bodies of operator requests. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limits: BodyLimits,
    free_bytes: Arc<Semaphore>,
}

/// Memory of a body, which is free for others once this value is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    _memory: Option<OwnedSemaphorePermit>,
}

/// A complete body.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The content.
    pub bytes: Vec<u8>,
    /// Its memory.
    pub memory: BodyPermit,
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than [`BodyLimits::one`].
    #[error("body is too long")]
    TooLong,
    /// The connection ended, or the body is malformed.
    #[error("body is incomplete")]
    Incomplete,
    /// It did not arrive in time.
    #[error("body did not arrive in time")]
    TimedOut,
    /// The bodies of other requests take all the memory.
    #[error("no memory for another body")]
    NoMemory,
    /// It had not arrived when the machine had to answer its calls before it stops.
    #[error("machine stops")]
    Stopping,
}

impl BodyMemory {
    /// Creates a memory with limits.
    pub fn new(limits: BodyLimits) -> Self {
        Self { limits, free_bytes: Arc::new(Semaphore::new(limits.total)) }
    }

    /// Returns the memory taken by all bodies in bytes.
    pub fn held_bytes(&self) -> usize {
        self.limits.total.saturating_sub(self.free_bytes.available_permits())
    }

    /// Receives a body.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub async fn receive(&self, body: Incoming) -> Result<ReceivedBody, BodyError> {
        timeout(BODY_TIMEOUT, self.collect(body)).await.unwrap_or(Err(BodyError::TimedOut))
    }

    async fn collect(&self, mut body: Incoming) -> Result<ReceivedBody, BodyError> {
        let mut bytes = Vec::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                // Trailers.
                continue;
            };
            if bytes.len() + data.len() > self.limits.one {
                return Err(BodyError::TooLong);
            }
            let more = self.reserve(data.len())?;
            match &mut memory {
                Some(memory) => memory.merge(more),
                None => memory = Some(more),
            }
            if bytes.len() + data.len() > bytes.capacity() {
                bytes.reserve_exact(data.len().max(bytes.len() / GROWTH_DIVISOR));
            }
            bytes.extend_from_slice(&data);
        }
        bytes.shrink_to_fit();
        Ok(ReceivedBody { bytes, memory: BodyPermit { _memory: memory } })
    }

    /// Does not wait for other bodies, which may in turn wait for this one.
    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, BodyError> {
        let bytes = u32::try_from(bytes).map_err(|_| BodyError::TooLong)?;
        let free_bytes = Arc::clone(&self.free_bytes);
        free_bytes.try_acquire_many_owned(bytes).map_err(|_| BodyError::NoMemory)
    }
}
