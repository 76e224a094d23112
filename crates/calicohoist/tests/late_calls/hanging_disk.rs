//! A disk that hangs, imitated by a named pipe in place of a file that the machine creates.

use std::io::Write as _;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::cluster::ledger::{Ledger, large_configuration, read_response, request};

/// Size of a configuration; some of them make a machine rewrite its log.
const LARGE_BYTES: usize = 4 << 20;
/// Numbers of the log files that may be created next.
const LOG_NUMBERS: std::ops::Range<u32> = 1..8;
/// Time after which a machine that does not answer is taken to hang.
const SILENCE: Duration = Duration::from_millis(700);

/// The disk of a machine whose next rewrite of the log does not end. Works again when dropped.
pub struct HangingDisk {
    pipes: Vec<PathBuf>,
}

impl HangingDisk {
    /// Last version of the configurations that are activated to fill the log.
    pub const LAST_VERSION: u64 = 9;

    /// Activates configurations until the machine hangs.
    pub fn start(ledger: &Ledger, ip: &str) -> Self {
        let folder = ledger.cluster.data_folder(ip);
        let pipes: Vec<PathBuf> =
            LOG_NUMBERS.map(|number| folder.join(format!("log-{number:08}.tmp"))).collect();
        let created = Command::new("mkfifo").args(&pipes).status().expect("mkfifo is installed");
        assert!(created.success(), "mkfifo failed");
        for version in 2..=Self::LAST_VERSION {
            let body = large_configuration(version, LARGE_BYTES);
            let put = ledger.send(ledger.cluster.leader(), "PUT", "/-/config", &body);
            println!("version {version}: {}", read_response(put).status);
            if is_silent(ledger.connect(ip)) {
                return Self { pipes };
            }
        }
        panic!("the machine did not rewrite its log");
    }

    /// Lets the write that hangs fail, because a pipe cannot be synced.
    pub fn fail(&self) {
        for pipe in self.pipes.clone() {
            // Reads the pipe that the machine writes; does not open the others.
            thread::spawn(move || std::fs::read(pipe));
        }
    }
}

impl Drop for HangingDisk {
    fn drop(&mut self) {
        for pipe in &self.pipes {
            std::fs::remove_file(pipe).expect("remove a pipe");
        }
    }
}

/// Returns whether a machine leaves a call without an answer.
fn is_silent(mut stream: TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("set the read timeout");
    stream.write_all(request("GET", "/-/config", "").as_bytes()).expect("send the request");
    read_response(stream).status == 0
}
