//! The order in which the replica's thread publishes what was applied and answers requests; the
//! test plays its peer.

use std::net::Ipv4Addr;
use std::sync::{Arc, mpsc as std_mpsc};
use std::time::Duration;

use calicohoist_ledger::commands::{Command, ReserveTurn};
use calicohoist_ledger::server::control::{CallError, ControlCall, ControlCodec, ControlOutcome};
use calicohoist_ledger::server::limits::LimitDesk;
use calicohoist_ledger::server::replica::{
    Desks, ReplicaHandle, ReplicaThread, Request, Response, Standing,
};
use calicohoist_ledger::server::{LedgerSettings, Ports, machine_number};
use calicohoist_replication::{EntryKind, GroupId, GroupMessage, Message, ReplicaId};
use calicohoist_types::Zone;
use hyper::{Method, StatusCode};
use tempfile::TempDir;
use tokio::sync::watch;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const AWAY: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const LONG: Duration = Duration::from_secs(60);

struct NoOperator;

impl ControlCodec for NoOperator {
    fn parse(&self, _: &Method, _: &str, _: &[u8]) -> Result<ControlCall, CallError> {
        Err(CallError::Unknown)
    }

    fn render(&self, _: &ControlOutcome) -> (StatusCode, Vec<u8>) {
        (StatusCode::NOT_FOUND, Vec::new())
    }
}

fn settings(folder: &TempDir) -> LedgerSettings {
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
enum OnCommand {
    Acknowledge,
    /// The follower acknowledges, and stands for election in the next term with it.
    AcknowledgeAndCampaign,
}

/// The machine under test with one peer; the third one is away.
struct Pair {
    handle: ReplicaHandle,
    standing: watch::Receiver<Standing>,
    frames: tokio::sync::mpsc::Receiver<calicohoist_ledger::server::peers::Outgoing>,
    _folder: TempDir,
}

impl Pair {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (out, frames) = tokio::sync::mpsc::channel(1_024);
        let desks = Desks {
            turns: Arc::default(),
            limits: Arc::new(LimitDesk::new(Default::default())),
            loads: Arc::default(),
        };
        let thread = ReplicaThread::open(&settings(&folder), out, desks).expect("opens");
        let (handle, standing, _) = thread.start().expect("starts");
        Self { handle, standing, frames, _folder: folder }
    }

    fn peer() -> ReplicaId {
        ReplicaId { machine: machine_number(PEER), disk: 0 }
    }

    fn send(&self, messages: Vec<Message>) {
        let group = GroupId(0);
        let in_group = |message| GroupMessage { group, message };
        self.handle.frame(Self::peer(), messages.into_iter().map(in_group).collect());
    }

    /// Plays the peer until a command has been acknowledged, or the machine leads.
    async fn follow(&mut self, on_command: Option<OnCommand>) {
        loop {
            if on_command.is_none() && self.standing.borrow().is_leader {
                return;
            }
            let frame = tokio::time::timeout(LONG, self.frames.recv()).await;
            let frame = frame.expect("in time").expect("the thread runs");
            if frame.to != Self::peer() {
                continue;
            }
            for message in frame.messages {
                if self.answer(message.message, on_command.as_ref()) {
                    return;
                }
            }
        }
    }

    /// Returns whether it acknowledged a command.
    fn answer(&self, message: Message, on_command: Option<&OnCommand>) -> bool {
        match message {
            Message::Vote { term, pre, .. } => {
                self.send(vec![Message::VoteReply { term, granted: true, pre }]);
                false
            }
            Message::Append { term, previous_index, entries, round, .. } => {
                let matched = previous_index + entries.len() as u64;
                let is_command =
                    entries.iter().any(|entry| matches!(entry.kind, EntryKind::Command(_)));
                let reply = Message::AppendReply { term, matched, refused: None, round };
                let campaign = Message::Vote {
                    term: term + 1,
                    last_index: matched,
                    last_term: term,
                    pre: false,
                    transfer: true,
                };
                match on_command.filter(|_| is_command) {
                    Some(OnCommand::AcknowledgeAndCampaign) => self.send(vec![reply, campaign]),
                    _ => self.send(vec![reply]),
                }
                is_command && on_command.is_some()
            }
            _ => false,
        }
    }

    /// Asks, and returns the response with what was known to all as it was given.
    async fn ask(&mut self, request: Request, on_command: OnCommand) -> (Response, Standing) {
        let (answered, answer) = std_mpsc::channel();
        let standing = self.standing.clone();
        let respond = move |response| {
            let known = standing.borrow().clone();
            let _ = answered.send((response, known));
        };
        self.handle.ask(request, Box::new(respond));
        self.follow(Some(on_command)).await;
        tokio::task::spawn_blocking(move || answer.recv_timeout(LONG).expect("answered"))
            .await
            .expect("no panic")
    }
}

#[tokio::test]
async fn a_drain_is_known_to_all_before_it_is_acknowledged() {
    let mut pair = Pair::start();
    pair.follow(None).await;
    let drain = Request::Change(Command::DrainZone { zone: Zone::new("a") });
    let (response, known) = pair.ask(drain, OnCommand::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    assert!(known.drained.contains("a"));
}

/// A placement in the term of another leader would make the desk forget who waits.
#[tokio::test]
async fn a_reservation_is_answered_in_the_term_that_granted_it() {
    let mut pair = Pair::start();
    pair.follow(None).await;
    let term = pair.standing.borrow().term;
    let reserve = ReserveTurn {
        program: None,
        turn: "t".to_owned(),
        most_tokens: 1,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    let reserve = Request::Reserve(reserve);
    let (response, known) = pair.ask(reserve, OnCommand::AcknowledgeAndCampaign).await;
    assert!(matches!(response, Response::Reserved { .. }), "{response:?}");
    assert_eq!((known.is_leader, known.term), (true, term));
    let lost = pair.standing.wait_for(|standing| !standing.is_leader);
    tokio::time::timeout(LONG, lost).await.expect("in time").expect("the thread runs");
}
