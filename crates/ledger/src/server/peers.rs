//! Messages between ledger machines.

use std::collections::HashMap;
use std::sync::Arc;

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_routing::{Distance, Topology};
use calicohoist_transport::{FrameError, FrameReader, Link, RefusalLog, encode_frame};
use calicohoist_wire::{decode, encode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::replica::ReplicaHandle;
use super::traffic::{self, Peer};
use super::{LedgerSettings, machine_address};
use crate::packed::PackedBytes;

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

/// First frame of a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Greeting {
    from: ReplicaId,
    name: String,
    zone: String,
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

/// Every frame after the greeting.
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

/// Sends what the replica's thread hands out.
pub async fn send(
    settings: LedgerSettings,
    identity: ReplicaId,
    mut frames: mpsc::Receiver<Outgoing>,
    zones: PeerZones,
) {
    let LedgerSettings { name, zone, .. } = settings.clone();
    let greeting = Greeting { from: identity, name, zone };
    let greeting = encode_frame(&greeting).unwrap_or_default();
    let mut links: HashMap<u32, Link> = HashMap::new();
    while let Some(Outgoing { to, messages }) = frames.recv().await {
        if to.machine == identity.machine {
            continue;
        }
        let link = links.entry(to.machine).or_insert_with(|| {
            let address = machine_address(to.machine, settings.ports.peers);
            Link::open(address, greeting.clone())
        });
        let distance = zones.distance(&settings.topology, &settings.zone, to.machine);
        let kind = kind_of(&messages);
        let frame = PeerFrame::wrap(Parcel { to, messages }, distance);
        if let Ok(frame) = encode_frame(&frame) {
            traffic::note(Peer::Ledger, kind, distance, frame.len());
            link.send_frame(frame);
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
) {
    loop {
        if let Ok((stream, address)) = listener.accept().await {
            let (replica, zones) = (replica.clone(), zones.clone());
            tokio::spawn(async move {
                if let Err(error) = read(stream, identity, replica, zones).await {
                    REFUSALS.note(address, &error);
                }
            });
        }
    }
}

async fn read(
    stream: TcpStream,
    identity: ReplicaId,
    replica: ReplicaHandle,
    zones: PeerZones,
) -> Result<(), FrameError> {
    let mut frames = FrameReader::new(stream);
    let Greeting { from, name, zone } = frames.next().await?;
    zones.note(from.machine, &zone);
    replica.greeting(from, name, zone);
    loop {
        let frame: PeerFrame = frames.next().await?;
        // The checksum has found no damage, so the sender packs in a way unknown here.
        let Some(Parcel { to, messages }) = frame.open() else {
            return Ok(());
        };
        let is_for_us = to == identity;
        let messages: Vec<GroupMessage> = if is_for_us {
            messages
        } else {
            messages.into_iter().filter(calicohoist_replication::node::is_for_machine).collect()
        };
        if !messages.is_empty() {
            replica.frame(from, messages);
        }
    }
}
