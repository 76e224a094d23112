//! Requests that are in progress while their gateway stops, as callers see them, with real
//! processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod arrivals;
mod half_closed;
mod idle_connections;
mod ledger_stops;
mod series;
mod slow_ledger;
mod slow_readers;
mod small_share;
mod standing_still;

use std::io::{BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cluster::forwarder::Forwarder;
use cluster::{Cluster, GATEWAY_IPS, Ports, Process, STORE_BIND_IPS, STORE_IPS};
use rustix::net::sockopt;
use rustix::process::Signal;
use support::{Response, ScriptedReplica, client, configuration, request_head, wait_until};

const RECEIVE_BUFFER_BYTES: usize = 256 << 10;

/// A gateway with its ledger and one replica for each service.
struct Deployment {
    cluster: Cluster,
    gateway: Process,
    replicas: Vec<ScriptedReplica>,
    stores: Vec<Process>,
    /// Links from gateways to the ledger.
    ledger_links: Vec<Forwarder>,
}

impl Deployment {
    /// Starts a deployment in which one replica runs the given script for both services.
    fn start(script: impl Fn(&mut support::replica::Exchange<'_>) + Send + Sync + 'static) -> Self {
        Self::start_in(Cluster::new(), script, STORE_IPS)
    }

    /// Like [`start`](Self::start), with this grace period of all machines.
    fn start_with_grace(
        script: impl Fn(&mut support::replica::Exchange<'_>) + Send + Sync + 'static,
        grace: Duration,
    ) -> Self {
        Self::start_in(Cluster { grace, ..Cluster::new() }, script, STORE_IPS)
    }

    /// Like [`start`](Self::start), with links in front of the ledger machines.
    fn start_behind_ledger_links(
        script: impl Fn(&mut support::replica::Exchange<'_>) + Send + Sync + 'static,
    ) -> Self {
        Self::start_in(Cluster::new(), script, STORE_BIND_IPS)
    }

    /// Starts a deployment whose ledger machines listen on the given addresses.
    fn start_in(
        cluster: Cluster,
        script: impl Fn(&mut support::replica::Exchange<'_>) + Send + Sync + 'static,
        bind_ips: [&str; 3],
    ) -> Self {
        let script = Arc::new(script);
        let replicas = ["tools", "models"].map(|service| {
            let script = Arc::clone(&script);
            let replica = ScriptedReplica::start(service, move |exchange| script(exchange));
            cluster.platform_list.put(&replica, service, "ready");
            replica
        });
        let stores = STORE_IPS.into_iter().zip(bind_ips);
        let ledger_links = stores.clone().filter(|(ip, bind_ip)| ip != bind_ip);
        let ledger_links =
            ledger_links.map(|(ip, bind_ip)| start_ledger_link(cluster.ports, ip, bind_ip));
        let ledger_links = ledger_links.collect();
        let stores = stores.map(|(ip, bind_ip)| cluster.start_with_bind(ip, bind_ip, true));
        let stores = stores.collect();
        let gateway = cluster.start(GATEWAY_IPS[0], true);
        let body = configuration(5).to_string();
        wait_until("the configuration is accepted", || {
            cluster.operator_request("PUT", "/-/config", &body).is_some()
        });
        wait_until("the gateway is ready", || cluster.is_ready(GATEWAY_IPS[0]));
        Self { cluster, gateway, replicas: replicas.into(), stores, ledger_links }
    }

    /// Opens a connection whose receive buffer is smaller than every large response.
    fn connect(&self) -> TcpStream {
        let stream = client::connect(self.cluster.http(GATEWAY_IPS[0]));
        sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).expect("set the size");
        stream
    }

    /// Opens a connection and sends a request on it.
    fn send(&self, method: &str, path: &str, id: &str, headers: &[&str]) -> TcpStream {
        let mut stream = self.connect();
        let head = request_head(method, path, id, 0, headers);
        stream.write_all(head.as_bytes()).expect("send the request");
        stream
    }

    /// Waits until the replica has received a request.
    fn wait_until_running(&self, id: &str) {
        wait_until("the request runs", || self.has_run(id));
    }

    fn has_run(&self, id: &str) -> bool {
        let mut requests = self.replicas.iter().flat_map(ScriptedReplica::requests);
        requests.any(|request| request.id() == id)
    }

    fn stop_gateway(&self) {
        self.gateway.signal(Signal::TERM);
    }

    /// Waits until the gateway has exited, and asserts that it cut no connection.
    fn wait_until_stopped(&mut self) {
        let status = self.gateway.child.wait().expect("the gateway exits");
        assert!(status.success(), "{status}");
        let log = self.cluster.folder.path().join(format!("{}.log", GATEWAY_IPS[0]));
        let log = std::fs::read_to_string(log).expect("the log of the gateway");
        assert!(log.contains("\"StopFinished\""), "the stop was forced");
    }
}

/// Forwards all connections to a ledger machine; returns the link for those of gateways.
fn start_ledger_link(ports: Ports, ip: &str, bind_ip: &str) -> Forwarder {
    let forward = |port: u16| {
        let socket = |ip: &str| SocketAddr::new(ip.parse().expect("an address"), port);
        Forwarder::start(socket(ip), socket(bind_ip))
    };
    for port in [ports.internal, ports.control] {
        forward(port);
    }
    forward(ports.internal + 1)
}

/// Reads a response at `bytes_per_second`; an error ends it early.
fn read_slowly(stream: TcpStream, bytes_per_second: usize) -> Response {
    const TICK: Duration = Duration::from_millis(20);
    let mut input = PacedReader { stream, pause: TICK, most: bytes_per_second / 50 };
    client::read_response(&mut BufReader::with_capacity(bytes_per_second / 50, &mut input))
}

struct PacedReader {
    stream: TcpStream,
    pause: Duration,
    most: usize,
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(self.pause);
        let most = self.most.min(buffer.len());
        self.stream.read(&mut buffer[..most])
    }
}

fn read_response(stream: TcpStream) -> Response {
    client::read_response(&mut BufReader::new(stream))
}

/// Asserts that a response is complete.
fn assert_complete(response: &Response, status: u16) {
    let Response { body, is_complete, .. } = response;
    assert_eq!((response.status, *is_complete), (status, true), "after {} bytes", body.len());
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}
