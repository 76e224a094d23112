//! Compatibility with gateways whose builds don't support restarted replicas and drained zones.
//!
//! The id of a replica consists of its identity and its start. These gateways know only the
//! identity. They receive a list with bare identities, in which replicas of drained zones are
//! marked as draining. Identities in their questions are mapped to the ids of the listed replicas.

use std::collections::HashMap;
use std::sync::Arc;

use calicohoist_routing::{Incarnation, Replica, ReplicaList, ReplicaState};
use parking_lot::Mutex;

use crate::protocol::{LedgerRequest, LedgerResponse, ListDigest};
use crate::server::list::FleetSnapshot;

/// The list as sent to these gateways, cached for one state of the fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct LegacyList {
    /// Mark of the list it was derived from.
    source: ListDigest,
    /// Version of the drained zones it was derived from.
    drained: u64,
    mark: ListDigest,
    list: Arc<ReplicaList>,
    /// Full replica ids by identity, where they differ.
    ids: Arc<HashMap<String, String>>,
}

impl LegacyList {
    fn from_fleet(fleet: &FleetSnapshot) -> Self {
        let replicas = &fleet.discovery.list.replicas;
        let translate = |replica: &Replica| {
            let is_drained = fleet.drained.contains(&replica.zone);
            Replica {
                id: identity(&replica.id),
                state: if is_drained { ReplicaState::Draining } else { replica.state },
                ..replica.clone()
            }
        };
        let ids = replicas.iter().map(|replica| (identity(&replica.id), replica.id.clone()));
        let ids = ids.filter(|(identity, id)| identity != id).collect();
        let replicas: Vec<Replica> = replicas.iter().map(translate).collect();
        Self {
            source: fleet.discovery.mark,
            drained: fleet.drained.version,
            mark: ListDigest::of(&replicas),
            list: Arc::new(ReplicaList { version: fleet.discovery.list.version, replicas }),
            ids: Arc::new(ids),
        }
    }

    /// Replaces an identity by the id of the listed replica. Unlisted identities are unchanged.
    fn restore_id(&self, replica: &mut String) {
        if let Some(id) = self.ids.get(replica) {
            replica.clone_from(id);
        }
    }
}

/// Translates questions and answers, with a cached list.
#[derive(Clone, Default)]
pub(super) struct LegacyGateways(Arc<Mutex<LegacyList>>);

impl LegacyGateways {
    fn list(&self, fleet: &FleetSnapshot) -> LegacyList {
        let mut cached = self.0.lock();
        if cached.source != fleet.discovery.mark || cached.drained != fleet.drained.version {
            *cached = LegacyList::from_fleet(fleet);
        }
        cached.clone()
    }

    /// Replaces the identities in a question by replica ids.
    pub(super) fn translate_question(
        &self,
        mut question: LedgerRequest,
        fleet: &FleetSnapshot,
    ) -> LedgerRequest {
        let legacy = self.list(fleet);
        match &mut question {
            LedgerRequest::Reserve { placement: Some(placement), .. }
            | LedgerRequest::Place { placement, .. } => {
                placement.connected.iter_mut().for_each(|replica| legacy.restore_id(replica));
            }
            LedgerRequest::Settle(settle) => {
                if let Some(run) = &mut settle.run {
                    legacy.restore_id(&mut run.replica);
                }
            }
            LedgerRequest::ReportFailure { replica } => legacy.restore_id(replica),
            LedgerRequest::Watch(seen) => {
                if seen.list == legacy.mark {
                    seen.list = legacy.source;
                }
                // These gateways don't support cold replicas, and learn of drained zones from the
                // list. Only later changes of either end the watch.
                seen.cold = fleet.discovery.cold_mark;
                seen.drained = Some(fleet.drained.version);
                seen.loads.iter_mut().for_each(|(replica, _)| legacy.restore_id(replica));
            }
            LedgerRequest::Reserve { placement: None, .. }
            | LedgerRequest::Permit(_)
            | LedgerRequest::FindLeader
            | LedgerRequest::ForVersion { .. }
            | LedgerRequest::WatchCrashes { .. } => {}
        }
        question
    }

    /// Replaces the list or its mark in an answer.
    pub(super) fn translate_answer(
        &self,
        mut answer: LedgerResponse,
        fleet: &FleetSnapshot,
    ) -> LedgerResponse {
        match &mut answer {
            LedgerResponse::List { mark, list } => {
                let legacy = self.list(fleet);
                *mark = legacy.mark;
                *list = legacy.list.as_ref().clone();
            }
            LedgerResponse::News(news) => {
                let legacy = self.list(fleet);
                if news.loads_of == legacy.source {
                    news.loads_of = legacy.mark;
                }
            }
            _ => {}
        }
        answer
    }
}

fn identity(id: &str) -> String {
    Incarnation::identity_of(id).to_owned()
}
