//! Messages between ledger machines.

use std::collections::HashMap;

use calicohoist_replication::{GroupMessage, ReplicaId};
use calicohoist_transport::{FrameReader, Link, encode_frame};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::replica::ReplicaHandle;
use super::{LedgerSettings, machine_address};

/// Messages that may wait between the replica's thread and the network's.
pub const RING: usize = 4_096;

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
}

/// Every further frame. It names the receiver, since a machine that lost its disk is
/// another replica at the same address.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PeerFrame {
    to: ReplicaId,
    messages: Vec<GroupMessage>,
}

/// Sends what the replica's thread hands out.
pub async fn send(
    settings: LedgerSettings,
    identity: ReplicaId,
    mut frames: mpsc::Receiver<Outgoing>,
) {
    let greeting = Greeting { from: identity, name: settings.name.clone() };
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
        link.send(&PeerFrame { to, messages });
    }
}

/// Takes connections of other machines.
pub async fn accept(listener: TcpListener, identity: ReplicaId, replica: ReplicaHandle) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(read(stream, identity, replica.clone()));
        }
    }
}

async fn read(stream: TcpStream, identity: ReplicaId, replica: ReplicaHandle) {
    let mut frames = FrameReader::new(stream);
    let Ok(Greeting { from, name }) = frames.next().await else {
        return;
    };
    replica.greeting(from, name);
    while let Ok(PeerFrame { to, messages }) = frames.next().await {
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
