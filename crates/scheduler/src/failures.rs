//! Replicas that fail one request after the other, as all gateways together see it.
//!
//! A replica that is down fails fast, looks idle and attracts further requests, and each of
//! hundreds of gateways would have to find that out by a request of its own. Here their
//! failures are counted together: a few within a short time, and everybody leaves the replica
//! alone for a while, longer each time. A replica that fails one request in twenty is not
//! meant: it stays in use.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::Replica;

/// Failures within [`WITHIN`] after which a replica is left alone. One in twenty of the 40
/// requests a second that a replica has makes three of them once in 70 such spans.
const FAILURES: usize = 3;
/// See [`FAILURES`].
const WITHIN: Duration = Duration::from_millis(300);
/// How long a replica is left alone the first time: about as long as a restart takes.
const FIRST_REST: Duration = Duration::from_millis(1_000);
/// The longest time: a replica that is back must not be missed for long.
const LONGEST_REST: Duration = Duration::from_millis(8_000);
/// A replica that worked for this long begins anew with the first rest.
const FORGIVEN_AFTER: Duration = Duration::from_secs(10);
/// Share of a service's replicas that may be left alone at a time; when more fail, the cause
/// is elsewhere and the others could not carry it.
const MOST_SHARE: f64 = 1.0 / 3.0;

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    /// The newest failures, oldest first.
    failed: VecDeque<Instant>,
    /// Until when the replica is left alone, and for how long that is.
    rest: Option<(Instant, Duration)>,
}

impl FailureRecord {
    fn is_resting(&self, now: Instant) -> bool {
        self.rest.is_some_and(|(until, _)| now < until)
    }

    fn next_rest(&self, now: Instant) -> Duration {
        match self.rest {
            Some((until, last)) if now < until + FORGIVEN_AFTER => (last * 2).min(LONGEST_REST),
            _ => FIRST_REST,
        }
    }
}

/// Failures by replica.
#[derive(Clone, Debug, Default)]
pub struct FailureBoard {
    records: HashMap<String, FailureRecord>,
}

impl FailureBoard {
    /// Notes a request that `failed` got no answer for. Returns how long the replica is to be
    /// left alone, when that begins now.
    pub fn note(&mut self, failed: &str, replicas: &[Replica], now: Instant) -> Option<Duration> {
        let service = &replicas.iter().find(|replica| replica.id == failed)?.service;
        let peers = || replicas.iter().filter(|replica| replica.service == *service);
        let resting = peers().filter(|peer| self.is_resting(&peer.id, now)).count();
        let may_rest = (resting + 1) as f64 <= peers().count() as f64 * MOST_SHARE;
        let record = self.records.entry(failed.to_owned()).or_default();
        if record.is_resting(now) {
            return None;
        }
        record.failed.push_back(now);
        while record.failed.front().is_some_and(|at| *at + WITHIN <= now) {
            record.failed.pop_front();
        }
        if record.failed.len() < FAILURES || !may_rest {
            return None;
        }
        record.failed.clear();
        let rest = record.next_rest(now);
        record.rest = Some((now + rest, rest));
        Some(rest)
    }

    /// The replicas that are left alone, each with the time that is left of it.
    pub fn resting(&self, now: Instant) -> Vec<(String, Duration)> {
        let resting = self.records.iter().filter(|(_, record)| record.is_resting(now));
        let left = |record: &FailureRecord| record.rest.map(|(until, _)| until - now);
        resting.filter_map(|(id, record)| Some((id.clone(), left(record)?))).collect()
    }

    /// Forgets replicas that are not listed.
    pub fn retain(&mut self, replicas: &[Replica]) {
        self.records.retain(|id, _| replicas.iter().any(|replica| replica.id == *id));
    }

    fn is_resting(&self, id: &str, now: Instant) -> bool {
        self.records.get(id).is_some_and(|record| record.is_resting(now))
    }
}
