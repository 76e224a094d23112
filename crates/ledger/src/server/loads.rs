//! What gateways have under way at each replica, as they report it.
//!
//! Hundreds of gateways ask several times a second; the sum over all reports is therefore
//! made once in a while, and each asker's own share is taken off it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::list::Reading;
use crate::protocol::ListDigest;

/// Reports older than this are dropped: three watches have passed without one.
const LOAD_AGE: Duration = Duration::from_millis(2_000);
/// Time between two sums. A gateway reports about twice a second.
const SUM_INTERVAL: Duration = Duration::from_millis(50);

/// Reports of load by gateway, and their sum.
#[derive(Debug, Default)]
pub struct LoadBoard {
    reports: HashMap<String, LoadReport>,
    sum: LoadSum,
}

#[derive(Debug)]
struct LoadReport {
    at: Instant,
    /// Requests under way, by replica; idle replicas are left out.
    loads: Vec<(String, u32)>,
}

/// The loads of all gateways, in the order of one list of replicas.
#[derive(Debug, Default)]
struct LoadSum {
    list: ListDigest,
    made: Option<Instant>,
    loads: Vec<u32>,
    /// Where each replica stands in the list.
    places: HashMap<String, usize>,
}

impl LoadBoard {
    /// Takes a gateway's report in place of its last one.
    pub fn note(&mut self, gateway: &str, loads: &[(String, u32)], now: Instant) {
        let report = LoadReport { at: now, loads: loads.to_vec() };
        self.reports.insert(gateway.to_owned(), report);
    }

    /// Requests that all gateways but one have under way, for each replica of the list.
    pub fn of_others(&mut self, gateway: &str, reading: &Reading, now: Instant) -> Vec<u32> {
        self.refresh(reading, now);
        let mut others = self.sum.loads.clone();
        if let Some(own) = self.reports.get(gateway) {
            for (place, load) in self.sum.placed(&own.loads) {
                others[place] = others[place].saturating_sub(load);
            }
        }
        others
    }

    fn refresh(&mut self, reading: &Reading, now: Instant) {
        if self.sum.list != reading.mark {
            self.sum = LoadSum::for_list(reading);
        }
        if self.sum.made.is_some_and(|made| now < made + SUM_INTERVAL) {
            return;
        }
        self.reports.retain(|_, report| now < report.at + LOAD_AGE);
        let mut loads = vec![0; reading.list.replicas.len()];
        for report in self.reports.values() {
            for (place, load) in self.sum.placed(&report.loads) {
                loads[place] += load;
            }
        }
        self.sum.loads = loads;
        self.sum.made = Some(now);
    }
}

impl LoadSum {
    fn for_list(reading: &Reading) -> Self {
        let replicas = reading.list.replicas.iter().enumerate();
        let places = replicas.map(|(place, replica)| (replica.id.clone(), place)).collect();
        Self { list: reading.mark, places, ..Self::default() }
    }

    /// The loads of replicas that are listed, with their places.
    fn placed<'a>(&'a self, loads: &'a [(String, u32)]) -> impl Iterator<Item = (usize, u32)> + 'a {
        loads.iter().filter_map(|(replica, load)| Some((*self.places.get(replica)?, *load)))
    }
}
