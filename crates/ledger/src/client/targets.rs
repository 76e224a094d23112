//! Which ledger machine to ask next.
//!
//! A machine that was cut off goes on to name the leader that it knew, and that leader
//! may have been deposed. A hint to a machine that has just refused is therefore not
//! followed; whoever was not asked for the longest time is next.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A machine that refused, or stayed silent, is not asked again on a hint within this.
const REFUSAL_HOLDS: Duration = Duration::from_millis(150);

/// What is known of the machines.
#[derive(Debug)]
pub struct Targets {
    seeds: Vec<u32>,
    machines: Vec<u32>,
    target: u32,
    refused: HashMap<u32, Instant>,
}

impl Targets {
    /// Begins with the first of `seeds`.
    pub fn new(seeds: Vec<u32>) -> Self {
        let target = seeds.first().copied().unwrap_or_default();
        Self { machines: seeds.clone(), seeds, target, refused: HashMap::new() }
    }

    /// The machine to ask.
    pub fn current(&self) -> u32 {
        self.target
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

    fn longest_not_asked(&self, except: u32) -> Option<u32> {
        let known = self.machines.iter().chain(&self.seeds).copied();
        let others = known.filter(|machine| *machine != except);
        others.min_by_key(|machine| self.refused.get(machine).copied())
    }
}
