//! Outlier detection: ejects replicas that fail repeatedly.
//!
//! A failed replica answers fast, looks idle and attracts further requests. The failures seen by
//! all gateways are counted together, and a replica with several failures in a short time is
//! ejected for a time that doubles with each ejection. Replicas that fail only occasionally stay
//! in use.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::Replica;

/// Number of failures within [`FAILURE_WINDOW`] after which a replica is ejected. One that serves 40
/// requests per second and fails one in twenty of them reaches it in about one of 70 windows.
const FAILURE_THRESHOLD: usize = 3;
/// Window in which failures are counted.
const FAILURE_WINDOW: Duration = Duration::from_millis(300);
/// Duration of the first ejection, about the time of a restart.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1_000);
/// Maximum duration of an ejection. A replica that works again must not stay unused for long.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(8_000);
/// Time without an ejection after which the duration starts again at [`BASE_EJECTION_TIME`].
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(10);
/// Maximum fraction of a service's replicas that are ejected at a time, since the others have to
/// carry their load. If more fail, the cause is elsewhere.
const MAX_EJECTED_FRACTION: f64 = 1.0 / 3.0;

#[derive(Clone, Debug, Default)]
struct FailureRecord {
    /// Failures within the window, oldest first.
    recent_failures: VecDeque<Instant>,
    /// End and duration of the latest ejection.
    ejection: Option<(Instant, Duration)>,
}

impl FailureRecord {
    fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_some_and(|(until, _)| now < until)
    }

    fn next_ejection_time(&self, now: Instant) -> Duration {
        match self.ejection {
            Some((until, last)) if now < until + EJECTION_RESET_AFTER => {
                (last * 2).min(MAX_EJECTION_TIME)
            }
            _ => BASE_EJECTION_TIME,
        }
    }
}

/// Counts failures by replica and ejects outliers.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    records: HashMap<String, FailureRecord>,
}

impl OutlierDetector {
    /// Records a request that replica `failed` did not answer. Returns the duration of the
    /// ejection if one starts now.
    pub fn record_failure(
        &mut self,
        failed: &str,
        replicas: &[Replica],
        now: Instant,
    ) -> Option<Duration> {
        let service = &replicas.iter().find(|replica| replica.id == failed)?.service;
        let peers = || replicas.iter().filter(|replica| replica.service == *service);
        let ejected = peers().filter(|peer| self.is_ejected(&peer.id, now)).count();
        let may_eject = (ejected + 1) as f64 <= peers().count() as f64 * MAX_EJECTED_FRACTION;
        let record = self.records.entry(failed.to_owned()).or_default();
        if record.is_ejected(now) {
            return None;
        }
        record.recent_failures.push_back(now);
        while record.recent_failures.front().is_some_and(|at| *at + FAILURE_WINDOW <= now) {
            record.recent_failures.pop_front();
        }
        if record.recent_failures.len() < FAILURE_THRESHOLD || !may_eject {
            return None;
        }
        record.recent_failures.clear();
        let duration = record.next_ejection_time(now);
        record.ejection = Some((now + duration, duration));
        Some(duration)
    }

    /// Returns the ejected replicas, each with the remaining time.
    pub fn ejected(&self, now: Instant) -> Vec<(String, Duration)> {
        let ejected = self.records.iter().filter(|(_, record)| record.is_ejected(now));
        let left = |record: &FailureRecord| record.ejection.map(|(until, _)| until - now);
        ejected.filter_map(|(id, record)| Some((id.clone(), left(record)?))).collect()
    }

    /// Drops replicas that are not listed.
    pub fn retain(&mut self, replicas: &[Replica]) {
        if self.records.is_empty() {
            return;
        }
        let listed: HashSet<&str> = replicas.iter().map(|replica| replica.id.as_str()).collect();
        self.records.retain(|id, _| listed.contains(id.as_str()));
    }

    fn is_ejected(&self, id: &str, now: Instant) -> bool {
        self.records.get(id).is_some_and(|record| record.is_ejected(now))
    }
}
