//! One store machine as a state machine without I/O.
//!
//! The driver passes in requests and peer messages, and calls [`StoreService::flush`] after
//! each batch. Replies and messages are returned only by `flush`, once the entries they
//! depend on are durable.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_replication::{
    Disk, DiskError, DiskLog, GroupId, GroupMessage, Node, NodeEvent, NodeSettings, Recovered,
    ReplicaId, Ticket,
};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;
use calicohoist_wire::encode;

use crate::clock::GroupClock;
use crate::commands::program::ProgramCommand;
use crate::commands::{Command, Output, TimestampedCommand};
use crate::metrics;
use crate::nodes::{LEASE_DURATION, NodeTable};
use crate::protocol::{
    FleetStatus, GroupStatus, Heartbeat, HeartbeatReply, StoreReply, StoreRequest,
};
use crate::queries::Query;
use crate::queries::resource::MAX_PAGE_SIZE;
use crate::state::{GroupMap, GroupState, RESOURCE_GROUP};

/// Interval at which group leaders propose housekeeping commands.
const HOUSEKEEPING_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
/// Maximum number of pending requests; further ones are answered as unavailable.
const MAX_PENDING: usize = 65_536;

/// Identifies the recipient of a reply; assigned by the driver.
pub type ClientId = u64;

/// Action to be executed by the driver.
#[derive(Debug)]
pub enum StoreAction {
    /// Sends messages to another store machine in one frame.
    SendPeer {
        /// The receiving replica.
        to: ReplicaId,
        /// The messages.
        messages: Vec<GroupMessage>,
    },
    /// Replies to a request.
    Reply {
        /// The recipient.
        client: ClientId,
        /// Id of the request.
        id: u64,
        /// The reply.
        reply: StoreReply,
    },
}

#[derive(Debug)]
enum Pending {
    Command(ClientId, u64),
    Query(ClientId, u64, Query),
    Heartbeat(ClientId, u64, Box<Heartbeat>),
    FleetStatus(ClientId, u64),
    Housekeeping,
}

/// State machine of one store machine, without I/O.
pub struct StoreService {
    node: Node<GroupState>,
    groups: GroupMap,
    nodes: NodeTable,
    led_groups: BTreeSet<GroupId>,
    pending: BTreeMap<Ticket, Pending>,
    next_ticket: Ticket,
    actions: Vec<StoreAction>,
    next_housekeeping: Moment,
    /// Clocks of the groups of programs.
    clocks: BTreeMap<GroupId, GroupClock>,
}

impl StoreService {
    /// Creates the service from the recovered log.
    pub fn new(
        id: ReplicaId,
        settings: NodeSettings,
        machines: &[u32],
        groups: GroupMap,
        recovered: Recovered,
        now: Moment,
    ) -> Self {
        let node = Node::new(id, settings, machines, &groups.all(), recovered, now);
        Self {
            node,
            groups,
            nodes: NodeTable::default(),
            led_groups: BTreeSet::new(),
            pending: BTreeMap::new(),
            next_ticket: 0,
            actions: Vec::new(),
            next_housekeeping: now + HOUSEKEEPING_INTERVAL,
            clocks: BTreeMap::new(),
        }
    }

    /// Returns the replication node with the protocol state and state machine of each group.
    pub fn node(&self) -> &Node<GroupState> {
        &self.node
    }

    /// Returns whether any log holds entries, which means that the store has started before.
    pub fn has_started(&self) -> bool {
        let last =
            |group| self.node.raft(group).map_or(0, calicohoist_replication::Raft::last_index);
        self.groups.all().into_iter().any(|group| last(group) > 0)
    }

    /// Handles messages from another store machine.
    pub fn receive(&mut self, now: Moment, from: ReplicaId, messages: Vec<GroupMessage>) {
        self.node.receive(now, from, messages);
    }

    /// Handles a request from a gateway or tool.
    pub fn request(
        &mut self,
        now: Moment,
        unix_millis: u64,
        client: ClientId,
        id: u64,
        request: StoreRequest,
    ) {
        if self.pending.len() >= MAX_PENDING {
            return self.reply(client, id, StoreReply::Unavailable);
        }
        metrics::REQUESTS.inc(request.kind());
        match request {
            StoreRequest::Command(group, command) => {
                let at = self.timestamp(group, now, unix_millis);
                self.propose(at, group, command, Pending::Command(client, id));
            }
            StoreRequest::Query(group, query) => {
                self.read(group, Pending::Query(client, id, query));
            }
            StoreRequest::Heartbeat(heartbeat) => {
                self.read(RESOURCE_GROUP, Pending::Heartbeat(client, id, heartbeat));
            }
            StoreRequest::FleetStatus => {
                self.read(RESOURCE_GROUP, Pending::FleetStatus(client, id));
            }
            StoreRequest::GroupStatus => {
                let status = self.group_status(now);
                self.reply(client, id, StoreReply::GroupStatus(status));
            }
        }
    }

    fn reply(&mut self, client: ClientId, id: u64, reply: StoreReply) {
        self.actions.push(StoreAction::Reply { client, id, reply });
    }

    fn add_pending(&mut self, pending: Pending) -> Ticket {
        self.next_ticket += 1;
        self.pending.insert(self.next_ticket, pending);
        self.next_ticket
    }

    /// Returns the timestamp of a command: of resources the time of day, which operators read.
    fn timestamp(&mut self, group: GroupId, now: Moment, unix_millis: u64) -> u64 {
        self.observe_clock(group, now);
        self.clocks.get_mut(&group).map_or(unix_millis, |clock| clock.timestamp(unix_millis, now))
    }

    /// Follows the clock of a group that stores programs.
    fn observe_clock(&mut self, group: GroupId, now: Moment) {
        if let Some(GroupState::Programs(shard)) = self.node.machine(group) {
            self.clocks.entry(group).or_default().observe(shard.clock(), now);
        }
    }

    fn propose(&mut self, at: u64, group: GroupId, command: Command, pending: Pending) {
        let ticket = self.add_pending(pending);
        let Ok(bytes) = encode(&TimestampedCommand { at, command }) else {
            return self.complete_request(ticket, StoreReply::Output(Output::Unsupported));
        };
        if self.node.propose(group, bytes, ticket).is_err() {
            self.redirect(group, ticket);
        }
    }

    fn read(&mut self, group: GroupId, pending: Pending) {
        let ticket = self.add_pending(pending);
        if self.node.read(group, ticket).is_err() {
            self.redirect(group, ticket);
        }
    }

    fn redirect(&mut self, group: GroupId, ticket: Ticket) {
        let own_machine = self.node.id().machine;
        let leader = self.node.leader_machine(group).filter(|leader| *leader != own_machine);
        self.complete_request(ticket, StoreReply::NotLeader(leader));
    }

    fn complete_request(&mut self, ticket: Ticket, reply: StoreReply) {
        match self.pending.remove(&ticket) {
            Some(
                Pending::Command(client, id)
                | Pending::Query(client, id, _)
                | Pending::Heartbeat(client, id, _)
                | Pending::FleetStatus(client, id),
            ) => self.reply(client, id, reply),
            Some(Pending::Housekeeping) | None => {}
        }
    }

    /// Advances timers, expires leases and proposes housekeeping commands.
    pub fn tick(&mut self, now: Moment, unix_millis: u64) {
        self.node.tick(now);
        self.nodes.expire(now);
        for group in self.groups.program_groups() {
            self.observe_clock(group, now);
        }
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        let led: Vec<GroupId> = self.led_groups.iter().copied().collect();
        for group in led.into_iter().filter(|group| *group != RESOURCE_GROUP) {
            let command = Command::Program(ProgramCommand::Housekeeping);
            let at = self.timestamp(group, now, unix_millis);
            self.propose(at, group, command, Pending::Housekeeping);
        }
    }

    /// Transfers leadership to other machines, for a graceful shutdown.
    pub fn transfer_leadership(&mut self, now: Moment) {
        self.node.transfer_leadership(now);
    }

    /// Returns whether this machine leads any group.
    pub fn leads_any(&self) -> bool {
        self.node.leads_any()
    }

    /// Persists all pending log entries and returns the resulting actions.
    ///
    /// # Errors
    /// Returns an error if the disk fails. The machine must then stop participating.
    pub fn flush<D: Disk>(
        &mut self,
        now: Moment,
        log: &mut DiskLog<D>,
    ) -> Result<Vec<StoreAction>, DiskError> {
        for event in self.node.flush(now, log)? {
            self.on_event(now, event);
        }
        Ok(std::mem::take(&mut self.actions))
    }

    fn on_event(&mut self, now: Moment, event: NodeEvent<Output>) {
        match event {
            NodeEvent::Send { to, messages } => {
                self.actions.push(StoreAction::SendPeer { to, messages });
            }
            NodeEvent::Applied { ticket, output } => {
                self.complete_request(ticket, StoreReply::Output(output));
            }
            NodeEvent::ReadReady { ticket, group } => self.answer_read(now, ticket, group),
            NodeEvent::Lost { ticket } => self.complete_request(ticket, StoreReply::Lost),
            NodeEvent::Leadership { group, is_leader } => {
                self.on_leadership(now, group, is_leader);
            }
        }
    }

    fn on_leadership(&mut self, now: Moment, group: GroupId, is_leader: bool) {
        if is_leader {
            emit!(Event::BecameLeader, "group {group}");
            self.led_groups.insert(group);
            if group == RESOURCE_GROUP {
                self.nodes.reset(now);
            }
        } else {
            emit!(Event::LostLeadership, "group {group}");
            self.led_groups.remove(&group);
        }
        metrics::GROUPS_LED.set(self.led_groups.len() as u64);
    }

    fn answer_read(&mut self, now: Moment, ticket: Ticket, group: GroupId) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        match pending {
            Pending::Query(client, id, query) => {
                if let Some(state) = self.node.machine(group) {
                    let answer = state.answer(query);
                    self.reply(client, id, StoreReply::Answer(answer));
                }
            }
            Pending::Heartbeat(client, id, heartbeat) => {
                let reply = self.answer_heartbeat(now, &heartbeat);
                self.reply(client, id, reply);
            }
            Pending::FleetStatus(client, id) => {
                let status = self.fleet_status(now);
                self.reply(client, id, StoreReply::FleetStatus(status));
            }
            Pending::Command(..) | Pending::Housekeeping => {}
        }
    }

    fn answer_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) -> StoreReply {
        if !self.nodes.renew(now, heartbeat) {
            return StoreReply::Unavailable;
        }
        let Some(GroupState::Resources(table)) = self.node.machine(RESOURCE_GROUP) else {
            return StoreReply::Unavailable;
        };
        let update = table.update_since(heartbeat.applied, MAX_PAGE_SIZE);
        let version = self.nodes.version();
        let is_known = heartbeat.nodes_version == version;
        StoreReply::Heartbeat(Box::new(HeartbeatReply {
            lease: LEASE_DURATION,
            nodes_version: version,
            nodes: (!is_known).then(|| self.nodes.nodes()),
            nodes_complete: self.nodes.is_complete(now),
            loads: self.nodes.loads_since(heartbeat.loads_version),
            in_force: self.nodes.in_force(now, table.revision()),
            update,
        }))
    }

    fn fleet_status(&mut self, now: Moment) -> FleetStatus {
        let Some(GroupState::Resources(table)) = self.node.machine(RESOURCE_GROUP) else {
            return FleetStatus::default();
        };
        FleetStatus {
            revision: table.revision(),
            in_force: self.nodes.in_force(now, table.revision()),
            nodes: self.nodes.revisions(),
        }
    }

    /// Returns the status of every group on this machine.
    pub fn group_status(&self, now: Moment) -> Vec<GroupStatus> {
        let groups = self.groups.all();
        let rafts = groups.into_iter().filter_map(|group| Some((group, self.node.raft(group)?)));
        rafts
            .map(|(group, raft)| GroupStatus {
                group,
                is_leader: raft.is_leader(),
                leader: raft.leader().map(|leader| leader.machine),
                term: raft.term(),
                commit: raft.commit(),
                voters: raft.membership().voters.iter().copied().collect(),
                learners: raft.membership().learners.iter().copied().collect(),
                fully_replicated: raft.is_fully_replicated(now),
            })
            .collect()
    }
}
