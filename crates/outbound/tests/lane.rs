//! Limits and pacing of one connection, with simulated time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_outbound::lane::MAX_HEAD_BYTES;
use calicohoist_outbound::{HeadTooLong, ReadLane, ReadPacer, ReadShare};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LARGE: usize = 1 << 20;

fn pacer(percent: u32) -> Arc<ReadPacer> {
    ReadPacer::new(ReadShare::from_percent(percent).expect("a valid share"))
}

/// Reads until the lane refuses another read; returns the number of bytes.
fn read_head(lane: &ReadLane, bytes_per_read: usize) -> usize {
    let now = Instant::now();
    let mut total = 0;
    while let Ok(limit) = lane.read_limit() {
        let bytes = limit.min(bytes_per_read);
        lane.record_read(bytes, now);
        total += bytes;
    }
    total
}

#[test]
fn endless_head_is_refused_at_its_limit() {
    let lane = ReadLane::new(&pacer(25));
    assert_eq!(read_head(&lane, usize::MAX), MAX_HEAD_BYTES);
    assert_eq!(lane.read_limit(), Err(HeadTooLong));
}

#[test]
fn head_in_single_bytes_is_refused_after_a_thousand_reads() {
    let lane = ReadLane::new(&pacer(25));
    assert!(read_head(&lane, 1) <= 1_024);
}

#[test]
fn limit_of_a_head_does_not_apply_to_its_body_or_the_next_response() {
    let lane = ReadLane::new(&pacer(25));
    lane.record_read(MAX_HEAD_BYTES, Instant::now());
    lane.end_head();
    assert!(lane.read_limit().is_ok());
    lane.end_response();
    assert_eq!(lane.read_limit(), Ok(MAX_HEAD_BYTES));
}

#[test]
fn small_response_is_never_paused() {
    let lane = ReadLane::new(&pacer(1));
    let now = Instant::now();
    lane.end_head();
    lane.record_read(8_192, now);
    lane.charge(Duration::from_secs(5), now);
    assert_eq!(lane.pause_until(now), None);
}

#[test]
fn long_stream_that_arrives_slowly_is_never_paused() {
    const EVENT_BYTES: usize = 256;
    let pacer = pacer(1);
    let lane = ReadLane::new(&pacer);
    let mut now = Instant::now();
    lane.end_head();
    for _ in 0..10_000 {
        lane.record_read(EVENT_BYTES, now);
        lane.charge(Duration::from_millis(1), now);
        assert_eq!(lane.pause_until(now), None);
        now += Duration::from_millis(10);
    }
    assert_eq!(pacer.large_responses(), 0);
}

/// A stream of tokens, each in an event and a segment of its own.
#[test]
fn stream_of_small_events_is_never_paused() {
    const EVENTS_PER_SECOND: u32 = 200;
    let pacer = pacer(1);
    let lane = ReadLane::new(&pacer);
    let mut now = Instant::now();
    lane.end_head();
    for _ in 0..10 * EVENTS_PER_SECOND {
        lane.record_read(1, now);
        lane.charge(Duration::from_millis(1), now);
        assert_eq!(lane.pause_until(now), None);
        now += Duration::from_secs(1) / EVENTS_PER_SECOND;
    }
}

/// Each read costs time outside of what is charged.
#[test]
fn large_response_in_tiny_reads_is_read_a_few_hundred_times_a_second() {
    const DURATION: Duration = Duration::from_secs(10);
    const MAX_READS_PER_SECOND: u64 = 260;
    /// Until the response is large.
    const FIRST_READS: u64 = 300;
    let lane = ReadLane::new(&pacer(100));
    let start = Instant::now();
    let (mut now, mut reads) = (start, 0);
    lane.end_head();
    while now < start + DURATION {
        lane.record_read(1, now);
        reads += 1;
        now = lane.pause_until(now).unwrap_or(now) + Duration::from_micros(20);
    }
    assert!(reads <= FIRST_READS + MAX_READS_PER_SECOND * DURATION.as_secs(), "{reads}");
}

#[test]
fn large_response_in_large_reads_does_not_rest() {
    let lane = ReadLane::new(&pacer(25));
    let now = Instant::now();
    lane.end_head();
    for _ in 0..100 {
        lane.record_read(16 << 10, now);
        assert_eq!(lane.pause_until(now), None);
    }
}

#[test]
fn stream_that_slows_down_is_no_longer_large() {
    let pacer = pacer(25);
    let lane = ReadLane::new(&pacer);
    let now = Instant::now();
    lane.end_head();
    lane.record_read(LARGE, now);
    assert!(lane.is_large());
    lane.record_read(1, now + Duration::from_secs(60));
    assert!(!lane.is_large());
    assert_eq!(pacer.large_responses(), 0);
}

#[test]
fn finished_and_dropped_responses_leave_the_share_to_others() {
    let pacer = pacer(25);
    let lanes = [ReadLane::new(&pacer), ReadLane::new(&pacer)];
    for lane in &lanes {
        lane.end_head();
        lane.record_read(LARGE, Instant::now());
    }
    assert_eq!(pacer.large_responses(), 2);
    lanes[0].end_response();
    assert_eq!(pacer.large_responses(), 1);
    drop(lanes);
    assert_eq!(pacer.large_responses(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(80),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// All large responses together take no more than the share, apart from the lead that each
    /// connection may have.
    #[test]
    fn large_responses_share_the_processor_time(
        percent in 1u32..=100,
        costs in prop::collection::vec(10u64..5_000, 1..40),
    ) {
        const DURATION: Duration = Duration::from_secs(20);
        const LEAD: Duration = Duration::from_millis(10);
        let pacer = pacer(percent);
        let start = Instant::now();
        let lanes: Vec<ReadLane> = costs.iter().map(|_| ReadLane::new(&pacer)).collect();
        for lane in &lanes {
            lane.end_head();
            lane.record_read(LARGE, start);
        }
        let mut spent = Duration::ZERO;
        let mut now = start;
        while now < start + DURATION {
            let mut is_idle = true;
            for (lane, micros) in lanes.iter().zip(&costs) {
                if lane.pause_until(now).is_some() {
                    continue;
                }
                let cost = Duration::from_micros(*micros);
                now += cost;
                spent += cost;
                lane.charge(cost, now);
                is_idle = false;
            }
            if is_idle {
                now = lanes.iter().filter_map(|lane| lane.pause_until(now)).min().unwrap_or(now);
            }
        }
        let last_polls: Duration = costs.iter().map(|micros| Duration::from_micros(*micros)).sum();
        let allowed = (now - start) * percent / 100 + LEAD + last_polls;
        prop_assert!(spent <= allowed, "{spent:?} instead of {allowed:?}");
    }
}
