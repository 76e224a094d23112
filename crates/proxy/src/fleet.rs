//! The replicas and what is known of each.

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

/// What a replica is avoided with that others found to fail: more than any wait.
const FAILING_PENALTY: Duration = Duration::from_millis(800);

/// How long a replica that is new to a gateway counts as cold there. Which replicas are cold is
/// told by the leader's next answer, half a second later at most; as much again is margin.
const FIRST_SIGHT: Duration = Duration::from_millis(1_000);

/// A replica with its load and its recent troubles.
#[derive(Debug)]
pub struct Member {
    /// As discovery lists it.
    pub replica: Replica,
    /// Its place in this gateway's order of replicas that cost the same.
    rank: u64,
    own_load: AtomicU32,
    /// When it was last chosen, as a count of choices; 0 for never.
    last_used: AtomicU64,
    other_load: Mutex<OtherLoad>,
    trouble: Mutex<Option<Trouble>>,
}

/// Requests of all other gateways at a replica, as the leader reports them.
#[derive(Clone, Copy, Debug, Default)]
struct OtherLoad {
    mean: MeanLoad,
    reported: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
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
            trouble: Mutex::new(None),
        }
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> LoadGuard {
        self.own_load.fetch_add(1, Ordering::Relaxed);
        LoadGuard { member: Arc::clone(self) }
    }

    /// Makes this replica less attractive for a while.
    pub fn note_trouble(&self, penalty: Duration, lasting: Duration) {
        *self.trouble.lock() = Some(Trouble { until: Instant::now() + lasting, penalty });
    }

    fn penalty(&self, now: Instant) -> Duration {
        let trouble = *self.trouble.lock();
        trouble.filter(|trouble| trouble.until > now).map_or(Duration::ZERO, |known| known.penalty)
    }

    /// Requests of this gateway, and the mean of those of all others.
    pub fn loads(&self) -> (u32, MeanLoad) {
        (self.own_load.load(Ordering::Relaxed), self.other_load.lock().mean)
    }

    fn note_other_load(&self, load: u32, now: Instant) {
        let mut known = self.other_load.lock();
        let since = known.reported.map(|at| now.saturating_duration_since(at));
        *known = OtherLoad { mean: known.mean.updated(load, since), reported: Some(now) };
    }
}

/// A request that runs or waits at a replica.
#[derive(Debug)]
pub struct LoadGuard {
    member: Arc<Member>,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.member.own_load.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct WantedReplica<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Where it may be served.
    pub homes: &'a HomeRegions,
    /// Replicas that are left out.
    pub excluded: &'a [String],
    /// Identity of the request.
    pub request: &'a str,
    /// Where it would like to run.
    pub affinity: Affinity,
    /// Whether cold replicas are left out: where the service limits what they get, the limit holds
    /// for all gateways together, and only the leader can keep it.
    pub leaves_out_cold: bool,
}

type ByService = HashMap<String, Vec<Arc<Member>>>;

/// All replicas, by service.
#[derive(Debug)]
pub struct Fleet {
    /// Name of this gateway.
    gateway: String,
    topology: Arc<Topology>,
    /// Zones whose replicas get nothing. `None` until the ledger has told them: until then every
    /// replica may lie in one, and none is chosen.
    drained: RwLock<Option<Arc<DrainedZones>>>,
    /// Replicas that have just started, as the leader tells or this gateway's own reading of the
    /// list shows.
    cold: RwLock<ColdReplicas>,
    /// Zones whose replicas may have turned cold while they were drained.
    returned: RwLock<UndrainedZones>,
    services: RwLock<Arc<ByService>>,
    /// The newest starts that lists have shown: those of two leaders may come in any order.
    starts: Mutex<IncarnationTracker>,
    /// The same members in the order of the list.
    listed: RwLock<Vec<Arc<Member>>>,
    /// When the newest list known here was read, by whomever.
    list_read: Mutex<Option<Instant>>,
    /// Replicas whose failures are being reported.
    reporting: Mutex<HashSet<String>>,
    /// Choices made so far.
    choices: AtomicU64,
}

impl Fleet {
    /// Knows no replica yet; `gateway` is who chooses.
    pub fn new(gateway: &str, topology: Arc<Topology>) -> Self {
        Self {
            gateway: gateway.to_owned(),
            topology,
            drained: RwLock::default(),
            cold: RwLock::default(),
            returned: RwLock::default(),
            services: RwLock::default(),
            starts: Mutex::default(),
            listed: RwLock::default(),
            list_read: Mutex::default(),
            reporting: Mutex::default(),
            choices: AtomicU64::new(0),
        }
    }

    fn rank_of(&self, replica: &Replica) -> u64 {
        stable_hash(&[self.gateway.as_bytes(), replica.id.as_bytes()])
    }

    /// Replaces the list. What is known of replicas that stay is kept.
    pub fn update(&self, replicas: Vec<Replica>) {
        let review = self.starts.lock().update(replicas.iter());
        let before = self.services.read().clone();
        let known: HashMap<&str, &Arc<Member>> =
            before.values().flatten().map(|member| (member.replica.id.as_str(), member)).collect();
        let mut services = ByService::new();
        let mut listed = Vec::with_capacity(replicas.len());
        for (replica, start) in replicas.into_iter().zip(review.entries) {
            let member = match known.get(replica.id.as_str()) {
                Some(member) if member.replica == replica => Arc::clone(member),
                Some(member) => Arc::new(member.with(replica)),
                None => {
                    let rank = self.rank_of(&replica);
                    Arc::new(Member::new(replica, rank))
                }
            };
            // Loads go by the place in the list, so that each entry keeps its own.
            listed.push(Arc::clone(&member));
            if start != EntryStatus::Newest {
                continue;
            }
            services.entry(member.replica.service.clone()).or_default().push(member);
        }
        *self.listed.write() = listed;
        *self.services.write() = Arc::new(services);
    }

    /// Makes replicas less attractive that others found to fail, each for so many ms.
    pub fn note_failing(&self, failing: &[(String, u32)]) {
        let listed = self.listed.read();
        for (id, left_ms) in failing {
            let lasting = Duration::from_millis(u64::from(*left_ms));
            let member = listed.iter().find(|member| member.replica.id == *id);
            if let Some(member) = member {
                member.note_trouble(FAILING_PENALTY, lasting);
            }
        }
    }

    /// Whether a failure of this replica is to be reported: nobody here is doing so.
    pub fn begin_report(&self, id: &str) -> bool {
        self.reporting.lock().insert(id.to_owned())
    }

    /// The report of a failure was taken, or given up.
    pub fn end_report(&self, id: &str) {
        self.reporting.lock().remove(id);
    }

    /// Notes when the list was read, if that is later than what is known.
    pub fn note_list_read(&self, read: Option<Instant>) {
        let mut known = self.list_read.lock();
        *known = (*known).max(read);
    }

    /// Age of the newest reading; the longest time before the first.
    pub fn list_age(&self) -> Duration {
        self.list_read.lock().map_or(Duration::MAX, |read| read.elapsed())
    }

    /// Takes in the loads of all other gateways, in the order of the list that was put
    /// in last.
    pub fn note_other_loads(&self, loads: &[u32], now: Instant) {
        for (member, load) in self.listed.read().iter().zip(loads) {
            member.note_other_load(*load, now);
        }
    }

    /// Requests under way from here, by replica; idle replicas are left out.
    pub fn own_loads(&self) -> Vec<(String, u32)> {
        let services = self.services.read();
        let loads = services
            .values()
            .flatten()
            .map(|member| (member.replica.id.clone(), member.own_load.load(Ordering::Relaxed)));
        loads.filter(|(_, load)| *load > 0).collect()
    }

    /// Identities of all replicas.
    pub fn ids(&self) -> Vec<String> {
        let services = self.services.read();
        services.values().flatten().map(|member| member.replica.id.clone()).collect()
    }

    /// The replicas of a service; none when it is not listed.
    fn members_of(&self, service: &str) -> MappedRwLockReadGuard<'_, [Arc<Member>]> {
        RwLockReadGuard::map(self.services.read(), |services| {
            services.get(service).map(Vec::as_slice).unwrap_or_default()
        })
    }

    /// Whether this start of a replica is listed and may get a request with these homes.
    pub fn is_open(&self, replica: &Replica, homes: &HomeRegions) -> bool {
        let members = self.members_of(&replica.service);
        let mut listed = members.iter().map(|member| &member.replica);
        listed.any(|listed| listed.id == replica.id && self.admits(listed, homes))
    }

    /// A replica that may get a request with these homes and gave no trouble lately.
    pub fn untroubled(&self, service: &str, id: &str, homes: &HomeRegions) -> Option<Arc<Member>> {
        let members = self.members_of(service);
        let member = members.iter().find(|member| member.replica.id == id)?;
        let is_open = self.admits(&member.replica, homes);
        let is_fine = member.penalty(Instant::now()).is_zero();
        (is_open && is_fine).then(|| Arc::clone(member))
    }

    /// Whether a replica may get a request with these homes.
    fn admits(&self, replica: &Replica, homes: &HomeRegions) -> bool {
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

    /// Takes in replicas that are cold, each with the ms left.
    pub fn note_cold(&self, cold: &[(String, u32)], now: Instant) {
        let mut known = self.cold.write();
        known.expire(now);
        for (id, left_ms) in cold {
            known.mark_cold(id, now + Duration::from_millis(u64::from(*left_ms)));
        }
    }

    /// Takes in a list that does not tell which replicas are cold: those that are new here count
    /// as cold until that is told. In the first list all are new, and none counts as cold.
    pub fn note_first_sight(&self, replicas: &[Replica], now: Instant) {
        let ids = self.ids();
        if ids.is_empty() {
            return;
        }
        let ids: HashSet<&str> = ids.iter().map(String::as_str).collect();
        let mut cold = self.cold.write();
        for replica in replicas.iter().filter(|replica| !ids.contains(replica.id.as_str())) {
            cold.mark_cold(&replica.id, now + FIRST_SIGHT);
        }
    }

    /// Whether a replica is cold, or may be.
    pub fn is_cold(&self, replica: &Replica, now: Instant) -> bool {
        self.cold.read().is_cold(&replica.id, now)
            || self.returned.read().contains(&replica.zone, now)
    }

    /// Whether some replicas of a service may get a request with these homes, and all of them are
    /// cold.
    pub fn has_only_cold(&self, service: &str, homes: &HomeRegions) -> bool {
        let now = Instant::now();
        let members = self.members_of(service);
        let mut open =
            members.iter().filter(|member| self.admits(&member.replica, homes)).peekable();
        open.peek().is_some() && open.all(|member| self.is_cold(&member.replica, now))
    }

    /// Whether the service has a replica in these homes, ready or not.
    pub fn is_listed_in(&self, service: &str, homes: &HomeRegions) -> bool {
        let members = self.members_of(service);
        let region = |member: &Member| self.topology.region_of(&member.replica.zone);
        members.iter().any(|member| homes.allows(region(member)))
    }

    /// Takes in which zones are drained.
    pub fn set_drained(&self, drained: DrainedZones) {
        self.returned.write().update(&drained, Instant::now());
        *self.drained.write() = Some(Arc::new(drained));
    }

    /// Version of the drained zones; `None` before they are known here.
    pub fn drained_version(&self) -> Option<u64> {
        self.drained.read().as_ref().map(|drained| drained.version)
    }

    /// Requests from here that still run in drained zones.
    pub fn running_in_drained(&self) -> u32 {
        let drained = self.drained.read();
        let Some(drained) = drained.as_ref().filter(|drained| !drained.zones.is_empty()) else {
            return 0;
        };
        let listed = self.listed.read();
        let members = listed.iter().filter(|member| drained.contains(&member.replica.zone));
        members.map(|member| member.loads().0).sum()
    }

    /// The cheapest replica that may get the request.
    pub fn choose(
        &self,
        wanted: &WantedReplica<'_>,
        weights: &CostWeights,
        pool: &Pool,
    ) -> Option<Arc<Member>> {
        let WantedReplica { service, zone, homes, excluded, request, affinity, leaves_out_cold } =
            *wanted;
        let now = Instant::now();
        let services = self.services.read().clone();
        // Read once for all candidates.
        let drained = self.drained.read().clone()?;
        let rules = self.rules(homes, &drained);
        let is_open = |member: &&Arc<Member>| {
            rules.admits(&member.replica)
                && !excluded.contains(&member.replica.id)
                && !(leaves_out_cold && self.is_cold(&member.replica, now))
        };
        let members: Vec<&Arc<Member>> = services.get(service)?.iter().filter(is_open).collect();
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
        let chosen = match affinity.key {
            Some(_) => choose(&candidates, affinity, weights),
            None => spread(&candidates, even_draw(request), weights),
        };
        let chosen = members[chosen?];
        let choice = self.choices.fetch_add(1, Ordering::Relaxed) + 1;
        chosen.last_used.store(choice, Ordering::Relaxed);
        Some(Arc::clone(chosen))
    }
}

/// A number from 0 to 1 that the request's identity decides.
fn even_draw(request: &str) -> f64 {
    stable_hash(&[request.as_bytes()]) as f64 / u64::MAX as f64
}

impl Member {
    /// The same start of a replica with a new state.
    fn with(&self, replica: Replica) -> Self {
        let member = Self::new(replica, self.rank);
        // Guards of the old entry count down there; its load is forgotten here.
        *member.trouble.lock() = *self.trouble.lock();
        member
    }
}
