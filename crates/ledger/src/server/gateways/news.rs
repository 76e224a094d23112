//! What gateways watch for, and what they report along with it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_routing::DrainedZones;
use calicohoist_telemetry::{Event, emit};

use super::{Back, Hub};
use crate::protocol::{LedgerResponse, WatchRequest, WatchUpdate};
use crate::server::list::Reading;
use crate::server::replica::{Request, Response, Standing};

/// Longest time that a watch is held when nothing is newer.
const WATCH_HOLD: Duration = Duration::from_millis(500);

impl Hub {
    /// Answers once something is newer than what was seen, or after a while.
    pub(super) async fn watch(&self, seen: WatchRequest, back: Back) {
        self.note_load(&seen);
        let mut standing = self.standing.clone();
        let mut list = self.list.clone();
        let mut failing = self.failures.subscribe();
        let news = async {
            loop {
                let is_stale = {
                    let standing = standing.borrow_and_update();
                    let list = list.borrow_and_update();
                    let failing = failing.borrow_and_update();
                    !standing.is_leader
                        || (failing.term == standing.term && *failing != seen.failing)
                        || standing.configuration > seen.configuration
                        || Some(standing.drained.version) != seen.drained
                        || (list.term == standing.term && list.mark != seen.list)
                        || (list.cold_mark.term == standing.term && list.cold_mark != seen.cold)
                };
                if is_stale {
                    return;
                }
                tokio::select! {
                    changed = standing.changed() => if changed.is_err() { return },
                    changed = list.changed() => if changed.is_err() { return },
                    changed = failing.changed() => if changed.is_err() { return },
                }
            }
        };
        let _ = tokio::time::timeout(WATCH_HOLD, news).await;
        self.tell_news(&seen, back).await;
    }

    /// Tells what is newer, with a quorum behind it, one thing at a time: first the drained zones,
    /// where nothing may be sent; then the configuration, the list, and all small news together.
    async fn tell_news(&self, seen: &WatchRequest, back: Back) {
        let read = Request::ReadConfiguration { newer_than: seen.configuration };
        let held = match self.replica.call(read).await {
            Response::Configuration(held) => held,
            Response::NotLeader(leader) => return back.send(self.not_leader(leader)),
            _ => return back.send(LedgerResponse::Unavailable),
        };
        // All drains that were applied before the read was answered are published by now.
        let drained = Arc::clone(&self.standing.borrow().drained);
        if Some(drained.version) != seen.drained {
            return back.send(LedgerResponse::DrainedZones(DrainedZones::clone(&drained)));
        }
        if let Some(held) = held {
            let answer = self.shared.lock().configuration(&held);
            return back.send_if_encoded(answer);
        }
        let reading = self.reading();
        let standing = self.standing.borrow().clone();
        if reading.tells_list(standing.term, seen) {
            if back.is_older() {
                let list = reading.list.as_ref().clone();
                return back.send(LedgerResponse::List { mark: reading.mark, list });
            }
            let answer = self.shared.lock().list(&reading);
            return back.send_if_encoded(answer);
        }
        back.send(LedgerResponse::News(self.news(seen, &standing, &reading)));
    }

    fn news(&self, seen: &WatchRequest, standing: &Standing, reading: &Reading) -> WatchUpdate {
        let is_current = reading.term == standing.term;
        let age = reading.read_at.filter(|_| is_current).map(|at| at.elapsed().as_millis());
        let failing = self.failures.news(seen.failing);
        let cold = reading.cold_news(seen.cold, Instant::now());
        WatchUpdate {
            list_age_ms: age.and_then(|age| u64::try_from(age).ok()),
            loads: self.loads.lock().of_others(&seen.gateway, reading, Instant::now()),
            loads_of: reading.mark,
            machines: standing.machines.clone(),
            failing: failing.filter(|(mark, _)| mark.term == standing.term),
            cold: cold.filter(|(mark, _)| mark.term == standing.term),
        }
    }

    /// Counts a failure; everybody is told when it was one too many.
    pub(super) fn note_failure(&self, replica: &str, back: Back) {
        let standing = self.standing.borrow().clone();
        if !standing.is_leader {
            return back.send(self.not_leader(standing.leader));
        }
        let replicas = &self.reading().list.replicas;
        if let Some(rest) = self.failures.note(standing.term, replica, replicas) {
            emit!(Event::ReplicaLeftAlone; replica = replica, for_ms = rest.as_millis());
            self.turns.note_failing(replica, Instant::now() + rest);
        }
        back.send(LedgerResponse::Noted);
    }

    fn note_load(&self, seen: &WatchRequest) {
        self.loads.lock().note(&seen.gateway, &seen.loads, Instant::now());
        let standing = self.standing.borrow();
        if standing.is_leader {
            self.turns.note_report(standing.term, &seen.gateway, &seen.loads);
        }
    }
}
