//! Leases of gateways, held by the leader of group 0 in memory.
//!
//! Nothing here is replicated. A new leader knows no lease that its predecessor
//! gave, so for one lease time it calls its table incomplete: until then no
//! gateway may be taken for gone, and no revision for being in force.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_types::{Moment, NodeId, Revision};

use crate::loads::LoadTable;
use crate::protocol::{EngineLoad, Heartbeat, LoadsUpdate, NodeInfo, NodeRef};

/// How long a lease runs from the sending of its heartbeat.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// The leader waits this much longer, for clocks that run at other speeds.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
struct NodeEntry {
    info: NodeInfo,
    applied: Revision,
    loads: Vec<EngineLoad>,
    expires: Moment,
}

/// All leases this leader gave.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, NodeEntry>,
    version: u64,
    complete_from: Moment,
    in_force: Revision,
    loads: LoadTable,
}

impl NodeTable {
    /// Starts anew when leadership was won.
    pub fn start(&mut self, now: Moment) {
        self.nodes.clear();
        // Versions of different leaders must not be equal by chance.
        self.version = now.as_micros();
        self.complete_from = now + LEASE + LEASE_MARGIN;
        self.loads.start(now);
    }

    /// Whether every lease that may be valid is in the table.
    pub fn is_complete(&self, now: Moment) -> bool {
        now >= self.complete_from
    }

    /// Version of the list of nodes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Renews a lease. `false` when a newer start of the same node holds it.
    pub fn renew(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let node = &heartbeat.from;
        let known = self.nodes.get(&node.node);
        if known.is_some_and(|known| known.info.node.incarnation > node.incarnation) {
            return false;
        }
        let info = NodeInfo {
            node: node.clone(),
            peer_address: heartbeat.peer_address,
            zone: heartbeat.zone.clone(),
            stopping: heartbeat.stopping,
        };
        if known.is_none_or(|known| known.info != info) {
            self.version += 1;
        }
        let entry = NodeEntry {
            info,
            applied: heartbeat.applied,
            loads: heartbeat.loads.clone(),
            expires: now + LEASE + LEASE_MARGIN,
        };
        self.nodes.insert(node.node.clone(), entry);
        true
    }

    /// Drops leases that ran out, and publishes loads when it is time.
    pub fn expire(&mut self, now: Moment) {
        let before = self.nodes.len();
        self.nodes.retain(|_, entry| entry.expires > now);
        if self.nodes.len() != before {
            self.version += 1;
        }
        if self.loads.is_due(now) {
            let current = self.nodes.values().flat_map(|entry| &entry.loads);
            self.loads.publish(now, current);
        }
    }

    /// All nodes with a lease.
    pub fn nodes(&self) -> Vec<NodeInfo> {
        self.nodes.values().map(|entry| entry.info.clone()).collect()
    }

    /// The nodes with the revision each acts on.
    pub fn revisions(&self) -> Vec<(NodeRef, Revision)> {
        let pair = |entry: &NodeEntry| (entry.info.node.clone(), entry.applied);
        self.nodes.values().map(pair).collect()
    }

    /// What a gateway that knows version `known` of the loads lacks.
    pub fn loads_after(&self, known: u64) -> LoadsUpdate {
        self.loads.after(known)
    }

    /// The highest revision that every node with a lease acts on. Never goes back.
    pub fn in_force(&mut self, now: Moment, newest: Revision) -> Revision {
        if self.is_complete(now) {
            let lowest = self.nodes.values().map(|entry| entry.applied).min();
            self.in_force = self.in_force.max(lowest.unwrap_or(newest));
        }
        self.in_force
    }
}
