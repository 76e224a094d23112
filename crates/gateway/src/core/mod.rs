//! The decisions of a gateway, as a state machine without I/O.
//!
//! [`Gateway`] takes [`Input`]s and clock ticks, and returns [`Action`]s.
//!
//! - [`view`]: the gateway's copy of the fleet state, and its lease;
//! - [`owner`]: the queues of the engines that the gateway owns;
//! - [`cache_release`]: release of the cache memory of ended programs;
//! - [`call`]: the state of one active call;
//! - [`stop`]: the schedule of a planned stop;
//! - `flow`: the steps of a call, from admission to the response.

pub mod cache_release;
pub mod call;
mod flow;
pub mod message;
mod metrics;
pub mod owner;
mod stop;
pub mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_replication::GroupId;
use calicohoist_scheduler::{CostWeights, RetryBudget};
use calicohoist_store::broken_rules::{Rule, is_broken};
use calicohoist_store::commands::program::{ProgramCommand, ProgramOutput};
use calicohoist_store::queries::program::{ProgramAnswer, ProgramQuery};
use calicohoist_store::{
    Answer, Command, GroupMap, Heartbeat, NodeRef, Output, Query, RouterEvent, StoreReply,
    StoreRequest, StoreRouter,
};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{AttemptId, EngineId, Moment, ProgramId, Zone};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use cache_release::CacheReleaseState;
use call::Call;
pub use message::{Action, CallerEvent, Input, PeerMessage, Ticket};
use owner::EngineOwner;
use stop::StopSchedule;
use view::FleetView;

/// Settings of the gateway core.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The gateway's node ID and incarnation.
    pub node: NodeRef,
    /// Address for connections from other gateways.
    pub peer_address: SocketAddr,
    /// Zone in which the gateway runs.
    pub zone: Zone,
    /// Numbers of the store machines.
    pub store_machines: Vec<u32>,
    /// Number of replication groups that hold programs.
    pub program_groups: u32,
    /// Maximum time a call waits for a slot.
    pub queue_timeout: Duration,
    /// Maximum time a call waits for an earlier call that has not arrived.
    pub gap_timeout: Duration,
    /// Time without progress after which an attempt counts as failed.
    pub stall_timeout: Duration,
    /// Maximum time a request waits for a duplicate that is running.
    pub duplicate_timeout: Duration,
    /// Maximum number of active calls in this gateway.
    pub max_calls: usize,
    /// Maximum number of calls that wait for one engine.
    pub max_waiting_per_engine: usize,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Weights of the routing cost.
    pub weights: CostWeights,
    /// Whether the platform's machine list is available.
    pub has_platform: bool,
    /// Seed for jitter and generated keys.
    pub seed: u64,
}

/// Time between heartbeats to the store.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one store request.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between reports of held slots to the owners of engines.
const SLOT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A store request that awaits its reply, by the code that handles the reply.
#[derive(Debug)]
enum PendingRequest {
    /// A step of the call with this ID.
    Call(u64),
    /// A store request on behalf of a caller.
    Caller(Ticket),
    /// A query for the recorded state of the call with this ID.
    Attach(u64),
    /// A heartbeat sent at this time.
    Heartbeat(Moment),
    /// A query for programs whose cache memory is to be released.
    Releases,
    /// A query for the programs in an engine's cache that are not active.
    NotActive(EngineId),
    /// A request whose reply is ignored.
    Ignore,
}

/// The state machine of a gateway.
pub struct Gateway {
    settings: GatewaySettings,
    groups: GroupMap,
    random: ChaCha8Rng,
    router: StoreRouter,
    pending_requests: BTreeMap<u64, PendingRequest>,
    next_token: u64,
    view: FleetView,
    owner: EngineOwner,
    cache_release: CacheReleaseState,
    calls: BTreeMap<u64, Call>,
    by_attempt: BTreeMap<AttemptId, u64>,
    by_ticket: BTreeMap<Ticket, u64>,
    next_call: u64,
    retries: RetryBudget,
    next_heartbeat: Moment,
    heartbeat_pending: bool,
    next_slot_report: Moment,
    stop: Option<StopSchedule>,
    stopped: bool,
    /// Calls that a stop ended before their outcome was known.
    interrupted_calls: usize,
    actions: Vec<Action>,
}

impl Gateway {
    /// Creates a gateway with an empty view of the fleet.
    pub fn new(settings: GatewaySettings, now: Moment) -> Self {
        let offset = settings.seed as usize;
        let router = StoreRouter::new(settings.store_machines.clone(), offset);
        Self {
            groups: GroupMap::new(settings.program_groups),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            router,
            pending_requests: BTreeMap::new(),
            next_token: 0,
            view: FleetView::new(settings.has_platform, now),
            owner: EngineOwner::new(settings.max_waiting_per_engine),
            cache_release: CacheReleaseState::default(),
            calls: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            next_call: 0,
            retries: RetryBudget::default(),
            next_heartbeat: now,
            heartbeat_pending: false,
            next_slot_report: now,
            stop: None,
            stopped: false,
            interrupted_calls: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Returns the gateway's view of the fleet.
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the number of active calls.
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Returns whether the gateway may start new work.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.stop.is_none() && self.view.may_start_attempts(now)
    }

    /// Processes one input and returns the resulting actions.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Action> {
        match input {
            Input::Call(ticket, request) => self.on_call(now, ticket, *request),
            Input::Attach { ticket, tenant, call, offset } => {
                self.on_attach(now, ticket, tenant, call, offset)
            }
            Input::StoreRequest(ticket, request) => {
                self.on_store_request(now, ticket, *request);
            }
            Input::CallerDisconnected(ticket) => self.on_caller_disconnected(ticket),
            Input::StoreReply { id, reply } => self.router.on_reply(now, id, reply),
            Input::Peer { from, message } => self.on_peer_message(now, from, message),
            Input::Backend(attempt, event) => self.on_backend_event(now, attempt, event),
            Input::CacheReleased { engine, program, confirmed } => {
                self.on_cache_released(now, engine, program, confirmed)
            }
            Input::CacheListing { engine, programs } => {
                self.on_cache_listing(now, engine, programs);
            }
            Input::EngineProbe { engine, report } => {
                self.owner.on_probe(now, &engine, report);
                self.run_owner(now);
            }
            Input::Platform { asked_at, list } => self.view.on_platform(asked_at, list),
            Input::Stop { call_time } => self.begin_stop(now, call_time),
        }
        self.take_actions(now)
    }

    /// Runs timers and periodic work, and returns the resulting actions.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        self.router.tick(now);
        self.view.tick(now);
        if now >= self.next_heartbeat && !self.heartbeat_pending {
            self.send_heartbeat(now);
        }
        self.run_owner(now);
        self.run_cache_release(now);
        self.send_slot_reports(now);
        self.tick_calls(now);
        self.finish_stop(now);
        metrics::ACTIVE_CALLS.set(self.calls.len() as u64);
        metrics::APPLIED_REVISION.set(self.view.applied().0);
        self.take_actions(now)
    }

    fn take_actions(&mut self, now: Moment) -> Vec<Action> {
        // Handling a reply can create further router events.
        loop {
            let events = self.router.take_events();
            if events.is_empty() {
                return std::mem::take(&mut self.actions);
            }
            for event in events {
                self.on_router_event(now, event);
            }
        }
    }

    fn on_router_event(&mut self, now: Moment, event: RouterEvent) {
        match event {
            RouterEvent::Send { machine, id, request } => {
                self.actions.push(Action::ToStore { machine, id, request: Box::new(request) })
            }
            RouterEvent::Done { token, reply } => {
                if let Some(pending) = self.pending_requests.remove(&token) {
                    self.on_store_answer(now, pending, reply);
                }
            }
        }
    }

    fn send_store_request(&mut self, now: Moment, pending: PendingRequest, request: StoreRequest) {
        self.next_token += 1;
        let token = self.next_token;
        self.pending_requests.insert(token, pending);
        self.router.submit(now, token, request, STORE_TIMEOUT);
    }

    fn send_command(
        &mut self,
        now: Moment,
        pending: PendingRequest,
        program: &ProgramId,
        command: ProgramCommand,
    ) {
        let group = self.groups.group_of(program);
        let request = StoreRequest::Command(group, Command::Program(command));
        self.send_store_request(now, pending, request);
    }

    fn send_query(
        &mut self,
        now: Moment,
        pending: PendingRequest,
        group: GroupId,
        query: ProgramQuery,
    ) {
        let request = StoreRequest::Query(group, Query::Program(query));
        self.send_store_request(now, pending, request);
    }

    fn on_store_answer(&mut self, now: Moment, pending: PendingRequest, reply: Option<StoreReply>) {
        match pending {
            PendingRequest::Call(call) => {
                let output = reply.and_then(program_output);
                self.on_call_answer(now, call, output);
            }
            PendingRequest::Caller(ticket) => self.on_caller_answer(now, ticket, reply),
            PendingRequest::Attach(call) => self.on_attach_answer(now, call, reply),
            PendingRequest::Heartbeat(sent_at) => self.on_heartbeat_answer(now, sent_at, reply),
            PendingRequest::Releases => self.on_releases(now, reply),
            PendingRequest::NotActive(engine) => self.on_not_active(now, &engine, reply),
            PendingRequest::Ignore => {}
        }
    }

    fn on_store_request(&mut self, now: Moment, ticket: Ticket, request: StoreRequest) {
        if self.stop.is_some_and(|stop| stop.is_over(now)) {
            let event = CallerEvent::StoreReply(None);
            return self.actions.push(Action::ToCaller(ticket, event));
        }
        self.send_store_request(now, PendingRequest::Caller(ticket), request);
    }

    fn on_caller_answer(&mut self, now: Moment, ticket: Ticket, reply: Option<StoreReply>) {
        if let Some(StoreReply::Output(Output::Program(ProgramOutput::Cancelled(running)))) = &reply
        {
            for (attempt, by) in running.clone() {
                self.send_peer_message(now, by.node, PeerMessage::Cancel { attempt });
            }
        }
        let event = CallerEvent::StoreReply(reply.map(Box::new));
        self.actions.push(Action::ToCaller(ticket, event));
    }

    /// Sends a message to a gateway; handles a message to this gateway directly.
    fn send_peer_message(
        &mut self,
        now: Moment,
        to: calicohoist_types::NodeId,
        message: PeerMessage,
    ) {
        if to == self.settings.node.node {
            return self.on_peer_message(now, to, message);
        }
        if let Some(address) = self.view.address_of(&to) {
            self.actions.push(Action::ToPeer { to, address, message });
        }
    }

    fn send_heartbeat(&mut self, now: Moment) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.heartbeat_pending = true;
        let heartbeat = Heartbeat {
            from: self.settings.node.clone(),
            peer_address: self.settings.peer_address,
            zone: self.settings.zone.clone(),
            applied: self.view.applied(),
            nodes_version: self.view.nodes_version(),
            loads: self.owner.loads(now, &self.view),
            loads_version: self.view.loads_version(),
            stopping: self.stop.is_some(),
        };
        let request = StoreRequest::Heartbeat(Box::new(heartbeat));
        self.next_token += 1;
        let token = self.next_token;
        self.pending_requests.insert(token, PendingRequest::Heartbeat(now));
        self.router.submit(now, token, request, calicohoist_store::nodes::LEASE_DURATION);
    }

    fn on_heartbeat_answer(&mut self, now: Moment, sent_at: Moment, reply: Option<StoreReply>) {
        self.heartbeat_pending = false;
        let Some(StoreReply::Heartbeat(reply)) = reply else {
            return;
        };
        let applied_before = self.view.applied();
        self.view.on_heartbeat(now, sent_at, *reply);
        if self.view.applied() > applied_before {
            emit!(Event::ConfigurationApplied, "revision {}", self.view.applied());
            // Report the applied revision at once: it takes effect when all nodes have it.
            self.next_heartbeat = now;
        }
        self.run_owner(now);
    }

    /// Updates the set of owned engines and grants slots.
    fn run_owner(&mut self, now: Moment) {
        let own_node = self.settings.node.node.clone();
        let stopping = self.stop.is_some();
        let outcome = self.owner.run(now, &own_node, &self.view, stopping);
        for (engine, address) in outcome.probes {
            self.actions.push(Action::ProbeEngine { engine, address });
        }
        for (to, message) in outcome.messages {
            self.send_peer_message(now, to, message);
        }
    }

    fn on_peer_message(
        &mut self,
        now: Moment,
        from: calicohoist_types::NodeId,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Granted { attempt, engine } => self.on_granted(now, attempt, engine),
            PeerMessage::Refused { attempt, engine, overloaded } => {
                self.on_slot_refused(now, attempt, engine, overloaded)
            }
            PeerMessage::Cancel { attempt } => self.on_cancel(now, &attempt),
            message => {
                let answer = self.owner.on_message(now, from.clone(), message);
                if let Some(answer) = answer {
                    self.send_peer_message(now, from, answer);
                }
                self.run_owner(now);
            }
        }
    }

    fn send_slot_reports(&mut self, now: Moment) {
        if now < self.next_slot_report {
            return;
        }
        self.next_slot_report = now + SLOT_REPORT_INTERVAL;
        let mut by_engine: BTreeMap<EngineId, Vec<AttemptId>> = BTreeMap::new();
        for call in self.calls.values() {
            if let Some((engine, attempt)) = call.held_slot() {
                by_engine.entry(engine).or_default().push(attempt);
            }
        }
        for (engine, attempts) in by_engine {
            if let Some(owner) = self.view.owner_of(&engine) {
                self.send_peer_message(now, owner, PeerMessage::Holding { engine, attempts });
            }
        }
    }

    fn begin_stop(&mut self, now: Moment, call_time: Duration) {
        if let Some(stop) = &mut self.stop {
            return stop.shorten(now, call_time);
        }
        emit!(Event::StopRequested, "{} active calls", self.calls.len());
        self.stop = Some(StopSchedule::begin(now, call_time));
        self.next_heartbeat = now;
        self.run_owner(now);
    }

    fn finish_stop(&mut self, now: Moment) {
        let Some(stop) = self.stop else {
            return;
        };
        if stop.is_over(now) {
            self.interrupt_store_requests();
        }
        let handed_over = self.view.is_listed_as_stopping(&self.settings.node)
            || !self.view.has_lease(now)
            || stop.is_over(now);
        let is_idle = self.calls.is_empty() || is_broken(Rule::FinishCalls);
        if !self.stopped && stop.may_complete(now) && is_idle && handed_over {
            self.stopped = true;
            let interrupted_calls = self.interrupted_calls;
            self.actions.push(Action::Stopped { interrupted_calls });
        }
    }

    /// Returns whether a planned stop leaves an attempt the time that it may need.
    fn has_time_for_attempt(&self, now: Moment) -> bool {
        self.stop.is_none_or(|stop| stop.has_time_for(now, self.settings.stall_timeout))
    }

    /// Reports to callers that their requests to the store have timed out.
    fn interrupt_store_requests(&mut self) {
        let interrupted = self
            .pending_requests
            .extract_if(.., |_, pending| matches!(pending, PendingRequest::Caller(_)));
        for (_, pending) in interrupted {
            if let PendingRequest::Caller(ticket) = pending {
                self.actions.push(Action::ToCaller(ticket, CallerEvent::StoreReply(None)));
            }
        }
    }
}

fn program_output(reply: StoreReply) -> Option<ProgramOutput> {
    match reply {
        StoreReply::Output(Output::Program(output)) => Some(output),
        _ => None,
    }
}

fn program_answer(reply: Option<StoreReply>) -> Option<ProgramAnswer> {
    match reply {
        Some(StoreReply::Answer(Answer::Program(answer))) => Some(answer),
        _ => None,
    }
}
