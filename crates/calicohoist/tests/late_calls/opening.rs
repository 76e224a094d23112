//! Calls to a ledger machine that is stopped while it opens its disk.

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::ledger::{Ledger, assert_answered, read_response};
use crate::cluster::{Process, STORE_IPS};
use crate::support::{configuration, wait_until};

/// Machine whose disk hangs.
const OPENING: &str = STORE_IPS[2];
const GRACE: Duration = Duration::from_secs(3);
/// Time in which an order of an operator is answered.
const ANSWER_TIME: Duration = Duration::from_secs(4);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Empty disk on which the first write of a new ledger machine hangs, imitated by a named pipe in place
/// of the file that it creates. Works again when dropped.
struct HangingDisk {
    pipe: PathBuf,
}

impl HangingDisk {
    fn create(folder: &Path) -> Self {
        std::fs::remove_dir_all(folder).expect("remove the data folder");
        std::fs::create_dir(folder).expect("create the data folder");
        let pipe = folder.join("identity.tmp");
        let created = Command::new("mkfifo").arg(&pipe).status().expect("mkfifo is installed");
        assert!(created.success(), "mkfifo failed");
        Self { pipe }
    }
}

impl Drop for HangingDisk {
    fn drop(&mut self) {
        std::fs::remove_file(&self.pipe).expect("remove the pipe");
    }
}

/// Starts three ledger machines, one of them again with a disk that hangs.
fn start() -> (Ledger, HangingDisk) {
    let mut ledger = Ledger::start_with_grace(GRACE);
    assert!(ledger.machine(OPENING).terminate());
    let disk = HangingDisk::create(&ledger.cluster.data_folder(OPENING));
    ledger.restart(OPENING);
    wait_until("the machine listens", || ledger.is_listening(OPENING));
    (ledger, disk)
}

/// Waits for the exit of a process for `limit`, and kills it if it still runs.
fn exits_within(process: &mut Process, limit: Duration) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < limit {
        if let Some(status) = process.child.try_wait().expect("a status") {
            return status.success();
        }
        thread::sleep(EXIT_POLL_INTERVAL);
    }
    process.kill();
    false
}

#[test]
fn machine_that_is_stopped_while_it_opens_its_disk_answers_and_exits() {
    let (mut ledger, disk) = start();
    let configuration = configuration(2).to_string();
    let calls: Vec<(&str, TcpStream)> = vec![
        ("read", ledger.send(OPENING, "GET", "/-/config", "")),
        ("put", ledger.send(OPENING, "PUT", "/-/config", &configuration)),
        ("retire", ledger.send(OPENING, "POST", "/-/retire/nobody", "")),
    ];
    ledger.signal(OPENING, Signal::TERM);
    let has_exited = exits_within(ledger.machine(OPENING), GRACE);
    for (call, stream) in calls {
        assert_answered(&read_response(stream), call);
    }
    assert!(has_exited, "the machine runs after its grace");
    drop(disk);
    ledger.restart(OPENING);
    wait_until("the machine serves", || {
        ledger.is_listening(OPENING) && {
            let read = ledger.send(OPENING, "GET", "/-/config", "");
            matches!(read_response(read).status, 200 | 307)
        }
    });
}

#[test]
fn machine_that_opens_its_disk_refuses_calls_meanwhile() {
    let (mut ledger, _disk) = start();
    let read = ledger.send(OPENING, "GET", "/-/config", "");
    read.set_read_timeout(Some(ANSWER_TIME)).expect("set the read timeout");
    let status = read_response(read).status;
    ledger.machine(OPENING).kill();
    assert_eq!(status, 503);
}
