//! The leader's side: who gets a permit.
//!
//! A tenant gets what it asks for while the last window holds less than its limit allows. One
//! that presses on its limit begins fewer programs, so that those under way get what they
//! need: only a whole program is of use to anybody.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;

use crate::account::TenantAccount;
use crate::permit::{IssuedPermits, PermitAnswer, PermitGrant, PermitRequest, Purpose};
use crate::tolerance::LimitTolerance;

/// What the leader does about a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Issued {
    /// It answers.
    Answer(PermitAnswer),
    /// It answers with this after a while, when there is room.
    Later(PermitGrant, Duration),
    /// So many permits wait to be noted that none may be issued; a matter of milliseconds.
    NotNow,
}

/// What one tenant uses of its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantId,
    /// Its limit.
    pub limit: RateLimit,
    /// Permits issued within the last window.
    pub issued: u64,
    /// Its programs under way.
    pub programs: usize,
}

/// Issues permits for as long as one machine leads.
#[derive(Debug)]
pub struct PermitIssuer {
    tolerance: LimitTolerance,
    tenants: HashMap<TenantId, TenantAccount>,
}

impl PermitIssuer {
    /// Knows nothing of what an earlier leader has issued.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self { tolerance, tenants: HashMap::new() }
    }

    /// Takes in what an earlier leader has noted as issued at some time; in order of time.
    pub fn inherit(&mut self, issued: &IssuedPermits, at: Instant) {
        self.account(&issued.tenant, at).inherit(issued.count, at);
    }

    /// Whether a request would be refused, whatever it is for.
    pub fn is_exhausted(&mut self, request: &PermitRequest, now: Instant) -> bool {
        self.account_of(request, now).is_exhausted(now)
    }

    /// What becomes of a request.
    pub fn issue(&mut self, request: &PermitRequest, purpose: Purpose<'_>, now: Instant) -> Issued {
        self.account_of(request, now).decide(request.spare, purpose, now)
    }

    /// Whether a tenant may soon get nothing more without a note.
    pub fn wants_note(&self, tenant: &TenantId) -> bool {
        self.tenants.get(tenant).is_some_and(TenantAccount::wants_note)
    }

    /// Takes what is to be noted in the log.
    pub fn take_unnoted(&mut self) -> Vec<IssuedPermits> {
        let accounts = self.tenants.iter_mut();
        let taken = accounts.map(|(tenant, account)| IssuedPermits {
            tenant: tenant.clone(),
            count: account.take_unnoted(),
        });
        taken.filter(|issued| issued.count > 0).collect()
    }

    /// What was taken is noted.
    pub fn confirm_noted(&mut self, noted: &[IssuedPermits]) {
        for issued in noted {
            if let Some(account) = self.tenants.get_mut(&issued.tenant) {
                account.confirm_noted(issued.count);
            }
        }
    }

    /// What was taken may not have been noted; it is to be noted again.
    pub fn return_unnoted(&mut self, lost: &[IssuedPermits]) {
        for issued in lost {
            if let Some(account) = self.tenants.get_mut(&issued.tenant) {
                account.return_unnoted(issued.count);
            }
        }
    }

    /// What tenants with a limit use of it, those with the least left first.
    pub fn uses(&mut self, now: Instant) -> Vec<TenantUse> {
        let tolerance = self.tolerance;
        let used = self.tenants.iter_mut().filter_map(|(tenant, account)| {
            let (limit, issued, programs) = account.usage(now)?;
            Some(TenantUse { tenant: tenant.clone(), limit, issued, programs })
        });
        let mut uses: Vec<TenantUse> = used.collect();
        let left = |known: &TenantUse| tolerance.allowed(known.limit) - known.issued as f64;
        uses.sort_by(|one, other| left(one).total_cmp(&left(other)));
        uses
    }

    /// The account of a request's tenant, under the newest limit that was told.
    fn account_of(&mut self, request: &PermitRequest, now: Instant) -> &mut TenantAccount {
        let account = self.account(&request.tenant, now);
        account.set_limit(request.limit, request.configuration);
        account
    }

    fn account(&mut self, tenant: &TenantId, now: Instant) -> &mut TenantAccount {
        let tolerance = self.tolerance;
        let fresh = || TenantAccount::new(tolerance, now);
        self.tenants.entry(tenant.clone()).or_insert_with(fresh)
    }
}
