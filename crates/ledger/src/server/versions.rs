//! Which versions of the protocol the other ledger machines speak, as this one hears them.

use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;

use calicohoist_telemetry::metrics::Gauge;
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;

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

/// What was heard of ledger machines.
#[derive(Debug, Default)]
pub struct FleetVersions(Mutex<HashMap<u32, ProtocolVersion>>);

impl FleetVersions {
    /// A ledger machine has opened a connection in this version.
    pub fn note_machine(&self, machine: u32, version: ProtocolVersion) {
        let mut machines = self.0.lock();
        machines.insert(machine, version);
        let older = machines.values().filter(|version| **version < NEWEST).count();
        OLDER_MACHINES.show(older as u64);
    }

    /// What keeps a leader with these other `members` from putting orders into the log that only the
    /// newest version knows; `None` when all know them.
    pub fn lag(&self, members: impl IntoIterator<Item = u32>) -> Option<FleetLag> {
        let machines = self.0.lock();
        members.into_iter().find_map(|machine| {
            let ip = Ipv4Addr::from_bits(machine);
            match machines.get(&machine) {
                Some(version) if *version >= NEWEST => None,
                Some(_) => Some(FleetLag::Machine(ip)),
                None => Some(FleetLag::UnheardMachine(ip)),
            }
        })
    }
}
