//! Simulated ledger machines in virtual time, fault injection and assertions.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_lab::sim::disk::SimDisk;
use calicohoist_ledger::commands::{Command, Output, RetainedTurn, SettleTurn};
use calicohoist_ledger::{HistoryPiece, LedgerState};
use calicohoist_replication::{
    DiskLog, GroupId, GroupMessage, Message, Node, NodeEvent, NodeSettings, Raft, RaftSettings,
    ReplicaId,
};
use calicohoist_types::Moment;
use calicohoist_wire::encode;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const GROUP: GroupId = GroupId(0);
pub const INITIAL_VOTERS: [u32; 3] = [1, 2, 3];
pub const SPARE: u32 = 4;
pub const VOTERS: usize = 3;
pub const STEP: Duration = Duration::from_millis(5);
pub const FAULT_STEPS: u64 = 6_000;
pub const RECOVERY_STEPS: u64 = 3_000;
/// Retention that outlasts a run.
pub const RETENTION_MS: u64 = 600_000;
pub const SHORT_RETENTION_MS: u64 = 200;
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_000);

pub struct Machine {
    pub number: u32,
    pub disk_identity: u32,
    pub node: Option<Node<LedgerState>>,
    pub log: Option<DiskLog<SimDisk>>,
    pub disk: SimDisk,
    pub paused_until: Moment,
    pub starts_at: Option<Moment>,
}

pub struct Cluster {
    pub now: Moment,
    pub rng: ChaCha8Rng,
    pub machines: Vec<Machine>,
    /// Frames in flight: delivery time, sender, recipient and messages.
    pub frames: Vec<(Moment, ReplicaId, ReplicaId, Vec<GroupMessage>)>,
    /// Partitions: machine, peer and end. Frames from the machine to the peer are dropped;
    /// without a peer, all frames from and to the machine.
    pub partitions: Vec<(u32, Option<u32>, Moment)>,
    pub next_machine: u32,
    pub next_identity: u32,
    pub next_ticket: u64,
    pub next_version: u64,
    pub pending_requests: BTreeMap<u64, Request>,
    pub acknowledged_version: u64,
    /// Acknowledged turns, each with its previous turn.
    pub acknowledged_turns: BTreeMap<String, Option<String>>,
    /// Number of segment chunks that replicas fetched from each other.
    pub segment_chunks: usize,
    pub disks_lost: usize,
    pub faults_stopped: bool,
    /// Number of spare replicas (learners) that the group maintains.
    pub spares: usize,
    /// Contacts that machines are started with; the first three machines if empty.
    pub contacts: Vec<u32>,
}

pub enum Request {
    Configuration(u64),
    Turn { turn: String, previous: Option<String> },
    Housekeeping,
    Read { not_before: u64 },
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let mut cluster = Self {
            now: Moment::from_micros(10_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            frames: Vec::new(),
            partitions: Vec::new(),
            next_machine: SPARE + 1,
            next_identity: 1_000,
            next_ticket: 0,
            next_version: 0,
            pending_requests: BTreeMap::new(),
            acknowledged_version: 0,
            acknowledged_turns: BTreeMap::new(),
            segment_chunks: 0,
            disks_lost: 0,
            faults_stopped: false,
            spares: usize::MAX,
            contacts: Vec::new(),
        };
        for number in INITIAL_VOTERS {
            cluster.add_machine(number, 0);
        }
        cluster.add_machine(SPARE, 900);
        cluster
    }

    /// Creates a cluster with one spare and `count` standby machines.
    pub fn with_standbys(seed: u64, count: u32) -> Self {
        let mut cluster = Self::new(seed);
        cluster.spares = 1;
        for _ in 0..count {
            let number = cluster.next_machine;
            cluster.next_machine += 1;
            cluster.add_machine(number, 900 + number);
        }
        cluster
    }

    pub fn add_machine(&mut self, number: u32, disk_identity: u32) {
        let starts_at = Some(self.now);
        self.machines.push(Machine {
            number,
            disk_identity,
            node: None,
            log: None,
            disk: SimDisk::default(),
            paused_until: Moment::ZERO,
            starts_at,
        });
    }

    pub fn start_machine(&mut self, index: usize) {
        let seed = self.rng.random();
        let first_three = || self.machines.iter().take(3).map(|machine| machine.number).collect();
        let contacts = if self.contacts.is_empty() { first_three() } else { self.contacts.clone() };
        let spares = self.spares;
        let machine = &mut self.machines[index];
        machine.starts_at = None;
        let disk = std::mem::take(&mut machine.disk);
        let (mut log, recovered) = DiskLog::open(disk).expect("the log opens after a crash");
        let identity = recovered.disk.unwrap_or(machine.disk_identity);
        log.write_identity(identity, &[]).expect("the disk has room");
        let id = ReplicaId { machine: machine.number, disk: identity };
        let raft = RaftSettings {
            voters: VOTERS,
            spares,
            replace_after: REPLACE_AFTER,
            ..RaftSettings::default()
        };
        let entries_per_snapshot = 60;
        let settings =
            NodeSettings { raft, entries_per_snapshot, seed, contacts, ..Default::default() };
        // Only the original disks know the initial voters.
        let initial_voters: &[u32] = if identity == 0 { &INITIAL_VOTERS } else { &[] };
        let node = Node::new(id, settings, initial_voters, &[GROUP], recovered, self.now);
        machine.node = Some(node);
        machine.log = Some(log);
    }

    pub fn crash(&mut self, index: usize) {
        let retained_bytes = self.rng.random_range(0..300);
        let downtime = Duration::from_millis(self.rng.random_range(50..4_000));
        let restart = self.now + downtime;
        let machine = &mut self.machines[index];
        machine.node = None;
        if let Some(log) = machine.log.take() {
            machine.disk = log.into_disk();
            machine.disk.crash(retained_bytes);
        }
        machine.starts_at = Some(restart);
    }

    pub fn replace_disk(&mut self, index: usize) {
        self.crash(index);
        self.next_identity += 1;
        self.machines[index].disk = SimDisk::default();
        self.machines[index].disk_identity = self.next_identity;
        self.disks_lost += 1;
    }

    /// Replaces a machine by an empty one with a new number.
    pub fn replace_machine(&mut self, index: usize) {
        self.replace_disk(index);
        self.machines[index].number = self.next_machine;
        self.next_machine += 1;
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |machine: &Machine| {
            let node = machine.node.as_ref();
            node.is_some_and(|node| node.may_read(self.now, GROUP))
        };
        self.machines.iter().position(leads)
    }

    pub fn leading_raft(&self) -> Option<&Raft> {
        self.machines[self.leader()?].node.as_ref()?.raft(GROUP)
    }

    /// Whether all machines run and all voters are present and fully replicated, so that another
    /// disk may be lost.
    pub fn is_repaired(&self) -> bool {
        let all_run = self.machines.iter().all(|machine| machine.node.is_some());
        let leader = self.leader().and_then(|index| self.machines[index].node.as_ref());
        let raft = leader.and_then(|node| node.raft(GROUP));
        all_run
            && raft.is_some_and(|raft| {
                let voters = &raft.membership().voters;
                let is_present = |voter: &ReplicaId| {
                    self.machines.iter().any(|machine| {
                        machine.node.as_ref().is_some_and(|node| node.id() == *voter)
                    })
                };
                raft.is_fully_replicated(self.now)
                    && voters.len() == VOTERS
                    && voters.iter().all(is_present)
            })
    }

    pub fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.machines.len());
        if self.rng.random_bool(0.003) {
            self.crash(index);
        }
        if self.rng.random_bool(0.0005) {
            (0..self.machines.len()).for_each(|index| self.crash(index));
        }
        if self.rng.random_bool(0.02) && self.is_repaired() {
            if self.rng.random_bool(0.5) {
                self.replace_disk(index)
            } else {
                self.replace_machine(index)
            }
        }
        let duration = Duration::from_millis(self.rng.random_range(100..3_000));
        if self.rng.random_bool(0.003) {
            let number = self.machines[index].number;
            let peer = self.rng.random_range(0..self.machines.len());
            let peer = self.rng.random_bool(0.5).then(|| self.machines[peer].number);
            self.partitions.push((number, peer, self.now + duration));
        }
        if self.rng.random_bool(0.003) {
            self.machines[index].paused_until = self.now + duration;
        }
    }

    pub fn send_request(&mut self) {
        let index = self.rng.random_range(0..self.machines.len());
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if self.machines[index].paused_until > self.now {
            return;
        }
        let choice = self.rng.random_range(0..8);
        let (command, request) = match choice {
            0 => {
                self.next_version += 1;
                let version = self.next_version;
                let command = Command::PutConfiguration { version, document: vec![7; 50] };
                (Some(command), Request::Configuration(version))
            }
            1 | 2 => {
                let turn = format!("t{ticket}");
                let previous = self.random_acknowledged_turn();
                let command = settle_command(&turn, previous.clone(), RETENTION_MS);
                (Some(command), Request::Turn { turn, previous })
            }
            3 => {
                let command = settle_command(&format!("brief{ticket}"), None, SHORT_RETENTION_MS);
                (Some(command), Request::Housekeeping)
            }
            4 => (Some(Command::Advance { elapsed_ms: 40 }), Request::Housekeeping),
            5 => (Some(Command::Seal), Request::Housekeeping),
            _ => (None, Request::Read { not_before: self.acknowledged_version }),
        };
        let Some(node) = &mut self.machines[index].node else {
            return;
        };
        let accepted = match command {
            Some(command) => node.propose(GROUP, encode(&command).expect("encodes"), ticket),
            None => node.read(GROUP, ticket),
        };
        if accepted.is_ok() {
            self.pending_requests.insert(ticket, request);
        }
    }

    pub fn random_acknowledged_turn(&mut self) -> Option<String> {
        let count = self.acknowledged_turns.len();
        if count == 0 || self.rng.random_bool(0.3) {
            return None;
        }
        let position = self.rng.random_range(0..count);
        self.acknowledged_turns.keys().nth(position).cloned()
    }

    pub fn deliver(&mut self) {
        let due_frames: Vec<_> = self.frames.extract_if(.., |frame| frame.0 <= self.now).collect();
        for (_, from, to, messages) in due_frames {
            let target = self.machines.iter_mut().find(|machine| machine.number == to.machine);
            let Some(machine) = target else {
                continue;
            };
            if machine.paused_until > self.now {
                self.frames.push((machine.paused_until, from, to, messages));
                continue;
            }
            let Some(node) = &mut machine.node else {
                continue;
            };
            let is_for_this_disk = node.id() == to;
            let is_accepted = |message: &GroupMessage| {
                is_for_this_disk || calicohoist_replication::node::is_addressed_to_machine(message)
            };
            let messages: Vec<GroupMessage> = messages.into_iter().filter(is_accepted).collect();
            let is_chunk = |message: &&GroupMessage| {
                matches!(message.message, Message::SegmentChunk { total: Some(_), .. })
            };
            self.segment_chunks += messages.iter().filter(is_chunk).count();
            node.receive(self.now, from, messages);
        }
    }

    pub fn step_machine(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.paused_until > now {
            return;
        }
        let (Some(node), Some(log)) = (&mut machine.node, &mut machine.log) else {
            return;
        };
        node.tick(now);
        let mut early_messages = Vec::new();
        let collect_early_message = |to, messages| early_messages.push((to, messages));
        let events = node.flush_with(now, log, collect_early_message).expect("the disk has room");
        let from = node.id();
        // Simulates a power failure between sending the early messages and the end of the sync.
        let loses_power = !self.faults_stopped && self.rng.random_bool(0.0005);
        if !loses_power {
            log.disk_mut().finish_syncs();
        }
        let version = node.machine(GROUP).map_or(0, |state| state.configuration().version);
        for (to, messages) in early_messages {
            self.send(from, to, messages);
        }
        if loses_power {
            return self.crash(index);
        }
        for event in events {
            match event {
                NodeEvent::Send { to, messages } => self.send(from, to, messages),
                NodeEvent::Applied { ticket, output } => self.on_applied(ticket, &output),
                NodeEvent::ReadReady { ticket, .. } => {
                    if let Some(Request::Read { not_before }) =
                        self.pending_requests.remove(&ticket)
                    {
                        assert!(version >= not_before, "read {version} after {not_before}");
                    }
                }
                NodeEvent::Lost { ticket } => {
                    self.pending_requests.remove(&ticket);
                }
                NodeEvent::Leadership { .. } => {}
            }
        }
    }

    pub fn on_applied(&mut self, ticket: u64, output: &Output) {
        match self.pending_requests.remove(&ticket) {
            Some(Request::Configuration(version)) => {
                assert!(
                    matches!(output, Output::Configuration { version: held } if *held >= version)
                );
                self.acknowledged_version = self.acknowledged_version.max(version);
            }
            Some(Request::Turn { turn, previous }) => {
                self.acknowledged_turns.insert(turn, previous);
            }
            _ => {}
        }
    }

    pub fn send(&mut self, from: ReplicaId, to: ReplicaId, messages: Vec<GroupMessage>) {
        let is_partitioned = |(machine, peer, until): &(u32, Option<u32>, Moment)| {
            let matches_pair = match peer {
                Some(peer) => *machine == from.machine && *peer == to.machine,
                None => *machine == from.machine || *machine == to.machine,
            };
            matches_pair && *until > self.now
        };
        if self.partitions.iter().any(is_partitioned) || self.rng.random_bool(0.01) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..15));
        self.frames.push((self.now + delay, from, to, messages));
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.machines.len() {
            if self.machines[index].starts_at.is_some_and(|at| at <= self.now) {
                self.start_machine(index);
            }
        }
        self.deliver();
        for index in 0..self.machines.len() {
            self.step_machine(index);
        }
    }

    pub fn stop_faults(&mut self) {
        self.partitions.clear();
        self.faults_stopped = true;
        for machine in &mut self.machines {
            machine.paused_until = Moment::ZERO;
        }
    }

    pub fn assert_recovered(&self, seed: u64) {
        let leader = self.leader();
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader\n{self:?}"));
        let node = self.machines[leader].node.as_ref().expect("the leader runs");
        let state = node.machine(GROUP).expect("a state");
        let held = state.configuration().version;
        let acknowledged = self.acknowledged_version;
        assert!(held >= acknowledged, "seed {seed}: {held} after {acknowledged}");
        for turn in self.acknowledged_turns.keys() {
            assert!(state.turns().contains(turn), "seed {seed}: {turn} is lost");
        }
        for machine in &self.machines {
            self.assert_histories_complete(seed, machine);
        }
        assert!(self.is_repaired(), "seed {seed} is not repaired:\n{self:?}");
    }
}

impl Cluster {
    /// Asserts that a replica can read every history that it knows completely from its own disk.
    pub fn assert_histories_complete(&self, seed: u64, machine: &Machine) {
        let (Some(node), Some(log)) = (&machine.node, &machine.log) else {
            return;
        };
        let Some(state) = node.machine(GROUP) else {
            return;
        };
        for turn in self.acknowledged_turns.keys() {
            let Some(pieces) = state.turns().history(turn) else {
                continue;
            };
            let mut found = Vec::new();
            for piece in pieces {
                match piece {
                    HistoryPiece::InMemory(bytes) => found.extend_from_slice(bytes),
                    HistoryPiece::OnDisk(stored) => {
                        let length = stored.length as usize;
                        let read = log.read_segment(GROUP, stored.segment, stored.offset, length);
                        let bytes = read.expect("the disk works");
                        assert!(stored.matches(&bytes), "seed {seed}: {turn}: {stored:?}");
                        found.extend(bytes);
                    }
                }
            }
            let found = String::from_utf8(found).expect("text");
            let number = machine.number;
            assert_eq!(found, self.expected_history(turn), "seed {seed}: {turn} on {number}");
        }
    }

    pub fn expected_history(&self, turn: &str) -> String {
        let mut turns = vec![turn.to_owned()];
        let mut next = self.acknowledged_turns.get(turn).cloned().flatten();
        while let Some(turn) = next {
            next = self.acknowledged_turns.get(&turn).cloned().flatten();
            turns.push(turn);
        }
        turns.iter().rev().map(|turn| turn_text(turn)).collect()
    }
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for machine in &self.machines {
            let Some(node) = &machine.node else {
                writeln!(formatter, "{} is down", machine.number)?;
                continue;
            };
            if let Some(raft) = node.raft(GROUP) {
                writeln!(
                    formatter,
                    "{} leads={} term={} last={} commit={} {:?}",
                    node.id(),
                    raft.is_leader(),
                    raft.term(),
                    raft.last_index(),
                    raft.commit(),
                    raft.membership()
                )?;
            }
        }
        Ok(())
    }
}

/// Returns the text of a turn, which is unique to it.
pub fn turn_text(turn: &str) -> String {
    format!("<{}>", turn.repeat(12))
}

pub fn settle_command(turn: &str, previous: Option<String>, retention_ms: u64) -> Command {
    let text = turn_text(turn).into_bytes();
    let (input, output) = text.split_at(text.len() / 2);
    Command::Settle(SettleTurn {
        program: None,
        turn: turn.to_owned(),
        used_tokens: 0,
        retention_ms,
        retained: Some(RetainedTurn { previous, input: input.to_vec(), output: output.to_vec() }),
        run: None,
    })
}
