//! Registered names of the ledger machines, and the machines being retired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::commands::RetiringOutcome;

/// Ledger machines by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    names: BTreeMap<String, u32>,
    retiring: BTreeSet<String>,
}

impl Machines {
    /// Registers the name of a machine.
    pub fn register(&mut self, name: String, machine: u32) {
        // A machine has one name, and a name moves to the machine that registered it last.
        self.names.retain(|known, number| *number != machine || *known == name);
        self.names.insert(name, machine);
    }

    /// Starts retiring a machine if enough machines remain.
    pub fn retire(&mut self, name: &str, enough_remain: bool) -> RetiringOutcome {
        if self.retiring.contains(name) {
            return RetiringOutcome::Accepted;
        }
        if !self.names.contains_key(name) {
            return RetiringOutcome::Unknown;
        }
        if !enough_remain {
            return RetiringOutcome::TooFewLeft;
        }
        self.retiring.insert(name.to_owned());
        RetiringOutcome::Accepted
    }

    /// Returns the number of a machine.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.names.get(name).copied()
    }

    /// Returns the numbers of all machines that are or were members, or have asked to join.
    pub fn numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.names.values().copied()
    }

    /// Returns whether a machine is being retired or has been retired.
    pub fn is_retiring(&self, name: &str) -> bool {
        self.retiring.contains(name)
    }

    /// Returns the numbers of the retiring machines, which must not hold a replica.
    pub fn retiring_numbers(&self) -> BTreeSet<u32> {
        self.retiring.iter().filter_map(|name| self.number(name)).collect()
    }
}
