//! Which gateways the leader hears from.
//!
//! A gateway that is cut off from the leader goes on serving, and writes what it could not as soon as it
//! is back. Until then, the ledger cannot tell that something was never written.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time without a watch after which a gateway may be cut off. Longer than a watch is held, and shorter than
/// the time for which the first event of a stream waits for its record.
pub const CONTACT_SILENCE: Duration = Duration::from_millis(900);
/// Time without a watch after which a gateway counts as ended.
pub const ABSENCE_LIMIT: Duration = Duration::from_secs(10);
/// Time after its return in which a gateway writes what it could not before: it finds the leader, and
/// retries.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(2_500);

/// Last watch of a gateway.
#[derive(Clone, Copy, Debug)]
struct Contact {
    at: Instant,
    /// When the gateway watched again after it had been silent.
    returned_at: Option<Instant>,
}

impl Contact {
    fn renew(&mut self, now: Instant) {
        if self.is_silent(now) {
            self.returned_at = Some(now);
        }
        self.at = now;
    }

    fn has_ended(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= ABSENCE_LIMIT
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= CONTACT_SILENCE
    }

    fn is_catching_up(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < CATCH_UP_TIME;
        self.returned_at.is_some_and(is_recent)
    }
}

/// Last watches of all gateways.
#[derive(Debug, Default)]
pub struct GatewayContacts {
    contacts: Mutex<HashMap<String, Contact>>,
}

impl GatewayContacts {
    /// Records a watch of a gateway.
    pub fn record(&self, gateway: &str, now: Instant) {
        let mut contacts = self.contacts.lock();
        match contacts.get_mut(gateway) {
            Some(contact) if !contact.has_ended(now) => contact.renew(now),
            Some(_) | None => {
                contacts.retain(|_, contact| !contact.has_ended(now));
                contacts.insert(gateway.to_owned(), Contact { at: now, returned_at: None });
            }
        }
    }

    /// Returns whether a gateway may still write what it could not while it was cut off.
    pub fn may_have_pending_writes(&self, now: Instant) -> bool {
        let contacts = self.contacts.lock();
        let mut present = contacts.values().filter(|contact| !contact.has_ended(now));
        present.any(|contact| contact.is_silent(now) || contact.is_catching_up(now))
    }
}
