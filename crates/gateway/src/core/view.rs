//! A gateway's copy of the fleet state: lease, configuration, other gateways,
//! engine loads and leaving back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_scheduler::owner_of;
use calicohoist_store::broken_rules::{Rule, is_broken};
use calicohoist_store::protocol::LoadsUpdate;
use calicohoist_store::queries::resource::{ResourceUpdate, UpdateContent};
use calicohoist_store::{EngineLoad, HeartbeatReply, NodeInfo, NodeRef};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{
    EngineId, EngineSpec, MachineState, MachineStatus, ModelId, ModelSpec, Moment, NodeId,
    Resource, ResourceKey, ResourceKind, ResourceSpec, Revision, ServiceId, ServiceSpec, TenantId,
    TenantSpec,
};

/// Limits of tenants without a declared resource.
pub const DEFAULT_TENANT: TenantSpec =
    TenantSpec { default_program_tokens: 200_000, max_program_tokens: 1_000_000, max_calls: 1_000 };

/// Maximum age of the machine list with which a gateway takes a lease and starts work. Covers the time
/// between two readings and that of their answers on the way.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// A gateway's copy of the fleet state.
#[derive(Debug)]
pub struct FleetView {
    /// Since when the gateway has held its lease without a gap.
    lease_since: Moment,
    lease_until: Moment,
    had_lease: bool,
    applied: Revision,
    in_force: Revision,
    resources: BTreeMap<ResourceKey, Resource>,
    nodes: BTreeMap<NodeId, NodeInfo>,
    nodes_version: u64,
    nodes_complete: bool,
    loads: BTreeMap<EngineId, EngineLoad>,
    loads_version: u64,
    /// The gateway that owns each engine's queue.
    owners: BTreeMap<EngineId, NodeId>,
    /// Incremented on every change of `owners`.
    owners_version: u64,
    leaving: BTreeSet<String>,
    has_platform: bool,
    /// When the reading of the machine list began that yielded `leaving`.
    listed_at: Option<Moment>,
}

impl FleetView {
    /// Creates an empty view.
    pub fn new(has_platform: bool, _now: Moment) -> Self {
        Self {
            lease_since: Moment::ZERO,
            lease_until: Moment::ZERO,
            had_lease: false,
            applied: Revision::default(),
            in_force: Revision::default(),
            resources: BTreeMap::new(),
            nodes: BTreeMap::new(),
            nodes_version: 0,
            nodes_complete: false,
            loads: BTreeMap::new(),
            loads_version: 0,
            owners: BTreeMap::new(),
            owners_version: 0,
            leaving: BTreeSet::new(),
            has_platform,
            listed_at: None,
        }
    }

    /// Returns whether the gateway holds a lease.
    pub fn has_lease(&self, now: Moment) -> bool {
        now < self.lease_until
    }

    /// Returns whether the gateway may start attempts: it holds a lease, and knows which back ends left
    /// while it held none.
    pub fn may_start_attempts(&self, now: Moment) -> bool {
        self.has_lease(now) && self.is_list_current()
    }

    /// Returns whether the machine list was read in the current lease, or shortly before it.
    fn is_list_current(&self) -> bool {
        let is_current = |listed_at| listed_at + MAX_LIST_AGE >= self.lease_since;
        !self.has_platform || self.listed_at.is_some_and(is_current)
    }

    /// Returns the configuration revision that this gateway applies.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Returns the revision in force: every gateway with a lease applies it or a later one.
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Returns the version of the list of gateways.
    pub fn nodes_version(&self) -> u64 {
        self.nodes_version
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        let has_lease = self.has_lease(now);
        if self.had_lease && !has_lease {
            emit!(Event::LeaseLost, "the store did not renew the lease in time");
        }
        if !self.had_lease && has_lease {
            emit!(Event::LeaseHeld, "at revision {}", self.applied);
        }
        self.had_lease = has_lease;
    }

    pub(crate) fn on_heartbeat(&mut self, now: Moment, sent_at: Moment, reply: HeartbeatReply) {
        self.nodes_complete = reply.nodes_complete;
        self.nodes_version = reply.nodes_version;
        let nodes_changed = reply.nodes.is_some();
        if let Some(nodes) = reply.nodes {
            let by_id = nodes.into_iter().map(|info| (info.node.node.clone(), info));
            self.nodes = by_id.collect();
        }
        self.apply_loads(reply.loads);
        self.in_force = self.in_force.max(reply.in_force);
        let applied_before = self.applied;
        self.apply(reply.update);
        if nodes_changed || self.applied != applied_before {
            self.update_owners(nodes_changed);
        }
        if self.applied >= self.in_force {
            // A gateway with a lease must apply the configuration in force.
            if !self.has_lease(now) {
                self.lease_since = now;
            }
            self.lease_until = self.lease_until.max(sent_at + reply.lease);
        }
        self.tick(now);
    }

    fn apply_loads(&mut self, update: LoadsUpdate) {
        if update.is_whole {
            self.loads.clear();
        }
        self.loads_version = update.version;
        for load in update.changed {
            self.loads.insert(load.engine.clone(), load);
        }
        for engine in update.gone {
            self.loads.remove(&engine);
        }
    }

    /// Computes the owners of new engines, or of all engines when the gateways changed.
    fn update_owners(&mut self, nodes_changed: bool) {
        let current_owner =
            |engine: &EngineId| self.owners.get(engine).filter(|_| !nodes_changed).cloned();
        let owners: BTreeMap<EngineId, NodeId> = self
            .engines()
            .filter_map(|(engine, _)| {
                let owner = current_owner(&engine).or_else(|| self.compute_owner(&engine))?;
                Some((engine, owner))
            })
            .collect();
        if owners != self.owners {
            self.owners = owners;
            self.owners_version += 1;
        }
    }

    fn compute_owner(&self, engine: &EngineId) -> Option<NodeId> {
        let serving = self.nodes.values().filter(|info| !info.stopping);
        owner_of(engine, serving.map(|info| &info.node.node)).cloned()
    }

    /// Applies a configuration update unless its revision is already applied.
    fn apply(&mut self, update: ResourceUpdate) {
        if update.revision <= self.applied {
            return;
        }
        match update.content {
            UpdateContent::Whole(resources) => {
                let by_key = resources.into_iter().map(|resource| (resource.key.clone(), resource));
                self.resources = by_key.collect();
            }
            UpdateContent::Changes(changes) => {
                for change in changes.into_iter().filter(|change| change.revision > self.applied) {
                    match change.after {
                        Some(resource) => self.resources.insert(change.key, resource),
                        None => self.resources.remove(&change.key),
                    };
                }
            }
        }
        self.applied = update.revision;
    }

    /// Applies the machine list unless one is known whose reading began later.
    pub(crate) fn on_platform(&mut self, asked_at: Moment, list: Option<Vec<MachineStatus>>) {
        let Some(list) = list.filter(|_| self.listed_at <= Some(asked_at)) else {
            return;
        };
        self.listed_at = Some(asked_at);
        let leaving = list.into_iter().filter(|machine| machine.state == MachineState::Leaving);
        self.leaving = leaving.map(|machine| machine.name).collect();
    }

    /// Returns whether the platform's machine list is available.
    pub fn has_platform(&self) -> bool {
        self.has_platform
    }

    fn get(&self, kind: ResourceKind, name: &str) -> Option<&ResourceSpec> {
        let key = ResourceKey { kind, name: name.to_owned() };
        self.resources.get(&key).map(|resource| &resource.spec)
    }

    /// Returns all resources of a kind by a range scan, since there may be tens of
    /// thousands of tenants.
    fn resources_of_kind(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        let first = ResourceKey { kind, name: String::new() };
        let from_first = self.resources.range(first..).map(|(_, resource)| resource);
        from_first.take_while(move |resource| resource.key.kind == kind)
    }

    /// Returns the spec of a model.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        match self.get(ResourceKind::Model, model.as_str()) {
            Some(ResourceSpec::Model(spec)) => Some(spec),
            _ => None,
        }
    }

    /// Returns the names of all models.
    pub fn models(&self) -> Vec<ModelId> {
        let models = self.resources_of_kind(ResourceKind::Model);
        models.map(|resource| ModelId::new(&resource.key.name)).collect()
    }

    /// Returns a tenant's limits, or the defaults.
    pub fn tenant(&self, tenant: &TenantId) -> TenantSpec {
        match self.get(ResourceKind::Tenant, tenant.as_str()) {
            Some(ResourceSpec::Tenant(spec)) => spec.clone(),
            _ => DEFAULT_TENANT,
        }
    }

    /// Returns the limits of all declared tenants.
    pub fn tenants(&self) -> BTreeMap<TenantId, TenantSpec> {
        let declared = self.resources_of_kind(ResourceKind::Tenant).filter_map(|resource| {
            match &resource.spec {
                ResourceSpec::Tenant(spec) => {
                    Some((TenantId::new(&resource.key.name), spec.clone()))
                }
                _ => None,
            }
        });
        declared.collect()
    }

    /// Returns the spec of an engine.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineSpec> {
        match self.get(ResourceKind::Engine, engine.as_str()) {
            Some(ResourceSpec::Engine(spec)) => Some(spec),
            _ => None,
        }
    }

    /// Returns all engines and their specs.
    pub fn engines(&self) -> impl Iterator<Item = (EngineId, &EngineSpec)> {
        self.resources_of_kind(ResourceKind::Engine).filter_map(|resource| match &resource.spec {
            ResourceSpec::Engine(spec) => Some((EngineId::new(&resource.key.name), spec)),
            _ => None,
        })
    }

    /// Returns the replicas of a service that accept new work.
    pub fn replicas(&self, service: &ServiceId) -> Vec<(String, ServiceSpec)> {
        let replicas = self.resources_of_kind(ResourceKind::Service).filter_map(|resource| {
            match &resource.spec {
                ResourceSpec::Service(spec) => Some((resource.key.name.clone(), spec.clone())),
                _ => None,
            }
        });
        let serves = |(name, spec): &(String, ServiceSpec)| {
            spec.service == service.as_str() && !spec.drain && !self.leaving.contains(name)
        };
        replicas.filter(serves).collect()
    }

    /// Returns the spec of a service replica.
    pub fn replica(&self, name: &str) -> Option<&ServiceSpec> {
        match self.get(ResourceKind::Service, name) {
            Some(ResourceSpec::Service(spec)) => Some(spec),
            _ => None,
        }
    }

    /// Returns whether any replica of `service` is declared.
    pub fn has_service(&self, service: &ServiceId) -> bool {
        self.resources_of_kind(ResourceKind::Service).any(|resource| match &resource.spec {
            ResourceSpec::Service(spec) => spec.service == service.as_str(),
            _ => false,
        })
    }

    /// Returns whether `engine` is declared, not draining and not leaving.
    pub fn is_schedulable(&self, engine: &EngineId) -> bool {
        let spec = self.engine(engine);
        if is_broken(Rule::AvoidLeaving) {
            return spec.is_some();
        }
        spec.is_some_and(|spec| !spec.drain) && !self.leaving.contains(engine.as_str())
    }

    /// Returns whether a replica is declared, not draining and not leaving.
    pub fn is_replica_schedulable(&self, name: &str) -> bool {
        let spec = self.replica(name);
        if is_broken(Rule::AvoidLeaving) {
            return spec.is_some();
        }
        spec.is_some_and(|spec| !spec.drain) && !self.leaving.contains(name)
    }

    /// Returns the engine load last reported by its owner.
    pub fn load(&self, engine: &EngineId) -> Option<&EngineLoad> {
        self.loads.get(engine)
    }

    /// Returns the gateway that owns `engine`'s queue.
    pub fn owner_of(&self, engine: &EngineId) -> Option<NodeId> {
        self.owners.get(engine).cloned()
    }

    /// Returns a version that changes with every change of an owner.
    pub fn owners_version(&self) -> u64 {
        self.owners_version
    }

    /// Returns the version of the engine loads.
    pub fn loads_version(&self) -> u64 {
        self.loads_version
    }

    /// Returns the peer address of a gateway.
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.nodes.get(node).map(|info| info.peer_address)
    }

    /// Returns whether the list of gateways with a lease contains `node`.
    pub fn is_listed(&self, node: &NodeId) -> bool {
        self.nodes.contains_key(node)
    }

    /// Returns whether the lease of this incarnation of a gateway has definitely expired.
    pub fn is_lease_expired(&self, now: Moment, node: &NodeRef) -> bool {
        let is_listed = self.nodes.get(&node.node).is_some_and(|info| info.node == *node);
        self.has_lease(now) && self.nodes_complete && !is_listed
    }

    /// Returns whether the list of gateways shows `node` as stopping.
    pub(crate) fn is_listed_as_stopping(&self, node: &NodeRef) -> bool {
        self.nodes.get(&node.node).is_some_and(|info| info.stopping)
    }
}
