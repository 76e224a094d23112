//! Permits at the leader.

use std::time::Instant;

use calicohoist_limiter::{
    LimitTolerance, PermitAnswer, PermitIssuer, PermitRequest, Purpose, TenantUse,
};
use parking_lot::Mutex;

/// Issues permits in one term after the other.
pub struct LimitDesk {
    tolerance: LimitTolerance,
    state: Mutex<DeskState>,
}

struct DeskState {
    /// The term in which it issues.
    term: u64,
    issuer: PermitIssuer,
}

impl LimitDesk {
    /// Keeps limits as exactly as `tolerance` says.
    pub fn new(tolerance: LimitTolerance) -> Self {
        let issuer = PermitIssuer::new(tolerance, Instant::now());
        Self { tolerance, state: Mutex::new(DeskState { term: 0, issuer }) }
    }

    /// What becomes of a request. `term` is that in which this machine leads now, with a
    /// quorum behind it.
    pub fn issue(&self, term: u64, request: &PermitRequest, purpose: Purpose<'_>) -> PermitAnswer {
        self.within(term, |issuer, now| issuer.issue(request, purpose, now))
    }

    /// The refusal of a request that no purpose could save; nothing has to be written for it.
    pub fn refuse_early(&self, term: u64, request: &PermitRequest) -> Option<PermitAnswer> {
        self.within(term, |issuer, now| {
            let is_exhausted = issuer.is_exhausted(request, now);
            is_exhausted.then(|| issuer.issue(request, Purpose::Single, now))
        })
    }

    /// What tenants use of their limits.
    pub fn uses(&self) -> Vec<TenantUse> {
        self.state.lock().issuer.uses(Instant::now())
    }

    fn within<T>(&self, term: u64, act: impl FnOnce(&mut PermitIssuer, Instant) -> T) -> T {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.term != term {
            state.term = term;
            state.issuer = PermitIssuer::new(self.tolerance, now);
        }
        act(&mut state.issuer, now)
    }
}
