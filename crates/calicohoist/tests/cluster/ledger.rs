//! Ledger machines of a test cluster, and the calls of their operators.

use std::cell::RefCell;
use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use rustix::process::Signal;

use super::{Cluster, Process, STORE_IPS};
use crate::support::{Response, client, configuration, wait_until};

/// Three ledger machines with an active configuration.
pub struct Ledger {
    pub cluster: Cluster,
    pub machines: Vec<Process>,
}

impl Ledger {
    pub fn start() -> Self {
        Self::start_in(Cluster::new())
    }

    pub fn start_with_grace(grace: Duration) -> Self {
        Self::start_in(Cluster { grace, ..Cluster::new() })
    }

    /// Starts machines with this memory, in MiB.
    pub fn start_with_memory(memory_mb: usize) -> Self {
        Self::start_in(Cluster { memory_mb, ledger_memory_mb: memory_mb, ..Cluster::new() })
    }

    pub fn start_in(cluster: Cluster) -> Self {
        let machines = STORE_IPS.iter().map(|ip| cluster.start(ip, true)).collect();
        let ledger = Self { cluster, machines };
        ledger.operate("PUT", "/-/config", &configuration(1).to_string());
        ledger
    }

    pub fn machine(&mut self, ip: &str) -> &mut Process {
        let machine = self.machines.iter_mut().find(|machine| machine.ip == ip);
        machine.expect("a machine with this address")
    }

    pub fn signal(&self, ip: &str, signal: Signal) {
        let machine = self.machines.iter().find(|machine| machine.ip == ip);
        machine.expect("a machine with this address").signal(signal);
    }

    /// Starts a machine that has ended.
    pub fn restart(&mut self, ip: &'static str) {
        let started = self.cluster.start(ip, false);
        *self.machine(ip) = started;
    }

    pub fn is_listening(&self, ip: &str) -> bool {
        TcpStream::connect(self.cluster.control(ip)).is_ok()
    }

    /// Waits until a machine has exited, and asserts that it was a graceful stop.
    pub fn wait_until_stopped(&mut self, ip: &str) {
        let status = self.machine(ip).child.wait().expect("the machine exits");
        assert!(status.success(), "{status}");
    }

    pub fn connect(&self, ip: &str) -> TcpStream {
        client::connect(self.cluster.control(ip))
    }

    /// Opens a connection and sends a request on it.
    pub fn send(&self, ip: &str, method: &str, path: &str, body: &str) -> TcpStream {
        let mut stream = self.connect(ip);
        stream.write_all(request(method, path, body).as_bytes()).expect("send the request");
        stream
    }

    /// Sends an operator request until a machine replies with 200; returns that machine.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> (Response, &'static str) {
        let replied = RefCell::new(None);
        wait_until("an operator request is acknowledged", || {
            replied.replace(self.cluster.operator_request(method, path, body));
            replied.borrow().is_some()
        });
        replied.into_inner().expect("a response")
    }

    /// Reads the active configuration from the leader, as soon as there is one.
    pub fn active_version(&self) -> u64 {
        version_of(&self.operate("GET", "/-/config", "").0)
    }
}

pub fn version_of(response: &Response) -> u64 {
    let document: serde_json::Value =
        serde_json::from_slice(&response.body).expect("a configuration");
    document["version"].as_u64().expect("a version")
}

pub fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns a configuration of about the given size.
pub fn large_configuration(version: u64, bytes: usize) -> String {
    let mut document = configuration(version);
    document["later_field"] = "x".repeat(bytes).into();
    document.to_string()
}

pub fn read_response(stream: TcpStream) -> Response {
    client::read_response(&mut BufReader::new(stream))
}

/// Asserts that a request was answered, whatever the answer is.
pub fn assert_answered(response: &Response, call: &str) {
    let Response { status, is_complete, body, .. } = response;
    assert!(*status > 0 && *is_complete, "{call}: {status} after {} bytes", body.len());
}
