//! Load estimates of replicas, as seen by one of many gateways.
//!
//! Load reports about other gateways are older than a typical request. If they were taken at face
//! value, all gateways would send to the replica that was idle at the time of the report. Reports
//! are therefore averaged.

use std::time::Duration;

/// Time constant of the moving average: a few reports, and much longer than a request.
const AVERAGING_TIME: Duration = Duration::from_millis(1_000);

/// Moving average of the number of requests that other gateways run at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLoad(f64);

impl MeanLoad {
    /// Returns the average after another report, which arrived `since` after the previous one. The
    /// first report is used unchanged.
    #[must_use]
    pub fn updated(self, load: u32, since: Option<Duration>) -> Self {
        let load = f64::from(load);
        let Some(since) = since else {
            return Self(load);
        };
        let decay = (-since.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        Self(load + (self.0 - load) * decay)
    }

    /// Returns the average number of requests.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// Returns the expected number of requests that have to complete before another one gets a slot.
///
/// The `own` requests of this gateway are known exactly. Those of other gateways are modelled as a
/// Poisson distribution with the given mean.
pub fn expected_queue_length(own: u32, other_load: MeanLoad, slots: u32) -> f64 {
    let mean = other_load.get();
    let free = slots.max(1).saturating_sub(own);
    if free == 0 {
        return f64::from(own + 1 - slots.max(1)) + mean;
    }
    // With `n` requests of other gateways, `max(n + 1 - free, 0)` are ahead. The expectation is
    // that of `n + 1 - free`, plus the expectation of its negative part.
    let free_for_others = free - 1;
    let mut probability = (-mean).exp();
    let mut negative_part = 0.0;
    for count in 0..free_for_others {
        negative_part += f64::from(free_for_others - count) * probability;
        probability *= mean / f64::from(count + 1);
    }
    (mean - f64::from(free_for_others) + negative_part).max(0.0)
}
