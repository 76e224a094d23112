//! Queue of calls for one engine, kept by the gateway that owns the engine.
//!
//! A program is the sequence of dependent calls of one agent. Calls are ordered by least attained
//! service (Nuyens and Wierman, *The Foreground-Background Queue*, 2008): the program with the
//! fewest computed tokens goes first, since program lengths are unknown and short programs should
//! not wait behind long ones. Computed tokens are prompt tokens that were not cached, and output
//! tokens. The priority of a call rises while it waits, so that no program starves.

use std::collections::BTreeMap;

use calicohoist_types::{AttemptId, Moment};

use calicohoist_types::ids::NodeId;

/// Number of tokens that are subtracted from the attained service of a call per millisecond of
/// waiting.
const CREDIT_PER_MS: u64 = 2;

/// Call that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Attempt that the slot is for.
    pub attempt: AttemptId,
    /// Gateway that requested the slot and sends the call to the engine.
    pub holder: NodeId,
    /// Tokens computed for the call's program so far.
    pub attained_tokens: u64,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Time at which the call was queued.
    pub queued_at: Moment,
}

/// Error returned when the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Waiting and running calls of one engine.
#[derive(Debug, Default)]
pub struct EngineQueue {
    waiting: Vec<QueueEntry>,
    running: BTreeMap<AttemptId, (NodeId, Moment)>,
}

impl EngineQueue {
    /// Adds a call. Has no effect if the attempt is queued or running already.
    ///
    /// # Errors
    /// Returns [`QueueFull`] when `max_waiting` calls are waiting.
    pub fn add(&mut self, entry: QueueEntry, max_waiting: usize) -> Result<(), QueueFull> {
        if self.is_running(&entry.attempt) || self.is_waiting(&entry.attempt) {
            return Ok(());
        }
        if self.waiting.len() >= max_waiting {
            return Err(QueueFull);
        }
        self.waiting.push(entry);
        Ok(())
    }

    /// Returns whether the attempt has a slot.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt)
    }

    fn is_waiting(&self, attempt: &AttemptId) -> bool {
        self.waiting.iter().any(|entry| entry.attempt == *attempt)
    }

    /// Assigns free slots to waiting calls, lowest rank first.
    pub fn grant(&mut self, now: Moment, slots: u32) -> Vec<QueueEntry> {
        let mut granted = Vec::new();
        while self.running.len() < slots as usize {
            let Some(position) = self.next_position(now) else {
                break;
            };
            let entry = self.waiting.swap_remove(position);
            let slot = (entry.holder.clone(), now);
            self.running.insert(entry.attempt.clone(), slot);
            granted.push(entry);
        }
        granted
    }

    fn next_position(&self, now: Moment) -> Option<usize> {
        let ranked = self.waiting.iter().enumerate();
        let first = ranked.min_by_key(|(_, entry)| (rank(now, entry), entry.attempt.clone()));
        first.map(|(position, _)| position)
    }

    /// Removes a running or waiting call; returns whether there was one.
    pub fn remove(&mut self, attempt: &AttemptId) -> bool {
        let waiting_before = self.waiting.len();
        self.waiting.retain(|entry| entry.attempt != *attempt);
        let was_running = self.running.remove(attempt).is_some();
        was_running || self.waiting.len() != waiting_before
    }

    /// Adds a running call that got its slot from an earlier owner of the engine.
    pub fn adopt(&mut self, attempt: AttemptId, holder: NodeId, now: Moment) {
        self.running.entry(attempt).or_insert((holder, now));
    }

    /// Frees the slots of `holder` that it no longer uses: those that are not in `reported`, the
    /// slots that it reports to hold. Slots assigned at `before` or later are kept, since the
    /// report may be older.
    pub fn reconcile(&mut self, holder: &NodeId, reported: &[AttemptId], before: Moment) {
        self.running.retain(|attempt, (held_by, since)| {
            held_by != holder || reported.contains(attempt) || *since >= before
        });
    }

    /// Removes the calls of gateways for which `is_alive` is false.
    pub fn retain_holders(&mut self, is_alive: impl Fn(&NodeId) -> bool) {
        self.running.retain(|_, (holder, _)| is_alive(holder));
        self.waiting.retain(|entry| is_alive(&entry.holder));
    }

    /// Removes and returns the waiting calls; running calls stay.
    pub fn drain_waiting(&mut self) -> Vec<QueueEntry> {
        std::mem::take(&mut self.waiting)
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the total prompt length of the waiting calls, in tokens.
    pub fn waiting_tokens(&self) -> u64 {
        self.waiting.iter().map(|entry| entry.prompt_tokens).sum()
    }
}

/// Sort key of a waiting call; the smallest goes first.
fn rank(now: Moment, entry: &QueueEntry) -> i64 {
    let waited = now.since(entry.queued_at).as_millis() as u64;
    let credit = waited.saturating_mul(CREDIT_PER_MS);
    entry.attained_tokens as i64 - i64::try_from(credit).unwrap_or(i64::MAX)
}
