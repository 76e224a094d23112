//! Who waits for what became of a proposal or a read.
//!
//! A command that is asked for again while it is under way is the same command: it is
//! not proposed a second time, and all of its askers get the one outcome.

use std::collections::{BTreeMap, HashMap};

use calicohoist_replication::Ticket;

use super::request::Respond;
use crate::commands::{Output, ReserveTurn};

/// An asker, with what is needed to answer it.
pub(super) enum Pending {
    Change(Respond),
    Reserve(ReserveTurn, Respond),
    Retire(Respond),
    ReadConfiguration { newer_than: u64, respond: Respond },
    ReadRetiring(String, Respond),
}

impl Pending {
    pub(super) fn respond(self) -> Respond {
        match self {
            Self::Change(respond)
            | Self::Reserve(_, respond)
            | Self::Retire(respond)
            | Self::ReadConfiguration { respond, .. }
            | Self::ReadRetiring(_, respond) => respond,
        }
    }
}

/// How a pending request ended.
#[derive(Clone, Debug)]
pub(super) enum Answered {
    Output(Output),
    MayRead,
    NotLeader(Option<u32>),
    Lost,
}

/// Digest of an encoded command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CommandDigest([u8; 32]);

impl CommandDigest {
    pub(super) fn of(encoded: &[u8]) -> Self {
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
pub(super) struct PendingTable {
    entries: BTreeMap<Ticket, PendingEntry>,
    tickets: HashMap<CommandDigest, Ticket>,
    next_ticket: Ticket,
}

impl PendingTable {
    /// A ticket that was not used before.
    pub(super) fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Adds an asker to the same command, if it is under way; else gives it back.
    pub(super) fn join(&mut self, command: CommandDigest, asker: Pending) -> Option<Pending> {
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
    pub(super) fn add_command(&mut self, ticket: Ticket, command: CommandDigest, asker: Pending) {
        self.tickets.insert(command, ticket);
        let entry = PendingEntry { command: Some(command), askers: vec![asker] };
        self.entries.insert(ticket, entry);
    }

    /// Adds a read.
    pub(super) fn add_read(&mut self, ticket: Ticket, asker: Pending) {
        self.entries.insert(ticket, PendingEntry { command: None, askers: vec![asker] });
    }

    /// Removes what has ended; returns its askers.
    pub(super) fn take(&mut self, ticket: Ticket) -> Vec<Pending> {
        let Some(entry) = self.entries.remove(&ticket) else {
            return Vec::new();
        };
        if let Some(command) = entry.command {
            self.tickets.remove(&command);
        }
        entry.askers
    }
}
