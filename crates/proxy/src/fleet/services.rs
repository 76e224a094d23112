//! Members by service and by id.

use std::borrow::Borrow;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

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

/// The members that may be selected: the newest incarnation of each replica.
#[derive(Debug, Default)]
pub(super) struct Services {
    by_service: HashMap<String, Vec<Arc<Member>>>,
    by_id: HashSet<MemberById>,
}

impl Services {
    pub(super) fn add(&mut self, member: Arc<Member>) {
        match self.by_service.get_mut(&member.replica.service) {
            Some(members) => members.push(Arc::clone(&member)),
            None => {
                self.by_service.insert(member.replica.service.clone(), vec![Arc::clone(&member)]);
            }
        }
        self.by_id.insert(MemberById(member));
    }

    /// Returns the members of a service, or an empty slice if it is not listed.
    pub(super) fn members_of(&self, service: &str) -> &[Arc<Member>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Iterates over the members of all services.
    pub(super) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.by_service.values().flatten()
    }

    pub(super) fn find(&self, id: &str) -> Option<&Arc<Member>> {
        self.by_id.get(id).map(|member| &member.0)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
