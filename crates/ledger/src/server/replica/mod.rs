//! The thread that participates in the replicated log.
//!
//! It performs all disk I/O. A leader whose disk hangs therefore stops sending heartbeats and
//! loses the leadership.

pub mod accounts;
mod answers;
pub mod clock;
mod held;
mod housekeeping;
mod input_memory;
mod opening;
pub mod origins;
pub mod pending;
mod proposals;
mod publication;
mod request;
pub mod sealing;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupId, GroupMessage, Node, NodeEvent, NodeSettings,
    ReplicaId,
};
use calicohoist_routing::Topology;
use calicohoist_telemetry::metrics::Gauge;
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;
use crossbeam::channel::{Receiver, RecvTimeoutError, bounded};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::{mpsc, oneshot, watch};

use clock::LeaderClock;
pub use held::HeldBytes;
use input_memory::InputMemory;
pub use opening::OpeningReplica;
use origins::OriginQuota;
use pending::{Outcome, PendingTable};
use proposals::is_overdue;
pub use request::{GroupStatus, ReplicaHandle, Request, Response, ResponseCallback};
use request::{Input, QueuedInput};
use sealing::SealSchedule;

use super::crashes::CrashBoard;
use super::duties::{self, Duty};
use super::limits::TenantLimiter;
use super::memory::MemoryPlan;
use super::peers::{OutgoingMessages, PeerInfo};
use super::preference::{LeaderPreference, ZoneLoads};
use super::slow_disk::SlowDiskDetector;
use super::turns::TurnDispatcher;
use super::{LedgerSettings, machine_number};
use crate::commands::Output;
use crate::state::LedgerState;

/// The only Raft group.
const GROUP: GroupId = GroupId(0);
const INPUT_QUEUE_CAPACITY: usize = 8_192;
/// Maximum number of inputs handled before a flush.
const MAX_BATCH: usize = 512;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a leader advances the clock of the state.
pub const CLOCK_INTERVAL: Duration = Duration::from_secs(5);
const ENTRIES_PER_SNAPSHOT: u64 = 8_000;

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
    /// Charges in all accounts, counted with each step of the clock.
    charges: usize,
    known_machines_updated_at: Instant,
    sealing: SealSchedule,
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
            charges: 0,
            known_machines_updated_at: started_at,
            sealing: SealSchedule::new(&plan),
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
                self.count_charges();
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
