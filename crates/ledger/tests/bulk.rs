//! Large answers to many gateways at once.
//!
//! Guards against lists to all gateways that fill the link of the leader, so that its heartbeats
//! arrive too late. Load pattern: after a change, every gateway waits for the same large answer.

use std::time::Duration;

use calicohoist_ledger::server::gateways::bulk::BulkLimiter;
use tokio::time::{Instant, sleep};

/// Link of the leader, in bytes a second.
const LINK_BYTES_PER_S: f64 = 75e6;
/// Maximum delay of a heartbeat behind large answers; a quarter of the shortest election timeout.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(45);
const LONG: Duration = Duration::from_secs(60);

/// Sends an answer of `bytes` to each of `gateways` and returns the maximum number of bytes under
/// way. Each gateway takes `receive_time`.
async fn send_to_all(gateways: usize, bytes: usize, receive_time: Duration) -> usize {
    let limiter = BulkLimiter::default();
    let mut sends = Vec::new();
    for _ in 0..gateways {
        let limiter = limiter.clone();
        sends.push(tokio::spawn(async move {
            let permit = limiter.admit(bytes, LONG).await.expect("admitted in time");
            let under_way = limiter.bytes_under_way();
            let written = permit.hold_until_written();
            sleep(receive_time).await;
            drop(written);
            under_way
        }));
    }
    let mut max = 0;
    for send in sends {
        max = max.max(send.await.expect("sent"));
    }
    max
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_waits_for_few_bytes_whatever_the_number_of_gateways() {
    for gateways in [20, 200, 2_000] {
        let bytes = send_to_all(gateways, 350_000, Duration::from_millis(90)).await;
        let delay = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        assert!(delay <= MAX_HEARTBEAT_DELAY, "{delay:?} with {gateways} gateways");
    }
}

#[tokio::test(start_paused = true)]
async fn gateways_that_do_not_read_hold_up_the_others_for_a_bounded_time() {
    let limiter = BulkLimiter::default();
    let mut stuck = Vec::new();
    let started_at = Instant::now();
    for _ in 0..50 {
        let permit = limiter.admit(350_000, LONG).await.expect("admitted in time");
        stuck.push(permit.hold_until_written());
    }
    assert!(limiter.admit(350_000, LONG).await.is_some());
    assert!(started_at.elapsed() < Duration::from_secs(4), "{:?}", started_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_is_too_long_ends_without_admission() {
    let limiter = BulkLimiter::default();
    let _permit = limiter.admit(usize::MAX, LONG).await.expect("admitted");
    assert!(limiter.admit(1, Duration::from_millis(100)).await.is_none());
}

#[tokio::test(start_paused = true)]
async fn an_answer_above_the_limit_is_sent_alone() {
    let limiter = BulkLimiter::default();
    let first = limiter.admit(usize::MAX, LONG).await.expect("admitted").hold_until_written();
    assert!(limiter.admit(1, Duration::from_millis(10)).await.is_none());
    drop(first);
    assert!(limiter.admit(1, Duration::from_millis(10)).await.is_some());
}
