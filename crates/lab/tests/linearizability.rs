//! Linearizability of a register in a replicated group under message loss, crashes, pauses and
//! partitions, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_lab::sim::disk::SimDisk;
use calicohoist_replication::{
    DiskLog, GroupId, GroupMessage, Node, NodeEvent, NodeSettings, ReplicaId, StateMachine,
};
use calicohoist_types::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::register::{RegisterOperation, RegisterSpecification};

const GROUP: GroupId = GroupId(0);
const MACHINES: [u32; 3] = [1, 2, 3];
const STEP_DURATION: Duration = Duration::from_millis(5);
const STEPS: u64 = 2_000;
const SHORT_RUN_STEPS: u64 = 500;
/// Maximum number of concurrent operations.
const CLIENTS: usize = 4;
/// Time after which a client abandons an operation.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Register(u32);

impl StateMachine for Register {
    type Output = u32;

    fn new(_group: GroupId) -> Self {
        Self::default()
    }

    fn apply(&mut self, command: &[u8]) -> u32 {
        let bytes: [u8; 4] = command.try_into().expect("commands are four bytes");
        self.0 = u32::from_le_bytes(bytes);
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) -> bool {
        self.apply(data);
        true
    }
}

struct Machine {
    node: Option<Node<Register>>,
    log: Option<DiskLog<SimDisk>>,
    disk: SimDisk,
    frozen_until: Moment,
}

/// An operation without a response yet.
struct PendingOperation {
    client: usize,
    machine: usize,
    write: Option<u32>,
    since: Moment,
}

struct Cluster {
    now: Moment,
    random: ChaCha8Rng,
    machines: Vec<Machine>,
    frames: Vec<(Moment, usize, ReplicaId, Vec<GroupMessage>)>,
    isolated: Option<(usize, Moment)>,
    pending: BTreeMap<u64, PendingOperation>,
    busy: [bool; CLIENTS],
    next_ticket: u64,
    next_value: u32,
    actions: Vec<(usize, Action<RegisterOperation<u32>>)>,
    /// Whether a replica that considers itself leader answers reads without checking its lease.
    reads_without_lease: bool,
}

impl Cluster {
    fn new(seed: u64, reads_without_lease: bool) -> Self {
        let mut cluster = Self {
            now: Moment::from_micros(10_000_000),
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            frames: Vec::new(),
            isolated: None,
            pending: BTreeMap::new(),
            busy: [false; CLIENTS],
            next_ticket: 0,
            next_value: 0,
            actions: Vec::new(),
            reads_without_lease,
        };
        for _ in MACHINES {
            let frozen_until = Moment::ZERO;
            let disk = SimDisk::default();
            cluster.machines.push(Machine { node: None, log: None, disk, frozen_until });
        }
        (0..MACHINES.len()).for_each(|index| cluster.start(index));
        cluster
    }

    fn start(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let disk = std::mem::take(&mut machine.disk);
        let (log, recovered) = DiskLog::open(disk).expect("a crash leaves a readable log");
        let id = ReplicaId { machine: MACHINES[index], disk: 0 };
        let settings = NodeSettings {
            entries_per_snapshot: 40,
            log_rewrite_bytes: 4 << 10,
            seed: self.random.random(),
            ..NodeSettings::default()
        };
        let node = Node::new(id, settings, &MACHINES, &[GROUP], recovered, self.now);
        machine.node = Some(node);
        machine.log = Some(log);
    }

    fn crash(&mut self, index: usize) {
        let kept_bytes = self.random.random_range(0..200);
        let machine = &mut self.machines[index];
        machine.node = None;
        if let Some(log) = machine.log.take() {
            machine.disk = log.into_disk();
            machine.disk.crash(kept_bytes);
        }
        let abandoned: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.machine == index)
            .map(|(id, _)| *id)
            .collect();
        abandoned.into_iter().for_each(|ticket| self.abandon(ticket));
    }

    fn step(&mut self) {
        self.now = self.now + STEP_DURATION;
        self.inject_faults();
        self.deliver();
        self.start_operation();
        for index in 0..self.machines.len() {
            self.run(index);
        }
        let timed_out = self
            .pending
            .iter()
            .filter(|(_, pending)| self.now.since(pending.since) > OPERATION_TIMEOUT);
        let timed_out: Vec<u64> = timed_out.map(|(ticket, _)| *ticket).collect();
        timed_out.into_iter().for_each(|ticket| self.abandon(ticket));
    }

    fn inject_faults(&mut self) {
        let index = self.random.random_range(0..MACHINES.len());
        if self.random.random_bool(0.004) {
            match self.machines[index].node {
                Some(_) if self.machines.iter().all(|machine| machine.node.is_some()) => {
                    self.crash(index);
                }
                Some(_) => {}
                None => self.start(index),
            }
        }
        if self.random.random_bool(0.01) && self.machines[index].node.is_none() {
            self.start(index);
        }
        if self.random.random_bool(0.004) {
            let duration = Duration::from_millis(self.random.random_range(100..1_500));
            self.isolated = Some((index, self.now + duration));
        }
        if self.random.random_bool(0.003) {
            let duration = Duration::from_millis(self.random.random_range(100..1_500));
            self.machines[index].frozen_until = self.now + duration;
        }
        if self.isolated.is_some_and(|(_, until)| until < self.now) {
            self.isolated = None;
        }
    }

    fn deliver(&mut self) {
        let due: Vec<_> = self.frames.extract_if(.., |frame| frame.0 <= self.now).collect();
        for (_, to, from, messages) in due {
            let machine = &mut self.machines[to];
            if machine.frozen_until > self.now {
                self.frames.push((machine.frozen_until, to, from, messages));
            } else if let Some(node) = &mut machine.node {
                node.receive(self.now, from, messages);
            }
        }
    }

    fn start_operation(&mut self) {
        let client = self.random.random_range(0..CLIENTS);
        if self.busy[client] {
            return;
        }
        let index = self.random.random_range(0..MACHINES.len());
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let write = self.random.random_bool(0.5).then(|| {
            self.next_value += 1;
            self.next_value
        });
        let machine = &mut self.machines[index];
        if machine.frozen_until > self.now {
            return;
        }
        let Some(node) = &mut machine.node else {
            return;
        };
        let local_value = node.machine(GROUP).map(|register| register.0);
        let considers_itself_leader = node.raft(GROUP).is_some_and(|raft| raft.is_leader());
        if write.is_none() && self.reads_without_lease && considers_itself_leader {
            self.actions.push((client, Action::Call(RegisterOperation::Read(None))));
            self.actions.push((client, Action::Response(RegisterOperation::Read(local_value))));
            return;
        }
        let submitted = match write {
            Some(value) => node.propose(GROUP, value.to_le_bytes().to_vec(), ticket),
            None => node.read(GROUP, ticket),
        };
        if submitted.is_err() {
            return;
        }
        let operation = write.map_or(RegisterOperation::Read(None), RegisterOperation::Write);
        self.actions.push((client, Action::Call(operation)));
        self.busy[client] = true;
        self.pending
            .insert(ticket, PendingOperation { client, machine: index, write, since: self.now });
    }

    /// Abandons an operation. An abandoned write may still take effect, so it is assigned to a
    /// separate client that gets its response only at the end of the run.
    fn abandon(&mut self, ticket: u64) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        self.busy[pending.client] = false;
        let call = self.actions.iter().rposition(|(client, _)| *client == pending.client);
        let Some(call) = call else {
            return;
        };
        if pending.write.is_some() {
            self.actions[call].0 = CLIENTS + ticket as usize;
        } else {
            self.actions.remove(call);
        }
    }

    fn complete(&mut self, ticket: u64, value: u32) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        self.busy[pending.client] = false;
        let operation = match pending.write {
            Some(written) => RegisterOperation::Write(written),
            None => RegisterOperation::Read(Some(value)),
        };
        self.actions.push((pending.client, Action::Response(operation)));
    }

    fn run(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.frozen_until > now {
            return;
        }
        let (Some(node), Some(log)) = (&mut machine.node, &mut machine.log) else {
            return;
        };
        node.tick(now);
        let events = node.flush(now, log).expect("the simulated disk has room");
        log.disk_mut().finish_syncs();
        let value = node.machine(GROUP).map_or(0, |register| register.0);
        let from = node.id();
        for event in events {
            match event {
                NodeEvent::Send { to, messages } => self.send(index, from, to, messages),
                NodeEvent::Applied { ticket, output } => self.complete(ticket, output),
                NodeEvent::ReadReady { ticket, .. } => self.complete(ticket, value),
                NodeEvent::Lost { ticket } => self.abandon(ticket),
                NodeEvent::Leadership { .. } => {}
            }
        }
    }

    fn send(&mut self, index: usize, from: ReplicaId, to: ReplicaId, messages: Vec<GroupMessage>) {
        let to = to.machine as usize - 1;
        let is_isolated =
            self.isolated.is_some_and(|(isolated, _)| isolated == index || isolated == to);
        if is_isolated || self.random.random_bool(0.05) {
            return;
        }
        let copies = if self.random.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.random.random_range(1..20));
            self.frames.push((self.now + delay, to, from, messages.clone()));
        }
    }

    /// Completes abandoned writes and checks the history; also returns the number of operations.
    fn check_history(mut self) -> (bool, usize) {
        let unfinished: Vec<u64> = self.pending.keys().copied().collect();
        unfinished.into_iter().for_each(|ticket| self.abandon(ticket));
        let unanswered: Vec<_> = self
            .actions
            .iter()
            .filter(|(client, _)| *client >= CLIENTS)
            .filter_map(|(client, action)| match action {
                Action::Call(operation) => Some((*client, Action::Response(*operation))),
                Action::Response(_) => None,
            })
            .collect();
        self.actions.extend(unanswered);
        let count = self.actions.len() / 2;
        let history = History::from_actions(self.actions);
        (WGLChecker::<RegisterSpecification<u32>>::is_linearizable(history), count)
    }
}

fn run(seed: u64, steps: u64, reads_without_lease: bool) -> (bool, usize) {
    let mut cluster = Cluster::new(seed, reads_without_lease);
    for _ in 0..steps {
        cluster.step();
    }
    cluster.check_history()
}

#[test]
fn a_replicated_register_is_linearizable_under_faults() {
    for seed in 0..60 {
        let (holds, operations) = run(seed, STEPS, false);
        assert!(holds, "seed {seed} is not linearizable");
        assert!(operations > 40, "seed {seed} completed only {operations} operations");
    }
}

#[test]
fn reads_without_a_lease_are_detected() {
    // Histories are short because rejecting one takes exponential time.
    let is_detected = (0..200).any(|seed| !run(seed, SHORT_RUN_STEPS, true).0);
    assert!(is_detected, "no seed detected a stale read");
}
