//! Gateway leases, kept in memory by the leader of group 0.
//!
//! Leases are not replicated, so a new leader does not know those granted by its
//! predecessor. It reports its table as incomplete for one lease duration; until then no
//! gateway may be considered failed, and the revision in force does not advance.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{Moment, NodeId, Revision};

use crate::loads::LoadTable;
use crate::protocol::{EngineLoad, Heartbeat, LoadsUpdate, NodeInfo, NodeRef};

/// Duration of a lease, counted from the time its heartbeat was sent.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// Extra time before the leader expires a lease, to tolerate clock drift.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
struct NodeEntry {
    info: NodeInfo,
    applied: Revision,
    loads: Vec<EngineLoad>,
    expires: Moment,
}

/// Leases granted by this leader.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, NodeEntry>,
    version: u64,
    complete_at: Moment,
    in_force: Revision,
    loads: LoadTable,
}

impl NodeTable {
    /// Resets the table after this machine was elected leader.
    pub fn reset(&mut self, now: Moment) {
        self.nodes.clear();
        // Starts at the current time, so that versions of different leaders do not collide.
        self.version = now.as_micros();
        self.complete_at = now + LEASE_DURATION + CLOCK_DRIFT_MARGIN;
        self.loads.reset(now);
    }

    /// Returns whether the table contains every lease that may still be valid.
    pub fn is_complete(&self, now: Moment) -> bool {
        now >= self.complete_at
    }

    /// Returns the version of the list of gateways.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Renews the sender's lease. Returns `false` if a later incarnation of the node holds it.
    pub fn renew(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let node = &heartbeat.from;
        let existing = self.nodes.get(&node.node);
        if existing.is_some_and(|existing| existing.info.node.incarnation > node.incarnation) {
            return false;
        }
        let info = NodeInfo {
            node: node.clone(),
            peer_address: heartbeat.peer_address,
            zone: heartbeat.zone.clone(),
            stopping: heartbeat.stopping,
        };
        if existing.is_none_or(|existing| existing.info != info) {
            self.version += 1;
        }
        let entry = NodeEntry {
            info,
            applied: heartbeat.applied,
            loads: heartbeat.loads.clone(),
            expires: now + LEASE_DURATION + CLOCK_DRIFT_MARGIN,
        };
        self.nodes.insert(node.node.clone(), entry);
        true
    }

    /// Removes expired leases and publishes the engine loads if due.
    pub fn expire(&mut self, now: Moment) {
        let previous_len = self.nodes.len();
        self.nodes.retain(|_, entry| entry.expires > now);
        if self.nodes.len() != previous_len {
            self.version += 1;
        }
        if self.loads.is_due(now) {
            let current = self.nodes.values().flat_map(|entry| &entry.loads);
            self.loads.publish(now, current);
        }
    }

    /// Returns all gateways that hold a lease.
    pub fn nodes(&self) -> Vec<NodeInfo> {
        self.nodes.values().map(|entry| entry.info.clone()).collect()
    }

    /// Returns all gateways that hold a lease, with the revision each has applied.
    pub fn revisions(&self) -> Vec<(NodeRef, Revision)> {
        let node_and_revision = |entry: &NodeEntry| (entry.info.node.clone(), entry.applied);
        self.nodes.values().map(node_and_revision).collect()
    }

    /// Returns the changes of the engine loads since version `known`.
    pub fn loads_since(&self, since: u64) -> LoadsUpdate {
        self.loads.changes_since(since)
    }

    /// Returns the highest revision that every gateway with a lease has applied; `newest` if there
    /// are no gateways. Never decreases.
    pub fn in_force(&mut self, now: Moment, newest: Revision) -> Revision {
        if self.is_complete(now) {
            let lowest = self.nodes.values().map(|entry| entry.applied).min();
            self.in_force = self.in_force.max(lowest.unwrap_or(newest));
        }
        self.in_force
    }
}
