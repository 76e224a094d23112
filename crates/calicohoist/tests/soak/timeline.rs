//! What was done to nodes and replicas, and when.

#![allow(dead_code)]

use std::net::IpAddr;
use std::time::{Duration, Instant};

/// A node, or a replica with its connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Machine {
    Node(IpAddr),
    Replica(String),
    /// The links of a store to its peers and to gateways.
    StoreLinks(IpAddr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisruptionKind {
    Killed,
    Paused,
    LinkStalled,
    LinkDelayed,
    ConnectionsBroken,
}

/// Interval of an unplanned disruption.
#[derive(Clone, Debug)]
pub struct Disruption {
    pub machine: Machine,
    pub kind: DisruptionKind,
    pub from: Instant,
    /// `None` while it lasts.
    pub until: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    Stop,
    Reload,
}

/// A signal of the operator to a node.
#[derive(Clone, Debug)]
pub struct PlannedSignal {
    pub node: IpAddr,
    pub kind: SignalKind,
    pub at: Instant,
    /// When the process had exited.
    pub exited: Option<Instant>,
}

/// A configuration that was sent to a control node.
#[derive(Clone, Debug)]
pub struct SentConfiguration {
    pub sent: Instant,
    pub acknowledged: Option<Instant>,
}

/// Disruptions and planned work of a run.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    pub disruptions: Vec<Disruption>,
    pub signals: Vec<PlannedSignal>,
    pub configurations: Vec<SentConfiguration>,
}

impl Timeline {
    /// Begins a disruption that [`end`](Self::end) ends.
    pub fn begin(&mut self, machine: Machine, kind: DisruptionKind) {
        self.disruptions.push(Disruption { machine, kind, from: Instant::now(), until: None });
    }

    /// Ends all disruptions of one kind at a machine.
    pub fn end(&mut self, machine: &Machine, kind: DisruptionKind) {
        let now = Instant::now();
        let is_open = |disruption: &&mut Disruption| {
            disruption.machine == *machine && disruption.kind == kind && disruption.until.is_none()
        };
        self.disruptions
            .iter_mut()
            .filter(is_open)
            .for_each(|disruption| disruption.until = Some(now));
    }

    /// Adds a disruption that ends by itself after `duration`.
    pub fn add(&mut self, machine: Machine, kind: DisruptionKind, duration: Duration) {
        let from = Instant::now();
        self.disruptions.push(Disruption { machine, kind, from, until: Some(from + duration) });
    }

    pub fn signal(&mut self, node: IpAddr, kind: SignalKind) {
        self.signals.push(PlannedSignal { node, kind, at: Instant::now(), exited: None });
    }

    /// Notes that a stopped process has exited.
    pub fn exit(&mut self, node: IpAddr) {
        let now = Instant::now();
        let is_open = |signal: &&mut PlannedSignal| {
            signal.node == node && signal.kind == SignalKind::Stop && signal.exited.is_none()
        };
        self.signals.iter_mut().filter(is_open).for_each(|signal| signal.exited = Some(now));
    }

    /// Returns the disruptions between two moments.
    pub fn disruptions_between(
        &self,
        from: Instant,
        until: Instant,
    ) -> impl Iterator<Item = &Disruption> {
        self.disruptions.iter().filter(move |disruption| {
            disruption.from <= until && disruption.until.is_none_or(|end| end >= from)
        })
    }

    /// Returns whether a machine was disrupted between two moments.
    pub fn is_disrupted(&self, machine: &Machine, from: Instant, until: Instant) -> bool {
        self.disruptions_between(from, until).any(|disruption| disruption.machine == *machine)
    }
}
