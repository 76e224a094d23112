//! Gateways of builds that know neither starts of replicas nor drained zones.
//!
//! They know a replica by its identity and name it so to its engine, and they take no note of
//! drained zones. They are told a list of their own, in which replicas have their bare identities and
//! those of drained zones are leaving; what they say of replicas is read by the present list.

use std::collections::HashMap;
use std::sync::Arc;

use calicohoist_routing::{Incarnation, Replica, ReplicaList, ReplicaState};
use parking_lot::Mutex;

use crate::protocol::{LedgerRequest, LedgerResponse, ListDigest};
use crate::server::list::FleetSnapshot;

/// The list as these gateways are told it, made once for each state of the fleet.
#[derive(Clone, Debug, Default)]
pub(super) struct OlderList {
    /// Mark of the list it was made of.
    of: ListDigest,
    /// Version of the drained zones it was made with.
    drained: u64,
    mark: ListDigest,
    list: Arc<ReplicaList>,
    /// What is used here for each identity that stands for more.
    starts: Arc<HashMap<String, String>>,
}

impl OlderList {
    fn of(fleet: &FleetSnapshot) -> Self {
        let replicas = &fleet.reading.list.replicas;
        let told = |replica: &Replica| {
            let is_drained = fleet.drained.contains(&replica.zone);
            Replica {
                id: identity(&replica.id),
                state: if is_drained { ReplicaState::Draining } else { replica.state },
                ..replica.clone()
            }
        };
        let names = replicas.iter().map(|replica| (identity(&replica.id), replica.id.clone()));
        let starts = names.filter(|(identity, id)| identity != id).collect();
        let replicas: Vec<Replica> = replicas.iter().map(told).collect();
        Self {
            of: fleet.reading.mark,
            drained: fleet.drained.version,
            mark: ListDigest::of(&replicas),
            list: Arc::new(ReplicaList { version: fleet.reading.list.version, replicas }),
            starts: Arc::new(starts),
        }
    }

    /// Turns an identity into the listed start of that replica; one that is not listed stays.
    fn name_start(&self, replica: &mut String) {
        if let Some(start) = self.starts.get(replica) {
            replica.clone_from(start);
        }
    }
}

/// Translates for one hub.
#[derive(Clone, Default)]
pub(super) struct OlderGateways(Arc<Mutex<OlderList>>);

impl OlderGateways {
    fn list(&self, fleet: &FleetSnapshot) -> OlderList {
        let mut made = self.0.lock();
        if made.of != fleet.reading.mark || made.drained != fleet.drained.version {
            *made = OlderList::of(fleet);
        }
        made.clone()
    }

    /// A question with the names that are used here.
    pub(super) fn read(&self, mut question: LedgerRequest, fleet: &FleetSnapshot) -> LedgerRequest {
        let told = self.list(fleet);
        match &mut question {
            LedgerRequest::Reserve { placement: Some(placement), .. }
            | LedgerRequest::Place { placement, .. } => {
                placement.connected.iter_mut().for_each(|replica| told.name_start(replica));
            }
            LedgerRequest::Settle(settle) => {
                if let Some(run) = &mut settle.run {
                    told.name_start(&mut run.replica);
                }
            }
            LedgerRequest::ReportFailure { replica } => told.name_start(replica),
            LedgerRequest::Watch(seen) => {
                if seen.list == told.mark {
                    seen.list = told.of;
                }
                // Cold replicas are not told, and drained zones with the list; what is new of these
                // while the question is held ends it.
                seen.cold = fleet.reading.cold_mark;
                seen.drained = Some(fleet.drained.version);
                seen.loads.iter_mut().for_each(|(replica, _)| told.name_start(replica));
            }
            LedgerRequest::Reserve { placement: None, .. }
            | LedgerRequest::Permit(_)
            | LedgerRequest::FindLeader => {}
        }
        question
    }

    /// An answer with the list that these gateways are told.
    pub(super) fn tell(&self, mut answer: LedgerResponse, fleet: &FleetSnapshot) -> LedgerResponse {
        match &mut answer {
            LedgerResponse::List { mark, list } => {
                let told = self.list(fleet);
                *mark = told.mark;
                *list = told.list.as_ref().clone();
            }
            LedgerResponse::News(news) => {
                let told = self.list(fleet);
                if news.loads_of == told.of {
                    news.loads_of = told.mark;
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
