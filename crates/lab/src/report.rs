//! Text output of the results of a run.

use std::time::Duration;

use crate::demo::DemoReport;
use crate::sim::SimReport;

/// Formats the report of `demo` and `fleet`.
pub fn format_demo(report: &DemoReport) -> String {
    let mut lines = vec![
        format!("deployment          {}", report.deployment.name()),
        format!(
            "programs            {} of {} completed",
            report.programs_completed, report.programs_started
        ),
        format!("calls answered      {}", report.calls),
        format!(
            "prints              {} asked for, {} executed",
            report.prints_requested, report.prints_executed
        ),
        format!(
            "program latency     p50 {} ms, p95 {} ms, p99 {} ms",
            report.program_latency_ms.p50,
            report.program_latency_ms.p95,
            report.program_latency_ms.p99
        ),
        format!("slowest change      {} ms until in force everywhere", report.slowest_change_ms),
        String::new(),
        format!("{:<24} {:>8} {:>11}", "promise", "checked", "violations"),
    ];
    for (name, verdict) in report.invariants.named() {
        lines.push(format!("{name:<24} {:>8} {:>11}", verdict.checked, verdict.violations));
        lines.extend(verdict.examples.iter().map(|example| format!("    {example}")));
    }
    lines.join("\n")
}

/// Formats a one-line summary of the runs of one scenario.
pub fn format_sim_summary(reports: &[SimReport], elapsed: Duration) -> String {
    let sum = |value: fn(&SimReport) -> u64| reports.iter().map(value).sum::<u64>();
    let failed = reports.iter().filter(|report| !report.is_good()).count();
    let name = reports.first().map_or("", |report| report.scenario.as_str());
    let checks = |report: &SimReport| {
        report.invariants.named().iter().map(|(_, verdict)| verdict.checked).sum()
    };
    format!(
        "{name:<26} {:>5} runs {failed:>4} bad {:>6} faults {:>7} programs {:>9} looks {:>9} events at most {:>6} s",
        reports.len(),
        sum(|report| report.faults_injected),
        sum(|report| report.programs as u64),
        sum(checks),
        reports.iter().map(|report| report.events).max().unwrap_or_default(),
        elapsed.as_secs()
    )
}
