//! Table of the costs at the design size, extrapolated from measured slopes.
//!
//! `docs/CAPACITY.md` contains this table; a test checks that it matches the recorded slopes.

use super::ScaleReport;
use super::slope::Slope;

/// Fleet size and limits that the costs are compared with.
#[derive(Clone, Copy, Debug)]
pub struct DesignSize {
    /// Number of nodes: gateways and store machines.
    pub nodes: f64,
    /// Number of engines.
    pub engines: f64,
    /// Peak number of requests per second.
    pub requests_per_second: f64,
    /// Number of active programs.
    pub active_programs: f64,
    /// Tokens in the history of a typical program.
    pub history_tokens: f64,
    /// Number of tenants.
    pub tenants: f64,
    /// Number of store machines.
    pub store_machines: f64,
    /// Number of replicas of each group.
    pub replication_factor: f64,
    /// Limit on the CPU use of a node's control plane, in percent of a core.
    pub max_core_percent: f64,
    /// Limit on the memory of a node's control plane, in bytes.
    pub max_memory_bytes: f64,
    /// Limit on the control traffic of a node, in bytes per second.
    pub max_bytes_per_second: f64,
    /// Limit on the time until a change is in force on all nodes, in milliseconds.
    pub max_change_ms: f64,
}

/// Fleet size that the system is designed for.
pub const DESIGN_SIZE: DesignSize = DesignSize {
    nodes: 390.0,
    engines: 600.0,
    requests_per_second: 3_800.0,
    active_programs: 61_000.0,
    history_tokens: 4_000.0,
    tenants: 43_000.0,
    store_machines: 9.0,
    replication_factor: 3.0,
    max_core_percent: 1.3,
    max_memory_bytes: 128.0 * 1024.0 * 1024.0,
    max_bytes_per_second: 27.0 * 1024.0,
    max_change_ms: 3_000.0,
};

const MIB: f64 = 1024.0 * 1024.0;
const KIB: f64 = 1024.0;

/// Formats the table in Markdown.
pub fn table(report: &ScaleReport, size: &DesignSize) -> String {
    let mut lines = vec![
        "| role and amount | slope (± error), as measured | at the design size | limit |"
            .to_owned(),
        "|---|---|---|---|".to_owned(),
    ];
    lines.extend(gateway_rows(report, size));
    lines.extend(store_rows(report, size));
    lines.join("\n")
}

fn row(name: &str, slope: &str, value: &str, limit: &str) -> String {
    format!("| {name} | {slope} | {value} | {limit} |")
}

/// Formats a slope with the given number of decimal places.
fn format_slope(slope: &Slope, base_digits: usize, digits: usize, unit: &str) -> String {
    let Slope { base, per_unit, error } = slope;
    format!("{base:.base_digits$} + {per_unit:.digits$} (± {error:.digits$}) {unit}")
}

fn verdict(value: f64, limit: f64) -> &'static str {
    if value <= limit { "holds" } else { "**missed**" }
}

fn gateway_rows(report: &ScaleReport, size: &DesignSize) -> Vec<String> {
    let slopes = &report.slopes;
    let bytes = slopes.gateway_bytes.at(size.nodes) + report.load_bytes * size.engines;
    let core = slopes.gateway_core.at(size.nodes);
    let tenants = slopes.tenant_bytes.at(size.tenants);
    let change = report.changes.in_force_ms;
    vec![
        row(
            "gateway: control bytes a second",
            &format!(
                "{:.0} + {:.2} (± {:.2}) a node, and {:.0} for each engine's load",
                slopes.gateway_bytes.base,
                slopes.gateway_bytes.per_unit,
                slopes.gateway_bytes.error,
                report.load_bytes
            ),
            &format!("{:.1} KiB/s when every load changes each second", bytes / KIB),
            &format!(
                "{:.0} KiB/s: {}",
                size.max_bytes_per_second / KIB,
                verdict(bytes, size.max_bytes_per_second)
            ),
        ),
        row(
            "gateway: control messages a second",
            &format_slope(&slopes.gateway_messages, 1, 4, "a node"),
            &format!("{:.0}", slopes.gateway_messages.at(size.nodes)),
            "none given",
        ),
        row(
            "gateway: control, percent of a core",
            &format_slope(&slopes.gateway_core, 3, 5, "a node"),
            &format!("{core:.2} %"),
            &format!("{} %: {}", size.max_core_percent, verdict(core, size.max_core_percent)),
        ),
        row(
            "gateway: memory of declared tenants",
            &format!(
                "{:.0} (± {:.0}) bytes a tenant",
                slopes.tenant_bytes.per_unit, slopes.tenant_bytes.error
            ),
            &format!("{:.1} MiB", tenants / MIB),
            &format!(
                "{:.0} MiB for all control: {}",
                size.max_memory_bytes / MIB,
                verdict(tenants, size.max_memory_bytes)
            ),
        ),
        row(
            "gateway: one routing decision",
            &format_slope(&slopes.decision_nanos, 0, 2, "ns an engine"),
            &format!("{:.1} µs", slopes.decision_nanos.at(size.engines) / 1e3),
            "none given",
        ),
        row(
            "a change in force on every node",
            &format!("measured on {} hollow gateways", report.changes.gateways),
            &format!("p50 {} ms, p99 {} ms", change.p50, change.p99),
            &format!(
                "{:.0} ms: {}",
                size.max_change_ms,
                verdict(change.p99 as f64, size.max_change_ms)
            ),
        ),
    ]
}

fn store_rows(report: &ScaleReport, size: &DesignSize) -> Vec<String> {
    let slopes = &report.slopes;
    let core = slopes.store_core.at(size.nodes);
    let bytes = slopes.store_bytes.at(size.nodes);
    let call_micros = slopes.call_micros.at(size.history_tokens);
    let call_bytes = slopes.call_bytes.at(size.history_tokens);
    let calls_per_machine = size.requests_per_second / size.store_machines;
    let program = slopes.program_bytes.at(size.history_tokens);
    let programs_per_machine = size.active_programs * size.replication_factor / size.store_machines;
    vec![
        row(
            "leader of group 0: bytes a second",
            &format_slope(&slopes.store_bytes, 0, 0, "a node"),
            &format!("{:.1} MiB/s", bytes / MIB),
            "one of the 9 machines",
        ),
        row(
            "leader of group 0: percent of a core",
            &format_slope(&slopes.store_core, 2, 4, "a node"),
            &format!("{core:.1} %"),
            "one of the 9 machines",
        ),
        row(
            "store machine: time of one call",
            &format_slope(&slopes.call_micros, 0, 4, "µs a prompt token"),
            &format!(
                "{call_micros:.0} µs at {:.0} tokens; {:.2} cores for {calls_per_machine:.0} calls/s",
                size.history_tokens,
                call_micros * calls_per_machine / 1e6
            ),
            "one machine of 9",
        ),
        row(
            "store machine: bytes of one call",
            &format_slope(&slopes.call_bytes, 0, 2, "a prompt token"),
            &format!(
                "{:.0} KiB; {:.1} MiB/s for {calls_per_machine:.0} calls/s",
                call_bytes / KIB,
                call_bytes * calls_per_machine / MIB
            ),
            "one machine of 9",
        ),
        row(
            "store machine: memory of one program",
            &format_slope(&slopes.program_bytes, 0, 2, "bytes a token of history"),
            &format!(
                "{:.0} KiB; {:.0} MiB per 1,000 programs; {:.1} GiB for {programs_per_machine:.0} programs",
                program / KIB,
                program * 1_000.0 / MIB,
                program * programs_per_machine / MIB / KIB
            ),
            "one machine of 9",
        ),
    ]
}
