//! Long polling: gateways wait for updates and report their load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_routing::DrainedZones;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::FrameError;

use super::bulk::BulkLimiter;
use super::shared::SharedAnswer;
use super::{GatewayService, Responder};
use crate::protocol::{FleetUpdate, LedgerResponse, WatchRequest, WatchUpdate};
use crate::server::duties::{self, Duty};
use crate::server::replica::{GroupStatus, Request, Response};

/// Maximum time that a watch is held without an update.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that an answer waits for other large answers to be sent. Shorter than the time
/// after which a gateway doubts a silent leader.
const MAX_BULK_WAIT: Duration = Duration::from_millis(500);

impl GatewayService {
    /// Answers once there is an update that the gateway has not seen, or after [`WATCH_TIMEOUT`].
    pub(super) async fn watch(&self, seen: WatchRequest, responder: Responder) {
        self.contacts.record(&seen.gateway, Instant::now());
        self.record_load(&seen);
        if self.record_receipt(&seen) {
            // Crash records come without a confirmation of the leadership, which the gateway needs
            // to rely on them.
            return self.send_update(&seen, responder).await;
        }
        let mut status = self.status.clone();
        let mut list = self.list.clone();
        let mut failing = self.failures.subscribe();
        let mut crashes = self.crashes.subscribe();
        let update = async {
            loop {
                let has_update = {
                    let status = status.borrow_and_update();
                    let list = list.borrow_and_update();
                    let failing = failing.borrow_and_update();
                    crashes.mark_unchanged();
                    !status.is_leader
                        || (failing.term == status.term && *failing != seen.failing)
                        || self.has_crashes(&status, &seen)
                        || status.configuration > seen.configuration
                        || Some(status.drained.version) != seen.drained
                        || (list.term == status.term && list.mark != seen.list)
                        || (list.cold_mark.term == status.term && list.cold_mark != seen.cold)
                };
                if has_update {
                    return;
                }
                tokio::select! {
                    changed = status.changed() => if changed.is_err() { return },
                    changed = list.changed() => if changed.is_err() { return },
                    changed = failing.changed() => if changed.is_err() { return },
                    changed = crashes.changed() => if changed.is_err() { return },
                }
            }
        };
        let _ = tokio::time::timeout(WATCH_TIMEOUT, update).await;
        self.send_update(&seen, responder).await;
    }

    /// Records which crash records a gateway has. Returns whether it has just received some.
    fn record_receipt(&self, seen: &WatchRequest) -> bool {
        let Some(crashes) = seen.crashes else {
            return false;
        };
        let (term, now) = (self.status.borrow().term, Instant::now());
        self.receipts.term_start(term, now);
        self.receipts.record(&seen.gateway, crashes, now)
    }

    /// Returns whether this machine leads and has crash records that the gateway has not received.
    /// Gateways that do not support them have no version of them.
    fn has_crashes(&self, status: &GroupStatus, seen: &WatchRequest) -> bool {
        let has_changes = |seen| self.crashes.has_changes(status.term, seen, Instant::now());
        status.is_leader && seen.crashes.is_some_and(has_changes)
    }

    /// Sends crash records, which restrict what may be sent, or after confirming the leadership the
    /// first other update, in this order: drained zones, because no request may be sent there;
    /// configuration; list of replicas; all others.
    async fn send_update(&self, seen: &WatchRequest, responder: Responder) {
        // Records are committed, so a gateway may rely on them whoever leads by now. Without a round
        // of the quorum they arrive before the next attempt of a client.
        let status = self.status.borrow().clone();
        if let Some(known) = seen.crashes
            && self.has_crashes(&status, seen)
        {
            let (mark, crashes) = self.crashes.changes_since(status.term, known, Instant::now());
            return responder.send(LedgerResponse::Crashes { mark, crashes });
        }
        let read = Request::ReadConfiguration { newer_than: seen.configuration };
        let configuration = match self.replica.call(read).await {
            Response::Configuration(configuration) => configuration,
            Response::NotLeader(leader) => return responder.send(self.not_leader(leader)),
            _ => return responder.send(LedgerResponse::Unavailable),
        };
        // The replica thread publishes applied drains before it answers a read.
        let drained = Arc::clone(&self.status.borrow().drained);
        if Some(drained.version) != seen.drained {
            return responder.send(LedgerResponse::DrainedZones(DrainedZones::clone(&drained)));
        }
        if let Some(configuration) = configuration {
            let answer = self.shared.lock().configuration(&configuration);
            // Without the newest configuration, the gateway must not take its own for current.
            let unsent = |responder: Responder| responder.send(LedgerResponse::Unavailable);
            return self.send_bulk(answer, &self.bulk_configurations, responder, unsent).await;
        }
        let discovery = self.discovery();
        if discovery.should_send_list(self.term(), seen) {
            if responder.is_legacy() {
                let list = discovery.list.as_ref().clone();
                return responder.send(LedgerResponse::List { mark: discovery.mark, list });
            }
            let form = responder.list_form();
            let answer = duties::timed(Duty::EncodeList, || {
                self.shared.lock().list(&discovery, form, seen.list)
            });
            let unsent = |responder| self.send_status(seen, responder);
            return self.send_bulk(answer, &self.bulk_lists, responder, unsent).await;
        }
        self.send_status(seen, responder);
    }

    /// Sends a large answer as soon as `limiter` admits it. If that takes too long, answers with
    /// `unsent` instead, which shows the gateway that the leader is alive; the gateway asks again.
    async fn send_bulk(
        &self,
        answer: Result<SharedAnswer, FrameError>,
        limiter: &BulkLimiter,
        responder: Responder,
        unsent: impl FnOnce(Responder),
    ) {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                emit!(Event::AnswerTooLong; error = error);
                return responder.send(LedgerResponse::Unavailable);
            }
        };
        match limiter.admit(answer.encoded.len(), MAX_BULK_WAIT).await {
            Some(permit) => responder.send_shared(&answer, permit.hold_until_written()),
            None => unsent(responder),
        }
    }

    fn send_status(&self, seen: &WatchRequest, responder: Responder) {
        let update = duties::timed(Duty::Status, || self.fleet_update(seen));
        if responder.supports_list_patches() {
            return responder.send(LedgerResponse::Update(update));
        }
        let discovery = self.discovery();
        let loads = self.loads.lock().load_from_others(&seen.gateway, &discovery, Instant::now());
        let FleetUpdate { list_age_ms, machines, failing, cold, .. } = update;
        responder.send(LedgerResponse::News(WatchUpdate {
            list_age_ms,
            loads,
            loads_of: discovery.mark,
            machines,
            failing,
            cold,
        }));
    }

    fn fleet_update(&self, seen: &WatchRequest) -> FleetUpdate {
        let discovery = self.discovery();
        let status = self.status.borrow().clone();
        // The age is that of the list that the gateway has.
        let is_current = discovery.term == status.term && discovery.mark == seen.list;
        let age = discovery.read_at.filter(|_| is_current).map(|at| at.elapsed().as_millis());
        let failing = self.failures.changes_since(seen.failing);
        let now = Instant::now();
        let cold = discovery.cold_update(seen.cold, now);
        let mut loads = self.loads.lock();
        FleetUpdate {
            list_age_ms: age.and_then(|age| u64::try_from(age).ok()),
            list_pages: discovery.pages as u32,
            gateways: loads.gateways(status.term, now).map(|gateways| gateways as u32),
            loads: loads.busy_replicas(&seen.gateway, &discovery, now),
            loads_of: discovery.mark,
            machines: status.machines,
            failing: failing.filter(|(mark, _)| mark.term == status.term),
            cold: cold.filter(|(mark, _)| mark.term == status.term),
        }
    }

    /// Records a failure of a replica. Once the replica is excluded, all gateways are notified.
    pub(super) fn report_failure(&self, replica: &str, responder: Responder) {
        let status = self.status.borrow().clone();
        if !status.is_leader {
            return responder.send(self.not_leader(status.leader));
        }
        let replicas = &self.discovery().list.replicas;
        if let Some(exclusion) = self.failures.record_failure(status.term, replica, replicas) {
            emit!(Event::ReplicaLeftAlone; replica = replica, for_ms = exclusion.as_millis());
            self.turns.mark_failing(replica, Instant::now() + exclusion);
        }
        responder.send(LedgerResponse::Noted);
    }

    fn record_load(&self, seen: &WatchRequest) {
        self.loads.lock().record_report(&seen.gateway, &seen.loads, Instant::now());
        let status = self.status.borrow();
        if status.is_leader {
            self.turns.record_report(status.term, &seen.gateway, &seen.loads);
        }
    }
}
