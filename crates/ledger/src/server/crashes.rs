//! Distribution of crash records to gateways.
//!
//! The log is the source of the records. Every ledger machine follows it, so that a new leader knows
//! them.

use std::collections::VecDeque;
use std::time::Instant;

use calicohoist_quarantine::{Answers, CRASH_RETENTION, CrashRecord};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::protocol::{CrashNotice, TermVersion};

/// Maximum number of records, under 1 MB. The oldest ones are forgotten first.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of records of one tenant. More are not stored.
const MAX_RECORDS_PER_TENANT: usize = 1_024;

/// A record with the number of the change that added it.
struct NumberedRecord {
    change: u64,
    record: CrashRecord,
    is_cleared: bool,
    forget_at: Instant,
    /// Answers to the request since this crash, at all gateways. Counted by the leader only.
    answers: Answers,
}

impl NumberedRecord {
    fn notice(&self, now: Instant) -> CrashNotice {
        let left_ms = match self.is_cleared {
            true => 0,
            // Rounded up: without any time left, a notice says that the crash was cleared.
            false => self.forget_at.saturating_duration_since(now).as_micros().div_ceil(1_000),
        };
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let CrashRecord { request, replica, .. } = &self.record;
        CrashNotice { request: *request, replica: replica.clone(), left_ms }
    }
}

/// Crash records of the last [`CRASH_RETENTION`].
pub struct CrashBoard {
    /// Records, oldest first.
    records: Mutex<VecDeque<NumberedRecord>>,
    /// Number of the newest change, for waiting watches.
    changes: watch::Sender<u64>,
}

impl Default for CrashBoard {
    fn default() -> Self {
        Self { records: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl CrashBoard {
    /// Adds a record from the log unless it is known, or cleared.
    pub fn add(&self, record: CrashRecord, now: Instant) {
        let mut records = self.records.lock();
        expire(&mut records, now);
        if !records.iter().any(|known| known.record == record) {
            self.push(&mut records, record, false, now);
        }
    }

    /// Clears a crash, whether its record is known yet or not.
    pub fn clear(&self, record: CrashRecord, now: Instant) {
        let mut records = self.records.lock();
        expire(&mut records, now);
        let known = records.iter().position(|known| known.record == record);
        if known.is_some_and(|index| records[index].is_cleared) {
            return;
        }
        if let Some(index) = known {
            records.remove(index);
        }
        self.push(&mut records, record, true, now);
    }

    /// Records an answer of a replica since the newest crash under a request, as the gateway knows
    /// it; answers from before a crash say nothing of it. Once the answers show that the request is
    /// harmless, returns its crashes, which are to be cleared.
    pub fn record_answer(
        &self,
        newest: &CrashRecord,
        replica: &str,
        now: Instant,
    ) -> Vec<CrashRecord> {
        let mut records = self.records.lock();
        let is_counted = |known: &&mut NumberedRecord| {
            known.record.request == newest.request && !known.is_cleared && known.forget_at > now
        };
        let Some(last) = records.iter_mut().rev().find(is_counted) else {
            return Vec::new();
        };
        if last.record != *newest {
            return Vec::new();
        }
        last.answers.add(replica);
        if !last.answers.show_harmless() {
            return Vec::new();
        }
        last.answers = Answers::default();
        records.iter_mut().filter(is_counted).map(|known| known.record.clone()).collect()
    }

    fn push(
        &self,
        records: &mut VecDeque<NumberedRecord>,
        record: CrashRecord,
        is_cleared: bool,
        now: Instant,
    ) {
        if records.len() >= MAX_RECORDS {
            records.pop_front();
        }
        let change = *self.changes.borrow() + 1;
        let forget_at = now + CRASH_RETENTION;
        let answers = Answers::default();
        records.push_back(NumberedRecord { change, record, is_cleared, forget_at, answers });
        self.changes.send_replace(change);
    }

    /// Returns whether another record of this tenant may be stored.
    pub fn has_room(&self, tenant: Option<&str>, now: Instant) -> bool {
        let records = self.records.lock();
        let is_counted = |known: &&NumberedRecord| {
            known.forget_at > now && known.record.tenant.as_deref() == tenant
        };
        records.iter().filter(is_counted).count() < MAX_RECORDS_PER_TENANT
    }

    /// Returns the number of the change that added a record.
    pub fn change_of(&self, record: &CrashRecord) -> Option<u64> {
        let records = self.records.lock();
        records.iter().find(|known| known.record == *record).map(|known| known.change)
    }

    /// Subscribes to the number of the newest change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns whether there are records that a gateway has not received, which has those up to
    /// `seen`. Changes are numbered by each machine, so a gateway has none of a leader's records
    /// that it received from another one.
    pub fn has_changes(&self, term: u64, seen: TermVersion, now: Instant) -> bool {
        let seen = seen_change(term, seen);
        let records = self.records.lock();
        records.back().is_some_and(|newest| newest.change > seen && newest.forget_at > now)
    }

    /// Returns the records that a gateway has not received, with the version of the newest one.
    pub fn changes_since(
        &self,
        term: u64,
        seen: TermVersion,
        now: Instant,
    ) -> (TermVersion, Vec<CrashNotice>) {
        let seen = seen_change(term, seen);
        let records = self.records.lock();
        let change = records.back().map_or(seen, |newest| newest.change);
        let is_new = |known: &&NumberedRecord| known.change > seen && known.forget_at > now;
        let notices = records.iter().filter(is_new).map(|known| known.notice(now)).collect();
        (TermVersion { term, change }, notices)
    }
}

/// Removes the records whose retention has ended.
fn expire(records: &mut VecDeque<NumberedRecord>, now: Instant) {
    while records.front().is_some_and(|oldest| oldest.forget_at <= now) {
        records.pop_front();
    }
}

/// Returns the number of the last change that a gateway has received in this term.
fn seen_change(term: u64, seen: TermVersion) -> u64 {
    if seen.term == term { seen.change } else { 0 }
}
