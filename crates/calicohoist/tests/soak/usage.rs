//! What the processes of each node have used.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::cluster::Process;

/// Interval between two observations of all processes.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of a run for which the memory of each node is shown.
const MEMORY_INTERVAL: Duration = Duration::from_secs(15);

/// What the processes of a node have used so far. Use between the last observation of a process and
/// its end is missing.
#[derive(Clone, Debug, Default)]
struct NodeUsage {
    /// Last observed processor time of each process, by its id.
    processor_times: BTreeMap<u32, Duration>,
    /// Highest peak of a process, in bytes.
    peak_memory: usize,
    /// Most resident memory of a process in each [`MEMORY_INTERVAL`], in bytes.
    resident: BTreeMap<u64, usize>,
}

/// Returns the resident memory of a process in bytes; `None` once it has ended.
fn resident_memory(process: &Process) -> Option<usize> {
    let path = format!("/proc/{}/statm", process.child.id());
    let text = fs::read_to_string(path).ok()?;
    let pages: usize = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size())
}

/// What all nodes have used since the start of the run.
pub struct UsageLog {
    started: Instant,
    last_observation: Option<Instant>,
    nodes: BTreeMap<IpAddr, NodeUsage>,
}

impl UsageLog {
    pub fn start() -> Self {
        Self { started: Instant::now(), last_observation: None, nodes: BTreeMap::new() }
    }

    /// Returns whether it is time to observe all processes again, and notes that this is done.
    pub fn begin_observation(&mut self) -> bool {
        let now = Instant::now();
        let is_due = self.last_observation.is_none_or(|last| now >= last + OBSERVATION_INTERVAL);
        if is_due {
            self.last_observation = Some(now);
        }
        is_due
    }

    /// Notes what a process has used so far; one that has ended keeps what was noted before.
    pub fn observe(&mut self, process: &Process) {
        let ip: IpAddr = process.ip.parse().expect("an address");
        let node = self.nodes.entry(ip).or_default();
        if let Some(used) = process.try_processor_time() {
            node.processor_times.insert(process.child.id(), used);
        }
        node.peak_memory = node.peak_memory.max(process.try_peak_memory().unwrap_or(0));
        let interval = self.started.elapsed().as_secs() / MEMORY_INTERVAL.as_secs();
        let resident = node.resident.entry(interval).or_default();
        *resident = (*resident).max(resident_memory(process).unwrap_or(0));
    }
}

impl fmt::Display for UsageLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let elapsed = self.started.elapsed().as_secs_f64();
        for (ip, NodeUsage { processor_times, peak_memory, resident }) in &self.nodes {
            let resident: Vec<String> =
                resident.values().map(|bytes| format!("{:.0}", *bytes as f64 / 1e6)).collect();
            let used: Duration = processor_times.values().sum();
            writeln!(
                formatter,
                "  {ip}: {:.2} s of processor time in {elapsed:.1} s, {} processes, peak memory \
                 {:.1} MB, resident each {} s: {} MB",
                used.as_secs_f64(),
                processor_times.len(),
                *peak_memory as f64 / 1e6,
                MEMORY_INTERVAL.as_secs(),
                resident.join(" "),
            )?;
        }
        Ok(())
    }
}
