//! Signals received before the node file is read.
//!
//! Guards against SIGTERM and SIGHUP killing a process that has not started its runtime yet.

use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Starts a gateway that reads its node file from a pipe, and waits until it opens the pipe.
fn start_gateway(folder: &Path) -> (Child, File) {
    let pipe = folder.join("node.toml");
    let mkfifo_status = Command::new("mkfifo").arg(&pipe).status().expect("mkfifo is installed");
    assert!(mkfifo_status.success(), "mkfifo failed");
    let child = Command::new(env!("CARGO_BIN_EXE_calicohoist"))
        .args(["--log-format", "json", "serve", "--node-file"])
        .arg(&pipe)
        .stdout(Stdio::null())
        .spawn()
        .expect("started");
    // Blocks until the process opens the pipe for reading.
    let settings = fs::OpenOptions::new().write(true).open(&pipe).expect("opened");
    (child, settings)
}

fn exit_status_after(signals: &[Signal]) -> ExitStatus {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut child, mut settings) = start_gateway(folder.path());
    for signal in signals {
        kill_process(Pid::from_child(&child), *signal).expect("signalled");
    }
    let text = "node_name = \"early\"\nip = \"127.0.0.1\"\nzone = \"hall\"\nserves = [\"front\"]\n\
                internal_ports = [7380,7381]\nseeds = [\"127.0.0.1:7382\"]\nbootstrap = true\n\
                [listen]\nfront_http = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
                [fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 1\n\
                [cloud]\naddress = \"127.0.0.1:9\"\n";
    // Fails if the process was killed by a signal.
    let _ = settings.write_all(text.as_bytes());
    drop(settings);
    child.wait().expect("ended")
}

#[test]
fn early_sigterm_stops_gracefully() {
    let status = exit_status_after(&[Signal::TERM]);
    assert!(status.success(), "{status}");
}

#[test]
fn early_sighup_is_ignored() {
    let status = exit_status_after(&[Signal::HUP, Signal::TERM]);
    assert!(status.success(), "{status}");
}
