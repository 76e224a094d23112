//! Frames between ledger machines, in each version of the protocol.

use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_routing::Distance;
use calicohoist_transport::{
    FrameError, FrameReader, HEADER_BYTES, LinkMessage, ProtocolVersion, encode_frame,
};
use calicohoist_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedReadHalf;

use crate::compression::CompressedBytes;

/// The first frame of a connection after version negotiation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Greeting {
    pub(super) from: ReplicaId,
    pub(super) name: String,
    pub(super) zone: String,
}

/// The greeting in protocol version 1, without a zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct GreetingV1 {
    from: ReplicaId,
    name: String,
}

impl Greeting {
    pub(super) fn frame(&self, version: ProtocolVersion) -> Vec<u8> {
        let Self { from, name, .. } = self;
        let frame = match version {
            ProtocolVersion::LEGACY => {
                encode_frame(&GreetingV1 { from: *from, name: name.clone() })
            }
            _ => encode_frame(self),
        };
        // An identity and two names can always be encoded and never exceed the frame size limit.
        frame.unwrap_or_default()
    }
}

/// Information that a machine provides about itself when it connects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Identity of its replica.
    pub replica: ReplicaId,
    /// Name shown to operators.
    pub name: String,
    /// Zone of the machine; `None` for older builds, which don't send it.
    pub zone: Option<String>,
}

impl PeerInfo {
    pub(super) async fn read(
        frames: &mut FrameReader<OwnedReadHalf>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        if version == ProtocolVersion::LEGACY {
            let GreetingV1 { from, name } = frames.next().await?;
            return Ok(Self { replica: from, name, zone: None });
        }
        let Greeting { from, name, zone } = frames.next().await?;
        Ok(Self { replica: from, name, zone: Some(zone) })
    }
}

/// Messages with their receiver.
///
/// A machine that has lost its disk comes back as a different replica at the same address, and
/// drops messages for the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The receiver.
    pub to: ReplicaId,
    /// The messages.
    pub messages: Vec<GroupMessage>,
}

/// A frame after the greeting. In protocol version 1, frames contain a bare [`Envelope`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Uncompressed messages.
    Plain(Envelope),
    /// Messages, encoded and compressed.
    Packed(CompressedBytes),
}

/// Minimum size of encoded messages, in bytes, for compression.
pub const MIN_COMPRESSED_BYTES: usize = 256;

impl PeerFrame {
    /// Creates a frame. Messages to other regions are compressed, because that traffic is billed.
    pub fn wrap(envelope: Envelope, distance: Option<Distance>) -> Self {
        if distance != Some(Distance::OtherRegion) {
            return Self::Plain(envelope);
        }
        match encode(&envelope) {
            Ok(encoded) if encoded.len() >= MIN_COMPRESSED_BYTES => {
                Self::Packed(CompressedBytes::compress(&encoded))
            }
            // If encoding fails here, encoding the frame fails as well.
            _ => Self::Plain(envelope),
        }
    }

    /// Returns the messages, or `None` if the frame is corrupt.
    pub fn open(self) -> Option<Envelope> {
        match self {
            Self::Plain(envelope) => Some(envelope),
            Self::Packed(packed) => decode(&packed.decompress().ok()?).ok(),
        }
    }
}

impl Envelope {
    /// Reads the next frame in the given version.
    pub(super) async fn read(
        frames: &mut FrameReader<OwnedReadHalf>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::LEGACY => frames.next().await,
            _ => frames.next::<PeerFrame>().await?.open().ok_or(FrameError::Decompress),
        }
    }
}

/// An encoded frame in the queue of a link.
pub(super) struct QueuedFrame {
    frame: Vec<u8>,
}

impl QueuedFrame {
    /// Encodes a frame.
    ///
    /// # Errors
    /// When the frame cannot be encoded or is too long.
    pub(super) fn encode(frame: &PeerFrame) -> Result<Self, FrameError> {
        Ok(Self { frame: encode_frame(frame)? })
    }
}

impl LinkMessage for QueuedFrame {
    fn queued_bytes(&self) -> usize {
        self.frame.len()
    }

    fn into_frame(self, version: ProtocolVersion) -> Vec<u8> {
        if version != ProtocolVersion::LEGACY {
            return self.frame;
        }
        let envelope = decode(&self.frame[HEADER_BYTES..]).ok().and_then(PeerFrame::open);
        // The payload was encoded by this process, so decoding succeeds. Otherwise the frame is
        // dropped.
        envelope.and_then(|envelope| encode_frame(&envelope).ok()).unwrap_or_default()
    }
}
