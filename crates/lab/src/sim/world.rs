//! The clock, the queue of events, and all parts of the fleet.

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

use super::account::Account;
use super::backends::{EnginePart, ReplicaPart};
use super::caller::Clients;
use super::disk::SimDisk;
use super::fault::Fault;
use super::frame::{Actor, ClientNews, ClientRequest, Frame, Start};
use super::network::{Network, zone_name};
use crate::deployment::Deployment;
use crate::history::{History, TryEnd};

/// Groups that hold programs.
pub const PROGRAM_GROUPS: u32 = 2;
/// How often time passes for a store machine or gateway.
const TICK: Duration = Duration::from_millis(20);
/// Time between readings of the platform's list.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);
/// Time of one sync of a healthy disk, and of a slow one.
const SYNC: Duration = Duration::from_micros(800);
const SLOW_SYNC: Duration = Duration::from_millis(150);
/// Silence after which a client hangs up.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Unix time at which simulations begin, in milliseconds.
const EPOCH_MILLIS: u64 = 1_700_000_000_000;
/// Virtual time starts here, so that moments before the start exist.
pub const START: Moment = Moment::from_micros(10_000_000);

/// Something that will happen.
#[derive(Debug)]
pub enum Happening {
    /// A frame arrives.
    Arrive(Actor, Box<Frame>),
    /// A part that stood still goes on.
    Thaw(Actor),
    /// Time passes for a part.
    Tick(Actor, Start),
    /// A store machine's sync is done.
    Synced(usize, Start),
    /// A step of an engine ends.
    EngineStep(usize, Start),
    /// A job of a replica is executed.
    JobDone(usize, Start, Box<Frame>),
    /// A gateway reads the platform's list.
    ReadPlatform(usize, Start),
    /// A client's patience with a request ends.
    ClientTimeout(Ticket),
    /// A client does what it planned.
    ClientWake(super::caller::Wake),
    /// A fault begins.
    FaultBegins(Fault),
    /// A fault ends.
    FaultEnds(Fault),
}

/// One entry of the queue.
#[derive(Debug)]
struct Scheduled {
    at: Moment,
    number: u64,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A store machine.
pub struct StorePart {
    pub(super) service: Option<StoreService>,
    pub(super) log: Option<DiskLog<SimDisk>>,
    /// The disk while the machine is down.
    pub(super) disk: SimDisk,
    pub(super) id: ReplicaId,
    pub(super) start: Start,
    pub(super) frozen_until: Moment,
    pub(super) sync: Duration,
    inbox: VecDeque<Frame>,
    /// What may be said once the sync is done.
    waiting: Option<Vec<StoreAction>>,
    clients: BTreeMap<u64, (usize, Start)>,
    next_client: u64,
}

/// A gateway.
pub struct GatewayPart {
    pub(super) core: Option<Gateway>,
    pub(super) name: NodeId,
    pub(super) start: Start,
    pub(super) frozen_until: Moment,
    pub(super) stopping_since: Option<Moment>,
    /// How long it stays away after its planned stop.
    pub(super) away: Duration,
}

/// Sizes of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Store machines.
    pub stores: usize,
    /// Gateways.
    pub gateways: usize,
    /// Engines that serve the model.
    pub engines: usize,
    /// Replicas.
    pub replicas: usize,
    /// Entries after which a group writes a snapshot.
    pub entries_per_snapshot: u64,
}

/// Everything.
pub struct World {
    pub(super) now: Moment,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_number: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) network: Network,
    pub(super) stores: Vec<StorePart>,
    pub(super) gateways: Vec<GatewayPart>,
    pub(super) engines: Vec<EnginePart>,
    pub(super) replicas: Vec<ReplicaPart>,
    pub(super) platform: PlatformModel,
    pub(super) clients: Clients,
    pub(super) history: History,
    pub(super) deployment: Deployment,
    pub(super) lose_replies_until: Moment,
    pub(super) lose_reports_until: Moment,
    pub(super) isolated_leaders: VecDeque<usize>,
    pub(super) faults: u64,
    parked: BTreeMap<Actor, Vec<Frame>>,
    pub(super) events: u64,
    /// What each part costs, when a run asks for it.
    pub(crate) account: Option<Account>,
    entries_per_snapshot: u64,
    digest: blake3::Hasher,
}

impl World {
    /// A fleet at its first start.
    pub fn new(deployment: Deployment, size: WorldSize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let engines = super::backends::engines(deployment, size.engines, &mut random);
        let replicas = super::backends::replicas(deployment, size.replicas, &mut random);
        let names = engines.iter().map(|engine| engine.name.as_str().to_owned());
        let platform = PlatformModel::new(names.collect(), Duration::from_secs(1));
        let mut world = Self {
            now: START,
            queue: BinaryHeap::new(),
            next_number: 0,
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
            parked: BTreeMap::new(),
            events: 0,
            account: None,
            entries_per_snapshot: size.entries_per_snapshot,
            digest: blake3::Hasher::new(),
        };
        for index in 0..size.stores {
            world.stores.push(StorePart::new(index));
        }
        for index in 0..size.stores {
            world.start_store(index, size.stores);
        }
        for index in 0..size.gateways {
            world.gateways.push(GatewayPart::new(index));
            world.start_gateway(index);
        }
        world
    }

    /// Plans something.
    pub(super) fn plan(&mut self, at: Moment, happening: Happening) {
        self.next_number += 1;
        let number = self.next_number;
        self.queue.push(Reverse(Scheduled { at, number, happening }));
    }

    /// Plans something after a time.
    pub(super) fn plan_in(&mut self, after: Duration, happening: Happening) {
        self.plan(self.now + after, happening);
    }

    /// Lets the next thing happen; `false` when there is none before `end`.
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
        self.note(&next);
        self.happen(next.happening);
        true
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Lets everything happen that is due within a time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.advance(end) {}
        self.now = end;
    }

    /// Model calls that were answered, and the average tokens of their prompts.
    pub fn answered_model_calls(&self) -> (usize, f64) {
        let answered = self.history.tries.iter().filter_map(|call| match &call.end {
            TryEnd::Answered { usage, .. } if usage.prompt_tokens > 0 => Some(usage.prompt_tokens),
            _ => None,
        });
        let prompts: Vec<u64> = answered.collect();
        let sum: u64 = prompts.iter().sum();
        (prompts.len(), sum as f64 / prompts.len().max(1) as f64)
    }

    /// Digest of everything that happened, and of what was recorded of it.
    pub fn digest_with(&self, history: &History) -> String {
        let mut digest = self.digest.clone();
        digest.update(format!("{history:?}").as_bytes());
        digest.finalize().to_hex().to_string()
    }

    fn note(&mut self, next: &Scheduled) {
        self.digest.update(&next.at.as_micros().to_le_bytes());
        let what = match &next.happening {
            Happening::Arrive(to, frame) => format!("{to:?}{:?}", std::mem::discriminant(&**frame)),
            Happening::Tick(actor, start) => format!("tick{actor:?}{start}"),
            Happening::ClientTimeout(ticket) => format!("timeout{ticket}"),
            other => format!("{:?}", std::mem::discriminant(other)),
        };
        self.digest.update(what.as_bytes());
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(to, frame) => self.arrive(to, *frame),
            Happening::Thaw(actor) => self.thaw(actor),
            Happening::Tick(actor, start) => self.tick(actor, start),
            Happening::Synced(store, start) => self.synced(store, start),
            Happening::EngineStep(engine, start) => self.engine_step(engine, start),
            Happening::JobDone(replica, start, frame) => self.job_done(replica, start, *frame),
            Happening::ReadPlatform(gateway, start) => self.read_platform(gateway, start),
            Happening::ClientTimeout(ticket) => self.client_timeout(ticket),
            Happening::ClientWake(wake) => self.client_wake(wake),
            Happening::FaultBegins(fault) => self.begin_fault(fault),
            Happening::FaultEnds(fault) => self.end_fault(fault),
        }
    }

    fn arrive(&mut self, to: Actor, frame: Frame) {
        let is_report =
            matches!(frame, Frame::Listing { .. } | Frame::Released { .. } | Frame::Report { .. });
        if is_report && self.now < self.lose_reports_until {
            return;
        }
        let begin = Instant::now();
        self.arrive_at(to, frame);
        self.note_busy(to, begin);
    }

    fn arrive_at(&mut self, to: Actor, frame: Frame) {
        match to {
            Actor::Store(index) => self.store_input(index, frame),
            Actor::Gateway(index) => self.gateway_input(index, frame),
            Actor::Engine(index) => self.engine_input(index, frame),
            Actor::Replica(index) => self.replica_input(index, frame),
            Actor::Client => {
                if let Frame::News { ticket, news } = frame {
                    self.client_news(ticket, news);
                }
            }
            Actor::Platform => {}
        }
    }

    /// Sends a frame that may be lost, repeated or overtaken.
    pub(super) fn send(&mut self, from: Actor, to: Actor, frame: Frame) {
        let begin = Instant::now();
        if let Some(account) = &mut self.account {
            account.note_frame(from, to, &frame);
        }
        let arrivals = self.network.arrivals(self.now, from, to, &mut self.random);
        for at in arrivals {
            self.plan(at, Happening::Arrive(to, Box::new(frame.clone())));
        }
        if let Some(account) = &mut self.account {
            account.note_network(begin.elapsed());
        }
    }

    /// Sends a frame on a connection that keeps its order; `false` when it is cut.
    pub(super) fn send_ordered(&mut self, from: Actor, to: Actor, frame: Frame) -> bool {
        match self.network.ordered_arrival(self.now, from, to, &mut self.random) {
            Some(at) => {
                self.plan(at, Happening::Arrive(to, Box::new(frame)));
                true
            }
            None => false,
        }
    }

    /// A part stands still: it will see this later, in the same order.
    fn park(&mut self, to: Actor, until: Moment, frame: Frame) {
        let parked = self.parked.entry(to).or_default();
        parked.push(frame);
        if parked.len() == 1 {
            self.plan(until, Happening::Thaw(to));
        }
    }

    fn thaw(&mut self, actor: Actor) {
        let frozen_until = match actor {
            Actor::Store(index) => self.stores[index].frozen_until,
            Actor::Gateway(index) => self.gateways[index].frozen_until,
            _ => Moment::ZERO,
        };
        if frozen_until > self.now {
            return self.plan(frozen_until, Happening::Thaw(actor));
        }
        for frame in self.parked.remove(&actor).unwrap_or_default() {
            self.arrive(actor, frame);
        }
    }

    fn tick(&mut self, actor: Actor, start: Start) {
        let begin = Instant::now();
        self.tick_part(actor, start);
        self.note_busy(actor, begin);
    }

    fn note_busy(&mut self, actor: Actor, begin: Instant) {
        if let Some(account) = &mut self.account {
            account.note_busy(actor, begin.elapsed());
        }
    }

    fn tick_part(&mut self, actor: Actor, start: Start) {
        match actor {
            Actor::Store(index) if self.stores[index].start == start => {
                let frozen_until = self.stores[index].frozen_until;
                if frozen_until > self.now {
                    return self.plan(frozen_until, Happening::Tick(actor, start));
                }
                self.plan_in(TICK, Happening::Tick(actor, start));
                self.run_store(index);
            }
            Actor::Gateway(index) if self.gateways[index].start == start => {
                let frozen_until = self.gateways[index].frozen_until;
                if frozen_until > self.now {
                    return self.plan(frozen_until, Happening::Tick(actor, start));
                }
                self.plan_in(TICK, Happening::Tick(actor, start));
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
        let part = &mut self.stores[index];
        part.start += 1;
        part.inbox.clear();
        part.waiting = None;
        part.frozen_until = Moment::ZERO;
        let disk = std::mem::take(&mut part.disk);
        let Ok((mut log, recovered)) = DiskLog::open(disk) else {
            return;
        };
        let identity = recovered.disk.unwrap_or_else(|| {
            // What the driver finds out by asking the other machines.
            let disk = if has_started { self.random.random_range(1..=u32::MAX) } else { 0 };
            let _ = log.write_identity(disk, &[]);
            disk
        });
        part.id = ReplicaId { machine: index as u32 + 1, disk: identity };
        let settings = NodeSettings {
            raft: RaftSettings::default(),
            entries_per_snapshot: self.entries_per_snapshot,
            log_rewrite_bytes: 256 << 10,
            seed: self.random.random(),
            contacts: Vec::new(),
        };
        let numbers: Vec<u32> = (1..=machines as u32).collect();
        let groups = GroupMap::new(PROGRAM_GROUPS);
        part.service =
            Some(StoreService::new(part.id, settings, &numbers, groups, recovered, self.now));
        part.log = Some(log);
        let start = part.start;
        self.plan_in(TICK, Happening::Tick(Actor::Store(index), start));
    }

    /// Stops a store machine without warning. `kept` bytes of what was not
    /// synced remain.
    pub(super) fn kill_store(&mut self, index: usize, kept: usize) {
        self.parked.remove(&Actor::Store(index));
        let part = &mut self.stores[index];
        part.start += 1;
        part.service = None;
        part.frozen_until = Moment::ZERO;
        part.inbox.clear();
        part.waiting = None;
        if let Some(log) = part.log.take() {
            part.disk = log.into_disk();
        }
        part.disk.crash(kept);
    }

    fn store_input(&mut self, index: usize, frame: Frame) {
        let part = &mut self.stores[index];
        if part.service.is_none() {
            return;
        }
        if part.frozen_until > self.now || self.parked.contains_key(&Actor::Store(index)) {
            let until = part.frozen_until;
            return self.park(Actor::Store(index), until, frame);
        }
        part.inbox.push_back(frame);
        if part.waiting.is_none() {
            self.run_store(index);
        }
    }

    /// Takes all that waits, and syncs once.
    fn run_store(&mut self, index: usize) {
        let now = self.now;
        let unix_millis = EPOCH_MILLIS + now.as_millis();
        let part = &mut self.stores[index];
        if part.waiting.is_some() {
            return;
        }
        let (Some(service), Some(log)) = (&mut part.service, &mut part.log) else {
            return;
        };
        service.tick(now, unix_millis);
        for frame in std::mem::take(&mut part.inbox) {
            match frame {
                Frame::StorePeer { from, messages } => service.receive(now, from, messages),
                Frame::StoreRequest { gateway, start, id, request } => {
                    part.next_client += 1;
                    part.clients.insert(part.next_client, (gateway, start));
                    service.request(now, unix_millis, part.next_client, id, *request);
                }
                _ => {}
            }
        }
        match service.flush(now, log) {
            Ok(actions) => {
                let syncs = log.disk_mut().take_syncs();
                part.waiting = Some(actions);
                let (sync, start) = (part.sync, part.start);
                let busy = sync.mul_f64(syncs as f64);
                self.plan_in(busy, Happening::Synced(index, start));
            }
            // The machine stops taking part; its peers carry on.
            Err(_) => self.kill_store(index, 0),
        }
    }

    fn synced(&mut self, index: usize, start: Start) {
        let part = &mut self.stores[index];
        if part.start != start {
            return;
        }
        if part.frozen_until > self.now {
            let until = part.frozen_until;
            return self.plan(until, Happening::Synced(index, start));
        }
        if let Some(log) = &mut part.log {
            log.disk_mut().settle();
        }
        let actions = part.waiting.take().unwrap_or_default();
        let from = part.id;
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
        let Some((gateway, start)) = self.stores[store].clients.remove(&client) else {
            return;
        };
        if self.now < self.lose_replies_until && self.random.random_bool(0.7) {
            return;
        }
        let frame = Frame::StoreReply { start, id, reply };
        self.send(Actor::Store(store), Actor::Gateway(gateway), frame);
    }

    // Gateways.

    pub(super) fn start_gateway(&mut self, index: usize) {
        let seed = self.random.random();
        let now = self.now;
        let stores = self.stores.len() as u32;
        let part = &mut self.gateways[index];
        part.start += 1;
        part.frozen_until = Moment::ZERO;
        part.stopping_since = None;
        let settings = GatewaySettings {
            node: NodeRef { node: part.name.clone(), incarnation: Incarnation(part.start) },
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
        part.core = Some(Gateway::new(settings, now));
        let start = part.start;
        self.plan_in(TICK, Happening::Tick(Actor::Gateway(index), start));
        self.plan_in(TICK, Happening::ReadPlatform(index, start));
    }

    /// Stops a gateway; every connection to it breaks.
    pub(super) fn kill_gateway(&mut self, index: usize) {
        // What had arrived at a process that stood still dies with it.
        self.parked.remove(&Actor::Gateway(index));
        let part = &mut self.gateways[index];
        part.start += 1;
        part.core = None;
        part.frozen_until = Moment::ZERO;
        for ticket in self.clients.tickets_at(index) {
            // A connection that the network broke ends in silence.
            let is_open = self.clients.is_open(ticket);
            let news = if is_open { ClientNews::Cut } else { ClientNews::TimedOut };
            let frame = Frame::News { ticket, news };
            if !self.send_ordered(Actor::Gateway(index), Actor::Client, frame) {
                self.clients.break_connection(ticket);
            }
        }
    }

    fn gateway_input(&mut self, index: usize, frame: Frame) {
        let part = &self.gateways[index];
        if part.frozen_until > self.now || self.parked.contains_key(&Actor::Gateway(index)) {
            let until = part.frozen_until;
            return self.park(Actor::Gateway(index), until, frame);
        }
        if part.core.is_none() {
            if let Frame::Client { ticket, request } = frame
                && !matches!(request, ClientRequest::Gone)
            {
                let frame = Frame::News { ticket, news: ClientNews::NotConnected };
                self.send_ordered(Actor::Gateway(index), Actor::Client, frame);
            }
            return;
        }
        let Some(input) = self.input_of(index, frame) else {
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

    /// The input a frame means; `None` when it belongs to an earlier start.
    fn input_of(&self, index: usize, frame: Frame) -> Option<Input> {
        let current = self.gateways[index].start;
        let engine_name = |engine: usize| self.engines[engine].name.clone();
        match frame {
            Frame::StoreReply { start, id, reply } if start == current => {
                Some(Input::StoreReply { id, reply })
            }
            Frame::GatewayPeer { from, message } => Some(Input::Peer { from, message }),
            Frame::Backend { start, attempt, event } if start == current => {
                Some(Input::Backend(attempt, event))
            }
            Frame::Released { start, engine, program, confirmed } if start == current => {
                Some(Input::CacheReleased { engine: engine_name(engine), program, confirmed })
            }
            Frame::Listing { start, engine, programs } if start == current => {
                Some(Input::CacheListing { engine: engine_name(engine), programs })
            }
            Frame::Report { start, engine, report } if start == current => {
                Some(Input::EngineProbe { engine: engine_name(engine), report })
            }
            Frame::Machines { start, list } if start == current => {
                Some(Input::Platform(Some(list)))
            }
            Frame::Client { ticket, request } => Some(match request {
                ClientRequest::Call(call) => Input::Call(ticket, call),
                ClientRequest::Attach { tenant, call, offset } => {
                    Input::Attach { ticket, tenant, call, offset }
                }
                ClientRequest::Ask(request) => Input::StoreRequest(ticket, request),
                ClientRequest::Gone => Input::CallerDisconnected(ticket),
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
        let start = self.gateways[index].start;
        match action {
            Action::ToStore { machine, id, request } => {
                let frame = Frame::StoreRequest { gateway: index, start, id, request };
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
            Action::ToCaller(ticket, event) => self.tell_client(index, ticket, event),
            Action::RunOnEngine(order) => {
                let engine = self.engine_at(&order.engine);
                let frame = Frame::EngineRun { gateway: index, start, order };
                self.send_ordered(from, Actor::Engine(engine), frame);
            }
            Action::CancelOnEngine { attempt, address } => {
                let engine = usize::from(address.port()) % 1_000;
                self.send(from, Actor::Engine(engine), Frame::EngineCancel(attempt));
            }
            Action::RunOnService(order) => {
                let replica = usize::from(order.address.port()) % 1_000;
                let frame = Frame::ServiceRun { gateway: index, start, order };
                self.send_ordered(from, Actor::Replica(replica), frame);
            }
            Action::ReleaseCache { engine, program, .. } => {
                let engine = self.engine_at(&engine);
                let frame = Frame::EngineRelease { gateway: index, start, program };
                self.send(from, Actor::Engine(engine), frame);
            }
            Action::ListCache { engine, .. } => {
                let engine = self.engine_at(&engine);
                self.send(from, Actor::Engine(engine), Frame::EngineList { gateway: index, start });
            }
            Action::ProbeEngine { engine, .. } => {
                let engine = self.engine_at(&engine);
                let frame = Frame::EngineProbe { gateway: index, start };
                self.send(from, Actor::Engine(engine), frame);
            }
            Action::Stopped => self.gateway_stopped(index),
        }
    }

    fn engine_at(&self, engine: &EngineId) -> usize {
        let found = self.engines.iter().position(|part| part.name == *engine);
        found.unwrap_or_default()
    }

    fn tell_client(&mut self, gateway: usize, ticket: Ticket, event: CallerEvent) {
        if !self.clients.is_open(ticket) {
            return;
        }
        let frame = Frame::News { ticket, news: ClientNews::Event(event) };
        let sent = self.send_ordered(Actor::Gateway(gateway), Actor::Client, frame);
        if !sent {
            // Part of the answer is lost, so the rest cannot follow on this connection.
            self.clients.break_connection(ticket);
        }
    }

    fn read_platform(&mut self, index: usize, start: Start) {
        if self.gateways[index].start != start {
            return;
        }
        self.plan_in(PLATFORM_INTERVAL, Happening::ReadPlatform(index, start));
        let list = self.platform.list(self.now);
        self.send(Actor::Platform, Actor::Gateway(index), Frame::Machines { start, list });
    }

    // Clients.

    /// Sends a client's request to a gateway.
    pub(super) fn send_client(&mut self, gateway: usize, ticket: Ticket, request: ClientRequest) {
        if !matches!(request, ClientRequest::Gone) {
            self.plan_in(CLIENT_TIMEOUT, Happening::ClientTimeout(ticket));
        }
        let frame = Frame::Client { ticket, request };
        let sent = self.send_ordered(Actor::Client, Actor::Gateway(gateway), frame);
        if !sent {
            self.clients.break_connection(ticket);
        }
    }
}

impl StorePart {
    fn new(index: usize) -> Self {
        Self {
            service: None,
            log: None,
            disk: SimDisk::default(),
            id: ReplicaId { machine: index as u32 + 1, disk: 0 },
            start: 0,
            frozen_until: Moment::ZERO,
            sync: SYNC,
            inbox: VecDeque::new(),
            waiting: None,
            clients: BTreeMap::new(),
            next_client: 0,
        }
    }

    /// Makes the disk slow, or healthy again.
    pub(super) fn set_slow(&mut self, slow: bool) {
        self.sync = if slow { SLOW_SYNC } else { SYNC };
    }
}

impl GatewayPart {
    fn new(index: usize) -> Self {
        Self {
            core: None,
            name: NodeId::new(format!("gateway-{index}")),
            start: 0,
            frozen_until: Moment::ZERO,
            stopping_since: None,
            away: Duration::ZERO,
        }
    }
}
