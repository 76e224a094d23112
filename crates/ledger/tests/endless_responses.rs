//! Ledger machines whose responses never end.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_ledger::client::{ClientTiming, LedgerClient};
use calicohoist_ledger::commands::{Reservation, ReserveTurn};
use calicohoist_ledger::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{FrameReader, encode_frame};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the bytes of a response that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(5);
/// Number of a response that no request waits for.
const UNKNOWN_NUMBER: u64 = u64::MAX;

/// What a machine sends in place of a response.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// A response a byte at a time.
    Trickle,
    /// Responses to requests that were never sent.
    Unrequested,
}

/// A machine in trouble that led, and the next leader.
struct Machines {
    endless: Endless,
    /// Whether the machine in trouble still names itself as the leader.
    led: AtomicUsize,
    /// Connections of the machine in trouble that were closed by the client.
    closed: AtomicUsize,
}

const IN_TROUBLE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const LEADER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Binds listeners of both machines on a common free port.
async fn bind_listeners() -> (u16, [TcpListener; 2]) {
    loop {
        let first = TcpListener::bind((IN_TROUBLE, 0)).await.expect("bind");
        let port = first.local_addr().expect("local address").port();
        if let Ok(second) = TcpListener::bind(SocketAddr::from((LEADER, port))).await {
            return (port, [first, second]);
        }
    }
}

fn reserved(history_bytes: usize) -> LedgerResponse {
    LedgerResponse::Reserved {
        reservation: Reservation::Granted,
        history: vec![7; history_bytes],
        decision: None,
        is_under_way: false,
        permit: None,
    }
}

impl Machines {
    async fn accept(self: Arc<Self>, ip: Ipv4Addr, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).serve(ip, stream));
        }
    }

    async fn serve(self: Arc<Self>, ip: Ipv4Addr, stream: TcpStream) {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        if accept_offer(&mut frames, &mut output, SUPPORTED_VERSIONS).await.is_err() {
            return;
        }
        while let Ok(RequestEnvelope { number, question }) = frames.next().await {
            let answer = match question {
                LedgerRequest::FindLeader => self.name_leader(ip),
                _ if ip == IN_TROUBLE => break,
                _ => reserved(10),
            };
            let frame = encode_frame(&ResponseEnvelope { number, answer }).expect("encodes");
            if output.write_all(&frame).await.is_err() {
                return;
            }
        }
        if ip == IN_TROUBLE {
            self.send_without_end(output).await;
            self.closed.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// The machine in trouble leads until it was asked for the first time.
    fn name_leader(&self, ip: Ipv4Addr) -> LedgerResponse {
        let machines = vec![IN_TROUBLE.to_bits(), LEADER.to_bits()];
        let is_first = ip == IN_TROUBLE && self.led.fetch_add(1, Ordering::SeqCst) == 0;
        if ip == LEADER || is_first {
            return LedgerResponse::Leads { machines };
        }
        LedgerResponse::NotLeader { leader: Some(LEADER.to_bits()), machines }
    }

    /// Sends until the client closes the connection.
    async fn send_without_end(&self, mut output: OwnedWriteHalf) {
        let answer = reserved(1 << 20);
        let frame = encode_frame(&ResponseEnvelope { number: UNKNOWN_NUMBER, answer });
        let frame = frame.expect("encodes");
        match self.endless {
            Endless::Unrequested => while output.write_all(&frame).await.is_ok() {},
            Endless::Trickle => {
                for byte in frame {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                    if output.write_all(&[byte]).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Asserts that a request is answered by the next leader, and that the connection to the machine in
/// trouble is closed.
async fn assert_abandoned(endless: Endless) {
    let (port, [first, second]) = bind_listeners().await;
    let (led, closed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let machines = Arc::new(Machines { endless, led, closed });
    tokio::spawn(Arc::clone(&machines).accept(IN_TROUBLE, first));
    let timing = ClientTiming {
        response_timeout: Duration::from_millis(50),
        max_silence: Duration::from_millis(200),
        find_leader_timeout: REQUEST_TIMEOUT,
        ..ClientTiming::default()
    };
    let client = LedgerClient::with_timing(&[IN_TROUBLE], port, timing);
    tokio::spawn(Arc::clone(&machines).accept(LEADER, second));
    let reserve = ReserveTurn {
        program: None,
        turn: "turn".to_owned(),
        most_tokens: 10,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    let request = LedgerRequest::Reserve { reserve, placement: None, permit: None };
    let response = client.request(&request, Instant::now() + REQUEST_TIMEOUT).await;
    assert!(matches!(response, Ok(LedgerResponse::Reserved { .. })), "{endless:?}: {response:?}");
    let closes = async {
        while machines.closed.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(TRICKLE_INTERVAL).await;
        }
    };
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, closes).await;
    assert!(closed.is_ok(), "{endless:?}: the connection stays open");
}

#[tokio::test]
async fn machine_whose_response_trickles_is_abandoned() {
    assert_abandoned(Endless::Trickle).await;
}

#[tokio::test]
async fn machine_that_sends_unrequested_responses_is_abandoned() {
    assert_abandoned(Endless::Unrequested).await;
}
