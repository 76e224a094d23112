//! Known replicas of the back-end services, with their load and health.
//!
//! The replica list, the drained zones and reports about cold and failing replicas come from the
//! elected leader of the ledger, which is called the leader here. If the leader provides no recent
//! list, the gateway reads the list from discovery itself.

mod departures;
mod member;
mod services;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::ReplicaLoad;
use calicohoist_routing::select::Affinity;
use calicohoist_routing::{
    Candidate, ColdReplicas, CostWeights, DrainedZones, EligibilityRules, EntryStatus, HomeRegions,
    Incarnation, IncarnationTracker, ListPart, ListPatch, PatchError, Replica, ReplicaState,
    SoftwareRequirement, Topology, UndrainedZones, choose, spread, stable_hash,
};
use parking_lot::{MappedRwLockReadGuard, Mutex, RwLock, RwLockReadGuard};

use crate::upstream::Pool;
use departures::Departures;
pub use departures::ListStatus;
pub use member::{LoadGuard, Member};
use services::{PreferenceOrder, Services};

/// Cost penalty for replicas that the leader reports as failing.
const REPORTED_FAILURE_PENALTY: Duration = Duration::from_millis(800);

/// Cost penalty, for a request under which a replica has crashed, of replicas that run another such
/// request. Kept apart, a harmless one is not under the next crash as well.
const SUSPECT_PENALTY: Duration = Duration::from_millis(200);

/// Services with up to this many replicas are scanned in full for each request.
const MAX_SCANNED_MEMBERS: usize = 64;
/// Number of idle replicas of a larger service that are considered for a request: in the nearest
/// zones and elsewhere. Few, so that requests meet on the same connections.
const NEAR_CANDIDATES: usize = 4;
const FAR_CANDIDATES: usize = 2;

/// Time for which a newly listed replica is assumed to be cold. Covers the delay until the leader
/// reports the cold replicas.
const ASSUMED_COLD_TIME: Duration = Duration::from_millis(1_000);

/// Criteria for the selection of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaCriteria<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Zone of this gateway.
    pub zone: &'a str,
    /// Home regions of the request: the regions in which it may be served.
    pub homes: &'a HomeRegions,
    /// Software that may run the request.
    pub software: &'a SoftwareRequirement,
    /// Ids of replicas that must not be selected.
    pub excluded: &'a [String],
    /// Id of the request.
    pub request: &'a str,
    /// Preferred replica by prompt affinity.
    pub affinity: Affinity,
    /// Whether to exclude cold replicas. Set for services that limit the requests per second at
    /// cold replicas: the limit counts all gateways, so only the leader can enforce it.
    pub exclude_cold: bool,
    /// Whether a replica has or may have crashed under the request.
    pub is_suspect: bool,
}

/// Result of applying changes to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// Number of listed replicas.
    pub listed: usize,
    /// Number of replicas that are new or have changed.
    pub inserted: usize,
}

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
    services: RwLock<Arc<Services>>,
    /// Newest known incarnation of each replica. Lists from different leaders may arrive out of
    /// order.
    incarnations: Mutex<IncarnationTracker>,
    /// Replicas that have left the list recently.
    departures: Mutex<Departures>,
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
            departures: Mutex::default(),
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
        let previous = self.services.read().clone();
        let listed = replicas.into_iter().map(|replica| self.member(&previous, replica)).collect();
        self.install(listed);
    }

    /// Applies changes to the replica list. Replicas that are new in it are marked as cold, as by
    /// [`Self::mark_new_as_cold`].
    ///
    /// # Errors
    /// When the changes are those of another list; the current one is kept.
    pub fn apply_patch(&self, patch: ListPatch, now: Instant) -> Result<ListChange, PatchError> {
        let previous_list = self.listed.read().clone();
        let previous = self.services.read().clone();
        let mut listed = Vec::with_capacity(previous_list.len());
        let mut new = Vec::new();
        let mut inserted = 0;
        for part in patch.parts(previous_list.len())? {
            match part {
                ListPart::Copied(range) => listed.extend_from_slice(&previous_list[range]),
                ListPart::Inserted(replica) => {
                    inserted += 1;
                    if previous.find(&replica.id).is_none() {
                        new.push(replica.id.clone());
                    }
                    listed.push(self.member(&previous, replica));
                }
            }
        }
        if !previous.is_empty() {
            let mut cold = self.cold.write();
            new.iter().for_each(|id| cold.mark_cold(id, now + ASSUMED_COLD_TIME));
        }
        let change = ListChange { listed: listed.len(), inserted };
        self.install(listed);
        Ok(change)
    }

    /// Returns the entry for a listed replica, with the state of the previous one.
    fn member(&self, previous: &Services, replica: Replica) -> Arc<Member> {
        match previous.find(&replica.id) {
            Some(member) if member.replica == replica => Arc::clone(member),
            Some(member) => Arc::new(member.with_replica(replica)),
            None => {
                let rank = self.rank_of(&replica);
                Arc::new(Member::new(replica, rank))
            }
        }
    }

    fn install(&self, listed: Vec<Arc<Member>>) {
        let replicas = listed.iter().map(|member| &member.replica);
        let now = Instant::now();
        let incarnation_update = self.incarnations.lock().replace(replicas, now);
        let mut services = Services::default();
        for (member, status) in listed.iter().zip(incarnation_update.entries) {
            // Load reports refer to list positions, so superseded and ambiguous entries stay in
            // `listed`.
            if status == EntryStatus::Newest {
                services.add(Arc::clone(member));
            }
        }
        self.departures.lock().update(&self.services.read(), &services, now);
        *self.listed.write() = listed;
        *self.services.write() = Arc::new(services);
    }

    /// Penalizes replicas that other gateways reported as failing. Each is listed with the
    /// remaining time in ms.
    pub fn mark_failing(&self, failing: &[(String, u32)]) {
        let services = self.services.read();
        for (id, remaining_ms) in failing {
            let duration = Duration::from_millis(u64::from(*remaining_ms));
            if let Some(member) = services.find(id) {
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

    /// Records the total load of all other gateways at the replicas that are not idle, in the
    /// order of the last list.
    pub fn record_busy_replicas(&self, loads: &[ReplicaLoad], now: Instant) {
        let mut busy = loads.iter().peekable();
        for (position, member) in self.listed.read().iter().enumerate() {
            let load = busy.next_if(|load| load.position as usize == position);
            member.record_other_load(load.map_or(0, |load| load.requests), now);
        }
    }

    /// Returns the number of active requests of this gateway by replica id, without idle replicas.
    pub fn own_loads(&self) -> Vec<(String, u32)> {
        let services = self.services.read();
        let members = services.members();
        let loads = members.map(|member| (member, member.own_load.load(Ordering::Relaxed)));
        let busy = loads.filter(|(_, load)| *load > 0);
        busy.map(|(member, load)| (member.replica.id.clone(), load)).collect()
    }

    /// Returns the entry with this id if it is the newest incarnation of a replica.
    pub fn find(&self, id: &str) -> Option<Arc<Member>> {
        self.services.read().find(id).cloned()
    }

    /// Returns whether the newest incarnation of a replica has this id.
    pub fn is_listed(&self, id: &str) -> bool {
        self.services.read().find(id).is_some()
    }

    /// Returns what the list shows of the incarnation of a replica with this id.
    pub fn list_status(&self, id: &str) -> ListStatus {
        match self.find(id).map(|member| member.replica.state) {
            Some(ReplicaState::Ready) => ListStatus::Ready,
            Some(ReplicaState::Draining) => ListStatus::EndsByPlan,
            None => self.departures.lock().status(id),
        }
    }

    /// Returns the replicas of a service, or an empty slice if it is not listed.
    fn members_of(&self, service: &str) -> MappedRwLockReadGuard<'_, [Arc<Member>]> {
        RwLockReadGuard::map(self.services.read(), |services| services.members_of(service))
    }

    /// Returns the current entry of a replica if it is listed with the same id, i.e. has not
    /// restarted, and is eligible for requests with these home regions and this software.
    pub fn find_eligible(
        &self,
        service: &str,
        id: &str,
        homes: &HomeRegions,
        software: &SoftwareRequirement,
    ) -> Option<Arc<Member>> {
        let services = self.services.read();
        let member = services.find(id).filter(|member| member.replica.service == service)?;
        let is_eligible =
            software.admits(&member.replica) && self.meets_rules(&member.replica, homes);
        is_eligible.then(|| Arc::clone(member))
    }

    /// Returns a replica if it is eligible, see [`Self::find_eligible`], and has no penalty.
    pub fn find_healthy(
        &self,
        service: &str,
        id: &str,
        homes: &HomeRegions,
        software: &SoftwareRequirement,
    ) -> Option<Arc<Member>> {
        let member = self.find_eligible(service, id, homes, software)?;
        member.penalty(Instant::now()).is_zero().then_some(member)
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
        let services = self.services.read();
        if services.is_empty() {
            return;
        }
        let mut cold = self.cold.write();
        for replica in replicas.iter().filter(|replica| services.find(&replica.id).is_none()) {
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

    /// Returns whether the service has an eligible replica with this software.
    pub fn has_eligible(
        &self,
        service: &str,
        homes: &HomeRegions,
        software: &SoftwareRequirement,
    ) -> bool {
        let members = self.members_of(service);
        let mut replicas = members.iter().map(|member| &member.replica);
        replicas.any(|replica| software.admits(replica) && self.meets_rules(replica, homes))
    }

    /// Returns the listed incarnation of the replica whose incarnation `id` is or was listed.
    pub fn current_incarnation(&self, service: &str, id: &str) -> Option<Arc<Member>> {
        let identity = Incarnation::identity_of(id);
        let is_same =
            |member: &&Arc<Member>| Incarnation::identity_of(&member.replica.id) == identity;
        self.members_of(service).iter().find(is_same).cloned()
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
        let ReplicaCriteria {
            service,
            zone,
            homes,
            software,
            excluded,
            request,
            affinity,
            exclude_cold,
            is_suspect,
        } = *criteria;
        let now = Instant::now();
        let services = self.services.read().clone();
        // Taken once, so that all candidates are checked against the same zones.
        let drained = self.drained.read().clone()?;
        let rules = self.rules(homes, &drained);
        let is_eligible = |member: &&Arc<Member>| {
            rules.admits(&member.replica)
                && software.admits(&member.replica)
                && !excluded.contains(&member.replica.id)
                && !(exclude_cold && self.is_cold(&member.replica, now))
        };
        let all = services.members_of(service);
        if all.len() > MAX_SCANNED_MEMBERS {
            let order = services.preference_order(service, zone, &self.topology)?;
            let connected = pool.connected();
            let connected = connected.iter().filter_map(|id| services.find(id));
            let connected = connected.filter(|member| member.replica.service == service);
            let mut members: Vec<&Arc<Member>> = connected.filter(is_eligible).collect();
            add_preferred(&mut members, order, is_eligible, now);
            let mut candidates = self.candidates(&members, zone, pool, now);
            if is_suspect {
                penalize_suspects(&mut candidates, &members);
            }
            let chosen = choose(&candidates, affinity, weights);
            return chosen.map(|index| self.record_choice(members[index]));
        }
        let members: Vec<&Arc<Member>> = all.iter().filter(is_eligible).collect();
        let mut candidates = self.candidates(&members, zone, pool, now);
        if is_suspect {
            penalize_suspects(&mut candidates, &members);
        }
        // `choose` prefers the replica that has probably cached the prompt prefix; `spread`
        // balances requests without a shared prefix.
        let chosen = match affinity.key {
            Some(_) => choose(&candidates, affinity, weights),
            None => spread(&candidates, uniform_hash(request), weights),
        };
        chosen.map(|index| self.record_choice(members[index]))
    }

    fn candidates<'a>(
        &self,
        members: &[&'a Arc<Member>],
        zone: &str,
        pool: &Pool,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let candidate = |member: &&'a Arc<Member>| {
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
        };
        members.iter().map(candidate).collect()
    }

    fn record_choice(&self, chosen: &Arc<Member>) -> Arc<Member> {
        let sequence_number = self.choice_count.fetch_add(1, Ordering::Relaxed) + 1;
        chosen.last_used.store(sequence_number, Ordering::Relaxed);
        Arc::clone(chosen)
    }
}

/// Adds the penalty of replicas that run a request under which another replica has crashed.
fn penalize_suspects(candidates: &mut [Candidate<'_>], members: &[&Arc<Member>]) {
    for (candidate, member) in candidates.iter_mut().zip(members) {
        if member.runs_suspect() {
            candidate.penalty += SUSPECT_PENALTY;
        }
    }
}

/// Adds the first members of the order of preference: more of them the more are in use or failing.
fn add_preferred<'a>(
    members: &mut Vec<&'a Arc<Member>>,
    order: &'a PreferenceOrder,
    is_eligible: impl Fn(&&Arc<Member>) -> bool,
    now: Instant,
) {
    for (zone, wanted) in [(&order.near, NEAR_CANDIDATES), (&order.far, FAR_CANDIDATES)] {
        let mut idle = 0;
        for member in zone.iter().filter(&is_eligible) {
            members.push(member);
            idle += usize::from(member.loads().0 == 0 && member.penalty(now).is_zero());
            if idle >= wanted {
                break;
            }
        }
    }
}

/// Maps a request id to a uniformly distributed number between 0 and 1.
fn uniform_hash(request: &str) -> f64 {
    stable_hash(&[request.as_bytes()]) as f64 / u64::MAX as f64
}
