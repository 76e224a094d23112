//! A gateway knows for how long a request may have waited while it stood still, in virtual time.

use std::time::{Duration, Instant};

use calicohoist_proxy::pauses::{BEAT_INTERVAL, CATCH_UP_TIME, MAX_BEAT_GAP, PauseDetector};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A gateway that beats while it runs.
struct Gateway {
    now: Instant,
    detector: PauseDetector,
}

impl Gateway {
    fn new() -> Self {
        let now = Instant::now();
        Self { now, detector: PauseDetector::new(now) }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + BEAT_INTERVAL).min(until);
            self.detector.beat(self.now);
        }
    }

    fn stand_still(&mut self, time: Duration) {
        self.now += time;
    }

    /// Returns the time for which a request that is read now may have waited.
    fn waiting_time(&mut self) -> Duration {
        self.now - self.detector.waiting_since(self.now, self.now)
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn request_that_is_read_first_after_a_pause_may_have_waited_through_it() {
    let mut gateway = Gateway::new();
    gateway.run(ms(5_000));
    gateway.stand_still(ms(20_000));
    // The next beat comes later.
    assert_eq!(gateway.waiting_time(), ms(20_000));
    gateway.run(ms(900));
    assert_eq!(gateway.waiting_time(), ms(20_900));
    gateway.run(CATCH_UP_TIME);
    assert_eq!(gateway.waiting_time(), Duration::ZERO);
}

#[test]
fn gateway_that_runs_hardly_between_two_pauses_has_not_read_what_arrived_in_the_first() {
    let mut gateway = Gateway::new();
    gateway.stand_still(ms(10_000));
    gateway.run(ms(50));
    gateway.stand_still(ms(5_000));
    gateway.run(ms(50));
    assert_eq!(gateway.waiting_time(), ms(15_100));
}

/// A pause that begins while a request is served is not one in which it waited, but its time passes.
#[test]
fn request_that_was_read_before_a_pause_counts_from_then() {
    let mut gateway = Gateway::new();
    gateway.run(ms(5_000));
    let read_at = gateway.now;
    gateway.run(ms(500));
    gateway.stand_still(ms(10_000));
    assert_eq!(gateway.detector.waiting_since(read_at, gateway.now), read_at);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(98),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Requests are read once the gateway has run for up to `backlog` since they arrived.
    #[test]
    fn no_request_has_waited_for_longer_than_its_gateway_knows(
        spans in proptest::collection::vec((1..4_000u64, 0..12_000u64), 1..12),
        backlog in 0..1_000u64,
    ) {
        let mut gateway = Gateway::new();
        for (run, pause) in spans {
            gateway.run(ms(run));
            // Sent at the beginning of the pause, which is the longest wait.
            let sent_at = gateway.now;
            gateway.stand_still(ms(pause));
            gateway.run(ms(backlog));
            let waited = gateway.now - sent_at - ms(backlog);
            prop_assert!(gateway.waiting_time() + MAX_BEAT_GAP >= waited);
            gateway.run(CATCH_UP_TIME);
            prop_assert_eq!(gateway.waiting_time(), Duration::ZERO);
        }
    }
}
