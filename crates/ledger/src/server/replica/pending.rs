//! Requests that wait for the outcome of a proposal or a read.
//!
//! A command that is requested again while it is pending is not proposed a second time. All its
//! requesters receive the same outcome.

use std::collections::{BTreeMap, HashMap};

use calicohoist_replication::Ticket;

use super::origins::PendingOrigin;
use super::request::ResponseCallback;
use crate::commands::{Output, ReserveTurn};

/// A pending request with the data needed to answer it.
pub enum PendingRequest {
    /// Waits for a change.
    Change(ResponseCallback),
    /// Waits for the origin of a stream to be stored, and for its conflict if there is one.
    StoreOrigin(PendingOrigin, ResponseCallback),
    /// Waits for a reservation and the history.
    Reserve(ReserveTurn, ResponseCallback),
    /// Waits for a step of the clock of the state that was proposed in this term.
    Step(u64),
    /// Waits for retained turns to be sealed.
    Seal,
    /// Waits for the retirement of a machine to be accepted.
    Retire(ResponseCallback),
    /// Reads the configuration if it is newer than a given version.
    ReadConfiguration {
        /// Version known to the requester.
        newer_than: u64,
        /// Callback for the response.
        respond: ResponseCallback,
    },
    /// Waits for confirmation of the leadership.
    Confirm(ResponseCallback),
    /// Reads whether a retiring machine is empty.
    ReadRetiring(String, ResponseCallback),
}

impl PendingRequest {
    /// Returns the callback for the response.
    pub fn callback(self) -> ResponseCallback {
        match self {
            Self::Change(respond)
            | Self::StoreOrigin(_, respond)
            | Self::Reserve(_, respond)
            | Self::Retire(respond)
            | Self::Confirm(respond)
            | Self::ReadConfiguration { respond, .. }
            | Self::ReadRetiring(_, respond) => respond,
            Self::Step(_) | Self::Seal => Box::new(|_| {}),
        }
    }
}

/// The outcome of a pending request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The command was applied.
    Output(Output),
    /// The state may be read.
    ReadReady,
    /// This machine is not the leader.
    NotLeader(Option<u32>),
    /// The outcome is unknown: the command may or may not be applied.
    Lost,
}

/// Digest of an encoded command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommandDigest([u8; 32]);

impl CommandDigest {
    /// Computes the digest of an encoded command.
    pub fn of(encoded: &[u8]) -> Self {
        Self(*blake3::hash(encoded).as_bytes())
    }
}

#[derive(Default)]
struct PendingEntry {
    command: Option<CommandDigest>,
    requests: Vec<PendingRequest>,
}

/// All pending requests by ticket.
#[derive(Default)]
pub struct PendingTable {
    entries: BTreeMap<Ticket, PendingEntry>,
    tickets: HashMap<CommandDigest, Ticket>,
    next_ticket: Ticket,
}

impl PendingTable {
    /// Returns a new ticket.
    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Attaches a request to the same command if that is pending; returns the request otherwise.
    pub fn join(
        &mut self,
        command: CommandDigest,
        request: PendingRequest,
    ) -> Option<PendingRequest> {
        let ticket = self.tickets.get(&command);
        match ticket.and_then(|ticket| self.entries.get_mut(ticket)) {
            Some(entry) => {
                entry.requests.push(request);
                None
            }
            None => Some(request),
        }
    }

    /// Adds a proposed command.
    pub fn add_command(&mut self, ticket: Ticket, command: CommandDigest, request: PendingRequest) {
        self.tickets.insert(command, ticket);
        let entry = PendingEntry { command: Some(command), requests: vec![request] };
        self.entries.insert(ticket, entry);
    }

    /// Adds a request that cannot be joined: a read, or a command that must be proposed each time.
    pub fn add_unshared(&mut self, ticket: Ticket, request: PendingRequest) {
        self.entries.insert(ticket, PendingEntry { command: None, requests: vec![request] });
    }

    /// Removes and returns the requests of a finished ticket.
    pub fn take(&mut self, ticket: Ticket) -> Vec<PendingRequest> {
        let Some(entry) = self.entries.remove(&ticket) else {
            return Vec::new();
        };
        if let Some(command) = entry.command {
            self.tickets.remove(&command);
        }
        entry.requests
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<PendingRequest> {
        self.tickets.clear();
        let entries = std::mem::take(&mut self.entries);
        entries.into_values().flat_map(|entry| entry.requests).collect()
    }
}
