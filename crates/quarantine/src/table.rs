//! Recent crashes by request.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::answers::Answers;
use crate::crash::{CrashRecord, MAX_CRASHES, PERMISSION_TIME};
use crate::fingerprint::RequestFingerprint;

/// Maximum number of requests in a table, under 1 MB.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of crashes of one request that are known to be cleared. A crash may be reported
/// by another gateway after it was cleared.
const MAX_CLEARED: usize = 64;

/// Crashes under one request.
#[derive(Clone, Debug)]
struct RequestCrashes {
    /// Incarnations of the replicas, at most [`MAX_CRASHES`].
    replicas: Vec<String>,
    /// Crashes before which the request may not have reached the replica, at most [`MAX_CRASHES`].
    unconfirmed: Vec<CrashRecord>,
    /// Incarnations whose crash was cleared, oldest first, at most [`MAX_CLEARED`].
    cleared: VecDeque<String>,
    /// Number of crashes that were cleared.
    cleared_count: usize,
    /// End of the time for which they count as cleared. Not extended by other crashes, which the
    /// account of the request may not know.
    cleared_until: Instant,
    /// Incarnation whose crash is the newest one that counts.
    newest: Option<String>,
    forget_at: Instant,
    /// When the newest crash was recorded.
    crashed_at: Instant,
    /// End of the retention of the newest crash.
    crashed_until: Instant,
    /// Answers since then.
    answers: Answers,
}

impl RequestCrashes {
    fn new(forget_at: Instant, now: Instant) -> Self {
        Self {
            replicas: Vec::new(),
            unconfirmed: Vec::new(),
            cleared: VecDeque::new(),
            cleared_count: 0,
            cleared_until: now,
            newest: None,
            forget_at,
            crashed_at: now,
            crashed_until: now,
            answers: Answers::default(),
        }
    }

    fn is_suspect(&self) -> bool {
        !self.replicas.is_empty() || !self.unconfirmed.is_empty()
    }

    fn is_cleared(&self, replica: &str) -> bool {
        self.cleared.iter().any(|known| known == replica)
    }

    fn clear(&mut self, replica: &str, until: Instant) {
        self.cleared_until = self.cleared_until.max(until);
        self.replicas.retain(|known| known != replica);
        if self.newest.as_deref() == Some(replica) {
            self.newest = self.replicas.last().cloned();
        }
        if self.is_cleared(replica) {
            return;
        }
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.pop_front();
        }
        self.cleared.push_back(replica.to_owned());
        self.cleared_count += 1;
    }
}

/// Recent crashes by request.
///
/// A crash counts until enough answers since the newest one show that the request is harmless; see
/// [`CrashTable::record_answered`]. So what counts are crashes with hardly an answer between them.
///
/// A full table forgets the request with the fewest crashes, and among these the oldest one. So a
/// table that overflows sends too much rather than too little, whoever fills it.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    requests: HashMap<RequestFingerprint, RequestCrashes>,
}

impl CrashTable {
    /// Records a crash for `retention`. Each incarnation of a replica counts once, and not again
    /// after its crash was cleared.
    pub fn record(
        &mut self,
        request: RequestFingerprint,
        replica: &str,
        retention: Duration,
        now: Instant,
    ) {
        let crashes = self.entry(request, retention, now);
        let is_known = crashes.replicas.iter().any(|known| known == replica);
        if is_known || crashes.is_cleared(replica) {
            return;
        }
        crashes.answers = Answers::default();
        crashes.newest = Some(replica.to_owned());
        crashes.crashed_until = crashes.crashed_until.max(now + retention);
        if crashes.replicas.len() < MAX_CRASHES {
            crashes.replicas.push(replica.to_owned());
            crashes.crashed_at = now;
        }
    }

    /// Records a crash that the ledger has stored after those that this table knows of. Tables that
    /// record their own crashes before the ledger does agree on the newest one in this way.
    pub fn record_stored(
        &mut self,
        request: RequestFingerprint,
        replica: &str,
        retention: Duration,
        now: Instant,
    ) {
        self.record(request, replica, retention, now);
        if let Some(crashes) = self.requests.get_mut(&request)
            && !crashes.is_cleared(replica)
        {
            crashes.newest = Some(replica.to_owned());
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
        self.find(request, now).is_some_and(RequestCrashes::is_suspect)
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
        let new = || RequestCrashes::new(forget_at, now);
        let crashes = self.requests.entry(request).or_insert_with(new);
        crashes.forget_at = crashes.forget_at.max(forget_at);
        crashes
    }

    /// Records that a replica has answered the request. Once the answers show that the request is
    /// harmless, clears its crashes and returns their replicas.
    pub fn record_answered(
        &mut self,
        request: &RequestFingerprint,
        replica: &str,
        now: Instant,
    ) -> Vec<String> {
        let crashes = self.requests.get_mut(request).filter(|crashes| crashes.forget_at > now);
        let Some(crashes) = crashes.filter(|crashes| crashes.is_suspect()) else {
            return Vec::new();
        };
        crashes.answers.add(replica);
        if !crashes.answers.show_harmless() {
            return Vec::new();
        }
        crashes.unconfirmed.clear();
        let replicas = std::mem::take(&mut crashes.replicas);
        // The ledger may not learn that they were cleared.
        let until = crashes.crashed_until;
        replicas.iter().for_each(|replica| crashes.clear(replica, until));
        replicas
    }

    /// Returns the replica of the newest crash under the request that counts.
    pub fn newest_crash(&self, request: &RequestFingerprint, now: Instant) -> Option<&str> {
        self.find(request, now)?.newest.as_deref()
    }

    /// Clears the crash of a replica for `retention`: it counts no more, also if it is recorded again.
    pub fn clear(
        &mut self,
        request: RequestFingerprint,
        replica: &str,
        retention: Duration,
        now: Instant,
    ) {
        self.entry(request, retention, now).clear(replica, now + retention);
    }

    /// Returns the number of crashes under the request that were cleared.
    pub fn cleared(&self, request: &RequestFingerprint, now: Instant) -> usize {
        let crashes = self.find(request, now).filter(|crashes| crashes.cleared_until > now);
        crashes.map_or(0, |crashes| crashes.cleared_count)
    }

    /// Returns whether the request must not be sent without a permission of the ledger.
    pub fn needs_permission(&self, request: &RequestFingerprint, now: Instant) -> bool {
        let crashes = self.find(request, now);
        crashes.is_some_and(|known| {
            let is_recent = now < known.crashed_at + PERMISSION_TIME;
            !known.replicas.is_empty() && !known.answers.any() && is_recent
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
