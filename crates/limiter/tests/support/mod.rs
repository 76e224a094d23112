//! Simulation of gateways and leaders in virtual time.

#![allow(dead_code)]

mod bucket;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use bucket::TokenBucket;
use calicohoist_limiter::{
    IssueOutcome, IssuedPermits, LimitTolerance, PermitAnswer, PermitCache, PermitIssuer,
    PermitPurpose, PermitRequest,
};
use calicohoist_routing::RateLimit;
use calicohoist_types::TenantId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One-way network delay between a gateway and the leader.
pub const ONE_WAY_DELAY: Duration = Duration::from_millis(2);
/// Time between two log writes of issued permits.
pub const LOG_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time until a gateway applies a new configuration.
pub const CONFIG_PROPAGATION: Duration = Duration::from_millis(2_500);

/// A strict tolerance, as configured by operators.
pub fn tolerance() -> LimitTolerance {
    LimitTolerance { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 }
}

/// Rate-limiting scheme.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scheme {
    /// Every gateway enforces an equal share of every limit, without a leader.
    EqualShares,
    /// The leader decides on each request with a token bucket.
    Bucket,
    /// The leader issues a single permit for each request.
    AskEach,
    /// Each turn requests a fixed number of spare permits for the tool calls that follow it.
    Leased {
        /// Number of spare permits requested with each turn.
        spare: u32,
    },
    /// Each turn requests as many spare permits as the gateway estimates.
    LeasedLearned,
}

/// Deliberate violation of one rule, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No violation.
    None,
    /// Permits do not expire.
    EndlessPermits,
    /// A new leader does not restore the issued permits.
    NothingInherited,
    /// Issued permits are never written to the log.
    NeverNoted,
    /// The leader ignores configuration changes.
    LimitStays,
    /// A partitioned gateway admits all requests.
    OpenWhenCut,
}

/// One request of a program.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: Duration,
    pub tenant: usize,
    pub gateway: usize,
    pub program: usize,
    pub is_turn: bool,
    pub is_first: bool,
    /// Time between the permit request and sending to a replica, for example because of a retry at
    /// another replica or a new connection.
    pub delay: Duration,
}

/// Fault or configuration change during a simulation.
#[derive(Clone, Copy, Debug)]
pub enum FaultEvent {
    /// Another leader takes over.
    LeaderChange,
    /// A gateway restarts and loses its cached permits.
    GatewayRestart(usize),
    /// A gateway cannot reach the leader for this long.
    Partition(usize, Duration),
    /// The limit of a tenant is changed.
    LimitChange(usize, RateLimit),
}

/// Traffic of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct TenantLoad {
    pub limit: RateLimit,
    /// Mean number of programs started per second.
    pub programs_per_s: f64,
}

/// Generates the requests of all programs, in order of time. A program sends turns, each followed
/// by two tool calls, through one gateway. Traffic is skewed towards a few gateways.
pub fn traffic(loads: &[TenantLoad], gateways: usize, seconds: f64, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut program = 0;
    for (tenant, load) in loads.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / load.programs_per_s;
            if at >= seconds {
                break;
            }
            // Skews traffic towards gateways with a low index.
            let skew: f64 = rng.random_range(0.0..1.0);
            let gateway = ((skew * skew * gateways as f64) as usize).min(gateways - 1);
            add_program(
                &mut requests,
                &mut rng,
                at,
                Request {
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
    requests.sort_by_key(|request| request.at);
    requests
}

/// Adds delays of up to the lifetime of a permit to some of the requests.
pub fn with_delays(mut traffic: Vec<Request>, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let max_delay = tolerance().permit_lifetime();
    for request in &mut traffic {
        // Delays are clustered in time.
        let is_delayed = (request.at.as_secs_f64() * 0.7).fract() < 0.4;
        if is_delayed {
            request.delay = max_delay.mul_f64(rng.random_range(0.0..1.0));
        }
    }
    traffic
}

fn add_program(requests: &mut Vec<Request>, rng: &mut ChaCha8Rng, start: f64, first: Request) {
    let turns = rng.random_range(2..12);
    let mut at = start;
    for turn in 0..turns {
        let is_first = turn == 0;
        requests.push(Request { at: Duration::from_secs_f64(at), is_first, ..first });
        at += rng.random_range(0.05..0.12);
        for _ in 0..2 {
            let at = Duration::from_secs_f64(at + rng.random_range(0.0..0.03));
            requests.push(Request { at, is_turn: false, is_first: false, ..first });
        }
        at += rng.random_range(0.05..0.25);
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Send times of admitted requests, by tenant.
    pub send_times: BTreeMap<usize, Vec<Duration>>,
    pub permit_requests: usize,
    pub programs_completed: usize,
    pub programs_refused: usize,
    pub programs_aborted: usize,
    /// Requests that needed a round trip to the leader besides the reservation of their turn.
    pub extra_round_trips: usize,
    pub refused: usize,
    /// Requests that were delayed until the window had capacity.
    pub delayed: usize,
    pub requests: usize,
}

struct Gateway {
    permits: PermitCache,
    shares: HashMap<usize, TokenBucket>,
    partitioned_until: Duration,
    known_limits: Vec<(u64, RateLimit)>,
}

/// Gateways with a leader, and the state of the simulated network.
pub struct Simulation {
    scheme: Scheme,
    bug: InjectedBug,
    origin: Instant,
    issuer: PermitIssuer,
    /// Issued permits in the replicated log, with their time.
    log: Vec<(Duration, IssuedPermits)>,
    logged_at: Duration,
    buckets: HashMap<usize, TokenBucket>,
    gateways: Vec<Gateway>,
    /// Current limit of each tenant, with its version and the time of the change.
    limits: Vec<(u64, RateLimit, Duration)>,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(scheme: Scheme, bug: InjectedBug, loads: &[TenantLoad], gateways: usize) -> Self {
        let origin = Instant::now();
        let known_limits: Vec<_> = loads.iter().map(|load| (1, load.limit)).collect();
        let gateway = || Gateway {
            permits: PermitCache::default(),
            shares: HashMap::new(),
            partitioned_until: Duration::ZERO,
            known_limits: known_limits.clone(),
        };
        Self {
            scheme,
            bug,
            origin,
            issuer: PermitIssuer::new(tolerance()),
            log: Vec::new(),
            logged_at: Duration::ZERO,
            buckets: HashMap::new(),
            gateways: (0..gateways).map(|_| gateway()).collect(),
            limits: loads.iter().map(|load| (1, load.limit, Duration::ZERO)).collect(),
            outcome: Outcome::default(),
        }
    }

    /// Simulates traffic and faults; both must be in order of time.
    pub fn run(mut self, traffic: &[Request], faults: &[(Duration, FaultEvent)]) -> Outcome {
        let mut faults = faults.iter().peekable();
        let mut aborted = HashSet::new();
        let mut started = HashSet::new();
        for request in traffic {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= request.at) {
                self.apply_fault(*fault, request.at);
            }
            if request.at >= self.logged_at + LOG_INTERVAL {
                self.write_log(request.at);
            }
            if aborted.contains(&request.program) {
                continue;
            }
            self.outcome.requests += 1;
            if let Some(delay) = self.admit(request) {
                started.insert(request.program);
                self.outcome.delayed += usize::from(!delay.is_zero());
                self.outcome.send_times.entry(request.tenant).or_default().push(request.at + delay);
            } else {
                self.outcome.refused += 1;
                aborted.insert(request.program);
                if request.is_first {
                    self.outcome.programs_refused += 1;
                } else {
                    self.outcome.programs_aborted += 1;
                }
            }
        }
        for send_times in self.outcome.send_times.values_mut() {
            send_times.sort();
        }
        self.outcome.programs_completed = started.difference(&aborted).count();
        self.outcome
    }

    fn apply_fault(&mut self, fault: FaultEvent, at: Duration) {
        match fault {
            FaultEvent::LeaderChange => self.change_leader(),
            FaultEvent::GatewayRestart(gateway) => {
                self.gateways[gateway].permits = PermitCache::default();
                self.refresh_limits(gateway);
            }
            FaultEvent::Partition(gateway, duration) => {
                self.gateways[gateway].partitioned_until = at + duration
            }
            FaultEvent::LimitChange(tenant, limit) => {
                let (version, _, _) = self.limits[tenant];
                self.limits[tenant] = (version + 1, limit, at);
            }
        }
    }

    /// Replaces the leader. Issued permits that are not in the log are lost.
    fn change_leader(&mut self) {
        self.issuer = PermitIssuer::new(tolerance());
        if self.bug != InjectedBug::NothingInherited {
            for (at, issued) in &self.log {
                self.issuer.restore(issued, self.origin + *at);
            }
        }
    }

    fn write_log(&mut self, at: Duration) {
        self.logged_at = at;
        let issued = self.issuer.take_unlogged();
        self.issuer.confirm_logged(&issued);
        if self.bug != InjectedBug::NeverNoted {
            self.log.extend(issued.into_iter().map(|issued| (at, issued)));
        }
    }

    fn refresh_limits(&mut self, gateway: usize) {
        let limits = self.limits.iter().map(|(version, limit, _)| (*version, *limit));
        self.gateways[gateway].known_limits = limits.collect();
    }

    /// Admits a request and returns the delay until it is sent, or `None` if it is refused.
    fn admit(&mut self, request: &Request) -> Option<Duration> {
        let is_partitioned = self.gateways[request.gateway].partitioned_until > request.at;
        let (_, _, changed_at) = self.limits[request.tenant];
        if !is_partitioned && request.at >= changed_at + CONFIG_PROPAGATION / 2 {
            self.refresh_limits(request.gateway);
        }
        let now = self.origin + request.at;
        match self.scheme {
            Scheme::EqualShares => self.admit_by_share(request, now),
            Scheme::Bucket => self.admit_by_bucket(request, is_partitioned, now),
            Scheme::AskEach => self.request_permit(request, 0, is_partitioned, now),
            Scheme::Leased { spare } => {
                self.admit_leased(request, Some(spare), is_partitioned, now)
            }
            Scheme::LeasedLearned => self.admit_leased(request, None, is_partitioned, now),
        }
    }

    fn admit_by_share(&mut self, request: &Request, now: Instant) -> Option<Duration> {
        let count = self.gateways.len() as f64;
        let gateway = &mut self.gateways[request.gateway];
        let (_, limit) = gateway.known_limits[request.tenant];
        let share_limit =
            RateLimit { per_second: limit.per_second / count, burst: limit.burst / count };
        let capacity = share_limit.burst.max(1.0);
        let new_bucket = || TokenBucket::new(share_limit, capacity, capacity, now);
        let bucket = gateway.shares.entry(request.tenant).or_insert_with(new_bucket);
        if bucket.limit() != share_limit {
            bucket.set_limit(share_limit, capacity, now);
        }
        (bucket.take(1, now) == 1).then_some(Duration::ZERO)
    }

    fn admit_by_bucket(
        &mut self,
        request: &Request,
        is_partitioned: bool,
        now: Instant,
    ) -> Option<Duration> {
        let (_, limit, _) = self.limits[request.tenant];
        let capacity = limit.burst.max(1.0);
        let full_bucket = || TokenBucket::new(limit, capacity, capacity, now);
        let bucket = self.buckets.entry(request.tenant).or_insert_with(full_bucket);
        (!is_partitioned && bucket.take(1, now) == 1).then_some(Duration::ZERO)
    }

    fn admit_leased(
        &mut self,
        request: &Request,
        spare: Option<u32>,
        is_partitioned: bool,
        now: Instant,
    ) -> Option<Duration> {
        let tenant = tenant_id(request.tenant);
        let permits = &mut self.gateways[request.gateway].permits;
        if request.is_turn {
            let estimate = permits.record_turn(&tenant, now);
            return self.request_permit(request, spare.unwrap_or(estimate), is_partitioned, now);
        }
        if let Some(expires_at) = permits.consume(&tenant, now) {
            return Some(request.delay.min(expires_at - now));
        }
        self.request_permit(request, 0, is_partitioned, now)
    }

    fn request_permit(
        &mut self,
        request: &Request,
        spare: u32,
        is_partitioned: bool,
        now: Instant,
    ) -> Option<Duration> {
        if is_partitioned {
            return (self.bug == InjectedBug::OpenWhenCut).then_some(Duration::ZERO);
        }
        self.outcome.permit_requests += 1;
        self.outcome.extra_round_trips += usize::from(!request.is_turn);
        let tenant = tenant_id(request.tenant);
        let gateway = &mut self.gateways[request.gateway];
        let (version, limit) = gateway.known_limits[request.tenant];
        let (configuration, limit) = match self.bug {
            InjectedBug::LimitStays => (1, limit),
            _ => (version, limit),
        };
        let permit_request = PermitRequest { tenant: tenant.clone(), limit, configuration, spare };
        let program = format!("p{}", request.program);
        let purpose = match (request.is_turn, request.is_first) {
            (true, true) => PermitPurpose::FirstTurn(&program),
            (true, false) => PermitPurpose::LaterTurn(&program),
            (false, _) => PermitPurpose::NoProgram,
        };
        let mut issued = self.issuer.issue(&permit_request, purpose, now);
        if issued == IssueOutcome::LogBacklog {
            // The leader answers after the next log write.
            self.write_log(request.at);
            issued = self.issuer.issue(&permit_request, purpose, now);
        }
        let (answer, delay) = match issued {
            IssueOutcome::Answer(answer) => (answer, Duration::ZERO),
            IssueOutcome::Delayed(grant, delay) => (PermitAnswer::Granted(grant), delay),
            IssueOutcome::LogBacklog => return None,
        };
        let gateway = &mut self.gateways[request.gateway];
        match answer {
            PermitAnswer::Granted(mut grant) => {
                if self.bug == InjectedBug::EndlessPermits {
                    grant.life = Duration::from_secs(600);
                    grant.permits += 40;
                }
                gateway.permits.add_grant(&tenant, grant, now, now);
                Some(delay.max(request.delay))
            }
            PermitAnswer::OverLimit(_) => None,
        }
    }
}

/// Id of the tenant with this index.
pub fn tenant_id(tenant: usize) -> TenantId {
    TenantId::new(format!("t{tenant}"))
}

/// Returns by how many requests the fullest window that begins at or after `from` exceeds `limit`
/// with its tolerance; negative if no window does.
pub fn max_excess(send_times: &[Duration], limit: RateLimit, from: Duration) -> f64 {
    let max_requests = tolerance().max_in_window(limit);
    let send_times: Vec<Duration> = send_times.iter().copied().filter(|at| *at >= from).collect();
    let mut excess = f64::NEG_INFINITY;
    let mut end = 0;
    for (begin, at) in send_times.iter().enumerate() {
        while end < send_times.len() && send_times[end] < *at + tolerance().window {
            end += 1;
        }
        excess = excess.max((end - begin) as f64 - max_requests);
    }
    excess
}
