//! What a leader holds in memory while all gateways fetch one large configuration.
//!
//! Symptom: ledger machines ended for want of memory (120 MB), one after the other, each within
//! two seconds of its election; meanwhile reservations took 440 ms instead of 15, and configurations
//! that had been acknowledged were not in force in time.
//!
//! Sequence: an operator adds 2,000 routes; 256 gateways wait for news; the leader copies the
//! document for each of them, encodes each copy into a frame of its own and queues all of them. It
//! falls silent towards its followers, another machine is elected, the gateways turn to it, and it
//! does the same.
//!
//! Cause: a change cost the leader memory and traffic for each gateway, all at one moment, and
//! nothing bounded what waited for gateways that take their answers slowly.
//!
//! What settled it: memory (+40 to 70 MB) and bytes sent (5 to 72 MB/s) grow with the first large
//! document, follow the leadership, and come back after a loss of power, when no turns wait.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_ledger::protocol::{Ask, Question, SPOKEN, Seen};
use calicohoist_ledger::server::control::{CallError, ControlCall, ControlCodec, ControlOutcome};
use calicohoist_ledger::server::{self, LedgerSettings, Listeners, Ports};
use calicohoist_transport::encode_frame;
use calicohoist_transport::version::offer;
use hyper::{Method, StatusCode};
use peak_alloc::PeakAlloc;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
const GATEWAYS: usize = 24;
/// Larger than what sockets take in by themselves, and below the largest body of an operator.
const DOCUMENT_BYTES: usize = 8 << 20;
/// Log, state, the body, the frame that all gateways share, and what makes it.
const MOST_DOCUMENTS: usize = 6;
/// So small that a gateway that does not read leaves its answer with the leader.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// Takes every call for the one configuration.
struct OneVersion;

impl ControlCodec for OneVersion {
    fn parse(&self, _: &Method, _: &str, _: &[u8]) -> Result<ControlCall, CallError> {
        Ok(ControlCall::PutConfiguration { version: 1 })
    }

    fn render(&self, outcome: &ControlOutcome) -> (StatusCode, Vec<u8>) {
        let is_done = *outcome == ControlOutcome::Done;
        (if is_done { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Vec::new())
    }
}

/// A ledger of one machine.
struct Ledger {
    gateways: SocketAddr,
    control: SocketAddr,
    _folder: TempDir,
    _stop: watch::Sender<bool>,
}

impl Ledger {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let ports = Ports { peers: 0, gateways: 0, control: 0 };
        let listeners = Listeners::bind(LOCAL, ports).expect("ports");
        let settings = LedgerSettings {
            name: "alone".to_owned(),
            ip: LOCAL,
            seeds: vec![LOCAL],
            bootstrap: true,
            data_folder: folder.path().to_owned(),
            ports,
            raft: LedgerSettings::raft_for(0),
            tolerated_losses: 0,
            list: None,
            list_interval: LedgerSettings::LIST_INTERVAL,
            control: Arc::new(OneVersion),
            limit_tolerance: Default::default(),
            zone: "hall".to_owned(),
            topology: Arc::default(),
            cold_tolerance: Default::default(),
        };
        let gateways = listeners.gateways.local_addr().expect("bound");
        let control = listeners.control.local_addr().expect("bound");
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(async move { server::run(settings, listeners, stopped).await });
        Self { gateways, control, _folder: folder, _stop: stop }
    }

    /// Puts the configuration in force.
    async fn put(&self, document: &[u8]) {
        while !self.try_put(document).await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn try_put(&self, document: &[u8]) -> bool {
        let mut stream = TcpStream::connect(self.control).await.expect("listens");
        let head = format!(
            "PUT / HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            document.len()
        );
        stream.write_all(head.as_bytes()).await.expect("written");
        stream.write_all(document).await.expect("written");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.expect("answered");
        reply.starts_with("HTTP/1.1 200")
    }

    /// A gateway that has asked for news, and does not read them yet.
    async fn watch(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a size");
        socket.bind(SocketAddr::new(IpAddr::V4(LOCAL), 0)).expect("a port");
        let mut stream = socket.connect(self.gateways).await.expect("listens");
        offer(&mut stream, SPOKEN).await.expect("speaks the newest version");
        let ask = Ask { number: 1, question: Question::Watch(Seen::default()) };
        stream.write_all(&encode_frame(&ask).expect("encodes")).await.expect("written");
        stream
    }
}

/// Bytes that do not compress.
fn document() -> Vec<u8> {
    let mut document = vec![0; DOCUMENT_BYTES];
    StdRng::seed_from_u64(36).fill_bytes(&mut document);
    document
}

/// All gateways ask before any of them reads.
#[tokio::test]
async fn one_copy_of_a_configuration_serves_all_gateways() {
    let ledger = Ledger::start();
    let document = document();
    ledger.put(&document).await;
    let before = ALLOCATOR.current_usage();
    ALLOCATOR.reset_peak_usage();
    let mut watches = Vec::new();
    for _ in 0..GATEWAYS {
        watches.push(ledger.watch().await);
    }
    for watch in &watches {
        let is_answered = watch.peek(&mut [0; 1]).await.expect("open");
        assert_eq!(is_answered, 1, "the leader closed the connection");
    }
    let grown = ALLOCATOR.peak_usage().saturating_sub(before);
    let documents = grown as f64 / DOCUMENT_BYTES as f64;
    assert!(grown < MOST_DOCUMENTS * DOCUMENT_BYTES, "{documents:.1} documents in memory");
}
