//! Timeline of a request or program from log files, as printed by `calicohoist explain`.

use std::process::{Command, Output};

const LOG: &str = r#"
  1.5 front-1 {"event":4108,"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:01.5Z","request":"r1","program":"p1","route":"draft"}
{"event":4108,"name":"RequestTaken","node":"front-1","time":"2026-05-01T10:00:01.6Z","request":"r2","program":"p2","route":"draft"}
not a line of ours
{"event":5202,"name":"LedgerLost","node":"front-1","time":"2026-05-01T10:00:01.8Z","machine":"10.0.0.1:7381"}
{"event":2001,"name":"BecameLeader","node":"store-2","time":"2026-05-01T10:00:02.1Z","term":4}
{"event":5202,"name":"LedgerLost","node":"front-9","time":"2026-05-01T10:00:01.9Z","machine":"10.0.0.1:7381"}
{"event":4105,"name":"RequestEnded","node":"front-1","time":"2026-05-01T10:00:02.5Z","request":"r1","outcome":"not run: ledger unavailable","after_ms":1000}
{"event":2001,"name":"BecameLeader","node":"store-2","time":"2026-05-01T10:00:09.1Z","term":9}
"#;

fn explain(arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("log");
    std::fs::write(&file, LOG).expect("a log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_calicohoist"));
    command.arg("explain").args(arguments).arg(&file).output().expect("runs")
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

#[test]
fn timeline_includes_state_changes_of_involved_processes() {
    let output = explain(&["r1"]);
    let timeline = lines(&output);
    let names: Vec<&str> = timeline.iter().filter_map(|line| line.split(' ').nth(2)).collect();
    assert_eq!(names, ["RequestTaken", "LedgerLost", "BecameLeader", "RequestEnded"]);
    assert!(timeline[3].contains("outcome=not run: ledger unavailable"), "{}", timeline[3]);
}

#[test]
fn program_timeline_without_state_changes() {
    assert_eq!(lines(&explain(&["--only", "p1"])).len(), 1);
}

#[test]
fn unknown_id_is_an_error() {
    let output = explain(&["r9"]);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
}
