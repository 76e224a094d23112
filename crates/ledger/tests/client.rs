//! How gateways ask: stand-ins of ledger machines count what reaches them.
//!
//! The times of the client are long where a slow machine could change the outcome, and
//! stand-ins answer on events, not after times.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_ledger::client::{ClientTiming, LedgerClient};
use calicohoist_ledger::commands::{Reservation, ReserveTurn};
use calicohoist_ledger::protocol::{Answer, Ask, Question, Reply, SPOKEN};
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{FrameReader, encode_frame};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const MACHINES: usize = 3;
const LONG: Duration = Duration::from_secs(60);
/// A long answer comes in pieces of this size, as over a link that others share.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// What one stand-in has seen.
#[derive(Default)]
struct Seen {
    connections: AtomicUsize,
    reservations: AtomicUsize,
    searches: AtomicUsize,
}

/// Stand-ins at 127.0.0.1 to 127.0.0.3 on one port.
struct Ledger {
    port: u16,
    /// Position of the machine that leads; another number when none does.
    leader: AtomicUsize,
    seen: [Seen; MACHINES],
    /// Searches that all machines have had.
    searches: AtomicU32,
    searched: Notify,
    /// Reservations are answered once there were so many searches.
    answers_after: AtomicU32,
    /// Bytes of history in the answer to a reservation.
    history_bytes: AtomicUsize,
}

fn address(position: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 1 + u8::try_from(position).expect("few machines"))
}

fn number(position: usize) -> u32 {
    address(position).to_bits()
}

impl Ledger {
    async fn start(leader: usize) -> Arc<Self> {
        let (port, listeners) = listeners().await;
        let ledger = Arc::new(Self {
            port,
            leader: AtomicUsize::new(leader),
            seen: Default::default(),
            searches: AtomicU32::new(0),
            searched: Notify::new(),
            answers_after: AtomicU32::new(0),
            history_bytes: AtomicUsize::new(0),
        });
        for (position, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(Arc::clone(&ledger).accept(position, listener));
        }
        ledger
    }

    fn client(&self) -> LedgerClient {
        self.client_that_bears(LONG)
    }

    fn client_that_bears(&self, most_silence: Duration) -> LedgerClient {
        let timing = ClientTiming {
            answer_patience: Duration::from_millis(50),
            vouched_for: Duration::ZERO,
            most_silence,
            search_patience: LONG,
            ..ClientTiming::default()
        };
        let seeds: Vec<Ipv4Addr> = (0..MACHINES).map(address).collect();
        LedgerClient::with_timing(&seeds, self.port, timing)
    }

    async fn accept(self: Arc<Self>, position: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.seen[position].connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(Arc::clone(&self).serve(position, stream));
        }
    }

    async fn serve(self: Arc<Self>, position: usize, stream: TcpStream) {
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        if accept_offer(&mut frames, &mut output, SPOKEN).await.is_err() {
            return;
        }
        let output = Arc::new(tokio::sync::Mutex::new(output));
        while let Ok(Ask { number, question }) = frames.next().await {
            let ledger = Arc::clone(&self);
            let output = Arc::clone(&output);
            tokio::spawn(async move {
                let answer = ledger.answer(position, question).await;
                let frame = encode_frame(&Reply { number, answer }).expect("encodes");
                let mut output = output.lock().await;
                for (position, piece) in frame.chunks(PIECE_BYTES).enumerate() {
                    if position > 0 {
                        tokio::time::sleep(PIECE_PAUSE).await;
                    }
                    let _ = output.write_all(piece).await;
                }
            });
        }
    }

    async fn answer(&self, position: usize, question: Question) -> Answer {
        let leads = self.leader.load(Ordering::SeqCst) == position;
        if matches!(question, Question::FindLeader) {
            self.seen[position].searches.fetch_add(1, Ordering::SeqCst);
            self.searches.fetch_add(1, Ordering::SeqCst);
            self.searched.notify_waiters();
        } else if leads {
            self.seen[position].reservations.fetch_add(1, Ordering::SeqCst);
            self.wait_for_searches().await;
        }
        let machines = (0..MACHINES).map(number).collect();
        match question {
            Question::FindLeader if leads => Answer::Leads { machines },
            Question::Reserve { .. } if leads => Answer::Reserved {
                reservation: Reservation::Granted,
                history: vec![7; self.history_bytes.load(Ordering::SeqCst)],
                decision: None,
                is_under_way: false,
                permit: None,
            },
            _ => {
                let leader = self.leader.load(Ordering::SeqCst);
                let leader = (leader < MACHINES).then(|| number(leader));
                Answer::NotLeader { leader, machines }
            }
        }
    }

    async fn wait_for_searches(&self) {
        loop {
            let searched = self.searched.notified();
            let wanted = self.answers_after.load(Ordering::SeqCst);
            if self.searches.load(Ordering::SeqCst) >= wanted {
                return;
            }
            searched.await;
        }
    }
}

/// A port that is free at every address.
async fn listeners() -> (u16, Vec<TcpListener>) {
    loop {
        let first = TcpListener::bind((address(0), 0)).await.expect("a port");
        let port = first.local_addr().expect("bound").port();
        let mut listeners = vec![first];
        for position in 1..MACHINES {
            let wanted = SocketAddr::from((address(position), port));
            let Ok(listener) = TcpListener::bind(wanted).await else {
                break;
            };
            listeners.push(listener);
        }
        if listeners.len() == MACHINES {
            return (port, listeners);
        }
    }
}

fn reservation(turn: usize) -> Question {
    let reserve = ReserveTurn {
        program: None,
        turn: format!("turn-{turn}"),
        most_tokens: 10,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    Question::Reserve { reserve, placement: None, permit: None }
}

async fn reserve(client: &LedgerClient, turn: usize) -> bool {
    let answer = client.ask(&reservation(turn), Instant::now() + LONG).await;
    matches!(answer, Ok(Answer::Reserved { .. }))
}

async fn reserve_all(client: &LedgerClient, count: usize) {
    let turns = (0..count).map(|turn| {
        let client = client.clone();
        tokio::spawn(async move { reserve(&client, turn).await })
    });
    for turn in turns.collect::<Vec<_>>() {
        assert!(turn.await.expect("no panic"), "every turn is reserved");
    }
}

/// What made a slow leader collapse: whoever had no answer within 250 ms asked again, and
/// dropped the connection with everything that waited on it.
#[tokio::test]
async fn a_slow_leader_is_asked_once() {
    const TURNS: usize = 20;
    const LEADER: usize = 1;
    let ledger = Ledger::start(LEADER).await;
    let client = ledger.client();
    assert!(reserve(&client, TURNS).await);
    // It stays silent until its followers were asked five times whether it leads.
    let so_far = ledger.searches.load(Ordering::SeqCst);
    ledger.answers_after.store(so_far + 5, Ordering::SeqCst);
    reserve_all(&client, TURNS).await;
    let seen = &ledger.seen[LEADER];
    assert_eq!(seen.reservations.load(Ordering::SeqCst), TURNS + 1, "each turn was asked once");
    assert_eq!(seen.connections.load(Ordering::SeqCst), 1, "over one connection");
}

/// A silent machine that the others no longer take for the leader is left.
#[tokio::test]
async fn a_silent_machine_that_leads_no_more_is_left() {
    const OLD: usize = 0;
    const NEW: usize = 2;
    let ledger = Ledger::start(OLD).await;
    let client = ledger.client();
    assert!(reserve(&client, 0).await);
    ledger.answers_after.store(u32::MAX, Ordering::SeqCst);
    let asking = tokio::spawn({
        let client = client.clone();
        async move { reserve(&client, 1).await }
    });
    while ledger.seen[OLD].reservations.load(Ordering::SeqCst) < 2 {
        tokio::task::yield_now().await;
    }
    ledger.leader.store(NEW, Ordering::SeqCst);
    while ledger.seen[NEW].reservations.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    ledger.answers_after.store(0, Ordering::SeqCst);
    ledger.searched.notify_waiters();
    assert!(asking.await.expect("no panic"));
}

/// However many questions wait, one of them looks for the leader.
#[tokio::test]
async fn one_question_looks_for_the_leader_for_all() {
    const TURNS: usize = 50;
    let ledger = Ledger::start(2).await;
    let client = ledger.client();
    reserve_all(&client, TURNS).await;
    let searches = ledger.searches.load(Ordering::SeqCst);
    let most = u32::try_from(MACHINES).expect("few machines");
    assert!(searches <= most, "{searches} searches for {TURNS} questions");
}

/// Symptom: a configuration that had been acknowledged did not reach gateways in 3 s, while the link
/// of its sender was full. Sequence: the answer is under way for longer than the longest silence
/// that a gateway bears; the gateway takes its sender for silent, drops the connection with the half
/// that has come, and asks for all of it again, over the same full link. Cause: only a whole answer
/// counted as a sign of life.
#[tokio::test]
async fn an_answer_that_is_coming_in_is_not_asked_for_again() {
    const LEADER: usize = 1;
    const PIECES: usize = 40;
    const MOST_SILENCE: Duration = Duration::from_millis(2_000);
    assert!(MOST_SILENCE < PIECE_PAUSE * u32::try_from(PIECES).expect("few pieces"));
    let ledger = Ledger::start(LEADER).await;
    let client = ledger.client_that_bears(MOST_SILENCE);
    ledger.history_bytes.store(PIECES * PIECE_BYTES, Ordering::SeqCst);
    assert!(reserve(&client, 0).await);
    let seen = &ledger.seen[LEADER];
    assert_eq!(seen.reservations.load(Ordering::SeqCst), 1, "it was asked again");
    assert_eq!(seen.connections.load(Ordering::SeqCst), 1, "over another connection");
}
