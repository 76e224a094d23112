//! What a person reads at the end of a run.

use crate::demo::DemoReport;

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
