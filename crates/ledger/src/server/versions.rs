//! Which versions of the protocol the other processes speak, as this machine hears them.

use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use calicohoist_telemetry::metrics::Gauge;
use calicohoist_transport::ProtocolVersion;
use parking_lot::Mutex;

use crate::protocol::NEWEST;

/// How long a gateway of an older build counts after its last question: it watches without a pause,
/// and one that is restarted by the same build is back within seconds.
const GATEWAY_COUNTS_FOR: Duration = Duration::from_secs(10);

static OLDER_MACHINES: Gauge = Gauge::new(
    "calicohoist_ledger_older_machines",
    "Ledger machines that speak an older version of the protocol, as heard here",
);

/// Why the fleet cannot use what only the newest version has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetLag {
    /// This ledger machine speaks an older version.
    Machine(Ipv4Addr),
    /// This ledger machine has not said which version it speaks.
    UnheardMachine(Ipv4Addr),
    /// A gateway that speaks an older version has asked lately.
    Gateway,
}

impl fmt::Display for FleetLag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Machine(ip) => write!(formatter, "ledger machine {ip} runs an older build"),
            Self::UnheardMachine(ip) => {
                write!(formatter, "ledger machine {ip} has not said which build it runs")
            }
            Self::Gateway => formatter.write_str("a gateway runs an older build"),
        }
    }
}

/// What was heard.
#[derive(Debug, Default)]
pub struct FleetVersions {
    state: Mutex<HeardVersions>,
}

#[derive(Debug, Default)]
struct HeardVersions {
    machines: HashMap<u32, ProtocolVersion>,
    /// When a gateway of an older version last asked something.
    older_gateway: Option<Instant>,
}

impl FleetVersions {
    /// A ledger machine has opened a connection in this version.
    pub fn note_machine(&self, machine: u32, version: ProtocolVersion) {
        let machines = &mut self.state.lock().machines;
        machines.insert(machine, version);
        let older = machines.values().filter(|version| **version < NEWEST).count();
        OLDER_MACHINES.show(older as u64);
    }

    /// A gateway has asked something in this version.
    pub fn note_gateway(&self, version: ProtocolVersion, now: Instant) {
        if version < NEWEST {
            self.state.lock().older_gateway = Some(now);
        }
    }

    /// What keeps a leader with these other `members` from using what is new in the newest version;
    /// `None` when all may.
    pub fn lag(&self, members: impl IntoIterator<Item = u32>, now: Instant) -> Option<FleetLag> {
        let state = self.state.lock();
        for machine in members {
            let ip = Ipv4Addr::from_bits(machine);
            match state.machines.get(&machine) {
                Some(version) if *version >= NEWEST => {}
                Some(_) => return Some(FleetLag::Machine(ip)),
                None => return Some(FleetLag::UnheardMachine(ip)),
            }
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < GATEWAY_COUNTS_FOR;
        state.older_gateway.is_some_and(is_recent).then_some(FleetLag::Gateway)
    }
}
