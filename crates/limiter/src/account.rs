//! What a leader knows of one tenant: what it issued lately, and the programs under way.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use calicohoist_routing::RateLimit;

use crate::issuer::Issued;
use crate::permit::{PermitAnswer, PermitGrant, Purpose};
use crate::tolerance::LimitTolerance;
use crate::window::IssueWindow;

/// A gateway gets permits in advance while a tenant has more than this share of its limit
/// left, else one at a time.
const ADVANCE_SHARE: f64 = 0.5;
/// The same as a number of requests: a burst of one program with sub-agents. What is issued in
/// advance and not spent counts all the same: tenants of 13 requests a second were refused with
/// 89 of 97 issuable ones sent in their busiest five seconds.
const ADVANCE_LEAST: f64 = 64.0;
/// A tenant presses on its limit while it has less than this share of it left; then it begins
/// fewer programs. With 0.25, 0.5 and 0.75 of the limit, between 584 and 645 programs of a tenant
/// at twice its limit ended whole in the comparison of `tests/ways.rs`, without a trend.
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
/// Time for which there must be enough for all programs under way when one more begins. Between
/// 1, 2 and 3 s there was no trend either in that comparison.
const LOOK_AHEAD: Duration = Duration::from_millis(1_000);

/// Longest time that a request of a program under way is held until there is room, which is
/// known to come then. Shorter than a gateway waits for an answer before it asks about the
/// leader (250 ms).
const MOST_HOLD: Duration = Duration::from_millis(200);

/// One tenant's account.
#[derive(Debug)]
pub struct TenantAccount {
    tolerance: LimitTolerance,
    configuration: u64,
    /// `None` before anything but what an earlier leader issued is known.
    limit: Option<RateLimit>,
    /// Permits, each until what was sent with it has left the window: a request may go out as long
    /// as its permit holds, and counts from then on.
    issued: IssueWindow,
    /// Permits that were issued and are not known to be noted.
    unnoted: u32,
    /// Those of them that nobody is noting yet.
    to_note: u32,
    /// When each program under way was seen last.
    programs: HashMap<String, Instant>,
    /// Requests a second of one program, learned while the tenant presses.
    program_rate: f64,
    counted_from: Instant,
    counted: u32,
    /// When the next one that is refused may come back.
    next_return: Instant,
}

impl TenantAccount {
    /// A tenant that nothing is known of.
    pub fn new(tolerance: LimitTolerance, now: Instant) -> Self {
        Self {
            tolerance,
            configuration: 0,
            limit: None,
            issued: IssueWindow::default(),
            unnoted: 0,
            to_note: 0,
            programs: HashMap::new(),
            program_rate: FIRST_GUESS,
            counted_from: now,
            counted: 0,
            next_return: now,
        }
    }

    /// Takes in what an earlier leader has issued at some time.
    pub fn inherit(&mut self, count: u32, at: Instant) {
        self.issued.add(count, at);
    }

    /// Takes the limit of a configuration, if that is the newest one so far.
    pub fn set_limit(&mut self, limit: RateLimit, configuration: u64) {
        if self.limit.is_none() || configuration > self.configuration {
            self.configuration = configuration;
            self.limit = Some(limit);
        }
    }

    /// Whether a request would be refused, whatever it is for.
    pub fn is_exhausted(&mut self, now: Instant) -> bool {
        self.time_until_room(now) > MOST_HOLD
    }

    /// What becomes of a request that wants `spare` permits beside its own.
    pub fn decide(&mut self, spare: u32, purpose: Purpose<'_>, now: Instant) -> Issued {
        self.count(now);
        let hold = self.time_until_room(now);
        let may_run = match purpose {
            Purpose::Begin(_) => hold.is_zero() && (!self.is_pressing(now) || self.may_begin(now)),
            Purpose::GoOn(_) | Purpose::Single => hold <= MOST_HOLD,
        };
        if !may_run {
            return Issued::Answer(PermitAnswer::OverLimit(self.come_back(purpose, now)));
        }
        let noteless = self.may_issue_noteless();
        if noteless == 0 {
            return Issued::NotNow;
        }
        self.note(purpose, now);
        let spare = self.spare(spare, now).min(noteless - 1);
        self.issue(spare, now + hold);
        let grant = PermitGrant { permits: 1 + spare, life: self.tolerance.permit_life() };
        if hold.is_zero() {
            return Issued::Answer(PermitAnswer::Granted(grant));
        }
        Issued::Later(grant, hold)
    }

    /// Whether the tenant may soon get nothing more without a note.
    pub fn wants_note(&self) -> bool {
        self.may_issue_noteless() <= self.unnoted
    }

    /// Takes the number of permits that are to be noted in the log.
    pub fn take_unnoted(&mut self) -> u32 {
        std::mem::take(&mut self.to_note)
    }

    /// So many of those are noted.
    pub fn confirm_noted(&mut self, count: u32) {
        self.unnoted = self.unnoted.saturating_sub(count);
    }

    /// So many of those are to be noted again.
    pub fn return_unnoted(&mut self, count: u32) {
        self.to_note += count;
    }

    /// The limit, the permits of the present window, and the programs under way; `None`
    /// before the limit is known.
    pub fn usage(&mut self, now: Instant) -> Option<(RateLimit, u64, usize)> {
        self.forget_ended(now);
        Some((self.limit?, self.in_window(now), self.programs.len()))
    }

    fn issuable(&self) -> f64 {
        self.limit.map_or(0.0, |limit| self.tolerance.issuable(limit))
    }

    /// Permits that may be issued now.
    fn left(&mut self, now: Instant) -> f64 {
        self.issuable() - self.in_window(now) as f64
    }

    /// How long it takes until one permit more may be issued. What was issued for a later time
    /// counts already, so that nobody else gets that place.
    fn time_until_room(&mut self, now: Instant) -> Duration {
        let missing = 1.0 - self.left(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        self.issued.time_until_gone(missing.ceil() as u64, self.tolerance.counted_for(), now)
    }

    /// Permits that may be issued before any of the others is noted.
    fn may_issue_noteless(&self) -> u32 {
        let most = self.limit.map_or(0.0, |limit| self.tolerance.most_unnoted(limit));
        // A limit that does not fit is none.
        (most as u32).saturating_sub(self.unnoted)
    }

    /// Issues a permit for a request that is sent now, and some for later ones.
    fn issue(&mut self, spare: u32, now: Instant) {
        self.issued.add(1 + spare, now);
        self.unnoted += 1 + spare;
        self.to_note += 1 + spare;
    }

    /// Permits that count towards the present window.
    fn in_window(&mut self, now: Instant) -> u64 {
        self.issued.total(self.tolerance.counted_for(), now)
    }

    fn is_pressing(&mut self, now: Instant) -> bool {
        self.left(now) < self.issuable() * PRESSING_SHARE
    }

    /// Whether one program more leaves enough for those under way.
    fn may_begin(&mut self, now: Instant) -> bool {
        self.forget_ended(now);
        let programs = self.programs.len() + 1;
        let needed = programs as f64 * self.program_rate * LOOK_AHEAD.as_secs_f64();
        let stays = self.tolerance.counted_for().saturating_sub(LOOK_AHEAD);
        let gone = self.issued.older_than(stays, now);
        needed <= self.left(now) + gone as f64
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

    /// Permits beyond the one that is asked for.
    fn spare(&mut self, wanted: u32, now: Instant) -> u32 {
        let kept = (self.issuable() * ADVANCE_SHARE).max(ADVANCE_LEAST);
        let above = self.left(now) - 1.0 - kept;
        // Nobody wants more than fits.
        wanted.min(above.max(0.0) as u32)
    }

    /// When a refused request finds room. Each one gets a time of its own, as far apart as
    /// the limit lets requests in, so that they do not all come back together.
    fn come_back(&mut self, purpose: Purpose<'_>, now: Instant) -> Duration {
        let LimitTolerance { window, .. } = self.tolerance;
        let needed = match purpose {
            Purpose::Begin(_) => self.program_rate,
            Purpose::GoOn(_) | Purpose::Single => 1.0,
        };
        let apart = window.mul_f64((needed / self.issuable().max(1.0)).min(1.0));
        let missing = (needed - self.left(now)).max(1.0);
        let room =
            now + self.issued.time_until_gone(missing as u64, self.tolerance.counted_for(), now);
        let next = self.next_return.max(room) + apart;
        self.next_return = next.min(now + window);
        self.next_return - now
    }
}
