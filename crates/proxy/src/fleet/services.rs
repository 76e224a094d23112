//! Members by service and by id.

use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::{Arc, OnceLock};

use calicohoist_routing::{Distance, Topology};

use super::member::Member;

/// A member that is found by the id of its replica.
#[derive(Clone, Debug)]
struct MemberById(Arc<Member>);

impl MemberById {
    fn id(&self) -> &str {
        &self.0.replica.id
    }
}

impl Borrow<str> for MemberById {
    fn borrow(&self) -> &str {
        self.id()
    }
}

impl Hash for MemberById {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.id().hash(state);
    }
}

impl PartialEq for MemberById {
    fn eq(&self, other: &Self) -> bool {
        self.id() == other.id()
    }
}

impl Eq for MemberById {}

/// Members of one service in the order in which this gateway prefers them. The order differs
/// between gateways, which spreads them over the replicas.
#[derive(Debug)]
pub(super) struct PreferenceOrder {
    /// Members in the nearest zones, by rank.
    pub(super) near: Vec<Arc<Member>>,
    /// The other members, by distance and rank.
    pub(super) far: Vec<Arc<Member>>,
}

impl PreferenceOrder {
    fn new(members: &[Arc<Member>], zone: &str, topology: &Topology) -> Self {
        let distance = |member: &Arc<Member>| topology.distance(zone, &member.replica.zone);
        let mut ordered: Vec<(Distance, Arc<Member>)> =
            members.iter().map(|member| (distance(member), Arc::clone(member))).collect();
        ordered.sort_by_key(|(distance, member)| (*distance, member.rank));
        let nearest = ordered.first().map(|(distance, _)| *distance);
        let far = ordered.partition_point(|(distance, _)| Some(*distance) == nearest);
        let far = ordered.split_off(far);
        let members = |ordered: Vec<(Distance, Arc<Member>)>| {
            ordered.into_iter().map(|(_, member)| member).collect()
        };
        Self { near: members(ordered), far: members(far) }
    }
}

/// Members of one service.
#[derive(Debug, Default)]
struct ServiceMembers {
    all: Vec<Arc<Member>>,
    /// Computed when it is first needed.
    order: OnceLock<PreferenceOrder>,
}

/// The members that may be selected: the newest incarnation of each replica.
#[derive(Debug, Default)]
pub(super) struct Services {
    by_service: HashMap<String, ServiceMembers>,
    by_id: HashSet<MemberById>,
}

impl Services {
    pub(super) fn add(&mut self, member: Arc<Member>) {
        match self.by_service.get_mut(&member.replica.service) {
            Some(members) => members.all.push(Arc::clone(&member)),
            None => {
                let members =
                    ServiceMembers { all: vec![Arc::clone(&member)], ..ServiceMembers::default() };
                self.by_service.insert(member.replica.service.clone(), members);
            }
        }
        self.by_id.insert(MemberById(member));
    }

    /// Returns the members of a service, or an empty slice if it is not listed.
    pub(super) fn members_of(&self, service: &str) -> &[Arc<Member>] {
        self.by_service.get(service).map(|members| members.all.as_slice()).unwrap_or_default()
    }

    /// Returns the members of a service in the order of preference in `zone`, which is that of
    /// this gateway; `None` if the service is not listed.
    pub(super) fn preference_order(
        &self,
        service: &str,
        zone: &str,
        topology: &Topology,
    ) -> Option<&PreferenceOrder> {
        let ServiceMembers { all, order } = self.by_service.get(service)?;
        Some(order.get_or_init(|| PreferenceOrder::new(all, zone, topology)))
    }

    /// Iterates over the members of all services.
    pub(super) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_service.values().flat_map(|members| &members.all)
    }

    pub(super) fn find(&self, id: &str) -> Option<&Arc<Member>> {
        self.by_id.get(id).map(|member| &member.0)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
