//! Search of the replicas that are compared for a turn.
//!
//! All replicas of a small service are compared. In a large one only those that may be cheaper than
//! others of their group, and the first ones of each group, so that the time of a placement does not
//! grow with the service.

use std::time::{Duration, Instant};

use calicohoist_routing::Replica;

use super::index::ReplicaGroup;
use super::{FleetView, GatewayProximity, PlacementRequest, Placer};
use crate::cold::ColdAdmission;

/// Number of warm and healthy replicas of each group that are candidates in a large service.
const CANDIDATES_PER_GROUP: usize = 3;
/// Maximum number of replicas of each group that are examined for candidates.
const MAX_EXAMINED_PER_GROUP: usize = 32;
/// Maximum number of connected replicas that are candidates in a large service.
const MAX_CONNECTED: usize = 64;
/// Number of replicas that are candidates in a large service for each part of the prompt that they
/// have cached.
const HOLDERS_PER_PART: usize = 12;

impl Placer {
    /// Returns the eligible replicas among which the cheapest one is searched: all of a small
    /// service. In a large one, those that may be cheaper than others of their group, and the first
    /// ones of each group.
    pub(super) fn candidates<'a>(
        &self,
        turn: &str,
        request: &PlacementRequest,
        view: &FleetView<'a>,
        now: Instant,
    ) -> Vec<&'a Replica> {
        let index = &self.candidate_index;
        if !index.covers(&request.service, view.replicas) {
            return view.eligible_for(request);
        }
        let placed = self.turns.get(turn).map(|placed| placed.replica.as_str());
        let connected = request.connected.iter().map(String::as_str).take(MAX_CONNECTED);
        let parts = request.prompt.iter();
        let holders = parts.flat_map(|part| self.best_holders(part.id, request, view));
        let fastest = self.relative_speeds.fastest(&request.service);
        let known = placed.into_iter().chain(connected).chain(holders).chain(fastest);
        let known = known.filter_map(|id| index.find(id, view.replicas));
        let mut candidates: Vec<&Replica> =
            known.filter(|replica| view.is_eligible(replica, request)).collect();
        for group in index.groups_of(&request.service) {
            if !self.add_least_loaded(group, request, view, now, &mut candidates) {
                return view.eligible_for(request);
            }
        }
        candidates
    }

    /// Returns the least loaded replicas that have cached a part, those of the gateway's zone first.
    fn best_holders(
        &self,
        part: u64,
        request: &PlacementRequest,
        view: &FleetView<'_>,
    ) -> Vec<&str> {
        let rank = |id: &&str| {
            let replica = self.candidate_index.find(id, view.replicas);
            let is_remote = replica.is_none_or(|replica| replica.zone != request.zone);
            (self.load(id), is_remote)
        };
        let mut holders: Vec<&str> = self.prefix_index.holders(part).collect();
        holders.sort_by_cached_key(rank);
        holders.truncate(HOLDERS_PER_PART);
        holders
    }

    /// Returns whether an idle replica has cached a shared part of the prompt, so that no further
    /// copy of it is needed. Only known in a large service.
    pub(super) fn has_idle_holder(&self, request: &PlacementRequest, view: &FleetView<'_>) -> bool {
        let shared = request.prompt.split_last().and_then(|(_, shared)| shared.last());
        let Some(part) =
            shared.filter(|_| self.candidate_index.covers(&request.service, view.replicas))
        else {
            return false;
        };
        let mut holders = self.prefix_index.holders(part.id);
        holders.any(|id| {
            let listed = self.candidate_index.find(id, view.replicas);
            self.load(id) == 0 && listed.is_some_and(|replica| view.is_eligible(replica, request))
        })
    }

    /// Adds the least loaded replicas of a group. Returns `false` if none of the first ones
    /// accepts the turn although a later one may.
    fn add_least_loaded<'a>(
        &self,
        group: &ReplicaGroup,
        request: &PlacementRequest,
        view: &FleetView<'a>,
        now: Instant,
        candidates: &mut Vec<&'a Replica>,
    ) -> bool {
        let mut usable = 0;
        for (number, id) in group.ids().enumerate() {
            let Some(replica) = self.candidate_index.find(id, view.replicas) else {
                continue;
            };
            if !view.is_eligible(replica, request) {
                // The whole group is in a zone that is drained or outside the home regions, or of
                // another version.
                return true;
            }
            if number >= MAX_EXAMINED_PER_GROUP {
                return usable > 0;
            }
            candidates.push(replica);
            let cold = request.cold.as_ref();
            let is_suspected = self.statuses.get(id).is_some_and(|status| status.is_suspected(now));
            let admission = self.cold_limiter.admit(replica, cold, view, now);
            usable += usize::from(!is_suspected && admission == ColdAdmission::Warm);
            if usable >= CANDIDATES_PER_GROUP {
                break;
            }
        }
        true
    }

    /// Returns the least cost of all eligible replicas for a turn, without limits; `None` if no
    /// replica is eligible.
    pub fn least_cost(
        &self,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<Duration> {
        self.least_cost_of(view.eligible_for(request), request, view, now)
    }

    /// Returns the least cost of the replicas that [`Self::place`] compares; see
    /// [`Self::least_cost`].
    pub fn candidate_cost(
        &self,
        turn: &str,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let candidates = self.candidates(turn, request, view, now);
        self.least_cost_of(candidates, request, view, now)
    }

    /// Returns the number of replicas that [`Self::place`] compares for a turn.
    pub fn candidate_count(
        &self,
        turn: &str,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> usize {
        self.candidates(turn, request, view, now).len()
    }

    fn least_cost_of(
        &self,
        replicas: Vec<&Replica>,
        request: &PlacementRequest,
        view: &FleetView<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let inputs = self.cost_inputs(request, view, now);
        let mut proximity = GatewayProximity::new(request, view.topology);
        let costs = replicas
            .into_iter()
            .map(|replica| self.cost(&self.candidate(replica, &mut proximity), &inputs));
        costs.min()
    }
}
