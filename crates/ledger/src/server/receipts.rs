//! Which crash records the gateways have received.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_quarantine::CrashRecord;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::crashes::CrashBoard;
use crate::protocol::TermVersion;

/// Time without a watch after which a gateway no longer follows the ledger. Longer than the time
/// after which the gateway itself assumes that.
pub const GATEWAY_SILENCE: Duration = Duration::from_millis(1_400);
/// How often a waiting record is compared with the gateways that have fallen silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Last watch of a gateway.
#[derive(Clone, Copy, Debug)]
struct Receipt {
    /// Records that the gateway has.
    mark: TermVersion,
    at: Instant,
}

/// Records that each gateway has received from the leader.
#[derive(Default)]
pub struct CrashReceipts {
    receipts: Mutex<HashMap<String, Receipt>>,
    /// Current term, and when this machine first learned of it.
    term: Mutex<Option<(u64, Instant)>>,
    received: Notify,
}

impl CrashReceipts {
    /// Records the version of the records with which a gateway watches. Returns whether it has
    /// received records since its previous watch.
    pub fn record(&self, gateway: &str, mark: TermVersion, now: Instant) -> bool {
        let previous = self.receipts.lock().insert(gateway.to_owned(), Receipt { mark, at: now });
        let has_received = previous.is_some_and(|previous| previous.mark != mark);
        if has_received {
            self.received.notify_waiters();
        }
        has_received
    }

    /// Returns whether every gateway that follows the ledger has the changes up to `change` of this
    /// term. Unknown until all of them have had the time to watch.
    pub fn is_received(&self, term: u64, change: u64, now: Instant) -> bool {
        if now < self.term_start(term, now) + GATEWAY_SILENCE {
            return false;
        }
        let mut receipts = self.receipts.lock();
        receipts.retain(|_, receipt| now < receipt.at + GATEWAY_SILENCE);
        let has_change = |receipt: &Receipt| {
            let TermVersion { term: known_term, change: known_change } = receipt.mark;
            known_term == term && known_change >= change
        };
        receipts.values().all(has_change)
    }

    /// Returns when this machine first learned of the term.
    pub fn term_start(&self, term: u64, now: Instant) -> Instant {
        let mut known = self.term.lock();
        match *known {
            Some((known_term, since)) if known_term == term => since,
            _ => {
                *known = Some((term, now));
                now
            }
        }
    }

    /// Waits until every gateway that follows the ledger has the record, at most until each of them
    /// has received it or fallen silent.
    pub async fn wait_until_received(&self, board: &CrashBoard, term: u64, record: &CrashRecord) {
        let deadline = Instant::now() + 2 * GATEWAY_SILENCE;
        loop {
            let received = self.received.notified();
            let now = Instant::now();
            let change = board.change_of(record);
            if change.is_some_and(|change| self.is_received(term, change, now)) || now >= deadline {
                return;
            }
            let _ = tokio::time::timeout(SILENCE_CHECK_INTERVAL, received).await;
        }
    }
}
