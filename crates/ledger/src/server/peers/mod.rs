//! Messages between ledger machines.
//!
//! - [`frame`]: what goes over a connection, in each version of the protocol;
//! - [`known`]: what the others say of themselves.

mod frame;
mod known;

use std::collections::HashMap;

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_transport::version::choose;
use calicohoist_transport::{
    FrameReader, HEADER_BYTES, Link, LinkOpening, RefusalLog, VersionError,
};
use calicohoist_wire::encode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::replica::ReplicaHandle;
use super::traffic::{self, Peer};
use super::{LedgerSettings, machine_address};
use crate::protocol::SUPPORTED_VERSIONS;
use frame::{Greeting, QueuedFrame};
pub use frame::{PACKED_FROM, Parcel, PeerCard, PeerFrame};
pub use known::{FleetLag, KnownPeers};

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

/// Sends what the replica's thread hands out.
pub async fn send(
    settings: LedgerSettings,
    identity: ReplicaId,
    mut frames: mpsc::Receiver<Outgoing>,
    peers: KnownPeers,
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
            Link::open(
                address,
                LinkOpening::offer(SUPPORTED_VERSIONS, move |version| greeting.frame(version)),
            )
        });
        let distance = peers.distance(&settings.topology, &settings.zone, to.machine);
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
    peers: KnownPeers,
) {
    loop {
        if let Ok((stream, address)) = listener.accept().await {
            let receiver =
                PeerReceiver { identity, replica: replica.clone(), peers: peers.clone() };
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
    peers: KnownPeers,
}

impl PeerReceiver {
    async fn read(self, stream: TcpStream) -> Result<(), VersionError> {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        let version = choose(&mut frames, &mut output, SUPPORTED_VERSIONS).await?;
        let card = PeerCard::read(&mut frames, version).await?;
        let from = card.replica;
        self.peers.note(&card, version);
        self.replica.greeting(card);
        loop {
            let Parcel { to, messages } = Parcel::read(&mut frames, version).await?;
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
