//! Virtual clock, event queue and the nodes of the simulated fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_emulator::PlatformModel;
use calicohoist_gateway::core::message::{Action, CallerEvent, Input, Ticket};
use calicohoist_gateway::{Gateway, GatewaySettings};
use calicohoist_replication::{DiskLog, NodeSettings, RaftSettings, ReplicaId};
use calicohoist_store::{GroupMap, NodeRef, StoreAction, StoreReply, StoreService};
use calicohoist_types::{EngineId, Incarnation, Moment, NodeId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::backends::{SimEngine, SimReplica};
use super::caller::Clients;
use super::cost::CostTracker;
use super::disk::SimDisk;
use super::fault::Fault;
use super::frame::{Actor, ClientEvent, ClientRequest, Frame, Generation};
use super::network::{Network, zone_name};
use crate::deployment::Deployment;
use crate::history::{CallResult, History};

/// Number of replication groups that store programs.
pub const PROGRAM_GROUPS: u32 = 2;
/// Interval of timer ticks at store machines and gateways.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which gateways read the platform's list of machines.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a sync on a healthy and on a slow disk.
const SYNC_DURATION: Duration = Duration::from_micros(800);
const SLOW_SYNC_DURATION: Duration = Duration::from_millis(150);
/// Time after which a client abandons a request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Unix time of the zero of virtual time, in milliseconds.
const EPOCH_MILLIS: u64 = 1_700_000_000_000;
/// Virtual time at the start; not zero, so that earlier moments can be represented.
pub const START: Moment = Moment::from_micros(10_000_000);

/// An event of the simulation.
#[derive(Debug)]
pub enum SimEvent {
    /// A frame arrives at a node.
    Deliver(Actor, Box<Frame>),
    /// A paused node resumes.
    Resume(Actor),
    /// The periodic timer of a node fires.
    Tick(Actor, Generation),
    /// A store machine completes its sync.
    SyncDone(usize, Generation),
    /// A step of an engine ends.
    EngineStep(usize, Generation),
    /// A replica completes a job.
    JobDone(usize, Generation, Box<Frame>),
    /// A gateway reads the platform's list of machines.
    ReadPlatform(usize, Generation),
    /// A client request times out.
    ClientTimeout(Ticket),
    /// A timer of a client fires.
    ClientTimer(super::caller::ClientTimer),
    /// A fault is injected.
    InjectFault(Fault),
    /// A fault heals.
    HealFault(Fault),
}

/// An entry of the event queue, ordered by time and then by insertion.
#[derive(Debug)]
struct Scheduled {
    at: Moment,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A store machine.
pub struct SimStore {
    pub(super) service: Option<StoreService>,
    pub(super) log: Option<DiskLog<SimDisk>>,
    /// Holds the disk while the machine is down.
    pub(super) disk: SimDisk,
    pub(super) id: ReplicaId,
    pub(super) generation: Generation,
    pub(super) frozen_until: Moment,
    pub(super) sync: Duration,
    inbox: VecDeque<Frame>,
    /// Actions to perform once the current sync completes.
    pending_actions: Option<Vec<StoreAction>>,
    clients: BTreeMap<u64, (usize, Generation)>,
    next_client: u64,
}

/// A gateway.
pub struct SimGateway {
    pub(super) core: Option<Gateway>,
    pub(super) name: NodeId,
    pub(super) generation: Generation,
    pub(super) frozen_until: Moment,
    pub(super) stop_requested_at: Option<Moment>,
    /// Time between a graceful shutdown and the restart.
    pub(super) downtime: Duration,
}

/// Sizes of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Number of store machines.
    pub stores: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines that serve the model.
    pub engines: usize,
    /// Number of service replicas.
    pub replicas: usize,
    /// Number of log entries after which a group writes a snapshot.
    pub entries_per_snapshot: u64,
}

/// State of a simulation.
pub struct World {
    pub(super) now: Moment,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_sequence: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) network: Network,
    pub(super) stores: Vec<SimStore>,
    pub(super) gateways: Vec<SimGateway>,
    pub(super) engines: Vec<SimEngine>,
    pub(super) replicas: Vec<SimReplica>,
    pub(super) platform: PlatformModel,
    pub(super) clients: Clients,
    pub(super) history: History,
    pub(super) deployment: Deployment,
    pub(super) lose_replies_until: Moment,
    pub(super) lose_reports_until: Moment,
    pub(super) isolated_leaders: VecDeque<usize>,
    pub(super) faults: u64,
    deferred: BTreeMap<Actor, Vec<Frame>>,
    pub(super) events: u64,
    /// Records costs per node when set.
    pub(crate) cost_tracker: Option<CostTracker>,
    entries_per_snapshot: u64,
    digest: blake3::Hasher,
}

impl World {
    /// Creates a fleet and starts all its nodes.
    pub fn new(deployment: Deployment, size: WorldSize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let engines = super::backends::engines(deployment, size.engines, &mut random);
        let replicas = super::backends::replicas(deployment, size.replicas, &mut random);
        let names = engines.iter().map(|engine| engine.name.as_str().to_owned());
        let platform = PlatformModel::new(names.collect(), Duration::from_secs(1));
        let mut world = Self {
            now: START,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            random,
            network: Network::new(deployment),
            stores: Vec::new(),
            gateways: Vec::new(),
            engines,
            replicas,
            platform,
            clients: Clients::default(),
            history: History::default(),
            deployment,
            lose_replies_until: Moment::ZERO,
            lose_reports_until: Moment::ZERO,
            isolated_leaders: VecDeque::new(),
            faults: 0,
            deferred: BTreeMap::new(),
            events: 0,
            cost_tracker: None,
            entries_per_snapshot: size.entries_per_snapshot,
            digest: blake3::Hasher::new(),
        };
        for index in 0..size.stores {
            world.stores.push(SimStore::new(index));
        }
        for index in 0..size.stores {
            world.start_store(index, size.stores);
        }
        for index in 0..size.gateways {
            world.gateways.push(SimGateway::new(index));
            world.start_gateway(index);
        }
        world
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Moment, event: SimEvent) {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.queue.push(Reverse(Scheduled { at, sequence, event }));
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_in(&mut self, after: Duration, event: SimEvent) {
        self.schedule(self.now + after, event);
    }

    /// Processes the next event; returns `false` if none is due by `end`.
    pub fn advance(&mut self, end: Moment) -> bool {
        let is_due = self.queue.peek().is_some_and(|Reverse(next)| next.at <= end);
        if !is_due {
            return false;
        }
        let Some(Reverse(next)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(next.at);
        self.events += 1;
        self.update_digest(&next);
        self.handle_event(next.event);
        true
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Processes all events of a period and advances the clock to its end.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.advance(end) {}
        self.now = end;
    }

    /// Returns the number of answered model calls and their average prompt tokens.
    pub fn answered_model_calls(&self) -> (usize, f64) {
        let answered = self.history.tries.iter().filter_map(|call| match &call.end {
            CallResult::Answered { usage, .. } if usage.prompt_tokens > 0 => {
                Some(usage.prompt_tokens)
            }
            _ => None,
        });
        let prompts: Vec<u64> = answered.collect();
        let sum: u64 = prompts.iter().sum();
        (prompts.len(), sum as f64 / prompts.len().max(1) as f64)
    }

    /// Returns a digest of all processed events and of `history`.
    pub fn digest_with(&self, history: &History) -> String {
        let mut digest = self.digest.clone();
        digest.update(format!("{history:?}").as_bytes());
        digest.finalize().to_hex().to_string()
    }

    fn update_digest(&mut self, next: &Scheduled) {
        self.digest.update(&next.at.as_micros().to_le_bytes());
        let label = match &next.event {
            SimEvent::Deliver(to, frame) => format!("{to:?}{:?}", std::mem::discriminant(&**frame)),
            SimEvent::Tick(actor, generation) => format!("tick{actor:?}{generation}"),
            SimEvent::ClientTimeout(ticket) => format!("timeout{ticket}"),
            other => format!("{:?}", std::mem::discriminant(other)),
        };
        self.digest.update(label.as_bytes());
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver(to, frame) => self.deliver(to, *frame),
            SimEvent::Resume(actor) => self.resume(actor),
            SimEvent::Tick(actor, generation) => self.tick(actor, generation),
            SimEvent::SyncDone(store, generation) => self.finish_sync(store, generation),
            SimEvent::EngineStep(engine, generation) => self.engine_step(engine, generation),
            SimEvent::JobDone(replica, generation, frame) => {
                self.job_done(replica, generation, *frame)
            }
            SimEvent::ReadPlatform(gateway, generation) => self.read_platform(gateway, generation),
            SimEvent::ClientTimeout(ticket) => self.handle_client_timeout(ticket),
            SimEvent::ClientTimer(timer) => self.handle_client_timer(timer),
            SimEvent::InjectFault(fault) => self.inject_fault(fault),
            SimEvent::HealFault(fault) => self.heal_fault(fault),
        }
    }

    fn deliver(&mut self, to: Actor, frame: Frame) {
        let is_report =
            matches!(frame, Frame::Listing { .. } | Frame::Released { .. } | Frame::Report { .. });
        if is_report && self.now < self.lose_reports_until {
            return;
        }
        let began = Instant::now();
        self.handle_frame(to, frame);
        self.record_busy(to, began);
    }

    fn handle_frame(&mut self, to: Actor, frame: Frame) {
        match to {
            Actor::Store(index) => self.store_input(index, frame),
            Actor::Gateway(index) => self.gateway_input(index, frame),
            Actor::Engine(index) => self.engine_input(index, frame),
            Actor::Replica(index) => self.replica_input(index, frame),
            Actor::Client => {
                if let Frame::ClientEvent { ticket, event } = frame {
                    self.handle_client_event(ticket, event);
                }
            }
            Actor::Platform => {}
        }
    }

    /// Sends a frame that may be lost, duplicated or reordered.
    pub(super) fn send(&mut self, from: Actor, to: Actor, frame: Frame) {
        let began = Instant::now();
        if let Some(cost_tracker) = &mut self.cost_tracker {
            cost_tracker.record_frame(from, to, &frame);
        }
        let arrivals = self.network.arrivals(self.now, from, to, &mut self.random);
        for at in arrivals {
            self.schedule(at, SimEvent::Deliver(to, Box::new(frame.clone())));
        }
        if let Some(cost_tracker) = &mut self.cost_tracker {
            cost_tracker.record_network(began.elapsed());
        }
    }

    /// Sends a frame on an ordered connection; returns `false` if there is no path.
    pub(super) fn send_ordered(&mut self, from: Actor, to: Actor, frame: Frame) -> bool {
        match self.network.ordered_arrival(self.now, from, to, &mut self.random) {
            Some(at) => {
                self.schedule(at, SimEvent::Deliver(to, Box::new(frame)));
                true
            }
            None => false,
        }
    }

    /// Holds back a frame for a paused node until it resumes; the order is kept.
    fn defer(&mut self, to: Actor, until: Moment, frame: Frame) {
        let deferred = self.deferred.entry(to).or_default();
        deferred.push(frame);
        if deferred.len() == 1 {
            self.schedule(until, SimEvent::Resume(to));
        }
    }

    fn resume(&mut self, actor: Actor) {
        let frozen_until = match actor {
            Actor::Store(index) => self.stores[index].frozen_until,
            Actor::Gateway(index) => self.gateways[index].frozen_until,
            _ => Moment::ZERO,
        };
        if frozen_until > self.now {
            return self.schedule(frozen_until, SimEvent::Resume(actor));
        }
        for frame in self.deferred.remove(&actor).unwrap_or_default() {
            self.deliver(actor, frame);
        }
    }

    fn tick(&mut self, actor: Actor, generation: Generation) {
        let began = Instant::now();
        self.tick_node(actor, generation);
        self.record_busy(actor, began);
    }

    fn record_busy(&mut self, actor: Actor, began: Instant) {
        if let Some(cost_tracker) = &mut self.cost_tracker {
            cost_tracker.record_busy(actor, began.elapsed());
        }
    }

    fn tick_node(&mut self, actor: Actor, generation: Generation) {
        match actor {
            Actor::Store(index) if self.stores[index].generation == generation => {
                let frozen_until = self.stores[index].frozen_until;
                if frozen_until > self.now {
                    return self.schedule(frozen_until, SimEvent::Tick(actor, generation));
                }
                self.schedule_in(TICK_INTERVAL, SimEvent::Tick(actor, generation));
                self.run_store(index);
            }
            Actor::Gateway(index) if self.gateways[index].generation == generation => {
                let frozen_until = self.gateways[index].frozen_until;
                if frozen_until > self.now {
                    return self.schedule(frozen_until, SimEvent::Tick(actor, generation));
                }
                self.schedule_in(TICK_INTERVAL, SimEvent::Tick(actor, generation));
                let now = self.now;
                let actions = self.gateways[index]
                    .core
                    .as_mut()
                    .map(|core| core.tick(now))
                    .unwrap_or_default();
                self.perform_all(index, actions);
            }
            _ => {}
        }
    }

    // Store machines.

    pub(super) fn start_store(&mut self, index: usize, machines: usize) {
        let has_started = self.now > START;
        let store = &mut self.stores[index];
        store.generation += 1;
        store.inbox.clear();
        store.pending_actions = None;
        store.frozen_until = Moment::ZERO;
        let disk = std::mem::take(&mut store.disk);
        let Ok((mut log, recovered)) = DiskLog::open(disk) else {
            return;
        };
        let identity = recovered.disk.unwrap_or_else(|| {
            // The production driver chooses the identity after asking the other machines.
            let disk = if has_started { self.random.random_range(1..=u32::MAX) } else { 0 };
            let _ = log.write_identity(disk, &[]);
            disk
        });
        store.id = ReplicaId { machine: index as u32 + 1, disk: identity };
        let settings = NodeSettings {
            raft: RaftSettings::default(),
            entries_per_snapshot: self.entries_per_snapshot,
            command_bytes_per_snapshot: NodeSettings::default().command_bytes_per_snapshot,
            log_rewrite_bytes: 256 << 10,
            seed: self.random.random(),
            contacts: Vec::new(),
        };
        let numbers: Vec<u32> = (1..=machines as u32).collect();
        let groups = GroupMap::new(PROGRAM_GROUPS);
        store.service =
            Some(StoreService::new(store.id, settings, &numbers, groups, recovered, self.now));
        store.log = Some(log);
        let generation = store.generation;
        self.schedule_in(TICK_INTERVAL, SimEvent::Tick(Actor::Store(index), generation));
    }

    /// Kills a store machine; at most `kept_bytes` of the unsynced data of each file remain.
    pub(super) fn kill_store(&mut self, index: usize, kept_bytes: usize) {
        self.deferred.remove(&Actor::Store(index));
        let store = &mut self.stores[index];
        store.generation += 1;
        store.service = None;
        store.frozen_until = Moment::ZERO;
        store.inbox.clear();
        store.pending_actions = None;
        if let Some(log) = store.log.take() {
            store.disk = log.into_disk();
        }
        store.disk.crash(kept_bytes);
    }

    fn store_input(&mut self, index: usize, frame: Frame) {
        let store = &mut self.stores[index];
        if store.service.is_none() {
            return;
        }
        if store.frozen_until > self.now || self.deferred.contains_key(&Actor::Store(index)) {
            let until = store.frozen_until;
            return self.defer(Actor::Store(index), until, frame);
        }
        store.inbox.push_back(frame);
        if store.pending_actions.is_none() {
            self.run_store(index);
        }
    }

    /// Processes the inbox and starts a sync.
    fn run_store(&mut self, index: usize) {
        let now = self.now;
        let unix_millis = EPOCH_MILLIS + now.as_millis();
        let store = &mut self.stores[index];
        if store.pending_actions.is_some() {
            return;
        }
        let (Some(service), Some(log)) = (&mut store.service, &mut store.log) else {
            return;
        };
        service.tick(now, unix_millis);
        for frame in std::mem::take(&mut store.inbox) {
            match frame {
                Frame::StorePeer { from, messages } => service.receive(now, from, messages),
                Frame::StoreRequest { gateway, generation, id, request } => {
                    store.next_client += 1;
                    store.clients.insert(store.next_client, (gateway, generation));
                    service.request(now, unix_millis, store.next_client, id, *request);
                }
                _ => {}
            }
        }
        match service.flush(now, log) {
            Ok(actions) => {
                let syncs = log.disk_mut().take_syncs();
                store.pending_actions = Some(actions);
                let (sync, generation) = (store.sync, store.generation);
                let busy = sync.mul_f64(syncs as f64);
                self.schedule_in(busy, SimEvent::SyncDone(index, generation));
            }
            // A machine that cannot write stops; its peers continue.
            Err(_) => self.kill_store(index, 0),
        }
    }

    fn finish_sync(&mut self, index: usize, generation: Generation) {
        let store = &mut self.stores[index];
        if store.generation != generation {
            return;
        }
        if store.frozen_until > self.now {
            let until = store.frozen_until;
            return self.schedule(until, SimEvent::SyncDone(index, generation));
        }
        if let Some(log) = &mut store.log {
            log.disk_mut().finish_syncs();
        }
        let actions = store.pending_actions.take().unwrap_or_default();
        let from = store.id;
        for action in actions {
            match action {
                StoreAction::SendPeer { to, messages } => {
                    let to = Actor::Store(to.machine as usize - 1);
                    self.send(Actor::Store(index), to, Frame::StorePeer { from, messages });
                }
                StoreAction::Reply { client, id, reply } => self.reply(index, client, id, reply),
            }
        }
        if !self.stores[index].inbox.is_empty() {
            self.run_store(index);
        }
    }

    fn reply(&mut self, store: usize, client: u64, id: u64, reply: StoreReply) {
        let Some((gateway, generation)) = self.stores[store].clients.remove(&client) else {
            return;
        };
        if self.now < self.lose_replies_until && self.random.random_bool(0.7) {
            return;
        }
        let frame = Frame::StoreReply { generation, id, reply };
        self.send(Actor::Store(store), Actor::Gateway(gateway), frame);
    }

    // Gateways.

    pub(super) fn start_gateway(&mut self, index: usize) {
        let seed = self.random.random();
        let now = self.now;
        let stores = self.stores.len() as u32;
        let gateway = &mut self.gateways[index];
        gateway.generation += 1;
        gateway.frozen_until = Moment::ZERO;
        gateway.stop_requested_at = None;
        let settings = GatewaySettings {
            node: NodeRef {
                node: gateway.name.clone(),
                incarnation: Incarnation(gateway.generation),
            },
            peer_address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            zone: zone_name(index),
            store_machines: (1..=stores).collect(),
            program_groups: PROGRAM_GROUPS,
            queue_timeout: Duration::from_secs(15),
            gap_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(3),
            duplicate_timeout: Duration::from_secs(15),
            max_calls: 200,
            max_waiting_per_engine: 40,
            max_attempts: 4,
            weights: Default::default(),
            has_platform: true,
            seed,
        };
        gateway.core = Some(Gateway::new(settings, now));
        let generation = gateway.generation;
        self.schedule_in(TICK_INTERVAL, SimEvent::Tick(Actor::Gateway(index), generation));
        self.schedule_in(TICK_INTERVAL, SimEvent::ReadPlatform(index, generation));
    }

    /// Kills a gateway, which breaks its client connections.
    pub(super) fn kill_gateway(&mut self, index: usize) {
        // Frames received while the process was paused are lost with it.
        self.deferred.remove(&Actor::Gateway(index));
        let gateway = &mut self.gateways[index];
        gateway.generation += 1;
        gateway.core = None;
        gateway.frozen_until = Moment::ZERO;
        for ticket in self.clients.open_requests_at(index) {
            // On a broken connection the client only notices its own timeout.
            let is_open = self.clients.is_open(ticket);
            let event = if is_open { ClientEvent::Disconnected } else { ClientEvent::TimedOut };
            let frame = Frame::ClientEvent { ticket, event };
            if !self.send_ordered(Actor::Gateway(index), Actor::Client, frame) {
                self.clients.break_connection(ticket);
            }
        }
    }

    fn gateway_input(&mut self, index: usize, frame: Frame) {
        let gateway = &self.gateways[index];
        if gateway.frozen_until > self.now || self.deferred.contains_key(&Actor::Gateway(index)) {
            let until = gateway.frozen_until;
            return self.defer(Actor::Gateway(index), until, frame);
        }
        if gateway.core.is_none() {
            if let Frame::Client { ticket, request } = frame
                && !matches!(request, ClientRequest::Disconnect)
            {
                let frame = Frame::ClientEvent { ticket, event: ClientEvent::ConnectionRefused };
                self.send_ordered(Actor::Gateway(index), Actor::Client, frame);
            }
            return;
        }
        let Some(input) = self.gateway_input_of(index, frame) else {
            return;
        };
        let now = self.now;
        let actions = self.gateways[index]
            .core
            .as_mut()
            .map(|core| core.step(now, input))
            .unwrap_or_default();
        self.perform_all(index, actions);
    }

    /// Converts a frame to a gateway input; `None` if it is addressed to an earlier generation.
    fn gateway_input_of(&self, index: usize, frame: Frame) -> Option<Input> {
        let current = self.gateways[index].generation;
        let engine_name = |engine: usize| self.engines[engine].name.clone();
        match frame {
            Frame::StoreReply { generation, id, reply } if generation == current => {
                Some(Input::StoreReply { id, reply })
            }
            Frame::GatewayPeer { from, message } => Some(Input::Peer { from, message }),
            Frame::Backend { generation, attempt, event } if generation == current => {
                Some(Input::Backend(attempt, event))
            }
            Frame::Released { generation, engine, program, confirmed } if generation == current => {
                Some(Input::CacheReleased { engine: engine_name(engine), program, confirmed })
            }
            Frame::Listing { generation, engine, programs } if generation == current => {
                Some(Input::CacheListing { engine: engine_name(engine), programs })
            }
            Frame::Report { generation, engine, report } if generation == current => {
                Some(Input::EngineProbe { engine: engine_name(engine), report })
            }
            Frame::Machines { generation, asked_at, list } if generation == current => {
                Some(Input::Platform { asked_at, list: Some(list) })
            }
            Frame::Client { ticket, request } => Some(match request {
                ClientRequest::Call(call) => Input::Call(ticket, call),
                ClientRequest::Attach { tenant, call, offset } => {
                    Input::Attach { ticket, tenant, call, offset }
                }
                ClientRequest::Store(request) => Input::StoreRequest(ticket, request),
                ClientRequest::Disconnect => Input::CallerDisconnected(ticket),
            }),
            _ => None,
        }
    }

    pub(super) fn perform_all(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let from = Actor::Gateway(index);
        let generation = self.gateways[index].generation;
        match action {
            Action::ToStore { machine, id, request } => {
                let frame = Frame::StoreRequest { gateway: index, generation, id, request };
                self.send(from, Actor::Store(machine as usize - 1), frame);
            }
            Action::ToPeer { to, message, .. } => {
                let own = self.gateways[index].name.clone();
                let target = self.gateways.iter().position(|gateway| gateway.name == to);
                if let Some(target) = target {
                    let frame = Frame::GatewayPeer { from: own, message };
                    self.send(from, Actor::Gateway(target), frame);
                }
            }
            Action::ToCaller(ticket, event) => self.send_client_event(index, ticket, event),
            Action::RunOnEngine(order) => {
                let engine = self.engine_at(&order.engine);
                let frame = Frame::EngineRun { gateway: index, generation, order };
                self.send_ordered(from, Actor::Engine(engine), frame);
            }
            Action::CancelOnEngine { attempt, address } => {
                let engine = usize::from(address.port()) % 1_000;
                self.send(from, Actor::Engine(engine), Frame::EngineCancel(attempt));
            }
            Action::RunOnService(order) => {
                let replica = usize::from(order.address.port()) % 1_000;
                let frame = Frame::ServiceRun { gateway: index, generation, order };
                self.send_ordered(from, Actor::Replica(replica), frame);
            }
            Action::ReleaseCache { engine, program, .. } => {
                let engine = self.engine_at(&engine);
                let frame = Frame::EngineRelease { gateway: index, generation, program };
                self.send(from, Actor::Engine(engine), frame);
            }
            Action::ListCache { engine, .. } => {
                let engine = self.engine_at(&engine);
                self.send(
                    from,
                    Actor::Engine(engine),
                    Frame::EngineList { gateway: index, generation },
                );
            }
            Action::ProbeEngine { engine, .. } => {
                let engine = self.engine_at(&engine);
                let frame = Frame::EngineProbe { gateway: index, generation };
                self.send(from, Actor::Engine(engine), frame);
            }
            Action::Stopped { interrupted_calls } => {
                self.finish_gateway_stop(index, interrupted_calls);
            }
        }
    }

    fn engine_at(&self, engine: &EngineId) -> usize {
        let found = self.engines.iter().position(|candidate| candidate.name == *engine);
        found.unwrap_or_default()
    }

    fn send_client_event(&mut self, gateway: usize, ticket: Ticket, event: CallerEvent) {
        if !self.clients.is_open(ticket) {
            return;
        }
        let frame = Frame::ClientEvent { ticket, event: ClientEvent::FromGateway(event) };
        let sent = self.send_ordered(Actor::Gateway(gateway), Actor::Client, frame);
        if !sent {
            // An ordered connection that lost a frame delivers nothing more.
            self.clients.break_connection(ticket);
        }
    }

    fn read_platform(&mut self, index: usize, generation: Generation) {
        if self.gateways[index].generation != generation {
            return;
        }
        self.schedule_in(PLATFORM_INTERVAL, SimEvent::ReadPlatform(index, generation));
        let list = self.platform.list(self.now);
        let frame = Frame::Machines { generation, asked_at: self.now, list };
        self.send(Actor::Platform, Actor::Gateway(index), frame);
    }

    // Clients.

    /// Sends a client's request to a gateway.
    pub(super) fn send_client(&mut self, gateway: usize, ticket: Ticket, request: ClientRequest) {
        if !matches!(request, ClientRequest::Disconnect) {
            self.schedule_in(CLIENT_TIMEOUT, SimEvent::ClientTimeout(ticket));
        }
        let frame = Frame::Client { ticket, request };
        let sent = self.send_ordered(Actor::Client, Actor::Gateway(gateway), frame);
        if !sent {
            self.clients.break_connection(ticket);
        }
    }
}

impl SimStore {
    fn new(index: usize) -> Self {
        Self {
            service: None,
            log: None,
            disk: SimDisk::default(),
            id: ReplicaId { machine: index as u32 + 1, disk: 0 },
            generation: 0,
            frozen_until: Moment::ZERO,
            sync: SYNC_DURATION,
            inbox: VecDeque::new(),
            pending_actions: None,
            clients: BTreeMap::new(),
            next_client: 0,
        }
    }

    /// Sets whether the disk is slow.
    pub(super) fn set_slow(&mut self, slow: bool) {
        self.sync = if slow { SLOW_SYNC_DURATION } else { SYNC_DURATION };
    }
}

impl SimGateway {
    fn new(index: usize) -> Self {
        Self {
            core: None,
            name: NodeId::new(format!("gateway-{index}")),
            generation: 0,
            frozen_until: Moment::ZERO,
            stop_requested_at: None,
            downtime: Duration::ZERO,
        }
    }
}
