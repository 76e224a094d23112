//! Signals that come before a role has begun.
//!
//! Symptom: told to stop just after its start, a process ended with a signal, not with status 0.
//! Sequence: a machine is started again, and told to stop within milliseconds. Cause: until its
//! runtime listened, SIGTERM and SIGHUP had their default effect. What settled it: the process had
//! written no line, not even that it opened its log.

use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Starts a gateway whose settings are a pipe, and waits until it is about to read them.
fn start(folder: &Path) -> (Child, File) {
    let pipe = folder.join("node.toml");
    let made = Command::new("mkfifo").arg(&pipe).status().expect("coreutils");
    assert!(made.success(), "a pipe");
    let child = Command::new(env!("CARGO_BIN_EXE_calicohoist"))
        .args(["--log-format", "json", "serve", "--node-file"])
        .arg(&pipe)
        .stdout(Stdio::null())
        .spawn()
        .expect("started");
    // Opens as soon as the process does.
    let settings = fs::OpenOptions::new().write(true).open(&pipe).expect("opened");
    (child, settings)
}

fn signal_and_go_on(signals: &[Signal]) -> ExitStatus {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut child, mut settings) = start(folder.path());
    for signal in signals {
        kill_process(Pid::from_child(&child), *signal).expect("signalled");
    }
    let text = "node_name = \"early\"\nip = \"127.0.0.1\"\nzone = \"hall\"\nserves = [\"front\"]\n\
                internal_ports = [7380,7381]\nseeds = [\"127.0.0.1:7382\"]\nbootstrap = true\n\
                [listen]\nfront_http = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
                [fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 1\n\
                [cloud]\naddress = \"127.0.0.1:9\"\n";
    // A process that a signal has ended reads nothing more.
    let _ = settings.write_all(text.as_bytes());
    drop(settings);
    child.wait().expect("ended")
}

#[test]
fn a_stop_before_the_settings_are_read_is_a_planned_one() {
    let status = signal_and_go_on(&[Signal::TERM]);
    assert!(status.success(), "{status}");
}

#[test]
fn a_reload_before_the_settings_are_read_ends_nothing() {
    let status = signal_and_go_on(&[Signal::HUP, Signal::TERM]);
    assert!(status.success(), "{status}");
}
