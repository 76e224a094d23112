//! Connections to ledger machines whose frames never end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use calicohoist_transport::{ProtocolVersion, VersionRange, encode_frame, frame_payload};

use crate::cluster::{Cluster, STORE_IPS};
use crate::support::{client, configuration};
use crate::{Deployment, TURN, load};

/// Connections to each port of a ledger machine.
const CONNECTIONS: usize = 8;
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(100);
/// Payload length announced by a frame: the maximum.
const ANNOUNCED_BYTES: u32 = 64 << 20;
/// Checksum announced by a frame, which its bytes do not have.
const CHECKSUM: u32 = 7;
const PART_BYTES: usize = 64 << 10;
/// Bytes that a frame brings before it trickles.
const HELD_BYTES: usize = 16 << 20;
/// Above the minimum rate of a frame.
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);
const TRICKLE_BYTES: usize = 1 << 10;

/// What a peer sends in place of its first frame.
#[derive(Clone, Copy)]
enum EndlessFrame {
    /// Bytes as fast as they are read.
    Fast,
    /// Many bytes, then a few at a time.
    Trickled,
}

impl EndlessFrame {
    /// Writes until the connection is closed.
    fn write(self, stream: &mut TcpStream) {
        let header = [ANNOUNCED_BYTES.to_le_bytes(), CHECKSUM.to_le_bytes()].concat();
        let mut result = stream.write_all(&header);
        let part = vec![b'x'; PART_BYTES];
        let mut sent = 0;
        while result.is_ok() {
            let part = match self {
                Self::Trickled if sent >= HELD_BYTES => {
                    thread::sleep(TRICKLE_PAUSE);
                    &part[..TRICKLE_BYTES]
                }
                Self::Fast | Self::Trickled => &part[..],
            };
            result = stream.write_all(part);
            sent += part.len();
        }
    }
}

/// Negotiates a protocol version, as the first frames of a sound peer do.
fn negotiate(stream: &mut TcpStream) -> std::io::Result<()> {
    const MARKER: u8 = 0xff;
    let versions =
        VersionRange { oldest: ProtocolVersion::LEGACY, newest: ProtocolVersion::new(u16::MAX) };
    let offer = encode_frame(&versions).expect("encodes");
    let payload = [&[MARKER], &offer[calicohoist_transport::HEADER_BYTES..]].concat();
    stream.write_all(&frame_payload(&payload))?;
    let mut answer = [0; calicohoist_transport::HEADER_BYTES];
    stream.read_exact(&mut answer)
}

/// Peers that send endless frames until the value is dropped.
#[derive(Default)]
struct EndlessPeers {
    is_over: Arc<AtomicBool>,
    closed: Arc<AtomicUsize>,
}

impl EndlessPeers {
    fn start(&self, addresses: &[SocketAddr], frame: EndlessFrame) {
        for address in addresses {
            for number in 0..CONNECTIONS {
                let (address, is_over) = (*address, Arc::clone(&self.is_over));
                let closed = Arc::clone(&self.closed);
                thread::spawn(move || {
                    while !is_over.load(Ordering::Relaxed) {
                        if let Ok(mut stream) = TcpStream::connect(address)
                            && (number % 2 == 0 || negotiate(&mut stream).is_ok())
                        {
                            frame.write(&mut stream);
                            closed.fetch_add(1, Ordering::Relaxed);
                        }
                        thread::sleep(RECONNECT_PAUSE);
                    }
                });
            }
        }
    }
}

impl Drop for EndlessPeers {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Changes the configuration again and again; returns the number of accepted changes.
fn change_configuration(controls: &[SocketAddr], is_over: &AtomicBool) -> usize {
    let body = configuration(5).to_string();
    let mut accepted = 0;
    while !is_over.load(Ordering::Relaxed) {
        let is_accepted = |control: &&SocketAddr| {
            client::control(**control, "PUT", "/-/config", &body).status == 200
        };
        accepted += usize::from(controls.iter().find(is_accepted).is_some());
        thread::sleep(CONFIGURATION_PAUSE);
    }
    accepted
}

/// Runs callers and changes of the configuration while peers of each ledger machine send endless frames.
fn run_beside_links(frame: EndlessFrame) {
    let _turn = TURN.lock();
    let deployment = Deployment::start(&[], Cluster::new());
    let cluster = &deployment.cluster;
    let controls: Vec<SocketAddr> = STORE_IPS.iter().map(|ip| cluster.control(ip)).collect();
    let ports = [cluster.ports.internal, cluster.ports.internal + 1];
    let addresses: Vec<SocketAddr> = STORE_IPS
        .iter()
        .take(2)
        .flat_map(|ip| ports.map(|port| SocketAddr::new(ip.parse().expect("an address"), port)))
        .collect();
    let peers = EndlessPeers::default();
    let is_over = AtomicBool::new(false);
    let accepted = thread::scope(|scope| {
        let changes = scope.spawn(|| change_configuration(&controls, &is_over));
        let begin = || peers.start(&addresses, frame);
        let _stores = load::run_beside(deployment, 0, "", begin);
        is_over.store(true, Ordering::Relaxed);
        changes.join().expect("no panic")
    });
    println!("{} connections closed, {accepted} changes", peers.closed.load(Ordering::Relaxed));
    assert!(accepted > 0, "no change of the configuration was accepted");
}

#[test]
fn requests_are_served_beside_frames_without_end() {
    run_beside_links(EndlessFrame::Fast);
}

#[test]
fn requests_are_served_beside_frames_that_trickle() {
    run_beside_links(EndlessFrame::Trickled);
}
