//! Index of the replicas by load, from which the candidates for a placement are taken.
//!
//! The cost of a placement differs only between replicas that differ in zone, slots, load or
//! cached prompts. In a large service, the first few replicas of each [`ReplicaGroup`] therefore
//! stand for all others, and the time of a decision does not grow with their number.

use std::collections::BTreeSet;
use std::sync::Arc;

use calicohoist_routing::{Replica, ReplicaState, SoftwareVersion};
use foldhash::HashMap;

/// Services with up to this many replicas are scanned in full.
pub const MAX_SCANNED_REPLICAS: usize = 512;

/// Position of a replica within its group; the smallest is the cheapest without regard to the
/// prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoadKey {
    /// Turns under way.
    pub(crate) load: u32,
    /// Tokens in the prefix cache.
    pub(crate) cached_tokens: u64,
}

/// Ready replicas of a service that share a zone, a number of slots and a software version, in order
/// of load.
#[derive(Debug)]
pub(crate) struct ReplicaGroup {
    service: String,
    zone: String,
    slots: u32,
    version: Option<SoftwareVersion>,
    order: BTreeSet<(LoadKey, Arc<str>)>,
}

impl ReplicaGroup {
    fn contains(&self, replica: &Replica) -> bool {
        self.slots == replica.slots
            && self.version == replica.version
            && self.zone == replica.zone
            && self.service == replica.service
    }

    /// Iterates over the ids of the replicas, least loaded first.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(|(_, id)| id.as_ref())
    }
}

#[derive(Clone, Copy, Debug)]
struct IndexedReplica {
    /// Position in the list of replicas.
    position: usize,
    /// Index of the group; `None` for a replica that is not ready.
    group: Option<usize>,
    key: LoadKey,
    /// Number of the last list update that contained the replica.
    update: u64,
}

/// Index of the listed replicas.
#[derive(Debug, Default)]
pub(crate) struct CandidateIndex {
    replicas: HashMap<Arc<str>, IndexedReplica>,
    groups: Vec<ReplicaGroup>,
    updates: u64,
}

impl CandidateIndex {
    /// Replaces the list of replicas. `key` returns the current position of a new replica.
    pub(crate) fn update_list(&mut self, replicas: &[Replica], key: impl Fn(&str) -> LoadKey) {
        self.updates += 1;
        for (position, replica) in replicas.iter().enumerate() {
            match self.replicas.get_mut(replica.id.as_str()) {
                Some(indexed) => {
                    indexed.position = position;
                    indexed.update = self.updates;
                    self.update_group(replica);
                }
                None => self.insert(position, replica, key(&replica.id)),
            }
        }
        self.remove_unlisted();
    }

    fn insert(&mut self, position: usize, replica: &Replica, key: LoadKey) {
        let id: Arc<str> = Arc::from(replica.id.as_str());
        let group = self.group_of(replica);
        if let Some(group) = group {
            self.groups[group].order.insert((key, Arc::clone(&id)));
        }
        let indexed = IndexedReplica { position, group, key, update: self.updates };
        self.replicas.insert(id, indexed);
    }

    /// Moves a replica whose properties have changed to another group.
    fn update_group(&mut self, replica: &Replica) {
        let Some((id, indexed)) = self.replicas.get_key_value(replica.id.as_str()) else {
            return;
        };
        let is_ready = replica.state == ReplicaState::Ready;
        let is_unchanged = match indexed.group {
            Some(group) => is_ready && self.groups[group].contains(replica),
            None => !is_ready,
        };
        if is_unchanged {
            return;
        }
        let (id, IndexedReplica { group: previous, key, .. }) = (Arc::clone(id), *indexed);
        if let Some(previous) = previous {
            self.groups[previous].order.remove(&(key, Arc::clone(&id)));
        }
        let group = self.group_of(replica);
        if let Some(group) = group {
            self.groups[group].order.insert((key, Arc::clone(&id)));
        }
        if let Some(indexed) = self.replicas.get_mut(&id) {
            indexed.group = group;
        }
    }

    /// Returns the group of a replica and creates it if necessary.
    fn group_of(&mut self, replica: &Replica) -> Option<usize> {
        if replica.state != ReplicaState::Ready {
            return None;
        }
        let known = self.groups.iter().position(|group| group.contains(replica));
        Some(known.unwrap_or_else(|| {
            self.groups.push(ReplicaGroup {
                service: replica.service.clone(),
                zone: replica.zone.clone(),
                slots: replica.slots,
                version: replica.version.clone(),
                order: BTreeSet::new(),
            });
            self.groups.len() - 1
        }))
    }

    fn remove_unlisted(&mut self) {
        let Self { replicas, groups, updates } = self;
        replicas.retain(|id, indexed| {
            let is_listed = indexed.update == *updates;
            if let (false, Some(group)) = (is_listed, indexed.group) {
                groups[group].order.remove(&(indexed.key, Arc::clone(id)));
            }
            is_listed
        });
    }

    /// Updates the position of a replica. Unlisted replicas are ignored.
    pub(crate) fn update_key(&mut self, id: &str, key: LoadKey) {
        let Some((id, indexed)) = self.replicas.get_key_value(id) else {
            return;
        };
        if indexed.key == key {
            return;
        }
        let id = Arc::clone(id);
        if let Some(group) = indexed.group {
            let order = &mut self.groups[group].order;
            order.remove(&(indexed.key, Arc::clone(&id)));
            order.insert((key, Arc::clone(&id)));
        }
        if let Some(indexed) = self.replicas.get_mut(&id) {
            indexed.key = key;
        }
    }

    /// Recomputes the positions of all replicas.
    pub(crate) fn update_all_keys(&mut self, key: impl Fn(&str) -> LoadKey) {
        let ids: Vec<Arc<str>> = self.replicas.keys().cloned().collect();
        for id in ids {
            self.update_key(&id, key(&id));
        }
    }

    /// Returns whether the index covers `replicas` and the service is too large to be scanned.
    pub(crate) fn covers(&self, service: &str, replicas: &[Replica]) -> bool {
        self.replicas.len() == replicas.len()
            && self.groups_of(service).map(|group| group.order.len()).sum::<usize>()
                > MAX_SCANNED_REPLICAS
    }

    /// Returns the groups of a service.
    pub(crate) fn groups_of(&self, service: &str) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.iter().filter(move |group| group.service == service)
    }

    /// Returns the replica with this id in the list that the index was built for.
    pub(crate) fn find<'a>(&self, id: &str, replicas: &'a [Replica]) -> Option<&'a Replica> {
        let position = self.replicas.get(id)?.position;
        replicas.get(position).filter(|replica| replica.id == id)
    }
}
