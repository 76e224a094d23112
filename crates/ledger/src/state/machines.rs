//! The names of the ledger's machines, and those that are being emptied.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::commands::RetiringOutcome;

/// Machines by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machines {
    names: BTreeMap<String, u32>,
    retiring: BTreeSet<String>,
}

impl Machines {
    /// Notes which machine has a name.
    pub fn enroll(&mut self, name: String, machine: u32) {
        // A machine at another address took over the name of one that is gone.
        self.names.retain(|known, number| *number != machine || *known == name);
        self.names.insert(name, machine);
    }

    /// Begins to empty a machine, if enough would be left.
    pub fn retire(&mut self, name: &str, enough_left: bool) -> RetiringOutcome {
        if self.retiring.contains(name) {
            return RetiringOutcome::Accepted;
        }
        if !self.names.contains_key(name) {
            return RetiringOutcome::Unknown;
        }
        if !enough_left {
            return RetiringOutcome::TooFewLeft;
        }
        self.retiring.insert(name.to_owned());
        RetiringOutcome::Accepted
    }

    /// The number of a machine.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.names.get(name).copied()
    }

    /// Numbers of all machines that were ever part of the ledger, or asked to be.
    pub fn numbers(&self) -> impl Iterator<Item = u32> + '_ {
        self.names.values().copied()
    }

    /// Whether a machine is being emptied, or has been.
    pub fn is_retiring(&self, name: &str) -> bool {
        self.retiring.contains(name)
    }

    /// Numbers of the machines that must hold no replica.
    pub fn retiring_numbers(&self) -> BTreeSet<u32> {
        self.retiring.iter().filter_map(|name| self.number(name)).collect()
    }
}
