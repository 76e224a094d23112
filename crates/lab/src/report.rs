//! What a person reads at the end of a run.

use std::time::Duration;

use crate::demo::DemoReport;
use crate::sim::SimReport;

/// The report as text.
pub fn text(report: &DemoReport) -> String {
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

/// One line about the runs of one scenario.
pub fn sim_line(reports: &[SimReport], took: Duration) -> String {
    let sum = |of: fn(&SimReport) -> u64| reports.iter().map(of).sum::<u64>();
    let bad = reports.iter().filter(|report| !report.is_good()).count();
    let name = reports.first().map_or("", |report| report.scenario.as_str());
    let looks = |report: &SimReport| {
        report.invariants.named().iter().map(|(_, verdict)| verdict.checked).sum()
    };
    format!(
        "{name:<26} {:>5} runs {bad:>4} bad {:>6} faults {:>7} programs {:>9} looks {:>9} events at most {:>6} s",
        reports.len(),
        sum(|report| report.faults_injected),
        sum(|report| report.programs as u64),
        sum(looks),
        reports.iter().map(|report| report.events).max().unwrap_or_default(),
        took.as_secs()
    )
}
