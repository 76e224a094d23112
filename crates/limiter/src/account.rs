//! The leader's state of one tenant: permits in the window, and running programs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::RateLimit;

use crate::issuer::IssueOutcome;
use crate::permit::{PermitAnswer, PermitGrant, PermitPurpose};
use crate::tolerance::LimitTolerance;
use crate::window::IssueWindow;

/// Spare permits are granted only while more than this share of the limit remains.
const SPARE_RESERVE_SHARE: f64 = 0.5;
/// Lower bound on that reserve, in permits. Unused spare permits count towards the limit, so
/// tenants with a small limit are granted none.
const MIN_SPARE_RESERVE: f64 = 64.0;
/// A tenant is near its limit while less than this share of it remains. New programs are then
/// restricted.
const NEAR_LIMIT_SHARE: f64 = 0.25;
/// A program counts as running until it has sent no turn for this time, which is longer than a turn
/// with its tool calls takes.
const PROGRAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval over which the request rate of programs is measured.
const RATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Weight of the newest interval in the moving average of the request rate.
const RATE_SMOOTHING_FACTOR: f64 = 0.3;
/// Initial estimate of the request rate of one program, in requests per second: a turn of 100 ms, and
/// a tool call or two with each.
const INITIAL_PROGRAM_RATE: f64 = 10.0;
/// A new program is admitted only if capacity suffices for all running programs over this time.
const ADMISSION_HORIZON: Duration = Duration::from_millis(1_000);

/// Longest time for which a request is delayed until the window has capacity. Must be shorter than
/// the time after which a gateway looks for another leader (250 ms).
const MAX_DELAY: Duration = Duration::from_millis(200);

/// The leader's state of one tenant.
#[derive(Debug)]
pub struct TenantAccount {
    tolerance: LimitTolerance,
    configuration: u64,
    /// `None` until the first request, which carries the limit.
    limit: Option<RateLimit>,
    /// Issued permits. Each is counted until a request sent at its expiry has left the window.
    issued: IssueWindow,
    /// Issued permits whose log write is not confirmed.
    unlogged: u32,
    /// Unlogged permits that have not been taken for writing yet.
    pending_log: u32,
    /// Time of the last turn of each running program.
    programs: HashMap<String, Instant>,
    /// Moving average of the requests per second of one program, measured near the limit.
    program_rate: f64,
    interval_start: Instant,
    interval_requests: u32,
    /// Retry time of the latest refused request.
    last_retry: Instant,
}

impl TenantAccount {
    /// Creates an account without issued permits or a limit.
    pub fn new(tolerance: LimitTolerance, now: Instant) -> Self {
        Self {
            tolerance,
            configuration: 0,
            limit: None,
            issued: IssueWindow::default(),
            unlogged: 0,
            pending_log: 0,
            programs: HashMap::new(),
            program_rate: INITIAL_PROGRAM_RATE,
            interval_start: now,
            interval_requests: 0,
            last_retry: now,
        }
    }

    /// Restores permits that an earlier leader issued at `at`.
    pub fn restore(&mut self, count: u32, at: Instant) {
        self.issued.add(count, at);
    }

    /// Sets the limit, unless one of the same or a newer configuration is known.
    pub fn set_limit(&mut self, limit: RateLimit, configuration: u64) {
        if self.limit.is_none() || configuration > self.configuration {
            self.configuration = configuration;
            self.limit = Some(limit);
        }
    }

    /// Returns whether a request would be refused regardless of its purpose.
    pub fn is_exhausted(&mut self, now: Instant) -> bool {
        self.time_until_capacity(now) > MAX_DELAY
    }

    /// Decides on a request for one permit and up to `spare` additional ones.
    pub fn decide(&mut self, spare: u32, purpose: PermitPurpose<'_>, now: Instant) -> IssueOutcome {
        self.update_program_rate(now);
        let delay = self.time_until_capacity(now);
        let is_admitted = match purpose {
            PermitPurpose::FirstTurn(_) => {
                delay.is_zero() && (!self.is_near_limit(now) || self.can_start_program(now))
            }
            PermitPurpose::LaterTurn(_) | PermitPurpose::NoProgram => delay <= MAX_DELAY,
        };
        if !is_admitted {
            return IssueOutcome::Answer(PermitAnswer::OverLimit(self.retry_after(purpose, now)));
        }
        let unlogged_quota = self.issuable_unlogged();
        if unlogged_quota == 0 {
            return IssueOutcome::LogBacklog;
        }
        self.record_request(purpose, now);
        let spare = self.grantable_spare(spare, now).min(unlogged_quota - 1);
        self.issue(spare, now + delay);
        let grant = PermitGrant { permits: 1 + spare, life: self.tolerance.permit_lifetime() };
        if delay.is_zero() {
            return IssueOutcome::Answer(PermitAnswer::Granted(grant));
        }
        IssueOutcome::Delayed(grant, delay)
    }

    /// Returns whether the issued permits should be written to the log soon.
    pub fn needs_logging(&self) -> bool {
        self.issuable_unlogged() <= self.unlogged
    }

    /// Takes the number of permits that have to be written to the log.
    pub fn take_unlogged(&mut self) -> u32 {
        std::mem::take(&mut self.pending_log)
    }

    /// Marks `count` taken permits as written to the log.
    pub fn confirm_logged(&mut self, count: u32) {
        self.unlogged = self.unlogged.saturating_sub(count);
    }

    /// Returns `count` taken permits whose log write failed, so that they are written again.
    pub fn return_unlogged(&mut self, count: u32) {
        self.pending_log += count;
    }

    /// Returns the limit, the number of permits in the current window and the number of running
    /// programs; `None` until the limit is known.
    pub fn usage(&mut self, now: Instant) -> Option<(RateLimit, u64, usize)> {
        self.remove_idle_programs(now);
        Some((self.limit?, self.issued_in_window(now), self.programs.len()))
    }

    fn issuable(&self) -> f64 {
        self.limit.map_or(0.0, |limit| self.tolerance.issuable(limit))
    }

    /// Returns the number of permits that may be issued now.
    fn remaining(&mut self, now: Instant) -> f64 {
        self.issuable() - self.issued_in_window(now) as f64
    }

    /// Returns the time until one more permit may be issued. Delayed grants are counted already,
    /// so their capacity is not given to another request.
    fn time_until_capacity(&mut self, now: Instant) -> Duration {
        let shortfall = 1.0 - self.remaining(now);
        if shortfall <= 0.0 {
            return Duration::ZERO;
        }
        self.issued.time_until_expired(
            shortfall.ceil() as u64,
            self.tolerance.counting_period(),
            now,
        )
    }

    /// Returns the number of permits that may be issued before the next log write.
    fn issuable_unlogged(&self) -> u32 {
        let max = self.limit.map_or(0.0, |limit| self.tolerance.max_unlogged(limit));
        // The cast saturates.
        (max as u32).saturating_sub(self.unlogged)
    }

    /// Counts one permit and `spare` additional ones as issued at `at`.
    fn issue(&mut self, spare: u32, at: Instant) {
        self.issued.add(1 + spare, at);
        self.unlogged += 1 + spare;
        self.pending_log += 1 + spare;
    }

    /// Returns the number of permits that count towards the current window.
    fn issued_in_window(&mut self, now: Instant) -> u64 {
        self.issued.total(self.tolerance.counting_period(), now)
    }

    fn is_near_limit(&mut self, now: Instant) -> bool {
        self.remaining(now) < self.issuable() * NEAR_LIMIT_SHARE
    }

    /// Returns whether capacity suffices for the running programs and a new one.
    fn can_start_program(&mut self, now: Instant) -> bool {
        self.remove_idle_programs(now);
        let programs = self.programs.len() + 1;
        let required = programs as f64 * self.program_rate * ADMISSION_HORIZON.as_secs_f64();
        let min_age = self.tolerance.counting_period().saturating_sub(ADMISSION_HORIZON);
        let expiring = self.issued.older_than(min_age, now);
        required <= self.remaining(now) + expiring as f64
    }

    fn record_request(&mut self, purpose: PermitPurpose<'_>, now: Instant) {
        self.interval_requests += 1;
        if let PermitPurpose::FirstTurn(program) | PermitPurpose::LaterTurn(program) = purpose {
            self.programs.insert(program.to_owned(), now);
        }
    }

    fn remove_idle_programs(&mut self, now: Instant) {
        self.programs.retain(|_, last_turn| now < *last_turn + PROGRAM_IDLE_TIMEOUT);
    }

    /// Updates the request rate of a program at the end of each interval. The rate is measured
    /// only near the limit: otherwise spare permits are granted, and the number of permit requests
    /// is lower than the number of requests.
    fn update_program_rate(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_start);
        if elapsed < RATE_INTERVAL {
            return;
        }
        self.remove_idle_programs(now);
        let programs = self.programs.len();
        if programs > 0 && self.is_near_limit(now) {
            let rate = f64::from(self.interval_requests) / elapsed.as_secs_f64() / programs as f64;
            self.program_rate += RATE_SMOOTHING_FACTOR * (rate - self.program_rate);
        }
        self.interval_requests = 0;
        self.interval_start = now;
    }

    /// Returns how many of the `wanted` spare permits may be granted.
    fn grantable_spare(&mut self, wanted: u32, now: Instant) -> u32 {
        let reserve = (self.issuable() * SPARE_RESERVE_SHARE).max(MIN_SPARE_RESERVE);
        let available = self.remaining(now) - 1.0 - reserve;
        // The cast saturates.
        wanted.min(available.max(0.0) as u32)
    }

    /// Returns the time after which a refused request should be retried. Successive requests get
    /// retry times spaced according to the limit, so that they are not all retried at once.
    fn retry_after(&mut self, purpose: PermitPurpose<'_>, now: Instant) -> Duration {
        let LimitTolerance { window, .. } = self.tolerance;
        let required = match purpose {
            PermitPurpose::FirstTurn(_) => self.program_rate,
            PermitPurpose::LaterTurn(_) | PermitPurpose::NoProgram => 1.0,
        };
        let spacing = window.mul_f64((required / self.issuable().max(1.0)).min(1.0));
        let shortfall = (required - self.remaining(now)).max(1.0);
        let available_at = now
            + self.issued.time_until_expired(
                shortfall as u64,
                self.tolerance.counting_period(),
                now,
            );
        let retry_at = self.last_retry.max(available_at) + spacing;
        self.last_retry = retry_at.min(now + window);
        self.last_retry - now
    }
}
