//! Tests of the ledger client against mock ledger machines that count connections and requests.
//!
//! Client timeouts are long and mocks respond to events instead of delays, so that results do not
//! depend on the speed of the test machine.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_ledger::client::{ClientTiming, LedgerClient};
use calicohoist_ledger::commands::{Reservation, ReserveTurn};
use calicohoist_ledger::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{FrameReader, encode_frame};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const MACHINES: usize = 3;
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of the chunks in which mocks write responses, to emulate a slow link.
const CHUNK_BYTES: usize = 64 << 10;
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

/// Counters of one mock machine.
#[derive(Default)]
struct RequestCounts {
    connections: AtomicUsize,
    reservations: AtomicUsize,
    leader_searches: AtomicUsize,
}

/// Mock ledger machines at 127.0.0.1 to 127.0.0.3 on one port.
struct MockLedger {
    port: u16,
    /// Index of the leader; any other number if there is none.
    leader: AtomicUsize,
    counts: [RequestCounts; MACHINES],
    /// Total number of leader searches.
    total_searches: AtomicU32,
    search_received: Notify,
    /// Number of leader searches after which reservations are answered.
    respond_after_searches: AtomicU32,
    /// Length of the history in responses to reservations.
    history_bytes: AtomicUsize,
}

fn address(position: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 1 + u8::try_from(position).expect("fits in integer type"))
}

fn number(position: usize) -> u32 {
    address(position).to_bits()
}

impl MockLedger {
    async fn start(leader: usize) -> Arc<Self> {
        let (port, listeners) = bind_listeners().await;
        let ledger = Arc::new(Self {
            port,
            leader: AtomicUsize::new(leader),
            counts: Default::default(),
            total_searches: AtomicU32::new(0),
            search_received: Notify::new(),
            respond_after_searches: AtomicU32::new(0),
            history_bytes: AtomicUsize::new(0),
        });
        for (position, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(Arc::clone(&ledger).accept(position, listener));
        }
        ledger
    }

    fn client(&self) -> LedgerClient {
        self.client_with_max_silence(TEST_TIMEOUT)
    }

    fn client_with_max_silence(&self, max_silence: Duration) -> LedgerClient {
        let timing = ClientTiming {
            response_timeout: Duration::from_millis(50),
            leader_confirmation_ttl: Duration::ZERO,
            max_silence,
            find_leader_timeout: TEST_TIMEOUT,
            ..ClientTiming::default()
        };
        let seeds: Vec<Ipv4Addr> = (0..MACHINES).map(address).collect();
        LedgerClient::with_timing(&seeds, self.port, timing)
    }

    async fn accept(self: Arc<Self>, position: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.counts[position].connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(Arc::clone(&self).serve(position, stream));
        }
    }

    async fn serve(self: Arc<Self>, position: usize, stream: TcpStream) {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        if accept_offer(&mut frames, &mut output, SUPPORTED_VERSIONS).await.is_err() {
            return;
        }
        let output = Arc::new(tokio::sync::Mutex::new(output));
        while let Ok(RequestEnvelope { number, question }) = frames.next().await {
            let ledger = Arc::clone(&self);
            let output = Arc::clone(&output);
            tokio::spawn(async move {
                let answer = ledger.respond(position, question).await;
                let frame = encode_frame(&ResponseEnvelope { number, answer }).expect("encode");
                let mut output = output.lock().await;
                for (index, chunk) in frame.chunks(CHUNK_BYTES).enumerate() {
                    if index > 0 {
                        tokio::time::sleep(CHUNK_INTERVAL).await;
                    }
                    let _ = output.write_all(chunk).await;
                }
            });
        }
    }

    async fn respond(&self, position: usize, question: LedgerRequest) -> LedgerResponse {
        let leads = self.leader.load(Ordering::SeqCst) == position;
        if matches!(question, LedgerRequest::FindLeader) {
            self.counts[position].leader_searches.fetch_add(1, Ordering::SeqCst);
            self.total_searches.fetch_add(1, Ordering::SeqCst);
            self.search_received.notify_waiters();
        } else if leads {
            self.counts[position].reservations.fetch_add(1, Ordering::SeqCst);
            self.wait_for_searches().await;
        }
        let machines = (0..MACHINES).map(number).collect();
        match question {
            LedgerRequest::FindLeader if leads => LedgerResponse::Leads { machines },
            LedgerRequest::Reserve { .. } if leads => LedgerResponse::Reserved {
                reservation: Reservation::Granted,
                history: vec![7; self.history_bytes.load(Ordering::SeqCst)],
                decision: None,
                is_under_way: false,
                permit: None,
            },
            _ => {
                let leader = self.leader.load(Ordering::SeqCst);
                let leader = (leader < MACHINES).then(|| number(leader));
                LedgerResponse::NotLeader { leader, machines }
            }
        }
    }

    async fn wait_for_searches(&self) {
        loop {
            let search_received = self.search_received.notified();
            let required = self.respond_after_searches.load(Ordering::SeqCst);
            if self.total_searches.load(Ordering::SeqCst) >= required {
                return;
            }
            search_received.await;
        }
    }
}

/// Binds listeners at all addresses on a common free port.
async fn bind_listeners() -> (u16, Vec<TcpListener>) {
    loop {
        let first = TcpListener::bind((address(0), 0)).await.expect("bind");
        let port = first.local_addr().expect("local address").port();
        let mut listeners = vec![first];
        for position in 1..MACHINES {
            let machine = SocketAddr::from((address(position), port));
            let Ok(listener) = TcpListener::bind(machine).await else {
                break;
            };
            listeners.push(listener);
        }
        if listeners.len() == MACHINES {
            return (port, listeners);
        }
    }
}

fn reservation(turn: usize) -> LedgerRequest {
    let reserve = ReserveTurn {
        program: None,
        turn: format!("turn-{turn}"),
        most_tokens: 10,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    LedgerRequest::Reserve { reserve, placement: None, permit: None }
}

async fn reserve(client: &LedgerClient, turn: usize) -> bool {
    let response = client.request(&reservation(turn), Instant::now() + TEST_TIMEOUT).await;
    matches!(response, Ok(LedgerResponse::Reserved { .. }))
}

async fn reserve_all(client: &LedgerClient, count: usize) {
    let turns = (0..count).map(|turn| {
        let client = client.clone();
        tokio::spawn(async move { reserve(&client, turn).await })
    });
    for turn in turns.collect::<Vec<_>>() {
        assert!(turn.await.expect("task panicked"), "reservation failed");
    }
}

/// Regression test: retries after a timeout overloaded a slow leader, and reconnecting discarded
/// all other requests in flight.
#[tokio::test]
async fn requests_to_a_slow_leader_are_not_repeated() {
    const TURNS: usize = 20;
    const LEADER: usize = 1;
    let ledger = MockLedger::start(LEADER).await;
    let client = ledger.client();
    assert!(reserve(&client, TURNS).await);
    // The leader responds after its followers have been asked five times whether it leads.
    let searches = ledger.total_searches.load(Ordering::SeqCst);
    ledger.respond_after_searches.store(searches + 5, Ordering::SeqCst);
    reserve_all(&client, TURNS).await;
    let counts = &ledger.counts[LEADER];
    assert_eq!(counts.reservations.load(Ordering::SeqCst), TURNS + 1, "requests were repeated");
    assert_eq!(counts.connections.load(Ordering::SeqCst), 1, "client reconnected");
}

#[tokio::test]
async fn an_unresponsive_former_leader_is_abandoned() {
    const OLD_LEADER: usize = 0;
    const NEW_LEADER: usize = 2;
    let ledger = MockLedger::start(OLD_LEADER).await;
    let client = ledger.client();
    assert!(reserve(&client, 0).await);
    ledger.respond_after_searches.store(u32::MAX, Ordering::SeqCst);
    let request = tokio::spawn({
        let client = client.clone();
        async move { reserve(&client, 1).await }
    });
    while ledger.counts[OLD_LEADER].reservations.load(Ordering::SeqCst) < 2 {
        tokio::task::yield_now().await;
    }
    ledger.leader.store(NEW_LEADER, Ordering::SeqCst);
    while ledger.counts[NEW_LEADER].reservations.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    ledger.respond_after_searches.store(0, Ordering::SeqCst);
    ledger.search_received.notify_waiters();
    assert!(request.await.expect("task panicked"));
}

#[tokio::test]
async fn concurrent_requests_share_one_leader_search() {
    const TURNS: usize = 50;
    let ledger = MockLedger::start(2).await;
    let client = ledger.client();
    reserve_all(&client, TURNS).await;
    let searches = ledger.total_searches.load(Ordering::SeqCst);
    let max_searches = u32::try_from(MACHINES).expect("fits in integer type");
    assert!(searches <= max_searches, "{searches} searches for {TURNS} requests");
}

/// Regression test: a response that took longer than `max_silence` to arrive over a congested link
/// was abandoned and requested again, because only complete responses reset the silence timer.
#[tokio::test]
async fn a_partially_received_response_is_not_requested_again() {
    const LEADER: usize = 1;
    const CHUNKS: usize = 40;
    const MAX_SILENCE: Duration = Duration::from_millis(2_000);
    assert!(MAX_SILENCE < CHUNK_INTERVAL * u32::try_from(CHUNKS).expect("fits in u32"));
    let ledger = MockLedger::start(LEADER).await;
    let client = ledger.client_with_max_silence(MAX_SILENCE);
    ledger.history_bytes.store(CHUNKS * CHUNK_BYTES, Ordering::SeqCst);
    assert!(reserve(&client, 0).await);
    let counts = &ledger.counts[LEADER];
    assert_eq!(counts.reservations.load(Ordering::SeqCst), 1, "request was repeated");
    assert_eq!(counts.connections.load(Ordering::SeqCst), 1, "client reconnected");
}
