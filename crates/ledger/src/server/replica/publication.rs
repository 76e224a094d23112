//! What the replica thread tells other threads: applied entries, the status of the group, and what it
//! holds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_quarantine::CrashRecord;
use calicohoist_telemetry::{Event, emit};
use tokio::sync::watch;

use super::{DRAINED_ZONES, GROUP, GroupStatus, ReplicaThread};
use crate::commands::{cleared_key, crash_key};
use crate::state::LedgerState;

/// Interval at which the bytes that the replica holds are counted.
const HELD_COUNT_INTERVAL: Duration = Duration::from_secs(1);

impl ReplicaThread {
    /// Forwards newly applied runs to the scheduler.
    pub(super) fn forward_runs(&mut self) {
        let Some(runs) = self.node.machine(GROUP).map(LedgerState::runs) else {
            return;
        };
        if runs.next() != self.next_run {
            self.services.turns.record_runs(runs.since(self.next_run));
            self.next_run = runs.next();
        }
    }

    /// Forwards newly applied permit batches to the limiter.
    pub(super) fn forward_permits(&mut self) {
        let Some(permits) = self.node.machine(GROUP).map(LedgerState::permits) else {
            return;
        };
        if permits.newest() != self.last_permit_batch {
            self.last_permit_batch = permits.newest();
            self.services.limits.update_from_log(permits);
        }
    }

    /// Forwards newly stored crash records and cleared crashes to the gateways' service.
    pub(super) fn forward_crashes(&mut self) {
        let Some(state) = self.node.machine(GROUP) else {
            return;
        };
        let (crashes, cleared) = (state.crashes(), state.cleared_crashes());
        if crashes.next() != self.next_crash {
            let now = Instant::now();
            // A log that is replayed has records that have expired since.
            let is_kept = |record: &&CrashRecord| state.turns().contains(&crash_key(record));
            for record in crashes.since(self.next_crash).filter(is_kept) {
                self.services.crashes.add(record.clone(), now);
            }
            self.next_crash = crashes.next();
        }
        if cleared.next() != self.next_cleared {
            let now = Instant::now();
            let is_kept = |record: &&CrashRecord| state.turns().contains(&cleared_key(record));
            for record in cleared.since(self.next_cleared).filter(is_kept) {
                self.services.crashes.clear(record.clone(), now);
            }
            self.next_cleared = cleared.next();
        }
    }

    /// Publishes the drained zones if they have changed. The rest of the status is published by
    /// [`Self::publish`].
    pub(super) fn publish_drained(&mut self, out: &watch::Sender<GroupStatus>) {
        let drained = self.node.machine(GROUP).map(LedgerState::drained);
        let Some(drained) = drained.filter(|drained| **drained != *self.status.drained) else {
            return;
        };
        emit!(Event::ZonesDrained; version = drained.version, zones = drained);
        DRAINED_ZONES.set(drained.zones.len() as u64);
        self.status.drained = Arc::new(drained.clone());
        out.send_replace(self.status.clone());
    }

    pub(super) fn count_held_if_due(&mut self) {
        if self.held_counted_at.elapsed() < HELD_COUNT_INTERVAL {
            return;
        }
        self.held_counted_at = Instant::now();
        if let (Some(raft), Some(state)) = (self.node.raft(GROUP), self.node.machine(GROUP)) {
            self.held.count(raft, state);
        }
    }

    /// Logs how long it took a new leader to apply all entries committed by earlier leaders.
    pub(super) fn log_caught_up(&mut self) {
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

    pub(super) fn publish(&mut self, out: &watch::Sender<GroupStatus>) {
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
