//! Who waits for what became of a proposal or a read.
//!
//! A command that is asked for again while it is under way is the same command: it is
//! not proposed a second time, and all of its askers get the one outcome.

use std::collections::{BTreeMap, HashMap};

use calicohoist_replication::Ticket;

use super::request::Respond;
use crate::commands::{Output, ReserveTurn};

/// An asker, with what is needed to answer it.
pub enum Pending {
    /// Wants what came of a change.
    Change(Respond),
    /// Wants what came of a reservation, with the history.
    Reserve(ReserveTurn, Respond),
    /// Wants what came of emptying a machine.
    Retire(Respond),
    /// Wants the configuration, if it is newer than the one it holds.
    ReadConfiguration {
        /// Version that it holds.
        newer_than: u64,
        /// Takes the response.
        respond: Respond,
    },
    /// Wants to know that this machine leads.
    Confirm(Respond),
    /// Wants to know whether a machine is empty.
    ReadRetiring(String, Respond),
}

impl Pending {
    /// What takes the response.
    pub fn respond(self) -> Respond {
        match self {
            Self::Change(respond)
            | Self::Reserve(_, respond)
            | Self::Retire(respond)
            | Self::Confirm(respond)
            | Self::ReadConfiguration { respond, .. }
            | Self::ReadRetiring(_, respond) => respond,
        }
    }
}

/// How a pending request ended.
#[derive(Clone, Debug)]
pub enum Answered {
    /// The command was applied.
    Output(Output),
    /// The state may be read.
    MayRead,
    /// Another machine leads.
    NotLeader(Option<u32>),
    /// It may or may not be applied in the end.
    Lost,
}

/// Digest of an encoded command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommandDigest([u8; 32]);

impl CommandDigest {
    /// Of these bytes.
    pub fn of(encoded: &[u8]) -> Self {
        Self(*blake3::hash(encoded).as_bytes())
    }
}

#[derive(Default)]
struct PendingEntry {
    command: Option<CommandDigest>,
    askers: Vec<Pending>,
}

/// All that is under way, by ticket.
#[derive(Default)]
pub struct PendingTable {
    entries: BTreeMap<Ticket, PendingEntry>,
    tickets: HashMap<CommandDigest, Ticket>,
    next_ticket: Ticket,
}

impl PendingTable {
    /// A ticket that was not used before.
    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Adds an asker to the same command, if it is under way; else gives it back.
    pub fn join(&mut self, command: CommandDigest, asker: Pending) -> Option<Pending> {
        let ticket = self.tickets.get(&command);
        match ticket.and_then(|ticket| self.entries.get_mut(ticket)) {
            Some(entry) => {
                entry.askers.push(asker);
                None
            }
            None => Some(asker),
        }
    }

    /// Adds a command that was proposed.
    pub fn add_command(&mut self, ticket: Ticket, command: CommandDigest, asker: Pending) {
        self.tickets.insert(command, ticket);
        let entry = PendingEntry { command: Some(command), askers: vec![asker] };
        self.entries.insert(ticket, entry);
    }

    /// Adds what nobody joins: a read, or a command that counts each time.
    pub fn add_single(&mut self, ticket: Ticket, asker: Pending) {
        self.entries.insert(ticket, PendingEntry { command: None, askers: vec![asker] });
    }

    /// Removes what has ended; returns its askers.
    pub fn take(&mut self, ticket: Ticket) -> Vec<Pending> {
        let Some(entry) = self.entries.remove(&ticket) else {
            return Vec::new();
        };
        if let Some(command) = entry.command {
            self.tickets.remove(&command);
        }
        entry.askers
    }
}
