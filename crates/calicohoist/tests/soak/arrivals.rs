//! Requests as replicas saw them.

#![allow(dead_code)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

use crate::support::ScriptedReplica;
use crate::support::replica::Exchange;

/// What a replica made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The script still runs.
    Working,
    /// The replica answered completely, as far as it could.
    Whole,
    BrokenOff,
    /// The replica answered without end, until the connection was closed.
    Endless,
    Rejected,
}

/// A request that was passed on to a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub replica: String,
    pub at: Instant,
    pub outcome: Outcome,
    /// When the replica was done with it.
    pub finished: Option<Instant>,
}

/// Arrivals at all replicas, by request id.
#[derive(Clone, Default)]
pub struct ArrivalLog(Arc<Mutex<HashMap<String, Vec<Arrival>>>>);

impl ArrivalLog {
    /// Starts a replica whose requests are recorded.
    pub fn start_replica(
        &self,
        name: &str,
        script: impl Fn(&mut Exchange<'_>) -> Outcome + Send + Sync + 'static,
    ) -> ScriptedReplica {
        let (log, replica) = (self.clone(), name.to_owned());
        ScriptedReplica::start(name, move |exchange| {
            let id = exchange.request.id().to_owned();
            let index = log.begin(&id, &replica);
            let outcome = script(exchange);
            log.finish(&id, index, outcome);
        })
    }

    /// Returns the arrivals of a request, in order.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        self.0.lock().get(id).cloned().unwrap_or_default()
    }

    /// Returns whether an arrival at a replica fulfills a condition.
    pub fn any_at(&self, replica: &str, condition: impl Fn(&Arrival) -> bool) -> bool {
        let log = self.0.lock();
        let mut arrivals = log.values().flatten().filter(|arrival| arrival.replica == replica);
        arrivals.any(condition)
    }

    /// Calls `visit` with the id of each request that arrived at a replica, and the arrival.
    pub fn for_each_at(&self, replica: &str, mut visit: impl FnMut(&str, &Arrival)) {
        for (id, arrivals) in &*self.0.lock() {
            let here = arrivals.iter().filter(|arrival| arrival.replica == replica);
            here.for_each(|arrival| visit(id, arrival));
        }
    }

    /// Returns the request that reached replicas most often among those whose id has a prefix, with
    /// the number of its arrivals.
    pub fn most_sent(&self, prefix: &str) -> Option<(String, usize)> {
        let log = self.0.lock();
        let counts = log.iter().map(|(id, arrivals)| (id.clone(), arrivals.len()));
        counts.filter(|(id, _)| id.starts_with(prefix)).max_by_key(|(_, count)| *count)
    }

    fn begin(&self, id: &str, replica: &str) -> usize {
        let arrival = Arrival {
            replica: replica.to_owned(),
            at: Instant::now(),
            outcome: Outcome::Working,
            finished: None,
        };
        let mut log = self.0.lock();
        let arrivals = log.entry(id.to_owned()).or_default();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn finish(&self, id: &str, index: usize, outcome: Outcome) {
        let mut log = self.0.lock();
        if let Some(arrival) = log.get_mut(id).and_then(|arrivals| arrivals.get_mut(index)) {
            arrival.outcome = outcome;
            arrival.finished = Some(Instant::now());
        }
    }
}
