//! What the other ledger machines say of themselves when they connect.

use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use calicohoist_routing::{Distance, Topology};
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;

use super::PeerCard;
use crate::protocol::NEWEST;

static OLDER_MACHINES: Gauge = Gauge::new(
    "calicohoist_ledger_older_machines",
    "Ledger machines that speak an older version of the protocol, as heard here",
);

/// Why the ledger cannot use what only the newest version has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetLag {
    /// This ledger machine speaks an older version.
    Machine(Ipv4Addr),
    /// This ledger machine has not said which version it speaks.
    UnheardMachine(Ipv4Addr),
}

impl fmt::Display for FleetLag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Machine(ip) => write!(formatter, "ledger machine {ip} runs an older build"),
            Self::UnheardMachine(ip) => {
                write!(formatter, "ledger machine {ip} has not said which build it runs")
            }
        }
    }
}

/// The machines that have connected here. All clones are one.
#[derive(Clone, Debug, Default)]
pub struct KnownPeers(Arc<Mutex<HashMap<u32, KnownPeer>>>);

#[derive(Debug)]
struct KnownPeer {
    /// Where it is; `None` while it has not said so.
    zone: Option<String>,
    /// Version of the protocol that it speaks.
    version: ProtocolVersion,
}

impl KnownPeers {
    /// A machine has opened a connection in this version.
    pub fn note(&self, card: &PeerCard, version: ProtocolVersion) {
        let mut peers = self.0.lock();
        let before = peers.remove(&card.replica.machine).and_then(|known| known.zone);
        let zone = card.zone.clone().or(before);
        peers.insert(card.replica.machine, KnownPeer { zone, version });
        let older = peers.values().filter(|known| known.version < NEWEST).count();
        OLDER_MACHINES.set(older as u64);
    }

    /// How far a machine is from `zone`; `None` until it has said where it is.
    pub(super) fn distance(
        &self,
        topology: &Topology,
        zone: &str,
        machine: u32,
    ) -> Option<Distance> {
        let peers = self.0.lock();
        let known = peers.get(&machine)?.zone.as_ref()?;
        Some(topology.distance(zone, known))
    }

    /// What keeps a leader with these other `members` from putting orders into the log that only the
    /// newest version knows; `None` when all know them.
    pub fn lag(&self, members: impl IntoIterator<Item = u32>) -> Option<FleetLag> {
        let peers = self.0.lock();
        members.into_iter().find_map(|machine| {
            let ip = Ipv4Addr::from_bits(machine);
            match peers.get(&machine) {
                Some(known) if known.version >= NEWEST => None,
                Some(_) => Some(FleetLag::Machine(ip)),
                None => Some(FleetLag::UnheardMachine(ip)),
            }
        })
    }
}
