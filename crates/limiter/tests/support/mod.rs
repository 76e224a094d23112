//! Gateways and leaders in virtual time, between callers who send programs.

#![allow(dead_code)]

mod bucket;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use bucket::TokenBucket;
use calicohoist_limiter::{
    Issued, IssuedPermits, LimitTolerance, PermitAnswer, PermitIssuer, PermitPurse, PermitRequest,
    Purpose,
};
use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The time between a gateway and the leader, one way.
pub const WAY: Duration = Duration::from_millis(2);
/// Time between two notes of what was issued.
pub const NOTE_EVERY: Duration = Duration::from_millis(100);
/// How long a gateway holds a configuration that is no longer the newest.
pub const APPLY: Duration = Duration::from_millis(2_500);

/// As strict as an operator asks for.
pub fn tolerance() -> LimitTolerance {
    LimitTolerance { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 }
}

/// How a limit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Every gateway has the same share of every limit and asks nobody.
    EqualShares,
    /// The leader is asked about each request and has a bucket that holds the burst.
    Bucket,
    /// The leader is asked about each request.
    AskEach,
    /// Turns bring so many permits for the tool calls after them.
    Leased {
        /// Permits that a gateway would like to have in advance.
        spare: u32,
    },
    /// The same, with as many as a gateway has learned that it needs.
    LeasedLearned,
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing.
    None,
    /// Permits never end.
    EndlessPermits,
    /// A new leader does not know what was issued.
    NothingInherited,
    /// A leader issues whatever is not noted yet.
    NeverNoted,
    /// A limit that is lowered stays.
    LimitStays,
    /// A gateway that is cut off lets everything through.
    OpenWhenCut,
}

/// One request of a program.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: Duration,
    pub tenant: usize,
    pub gateway: usize,
    pub program: usize,
    pub is_turn: bool,
    pub is_first: bool,
    /// How long after its permit was asked for it goes to a replica: a replica that takes no more
    /// work comes first, or a connection that is not there yet.
    pub delay: Duration,
}

/// What happens beside requests.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Another leader takes over.
    LeaderChange,
    /// A gateway loses what it knows.
    GatewayRestart(usize),
    /// A gateway reaches no leader for this long.
    Cut(usize, Duration),
    /// A tenant has another limit from now on.
    Limit(usize, RateLimit),
}

/// What callers do to one tenant.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub limit: RateLimit,
    /// Programs begun a second.
    pub programs_per_s: f64,
}

/// The requests of all programs, in order. A program sends turns with two tool calls after
/// each, all by one gateway; the more gateways there are, the more uneven their shares.
pub fn traffic(demands: &[Demand], gateways: usize, seconds: f64, seed: u64) -> Vec<Sent> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let mut program = 0;
    for (tenant, demand) in demands.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / demand.programs_per_s;
            if at >= seconds {
                break;
            }
            // A few gateways get most callers.
            let share: f64 = rng.random_range(0.0..1.0);
            let gateway = ((share * share * gateways as f64) as usize).min(gateways - 1);
            add_program(
                &mut sent,
                &mut rng,
                at,
                Sent {
                    at: Duration::ZERO,
                    tenant,
                    gateway,
                    program,
                    is_turn: true,
                    is_first: true,
                    delay: Duration::ZERO,
                },
            );
            program += 1;
        }
    }
    sent.sort_by_key(|sent| sent.at);
    sent
}

/// The same, with some requests that are delayed for nearly as long as a permit holds.
pub fn delayed(mut traffic: Vec<Sent>, seed: u64) -> Vec<Sent> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let longest = tolerance().permit_life();
    for sent in &mut traffic {
        // Spells of trouble, so that many are late one after the other.
        let is_troubled = (sent.at.as_secs_f64() * 0.7).fract() < 0.4;
        if is_troubled {
            sent.delay = longest.mul_f64(rng.random_range(0.0..1.0));
        }
    }
    traffic
}

fn add_program(sent: &mut Vec<Sent>, rng: &mut ChaCha8Rng, begins: f64, first: Sent) {
    let turns = rng.random_range(2..12);
    let mut at = begins;
    for turn in 0..turns {
        let is_first = turn == 0;
        sent.push(Sent { at: Duration::from_secs_f64(at), is_first, ..first });
        at += rng.random_range(0.05..0.12);
        for _ in 0..2 {
            let at = Duration::from_secs_f64(at + rng.random_range(0.0..0.03));
            sent.push(Sent { at, is_turn: false, is_first: false, ..first });
        }
        at += rng.random_range(0.05..0.25);
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When requests ran, by tenant.
    pub ran: BTreeMap<usize, Vec<Duration>>,
    pub asked: usize,
    pub programs_whole: usize,
    pub programs_not_begun: usize,
    pub programs_cut: usize,
    /// Requests that had to wait for the leader beyond their reservation.
    pub waited: usize,
    pub refused: usize,
    /// Requests that were held until there was room.
    pub held: usize,
    pub requests: usize,
}

struct Gateway {
    purse: PermitPurse,
    shares: HashMap<usize, TokenBucket>,
    cut_until: Duration,
    known: Vec<(u64, RateLimit)>,
}

/// A system under test.
pub struct World {
    way: Way,
    flaw: Flaw,
    origin: Instant,
    issuer: PermitIssuer,
    /// What leaders have noted as issued.
    notes: Vec<(Duration, IssuedPermits)>,
    noted: Duration,
    buckets: HashMap<usize, TokenBucket>,
    gateways: Vec<Gateway>,
    /// Newest configuration of each tenant, with the moment of its change.
    limits: Vec<(u64, RateLimit, Duration)>,
    outcome: Outcome,
}

impl World {
    pub fn new(way: Way, flaw: Flaw, demands: &[Demand], gateways: usize) -> Self {
        let origin = Instant::now();
        let known: Vec<_> = demands.iter().map(|demand| (1, demand.limit)).collect();
        let gateway = || Gateway {
            purse: PermitPurse::default(),
            shares: HashMap::new(),
            cut_until: Duration::ZERO,
            known: known.clone(),
        };
        Self {
            way,
            flaw,
            origin,
            issuer: PermitIssuer::new(tolerance()),
            notes: Vec::new(),
            noted: Duration::ZERO,
            buckets: HashMap::new(),
            gateways: (0..gateways).map(|_| gateway()).collect(),
            limits: demands.iter().map(|demand| (1, demand.limit, Duration::ZERO)).collect(),
            outcome: Outcome::default(),
        }
    }

    /// Plays traffic and troubles, both in order of time.
    pub fn play(mut self, traffic: &[Sent], troubles: &[(Duration, Trouble)]) -> Outcome {
        let mut troubles = troubles.iter().peekable();
        let mut cut = HashSet::new();
        let mut begun = HashSet::new();
        for sent in traffic {
            while let Some((_, trouble)) = troubles.next_if(|(at, _)| *at <= sent.at) {
                self.trouble(*trouble, sent.at);
            }
            if sent.at >= self.noted + NOTE_EVERY {
                self.write_notes(sent.at);
            }
            if cut.contains(&sent.program) {
                continue;
            }
            self.outcome.requests += 1;
            if let Some(hold) = self.run(sent) {
                begun.insert(sent.program);
                self.outcome.held += usize::from(!hold.is_zero());
                self.outcome.ran.entry(sent.tenant).or_default().push(sent.at + hold);
            } else {
                self.outcome.refused += 1;
                cut.insert(sent.program);
                if sent.is_first {
                    self.outcome.programs_not_begun += 1;
                } else {
                    self.outcome.programs_cut += 1;
                }
            }
        }
        for ran in self.outcome.ran.values_mut() {
            ran.sort();
        }
        self.outcome.programs_whole = begun.difference(&cut).count();
        self.outcome
    }

    fn trouble(&mut self, trouble: Trouble, at: Duration) {
        match trouble {
            Trouble::LeaderChange => self.change_leader(),
            Trouble::GatewayRestart(gateway) => {
                self.gateways[gateway].purse = PermitPurse::default();
                self.learn(gateway);
            }
            Trouble::Cut(gateway, lasting) => self.gateways[gateway].cut_until = at + lasting,
            Trouble::Limit(tenant, limit) => {
                let (version, _, _) = self.limits[tenant];
                self.limits[tenant] = (version + 1, limit, at);
            }
        }
    }

    /// What was issued and not noted is lost.
    fn change_leader(&mut self) {
        self.issuer = PermitIssuer::new(tolerance());
        if self.flaw != Flaw::NothingInherited {
            for (at, issued) in &self.notes {
                self.issuer.inherit(issued, self.origin + *at);
            }
        }
    }

    fn write_notes(&mut self, at: Duration) {
        self.noted = at;
        let issued = self.issuer.take_unnoted();
        self.issuer.confirm_noted(&issued);
        if self.flaw != Flaw::NeverNoted {
            self.notes.extend(issued.into_iter().map(|issued| (at, issued)));
        }
    }

    fn learn(&mut self, gateway: usize) {
        let limits = self.limits.iter().map(|(version, limit, _)| (*version, *limit));
        self.gateways[gateway].known = limits.collect();
    }

    /// Runs a request, perhaps after it was held; `None` when it is refused.
    fn run(&mut self, sent: &Sent) -> Option<Duration> {
        let is_cut = self.gateways[sent.gateway].cut_until > sent.at;
        let (_, _, changed) = self.limits[sent.tenant];
        if !is_cut && sent.at >= changed + APPLY / 2 {
            self.learn(sent.gateway);
        }
        let now = self.origin + sent.at;
        match self.way {
            Way::EqualShares => self.share(sent, now),
            Way::Bucket => self.take(sent, is_cut, now),
            Way::AskEach => self.ask(sent, 0, is_cut, now),
            Way::Leased { spare } => self.lease(sent, Some(spare), is_cut, now),
            Way::LeasedLearned => self.lease(sent, None, is_cut, now),
        }
    }

    fn share(&mut self, sent: &Sent, now: Instant) -> Option<Duration> {
        let count = self.gateways.len() as f64;
        let gateway = &mut self.gateways[sent.gateway];
        let (_, limit) = gateway.known[sent.tenant];
        let share = RateLimit { per_second: limit.per_second / count, burst: limit.burst / count };
        let capacity = share.burst.max(1.0);
        let fresh = || TokenBucket::new(share, capacity, capacity, now);
        let bucket = gateway.shares.entry(sent.tenant).or_insert_with(fresh);
        if bucket.limit() != share {
            bucket.set_limit(share, capacity, now);
        }
        (bucket.take(1, now) == 1).then_some(Duration::ZERO)
    }

    fn take(&mut self, sent: &Sent, is_cut: bool, now: Instant) -> Option<Duration> {
        let (_, limit, _) = self.limits[sent.tenant];
        let capacity = limit.burst.max(1.0);
        let full = || TokenBucket::new(limit, capacity, capacity, now);
        let bucket = self.buckets.entry(sent.tenant).or_insert_with(full);
        (!is_cut && bucket.take(1, now) == 1).then_some(Duration::ZERO)
    }

    fn lease(
        &mut self,
        sent: &Sent,
        spare: Option<u32>,
        is_cut: bool,
        now: Instant,
    ) -> Option<Duration> {
        let tenant = name(sent.tenant);
        let purse = &mut self.gateways[sent.gateway].purse;
        if sent.is_turn {
            let learned = purse.note_turn(&tenant, now);
            return self.ask(sent, spare.unwrap_or(learned), is_cut, now);
        }
        if let Some(until) = purse.spend(&tenant, now) {
            return Some(sent.delay.min(until - now));
        }
        self.ask(sent, 0, is_cut, now)
    }

    fn ask(&mut self, sent: &Sent, spare: u32, is_cut: bool, now: Instant) -> Option<Duration> {
        if is_cut {
            return (self.flaw == Flaw::OpenWhenCut).then_some(Duration::ZERO);
        }
        self.outcome.asked += 1;
        self.outcome.waited += usize::from(!sent.is_turn);
        let tenant = name(sent.tenant);
        let gateway = &mut self.gateways[sent.gateway];
        let (version, limit) = gateway.known[sent.tenant];
        let (configuration, limit) = match self.flaw {
            Flaw::LimitStays => (1, limit),
            _ => (version, limit),
        };
        let request = PermitRequest { tenant: tenant.clone(), limit, configuration, spare };
        let program = format!("p{}", sent.program);
        let purpose = match (sent.is_turn, sent.is_first) {
            (true, true) => Purpose::Begin(&program),
            (true, false) => Purpose::GoOn(&program),
            (false, _) => Purpose::Single,
        };
        let mut issued = self.issuer.issue(&request, purpose, now);
        if issued == Issued::NotNow {
            // The leader answers once its notes are written.
            self.write_notes(sent.at);
            issued = self.issuer.issue(&request, purpose, now);
        }
        let (answer, hold) = match issued {
            Issued::Answer(answer) => (answer, Duration::ZERO),
            Issued::Later(grant, hold) => (PermitAnswer::Granted(grant), hold),
            Issued::NotNow => return None,
        };
        let gateway = &mut self.gateways[sent.gateway];
        match answer {
            PermitAnswer::Granted(mut grant) => {
                if self.flaw == Flaw::EndlessPermits {
                    grant.life = Duration::from_secs(600);
                    grant.permits += 40;
                }
                gateway.purse.put(&tenant, grant, now, now);
                Some(hold.max(sent.delay))
            }
            PermitAnswer::OverLimit(_) => None,
        }
    }
}

/// Name of a tenant.
pub fn name(tenant: usize) -> TenantId {
    TenantId::new(format!("t{tenant}"))
}

/// By how many requests the worst window of those that begin in `span` is over what
/// `limit` allows with its tolerance; below 0 when it is under.
pub fn worst_excess(ran: &[Duration], limit: RateLimit, from: Duration) -> f64 {
    let most = tolerance().most_in_window(limit);
    let ran: Vec<Duration> = ran.iter().copied().filter(|at| *at >= from).collect();
    let mut worst = f64::NEG_INFINITY;
    let mut end = 0;
    for (begin, at) in ran.iter().enumerate() {
        while end < ran.len() && ran[end] < *at + tolerance().window {
            end += 1;
        }
        worst = worst.max((end - begin) as f64 - most);
    }
    worst
}
