//! Rate-limit permits: issued by the leader, and tracked by all machines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_limiter::{
    IssueOutcome, IssuedPermits, LimitTolerance, PermitAnswer, PermitIssuer, PermitPurpose,
    PermitRequest, TenantUsage,
};
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::replica::{ReplicaHandle, Request, Response};
use crate::commands::{Command, Output};
use crate::state::{PERMIT_RETENTION_MS, PermitBatch, RecentPermits};

/// Time between two batches of permits in the log, unless a tenant cannot get further permits
/// before the next batch is committed.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between log reports of tenants close to their limits.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of tenants in a report; those closest to their limits are reported.
const MAX_REPORTED_TENANTS: usize = 5;
/// Fraction of the limit from which a tenant is reported.
const REPORT_THRESHOLD: f64 = 0.75;

/// Issues permits within the limits of tenants.
pub struct TenantLimiter {
    tolerance: LimitTolerance,
    state: Mutex<LimiterState>,
    /// Signals that permits wait to be recorded in the log.
    unlogged: Notify,
    /// Signals that a request waits for the next batch.
    urgent: Notify,
}

struct LimiterState {
    /// Term of the issuer.
    term: u64,
    issuer: PermitIssuer,
    /// Time of the last batch in this term.
    last_batch_at: Option<Instant>,
    /// Batches of all leaders, oldest first.
    batches: VecDeque<PermitBatch>,
    /// The batch clock when the newest batch was applied here, and the local time of that.
    clock: (u64, Instant),
}

/// Permits that have not been recorded in the log.
struct UnloggedPermits {
    term: u64,
    issued: Vec<IssuedPermits>,
    elapsed: Duration,
}

impl TenantLimiter {
    /// Creates a limiter that enforces limits within `tolerance`.
    pub fn new(tolerance: LimitTolerance) -> Self {
        let state = LimiterState {
            term: 0,
            issuer: PermitIssuer::new(tolerance),
            last_batch_at: None,
            batches: VecDeque::new(),
            clock: (0, Instant::now()),
        };
        Self { tolerance, state: Mutex::new(state), unlogged: Notify::new(), urgent: Notify::new() }
    }

    /// Decides a request for a permit. `term` is the current term, in which a quorum has confirmed
    /// this machine as leader.
    pub fn issue(
        &self,
        term: u64,
        request: &PermitRequest,
        purpose: PermitPurpose<'_>,
    ) -> IssueOutcome {
        let (issued, is_urgent) = self.with_issuer(term, |issuer, now| {
            let issued = issuer.issue(request, purpose, now);
            (issued, issuer.needs_logging(&request.tenant))
        });
        if !matches!(issued, IssueOutcome::Answer(PermitAnswer::OverLimit(_))) {
            self.unlogged.notify_one();
        }
        if is_urgent {
            self.urgent.notify_one();
        }
        issued
    }

    /// Rejects a request whose tenant has exhausted its limit for all purposes. Returns `None` if
    /// the request may be granted. Nothing is recorded in the log.
    pub fn reject_exhausted(&self, term: u64, request: &PermitRequest) -> Option<PermitAnswer> {
        let issued = self.with_issuer(term, |issuer, now| {
            let is_exhausted = issuer.is_exhausted(request, now);
            is_exhausted.then(|| issuer.issue(request, PermitPurpose::NoProgram, now))
        });
        match issued {
            Some(IssueOutcome::Answer(answer)) => Some(answer),
            Some(IssueOutcome::Delayed(..) | IssueOutcome::LogBacklog) | None => None,
        }
    }

    /// Takes over new batches from the log.
    pub fn update_from_log(&self, permits: &RecentPermits) {
        let mut state = self.state.lock();
        state.clock = (permits.clock_ms(), Instant::now());
        let newest = state.batches.back().map_or(0, |batch| batch.number);
        state.batches.extend(permits.after(newest).cloned());
        let oldest = permits.clock_ms().saturating_sub(PERMIT_RETENTION_MS);
        while state.batches.front().is_some_and(|batch| batch.at_ms < oldest) {
            state.batches.pop_front();
        }
    }

    /// Returns the usage of all tenants.
    pub fn uses(&self) -> Vec<TenantUsage> {
        self.state.lock().issuer.usage(Instant::now())
    }

    fn with_issuer<T>(&self, term: u64, action: impl FnOnce(&mut PermitIssuer, Instant) -> T) -> T {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.term != term {
            state.term = term;
            state.last_batch_at = None;
            state.issuer = PermitIssuer::new(self.tolerance);
            state.restore_issued();
        }
        action(&mut state.issuer, now)
    }

    fn take_batch(&self) -> UnloggedPermits {
        let now = Instant::now();
        let mut state = self.state.lock();
        let elapsed = state.last_batch_at.map_or(Duration::ZERO, |at| now - at);
        state.last_batch_at = Some(now);
        UnloggedPermits { term: state.term, issued: state.issuer.take_unlogged(), elapsed }
    }

    /// Logs the tenants close to their limits.
    fn log_tenants_near_limit(&self) {
        for used in self.uses().into_iter().take(MAX_REPORTED_TENANTS) {
            let issuable = self.tolerance.issuable(used.limit);
            if used.issued as f64 >= issuable * REPORT_THRESHOLD {
                emit!(
                    Event::LimitPressed;
                    tenant = used.tenant,
                    limit = used.limit,
                    issued = used.issued,
                    issuable = issuable as u64,
                    programs = used.programs,
                );
            }
        }
    }

    /// Marks a batch as recorded in the log, or returns its permits to be recorded again.
    fn finish_batch(&self, term: u64, issued: &[IssuedPermits], is_logged: bool) {
        let mut state = self.state.lock();
        if state.term != term {
            return;
        }
        if is_logged {
            state.issuer.confirm_logged(issued);
        } else {
            state.issuer.return_unlogged(issued);
        }
    }

    /// Records issued permits in the log. Runs until the process ends.
    pub async fn persist_permits(self: Arc<Self>, replica: ReplicaHandle) {
        let mut reported_at = Instant::now();
        loop {
            self.unlogged.notified().await;
            if reported_at.elapsed() >= REPORT_INTERVAL {
                reported_at = Instant::now();
                self.log_tenants_near_limit();
            }
            let UnloggedPermits { term, issued, elapsed } = self.take_batch();
            if issued.is_empty() {
                continue;
            }
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or_default();
            let command = Command::NotePermits { issued: issued.clone(), elapsed_ms };
            let response = replica.call(Request::Change(command)).await;
            let is_logged = matches!(response, Response::Changed(Output::Done));
            self.finish_batch(term, &issued, is_logged);
            if !is_logged {
                self.unlogged.notify_one();
            }
            let _ = tokio::time::timeout(BATCH_INTERVAL, self.urgent.notified()).await;
        }
    }
}

impl LimiterState {
    /// Restores the permits issued by earlier leaders from their batches. The batch clock does not
    /// include the time between two leaders, so the age of permits is underestimated.
    fn restore_issued(&mut self) {
        let (clock_ms, applied_at) = self.clock;
        let issued = self.batches.iter().flat_map(|batch| &batch.issued);
        emit!(
            Event::PermitsInherited;
            term = self.term,
            newest_note = self.batches.back().map_or(0, |batch| batch.number),
            permits = issued.map(|issued| u64::from(issued.count)).sum::<u64>(),
        );
        for batch in &self.batches {
            let age = Duration::from_millis(clock_ms.saturating_sub(batch.at_ms));
            let Some(at) = applied_at.checked_sub(age) else {
                continue;
            };
            for issued in &batch.issued {
                self.issuer.restore(issued, at);
            }
        }
    }
}
