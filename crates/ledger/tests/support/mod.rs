//! A ledger machine whose peer the test plays.

#![allow(dead_code)]

pub mod older;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use calicohoist_ledger::commands::Command;
use calicohoist_ledger::protocol::{Answer, Ask, Question, Reply, SPOKEN};
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
use calicohoist_wire::encode;
use hyper::{Method, StatusCode};
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

pub const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
pub const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const AWAY: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
/// Only a test that fails takes so long.
pub const LONG: Duration = Duration::from_secs(60);
/// What was sent has been taken then. A leader without its peer goes on for longer.
pub const SHORT: Duration = Duration::from_millis(50);

struct NoOperator;

impl ControlCodec for NoOperator {
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
        seeds: vec![LOCAL, PEER, AWAY],
        bootstrap: true,
        data_folder: folder.path().to_owned(),
        ports: Ports { peers: 0, gateways: 0, control: 0 },
        raft: LedgerSettings::raft_for(1),
        tolerated_losses: 1,
        list: None,
        list_interval: LedgerSettings::LIST_INTERVAL,
        control: Arc::new(NoOperator),
        limit_tolerance: Default::default(),
        zone: "a".to_owned(),
        topology: Arc::default(),
        cold_tolerance: Default::default(),
    }
}

/// How the peer answers an entry that carries a command.
pub enum OnCommand {
    Acknowledge,
    /// The follower acknowledges, and stands for election in the next term with it.
    AcknowledgeAndCampaign,
}

/// A command that the test has asked for. A leader proposes others by itself.
struct AwaitedCommand {
    command: Command,
    encoded: Vec<u8>,
    then: OnCommand,
}

impl AwaitedCommand {
    fn new(request: &Request, then: OnCommand) -> Self {
        let command = match request {
            Request::Change(command) => command.clone(),
            Request::Reserve(reserve) => Command::Reserve(reserve.clone()),
            other => panic!("no command: {other:?}"),
        };
        let encoded = encode(&command).expect("encodes");
        Self { command, encoded, then }
    }

    /// The request that asks for it.
    fn request(&self) -> Request {
        match self.command.clone() {
            Command::Reserve(reserve) => Request::Reserve(reserve),
            command => Request::Change(command),
        }
    }

    fn is_among(&self, entries: &[Entry]) -> bool {
        let is_it = |entry: &Entry| match &entry.kind {
            EntryKind::Command(command) => command[..] == self.encoded[..],
            _ => false,
        };
        entries.iter().any(is_it)
    }
}

/// The machine under test with one peer; the third one is away.
pub struct Pair {
    pub handle: ReplicaHandle,
    pub standing: watch::Receiver<GroupStatus>,
    turns: Arc<TurnDispatcher>,
    limits: Arc<TenantLimiter>,
    frames: mpsc::Receiver<OutgoingMessages>,
    ended: oneshot::Receiver<String>,
    folder: TempDir,
}

impl Pair {
    pub fn start() -> Self {
        Self::open(tempfile::tempdir().expect("a folder"), LimitTolerance::default())
    }

    /// Starts the machine with what its folder holds.
    pub fn open(folder: TempDir, tolerance: LimitTolerance) -> Self {
        let (out, frames) = mpsc::channel(1_024);
        let (turns, limits) = (Arc::default(), Arc::new(TenantLimiter::new(tolerance)));
        let desks = LeaderServices {
            turns: Arc::clone(&turns),
            limits: Arc::clone(&limits),
            loads: Arc::default(),
        };
        let thread = ReplicaThread::open(&settings(&folder), out, desks).expect("opens");
        let (handle, standing, ended) = thread.start().expect("starts");
        Self { handle, standing, turns, limits, frames, ended, folder }
    }

    /// Ends the machine; returns its folder.
    pub async fn stop(self) -> TempDir {
        let Self { handle, ended, folder, .. } = self;
        drop(handle);
        let end = tokio::time::timeout(LONG, ended).await.expect("in time");
        assert!(end.is_err(), "{end:?}");
        folder
    }

    /// Serves gateways; returns the address.
    pub async fn serve_gateways(&self) -> SocketAddr {
        self.serve_gateways_with(DiscoverySnapshot::default()).await
    }

    /// The same with a list of replicas.
    pub async fn serve_gateways_with(&self, reading: DiscoverySnapshot) -> SocketAddr {
        let listener = TcpListener::bind((LOCAL, 0)).await.expect("a port");
        let address = listener.local_addr().expect("bound");
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

    /// The next messages to the peer.
    async fn messages(&mut self) -> Vec<Message> {
        loop {
            let frame = tokio::time::timeout(LONG, self.frames.recv()).await;
            let frame = frame.expect("in time").expect("the thread runs");
            if frame.to == Self::peer() {
                return frame.messages.into_iter().map(|message| message.message).collect();
            }
        }
    }

    /// Plays the peer until the machine leads.
    pub async fn follow(&mut self) {
        let mut standing = self.standing.clone();
        let leads = standing.wait_for(|standing| standing.is_leader);
        self.follow_while(leads).await.expect("the thread runs");
    }

    /// Plays a peer that votes for the machine, and acknowledges no entry of its term. None of
    /// what is in its log is known to be committed then.
    pub async fn elect(&mut self) {
        loop {
            for message in self.messages().await {
                if matches!(message, Message::Append { .. }) {
                    tokio::time::sleep(SHORT).await;
                    return;
                }
                self.answer(message, None);
            }
        }
    }

    /// The peer's answer to the next entries or heartbeat, which is still to be sent.
    pub async fn acknowledgement(&mut self) -> Message {
        loop {
            for message in self.messages().await {
                if let Some(reply) = reply_to(&message) {
                    return reply;
                }
            }
        }
    }

    /// Plays the peer for as long as somebody waits for something.
    pub async fn follow_while<T>(&mut self, waits: impl Future<Output = T>) -> T {
        let mut waits = std::pin::pin!(waits);
        loop {
            tokio::select! {
                done = &mut waits => return done,
                messages = self.messages() => {
                    for message in messages {
                        self.answer(message, None);
                    }
                }
            }
        }
    }

    /// Returns whether it acknowledged the command that is awaited.
    fn answer(&self, message: Message, awaited: Option<&AwaitedCommand>) -> bool {
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
                let came = awaited.filter(|awaited| awaited.is_among(&entries));
                match came.map(|awaited| &awaited.then) {
                    Some(OnCommand::AcknowledgeAndCampaign) => self.send(vec![reply, campaign]),
                    Some(OnCommand::Acknowledge) | None => self.send(vec![reply]),
                }
                came.is_some()
            }
            _ => false,
        }
    }

    /// Plays the peer until it has acknowledged the command that is awaited, or until somebody knows
    /// that it never comes.
    async fn follow_up_to(&mut self, awaited: &AwaitedCommand, never_comes: impl Fn() -> bool) {
        while !never_comes() {
            for message in self.messages().await {
                if self.answer(message, Some(awaited)) {
                    return;
                }
            }
        }
    }

    /// Asks, and returns the response with what was known to all as it was given. Asks again when the
    /// machine has given the leadership away, as one does whose disk is slow for a moment.
    pub async fn ask(
        &mut self,
        request: Request,
        on_command: OnCommand,
    ) -> (Response, GroupStatus) {
        let awaited = AwaitedCommand::new(&request, on_command);
        loop {
            let (answered, answer) = std_mpsc::channel();
            let standing = self.standing.clone();
            let respond = move |response| {
                let known = standing.borrow().clone();
                let _ = answered.send((response, known));
            };
            self.handle.submit(awaited.request(), Box::new(respond));
            let early = std::cell::RefCell::new(None);
            let is_refused = || {
                let mut early = early.borrow_mut();
                if early.is_none() {
                    *early = answer.try_recv().ok();
                }
                matches!(*early, Some((Response::NotLeader(_), _)))
            };
            self.follow_up_to(&awaited, is_refused).await;
            match early.into_inner() {
                Some((Response::NotLeader(_), _)) => self.follow().await,
                Some(given) => return given,
                None => {
                    let given = move || answer.recv_timeout(LONG).expect("answered");
                    return tokio::task::spawn_blocking(given).await.expect("no panic");
                }
            }
        }
    }
}

/// A follower's answer to entries or a heartbeat, all of which it holds.
pub fn reply_to(message: &Message) -> Option<Message> {
    let Message::Append { term, previous_index, entries, round, .. } = message else {
        return None;
    };
    let matched = previous_index + entries.len() as u64;
    Some(Message::AppendReply { term: *term, matched, refused: None, round: *round })
}

/// A gateway's connection.
pub struct Asker {
    frames: FrameReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    number: u64,
}

impl Asker {
    pub async fn connect(address: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(address).await.expect("listens");
        offer(&mut stream, SPOKEN).await.expect("speaks the newest version");
        let (input, output) = stream.into_split();
        Self { frames: FrameReader::new(input), output, number: 0 }
    }

    pub async fn send(&mut self, question: Question) {
        self.number += 1;
        let ask = Ask { number: self.number, question };
        let frame = encode_frame(&ask).expect("encodes");
        self.output.write_all(&frame).await.expect("written");
    }

    /// The answer to the question that was asked last.
    pub async fn answer(&mut self) -> Answer {
        let reply = tokio::time::timeout(LONG, self.frames.next()).await.expect("in time");
        let Reply { number, answer } = reply.expect("answered");
        assert_eq!(number, self.number);
        answer
    }
}
