//! Zones and protocol versions of the ledger machines that have connected.

use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::Arc;

use calicohoist_routing::{Distance, Topology};
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;

use super::PeerInfo;
use crate::protocol::{DRAINED_ZONES_VERSION, LATEST_VERSION};

static OLDER_MACHINES: Gauge = Gauge::new(
    "calicohoist_ledger_older_machines",
    "Ledger machines that speak an older version of the protocol, as heard here",
);

/// A ledger machine that prevents the use of features of the newest protocol version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSkew {
    /// The machine uses an older version.
    Machine(Ipv4Addr),
    /// The version of the machine is unknown, because it has not connected yet.
    UnheardMachine(Ipv4Addr),
}

impl fmt::Display for VersionSkew {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Machine(ip) => write!(formatter, "ledger machine {ip} runs an older build"),
            Self::UnheardMachine(ip) => {
                write!(formatter, "ledger machine {ip} runs an unknown build")
            }
        }
    }
}

/// The machines that have connected to this one. Clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct KnownPeers(Arc<Mutex<HashMap<u32, KnownPeer>>>);

#[derive(Debug)]
struct KnownPeer {
    /// Zone of the machine; `None` if unknown.
    zone: Option<String>,
    /// Negotiated protocol version.
    version: ProtocolVersion,
}

impl KnownPeers {
    /// Records a machine that has connected with the given protocol version.
    pub fn record(&self, info: &PeerInfo, version: ProtocolVersion) {
        let mut peers = self.0.lock();
        let previous_zone = peers.remove(&info.replica.machine).and_then(|known| known.zone);
        let zone = info.zone.clone().or(previous_zone);
        peers.insert(info.replica.machine, KnownPeer { zone, version });
        let older = peers.values().filter(|known| known.version < LATEST_VERSION).count();
        OLDER_MACHINES.set(older as u64);
    }

    /// Returns the distance of a machine from `zone`, or `None` if the machine's zone is unknown.
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

    /// Returns the first of `members` that may not support commands about drained zones, or `None`
    /// if all of them do.
    pub fn version_skew(&self, members: impl IntoIterator<Item = u32>) -> Option<VersionSkew> {
        let peers = self.0.lock();
        members.into_iter().find_map(|machine| {
            let ip = Ipv4Addr::from_bits(machine);
            match peers.get(&machine) {
                Some(known) if known.version >= DRAINED_ZONES_VERSION => None,
                Some(_) => Some(VersionSkew::Machine(ip)),
                None => Some(VersionSkew::UnheardMachine(ip)),
            }
        })
    }
}
