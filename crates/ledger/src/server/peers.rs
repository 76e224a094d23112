//! Messages between ledger machines.

use std::collections::HashMap;
use std::sync::Arc;

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_routing::{Distance, Topology};
use calicohoist_transport::version::choose;
use calicohoist_transport::{
    FrameError, FrameReader, HEADER_BYTES, Link, LinkMessage, LinkOpening, ProtocolVersion,
    RefusalLog, VersionError, encode_frame, frame_of,
};
use calicohoist_wire::{decode, encode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::replica::ReplicaHandle;
use super::traffic::{self, Peer};
use super::versions::FleetVersions;
use super::{LedgerSettings, machine_address};
use crate::packed::PackedBytes;
use crate::protocol::SPOKEN;

/// Messages that may wait between the replica's thread and the network's.
pub const RING: usize = 4_096;

static REFUSALS: RefusalLog = RefusalLog::new("ledger machine");

/// Messages for one replica.
#[derive(Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: ReplicaId,
    /// The messages.
    pub messages: Vec<GroupMessage>,
}

/// First frame of a connection, after the version was agreed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Greeting {
    from: ReplicaId,
    name: String,
    zone: String,
}

/// The same in version 1, which names no zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct GreetingV1 {
    from: ReplicaId,
    name: String,
}

impl Greeting {
    fn frame(&self, version: ProtocolVersion) -> Vec<u8> {
        let Self { from, name, .. } = self;
        let frame = match version {
            ProtocolVersion::UNNAMED => {
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
    async fn read(
        frames: &mut FrameReader<OwnedReadHalf>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        if version == ProtocolVersion::UNNAMED {
            let GreetingV1 { from, name } = frames.next().await?;
            return Ok(Self { replica: from, name, zone: None });
        }
        let Greeting { from, name, zone } = frames.next().await?;
        Ok(Self { replica: from, name, zone: Some(zone) })
    }
}

/// In which zones the other machines are, as they said themselves.
#[derive(Clone, Debug, Default)]
pub struct PeerZones(Arc<Mutex<HashMap<u32, String>>>);

impl PeerZones {
    fn note(&self, machine: u32, zone: &str) {
        self.0.lock().insert(machine, zone.to_owned());
    }

    /// How far a machine is from `zone`; `None` until it has said where it is.
    fn distance(&self, topology: &Topology, zone: &str, machine: u32) -> Option<Distance> {
        self.0.lock().get(&machine).map(|known| topology.distance(zone, known))
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

    /// The next one that comes in this version.
    async fn read(
        frames: &mut FrameReader<OwnedReadHalf>,
        version: ProtocolVersion,
    ) -> Result<Self, FrameError> {
        match version {
            ProtocolVersion::UNNAMED => frames.next().await.map(Self::Plain),
            _ => frames.next().await,
        }
    }
}

/// An encoded frame in a link's queue.
struct QueuedFrame {
    payload: Vec<u8>,
}

impl LinkMessage for QueuedFrame {
    fn waiting_bytes(&self) -> usize {
        self.payload.len()
    }

    fn into_frame(self, version: ProtocolVersion) -> Vec<u8> {
        if version != ProtocolVersion::UNNAMED {
            return frame_of(&self.payload);
        }
        let parcel = decode(&self.payload).ok().and_then(PeerFrame::open);
        // It was encoded here, so it can be read. Without a frame it is as if it were lost.
        parcel.and_then(|parcel| encode_frame(&parcel).ok()).unwrap_or_default()
    }
}

/// Sends what the replica's thread hands out.
pub async fn send(
    settings: LedgerSettings,
    identity: ReplicaId,
    mut frames: mpsc::Receiver<Outgoing>,
    zones: PeerZones,
) {
    let LedgerSettings { name, zone, .. } = settings.clone();
    let greeting = Greeting { from: identity, name, zone };
    let mut links: HashMap<u32, Link<QueuedFrame>> = HashMap::new();
    while let Some(Outgoing { to, messages }) = frames.recv().await {
        if to.machine == identity.machine {
            continue;
        }
        let link = links.entry(to.machine).or_insert_with(|| {
            let address = machine_address(to.machine, settings.ports.peers);
            let greeting = greeting.clone();
            Link::open_with(
                address,
                LinkOpening::offer(SPOKEN, move |version| greeting.frame(version)),
            )
        });
        let distance = zones.distance(&settings.topology, &settings.zone, to.machine);
        let kind = kind_of(&messages);
        let frame = PeerFrame::wrap(Parcel { to, messages }, distance);
        if let Ok(payload) = encode(&frame) {
            traffic::note(Peer::Ledger, kind, distance, HEADER_BYTES + payload.len());
            link.queue(QueuedFrame { payload });
        }
    }
}

/// What takes most of a frame's bytes.
fn kind_of(messages: &[GroupMessage]) -> &'static str {
    let has = |is: fn(&Message) -> bool| messages.iter().any(|one| is(&one.message));
    if has(|message| matches!(message, Message::Install { .. } | Message::SegmentChunk { .. })) {
        "snapshot"
    } else if has(
        |message| matches!(message, Message::Append { entries, .. } if !entries.is_empty()),
    ) {
        "entries"
    } else {
        "heartbeat"
    }
}

/// Takes connections of other machines.
pub async fn accept(
    listener: TcpListener,
    identity: ReplicaId,
    replica: ReplicaHandle,
    zones: PeerZones,
    versions: Arc<FleetVersions>,
) {
    loop {
        if let Ok((stream, address)) = listener.accept().await {
            let receiver = PeerReceiver {
                identity,
                replica: replica.clone(),
                zones: zones.clone(),
                versions: Arc::clone(&versions),
            };
            tokio::spawn(async move {
                if let Err(error) = receiver.read(stream).await {
                    REFUSALS.note_version(address, &error);
                }
            });
        }
    }
}

/// Takes what comes on one connection.
struct PeerReceiver {
    identity: ReplicaId,
    replica: ReplicaHandle,
    zones: PeerZones,
    versions: Arc<FleetVersions>,
}

impl PeerReceiver {
    async fn read(self, stream: TcpStream) -> Result<(), VersionError> {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        let version = choose(&mut frames, &mut output, SPOKEN).await?;
        let card = PeerCard::read(&mut frames, version).await?;
        let from = card.replica;
        self.versions.note_machine(from.machine, version);
        if let Some(zone) = &card.zone {
            self.zones.note(from.machine, zone);
        }
        self.replica.greeting(card);
        loop {
            let frame = PeerFrame::read(&mut frames, version).await?;
            // The checksum has found no damage, so the sender packs in a way unknown here.
            let Some(Parcel { to, messages }) = frame.open() else {
                return Ok(());
            };
            let is_for_us = to == self.identity;
            let messages: Vec<GroupMessage> = if is_for_us {
                messages
            } else {
                messages.into_iter().filter(calicohoist_replication::node::is_for_machine).collect()
            };
            if !messages.is_empty() {
                self.replica.frame(from, messages);
            }
        }
    }
}
