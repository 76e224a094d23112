//! Requests that were sent to a replica and whose outcome is not known yet.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};

use calicohoist_quarantine::RequestFingerprint;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::flow::SendGrant;
use crate::upstream::SendProgress;

/// Fingerprint of a request, computed when it is first needed. Until then it holds the request.
type LazyFingerprint = LazyLock<RequestFingerprint, Box<dyn FnOnce() -> RequestFingerprint + Send>>;

/// What is known of the outcome of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// The replica runs the request.
    Running,
    /// The request has failed, and the replica is being checked.
    Checking,
    /// The replica could not be reached, and is being checked again.
    Unreachable,
    /// The replica runs and may still crash under the request, or cannot be reached for long.
    Unclear,
    /// The outcome is known.
    Ended,
}

impl SendStage {
    /// Returns whether a check will tell more soon.
    fn is_pending(self) -> bool {
        matches!(self, Self::Checking | Self::Unreachable)
    }
}

/// A request that was sent to a replica.
pub struct OpenSend {
    number: u64,
    /// Incarnation of the replica.
    pub replica: String,
    /// How far the request has come.
    pub progress: Arc<SendProgress>,
    fingerprint: LazyFingerprint,
    /// Length of the body, which differs between most requests.
    body_bytes: usize,
    /// Permission to send the request, held until its outcome is known.
    grant: Mutex<Option<SendGrant>>,
    stage: watch::Sender<SendStage>,
    /// Whether a crash could not be recorded.
    is_unrecorded: AtomicBool,
    /// Whether the replica has answered the same request since this send failed.
    is_answered_since: AtomicBool,
}

impl fmt::Debug for OpenSend {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("OpenSend");
        fields.field("number", &self.number).field("replica", &self.replica).finish()
    }
}

impl OpenSend {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint
    }

    /// Returns whether both are sends of the same request.
    fn is_same(&self, other: &Self) -> bool {
        self.body_bytes == other.body_bytes && self.fingerprint() == other.fingerprint()
    }

    /// Returns whether the ledger has permitted the send.
    pub fn has_grant(&self) -> bool {
        self.grant.lock().is_some()
    }

    /// Keeps the permission until the outcome is known.
    pub fn hold_grant(&self, grant: SendGrant) {
        *self.grant.lock() = Some(grant);
    }

    /// Takes the permission, if any.
    pub fn take_grant(&self) -> Option<SendGrant> {
        self.grant.lock().take()
    }

    /// Returns what is known of the outcome.
    pub fn stage(&self) -> SendStage {
        *self.stage.borrow()
    }

    /// Waits until the replica has been checked, if it is being checked.
    pub async fn checked(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stage.wait_for(|stage| *stage != SendStage::Checking).await;
    }

    /// Like [`OpenSend::checked`], and waits on while the replica cannot be reached. The checks bound
    /// that time.
    pub async fn reached(&self) {
        let mut stage = self.stage.subscribe();
        let is_reached = |stage: &SendStage| !stage.is_pending();
        // The sender lives as long as `self`.
        let _ = stage.wait_for(is_reached).await;
    }

    /// Marks that a crash under the request could not be recorded.
    pub fn mark_unrecorded(&self) {
        self.is_unrecorded.store(true, Ordering::Relaxed);
    }

    /// Returns whether a crash under the request could not be recorded.
    pub fn is_unrecorded(&self) -> bool {
        self.is_unrecorded.load(Ordering::Relaxed)
    }

    /// Returns whether the replica has answered the same request, sent after this send failed. So it
    /// has not crashed under this one.
    pub fn is_answered_since(&self) -> bool {
        self.is_answered_since.load(Ordering::Relaxed)
    }
}

/// A failed send under which the replica may have crashed.
#[derive(Debug)]
struct FailedSend {
    open: Arc<OpenSend>,
    /// Number of the first send that began after the failure.
    next_number: u64,
}

/// All requests of this gateway whose outcome is not known.
#[derive(Debug, Default)]
pub struct OpenSends {
    last_number: AtomicU64,
    open: Mutex<HashMap<u64, Arc<OpenSend>>>,
    /// Number of sends whose replica is being checked or could not be reached.
    pending: AtomicUsize,
    /// Failed sends by replica, until it is known whether the replica has crashed.
    failed: Mutex<HashMap<String, Vec<FailedSend>>>,
    /// Number of failed sends.
    failed_count: AtomicUsize,
}

impl OpenSends {
    /// Adds a request with a body of this length that is about to be sent to `replica`.
    pub fn insert(
        &self,
        replica: &str,
        body_bytes: usize,
        fingerprint: impl FnOnce() -> RequestFingerprint + Send + 'static,
    ) -> Arc<OpenSend> {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        let open = Arc::new(OpenSend {
            number,
            replica: replica.to_owned(),
            progress: Arc::default(),
            fingerprint: LazyLock::new(Box::new(fingerprint)),
            body_bytes,
            grant: Mutex::new(None),
            stage: watch::Sender::new(SendStage::Running),
            is_unrecorded: AtomicBool::new(false),
            is_answered_since: AtomicBool::new(false),
        });
        self.open.lock().insert(number, Arc::clone(&open));
        open
    }

    /// Records what is known of the outcome of a send.
    pub fn set_stage(&self, open: &OpenSend, stage: SendStage) {
        if stage == SendStage::Ended {
            self.open.lock().remove(&open.number);
        }
        self.pending.fetch_add(usize::from(stage.is_pending()), Ordering::Relaxed);
        let previous = open.stage.send_replace(stage);
        self.pending.fetch_sub(usize::from(previous.is_pending()), Ordering::Relaxed);
    }

    /// Records that a send has failed and its replica may have crashed.
    pub fn begin_check(&self, open: &Arc<OpenSend>) {
        let next_number = self.last_number.load(Ordering::Relaxed);
        let failed = FailedSend { open: Arc::clone(open), next_number };
        self.failed.lock().entry(open.replica.clone()).or_default().push(failed);
        self.failed_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that it is known whether the replica has crashed under a failed send.
    pub fn end_check(&self, open: &OpenSend) {
        let mut failed = self.failed.lock();
        let Some(at_replica) = failed.get_mut(&open.replica) else {
            return;
        };
        let count = at_replica.len();
        at_replica.retain(|known| known.open.number != open.number);
        self.failed_count.fetch_sub(count - at_replica.len(), Ordering::Relaxed);
        if at_replica.is_empty() {
            failed.remove(&open.replica);
        }
    }

    /// Records that a replica has answered a request completely. So it has not crashed under sends of
    /// the same request that had failed before.
    pub fn record_answered(&self, answered: &OpenSend) {
        if self.failed_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let failed = self.failed.lock();
        for earlier in failed.get(&answered.replica).into_iter().flatten() {
            let is_later = earlier.next_number <= answered.number;
            if is_later && !earlier.open.is_answered_since() && earlier.open.is_same(answered) {
                earlier.open.is_answered_since.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Returns whether the replica of any send is being checked or could not be reached.
    pub fn has_pending(&self) -> bool {
        self.pending.load(Ordering::Relaxed) > 0
    }

    /// Returns the sends of a request that are at this stage.
    pub fn at_stage(&self, request: &RequestFingerprint, stage: SendStage) -> Vec<Arc<OpenSend>> {
        let open = self.open.lock();
        let at_stage = open.values().filter(|open| open.stage() == stage);
        at_stage.filter(|open| open.fingerprint() == *request).cloned().collect()
    }

    /// Returns the sends without a permission, of any request.
    pub fn without_grant(&self) -> Vec<Arc<OpenSend>> {
        self.open.lock().values().filter(|open| !open.has_grant()).cloned().collect()
    }
}
