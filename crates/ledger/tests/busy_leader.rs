//! Leadership while the thread that serves gateways is busy.
//!
//! Guards against heartbeats that wait while hundreds of gateways are answered after a change, so
//! that the leader is replaced, and its successor has the same work to do.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::Duration;

use calicohoist_ledger::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};
use calicohoist_ledger::server::{self, LedgerSettings, Listeners, Ports};
use calicohoist_replication::RaftSettings;
use calicohoist_transport::{FrameReader, encode_frame, version};
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::time::Instant;

const MACHINES: [Ipv4Addr; 3] =
    [Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2), Ipv4Addr::new(127, 0, 0, 3)];
/// Long enough that a busy machine of the test does not cause an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Longer than any election timeout.
const BUSY_TIME: Duration = Duration::from_millis(3_000);
const TIMEOUT: Duration = Duration::from_secs(60);

/// Binds one port on all machines.
async fn bind_everywhere() -> (u16, Vec<TcpListener>) {
    loop {
        let first = TcpListener::bind((MACHINES[0], 0)).await.expect("bind to a free port");
        let port = first.local_addr().expect("local address").port();
        let mut listeners = vec![first];
        for ip in &MACHINES[1..] {
            if let Ok(listener) = TcpListener::bind((*ip, port)).await {
                listeners.push(listener);
            }
        }
        if listeners.len() == MACHINES.len() {
            return (port, listeners);
        }
    }
}

/// Runs a ledger machine on a thread of its own and returns the runtime that serves gateways.
fn start(settings: LedgerSettings, listeners: [TcpListener; 3]) -> Handle {
    let runtime = Builder::new_current_thread().enable_all().build().expect("build the runtime");
    let handle = runtime.handle().clone();
    let listeners = listeners.map(|listener| listener.into_std().expect("detach the listener"));
    thread::spawn(move || {
        runtime.block_on(async move {
            let [peers, gateways, control] = listeners
                .map(|listener| TcpListener::from_std(listener).expect("register the listener"));
            let (_stop, stopped) = tokio::sync::watch::channel(false);
            let _ = server::run(settings, Listeners { peers, gateways, control }, stopped).await;
        });
    });
    handle
}

/// Asks one machine whether it leads.
async fn leads(machine: Ipv4Addr, gateways_port: u16) -> Option<bool> {
    let address = SocketAddr::from((machine, gateways_port));
    let connected = version::connect(address, TIMEOUT, TIMEOUT, SUPPORTED_VERSIONS).await;
    let (stream, version) = connected.ok()?;
    let (input, mut output) = stream.into_split();
    let question = LedgerRequest::FindLeader;
    let frame = encode_frame(&RequestEnvelope { number: 1, question }).expect("encode");
    output.write_all(&frame).await.ok()?;
    let answer =
        ResponseEnvelope::read(&mut FrameReader::new(input), version, |_| {}).await.ok()?;
    Some(matches!(answer.answer, LedgerResponse::Leads { .. }))
}

async fn leader(gateways_port: u16) -> usize {
    let started_at = Instant::now();
    loop {
        for (number, machine) in MACHINES.iter().enumerate() {
            if leads(*machine, gateways_port).await == Some(true) {
                return number;
            }
        }
        assert!(started_at.elapsed() < TIMEOUT, "no leader");
    }
}

#[tokio::test]
async fn a_leader_that_is_busy_with_gateways_keeps_its_leadership() {
    let (peers_port, peers) = bind_everywhere().await;
    let (gateways_port, gateways) = bind_everywhere().await;
    let (control_port, control) = bind_everywhere().await;
    let folders: Vec<TempDir> =
        MACHINES.iter().map(|_| tempfile::tempdir().expect("create a folder")).collect();
    let listeners = peers.into_iter().zip(gateways).zip(control);
    let mut runtimes = Vec::new();
    for ((ip, folder), ((peers, gateways), control)) in MACHINES.iter().zip(&folders).zip(listeners)
    {
        let settings = LedgerSettings {
            name: ip.to_string(),
            ip: *ip,
            seeds: MACHINES.to_vec(),
            ports: Ports { peers: peers_port, gateways: gateways_port, control: control_port },
            raft: RaftSettings {
                election_min: ELECTION_TIMEOUT,
                election_max: ELECTION_TIMEOUT * 2,
                ..LedgerSettings::raft_for(1)
            },
            ..support::settings(folder)
        };
        runtimes.push(start(settings, [peers, gateways, control]));
    }
    let before = leader(gateways_port).await;
    let (busy, done) = tokio::sync::oneshot::channel();
    runtimes[before].spawn(async move {
        thread::sleep(BUSY_TIME);
        let _ = busy.send(());
    });
    done.await.expect("the leader is busy for a while");
    assert_eq!(leader(gateways_port).await, before, "another machine leads");
}
