//! Leader's side of the limiter: issues permits to gateways.
//!
//! Requests are granted while the number of permits in the sliding window is below the tenant's
//! limit. When a tenant is near its limit, new programs are refused first, so that the running
//! ones can complete.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;

use crate::account::TenantAccount;
use crate::permit::{IssuedPermits, PermitAnswer, PermitGrant, PermitPurpose, PermitRequest};
use crate::tolerance::LimitTolerance;

/// Decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IssueOutcome {
    /// Answer at once.
    Answer(PermitAnswer),
    /// Grant after this delay, when the window has capacity.
    Delayed(PermitGrant, Duration),
    /// Too many issued permits are not yet recorded in the log; retry after the next log write.
    LogBacklog,
}

/// Usage of one tenant's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// The configured limit.
    pub limit: RateLimit,
    /// Permits issued within the current window.
    pub issued: u64,
    /// Number of running programs.
    pub programs: usize,
}

/// Issues permits during one leadership term.
#[derive(Debug)]
pub struct PermitIssuer {
    tolerance: LimitTolerance,
    tenants: HashMap<TenantId, TenantAccount>,
}

impl PermitIssuer {
    /// Creates an issuer with no issued permits.
    pub fn new(tolerance: LimitTolerance) -> Self {
        Self { tolerance, tenants: HashMap::new() }
    }

    /// Restores permits that an earlier leader issued at `at`. Must be called in order of time.
    pub fn restore(&mut self, issued: &IssuedPermits, at: Instant) {
        self.account(&issued.tenant, at).restore(issued.count, at);
    }

    /// Returns whether a request would be refused regardless of its purpose.
    pub fn is_exhausted(&mut self, request: &PermitRequest, now: Instant) -> bool {
        self.account_of(request, now).is_exhausted(now)
    }

    /// Decides on a request, and counts the permits that it grants.
    pub fn issue(
        &mut self,
        request: &PermitRequest,
        purpose: PermitPurpose<'_>,
        now: Instant,
    ) -> IssueOutcome {
        self.account_of(request, now).decide(request.spare, purpose, now)
    }

    /// Returns whether a tenant's issued permits should be written to the log soon.
    pub fn needs_logging(&self, tenant: &TenantId) -> bool {
        self.tenants.get(tenant).is_some_and(TenantAccount::needs_logging)
    }

    /// Takes the issued permits that have to be written to the log.
    pub fn take_unlogged(&mut self) -> Vec<IssuedPermits> {
        let accounts = self.tenants.iter_mut();
        let taken = accounts.map(|(tenant, account)| IssuedPermits {
            tenant: tenant.clone(),
            count: account.take_unlogged(),
        });
        taken.filter(|issued| issued.count > 0).collect()
    }

    /// Marks taken permits as written to the log.
    pub fn confirm_logged(&mut self, logged: &[IssuedPermits]) {
        for issued in logged {
            if let Some(account) = self.tenants.get_mut(&issued.tenant) {
                account.confirm_logged(issued.count);
            }
        }
    }

    /// Returns taken permits whose log write failed, so that they are written again.
    pub fn return_unlogged(&mut self, failed: &[IssuedPermits]) {
        for issued in failed {
            if let Some(account) = self.tenants.get_mut(&issued.tenant) {
                account.return_unlogged(issued.count);
            }
        }
    }

    /// Returns the usage of all tenants with a limit, the least remaining capacity first.
    pub fn usage(&mut self, now: Instant) -> Vec<TenantUsage> {
        let tolerance = self.tolerance;
        let entries = self.tenants.iter_mut().filter_map(|(tenant, account)| {
            let (limit, issued, programs) = account.usage(now)?;
            Some(TenantUsage { tenant: tenant.clone(), limit, issued, programs })
        });
        let mut usage: Vec<TenantUsage> = entries.collect();
        let remaining = |entry: &TenantUsage| tolerance.allowed(entry.limit) - entry.issued as f64;
        usage.sort_by(|one, other| remaining(one).total_cmp(&remaining(other)));
        usage
    }

    /// Returns the account of the request's tenant, with the limit updated from the request.
    fn account_of(&mut self, request: &PermitRequest, now: Instant) -> &mut TenantAccount {
        let account = self.account(&request.tenant, now);
        account.set_limit(request.limit, request.configuration);
        account
    }

    fn account(&mut self, tenant: &TenantId, now: Instant) -> &mut TenantAccount {
        let tolerance = self.tolerance;
        let new_account = || TenantAccount::new(tolerance, now);
        self.tenants.entry(tenant.clone()).or_insert_with(new_account)
    }
}
