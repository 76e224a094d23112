//! What goes over a connection between ledger machines, in each version of the protocol.

use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_routing::Distance;
use calicohoist_transport::{
    FrameError, FrameReader, LinkMessage, ProtocolVersion, encode_frame, frame_payload,
};
use calicohoist_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedReadHalf;

use crate::packed::PackedBytes;

/// First frame of a connection, after the version was agreed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Greeting {
    pub(super) from: ReplicaId,
    pub(super) name: String,
    pub(super) zone: String,
}

/// The same in version 1, which names no zone.
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
        // An identity and two names always fit.
        frame.unwrap_or_default()
    }
}

/// How another machine presents itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCard {
    /// Its replica.
    pub replica: ReplicaId,
    /// Its name for operators.
    pub name: String,
    /// Where it runs; `None` from a build that does not say so.
    pub zone: Option<String>,
}

impl PeerCard {
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

/// Messages with their receiver. A machine that lost its disk is another replica at the same
/// address, and drops what is meant for the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// The receiver.
    pub to: ReplicaId,
    /// The messages.
    pub messages: Vec<GroupMessage>,
}

/// Every frame after the greeting. In version 1 it is a bare [`Parcel`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A parcel as it is.
    Plain(Parcel),
    /// An encoded parcel, packed.
    Packed(PackedBytes),
}

/// Size of a parcel, in bytes, from which packing is worth its time: below, there is little that
/// repeats.
pub const PACKED_FROM: usize = 256;

impl PeerFrame {
    /// Packs what goes to another region, where bytes are paid for.
    pub fn wrap(parcel: Parcel, distance: Option<Distance>) -> Self {
        if distance != Some(Distance::OtherRegion) {
            return Self::Plain(parcel);
        }
        match encode(&parcel) {
            Ok(encoded) if encoded.len() >= PACKED_FROM => {
                Self::Packed(PackedBytes::pack(&encoded))
            }
            // What cannot be encoded is refused as a frame, too.
            _ => Self::Plain(parcel),
        }
    }

    /// What was wrapped; `None` when it is damaged.
    pub fn open(self) -> Option<Parcel> {
        match self {
            Self::Plain(parcel) => Some(parcel),
            Self::Packed(packed) => decode(&packed.unpack().ok()?).ok(),
        }
    }
}

impl Parcel {
    /// The next one that comes in this version.
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

/// An encoded frame in a link's queue.
pub(super) struct QueuedFrame {
    pub(super) payload: Vec<u8>,
}

impl LinkMessage for QueuedFrame {
    fn queued_bytes(&self) -> usize {
        self.payload.len()
    }

    fn into_frame(self, version: ProtocolVersion) -> Vec<u8> {
        if version != ProtocolVersion::LEGACY {
            return frame_payload(&self.payload);
        }
        let parcel = decode(&self.payload).ok().and_then(PeerFrame::open);
        // It was encoded here, so it can be read. Without a frame it is as if it were lost.
        parcel.and_then(|parcel| encode_frame(&parcel).ok()).unwrap_or_default()
    }
}
