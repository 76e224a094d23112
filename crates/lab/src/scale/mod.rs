//! Measures costs at several fleet sizes and extrapolates them to the design size.
//!
//! - [`control`]: control-plane costs of simulated gateways and store machines;
//! - [`programs`]: cost of calls, and memory of programs and tenants;
//! - [`decisions`]: duration of a routing decision;
//! - [`slope`]: linear regression with the standard error of the slope;
//! - [`capacity`]: table of the costs at the design size.

pub mod capacity;
pub mod control;
pub mod decisions;
pub mod programs;
pub mod slope;

use serde::{Deserialize, Serialize};

use control::{ChangeTimes, ControlPoint};
use decisions::DecisionPoint;
use programs::{CallPoint, MemoryPoint};
use slope::Slope;

/// Log entries after which a group writes a snapshot.
const ENTRIES_PER_SNAPSHOT: u64 = 20_000;

/// Measured costs and the lines fitted to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Control-plane costs at each number of gateways.
    pub control: Vec<ControlPoint>,
    /// Propagation times of configuration changes at the largest number of gateways.
    pub changes: ChangeTimes,
    /// Size of an encoded engine load report, in bytes.
    pub load_bytes: f64,
    /// Cost of calls by prompt length.
    pub calls: Vec<CallPoint>,
    /// Memory of a program on a store machine, by length of history.
    pub memory: Vec<MemoryPoint>,
    /// Memory of the declared tenants, by number of tenants.
    pub tenants: Vec<MemoryPoint>,
    /// Duration of routing decisions, by number of engines.
    pub decisions: Vec<DecisionPoint>,
    /// Fitted lines.
    pub slopes: Slopes,
}

/// Lines fitted to the measured points.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Slopes {
    /// Control traffic of one gateway in bytes per second, by number of gateways.
    pub gateway_bytes: Slope,
    /// Control traffic of one gateway in messages per second, by number of gateways.
    pub gateway_messages: Slope,
    /// Busy time of one gateway's control plane in percent of a core, by number of gateways.
    pub gateway_core: Slope,
    /// Traffic of the busiest store machine in bytes per second, by number of gateways.
    pub store_bytes: Slope,
    /// Busy time of the busiest store machine in percent of a core, by number of gateways.
    pub store_core: Slope,
    /// Busy time for one call on the busiest store machine in microseconds, by prompt tokens.
    pub call_micros: Slope,
    /// Bytes sent and received by the busiest store machine for one call, by prompt tokens.
    pub call_bytes: Slope,
    /// Memory of one program on a store machine in bytes, by tokens of history.
    pub program_bytes: Slope,
    /// Memory of the declared tenants in bytes, by number of tenants.
    pub tenant_bytes: Slope,
    /// Duration of a routing decision in nanoseconds, by number of engines.
    pub decision_nanos: Slope,
}

/// Runs all measurements, with up to `largest` gateways; calls `progress` with the name of each
/// stage.
pub fn run(largest: usize, progress: impl Fn(&str)) -> ScaleReport {
    // Memory is measured first: reused allocations would hide the growth of resident memory.
    progress("memory of programs and tenants");
    let tenants = programs::measure_tenants();
    let memory = programs::measure_memory();
    progress("control plane of simulated gateways");
    let (control, changes) = control::measure(largest);
    progress("calls by prompt length");
    let calls = programs::measure_calls();
    progress("routing decisions");
    let decisions = decisions::measure();
    let slopes = fit_slopes(&control, &calls, &memory, &tenants, &decisions);
    let load_bytes = programs::load_bytes();
    ScaleReport { control, changes, load_bytes, calls, memory, tenants, decisions, slopes }
}

fn fit_slopes(
    control: &[ControlPoint],
    calls: &[CallPoint],
    memory: &[MemoryPoint],
    tenants: &[MemoryPoint],
    decisions: &[DecisionPoint],
) -> Slopes {
    let by_gateways = |value: fn(&ControlPoint) -> f64| {
        Slope::fit(control.iter().map(|point| (point.gateways as f64, value(point))))
    };
    let by_tokens = |value: fn(&CallPoint) -> f64| {
        Slope::fit(calls.iter().map(|point| (point.prompt_tokens, value(point))))
    };
    let by_size =
        |points: &[MemoryPoint]| Slope::fit(points.iter().map(|point| (point.size, point.bytes)));
    Slopes {
        gateway_bytes: by_gateways(|point| point.gateway_bytes_per_second),
        gateway_messages: by_gateways(|point| point.gateway_messages_per_second),
        gateway_core: by_gateways(|point| point.gateway_core_percent),
        store_bytes: by_gateways(|point| point.store_bytes_per_second),
        store_core: by_gateways(|point| point.store_core_percent),
        call_micros: by_tokens(|point| point.store_micros),
        call_bytes: by_tokens(|point| point.store_bytes),
        program_bytes: by_size(memory),
        tenant_bytes: by_size(tenants),
        decision_nanos: Slope::fit(
            decisions.iter().map(|point| (point.engines as f64, point.nanos)),
        ),
    }
}
