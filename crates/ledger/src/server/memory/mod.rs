//! The memory of a ledger machine: what its parts share, and the bytes counted by owner.
//!
//! - [`plan`]: the limit of each part.

pub mod plan;

use std::fmt::Write;
use std::fs;
use std::io;

use calicohoist_telemetry::metrics::LabeledGauge;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::{FrameMemory, LinkMemory, QueuedBytes};

use super::bodies::BodyMemory;
use super::gateways::histories::HistoryMemory;
use super::replica::ReplicaHandle;
pub use plan::MemoryPlan;

/// State of this process as the kernel tells it.
const PROCESS_STATUS_FILE: &str = "/proc/self/status";

static MEMORY_BYTES: LabeledGauge = LabeledGauge::new(
    "calicohoist_ledger_memory_bytes",
    "Bytes held by each owner, as counted last",
    "owner",
);

/// Memories that the connections of a ledger machine share. Clones share them, too.
#[derive(Clone, Debug)]
pub struct MachineMemory {
    /// Frames being received from other machines and gateways.
    pub received_frames: FrameMemory,
    /// Large messages on their way to other machines.
    pub links: LinkMemory,
    /// Frames queued for gateways.
    pub queued_frames: QueuedBytes,
    /// Histories that wait for their turn on a connection.
    pub histories: HistoryMemory,
    /// Bodies of operator requests.
    pub bodies: BodyMemory,
}

impl MachineMemory {
    /// Creates the memories of a plan.
    pub fn new(plan: &MemoryPlan) -> Self {
        Self {
            received_frames: FrameMemory::new(plan.received_frames),
            links: LinkMemory::new(plan.links),
            queued_frames: QueuedBytes::with_limit(plan.queued_frames),
            histories: HistoryMemory::new(plan.histories),
            bodies: BodyMemory::new(plan.bodies),
        }
    }
}

impl Default for MachineMemory {
    /// Creates the memories of a machine without a limit.
    fn default() -> Self {
        Self::new(&MemoryPlan::for_machine(None))
    }
}

/// Owner of bytes. The names appear in the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryOwner {
    /// Commands of the entries of the log.
    Log,
    /// The last snapshot.
    Snapshot,
    /// The configuration document.
    Configuration,
    /// Contents of retained turns that are not sealed.
    RetainedTurns,
    /// Requests that wait for the replica thread.
    Requests,
    /// Messages that wait for the replica thread.
    Messages,
    /// Histories that wait for their turn on a connection.
    Histories,
    /// Frames queued for gateways.
    QueuedFrames,
    /// Large messages on their way to other machines.
    Links,
    /// Frames being received.
    ReceivedFrames,
    /// Bodies of operator requests.
    Bodies,
    /// The process, now.
    Resident,
    /// The process, at its peak.
    Peak,
}

impl MemoryOwner {
    /// Returns the name in the log and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Snapshot => "snapshot",
            Self::Configuration => "configuration",
            Self::RetainedTurns => "retained_turns",
            Self::Requests => "requests",
            Self::Messages => "messages",
            Self::Histories => "histories",
            Self::QueuedFrames => "queued_frames",
            Self::Links => "links",
            Self::ReceivedFrames => "received_frames",
            Self::Bodies => "bodies",
            Self::Resident => "resident",
            Self::Peak => "peak",
        }
    }
}

/// Counts the bytes of all owners.
#[derive(Clone)]
pub struct MemoryCounter {
    memory: MachineMemory,
    replica: ReplicaHandle,
}

impl MemoryCounter {
    /// Creates a counter of the memory of a machine.
    pub fn new(memory: MachineMemory, replica: ReplicaHandle) -> Self {
        Self { memory, replica }
    }

    /// Returns the bytes of each owner within the process.
    pub fn count(&self) -> [(MemoryOwner, usize); 11] {
        let Self { memory, replica } = self;
        let held = replica.held();
        [
            (MemoryOwner::Log, held.log()),
            (MemoryOwner::Snapshot, held.snapshot()),
            (MemoryOwner::Configuration, held.configuration()),
            (MemoryOwner::RetainedTurns, held.retained_turns()),
            (MemoryOwner::Requests, replica.request_bytes()),
            (MemoryOwner::Messages, replica.message_bytes()),
            (MemoryOwner::Histories, memory.histories.held_bytes()),
            (MemoryOwner::QueuedFrames, memory.queued_frames.get()),
            (MemoryOwner::Links, memory.links.held_bytes()),
            (MemoryOwner::ReceivedFrames, memory.received_frames.held_bytes()),
            (MemoryOwner::Bodies, memory.bodies.held_bytes()),
        ]
    }

    /// Logs the bytes of all owners and updates the metrics.
    pub fn log(&self, machine: &str) {
        let mut bytes_by_owner = self.count().to_vec();
        match process_bytes() {
            Ok(process) => bytes_by_owner.extend(process),
            Err(error) => emit!(Event::MemoryCounted; machine = machine, problem = error),
        }
        let mut text = String::new();
        for (owner, bytes) in bytes_by_owner {
            MEMORY_BYTES.set(owner.as_str(), bytes as u64);
            // Writing to a `String` cannot fail.
            let _ = write!(text, " {}={bytes}", owner.as_str());
        }
        emit!(Event::MemoryCounted; machine = machine, bytes = text.trim_start());
    }
}

/// Reads what the kernel says of this process.
fn process_bytes() -> io::Result<[(MemoryOwner, usize); 2]> {
    let status = fs::read_to_string(PROCESS_STATUS_FILE)?;
    let field = |name| {
        status_bytes(&status, name)
            .ok_or_else(|| io::Error::other(format!("{PROCESS_STATUS_FILE} has no {name}")))
    };
    Ok([(MemoryOwner::Resident, field("VmRSS")?), (MemoryOwner::Peak, field("VmHWM")?)])
}

/// Returns a field of a process status in bytes.
fn status_bytes(status: &str, name: &str) -> Option<usize> {
    let value = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    let kib: usize = value.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib << 10)
}
