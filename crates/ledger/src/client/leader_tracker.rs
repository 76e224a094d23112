//! Selection of the ledger machine to contact next.
//!
//! A partitioned machine may keep naming a leader that has been replaced. Hints that name a
//! machine that has recently refused a request are therefore ignored in favor of the machine that
//! refused least recently. Each gateway contacts untried machines in an order of its own, so that
//! gateways searching for a leader at the same time do not all contact the same machine.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// Time during which hints that name a machine that refused or timed out are ignored.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(150);

/// Tracks the presumed leader and the known members.
#[derive(Debug)]
pub struct LeaderTracker {
    seeds: Vec<u32>,
    members: Vec<u32>,
    target: u32,
    /// Whether the target has claimed leadership and has not refused a request since.
    is_confirmed: bool,
    /// When each machine last refused a request or timed out.
    refused_at: HashMap<u32, Instant>,
    /// Makes the order of untried machines specific to this gateway.
    salt: u64,
}

impl LeaderTracker {
    /// Creates a tracker that starts with one of `seeds`, selected by `salt`.
    pub fn new(seeds: Vec<u32>, salt: u64) -> Self {
        let first = seeds.iter().copied().min_by_key(|seed| rank(salt, *seed));
        Self {
            members: seeds.clone(),
            seeds,
            target: first.unwrap_or_default(),
            is_confirmed: false,
            refused_at: HashMap::new(),
            salt,
        }
    }

    /// Returns the machine to contact.
    pub fn current(&self) -> u32 {
        self.target
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<u32> {
        self.is_confirmed.then_some(self.target)
    }

    /// Records that `machine` has claimed leadership.
    pub fn confirm_leader(&mut self, machine: u32) {
        self.target = machine;
        self.is_confirmed = true;
    }

    /// Replaces the known members of the group, unless `members` is empty.
    pub fn update_members(&mut self, members: Vec<u32>) {
        if !members.is_empty() {
            self.members = members;
        }
    }

    /// Records that `machine` does not lead, failed or timed out; `hint` is the leader it named.
    /// Returns whether the next machine may be contacted without backoff.
    pub fn record_refusal(&mut self, machine: u32, hint: Option<u32>, now: Instant) -> bool {
        self.refused_at.insert(machine, now);
        if self.target != machine {
            // Another request has already selected a new target.
            return true;
        }
        self.is_confirmed = false;
        let hint = hint.filter(|hint| *hint != machine && !self.recently_refused(*hint, now));
        let next = hint.or_else(|| self.least_recently_refused(machine));
        if let Some(next) = next {
            self.target = next;
        }
        !self.recently_refused(self.target, now)
    }

    fn recently_refused(&self, machine: u32, now: Instant) -> bool {
        let refused_at = self.refused_at.get(&machine);
        refused_at.is_some_and(|at| now.saturating_duration_since(*at) < REFUSAL_COOLDOWN)
    }

    /// Returns the machine, other than `except`, that refused least recently; untried machines
    /// come first.
    pub fn least_recently_refused(&self, except: u32) -> Option<u32> {
        let known = self.members.iter().chain(&self.seeds).copied();
        let others = known.filter(|machine| *machine != except);
        others.min_by_key(|machine| {
            (self.refused_at.get(machine).copied(), rank(self.salt, *machine))
        })
    }
}

/// Rank of a machine in the order of one gateway.
fn rank(salt: u64, machine: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (salt, machine).hash(&mut hasher);
    hasher.finish()
}
