//! Communication between ledger machines.
//!
//! - [`frame`]: frames in each version of the protocol;
//! - [`known`]: zones and protocol versions of the other machines.

mod frame;
mod known;

use std::collections::HashMap;
use std::net::IpAddr;
use std::{io, thread};

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{
    ConnectionLimit, FrameMemory, FrameReader, Link, LinkHandshake, LinkMemory, LinkMessage,
    RefusedFrameLog, VersionError, tcp,
};
use calicohoist_wire::MAX_FRAME_BYTES;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};

use super::memory::MachineMemory;
use super::replica::ReplicaHandle;
use super::traffic::{self, Peer};
use super::{LedgerSettings, machine_address};
use crate::protocol::SUPPORTED_VERSIONS;
pub use frame::{Envelope, MIN_COMPRESSED_BYTES, PeerFrame, PeerInfo};
use frame::{Greeting, QueuedFrame};
pub use known::{KnownPeers, VersionSkew};

/// Capacity of the queue from the replica thread to the network thread.
pub const OUTGOING_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of open connections of other machines. Each needs one.
const MAX_CONNECTIONS: usize = 256;

/// Maximum length of the frames before the first message, in bytes.
const MAX_GREETING_BYTES: usize = 16 << 10;

static DROPPED_FRAMES: Counter = Counter::new(
    "calicohoist_ledger_dropped_frames_total",
    "Frames to other ledger machines that found no room in the queue of their link",
    "content",
);

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("ledger machine");

/// Messages to be sent to a replica.
#[derive(Debug)]
pub struct OutgoingMessages {
    /// The receiver.
    pub to: ReplicaId,
    /// The messages.
    pub messages: Vec<GroupMessage>,
}

/// Thread that communicates with the other machines.
///
/// It is separate from the one that serves gateways, so that heartbeats do not wait while hundreds
/// of gateways are answered. The thread ends when this value is dropped.
#[derive(Debug)]
pub struct PeerThread {
    _stop: oneshot::Sender<()>,
}

impl PeerThread {
    /// Starts the thread; `listener` accepts connections from other machines.
    ///
    /// # Errors
    /// Fails if the thread or its runtime cannot be started.
    pub fn start(
        settings: LedgerSettings,
        listener: TcpListener,
        outgoing: mpsc::Receiver<OutgoingMessages>,
        identity: ReplicaId,
        replica: ReplicaHandle,
        peers: KnownPeers,
        memory: MachineMemory,
    ) -> io::Result<Self> {
        let listener = listener.into_std()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let listener = {
            let _context = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                let MachineMemory { links, received_frames, .. } = memory;
                tokio::spawn(send(settings, identity, outgoing, peers.clone(), links));
                let receiver = PeerReceiver { identity, replica, peers, memory: received_frames };
                tokio::spawn(accept(listener, receiver));
                let _ = stopped.await;
            });
        })?;
        Ok(Self { _stop: stop })
    }
}

/// Sends the messages queued by the replica thread.
async fn send(
    settings: LedgerSettings,
    identity: ReplicaId,
    mut outgoing: mpsc::Receiver<OutgoingMessages>,
    peers: KnownPeers,
    memory: LinkMemory,
) {
    let LedgerSettings { name, zone, .. } = settings.clone();
    let greeting = Greeting { from: identity, name, zone };
    let mut links: HashMap<u32, Link<QueuedFrame>> = HashMap::new();
    while let Some(OutgoingMessages { to, messages }) = outgoing.recv().await {
        if to.machine == identity.machine {
            continue;
        }
        let link = links.entry(to.machine).or_insert_with(|| {
            let address = machine_address(to.machine, settings.ports.peers);
            let greeting = greeting.clone();
            Link::open(
                address,
                LinkHandshake::offer(SUPPORTED_VERSIONS, move |version| greeting.frame(version)),
                memory.clone(),
            )
        });
        let distance = peers.distance(&settings.topology, &settings.zone, to.machine);
        let kind = frame_kind(&messages);
        let frame = PeerFrame::wrap(Envelope { to, messages }, distance);
        match QueuedFrame::encode(&frame) {
            Ok(queued) => {
                let bytes = queued.queued_bytes();
                if link.queue(queued) {
                    traffic::record(Peer::Ledger, kind, distance, bytes);
                } else {
                    // The replication protocol sends its content again.
                    DROPPED_FRAMES.inc(kind);
                }
            }
            Err(error) => emit!(Event::MessageTooLong; message = kind, error = error),
        }
    }
}

/// Returns the metric label of a frame: the content that makes up most of its size.
fn frame_kind(messages: &[GroupMessage]) -> &'static str {
    let has =
        |is_match: fn(&Message) -> bool| messages.iter().any(|grouped| is_match(&grouped.message));
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

/// Accepts connections from other machines.
async fn accept(listener: TcpListener, receiver: PeerReceiver) {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    loop {
        let (stream, address) = tcp::accept(&listener).await;
        let Some(open) = limit.open(address) else {
            continue;
        };
        if let Err(error) = tcp::keep_alive(&stream) {
            // The machine has reset the connection meanwhile.
            emit!(Event::ConnectionFailed, "cannot configure a connection: {error}");
            continue;
        }
        let receiver = receiver.clone();
        tokio::spawn(async move {
            if let Err(error) = receiver.read(stream, address.ip()).await {
                REFUSALS.record_version_error(address, &error);
            }
            drop(open);
        });
    }
}

/// Receives the messages of one connection.
#[derive(Clone)]
struct PeerReceiver {
    identity: ReplicaId,
    replica: ReplicaHandle,
    peers: KnownPeers,
    memory: FrameMemory,
}

impl PeerReceiver {
    async fn read(self, stream: TcpStream, peer: IpAddr) -> Result<(), VersionError> {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::with_memory(input, &self.memory, peer);
        let result = self.receive(&mut frames, &mut output).await;
        if let Err(VersionError::Malformed(error)) = &result {
            frames.pause_after(error).await;
        }
        result
    }

    async fn receive(
        self,
        frames: &mut FrameReader<OwnedReadHalf>,
        output: &mut OwnedWriteHalf,
    ) -> Result<(), VersionError> {
        frames.set_max_payload_len(MAX_GREETING_BYTES);
        let version = accept_offer(frames, output, SUPPORTED_VERSIONS).await?;
        let info = PeerInfo::read(frames, version).await?;
        frames.set_max_payload_len(MAX_FRAME_BYTES);
        let from = info.replica;
        self.peers.record(&info, version);
        self.replica.register_peer(info);
        loop {
            let Envelope { to, messages } = Envelope::read(frames, version).await?;
            let is_for_this_replica = to == self.identity;
            let messages: Vec<GroupMessage> = if is_for_this_replica {
                messages
            } else {
                messages
                    .into_iter()
                    .filter(calicohoist_replication::node::is_addressed_to_machine)
                    .collect()
            };
            if !messages.is_empty() {
                self.replica.deliver_messages(from, messages);
            }
        }
    }
}
