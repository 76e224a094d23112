//! Recent crashes by request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::crash::{CrashRecord, MAX_CRASHES, PERMISSION_TIME};
use crate::fingerprint::RequestFingerprint;

/// Maximum number of requests in a table, under 1 MB.
const MAX_REQUESTS: usize = 4_096;

/// Crashes under one request.
#[derive(Clone, Debug)]
struct RequestCrashes {
    /// Incarnations of the replicas, at most [`MAX_CRASHES`].
    replicas: Vec<String>,
    /// Crashes before which the request may not have reached the replica, at most [`MAX_CRASHES`].
    unconfirmed: Vec<CrashRecord>,
    forget_at: Instant,
    /// When the newest crash was recorded.
    crashed_at: Instant,
    /// Whether a replica has answered the request since.
    is_answered: bool,
}

/// Recent crashes by request.
///
/// A full table forgets the request with the fewest crashes, and among these the oldest one. So a
/// table that overflows sends too much rather than too little, whoever fills it.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    requests: HashMap<RequestFingerprint, RequestCrashes>,
}

impl CrashTable {
    /// Records a crash for `retention`. Each incarnation of a replica counts once.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        replica: &str,
        retention: Duration,
        now: Instant,
    ) {
        let crashes = self.entry(request, retention, now);
        let is_known = crashes.replicas.iter().any(|known| known == replica);
        if !is_known && crashes.replicas.len() < MAX_CRASHES {
            crashes.replicas.push(replica.to_owned());
            crashes.crashed_at = now;
            crashes.is_answered = false;
        }
    }

    /// Records a crash before which the request may not have reached the replica. It counts once
    /// another crash under the request is known.
    pub fn record_unconfirmed(&mut self, record: CrashRecord, retention: Duration, now: Instant) {
        let crashes = self.entry(record.request, retention, now);
        let is_known = crashes.unconfirmed.contains(&record);
        if !is_known && crashes.unconfirmed.len() < MAX_CRASHES {
            crashes.unconfirmed.push(record);
        }
    }

    /// Takes the unconfirmed crashes under a request, if another crash under it is known.
    pub fn take_confirmed(&mut self, request: &RequestFingerprint) -> Vec<CrashRecord> {
        match self.requests.get_mut(request) {
            Some(crashes) if !crashes.replicas.is_empty() => {
                std::mem::take(&mut crashes.unconfirmed)
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Returns whether a replica has or may have crashed under the request.
    pub fn is_suspect(&self, request: &RequestFingerprint, now: Instant) -> bool {
        self.find(request, now).is_some()
    }

    /// Returns the entry of a request, which is kept for `retention`.
    fn entry(
        &mut self,
        request: RequestFingerprint,
        retention: Duration,
        now: Instant,
    ) -> &mut RequestCrashes {
        self.expire(now);
        if !self.requests.contains_key(&request) && self.requests.len() >= MAX_REQUESTS {
            self.evict();
        }
        let forget_at = now + retention;
        let crashes = self.requests.entry(request).or_insert_with(|| RequestCrashes {
            replicas: Vec::new(),
            unconfirmed: Vec::new(),
            forget_at,
            crashed_at: now,
            is_answered: false,
        });
        crashes.forget_at = crashes.forget_at.max(forget_at);
        crashes
    }

    /// Records that a replica has answered the request, as it does if many clients send the same
    /// harmless one.
    pub fn record_answered(&mut self, request: &RequestFingerprint) {
        if let Some(crashes) = self.requests.get_mut(request) {
            crashes.is_answered = true;
        }
    }

    /// Returns whether the request must not be sent without a permission of the ledger.
    pub fn needs_permission(&self, request: &RequestFingerprint, now: Instant) -> bool {
        let crashes = self.find(request, now);
        crashes.is_some_and(|known| {
            let is_recent = now < known.crashed_at + PERMISSION_TIME;
            !known.replicas.is_empty() && !known.is_answered && is_recent
        })
    }

    /// Forgets the requests whose retention has ended.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, crashes| crashes.forget_at > now);
    }

    fn evict(&mut self) {
        let least_suspect =
            self.requests.iter().min_by_key(|(_, known)| (known.replicas.len(), known.forget_at));
        if let Some(request) = least_suspect.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }

    /// Returns the number of replicas that have crashed under the request, up to [`MAX_CRASHES`].
    pub fn crashes(&self, request: &RequestFingerprint, now: Instant) -> usize {
        self.find(request, now).map_or(0, |crashes| crashes.replicas.len())
    }

    /// Returns the remaining time for which the request must not be sent, if any.
    pub fn quarantine(&self, request: &RequestFingerprint, now: Instant) -> Option<Duration> {
        let crashes = self.find(request, now)?;
        let is_quarantined = crashes.replicas.len() >= MAX_CRASHES;
        is_quarantined.then(|| crashes.forget_at.saturating_duration_since(now))
    }

    fn find(&self, request: &RequestFingerprint, now: Instant) -> Option<&RequestCrashes> {
        self.requests.get(request).filter(|crashes| crashes.forget_at > now)
    }

    /// Returns whether no crash has been recorded, or all have been forgotten.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests with recorded crashes.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
