//! Test harness that runs one ledger machine and emulates a peer and gateways.

#![allow(dead_code)]

pub mod v1;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use calicohoist_ledger::commands::{Command, RetainedTurn, SettleTurn};
use calicohoist_ledger::protocol::{
    LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope, SUPPORTED_VERSIONS,
};
use calicohoist_ledger::server::control::{CallError, ControlCall, ControlCodec, ControlOutcome};
use calicohoist_ledger::server::gateways::{self, GatewayService, ServiceLocation};
use calicohoist_ledger::server::limits::TenantLimiter;
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_ledger::server::peers::OutgoingMessages;
use calicohoist_ledger::server::replica::{
    GroupStatus, LeaderServices, ReplicaHandle, ReplicaThread, Request, Response,
};
use calicohoist_ledger::server::turns::TurnDispatcher;
use calicohoist_ledger::server::{LedgerSettings, Ports, machine_number};
use calicohoist_limiter::LimitTolerance;
use calicohoist_replication::{Entry, EntryKind, GroupId, GroupMessage, Message, ReplicaId};
use calicohoist_transport::version::offer;
use calicohoist_transport::{FrameReader, encode_frame};
use calicohoist_wire::{decode_stored, encode};
use hyper::{Method, StatusCode};
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

pub const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
pub const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const ABSENT_PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
/// Time limit of operations that are expected to complete.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which sent messages are processed; a leader without its peer keeps leading for longer.
pub const PROCESSING_TIME: Duration = Duration::from_millis(50);

struct NoControlApi;

impl ControlCodec for NoControlApi {
    fn parse(&self, _: &Method, _: &str, _: &[u8]) -> Result<ControlCall, CallError> {
        Err(CallError::Unknown)
    }

    fn render(&self, _: &ControlOutcome) -> (StatusCode, Vec<u8>) {
        (StatusCode::NOT_FOUND, Vec::new())
    }
}

pub fn settings(folder: &TempDir) -> LedgerSettings {
    LedgerSettings {
        name: "store-1".to_owned(),
        ip: LOCAL,
        seeds: vec![LOCAL, PEER, ABSENT_PEER],
        bootstrap: true,
        data_folder: folder.path().to_owned(),
        ports: Ports { peers: 0, gateways: 0, control: 0 },
        raft: LedgerSettings::raft_for(1),
        tolerated_losses: 1,
        list: None,
        list_pace: LedgerSettings::list_pace(),
        control: Arc::new(NoControlApi),
        limit_tolerance: Default::default(),
        zone: "a".to_owned(),
        topology: Arc::default(),
        cold_tolerance: Default::default(),
        grace: Duration::from_secs(8),
        memory: None,
    }
}

/// Reaction of the peer to the log entry of a command.
pub enum PeerReaction {
    Acknowledge,
    /// Acknowledges the entry and starts an election for the next term.
    AcknowledgeAndCampaign,
}

/// A command requested by the test, as opposed to those that a leader proposes by itself.
struct ExpectedCommand {
    command: Command,
    encoded: Vec<u8>,
    reaction: PeerReaction,
}

impl ExpectedCommand {
    fn new(request: &Request, reaction: PeerReaction) -> Self {
        let command = match request {
            Request::Change(command) => command.clone(),
            Request::Reserve(reserve) => Command::Reserve(reserve.clone()),
            other => panic!("request without a command: {other:?}"),
        };
        let encoded = encode(&command).expect("encode command");
        Self { command, encoded, reaction }
    }

    fn to_request(&self) -> Request {
        match self.command.clone() {
            Command::Reserve(reserve) => Request::Reserve(reserve),
            command => Request::Change(command),
        }
    }

    fn is_among(&self, entries: &[Entry]) -> bool {
        let matches = |entry: &Entry| match &entry.kind {
            EntryKind::Command(command) => self.is_logged_as(command),
            _ => false,
        };
        entries.iter().any(matches)
    }

    /// Returns whether an entry of the log is the expected command. A leader may lengthen its retention
    /// and nothing else.
    fn is_logged_as(&self, encoded: &[u8]) -> bool {
        let mut expected = self.command.clone();
        let Some(expected_ms) = expected.retention_ms_mut() else {
            return encoded == &self.encoded[..];
        };
        let Ok(mut logged) = decode_stored::<Command>(encoded) else {
            return false;
        };
        let Some(logged_ms) = logged.retention_ms_mut() else {
            return false;
        };
        let is_kept = *logged_ms >= *expected_ms;
        *logged_ms = *expected_ms;
        is_kept && logged == expected
    }
}

/// The machine under test in a group of three, with one emulated and one absent peer.
pub struct MachineWithPeer {
    pub handle: ReplicaHandle,
    pub standing: watch::Receiver<GroupStatus>,
    turns: Arc<TurnDispatcher>,
    limits: Arc<TenantLimiter>,
    frames: mpsc::Receiver<OutgoingMessages>,
    ended: oneshot::Receiver<String>,
    folder: TempDir,
}

impl MachineWithPeer {
    pub fn start() -> Self {
        Self::open(
            tempfile::tempdir().expect("create temporary directory"),
            LimitTolerance::default(),
        )
    }

    /// Starts the machine with the data in `folder`.
    pub fn open(folder: TempDir, tolerance: LimitTolerance) -> Self {
        let (out, frames) = mpsc::channel(1_024);
        let (turns, limits) = (Arc::default(), Arc::new(TenantLimiter::new(tolerance)));
        let desks = LeaderServices {
            turns: Arc::clone(&turns),
            limits: Arc::clone(&limits),
            crashes: Arc::default(),
            loads: Arc::default(),
        };
        let thread = ReplicaThread::open(&settings(&folder), out, desks).expect("open replica");
        let (handle, standing, ended) = thread.start().expect("start replica thread");
        Self { handle, standing, turns, limits, frames, ended, folder }
    }

    /// Stops the machine and returns its data folder.
    pub async fn stop(self) -> TempDir {
        let Self { handle, ended, folder, .. } = self;
        drop(handle);
        let end = tokio::time::timeout(TEST_TIMEOUT, ended).await.expect("timed out");
        assert!(end.is_err(), "{end:?}");
        folder
    }

    /// Starts accepting gateways and returns the address.
    pub async fn serve_gateways(&self) -> SocketAddr {
        self.serve_gateways_with(DiscoverySnapshot::default()).await
    }

    /// Starts accepting gateways with the given replica list and returns the address.
    pub async fn serve_gateways_with(&self, reading: DiscoverySnapshot) -> SocketAddr {
        let listener = TcpListener::bind((LOCAL, 0)).await.expect("bind listener");
        let address = listener.local_addr().expect("local address");
        let (_, list) = watch::channel(reading);
        let place = ServiceLocation {
            zone: "a".to_owned(),
            topology: Arc::default(),
            loads: Arc::default(),
        };
        let (turns, limits) = (Arc::clone(&self.turns), Arc::clone(&self.limits));
        let hub = GatewayService::new(
            self.handle.clone(),
            self.standing.clone(),
            list,
            turns,
            limits,
            Arc::default(),
            place,
        );
        tokio::spawn(gateways::accept(listener, hub));
        address
    }

    fn peer() -> ReplicaId {
        ReplicaId { machine: machine_number(PEER), disk: 0 }
    }

    pub fn send(&self, messages: Vec<Message>) {
        let group = GroupId(0);
        let in_group = |message| GroupMessage { group, message };
        self.handle.deliver_messages(Self::peer(), messages.into_iter().map(in_group).collect());
    }

    /// Returns the next messages sent to the peer.
    async fn next_messages(&mut self) -> Vec<Message> {
        loop {
            let frame = tokio::time::timeout(TEST_TIMEOUT, self.frames.recv()).await;
            let frame = frame.expect("timed out").expect("replica thread stopped");
            if frame.to == Self::peer() {
                return frame.messages.into_iter().map(|message| message.message).collect();
            }
        }
    }

    /// Emulates the peer until the machine leads.
    pub async fn run_peer_until_leader(&mut self) {
        let mut standing = self.standing.clone();
        let becomes_leader = standing.wait_for(|standing| standing.is_leader);
        self.run_peer_while(becomes_leader).await.expect("replica thread stopped");
    }

    /// Emulates a peer that votes for the machine but acknowledges no entry of its term, so that
    /// the machine does not know which entries of its log are committed.
    pub async fn elect_without_acknowledgement(&mut self) {
        loop {
            for message in self.next_messages().await {
                if matches!(message, Message::Append { .. }) {
                    tokio::time::sleep(PROCESSING_TIME).await;
                    return;
                }
                self.respond(message, None);
            }
        }
    }

    /// Returns the peer's response to the next entries or heartbeat without sending it.
    pub async fn next_acknowledgement(&mut self) -> Message {
        loop {
            for message in self.next_messages().await {
                if let Some(reply) = reply_to(&message) {
                    return reply;
                }
            }
        }
    }

    /// Emulates the peer until `future` completes.
    pub async fn run_peer_while<T>(&mut self, future: impl Future<Output = T>) -> T {
        let mut future = std::pin::pin!(future);
        loop {
            tokio::select! {
                output = &mut future => return output,
                messages = self.next_messages() => {
                    for message in messages {
                        self.respond(message, None);
                    }
                }
            }
        }
    }

    /// Responds to a message as the peer. Returns whether it acknowledged the expected command.
    fn respond(&self, message: Message, expected: Option<&ExpectedCommand>) -> bool {
        let reply = reply_to(&message);
        match (message, reply) {
            (Message::Vote { term, pre, .. }, _) => {
                self.send(vec![Message::VoteReply { term, granted: true, pre }]);
                false
            }
            (Message::Append { term, previous_index, entries, .. }, Some(reply)) => {
                let campaign = Message::Vote {
                    term: term + 1,
                    last_index: previous_index + entries.len() as u64,
                    last_term: term,
                    pre: false,
                    transfer: true,
                };
                let acknowledged = expected.filter(|expected| expected.is_among(&entries));
                match acknowledged.map(|expected| &expected.reaction) {
                    Some(PeerReaction::AcknowledgeAndCampaign) => self.send(vec![reply, campaign]),
                    Some(PeerReaction::Acknowledge) | None => self.send(vec![reply]),
                }
                acknowledged.is_some()
            }
            _ => false,
        }
    }

    /// Emulates the peer until it has acknowledged the expected command or `is_refused` returns
    /// true.
    async fn run_peer_until(&mut self, expected: &ExpectedCommand, is_refused: impl Fn() -> bool) {
        while !is_refused() {
            for message in self.next_messages().await {
                if self.respond(message, Some(expected)) {
                    return;
                }
            }
        }
    }

    /// Sends a request and returns the response with the standing that was published at that time.
    /// Retries if the machine has lost the leadership, for example because of a slow disk.
    pub async fn request(
        &mut self,
        request: Request,
        reaction: PeerReaction,
    ) -> (Response, GroupStatus) {
        let expected = ExpectedCommand::new(&request, reaction);
        loop {
            let (sender, receiver) = std_mpsc::channel();
            let standing = self.standing.clone();
            let respond = move |response| {
                let published = standing.borrow().clone();
                let _ = sender.send((response, published));
            };
            self.handle.submit(expected.to_request(), Box::new(respond));
            let early_response = std::cell::RefCell::new(None);
            let is_refused = || {
                let mut early_response = early_response.borrow_mut();
                if early_response.is_none() {
                    *early_response = receiver.try_recv().ok();
                }
                matches!(*early_response, Some((Response::NotLeader(_), _)))
            };
            self.run_peer_until(&expected, is_refused).await;
            match early_response.into_inner() {
                Some((Response::NotLeader(_), _)) => self.run_peer_until_leader().await,
                Some(response) => return response,
                None => {
                    let receive = move || receiver.recv_timeout(TEST_TIMEOUT).expect("no response");
                    return tokio::task::spawn_blocking(receive).await.expect("task panicked");
                }
            }
        }
    }
}

/// Blocks the replica thread, as a disk does that hangs, until the returned sender is dropped.
pub fn block_replica(machine: &MachineWithPeer) -> std_mpsc::Sender<()> {
    let (release, released) = std_mpsc::channel::<()>();
    let (entered, is_blocked) = std_mpsc::channel();
    let respond = move |_| {
        entered.send(()).expect("the test waits");
        // The sender is dropped without a value.
        let _ = released.recv();
    };
    machine.handle.submit(Request::ReadRetiring("store-9".to_owned()), Box::new(respond));
    is_blocked.recv_timeout(TEST_TIMEOUT).expect("the replica thread is blocked");
    release
}

/// Returns a request that stores a turn with an input of `bytes` bytes.
pub fn retain_turn(turn: &str, bytes: usize) -> Request {
    let retained = RetainedTurn { previous: None, input: vec![b'x'; bytes], output: Vec::new() };
    Request::Change(Command::Settle(SettleTurn {
        program: None,
        turn: turn.to_owned(),
        used_tokens: 1,
        retention_ms: 60_000,
        retained: Some(retained),
        run: None,
    }))
}

/// Returns the response of a follower that has stored all entries of `message`.
pub fn reply_to(message: &Message) -> Option<Message> {
    let Message::Append { term, previous_index, entries, round, .. } = message else {
        return None;
    };
    let matched = previous_index + entries.len() as u64;
    Some(Message::AppendReply { term: *term, matched, refused: None, round: *round })
}

/// Connection of an emulated gateway.
pub struct GatewayConnection {
    frames: FrameReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    number: u64,
}

impl GatewayConnection {
    pub async fn connect(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).await.expect("connect");
        offer(&mut stream, SUPPORTED_VERSIONS).await.expect("negotiate version");
        let (input, output) = stream.into_split();
        Self { frames: FrameReader::new(input), output, number: 0 }
    }

    pub async fn send(&mut self, question: LedgerRequest) {
        self.number += 1;
        let message = RequestEnvelope { number: self.number, question };
        let frame = encode_frame(&message).expect("encode request");
        self.output.write_all(&frame).await.expect("send request");
    }

    /// Receives the response to the latest request.
    pub async fn receive(&mut self) -> LedgerResponse {
        let reply =
            tokio::time::timeout(TEST_TIMEOUT, self.frames.next()).await.expect("timed out");
        let ResponseEnvelope { number, answer } = reply.expect("no response");
        assert_eq!(number, self.number);
        answer
    }
}
