//! Which ledger machine to ask next.
//!
//! A machine that was cut off goes on to name the leader that it knew, and that leader
//! may have been deposed. A hint to a machine that has just refused is therefore not
//! followed; whoever was not asked for the longest time is next. Of machines that were
//! not asked yet each gateway has an order of its own: hundreds of gateways that look
//! for a leader at once must not all ask the same machine.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// A machine that refused, or stayed silent, is not asked again on a hint within this.
const REFUSAL_HOLDS: Duration = Duration::from_millis(150);

/// What is known of the machines.
#[derive(Debug)]
pub struct Targets {
    seeds: Vec<u32>,
    machines: Vec<u32>,
    target: u32,
    /// Whether the target said that it leads, and nothing spoke against it since.
    is_confirmed: bool,
    refused: HashMap<u32, Instant>,
    /// Tells the order of this gateway from that of others.
    salt: u64,
}

impl Targets {
    /// Begins with one of `seeds`; `salt` decides which.
    pub fn new(seeds: Vec<u32>, salt: u64) -> Self {
        let first = seeds.iter().copied().min_by_key(|seed| place(salt, *seed));
        Self {
            machines: seeds.clone(),
            seeds,
            target: first.unwrap_or_default(),
            is_confirmed: false,
            refused: HashMap::new(),
            salt,
        }
    }

    /// The machine to ask.
    pub fn current(&self) -> u32 {
        self.target
    }

    /// The machine that leads, as far as is known.
    pub fn leader(&self) -> Option<u32> {
        self.is_confirmed.then_some(self.target)
    }

    /// `machine` said that it leads.
    pub fn confirm(&mut self, machine: u32) {
        self.target = machine;
        self.is_confirmed = true;
    }

    /// Notes the machines of the group, as a member knows them.
    pub fn learn(&mut self, machines: Vec<u32>) {
        if !machines.is_empty() {
            self.machines = machines;
        }
    }

    /// `asked` does not lead, broke or stayed silent; `hint` is whom it believes to.
    /// Returns whether the next machine may be asked at once.
    pub fn refused(&mut self, asked: u32, hint: Option<u32>, now: Instant) -> bool {
        self.refused.insert(asked, now);
        if self.target != asked {
            // Another question has moved on already.
            return true;
        }
        self.is_confirmed = false;
        let hint = hint.filter(|hint| *hint != asked && !self.has_just_refused(*hint, now));
        let next = hint.or_else(|| self.longest_not_asked(asked));
        if let Some(next) = next {
            self.target = next;
        }
        !self.has_just_refused(self.target, now)
    }

    fn has_just_refused(&self, machine: u32, now: Instant) -> bool {
        let refused = self.refused.get(&machine);
        refused.is_some_and(|at| now.saturating_duration_since(*at) < REFUSAL_HOLDS)
    }

    /// The machine, other than `except`, that refused longest ago.
    pub fn longest_not_asked(&self, except: u32) -> Option<u32> {
        let known = self.machines.iter().chain(&self.seeds).copied();
        let others = known.filter(|machine| *machine != except);
        others
            .min_by_key(|machine| (self.refused.get(machine).copied(), place(self.salt, *machine)))
    }
}

/// Place of a machine in the order of one gateway.
fn place(salt: u64, machine: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (salt, machine).hash(&mut hasher);
    hasher.finish()
}
