//! Aggregation of the load that gateways report for each replica.
//!
//! The sum of all reports is cached for a short time. The load from all other gateways is computed
//! by subtracting a gateway's own report from it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::list::DiscoverySnapshot;
use crate::protocol::{ListDigest, ReplicaLoad};

/// Reports expire after this time, several times the interval at which gateways send them.
const REPORT_TTL: Duration = Duration::from_millis(2_000);
/// Minimum time between two computations of the sum.
const SUM_INTERVAL: Duration = Duration::from_millis(50);

/// Load reports by gateway, and their sum.
#[derive(Debug, Default)]
pub struct LoadAggregator {
    reports: HashMap<String, LoadReport>,
    sum: LoadSum,
    /// Term of the leader, and when its first update was sent.
    term: Option<(u64, Instant)>,
}

#[derive(Debug)]
struct LoadReport {
    at: Instant,
    /// Requests in progress by replica; idle replicas are omitted.
    loads: Vec<(String, u32)>,
}

/// The sum of all reports, in the order of a list of replicas.
#[derive(Debug, Default)]
struct LoadSum {
    list: ListDigest,
    computed_at: Option<Instant>,
    /// Requests in progress by index, without idle replicas.
    busy: BTreeMap<usize, u32>,
    /// Index of each replica in the list.
    indices: HashMap<String, usize>,
}

impl LoadAggregator {
    /// Replaces the report of a gateway.
    pub fn record_report(&mut self, gateway: &str, loads: &[(String, u32)], now: Instant) {
        let report = LoadReport { at: now, loads: loads.to_vec() };
        self.reports.insert(gateway.to_owned(), report);
    }

    /// Returns the requests in progress from all other gateways, for each replica of the list.
    pub fn load_from_others(
        &mut self,
        gateway: &str,
        discovery: &DiscoverySnapshot,
        now: Instant,
    ) -> Vec<u32> {
        let mut loads = vec![0; discovery.list.replicas.len()];
        for ReplicaLoad { position, requests } in self.busy_replicas(gateway, discovery, now) {
            loads[position as usize] = requests;
        }
        loads
    }

    /// Returns the replicas of the list with requests in progress from other gateways.
    pub fn busy_replicas(
        &mut self,
        gateway: &str,
        discovery: &DiscoverySnapshot,
        now: Instant,
    ) -> Vec<ReplicaLoad> {
        self.refresh(discovery, now);
        let own = self.reports.get(gateway).map(|report| self.sum.indexed(&report.loads));
        let own: HashMap<usize, u32> = own.into_iter().flatten().collect();
        let others = self.sum.busy.iter().map(|(index, load)| {
            let own_load = own.get(index).copied().unwrap_or_default();
            ReplicaLoad { position: *index as u32, requests: load.saturating_sub(own_load) }
        });
        others.filter(|load| load.requests > 0).collect()
    }

    /// Returns the number of gateways that have reported recently to the leader of `term`; `None`
    /// until all of them have had the time to do so.
    pub fn gateways(&mut self, term: u64, now: Instant) -> Option<usize> {
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
        }
        let (_, since) = self.term?;
        (now >= since + REPORT_TTL).then_some(self.reports.len())
    }

    fn refresh(&mut self, discovery: &DiscoverySnapshot, now: Instant) {
        if self.sum.list != discovery.mark {
            self.sum = LoadSum::for_list(discovery);
        }
        if self.sum.computed_at.is_some_and(|at| now < at + SUM_INTERVAL) {
            return;
        }
        self.reports.retain(|_, report| now < report.at + REPORT_TTL);
        let mut busy = BTreeMap::new();
        for report in self.reports.values() {
            for (index, load) in self.sum.indexed(&report.loads) {
                *busy.entry(index).or_default() += load;
            }
        }
        self.sum.busy = busy;
        self.sum.computed_at = Some(now);
    }
}

impl LoadSum {
    fn for_list(discovery: &DiscoverySnapshot) -> Self {
        let replicas = discovery.list.replicas.iter().enumerate();
        let indices = replicas.map(|(index, replica)| (replica.id.clone(), index)).collect();
        Self { list: discovery.mark, indices, ..Self::default() }
    }

    /// Returns the loads of listed replicas with their index in the list.
    fn indexed<'a>(
        &'a self,
        loads: &'a [(String, u32)],
    ) -> impl Iterator<Item = (usize, u32)> + 'a {
        loads.iter().filter_map(|(replica, load)| Some((*self.indices.get(replica)?, *load)))
    }
}
