//! The thread that participates in the replicated log.
//!
//! It performs all disk I/O. A leader whose disk hangs therefore stops sending heartbeats and
//! loses the leadership.

pub mod accounts;
pub mod clock;
mod held;
mod input_memory;
mod opening;
pub mod origins;
pub mod pending;
mod request;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupId, GroupMessage, Node, NodeEvent, NodeSettings, Raft,
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

use clock::LeaderClock;
pub use held::HeldBytes;
use input_memory::InputMemory;
pub use opening::OpeningReplica;
use origins::{ORIGIN_COUNT_INTERVAL, OriginQuota, PendingOrigin, resolve_conflict};
use pending::{CommandDigest, Outcome, PendingRequest, PendingTable};
pub use request::{GroupStatus, ReplicaHandle, Request, Response, ResponseCallback};
use request::{Input, QueuedInput};

use super::crashes::CrashBoard;
use super::duties::{self, Duty};
use super::limits::TenantLimiter;
use super::memory::MemoryPlan;
use super::peers::{OutgoingMessages, PeerInfo};
use super::preference::{
    GroupView, LeaderPreference, LeadershipTransfer, VoterLocation, ZoneLoads,
};
use super::slow_disk::SlowDiskDetector;
use super::turns::TurnDispatcher;
use super::{LedgerSettings, machine_number};
use crate::commands::{Command, Output, Reservation, ReserveTurn, origin_key_prefix};
use crate::queries;
use crate::state::{HistoryPiece, LedgerState, StoredBytes};

/// The only Raft group.
const GROUP: GroupId = GroupId(0);
const INPUT_QUEUE_CAPACITY: usize = 8_192;
/// Maximum number of inputs handled before a flush.
const MAX_BATCH: usize = 512;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a leader advances the clock of the state.
pub const CLOCK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a leader passes the known machines to the replication layer.
const KNOWN_MACHINES_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a leader checks whether another voter would be a better leader.
const PREFERENCE_INTERVAL: Duration = Duration::from_millis(500);
const ENTRIES_PER_SNAPSHOT: u64 = 8_000;
/// Age above which a reservation or read is rejected; less than the timeout of gateways.
const MAX_REQUEST_AGE: Duration = Duration::from_millis(900);
/// Age above which draining or restoring a zone is rejected. After its timeout an operator may
/// have made the opposite change on another machine, which this request would undo.
const MAX_ZONE_CHANGE_AGE: Duration = Duration::from_millis(900);
/// Time after which a proposed seal command is proposed again.
const SEAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the bytes that the replica holds are counted.
const HELD_COUNT_INTERVAL: Duration = Duration::from_secs(1);

static DRAINED_ZONES: Gauge =
    Gauge::new("calicohoist_ledger_drained_zones", "Zones that are drained, as applied here");
static IS_LEADER: Gauge = Gauge::new("calicohoist_ledger_leads", "1 while this machine leads");

/// The replica and its log, run by a dedicated thread.
pub struct ReplicaThread {
    node: Node<LedgerState>,
    log: DiskLog<DirectoryDisk>,
    started_at: Instant,
    name: String,
    tolerated_losses: usize,
    outgoing: mpsc::Sender<OutgoingMessages>,
    pending: PendingTable,
    /// Names of machines to register.
    names: BTreeMap<u32, String>,
    /// Zones of all known machines, including this one.
    zones: BTreeMap<u32, String>,
    topology: Arc<Topology>,
    preference: LeaderPreference,
    preference_checked_at: Instant,
    clock: LeaderClock,
    known_machines_updated_at: Instant,
    seal_proposed_at: Option<Instant>,
    slow_disk: SlowDiskDetector,
    status: GroupStatus,
    /// Receive updates from the log.
    services: LeaderServices,
    /// Number of the next run to forward.
    next_run: u64,
    /// Number of the next crash record to forward.
    next_crash: u64,
    /// Number of the next cleared crash to forward.
    next_cleared: u64,
    /// Number of the last forwarded permit batch.
    last_permit_batch: u64,
    /// Bounds the stream origins that this machine stores as the leader.
    origins: OriginQuota,
    origins_counted_at: Instant,
    /// Since when this machine has been leader without having applied all entries committed by
    /// earlier leaders.
    catching_up_since: Option<Instant>,
    plan: MemoryPlan,
    held: Arc<HeldBytes>,
    held_counted_at: Instant,
}

/// Leader services that the replica thread updates from the log.
pub struct LeaderServices {
    /// Receives finished runs.
    pub turns: Arc<TurnDispatcher>,
    /// Receives issued permits.
    pub limits: Arc<TenantLimiter>,
    /// Receives crash records.
    pub crashes: Arc<CrashBoard>,
    /// Turns by zone of origin, which the choice of the leader is based on.
    pub loads: Arc<Mutex<ZoneLoads>>,
}

impl ReplicaThread {
    /// Opens the log and recovers the replica from it.
    ///
    /// # Errors
    /// Fails if the disk fails or its content is corrupt.
    pub fn open(
        settings: &LedgerSettings,
        outgoing: mpsc::Sender<OutgoingMessages>,
        services: LeaderServices,
    ) -> eyre::Result<Self> {
        // The clock starts before recovery: a replica acknowledges no leader while it reads its
        // log, so this time counts towards the period after a restart in which it must not vote.
        let started_at = Instant::now();
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
        let plan = MemoryPlan::for_machine(settings.memory);
        let node_settings = NodeSettings {
            raft: settings.raft,
            entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
            command_bytes_per_snapshot: plan.command_bytes_per_snapshot,
            log_rewrite_bytes: plan.log_rewrite_bytes,
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
            after_ms = started_at.elapsed().as_millis(),
        );
        Ok(Self {
            node,
            log,
            started_at,
            name: settings.name.clone(),
            tolerated_losses: settings.tolerated_losses,
            outgoing,
            pending: PendingTable::default(),
            names: BTreeMap::from([(machine, settings.name.clone())]),
            zones: BTreeMap::from([(machine, settings.zone.clone())]),
            topology: Arc::clone(&settings.topology),
            preference: LeaderPreference::default(),
            preference_checked_at: started_at,
            clock: LeaderClock::default(),
            known_machines_updated_at: started_at,
            seal_proposed_at: None,
            slow_disk: SlowDiskDetector::default(),
            status: GroupStatus::default(),
            services,
            next_run: 0,
            next_crash: 0,
            next_cleared: 0,
            last_permit_batch: 0,
            origins: OriginQuota::default(),
            origins_counted_at: started_at,
            catching_up_since: None,
            plan,
            held: Arc::default(),
            held_counted_at: started_at,
        })
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.node.id()
    }

    /// Starts the thread. The last value receives the error if the thread fails.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(
        self,
    ) -> std::io::Result<(ReplicaHandle, watch::Receiver<GroupStatus>, oneshot::Receiver<String>)>
    {
        let (inputs, receiver) = bounded(INPUT_QUEUE_CAPACITY);
        let (status_sender, status) = watch::channel(GroupStatus::default());
        let (failure_sender, failure) = oneshot::channel();
        let held = Arc::clone(&self.held);
        let memory = InputMemory::new(self.plan.requests, self.plan.messages);
        thread::Builder::new()
            .name("replica".to_owned())
            .spawn(move || self.run_to_end(&receiver, &status_sender, failure_sender))?;
        Ok((ReplicaHandle { inputs, memory, held }, status, failure))
    }

    /// Runs the replica until all handles are dropped or the disk fails.
    fn run_to_end(
        mut self,
        inputs: &Receiver<QueuedInput>,
        status: &watch::Sender<GroupStatus>,
        failure: oneshot::Sender<String>,
    ) {
        if let Err(error) = self.run(inputs, status) {
            emit!(Event::DiskFailed, "{error}");
            self.answer_remaining(inputs);
            status.send_modify(GroupStatus::leave);
            // Without a receiver, the process is ending already.
            let _ = failure.send(error.to_string());
        }
    }

    /// Answers the requests of a replica that has failed.
    fn answer_remaining(&mut self, inputs: &Receiver<QueuedInput>) {
        for request in self.pending.take_all() {
            request.callback()(Response::Lost);
        }
        refuse_queued(inputs);
    }

    fn run(
        &mut self,
        inputs: &Receiver<QueuedInput>,
        status: &watch::Sender<GroupStatus>,
    ) -> Result<(), DiskError> {
        loop {
            let batch_started;
            match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(input) => {
                    batch_started = Instant::now();
                    self.handle_input(input);
                }
                Err(RecvTimeoutError::Timeout) => batch_started = Instant::now(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for input in inputs.try_iter().take(MAX_BATCH) {
                self.handle_input(input);
            }
            let now = self.now();
            self.node.tick(now);
            self.run_periodic_tasks();
            duties::record(Duty::Replicate, batch_started.elapsed());
            let outgoing = self.outgoing.clone();
            let send_early = |to, messages| send(&outgoing, to, messages);
            let flush_started = Instant::now();
            let events = self.node.flush_with(now, &mut self.log, send_early)?;
            duties::record(Duty::Flush, flush_started.elapsed());
            if self.slow_disk.record_flush(flush_started.elapsed()) && self.node.leads_any() {
                emit!(Event::SlowLeader; machine = self.name, flush_ms = flush_started.elapsed().as_millis());
                self.node.transfer_leadership(now);
            }
            // Applied entries are forwarded before requests are answered: once a zone drain is
            // acknowledged to the operator, placements must not use an older state.
            self.forward_runs();
            self.forward_permits();
            self.forward_crashes();
            self.publish_drained(status);
            for event in events {
                self.on_event(event);
            }
            self.log_caught_up();
            self.count_held_if_due();
            // Term and leadership are published after the answers, so that a reservation committed
            // just before the leadership was lost is placed in the term that granted it. In a new
            // term, the waiting turns would be dropped.
            self.publish(status);
        }
    }

    fn now(&self) -> Moment {
        let micros = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        Moment::from_micros(micros)
    }

    fn handle_input(&mut self, QueuedInput { input, memory: _memory }: QueuedInput) {
        match input {
            Input::Messages { from, messages } => {
                let now = self.now();
                self.node.receive(now, from, messages);
            }
            Input::PeerConnected(PeerInfo { replica, name, zone }) => {
                if let Some(zone) = zone {
                    self.zones.insert(replica.machine, zone);
                }
                self.names.insert(replica.machine, name);
            }
            Input::Request { request, respond, enqueued_at } => {
                if is_overdue(&request, enqueued_at.elapsed()) {
                    return respond(Response::Overdue);
                }
                self.on_request(request, respond);
            }
            Input::TransferLeadership => {
                let now = self.now();
                self.node.transfer_leadership(now);
            }
        }
    }

    fn on_request(&mut self, request: Request, respond: ResponseCallback) {
        match request {
            Request::Change(mut command) => {
                if let Command::Settle(settle) = &mut command
                    && self.leads()
                    && !self.origins.admit(settle)
                {
                    return respond(Response::NoRoom);
                }
                let request = match PendingOrigin::of(&command) {
                    Some(origin) => PendingRequest::StoreOrigin(origin, respond),
                    None => PendingRequest::Change(respond),
                };
                self.propose(command, request);
            }
            Request::Reserve(mut reserve) => {
                self.origins.limit_extension(&mut reserve);
                let now = self.follow_leadership();
                if let Some(state) = self.node.machine(GROUP) {
                    reserve.previous = resolve_conflict(state.turns(), reserve.previous.as_ref());
                    let lag_ms = self.clock.lag_ms(now);
                    if self.leads() && accounts::is_rejected_at_once(state, &mut reserve, lag_ms) {
                        return respond(without_history(Reservation::BudgetSpent));
                    }
                }
                let command = Command::Reserve(reserve.clone());
                self.propose(command, PendingRequest::Reserve(reserve, respond));
            }
            Request::Retire(name) => match self.retire_command(name) {
                Some(command) => self.propose(command, PendingRequest::Retire(respond)),
                None => self.reject(PendingRequest::Retire(respond)),
            },
            Request::ReadConfiguration { newer_than } => {
                self.read(PendingRequest::ReadConfiguration { newer_than, respond });
            }
            Request::ConfirmLeadership => self.read(PendingRequest::Confirm(respond)),
            Request::ReadRetiring(name) => self.read(PendingRequest::ReadRetiring(name, respond)),
        }
    }

    /// Returns the command to retire a machine, or `None` unless this machine is the leader and
    /// has applied all earlier retirements.
    fn retire_command(&self, name: String) -> Option<Command> {
        // The published status reflects applied entries, whereas Raft may already know of later
        // commits.
        if !self.status.is_leader {
            return None;
        }
        let machines = self.node.machine(GROUP).map(LedgerState::machines);
        let retiring = machines.map(|machines| machines.retiring_numbers()).unwrap_or_default();
        let number = machines.and_then(|machines| machines.number(&name));
        let stays = |machine: &&u32| !retiring.contains(machine) && Some(**machine) != number;
        let now = self.now();
        let standbys = self.node.raft(GROUP).map(|raft| raft.standby_machines(now));
        let standbys = standbys.unwrap_or_default();
        let remaining = self.status.machines.iter().chain(&standbys).filter(stays).count();
        let must_remain = 2 * self.tolerated_losses + 1;
        Some(Command::Retire { name, remaining, must_remain })
    }

    fn propose(&mut self, mut command: Command, request: PendingRequest) {
        let Ok(mut encoded) = encode(&command) else {
            return self.answer(request, Outcome::Lost);
        };
        let digest = can_share_outcome(&command).then(|| CommandDigest::of(&encoded));
        let request = match digest {
            Some(digest) => self.pending.join(digest, request),
            None => Some(request),
        };
        let Some(request) = request else {
            return;
        };
        if self.leads() && !self.has_room_for(&command) {
            return request.callback()(Response::Overdue);
        }
        if self.date(&mut command) {
            drop(encoded);
            encoded = match encode(&command) {
                Ok(dated) => dated,
                Err(_) => return self.answer(request, Outcome::Lost),
            };
        }
        let ticket = self.pending.ticket();
        match (self.node.propose(GROUP, encoded, ticket), digest) {
            (Ok(()), Some(digest)) => self.pending.add_command(ticket, digest, request),
            (Ok(()), None) => self.pending.add_unshared(ticket, request),
            (Err(_), _) => self.reject(request),
        }
    }

    /// Writes the durations of a command as the log has them; `false` if it has none.
    fn date(&mut self, command: &mut Command) -> bool {
        let now = self.follow_leadership();
        let held = self.node.machine(GROUP).map_or(0, |state| state.accounts().len());
        accounts::extend_account(command, held);
        self.clock.date(command, now)
    }

    /// Returns whether a command may be proposed. Retained turns wait while a quorum is slow, one of
    /// any size if nothing else does; they would fill the memory of the leader.
    fn has_room_for(&self, command: &Command) -> bool {
        let bytes = match command {
            Command::Settle(settle) => settle.content_bytes(),
            _ => 0,
        };
        if bytes == 0 {
            return true;
        }
        let uncommitted = self.node.raft(GROUP).map_or(0, Raft::uncommitted_bytes);
        uncommitted == 0 || uncommitted + bytes <= self.plan.uncommitted
    }

    fn read(&mut self, request: PendingRequest) {
        let ticket = self.pending.ticket();
        match self.node.read(GROUP, ticket) {
            Ok(()) => self.pending.add_unshared(ticket, request),
            Err(_) => self.reject(request),
        }
    }

    fn reject(&mut self, pending: PendingRequest) {
        let leader = self.node.leader_machine(GROUP);
        let leader = leader.filter(|leader| *leader != self.node.id().machine);
        self.answer(pending, Outcome::NotLeader(leader));
    }

    /// Runs periodic tasks, most of them on the leader only.
    fn run_periodic_tasks(&mut self) {
        let is_leader = self.leads();
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let retiring = state.machines().retiring_numbers();
        if !is_leader {
            let knows_leader = self.node.leader_machine(GROUP).is_some();
            self.preference.follow(knows_leader);
            return self.node.set_evicted(&retiring);
        }
        let is_unregistered =
            |(machine, name): &(&u32, &String)| state.machines().number(name) != Some(**machine);
        let unregistered: Vec<(u32, String)> = self
            .names
            .iter()
            .filter(is_unregistered)
            .map(|(machine, name)| (*machine, name.clone()))
            .collect();
        if retiring.contains(&self.node.id().machine) {
            let now = self.now();
            self.node.transfer_leadership(now);
        }
        self.node.set_evicted(&retiring);
        for (machine, name) in unregistered {
            self.propose_without_reply(Command::Enroll { name, machine });
        }
        self.names.clear();
        self.names.insert(self.node.id().machine, self.name.clone());
        self.update_known_machines(&retiring);
        self.count_origins_if_due();
        self.seal_if_due();
        self.move_leadership_if_better(&retiring);
        let now = self.follow_leadership();
        if let Some(step) = self.clock.next_step(now) {
            self.propose_without_reply(step);
        }
    }

    /// Informs the clock of the state of who leads; returns the time.
    fn follow_leadership(&mut self) -> Moment {
        let now = self.now();
        let term = self.leads().then(|| self.term());
        self.clock.follow(term, now);
        now
    }

    fn count_origins_if_due(&mut self) {
        if self.origins_counted_at.elapsed() >= ORIGIN_COUNT_INTERVAL {
            self.count_origins();
        }
    }

    fn count_origins(&mut self) {
        self.origins_counted_at = Instant::now();
        if let Some(state) = self.node.machine(GROUP) {
            self.origins.recount(state.turns().ids_with_prefix(&origin_key_prefix()).count());
        }
    }

    /// Transfers the leadership to a voter with a clearly lower expected delay, if there is one.
    fn move_leadership_if_better(&mut self, retiring: &BTreeSet<u32>) {
        if self.preference_checked_at.elapsed() < PREFERENCE_INTERVAL {
            return;
        }
        self.preference_checked_at = Instant::now();
        let now = self.now();
        let Some(raft) = self.node.raft(GROUP) else {
            return;
        };
        let Some(voters) = self.locate_voters(&raft.membership().voters) else {
            return;
        };
        let loads = {
            let mut loads = self.services.loads.lock();
            loads.decay(self.preference_checked_at);
            loads.clone()
        };
        let view = GroupView {
            topology: &self.topology,
            leader: self.node.id().machine,
            voters: &voters,
            loads: &loads,
            is_stable: raft.is_fully_replicated(now),
            retiring,
        };
        if let Some(transfer) = self.preference.decide(&view, self.preference_checked_at) {
            self.transfer_leadership(transfer);
        }
    }

    /// Returns the voters with their zones, or `None` until the zones of all voters are known.
    fn locate_voters(&self, voters: &BTreeSet<ReplicaId>) -> Option<Vec<VoterLocation>> {
        let located = |voter: &ReplicaId| {
            let zone = self.zones.get(&voter.machine)?.clone();
            Some(VoterLocation { machine: voter.machine, zone })
        };
        voters.iter().map(located).collect()
    }

    fn transfer_leadership(&mut self, LeadershipTransfer { to, gain }: LeadershipTransfer) {
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

    /// Passes the known machines to the replication layer, which informs them of the leader.
    fn update_known_machines(&mut self, retiring: &BTreeSet<u32>) {
        if self.known_machines_updated_at.elapsed() < KNOWN_MACHINES_INTERVAL {
            return;
        }
        self.known_machines_updated_at = Instant::now();
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let known = state.machines().numbers().filter(|machine| !retiring.contains(machine));
        let known = known.collect();
        self.node.set_known_machines(known);
    }

    /// Seals retained turns once they exceed their share of the memory.
    fn seal_if_due(&mut self) {
        let unsealed = self.node.machine(GROUP).map(|state| state.turns().unsealed_bytes());
        if unsealed.unwrap_or_default() < self.plan.unsealed_turns as u64 {
            self.seal_proposed_at = None;
            return;
        }
        let is_proposed =
            self.seal_proposed_at.is_some_and(|at| at.elapsed() < SEAL_RETRY_INTERVAL);
        if !is_proposed {
            self.seal_proposed_at = Some(Instant::now());
            self.propose_without_reply(Command::Seal);
        }
    }

    fn propose_without_reply(&mut self, command: Command) {
        self.propose(command, PendingRequest::Change(Box::new(|_| {})));
    }

    fn on_event(&mut self, event: NodeEvent<Output>) {
        match event {
            NodeEvent::Send { to, messages } => send(&self.outgoing, to, messages),
            NodeEvent::Applied { ticket, output } => {
                self.answer_all(ticket, &Outcome::Output(output));
            }
            NodeEvent::ReadReady { ticket, .. } => self.answer_all(ticket, &Outcome::ReadReady),
            NodeEvent::Lost { ticket } => self.answer_all(ticket, &Outcome::Lost),
            NodeEvent::Leadership { is_leader, .. } => {
                let event = if is_leader { Event::BecameLeader } else { Event::LostLeadership };
                IS_LEADER.set(u64::from(is_leader));
                self.catching_up_since = is_leader.then(Instant::now);
                self.count_origins();
                emit!(event; machine = self.name, term = self.term());
            }
        }
    }

    fn leads(&self) -> bool {
        self.node.raft(GROUP).is_some_and(|raft| raft.is_leader())
    }

    fn term(&self) -> u64 {
        self.node.raft(GROUP).map_or(0, |raft| raft.term())
    }

    fn answer_all(&mut self, ticket: Ticket, outcome: &Outcome) {
        for request in self.pending.take(ticket) {
            match request {
                PendingRequest::StoreOrigin(origin, respond) => {
                    self.finish_origin(&origin, respond, outcome.clone());
                }
                request => self.answer(request, outcome.clone()),
            }
        }
    }

    /// Answers the request to store an origin, once its conflict is stored if there is one.
    fn finish_origin(
        &mut self,
        origin: &PendingOrigin,
        respond: ResponseCallback,
        outcome: Outcome,
    ) {
        let request = PendingRequest::Change(respond);
        let state = self.node.machine(GROUP).filter(|_| matches!(outcome, Outcome::Output(_)));
        match state.and_then(|state| origin.conflict(state.turns())) {
            Some(conflict) => self.propose(Command::Settle(conflict), request),
            None => self.answer(request, outcome),
        }
    }

    fn answer(&self, pending: PendingRequest, outcome: Outcome) {
        let output = match outcome {
            Outcome::NotLeader(leader) => return pending.callback()(Response::NotLeader(leader)),
            Outcome::Lost => return pending.callback()(Response::Lost),
            Outcome::Output(output) => Some(output),
            Outcome::ReadReady => None,
        };
        let Some(state) = self.node.machine(GROUP) else {
            return pending.callback()(Response::Lost);
        };
        match (pending, output) {
            (PendingRequest::Change(respond), Some(output)) => respond(Response::Changed(output)),
            (PendingRequest::Reserve(reserve, respond), Some(Output::Reservation(reservation))) => {
                respond(self.reservation_response(state, &reserve, reservation));
            }
            (PendingRequest::Retire(respond), Some(Output::Retiring(outcome))) => {
                respond(Response::Retiring(outcome));
            }
            (PendingRequest::ReadConfiguration { newer_than, respond }, None) => {
                let configuration = queries::configuration(state)
                    .filter(|configuration| configuration.version > newer_than);
                respond(Response::Configuration(configuration.cloned()));
            }
            (PendingRequest::Confirm(respond), None) => respond(Response::Leads(self.term())),
            (PendingRequest::ReadRetiring(name, respond), None) => {
                respond(Response::Retired(self.is_retired(state, &name)));
            }
            (pending, _) => pending.callback()(Response::Lost),
        }
    }

    fn reservation_response(
        &self,
        state: &LedgerState,
        reserve: &ReserveTurn,
        reservation: Reservation,
    ) -> Response {
        if reservation != Reservation::Granted {
            return without_history(reservation);
        }
        // A conflict may have been stored after the request was proposed.
        let previous = resolve_conflict(state.turns(), reserve.previous.as_ref());
        let Some(pieces) = queries::history(state, previous.as_ref()) else {
            // The previous turn expired after the reservation was applied.
            return without_history(Reservation::NoSuchTurn);
        };
        match self.read_history(&pieces) {
            Ok(history) => {
                let is_under_way = is_under_way(state, reserve);
                Response::Reserved { reservation, history, is_under_way }
            }
            Err(error) => {
                emit!(
                    Event::DiskFailed,
                    "cannot read the history of turn {}: {error}",
                    reserve.turn
                );
                Response::Lost
            }
        }
    }

    fn read_history(&self, pieces: &[HistoryPiece<'_>]) -> Result<Vec<u8>, DiskError> {
        let mut history = Vec::new();
        for piece in pieces {
            match piece {
                HistoryPiece::InMemory(bytes) => history.extend_from_slice(bytes),
                HistoryPiece::OnDisk(stored) => {
                    let length = stored.length as usize;
                    let bytes =
                        self.log.read_segment(GROUP, stored.segment, stored.offset, length)?;
                    if !stored.matches(&bytes) {
                        return Err(corrupt_segment(stored));
                    }
                    history.extend(bytes);
                }
            }
        }
        Ok(history)
    }

    /// Returns whether a retiring machine is no longer a member and the group has enough voters
    /// without it. Returns `None` if the machine is not being retired.
    fn is_retired(&self, state: &LedgerState, name: &str) -> Option<bool> {
        if !state.machines().is_retiring(name) {
            return None;
        }
        let number = state.machines().number(name);
        let raft = self.node.raft(GROUP)?;
        let membership = raft.membership();
        let is_member = membership.all().any(|replica| Some(replica.machine) == number);
        let has_enough_voters = membership.voters.len() > 2 * self.tolerated_losses;
        let is_settled = raft.is_membership_committed();
        Some(!is_member && has_enough_voters && is_settled)
    }

    /// Forwards newly applied runs to the scheduler.
    fn forward_runs(&mut self) {
        let Some(runs) = self.node.machine(GROUP).map(LedgerState::runs) else {
            return;
        };
        if runs.next() != self.next_run {
            self.services.turns.record_runs(runs.since(self.next_run));
            self.next_run = runs.next();
        }
    }

    /// Forwards newly applied permit batches to the limiter.
    fn forward_permits(&mut self) {
        let Some(permits) = self.node.machine(GROUP).map(LedgerState::permits) else {
            return;
        };
        if permits.newest() != self.last_permit_batch {
            self.last_permit_batch = permits.newest();
            self.services.limits.update_from_log(permits);
        }
    }

    /// Forwards newly stored crash records and cleared crashes to the gateways' service.
    fn forward_crashes(&mut self) {
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let (crashes, cleared) = (state.crashes(), state.cleared_crashes());
        if crashes.next() != self.next_crash {
            let now = Instant::now();
            for record in crashes.since(self.next_crash) {
                self.services.crashes.add(record.clone(), now);
            }
            self.next_crash = crashes.next();
        }
        if cleared.next() != self.next_cleared {
            let now = Instant::now();
            for record in cleared.since(self.next_cleared) {
                self.services.crashes.clear(record.clone(), now);
            }
            self.next_cleared = cleared.next();
        }
    }

    /// Publishes the drained zones if they have changed. The rest of the status is published by
    /// [`Self::publish`].
    fn publish_drained(&mut self, out: &watch::Sender<GroupStatus>) {
        let drained = self.node.machine(GROUP).map(LedgerState::drained);
        let Some(drained) = drained.filter(|drained| **drained != *self.status.drained) else {
            return;
        };
        emit!(Event::ZonesDrained; version = drained.version, zones = drained);
        DRAINED_ZONES.set(drained.zones.len() as u64);
        self.status.drained = Arc::new(drained.clone());
        out.send_replace(self.status.clone());
    }

    fn count_held_if_due(&mut self) {
        if self.held_counted_at.elapsed() < HELD_COUNT_INTERVAL {
            return;
        }
        self.held_counted_at = Instant::now();
        if let (Some(raft), Some(state)) = (self.node.raft(GROUP), self.node.machine(GROUP)) {
            self.held.count(raft, state);
        }
    }

    /// Logs how long it took a new leader to apply all entries committed by earlier leaders.
    fn log_caught_up(&mut self) {
        let Some(since) = self.catching_up_since else {
            return;
        };
        let Some(raft) = self.node.raft(GROUP).filter(|raft| raft.has_committed_in_term()) else {
            return;
        };
        self.catching_up_since = None;
        emit!(
            Event::LeaderCaughtUp;
            machine = self.name,
            term = raft.term(),
            after_us = since.elapsed().as_micros(),
            newest_permit_note = self.last_permit_batch,
        );
    }

    fn publish(&mut self, out: &watch::Sender<GroupStatus>) {
        let Some(raft) = self.node.raft(GROUP) else {
            return;
        };
        let configuration = self.node.machine(GROUP).map(|state| state.configuration().version);
        let is_leader = raft.has_committed_in_term();
        let leader = raft.leader().filter(|_| is_leader || !raft.is_leader());
        let status = GroupStatus {
            term: raft.term(),
            leader: leader.map(|leader| leader.machine),
            is_leader,
            configuration: configuration.unwrap_or_default(),
            machines: raft.member_machines(),
            drained: Arc::clone(&self.status.drained),
        };
        if status != self.status {
            self.status = status.clone();
            out.send_replace(status);
        }
    }
}

/// Returns the response to a reservation that was not granted.
fn without_history(reservation: Reservation) -> Response {
    Response::Reserved { reservation, history: Vec::new(), is_under_way: false }
}

/// Returns whether the requester has timed out. Gateways do not give up on settling turns.
fn is_overdue(request: &Request, age: Duration) -> bool {
    match request {
        Request::Reserve(_) | Request::ReadConfiguration { .. } | Request::ConfirmLeadership => {
            age > MAX_REQUEST_AGE
        }
        Request::Change(Command::DrainZone { .. } | Command::RestoreZone { .. }) => {
            age > MAX_ZONE_CHANGE_AGE
        }
        Request::Change(_) | Request::Retire(_) | Request::ReadRetiring(_) => false,
    }
}

/// Returns whether a command may share the outcome of an identical pending one.
///
/// Draining or restoring a zone may not: the opposite command may be in the log between the two,
/// and the later request would be acknowledged although its effect was undone.
fn can_share_outcome(command: &Command) -> bool {
    !matches!(command, Command::DrainZone { .. } | Command::RestoreZone { .. })
}

/// Returns whether the program of a turn has already started with another turn. Without a program
/// account, this is the case if the turn continues from another one.
fn is_under_way(state: &LedgerState, reserve: &ReserveTurn) -> bool {
    match &reserve.program {
        Some(program) => state.accounts().has_other_started_turn(program, &reserve.turn),
        None => reserve.previous.is_some(),
    }
}

fn corrupt_segment(stored: &StoredBytes) -> DiskError {
    DiskError::Corrupt {
        file: format!("segment {}", stored.segment),
        offset: usize::try_from(stored.offset).unwrap_or(usize::MAX),
        problem: "length or checksum mismatch".to_owned(),
    }
}

/// Returns the disk identity for a new data directory: 0 for a founding member when bootstrapping,
/// else a random number.
fn new_identity(settings: &LedgerSettings) -> u32 {
    let is_founder = settings.bootstrap && settings.seeds.contains(&settings.ip);
    if is_founder { 0 } else { rand::rng().random_range(1..=u32::MAX) }
}

fn send(outgoing: &mpsc::Sender<OutgoingMessages>, to: ReplicaId, messages: Vec<GroupMessage>) {
    // Messages are dropped if the queue is full; Raft tolerates lost messages.
    let _ = outgoing.try_send(OutgoingMessages { to, messages });
}

/// Answers the requests that no replica will handle.
fn refuse_queued(inputs: &Receiver<QueuedInput>) {
    for queued in inputs.try_iter() {
        if let Input::Request { respond, .. } = queued.input {
            respond(Response::Overdue);
        }
    }
}
