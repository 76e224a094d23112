//! Known replicas of the back-end services, with their load and health.
//!
//! The replica list, the drained zones and reports about cold and failing replicas come from the
//! elected leader of the ledger, which is called the leader here. If the leader provides no recent
//! list, the gateway reads the list from discovery itself.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use calicohoist_routing::select::Affinity;
use calicohoist_routing::{
    Candidate, ColdReplicas, CostWeights, DrainedZones, EligibilityRules, EntryStatus, HomeRegions,
    IncarnationTracker, MeanLoad, Replica, Topology, UndrainedZones, choose, spread, stable_hash,
};
use parking_lot::{MappedRwLockReadGuard, Mutex, RwLock, RwLockReadGuard};

use crate::upstream::Pool;

/// Cost penalty for replicas that the leader reports as failing.
const REPORTED_FAILURE_PENALTY: Duration = Duration::from_millis(800);

/// Time for which a newly listed replica is assumed to be cold. Covers the delay until the leader
/// reports the cold replicas.
const ASSUMED_COLD_TIME: Duration = Duration::from_millis(1_000);

/// A replica with its load and recent failures.
#[derive(Debug)]
pub struct Member {
    /// Replica as listed by discovery.
    pub replica: Replica,
    /// Tie-breaker among replicas with equal cost; differs between gateways.
    rank: u64,
    own_load: AtomicU32,
    /// Sequence number of this gateway's last request to the replica; 0 for none.
    last_used: AtomicU64,
    other_load: Mutex<OtherLoad>,
    active_penalty: Mutex<Option<ActivePenalty>>,
}

/// Total load that all other gateways place on a replica, as reported by the leader.
#[derive(Clone, Copy, Debug, Default)]
struct OtherLoad {
    mean: MeanLoad,
    reported_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct ActivePenalty {
    until: Instant,
    penalty: Duration,
}

impl Member {
    fn new(replica: Replica, rank: u64) -> Self {
        Self {
            replica,
            rank,
            own_load: AtomicU32::new(0),
            last_used: AtomicU64::new(0),
            other_load: Mutex::default(),
            active_penalty: Mutex::new(None),
        }
    }

    /// Counts a request as load of the replica until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> LoadGuard {
        self.own_load.fetch_add(1, Ordering::Relaxed);
        LoadGuard { member: Arc::clone(self) }
    }

    /// Adds a cost penalty to the replica for a limited time.
    pub fn penalize(&self, penalty: Duration, duration: Duration) {
        *self.active_penalty.lock() =
            Some(ActivePenalty { until: Instant::now() + duration, penalty });
    }

    fn penalty(&self, now: Instant) -> Duration {
        let current = *self.active_penalty.lock();
        current.filter(|current| current.until > now).map_or(Duration::ZERO, |known| known.penalty)
    }

    /// Returns the number of active requests of this gateway, and the moving average of the
    /// total of all other gateways.
    pub fn loads(&self) -> (u32, MeanLoad) {
        (self.own_load.load(Ordering::Relaxed), self.other_load.lock().mean)
    }

    fn record_other_load(&self, load: u32, now: Instant) {
        let mut known = self.other_load.lock();
        let since = known.reported_at.map(|at| now.saturating_duration_since(at));
        *known = OtherLoad { mean: known.mean.updated(load, since), reported_at: Some(now) };
    }
}

/// Counts a request as load of a replica until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    member: Arc<Member>,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.member.own_load.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Criteria for the selection of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCriteria<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Home regions of the request: the regions in which it may be served.
    pub homes: &'a HomeRegions,
    /// Ids of replicas that must not be selected.
    pub excluded: &'a [String],
    /// Id of the request.
    pub request: &'a str,
    /// Preferred replica by prompt affinity.
    pub affinity: Affinity,
    /// Whether to exclude cold replicas. Set for services that limit the requests per second at
    /// cold replicas: the limit counts all gateways, so only the leader can enforce it.
    pub exclude_cold: bool,
}

type ByService = HashMap<String, Vec<Arc<Member>>>;

/// All known replicas of the back-end services, by service.
#[derive(Debug)]
pub struct Fleet {
    /// Name of this gateway.
    gateway: String,
    topology: Arc<Topology>,
    /// Drained zones. `None` until the leader has reported them; until then no replica is
    /// selected, since each may be in a drained zone.
    drained: RwLock<Option<Arc<DrainedZones>>>,
    /// Cold replicas, as reported by the leader, or found in lists that this gateway read from
    /// discovery itself.
    cold: RwLock<ColdReplicas>,
    /// Recently undrained zones, whose replicas may have become cold.
    undrained: RwLock<UndrainedZones>,
    services: RwLock<Arc<ByService>>,
    /// Newest known incarnation of each replica. Lists from different leaders may arrive out of
    /// order.
    incarnations: Mutex<IncarnationTracker>,
    /// All entries of the last replica list, in its order. Includes entries that `services` leaves
    /// out because they are superseded or ambiguous.
    listed: RwLock<Vec<Arc<Member>>>,
    /// Time at which a leader last read the list from discovery, as far as known. Lists that this
    /// gateway read itself do not count.
    list_read_at: Mutex<Option<Instant>>,
    /// Ids of replicas with a pending failure report.
    pending_reports: Mutex<HashSet<String>>,
    /// Number of selections so far.
    choice_count: AtomicU64,
}

impl Fleet {
    /// Creates an empty fleet; `gateway` is the name of this gateway.
    pub fn new(gateway: &str, topology: Arc<Topology>) -> Self {
        Self {
            gateway: gateway.to_owned(),
            topology,
            drained: RwLock::default(),
            cold: RwLock::default(),
            undrained: RwLock::default(),
            services: RwLock::default(),
            incarnations: Mutex::default(),
            listed: RwLock::default(),
            list_read_at: Mutex::default(),
            pending_reports: Mutex::default(),
            choice_count: AtomicU64::new(0),
        }
    }

    fn rank_of(&self, replica: &Replica) -> u64 {
        stable_hash(&[self.gateway.as_bytes(), replica.id.as_bytes()])
    }

    /// Replaces the replica list. The state of replicas that remain listed is kept.
    pub fn update(&self, replicas: Vec<Replica>) {
        let incarnation_update = self.incarnations.lock().update(replicas.iter());
        let previous = self.services.read().clone();
        let known: HashMap<&str, &Arc<Member>> = previous
            .values()
            .flatten()
            .map(|member| (member.replica.id.as_str(), member))
            .collect();
        let mut services = ByService::new();
        let mut listed = Vec::with_capacity(replicas.len());
        for (replica, status) in replicas.into_iter().zip(incarnation_update.entries) {
            let member = match known.get(replica.id.as_str()) {
                Some(member) if member.replica == replica => Arc::clone(member),
                Some(member) => Arc::new(member.with_replica(replica)),
                None => {
                    let rank = self.rank_of(&replica);
                    Arc::new(Member::new(replica, rank))
                }
            };
            // Load reports refer to list positions, so superseded and ambiguous entries are
            // included.
            listed.push(Arc::clone(&member));
            if status != EntryStatus::Newest {
                continue;
            }
            services.entry(member.replica.service.clone()).or_default().push(member);
        }
        *self.listed.write() = listed;
        *self.services.write() = Arc::new(services);
    }

    /// Penalizes replicas that other gateways reported as failing. Each is listed with the
    /// remaining time in ms.
    pub fn mark_failing(&self, failing: &[(String, u32)]) {
        let listed = self.listed.read();
        for (id, remaining_ms) in failing {
            let duration = Duration::from_millis(u64::from(*remaining_ms));
            let member = listed.iter().find(|member| member.replica.id == *id);
            if let Some(member) = member {
                member.penalize(REPORTED_FAILURE_PENALTY, duration);
            }
        }
    }

    /// Returns whether a failure of the replica should be reported, i.e. no report is pending, and
    /// marks a report as pending.
    pub fn begin_report(&self, id: &str) -> bool {
        self.pending_reports.lock().insert(id.to_owned())
    }

    /// Marks the failure report of a replica as finished.
    pub fn end_report(&self, id: &str) {
        self.pending_reports.lock().remove(id);
    }

    /// Records the time at which a leader read the list, unless a later one is known.
    pub fn record_list_read(&self, read_at: Option<Instant>) {
        let mut known = self.list_read_at.lock();
        *known = (*known).max(read_at);
    }

    /// Returns the time since a leader last read the list, or [`Duration::MAX`] before the first.
    pub fn list_age(&self) -> Duration {
        self.list_read_at.lock().map_or(Duration::MAX, |read| read.elapsed())
    }

    /// Records the total load of all other gateways per replica, in the order of the last list.
    pub fn record_other_loads(&self, loads: &[u32], now: Instant) {
        for (member, load) in self.listed.read().iter().zip(loads) {
            member.record_other_load(*load, now);
        }
    }

    /// Returns the number of active requests of this gateway by replica id, without idle replicas.
    pub fn own_loads(&self) -> Vec<(String, u32)> {
        let services = self.services.read();
        let loads = services
            .values()
            .flatten()
            .map(|member| (member.replica.id.clone(), member.own_load.load(Ordering::Relaxed)));
        loads.filter(|(_, load)| *load > 0).collect()
    }

    /// Returns the ids of all replicas.
    pub fn ids(&self) -> Vec<String> {
        let services = self.services.read();
        services.values().flatten().map(|member| member.replica.id.clone()).collect()
    }

    /// Returns the replicas of a service, or an empty slice if it is not listed.
    fn members_of(&self, service: &str) -> MappedRwLockReadGuard<'_, [Arc<Member>]> {
        RwLockReadGuard::map(self.services.read(), |services| {
            services.get(service).map(Vec::as_slice).unwrap_or_default()
        })
    }

    /// Returns whether a replica is listed with the same id, i.e. has not restarted, and is
    /// eligible for requests with these home regions.
    pub fn is_eligible(&self, replica: &Replica, homes: &HomeRegions) -> bool {
        let members = self.members_of(&replica.service);
        let mut listed = members.iter().map(|member| &member.replica);
        listed.any(|listed| listed.id == replica.id && self.meets_rules(listed, homes))
    }

    /// Returns a replica if it is eligible for requests with these home regions and has no
    /// penalty.
    pub fn find_healthy(
        &self,
        service: &str,
        id: &str,
        homes: &HomeRegions,
    ) -> Option<Arc<Member>> {
        let members = self.members_of(service);
        let member = members.iter().find(|member| member.replica.id == id)?;
        let is_eligible = self.meets_rules(&member.replica, homes);
        let is_healthy = member.penalty(Instant::now()).is_zero();
        (is_eligible && is_healthy).then(|| Arc::clone(member))
    }

    /// Returns whether a replica is eligible for requests with these home regions.
    fn meets_rules(&self, replica: &Replica, homes: &HomeRegions) -> bool {
        let drained = self.drained.read();
        drained.as_ref().is_some_and(|drained| self.rules(homes, drained).admits(replica))
    }

    fn rules<'a>(
        &'a self,
        homes: &'a HomeRegions,
        drained: &'a DrainedZones,
    ) -> EligibilityRules<'a> {
        EligibilityRules { topology: &self.topology, homes, drained }
    }

    /// Marks replicas as cold, each for the given remaining time in ms.
    pub fn mark_cold(&self, cold: &[(String, u32)], now: Instant) {
        let mut known = self.cold.write();
        known.expire(now);
        for (id, remaining_ms) in cold {
            known.mark_cold(id, now + Duration::from_millis(u64::from(*remaining_ms)));
        }
    }

    /// Marks as cold the replicas that are new in this list, for a short time until the leader
    /// reports which replicas are cold. Replicas of the first list are not marked.
    pub fn mark_new_as_cold(&self, replicas: &[Replica], now: Instant) {
        let ids = self.ids();
        if ids.is_empty() {
            return;
        }
        let ids: HashSet<&str> = ids.iter().map(String::as_str).collect();
        let mut cold = self.cold.write();
        for replica in replicas.iter().filter(|replica| !ids.contains(replica.id.as_str())) {
            cold.mark_cold(&replica.id, now + ASSUMED_COLD_TIME);
        }
    }

    /// Returns whether a replica is cold, or may be because its zone was undrained recently.
    pub fn is_cold(&self, replica: &Replica, now: Instant) -> bool {
        self.cold.read().is_cold(&replica.id, now)
            || self.undrained.read().contains(&replica.zone, now)
    }

    /// Returns whether the service has replicas that are eligible for requests with these home
    /// regions, and all of them are cold.
    pub fn has_only_cold(&self, service: &str, homes: &HomeRegions) -> bool {
        let now = Instant::now();
        let members = self.members_of(service);
        let mut eligible =
            members.iter().filter(|member| self.meets_rules(&member.replica, homes)).peekable();
        eligible.peek().is_some() && eligible.all(|member| self.is_cold(&member.replica, now))
    }

    /// Returns whether the service has a replica in these home regions, ready or not.
    pub fn has_replica_in(&self, service: &str, homes: &HomeRegions) -> bool {
        let members = self.members_of(service);
        let region = |member: &Member| self.topology.region_of(&member.replica.zone);
        members.iter().any(|member| homes.allows(region(member)))
    }

    /// Replaces the drained zones.
    pub fn set_drained(&self, drained: DrainedZones) {
        self.undrained.write().update(&drained, Instant::now());
        *self.drained.write() = Some(Arc::new(drained));
    }

    /// Returns the version of the drained zones, or `None` before they are known.
    pub fn drained_version(&self) -> Option<u64> {
        self.drained.read().as_ref().map(|drained| drained.version)
    }

    /// Returns the number of active requests of this gateway in drained zones.
    pub fn requests_in_drained_zones(&self) -> u32 {
        let drained = self.drained.read();
        let Some(drained) = drained.as_ref().filter(|drained| !drained.zones.is_empty()) else {
            return 0;
        };
        let listed = self.listed.read();
        let members = listed.iter().filter(|member| drained.contains(&member.replica.zone));
        members.map(|member| member.loads().0).sum()
    }

    /// Selects an eligible replica by prompt affinity, load and distance.
    pub fn choose(
        &self,
        criteria: &ReplicaCriteria<'_>,
        weights: &CostWeights,
        pool: &Pool,
    ) -> Option<Arc<Member>> {
        let ReplicaCriteria { service, zone, homes, excluded, request, affinity, exclude_cold } =
            *criteria;
        let now = Instant::now();
        let services = self.services.read().clone();
        // Taken once, so that all candidates are checked against the same zones.
        let drained = self.drained.read().clone()?;
        let rules = self.rules(homes, &drained);
        let is_eligible = |member: &&Arc<Member>| {
            rules.admits(&member.replica)
                && !excluded.contains(&member.replica.id)
                && !(exclude_cold && self.is_cold(&member.replica, now))
        };
        let members: Vec<&Arc<Member>> =
            services.get(service)?.iter().filter(is_eligible).collect();
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| {
                let (own_load, other_load) = member.loads();
                Candidate {
                    id: &member.replica.id,
                    slots: member.replica.slots,
                    own_load,
                    other_load,
                    distance: self.topology.distance(zone, &member.replica.zone),
                    is_connected: pool.has_idle(&member.replica.id),
                    rank: member.rank,
                    last_used: member.last_used.load(Ordering::Relaxed),
                    penalty: member.penalty(now),
                }
            })
            .collect();
        // `choose` prefers the replica that has probably cached the prompt prefix; `spread`
        // balances requests without a shared prefix.
        let chosen = match affinity.key {
            Some(_) => choose(&candidates, affinity, weights),
            None => spread(&candidates, uniform_hash(request), weights),
        };
        let chosen = members[chosen?];
        let sequence_number = self.choice_count.fetch_add(1, Ordering::Relaxed) + 1;
        chosen.last_used.store(sequence_number, Ordering::Relaxed);
        Some(Arc::clone(chosen))
    }
}

/// Maps a request id to a uniformly distributed number between 0 and 1.
fn uniform_hash(request: &str) -> f64 {
    stable_hash(&[request.as_bytes()]) as f64 / u64::MAX as f64
}

impl Member {
    /// Returns a new entry for a replica whose properties changed.
    fn with_replica(&self, replica: Replica) -> Self {
        let member = Self::new(replica, self.rank);
        // Existing load guards refer to the old entry, so its load is not carried over.
        *member.active_penalty.lock() = *self.active_penalty.lock();
        member
    }
}
