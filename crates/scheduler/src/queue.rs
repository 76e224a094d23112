//! The queue of one engine, kept by its owner.
//!
//! Order is least attained service: the program that has been served least goes
//! first, since nobody knows how long a program will be, and short ones should
//! not wait behind long ones. Waiting counts as credit, so that no program
//! starves (Nuyens and Wierman, *The Foreground-Background Queue*, 2008).

use std::collections::BTreeMap;

use calicohoist_types::{AttemptId, Moment};

use calicohoist_types::ids::NodeId;

/// Tokens of credit that a millisecond of waiting is worth.
const CREDIT_PER_MILLI: u64 = 2;

/// One call that wants a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// The gateway that will run it.
    pub holder: NodeId,
    /// Tokens computed for its program so far.
    pub attained_tokens: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Since when it waits.
    pub since: Moment,
}

/// The queue has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Waiting and running calls of one engine.
#[derive(Debug, Default)]
pub struct EngineQueue {
    waiting: Vec<QueueEntry>,
    running: BTreeMap<AttemptId, (NodeId, Moment)>,
}

impl EngineQueue {
    /// Adds a call, once; a repeated request changes nothing.
    ///
    /// # Errors
    /// When `max_waiting` calls wait already.
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

    /// Whether the attempt has a slot.
    pub fn is_running(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt)
    }

    fn is_waiting(&self, attempt: &AttemptId) -> bool {
        self.waiting.iter().any(|entry| entry.attempt == *attempt)
    }

    /// Gives free slots to the calls that should go next.
    pub fn grant(&mut self, now: Moment, slots: u32) -> Vec<QueueEntry> {
        let mut granted = Vec::new();
        while self.running.len() < slots as usize {
            let Some(position) = self.next(now) else {
                break;
            };
            let entry = self.waiting.swap_remove(position);
            let holder = (entry.holder.clone(), now);
            self.running.insert(entry.attempt.clone(), holder);
            granted.push(entry);
        }
        granted
    }

    fn next(&self, now: Moment) -> Option<usize> {
        let ranked = self.waiting.iter().enumerate();
        let first = ranked.min_by_key(|(_, entry)| (rank(now, entry), entry.attempt.clone()));
        first.map(|(position, _)| position)
    }

    /// Frees a slot or a place in the queue; `true` when there was one.
    pub fn remove(&mut self, attempt: &AttemptId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|entry| entry.attempt != *attempt);
        let was_running = self.running.remove(attempt).is_some();
        was_running || self.waiting.len() != before
    }

    /// Notes a slot that was given by an earlier owner.
    pub fn adopt(&mut self, attempt: AttemptId, holder: NodeId, now: Moment) {
        self.running.entry(attempt).or_insert((holder, now));
    }

    /// Takes back slots of `holder` that it does not name and that were given
    /// before `before`.
    pub fn reconcile(&mut self, holder: &NodeId, named: &[AttemptId], before: Moment) {
        self.running.retain(|attempt, (held_by, since)| {
            held_by != holder || named.contains(attempt) || *since >= before
        });
    }

    /// Takes back everything of gateways for which `is_alive` is false.
    pub fn drop_holders(&mut self, is_alive: impl Fn(&NodeId) -> bool) {
        self.running.retain(|_, (holder, _)| is_alive(holder));
        self.waiting.retain(|entry| is_alive(&entry.holder));
    }

    /// Empties the queue, keeping what runs.
    pub fn take_waiting(&mut self) -> Vec<QueueEntry> {
        std::mem::take(&mut self.waiting)
    }

    /// Calls with a slot.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Calls without one.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Prompt tokens of the calls without one.
    pub fn waiting_tokens(&self) -> u64 {
        self.waiting.iter().map(|entry| entry.prompt_tokens).sum()
    }
}

/// Smaller goes first.
fn rank(now: Moment, entry: &QueueEntry) -> i64 {
    let waited = now.since(entry.since).as_millis() as u64;
    let credit = waited.saturating_mul(CREDIT_PER_MILLI);
    entry.attained_tokens as i64 - i64::try_from(credit).unwrap_or(i64::MAX)
}
