//! Usual durations of the responses of each route.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use calicohoist_routing::{Route, RouteTable};
use parking_lot::Mutex;

/// Weight of a new duration in the mean, as a divisor.
const MEAN_DIVISOR: f64 = 8.0;
/// Weight of a new difference in the mean deviation, as a divisor.
const DEVIATION_DIVISOR: f64 = 4.0;
/// Number of mean deviations above the mean that few responses exceed.
const HIGH_DEVIATIONS: f64 = 2.0;

/// Moving mean and mean deviation of a duration, as RFC 6298 estimates round-trip times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseTime {
    mean_s: f64,
    deviation_s: f64,
}

impl ResponseTime {
    /// Creates the estimate after the first duration.
    pub fn first(duration: Duration) -> Self {
        let seconds = duration.as_secs_f64();
        Self { mean_s: seconds, deviation_s: seconds / 2.0 }
    }

    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        let difference = duration.as_secs_f64() - self.mean_s;
        self.deviation_s += (difference.abs() - self.deviation_s) / DEVIATION_DIVISOR;
        self.mean_s += difference / MEAN_DIVISOR;
    }

    /// Returns a duration that many responses do not reach.
    pub fn low(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s - self.deviation_s).max(0.0))
    }

    /// Returns a duration that few responses exceed.
    pub fn high(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + HIGH_DEVIATIONS * self.deviation_s)
    }
}

/// Durations of the responses of all routes.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    by_route: Mutex<HashMap<String, ResponseTime>>,
}

impl ResponseTimes {
    /// Adds the duration of a response, or of a request that had none until its deadline.
    pub fn record(&self, route: &Route, duration: Duration) {
        let mut by_route = self.by_route.lock();
        match by_route.get_mut(&route.name) {
            Some(time) => time.add(duration),
            None => {
                by_route.insert(route.name.clone(), ResponseTime::first(duration));
            }
        }
    }

    /// Returns the usual duration of the responses of a route, if any is known.
    pub fn of(&self, route: &Route) -> Option<ResponseTime> {
        self.by_route.lock().get(&route.name).copied()
    }

    /// Forgets the routes that a table does not have.
    pub fn retain_routes(&self, table: &RouteTable) {
        let names: HashSet<&str> = table.routes().map(|route| route.name.as_str()).collect();
        self.by_route.lock().retain(|name, _| names.contains(name.as_str()));
    }
}
