//! The table of the design size, worked out from measured slopes.
//!
//! The page in the documentation holds this very text, and a test compares them,
//! so that page and figures cannot drift apart.

use super::ScaleReport;
use super::slope::Slope;

/// The size to design for.
#[derive(Clone, Copy, Debug)]
pub struct DesignSize {
    /// Gateways and store machines: all nodes.
    pub nodes: f64,
    /// Engines.
    pub engines: f64,
    /// Requests a second at the peak.
    pub requests: f64,
    /// Programs under way.
    pub programs: f64,
    /// Tokens of an ordinary program's history. An estimate: the users give only
    /// the longest, 100,000.
    pub history_tokens: f64,
    /// Tenants.
    pub tenants: f64,
    /// Machines that keep state.
    pub store_machines: f64,
    /// Replicas of each group.
    pub copies: f64,
    /// Limit on a node's control, in percent of a core.
    pub core_percent: f64,
    /// Limit on a node's control memory, in bytes.
    pub memory_bytes: f64,
    /// Limit on a node's control traffic, in bytes a second.
    pub bytes_per_second: f64,
    /// A change is in force everywhere within this time, in milliseconds.
    pub change_ms: f64,
}

/// What the users plan for.
pub const DESIGN: DesignSize = DesignSize {
    nodes: 390.0,
    engines: 600.0,
    requests: 3_800.0,
    programs: 61_000.0,
    history_tokens: 4_000.0,
    tenants: 43_000.0,
    store_machines: 9.0,
    copies: 3.0,
    core_percent: 1.3,
    memory_bytes: 128.0 * 1024.0 * 1024.0,
    bytes_per_second: 27.0 * 1024.0,
    change_ms: 3_000.0,
};

const MIB: f64 = 1024.0 * 1024.0;
const KIB: f64 = 1024.0;

/// The table in Markdown.
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

/// A slope in words, with the digits of its base and of its growth.
fn line(slope: &Slope, base_digits: usize, digits: usize, unit: &str) -> String {
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
                size.bytes_per_second / KIB,
                verdict(bytes, size.bytes_per_second)
            ),
        ),
        row(
            "gateway: control messages a second",
            &line(&slopes.gateway_messages, 1, 4, "a node"),
            &format!("{:.0}", slopes.gateway_messages.at(size.nodes)),
            "none given",
        ),
        row(
            "gateway: control, percent of a core",
            &line(&slopes.gateway_core, 3, 5, "a node"),
            &format!("{core:.2} %"),
            &format!("{} %: {}", size.core_percent, verdict(core, size.core_percent)),
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
                size.memory_bytes / MIB,
                verdict(tenants, size.memory_bytes)
            ),
        ),
        row(
            "gateway: one routing decision",
            &line(&slopes.decision_nanos, 0, 2, "ns an engine"),
            &format!("{:.1} µs", slopes.decision_nanos.at(size.engines) / 1e3),
            "none given",
        ),
        row(
            "a change in force on every node",
            &format!("measured on {} hollow gateways", report.changes.gateways),
            &format!("p50 {} ms, p99 {} ms", change.p50, change.p99),
            &format!("{:.0} ms: {}", size.change_ms, verdict(change.p99 as f64, size.change_ms)),
        ),
    ]
}

fn store_rows(report: &ScaleReport, size: &DesignSize) -> Vec<String> {
    let slopes = &report.slopes;
    let core = slopes.store_core.at(size.nodes);
    let bytes = slopes.store_bytes.at(size.nodes);
    let call_micros = slopes.call_micros.at(size.history_tokens);
    let call_bytes = slopes.call_bytes.at(size.history_tokens);
    let leaders_share = size.requests / size.store_machines;
    let program = slopes.program_bytes.at(size.history_tokens);
    let programs_here = size.programs * size.copies / size.store_machines;
    vec![
        row(
            "leader of group 0: bytes a second",
            &line(&slopes.store_bytes, 0, 0, "a node"),
            &format!("{:.1} MiB/s", bytes / MIB),
            "one of the 9 machines",
        ),
        row(
            "leader of group 0: percent of a core",
            &line(&slopes.store_core, 2, 4, "a node"),
            &format!("{core:.1} %"),
            "one of the 9 machines",
        ),
        row(
            "store machine: time of one call",
            &line(&slopes.call_micros, 0, 4, "µs a prompt token"),
            &format!(
                "{call_micros:.0} µs at {:.0} tokens; {:.2} cores for {leaders_share:.0} calls/s",
                size.history_tokens,
                call_micros * leaders_share / 1e6
            ),
            "one machine of 9",
        ),
        row(
            "store machine: bytes of one call",
            &line(&slopes.call_bytes, 0, 2, "a prompt token"),
            &format!(
                "{:.0} KiB; {:.1} MiB/s for {leaders_share:.0} calls/s",
                call_bytes / KIB,
                call_bytes * leaders_share / MIB
            ),
            "one machine of 9",
        ),
        row(
            "store machine: memory of one program",
            &line(&slopes.program_bytes, 0, 2, "bytes a token of history"),
            &format!(
                "{:.0} KiB; {:.0} MiB per 1,000 programs; {:.1} GiB for {programs_here:.0} programs",
                program / KIB,
                program * 1_000.0 / MIB,
                program * programs_here / MIB / KIB
            ),
            "one machine of 9",
        ),
    ]
}
