//! Counts of failed programs and requests, as printed by `calicohoist losses`.

use std::process::{Command, Output};

const LOG: &str = r#"
{"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:01.1Z","request":"r1","program":"p1","route":"draft"}
{"name":"RequestEnded","node":"front-1","time":"2026-05-01T10:00:01.2Z","request":"r1","outcome":"not run: ledger unavailable"}
{"name":"RequestTaken","node":"front-2","time":"2026-05-01T10:00:01.3Z","request":"r2","program":"p1","route":"draft"}
{"name":"RequestEnded","node":"front-2","time":"2026-05-01T10:00:01.4Z","request":"r2","outcome":"200"}
{"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:02.1Z","request":"r3","program":"p2","route":"print"}
{"name":"RequestEnded","node":"front-1","time":"2026-05-01T10:00:02.2Z","request":"r3","outcome":200}
{"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:02.3Z","request":"r4","program":"p2","route":"print"}
{"name":"RequestEnded","node":"front-1","time":"2026-05-01T10:00:02.9Z","request":"r4","outcome":"outcome unknown"}
{"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:02.4Z","request":"r5","program":"p3","route":"draft"}
{"name":"RoleStarted","node":"front-1","time":"2026-05-01T10:00:04.0Z"}
{"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:04.5Z","request":"r6","program":"p4","route":"draft"}
"#;

fn losses(log: &str, arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("log");
    std::fs::write(&file, log).expect("a log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicohoist"));
    command.arg("losses").args(arguments).arg(&file).output().expect("runs")
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

#[test]
fn program_counts_once_if_its_last_request_failed() {
    assert_eq!(
        lines(&losses(LOG, &["--examples"])),
        [
            "2026-05-01T10:00:02     1  draft  its gateway ended  p3",
            "2026-05-01T10:00:02     1  print  outcome unknown  p2",
            "2026-05-01T10:00:04     1  draft  no last line  p4",
            "3 of 6 requests or their programs were not served",
        ]
    );
}

#[test]
fn failed_requests_are_counted_individually() {
    let rows = lines(&losses(LOG, &["--requests"]));
    assert!(rows[0].contains("draft  not run: ledger unavailable"), "{}", rows[0]);
    assert_eq!(rows.len(), 5);
}

#[test]
fn logs_without_requests_are_an_error() {
    let output = losses("nothing of ours\n", &[]);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
}
