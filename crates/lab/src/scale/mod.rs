//! Costs at a ladder of sizes, their slopes, and the design size.
//!
//! - [`control`]: hollow gateways and engines around three store machines;
//! - [`programs`]: what calls cost, and what programs occupy;
//! - [`decisions`]: the time of one routing decision;
//! - [`slope`]: lines through the points, with their error;
//! - [`capacity`]: the table of the design size, worked out from the slopes.

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

/// Entries after which a group writes a snapshot, as in the product's settings.
const ENTRIES_PER_SNAPSHOT: u64 = 20_000;

/// Everything that was measured, and the lines through it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Control at each number of hollow gateways.
    pub control: Vec<ControlPoint>,
    /// Times of changes at the largest number.
    pub changes: ChangeTimes,
    /// Encoded bytes of one engine's load.
    pub load_bytes: f64,
    /// Calls of programs with histories of growing length.
    pub calls: Vec<CallPoint>,
    /// Memory of a store machine.
    pub memory: Vec<MemoryPoint>,
    /// Memory of declared tenants in a gateway.
    pub tenants: Vec<MemoryPoint>,
    /// Routing decisions.
    pub decisions: Vec<DecisionPoint>,
    /// The lines.
    pub slopes: Slopes,
}

/// Lines through the measured points.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Slopes {
    /// Bytes a second of one gateway's control traffic, by gateways.
    pub gateway_bytes: Slope,
    /// Messages a second of one gateway's control traffic, by gateways.
    pub gateway_messages: Slope,
    /// Percent of a core of one gateway's control work, by gateways.
    pub gateway_core: Slope,
    /// Bytes a second of the busiest store machine, by gateways.
    pub store_bytes: Slope,
    /// Percent of a core of the busiest store machine, by gateways.
    pub store_core: Slope,
    /// Microseconds of the busiest store machine for one call, by prompt tokens.
    pub call_micros: Slope,
    /// Bytes sent and received by the busiest store machine for one call, by
    /// prompt tokens.
    pub call_bytes: Slope,
    /// Bytes of a store machine for one program, by tokens of history.
    pub program_bytes: Slope,
    /// Bytes of a gateway for its declared tenants, by tenants.
    pub tenant_bytes: Slope,
    /// Nanoseconds of a decision, by engines.
    pub decision_nanos: Slope,
}

/// Measures everything, control with up to `largest` gateways.
pub fn run(largest: usize, progress: impl Fn(&str)) -> ScaleReport {
    // Memory first, while nothing that was freed could be taken for unused.
    progress("memory of programs and tenants");
    let tenants = programs::measure_tenants();
    let memory = programs::measure_memory();
    progress("control of hollow gateways");
    let (control, changes) = control::measure(largest);
    progress("calls by length of history");
    let calls = programs::measure_calls();
    progress("routing decisions");
    let decisions = decisions::measure();
    let slopes = slopes(&control, &calls, &memory, &tenants, &decisions);
    let load_bytes = programs::load_bytes();
    ScaleReport { control, changes, load_bytes, calls, memory, tenants, decisions, slopes }
}

fn slopes(
    control: &[ControlPoint],
    calls: &[CallPoint],
    memory: &[MemoryPoint],
    tenants: &[MemoryPoint],
    decisions: &[DecisionPoint],
) -> Slopes {
    let by_gateways = |value: fn(&ControlPoint) -> f64| {
        Slope::of(control.iter().map(|point| (point.gateways as f64, value(point))))
    };
    let by_tokens = |value: fn(&CallPoint) -> f64| {
        Slope::of(calls.iter().map(|point| (point.prompt_tokens, value(point))))
    };
    let bytes_per_item =
        |points: &[MemoryPoint]| Slope::of(points.iter().map(|point| (point.size, point.bytes)));
    Slopes {
        gateway_bytes: by_gateways(|point| point.gateway_bytes_per_second),
        gateway_messages: by_gateways(|point| point.gateway_messages_per_second),
        gateway_core: by_gateways(|point| point.gateway_core_percent),
        store_bytes: by_gateways(|point| point.store_bytes_per_second),
        store_core: by_gateways(|point| point.store_core_percent),
        call_micros: by_tokens(|point| point.store_micros),
        call_bytes: by_tokens(|point| point.store_bytes),
        program_bytes: bytes_per_item(memory),
        tenant_bytes: bytes_per_item(tenants),
        decision_nanos: Slope::of(
            decisions.iter().map(|point| (point.engines as f64, point.nanos)),
        ),
    }
}
