//! The versions of the messages between gateways and ledger machines, and among these.
//!
//! | version | since | what is new |
//! |---|---|---|
//! | 1 | builds that name none | |
//! | 2 | drained zones | versions, zones of ledger machines, packed frames, drained zones, cold replicas, homes |
//!
//! A change to the form of any message needs a new version, and a translation from and to the one
//! before in a module of its own. Inside, there are only the newest forms.

use calicohoist_transport::{Frame, FrameError, FrameReader, ProtocolVersion, VersionRange};
use tokio::io::AsyncRead;

use super::v1::{AskV1, ReplyV1};
use super::{Ask, Reply};

/// The newest version.
pub const NEWEST: ProtocolVersion = ProtocolVersion::new(2);
/// Versions that this build speaks: machines are replaced one after the other, so that those of the
/// build before go on beside it.
pub const SPOKEN: VersionRange = VersionRange { oldest: ProtocolVersion::LEGACY, newest: NEWEST };

impl Ask {
    /// Its frame in this version.
    ///
    /// # Errors
    /// When it cannot be represented or is too long.
    pub fn encode(self, version: ProtocolVersion) -> Result<Frame, FrameError> {
        match version {
            ProtocolVersion::LEGACY => Frame::encode(&AskV1::from(self)),
            _ => Frame::encode(&self),
        }
    }

    /// The next one that comes in this version.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn read<R: AsyncRead + Unpin>(
        frames: &mut FrameReader<R>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::LEGACY => frames.next::<AskV1>().await.map(Self::from),
            _ => frames.next().await,
        }
    }
}

impl Reply {
    /// Its frame in this version.
    ///
    /// # Errors
    /// When it cannot be represented or is too long.
    pub fn encode(self, version: ProtocolVersion) -> Result<Frame, FrameError> {
        match version {
            ProtocolVersion::LEGACY => Frame::encode(&ReplyV1::from(self)),
            _ => Frame::encode(&self),
        }
    }

    /// The next one that comes in this version; `on_bytes` is called whenever bytes have come, of
    /// a whole one or not.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is of no use afterwards.
    pub async fn read<R: AsyncRead + Unpin>(
        frames: &mut FrameReader<R>,
        version: ProtocolVersion,
        on_bytes: impl FnMut(),
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::LEGACY => {
                frames.next_with_progress::<ReplyV1>(on_bytes).await.map(Self::from)
            }
            _ => frames.next_with_progress(on_bytes).await,
        }
    }
}
