//! The leader's side: who gets a permit.
//!
//! A tenant with room in its bucket gets what it asks for. One that presses on its limit
//! begins fewer programs, so that those under way get what they need: only a whole program
//! is of use to anybody.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;

use crate::bucket::TokenBucket;
use crate::permit::{PermitAnswer, PermitGrant, PermitRequest, Purpose};
use crate::tolerance::LimitTolerance;

/// A gateway gets permits in advance while a tenant's bucket is fuller than this share,
/// else one at a time.
const ADVANCE_SHARE: f64 = 0.5;
/// A tenant presses on its limit while its bucket is less full than this share; then it
/// begins fewer programs. At half a bucket, tenants that stay below their limits were refused
/// 3 of 840 programs in the comparison of `tests/ways.rs`; at a quarter, none.
const PRESSING_SHARE: f64 = 0.25;
/// A program is under way until it has sent no turn for this time: longer than a turn with
/// its tools takes.
const UNDER_WAY_FOR: Duration = Duration::from_millis(1_000);
/// Time over which the requests of programs under way are counted.
const COUNT_OVER: Duration = Duration::from_millis(1_000);
/// Weight of the newest count in what is learned.
const NEWEST_WEIGHT: f64 = 0.3;
/// Requests a second of one program before anything is learned: a turn of 100 ms, and a
/// tool or two with each.
const FIRST_GUESS: f64 = 10.0;
/// Time in which a pressing tenant may use up what is in its bucket.
const USE_UP_WITHIN: Duration = Duration::from_secs(1);
/// The longest time after which somebody is told to come back.
const LATEST_RETURN: Duration = Duration::from_secs(5);

/// What one tenant uses of its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantId,
    /// Its limit.
    pub limit: RateLimit,
    /// Requests that it may send at once.
    pub level: f64,
    /// Its programs under way.
    pub programs: usize,
}

#[derive(Debug)]
struct TenantAccount {
    configuration: u64,
    bucket: TokenBucket,
    /// When each program under way was seen last.
    programs: HashMap<String, Instant>,
    /// Requests a second of one program, learned while the tenant presses.
    program_rate: f64,
    counted_from: Instant,
    counted: u32,
    /// When the next one that is refused may come back.
    next_return: Instant,
}

/// Issues permits for as long as one machine leads.
#[derive(Debug)]
pub struct PermitIssuer {
    tolerance: LimitTolerance,
    /// Since when it issues; buckets fill from then on.
    began: Instant,
    tenants: HashMap<TenantId, TenantAccount>,
}

impl PermitIssuer {
    /// Knows nothing of what an earlier leader has issued.
    pub fn new(tolerance: LimitTolerance, now: Instant) -> Self {
        Self { tolerance, began: now, tenants: HashMap::new() }
    }

    /// Whether a request would be refused, whatever it is for.
    pub fn is_exhausted(&mut self, request: &PermitRequest, now: Instant) -> bool {
        self.account(request, now).bucket.level(now) < 1.0
    }

    /// What becomes of a request.
    pub fn issue(
        &mut self,
        request: &PermitRequest,
        purpose: Purpose<'_>,
        now: Instant,
    ) -> PermitAnswer {
        let life = self.tolerance.permit_life();
        let account = self.account(request, now);
        account.count(now);
        let is_pressing = account.is_pressing(now);
        let may_run = match purpose {
            Purpose::Begin(_) => !is_pressing || account.may_begin(now),
            Purpose::GoOn(_) | Purpose::Single => true,
        };
        if !may_run || account.bucket.take(1, now) == 0 {
            return PermitAnswer::OverLimit(account.come_back(purpose, now));
        }
        account.note(purpose, now);
        let spare = account.take_spare(request.spare, now);
        PermitAnswer::Granted(PermitGrant { permits: 1 + spare, life })
    }

    /// What tenants use of their limits, those with the least room first.
    pub fn uses(&mut self, now: Instant) -> Vec<TenantUse> {
        let used = self.tenants.iter_mut().map(|(tenant, account)| {
            account.forget_ended(now);
            TenantUse {
                tenant: tenant.clone(),
                limit: account.bucket.limit(),
                level: account.bucket.level(now),
                programs: account.programs.len(),
            }
        });
        let mut uses: Vec<TenantUse> = used.collect();
        uses.sort_by(|one, other| one.level.total_cmp(&other.level));
        uses
    }

    /// The account of a request's tenant, under the newest limit that was told.
    fn account(&mut self, request: &PermitRequest, now: Instant) -> &mut TenantAccount {
        let PermitRequest { limit, configuration, .. } = *request;
        let capacity = self.tolerance.capacity(limit);
        let opening = self.tolerance.opening(limit);
        let began = self.began;
        let account = self.tenants.entry(request.tenant.clone()).or_insert_with(|| {
            let bucket = TokenBucket::new(limit, capacity, opening, began);
            TenantAccount::new(bucket, configuration, now)
        });
        if configuration > account.configuration {
            account.configuration = configuration;
            account.bucket.set_limit(limit, capacity, now);
        }
        account
    }
}

impl TenantAccount {
    fn new(bucket: TokenBucket, configuration: u64, now: Instant) -> Self {
        Self {
            configuration,
            bucket,
            programs: HashMap::new(),
            program_rate: FIRST_GUESS,
            counted_from: now,
            counted: 0,
            next_return: now,
        }
    }

    fn is_pressing(&mut self, now: Instant) -> bool {
        self.bucket.level(now) < self.bucket.capacity() * PRESSING_SHARE
    }

    /// Whether one program more leaves enough for those under way.
    fn may_begin(&mut self, now: Instant) -> bool {
        self.forget_ended(now);
        let left = self.bucket.level(now) / USE_UP_WITHIN.as_secs_f64();
        let programs = self.programs.len() + 1;
        programs as f64 * self.program_rate <= self.bucket.limit().per_second + left
    }

    fn note(&mut self, purpose: Purpose<'_>, now: Instant) {
        self.counted += 1;
        if let Purpose::Begin(program) | Purpose::GoOn(program) = purpose {
            self.programs.insert(program.to_owned(), now);
        }
    }

    fn forget_ended(&mut self, now: Instant) {
        self.programs.retain(|_, seen| now < *seen + UNDER_WAY_FOR);
    }

    /// Learns what a program needs a second, once enough time has passed. While there is
    /// room, permits go out in advance and tell nothing.
    fn count(&mut self, now: Instant) {
        let counted_over = now.saturating_duration_since(self.counted_from);
        if counted_over < COUNT_OVER {
            return;
        }
        self.forget_ended(now);
        let programs = self.programs.len();
        if programs > 0 && self.is_pressing(now) {
            let rate = f64::from(self.counted) / counted_over.as_secs_f64() / programs as f64;
            self.program_rate += NEWEST_WEIGHT * (rate - self.program_rate);
        }
        self.counted = 0;
        self.counted_from = now;
    }

    fn take_spare(&mut self, wanted: u32, now: Instant) -> u32 {
        let above = self.bucket.level(now) - self.bucket.capacity() * ADVANCE_SHARE;
        // A level is never above what a `u32` holds by so much that it matters.
        self.bucket.take(wanted.min(above.max(0.0) as u32), now)
    }

    /// When a refused request finds room. Each one gets a time of its own, as far apart as
    /// the limit lets requests in, so that they do not all come back together.
    fn come_back(&mut self, purpose: Purpose<'_>, now: Instant) -> Duration {
        let rate = self.bucket.limit().per_second.max(f64::MIN_POSITIVE);
        let needed = match purpose {
            Purpose::Begin(_) => self.program_rate,
            Purpose::GoOn(_) | Purpose::Single => 1.0,
        };
        let latest = now + LATEST_RETURN;
        let apart = Duration::try_from_secs_f64(needed / rate).unwrap_or(LATEST_RETURN);
        let next = self.next_return.max(now) + apart.min(LATEST_RETURN);
        self.next_return = next.min(latest);
        self.next_return - now
    }
}
