//! Whether a gateway hears from the leader of the ledger.

use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::CRASH_RECORDS_VERSION;
use calicohoist_transport::ProtocolVersion;

/// Maximum time since the leader's last answer for which the routing table counts as current.
/// Covers several watch intervals, but is shorter than the time in which a configuration change
/// must be applied everywhere.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(1_500);
/// Maximum time since the leader's last answer for which the gateway counts as following the ledger.
/// Longer than a leader holds a watch.
pub const MAX_FOLLOWER_SILENCE: Duration = Duration::from_millis(750);
/// Maximum time from a watch to its answer that counts: that for which a leader holds a watch, and that
/// of the answer on its way. A gateway that stood still finds an answer that is much older.
pub const MAX_ANSWER_TIME: Duration = Duration::from_millis(600);
/// Time after contact with the leader was resumed in which other gateways, which may find the leader
/// later, write what they could not before: they notice that a connection is dead, look for the
/// leader at two other machines, and retry.
const PENDING_WRITES_TIME: Duration = Duration::from_millis(2_500);

/// Returns when the leader gave the answer to a watch, at the latest.
pub fn given_at(sent_at: Instant, received_at: Instant) -> Instant {
    received_at.min(sent_at + MAX_ANSWER_TIME)
}

/// An answer of the leader to a watch.
#[derive(Clone, Copy, Debug)]
pub struct LeaderAnswer {
    /// When the leader gave it, at the latest.
    pub given_at: Instant,
    /// Version of the connection to the leader.
    pub version: ProtocolVersion,
    /// Number of ledger connections that have been given up.
    pub dropped_connections: u64,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    last: LeaderAnswer,
    /// First of the answers since which the gateway has not been cut off from the leader.
    since: Instant,
}

/// A gateway's contact with the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct LedgerContact {
    contact: Option<Contact>,
}

impl LedgerContact {
    /// Records an answer.
    pub fn record_answer(&mut self, answer: LeaderAnswer) {
        let LeaderAnswer { given_at, dropped_connections, .. } = answer;
        let contact = self.unbroken(dropped_connections, given_at);
        let since = contact.map_or(given_at, |contact| contact.since);
        self.contact = Some(Contact { last: answer, since });
    }

    /// Returns whether the routing table is current, up to the usual propagation delay.
    pub fn is_current(&self, now: Instant) -> bool {
        let silence = |contact: Contact| now.saturating_duration_since(contact.last.given_at);
        self.contact.is_some_and(|contact| silence(contact) < MAX_LEADER_SILENCE)
    }

    /// Returns whether the gateway receives what the ledger records as it is recorded, if that many
    /// connections have been given up by now.
    pub fn follows_ledger(&self, dropped_connections: u64, now: Instant) -> bool {
        self.unbroken(dropped_connections, now)
            .is_some_and(|contact| contact.last.version >= CRASH_RECORDS_VERSION)
    }

    /// Returns whether other gateways may still write what they could not while there was no leader.
    pub fn may_have_pending_writes(&self, dropped_connections: u64, now: Instant) -> bool {
        self.unbroken(dropped_connections, now).is_none_or(|contact| {
            now.saturating_duration_since(contact.since) < PENDING_WRITES_TIME
        })
    }

    /// Returns the contact unless the gateway has been cut off from the leader since the last answer.
    fn unbroken(&self, dropped_connections: u64, now: Instant) -> Option<Contact> {
        self.contact.filter(|Contact { last, .. }| {
            now.saturating_duration_since(last.given_at) < MAX_FOLLOWER_SILENCE
                && last.dropped_connections == dropped_connections
        })
    }
}
