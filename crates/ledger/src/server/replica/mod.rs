//! The thread that takes part in the replicated log.
//!
//! It is the only one that waits on the disk. A leader whose disk hangs therefore
//! sends no heartbeats either, and loses the leadership.

pub mod pending;
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupId, GroupMessage, Node, NodeEvent, NodeSettings,
    ReplicaId, Ticket,
};
use calicohoist_routing::Topology;
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;
use calicohoist_wire::encode;
use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::{mpsc, oneshot, watch};

use pending::{Answered, CommandDigest, Pending, PendingTable};
use request::Input;
pub use request::{ReplicaHandle, Request, Respond, Response, Standing};

use super::limits::LimitDesk;
use super::peers::{Outgoing, PeerCard};
use super::preference::{GroupView, LeaderMove, LeaderPreference, PlacedVoter, ZoneLoads};
use super::slowness::Slowness;
use super::turns::TurnDesk;
use super::{LedgerSettings, machine_number};
use crate::commands::{Command, Output, Reservation, ReserveTurn};
use crate::queries;
use crate::state::{HistoryPiece, LedgerState, StoredBytes};

/// The only group: whoever reads a configuration and whoever reserves ask the same leader.
const GROUP: GroupId = GroupId(0);
const RING: usize = 8_192;
/// Inputs taken before one flush.
const BATCH: usize = 512;
const TICK: Duration = Duration::from_millis(20);
/// How often a leader lets the state's clock run on.
const ADVANCE_EVERY: Duration = Duration::from_secs(5);
/// How often a leader looks up which machines there are; those outside the group are called once
/// a second.
const NAME_EVERY: Duration = Duration::from_millis(500);
/// How often a leader looks whether another voter had better lead: often beside the 5 s for which
/// one must be better, and little work.
const WEIGH_EVERY: Duration = Duration::from_millis(500);
const ENTRIES_PER_SNAPSHOT: u64 = 8_000;
/// Size of the log file, in bytes, from which it is rewritten.
const LOG_REWRITE_BYTES: usize = 6 << 20;
/// Bytes of retained turns in memory from which they are moved to disk. The entries that
/// brought them are in memory, too, until the snapshot that comes with it.
const SEAL_BYTES: u64 = 2 << 20;
/// Age from which a reservation or a read is not begun any more: gateways wait for 1 s.
const REQUEST_PATIENCE: Duration = Duration::from_millis(900);
/// Age from which a drain or its withdrawal is not begun any more: an operator has turned to
/// another machine after 1 s, and may have had the opposite acknowledged since.
const OPERATOR_PATIENCE: Duration = Duration::from_millis(900);
/// How long the leader waits for a sealing that it has proposed.
const SEAL_PATIENCE: Duration = Duration::from_secs(1);

static DRAINED_ZONES: Gauge =
    Gauge::new("calicohoist_ledger_drained_zones", "Zones that are drained, as applied here");
static LEADS: Gauge = Gauge::new("calicohoist_ledger_leads", "1 while this machine leads");

/// The replica with its disk, before its thread runs.
pub struct ReplicaThread {
    node: Node<LedgerState>,
    log: DiskLog<DirectoryDisk>,
    origin: Instant,
    name: String,
    tolerated_losses: usize,
    frames: mpsc::Sender<Outgoing>,
    pending: PendingTable,
    names: BTreeMap<u32, String>,
    /// Zones of machines by number, as they named them; this one's too.
    zones: BTreeMap<u32, String>,
    topology: Arc<Topology>,
    preference: LeaderPreference,
    /// When a better leader was last sought.
    weighed: Instant,
    advanced: Instant,
    /// When the known machines were named last.
    named: Instant,
    seal_proposed: Option<Instant>,
    slowness: Slowness,
    standing: Standing,
    /// Take what the log tells.
    desks: Desks,
    /// Number of the next run to tell.
    next_run: u64,
    /// Number of the newest note of permits that was told.
    told_permits: u64,
    /// Since when this machine leads without knowing all that earlier leaders have committed.
    catches_up_since: Option<Instant>,
}

/// Who at this machine wants to know what the log tells of runs and permits.
pub struct Desks {
    /// Runs.
    pub turns: Arc<TurnDesk>,
    /// Permits.
    pub limits: Arc<LimitDesk>,
    /// Where turns come from; read only, to choose the leader.
    pub loads: Arc<Mutex<ZoneLoads>>,
}

impl ReplicaThread {
    /// Opens the log.
    ///
    /// # Errors
    /// When the disk fails or its content is damaged.
    pub fn open(
        settings: &LedgerSettings,
        frames: mpsc::Sender<Outgoing>,
        desks: Desks,
    ) -> eyre::Result<Self> {
        // A replica that reads its log acknowledges no leader: that time counts towards the
        // one for which it must not vote after a restart.
        let origin = Instant::now();
        let disk = DirectoryDisk::open(&settings.data_folder)?;
        let (mut log, recovered) = DiskLog::open(disk)?;
        let machine = machine_number(settings.ip);
        let seeds: Vec<u32> = settings.seeds.iter().copied().map(machine_number).collect();
        let (disk, founders) = match recovered.disk {
            Some(disk) => (disk, recovered.initial_machines.clone()),
            None => {
                let disk = new_identity(settings);
                let founders = if disk == 0 { seeds.clone() } else { Vec::new() };
                log.write_identity(disk, &founders)?;
                (disk, founders)
            }
        };
        let id = ReplicaId { machine, disk };
        let node_settings = NodeSettings {
            raft: settings.raft,
            entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
            log_rewrite_bytes: LOG_REWRITE_BYTES,
            seed: rand::rng().random(),
            contacts: seeds,
        };
        let entries = recovered.groups.values().map(|group| group.entries.len()).sum::<usize>();
        let node = Node::new(id, node_settings, &founders, &[GROUP], recovered, Moment::ZERO);
        emit!(
            Event::LogOpened;
            machine = settings.name,
            entries = entries,
            bytes = log.bytes(),
            after_ms = origin.elapsed().as_millis(),
        );
        Ok(Self {
            node,
            log,
            origin,
            name: settings.name.clone(),
            tolerated_losses: settings.tolerated_losses,
            frames,
            pending: PendingTable::default(),
            names: BTreeMap::from([(machine, settings.name.clone())]),
            zones: BTreeMap::from([(machine, settings.zone.clone())]),
            topology: Arc::clone(&settings.topology),
            preference: LeaderPreference::default(),
            weighed: origin,
            advanced: origin,
            named: origin,
            seal_proposed: None,
            slowness: Slowness::default(),
            standing: Standing::default(),
            desks,
            next_run: 0,
            told_permits: 0,
            catches_up_since: None,
        })
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.node.id()
    }

    /// Starts the thread. The last value tells why it ended, should it end.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(
        self,
    ) -> std::io::Result<(ReplicaHandle, watch::Receiver<Standing>, oneshot::Receiver<String>)>
    {
        let (inputs, receiver) = bounded(RING);
        let (standing_out, standing) = watch::channel(Standing::default());
        let (failure_out, failure) = oneshot::channel();
        thread::Builder::new().name("replica".to_owned()).spawn(move || {
            if let Err(error) = self.run(&receiver, &standing_out) {
                emit!(Event::DiskFailed, "{error}");
                let _ = failure_out.send(error.to_string());
            }
        })?;
        Ok((ReplicaHandle { inputs }, standing, failure))
    }

    fn run(
        mut self,
        inputs: &Receiver<Input>,
        standing: &watch::Sender<Standing>,
    ) -> Result<(), DiskError> {
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for input in inputs.try_iter().take(BATCH) {
                self.take(input);
            }
            let now = self.now();
            self.node.tick(now);
            self.keep_house();
            let frames = self.frames.clone();
            let send_early = |to, messages| send(&frames, to, messages);
            let began = Instant::now();
            let events = self.node.flush_with(now, &mut self.log, send_early)?;
            if self.slowness.note(began.elapsed()) && self.node.leads_any() {
                emit!(Event::SlowLeader; machine = self.name, flush_ms = began.elapsed().as_millis());
                self.node.transfer_leadership(now);
            }
            // What the log says is passed on before anybody is answered: once an operator hears
            // that a zone is drained, no placement may use an older state.
            self.tell_runs();
            self.tell_permits();
            self.publish_drained(standing);
            for event in events {
                self.on_event(event);
            }
            self.tell_caught_up();
            // Term and leadership follow after the answers. A reservation that was committed along
            // with the loss of leadership is so placed in the term that granted it: in the next
            // one, which another machine leads, the desk would drop the turns that wait.
            self.publish(standing);
        }
    }

    fn now(&self) -> Moment {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment::from_micros(micros)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Frame { from, messages } => {
                let now = self.now();
                self.node.receive(now, from, messages);
            }
            Input::Greeting(PeerCard { replica, name, zone }) => {
                if let Some(zone) = zone {
                    self.zones.insert(replica.machine, zone);
                }
                self.names.insert(replica.machine, name);
            }
            Input::Request { request, respond, asked } => {
                if is_overdue(&request, asked.elapsed()) {
                    return respond(Response::Overdue);
                }
                self.on_request(request, respond);
            }
            Input::HandOver => {
                let now = self.now();
                self.node.transfer_leadership(now);
            }
        }
    }

    fn on_request(&mut self, request: Request, respond: Respond) {
        match request {
            Request::Change(command) => self.propose(&command, Pending::Change(respond)),
            Request::Reserve(reserve) => {
                let command = Command::Reserve(reserve.clone());
                self.propose(&command, Pending::Reserve(reserve, respond));
            }
            Request::Retire(name) => match self.retire_command(name) {
                Some(command) => self.propose(&command, Pending::Retire(respond)),
                None => self.refuse(Pending::Retire(respond)),
            },
            Request::ReadConfiguration { newer_than } => {
                self.read(Pending::ReadConfiguration { newer_than, respond });
            }
            Request::ConfirmLeadership => self.read(Pending::Confirm(respond)),
            Request::ReadRetiring(name) => self.read(Pending::ReadRetiring(name, respond)),
        }
    }

    /// The command that empties a machine; `None` while it is not known here which are emptied
    /// already.
    fn retire_command(&self, name: String) -> Option<Command> {
        // What was published holds what is applied; a commit may be known before that.
        if !self.standing.is_leader {
            return None;
        }
        let machines = self.node.machine(GROUP).map(LedgerState::machines);
        let retiring = machines.map(|machines| machines.retiring_numbers()).unwrap_or_default();
        let number = machines.and_then(|machines| machines.number(&name));
        let stays = |machine: &&u32| !retiring.contains(machine) && Some(**machine) != number;
        let now = self.now();
        let standbys = self.node.raft(GROUP).map(|raft| raft.standby_machines(now));
        let standbys = standbys.unwrap_or_default();
        let remaining = self.standing.machines.iter().chain(&standbys).filter(stays).count();
        let must_remain = 2 * self.tolerated_losses + 1;
        Some(Command::Retire { name, remaining, must_remain })
    }

    fn propose(&mut self, command: &Command, asker: Pending) {
        let Ok(encoded) = encode(command) else {
            return self.answer(asker, Answered::Lost);
        };
        let digest = may_join(command).then(|| CommandDigest::of(&encoded));
        let asker = match digest {
            Some(digest) => self.pending.join(digest, asker),
            None => Some(asker),
        };
        let Some(asker) = asker else {
            return;
        };
        let ticket = self.pending.ticket();
        match (self.node.propose(GROUP, encoded, ticket), digest) {
            (Ok(()), Some(digest)) => self.pending.add_command(ticket, digest, asker),
            (Ok(()), None) => self.pending.add_single(ticket, asker),
            (Err(_), _) => self.refuse(asker),
        }
    }

    fn read(&mut self, asker: Pending) {
        let ticket = self.pending.ticket();
        match self.node.read(GROUP, ticket) {
            Ok(()) => self.pending.add_single(ticket, asker),
            Err(_) => self.refuse(asker),
        }
    }

    fn refuse(&mut self, pending: Pending) {
        let leader = self.node.leader_machine(GROUP);
        let leader = leader.filter(|leader| *leader != self.node.id().machine);
        self.answer(pending, Answered::NotLeader(leader));
    }

    /// What a leader does by itself: the state's clock, and the names of machines.
    fn keep_house(&mut self) {
        let is_leader = self.node.raft(GROUP).is_some_and(|raft| raft.is_leader());
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let retiring = state.machines().retiring_numbers();
        if !is_leader {
            self.advanced = Instant::now();
            let knows_leader = self.node.leader_machine(GROUP).is_some();
            self.preference.follow(knows_leader);
            return self.node.set_evicted(&retiring);
        }
        let is_new =
            |(machine, name): &(&u32, &String)| state.machines().number(name) != Some(**machine);
        let unknown: Vec<(u32, String)> = self
            .names
            .iter()
            .filter(is_new)
            .map(|(machine, name)| (*machine, name.clone()))
            .collect();
        if retiring.contains(&self.node.id().machine) {
            let now = self.now();
            self.node.transfer_leadership(now);
        }
        self.node.set_evicted(&retiring);
        for (machine, name) in unknown {
            self.propose_silently(&Command::Enroll { name, machine });
        }
        self.names.clear();
        self.names.insert(self.node.id().machine, self.name.clone());
        self.name_known_machines(&retiring);
        self.seal_when_due();
        self.prefer_leader(&retiring);
        let elapsed = self.advanced.elapsed();
        if elapsed >= ADVANCE_EVERY {
            self.advanced = Instant::now();
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or_default();
            self.propose_silently(&Command::Advance { elapsed_ms });
        }
    }

    /// Hands the leadership to a voter with a clearly shorter way, while the group is calm.
    fn prefer_leader(&mut self, retiring: &BTreeSet<u32>) {
        if self.weighed.elapsed() < WEIGH_EVERY {
            return;
        }
        self.weighed = Instant::now();
        let now = self.now();
        let Some(raft) = self.node.raft(GROUP) else {
            return;
        };
        let Some(voters) = self.placed_voters(&raft.membership().voters) else {
            return;
        };
        let loads = {
            let mut loads = self.desks.loads.lock();
            loads.fade(self.weighed);
            loads.clone()
        };
        let view = GroupView {
            topology: &self.topology,
            leader: self.node.id().machine,
            voters: &voters,
            loads: &loads,
            is_calm: raft.is_fully_replicated(now),
            retiring,
        };
        if let Some(better) = self.preference.decide(&view, self.weighed) {
            self.hand_over(better);
        }
    }

    /// The voters with their zones; `None` until all of them have named theirs.
    fn placed_voters(&self, voters: &BTreeSet<ReplicaId>) -> Option<Vec<PlacedVoter>> {
        let placed = |voter: &ReplicaId| {
            let zone = self.zones.get(&voter.machine)?.clone();
            Some(PlacedVoter { machine: voter.machine, zone })
        };
        voters.iter().map(placed).collect()
    }

    fn hand_over(&mut self, LeaderMove { to, gain }: LeaderMove) {
        let zone = self.zones.get(&to).cloned().unwrap_or_default();
        emit!(
            Event::LeaderMoved;
            machine = self.name,
            to = Ipv4Addr::from_bits(to),
            zone = zone,
            gain_us = gain.as_micros(),
        );
        let now = self.now();
        self.node.transfer_leadership_to(now, GROUP, to);
    }

    /// Names the machines that may have to be told who leads.
    fn name_known_machines(&mut self, retiring: &BTreeSet<u32>) {
        if self.named.elapsed() < NAME_EVERY {
            return;
        }
        self.named = Instant::now();
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let known = state.machines().numbers().filter(|machine| !retiring.contains(machine));
        let known = known.collect();
        self.node.set_known_machines(known);
    }

    /// Moves retained turns out of memory once they have become many.
    fn seal_when_due(&mut self) {
        let unsealed = self.node.machine(GROUP).map(|state| state.turns().unsealed_bytes());
        if unsealed.unwrap_or_default() < SEAL_BYTES {
            self.seal_proposed = None;
            return;
        }
        let is_proposed = self.seal_proposed.is_some_and(|at| at.elapsed() < SEAL_PATIENCE);
        if !is_proposed {
            self.seal_proposed = Some(Instant::now());
            self.propose_silently(&Command::Seal);
        }
    }

    fn propose_silently(&mut self, command: &Command) {
        self.propose(command, Pending::Change(Box::new(|_| {})));
    }

    fn on_event(&mut self, event: NodeEvent<Output>) {
        match event {
            NodeEvent::Send { to, messages } => send(&self.frames, to, messages),
            NodeEvent::Applied { ticket, output } => {
                self.answer_all(ticket, &Answered::Output(output));
            }
            NodeEvent::ReadReady { ticket, .. } => self.answer_all(ticket, &Answered::MayRead),
            NodeEvent::Lost { ticket } => self.answer_all(ticket, &Answered::Lost),
            NodeEvent::Leadership { is_leader, .. } => {
                let event = if is_leader { Event::BecameLeader } else { Event::LostLeadership };
                LEADS.set(u64::from(is_leader));
                self.catches_up_since = is_leader.then(Instant::now);
                emit!(event; machine = self.name, term = self.term());
            }
        }
    }

    fn term(&self) -> u64 {
        self.node.raft(GROUP).map_or(0, |raft| raft.term())
    }

    fn answer_all(&mut self, ticket: Ticket, answered: &Answered) {
        for asker in self.pending.take(ticket) {
            self.answer(asker, answered.clone());
        }
    }

    fn answer(&self, pending: Pending, answered: Answered) {
        let leads = match answered {
            Answered::NotLeader(leader) => return pending.respond()(Response::NotLeader(leader)),
            Answered::Lost => return pending.respond()(Response::Lost),
            Answered::Output(output) => Some(output),
            Answered::MayRead => None,
        };
        let Some(state) = self.node.machine(GROUP) else {
            return pending.respond()(Response::Lost);
        };
        match (pending, leads) {
            (Pending::Change(respond), Some(output)) => respond(Response::Changed(output)),
            (Pending::Reserve(reserve, respond), Some(Output::Reservation(reservation))) => {
                respond(self.reserved(state, &reserve, reservation));
            }
            (Pending::Retire(respond), Some(Output::Retiring(outcome))) => {
                respond(Response::Retiring(outcome));
            }
            (Pending::ReadConfiguration { newer_than, respond }, None) => {
                let held = queries::configuration(state).filter(|held| held.version > newer_than);
                respond(Response::Configuration(held.cloned()));
            }
            (Pending::Confirm(respond), None) => respond(Response::Leads(self.term())),
            (Pending::ReadRetiring(name, respond), None) => {
                respond(Response::Retired(self.is_retired(state, &name)));
            }
            (pending, _) => pending.respond()(Response::Lost),
        }
    }

    fn reserved(
        &self,
        state: &LedgerState,
        reserve: &ReserveTurn,
        reservation: Reservation,
    ) -> Response {
        let ended = |reservation| Response::Reserved {
            reservation,
            history: Vec::new(),
            is_under_way: false,
        };
        if reservation != Reservation::Granted {
            return ended(reservation);
        }
        let Some(pieces) = queries::history(state, reserve.previous.as_ref()) else {
            // Expired between two entries of the log.
            return ended(Reservation::NoSuchTurn);
        };
        match self.read_history(&pieces) {
            Ok(history) => {
                let is_under_way = is_under_way(state, reserve);
                Response::Reserved { reservation, history, is_under_way }
            }
            Err(error) => {
                emit!(Event::DiskFailed, "history of {}: {error}", reserve.turn);
                Response::Lost
            }
        }
    }

    fn read_history(&self, pieces: &[HistoryPiece<'_>]) -> Result<Vec<u8>, DiskError> {
        let mut history = Vec::new();
        for piece in pieces {
            match piece {
                HistoryPiece::Held(bytes) => history.extend_from_slice(bytes),
                HistoryPiece::Stored(stored) => {
                    let length = stored.length as usize;
                    let bytes =
                        self.log.read_segment(GROUP, stored.segment, stored.offset, length)?;
                    if !stored.matches(&bytes) {
                        return Err(damaged(stored));
                    }
                    history.extend(bytes);
                }
            }
        }
        Ok(history)
    }

    /// Whether a retiring machine holds no replica, with as many voters as wanted without it.
    fn is_retired(&self, state: &LedgerState, name: &str) -> Option<bool> {
        if !state.machines().is_retiring(name) {
            return None;
        }
        let number = state.machines().number(name);
        let raft = self.node.raft(GROUP)?;
        let membership = raft.membership();
        let is_member = membership.all().any(|replica| Some(replica.machine) == number);
        let has_votes = membership.voters.len() > 2 * self.tolerated_losses;
        let is_settled = raft.is_membership_committed();
        Some(!is_member && has_votes && is_settled)
    }

    /// Tells where turns ran, as the log says.
    fn tell_runs(&mut self) {
        let Some(runs) = self.node.machine(GROUP).map(LedgerState::runs) else {
            return;
        };
        if runs.next() != self.next_run {
            self.desks.turns.learn(runs.since(self.next_run));
            self.next_run = runs.next();
        }
    }

    /// Tells which permits were issued, as the log says.
    fn tell_permits(&mut self) {
        let Some(notes) = self.node.machine(GROUP).map(LedgerState::permits) else {
            return;
        };
        if notes.newest() != self.told_permits {
            self.told_permits = notes.newest();
            self.desks.limits.learn(notes);
        }
    }

    /// Publishes the drained zones if they have changed; all else that is published stays as it
    /// is until [`Self::publish`].
    fn publish_drained(&mut self, out: &watch::Sender<Standing>) {
        let drained = self.node.machine(GROUP).map(LedgerState::drained);
        let Some(drained) = drained.filter(|drained| **drained != *self.standing.drained) else {
            return;
        };
        emit!(Event::ZonesDrained; version = drained.version, zones = drained);
        DRAINED_ZONES.set(drained.zones.len() as u64);
        self.standing.drained = Arc::new(drained.clone());
        out.send_replace(self.standing.clone());
    }

    /// Logs how long this machine has led without knowing all that earlier leaders have committed.
    fn tell_caught_up(&mut self) {
        let Some(since) = self.catches_up_since else {
            return;
        };
        let Some(raft) = self.node.raft(GROUP).filter(|raft| raft.has_committed_in_term()) else {
            return;
        };
        self.catches_up_since = None;
        emit!(
            Event::LeaderCaughtUp;
            machine = self.name,
            term = raft.term(),
            after_us = since.elapsed().as_micros(),
            newest_permit_note = self.told_permits,
        );
    }

    fn publish(&mut self, out: &watch::Sender<Standing>) {
        let Some(raft) = self.node.raft(GROUP) else {
            return;
        };
        let configuration = self.node.machine(GROUP).map(|state| state.configuration().version);
        let is_leader = raft.has_committed_in_term();
        let leader = raft.leader().filter(|_| is_leader || !raft.is_leader());
        let standing = Standing {
            term: raft.term(),
            leader: leader.map(|leader| leader.machine),
            is_leader,
            configuration: configuration.unwrap_or_default(),
            machines: raft.member_machines(),
            drained: Arc::clone(&self.standing.drained),
        };
        if standing != self.standing {
            self.standing = standing.clone();
            out.send_replace(standing);
        }
    }
}

/// Whether whoever asked has given up by now. Ends of turns are never given up.
fn is_overdue(request: &Request, age: Duration) -> bool {
    match request {
        Request::Reserve(_) | Request::ReadConfiguration { .. } | Request::ConfirmLeadership => {
            age > REQUEST_PATIENCE
        }
        Request::Change(Command::DrainZone { .. } | Command::RestoreZone { .. }) => {
            age > OPERATOR_PATIENCE
        }
        Request::Change(_) | Request::Retire(_) | Request::ReadRetiring(_) => false,
    }
}

/// Whether a command may share the outcome of an equal one that is under way. A drain or a restore
/// of a zone may not: the opposite order may stand between the two in the log, and would undo what
/// the later one was told is done.
fn may_join(command: &Command) -> bool {
    !matches!(command, Command::DrainZone { .. } | Command::RestoreZone { .. })
}

/// Whether a turn's program has begun with another one: its account tells, or without an
/// account the turn that it continues from.
fn is_under_way(state: &LedgerState, reserve: &ReserveTurn) -> bool {
    match &reserve.program {
        Some(program) => state.accounts().has_begun_before(program, &reserve.turn),
        None => reserve.previous.is_some(),
    }
}

fn damaged(stored: &StoredBytes) -> DiskError {
    DiskError::Corrupt {
        file: format!("segment {}", stored.segment),
        offset: usize::try_from(stored.offset).unwrap_or(usize::MAX),
        problem: "not what was stored".to_owned(),
    }
}

/// A new data folder belongs to a founder only at the very first start.
fn new_identity(settings: &LedgerSettings) -> u32 {
    let is_founder = settings.bootstrap && settings.seeds.contains(&settings.ip);
    if is_founder { 0 } else { rand::rng().random_range(1..=u32::MAX) }
}

fn send(frames: &mpsc::Sender<Outgoing>, to: ReplicaId, messages: Vec<GroupMessage>) {
    // A full ring drops them, as a network would.
    let _ = frames.try_send(Outgoing { to, messages });
}
