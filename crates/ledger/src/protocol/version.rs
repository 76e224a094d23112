//! Versions of the protocol between gateways and ledger machines, and among ledger machines.
//!
//! | version | since | changes |
//! |---|---|---|
//! | 1 | builds without protocol versions | |
//! | 2 | drained zones | versions, zones of ledger machines, compressed frames, drained zones, cold replicas, home regions |
//! | 3 | list patches | additional answers to a watch: packed lists, list changes, updates without idle replicas |
//! | 4 | software versions of replicas | additional answers to a watch: lists and list changes with versions; placements that require a version |
//! | 5 | crash records | watches that ask for crash records, and the answer to them |
//!
//! Any change to the encoding of a message requires a new version and a module that converts from
//! and to the previous version. All other code uses the types of the latest version only. Versions
//! 3 to 5 only add messages, so that versions 2 to 4 need no types of their own: these messages are
//! sent only to processes that support them.

use calicohoist_transport::{Frame, FrameError, FrameReader, ProtocolVersion, VersionRange};
use tokio::io::AsyncRead;

use super::v1::{RequestEnvelopeV1, ResponseEnvelopeV1};
use super::{RequestEnvelope, ResponseEnvelope};

/// Latest protocol version.
pub const LATEST_VERSION: ProtocolVersion = CRASH_RECORDS_VERSION;
/// First version whose machines apply commands about drained zones.
pub const DRAINED_ZONES_VERSION: ProtocolVersion = ProtocolVersion::new(2);
/// First version with [`LedgerResponse::PackedList`](super::LedgerResponse::PackedList),
/// [`LedgerResponse::ListChanges`](super::LedgerResponse::ListChanges) and
/// [`LedgerResponse::Update`](super::LedgerResponse::Update).
pub const LIST_PATCH_VERSION: ProtocolVersion = ProtocolVersion::new(3);
/// First version with [`LedgerResponse::VersionedList`](super::LedgerResponse::VersionedList),
/// [`LedgerResponse::VersionedChanges`](super::LedgerResponse::VersionedChanges) and
/// [`LedgerRequest::ForVersion`](super::LedgerRequest::ForVersion).
pub const REPLICA_VERSIONS_VERSION: ProtocolVersion = ProtocolVersion::new(4);
/// First version with [`LedgerRequest::WatchCrashes`](super::LedgerRequest::WatchCrashes) and
/// [`LedgerResponse::Crashes`](super::LedgerResponse::Crashes).
pub const CRASH_RECORDS_VERSION: ProtocolVersion = ProtocolVersion::new(5);
/// Protocol versions that this build supports. During a rolling upgrade, machines of the previous
/// build run alongside it.
pub const SUPPORTED_VERSIONS: VersionRange =
    VersionRange { oldest: ProtocolVersion::LEGACY, newest: LATEST_VERSION };

impl RequestEnvelope {
    /// Encodes the message as a frame of the given protocol version.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the message cannot be encoded or exceeds the frame size limit.
    pub fn encode(self, version: ProtocolVersion) -> Result<Frame, FrameError> {
        match version {
            ProtocolVersion::LEGACY => Frame::encode(&RequestEnvelopeV1::from(self)),
            version if version < REPLICA_VERSIONS_VERSION => Frame::encode(&self),
            version => {
                let Self { number, question } = self;
                let mut question = question.wrap_version();
                if version >= CRASH_RECORDS_VERSION {
                    question = question.wrap_crashes();
                }
                Frame::encode(&Self { number, question })
            }
        }
    }

    /// Reads the next message in the given protocol version.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn read<R: AsyncRead + Unpin>(
        frames: &mut FrameReader<R>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::LEGACY => frames.next::<RequestEnvelopeV1>().await.map(Self::from),
            _ => {
                let Self { number, question } = frames.next().await?;
                Ok(Self { number, question: question.unwrap() })
            }
        }
    }
}

impl ResponseEnvelope {
    /// Encodes the message as a frame of the given protocol version.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the message cannot be encoded or exceeds the frame size limit.
    pub fn encode(self, version: ProtocolVersion) -> Result<Frame, FrameError> {
        match version {
            ProtocolVersion::LEGACY => Frame::encode(&ResponseEnvelopeV1::from(self)),
            _ => Frame::encode(&self),
        }
    }

    /// Reads the next message in the given protocol version. Calls `on_bytes` with the number of
    /// bytes whenever some arrive, even if the message is still incomplete.
    ///
    /// # Errors
    /// See [`FrameError`]; the connection is unusable afterwards.
    pub async fn read<R: AsyncRead + Unpin>(
        frames: &mut FrameReader<R>,
        version: ProtocolVersion,
        on_bytes: impl FnMut(usize),
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::LEGACY => {
                frames.next_with_progress::<ResponseEnvelopeV1>(on_bytes).await.map(Self::from)
            }
            _ => frames.next_with_progress(on_bytes).await,
        }
    }
}
