//! Memory limit for buffered bodies.

use std::time::Duration;

use bytes::Bytes;
use calicohoist_proxy::memory::{MemoryBudget, MemoryClass};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Timeout that is reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn classes_have_separate_shares() {
    let budget = MemoryBudget::with_limit(100);
    let body = budget.try_reserve(MemoryClass::RequestBody, 25).expect("within its share");
    assert!(budget.try_reserve(MemoryClass::RequestBody, 1).is_none());
    let large = budget.try_reserve(MemoryClass::LargeResponse, 50).expect("within its share");
    assert!(budget.try_reserve(MemoryClass::LargeResponse, 1).is_none());
    let short = budget.try_reserve(MemoryClass::Response, 25).expect("within its share");
    assert!(budget.try_reserve(MemoryClass::Response, 1).is_none());
    assert_eq!(budget.reserved(), 100);
    drop((body, large, short));
    assert_eq!(budget.reserved(), 0);
}

/// A reservation larger than its share could never succeed otherwise.
#[test]
fn a_single_reservation_may_exceed_its_share() {
    let budget = MemoryBudget::with_limit(100);
    let large =
        budget.try_reserve(MemoryClass::LargeResponse, 1_000).expect("nothing else is reserved");
    assert!(budget.try_reserve(MemoryClass::LargeResponse, 1).is_none());
    assert!(budget.try_reserve(MemoryClass::RequestBody, 0).is_some(), "empty request body");
    drop(large);
}

/// Otherwise one slow reader of a large response holds up all small ones.
#[test]
fn large_response_beyond_its_share_leaves_room_for_small_ones() {
    let budget = MemoryBudget::with_limit(100);
    let large = budget.try_reserve(MemoryClass::LargeResponse, 1_000).expect("nothing else");
    let short = budget.try_reserve(MemoryClass::Response, 25).expect("a quarter is left");
    assert!(budget.try_reserve(MemoryClass::Response, 1).is_none());
    drop((large, short));
}

#[test]
fn large_response_beyond_its_share_does_not_wait_for_all_small_ones() {
    let budget = MemoryBudget::with_limit(100);
    let short = budget.try_reserve(MemoryClass::Response, 25).expect("within its share");
    assert!(budget.try_reserve(MemoryClass::LargeResponse, 1_000).is_some());
    drop(short);
}

#[test]
fn response_of_unknown_length_that_becomes_large_leaves_room_for_small_ones() {
    let budget = MemoryBudget::with_limit(100);
    let mut response = budget.try_reserve(MemoryClass::Response, 5).expect("nothing else");
    assert!(response.grow_to(1_000));
    let short = budget.try_reserve(MemoryClass::Response, 25).expect("a quarter is left");
    drop((response, short));
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn only_response_reservations_grow_beyond_their_share() {
    let budget = MemoryBudget::with_limit(100);
    let mut body = budget.try_reserve(MemoryClass::RequestBody, 20).expect("within its share");
    assert!(!body.grow_to(30));
    assert!(body.grow_to(25));
    let mut response = budget.try_reserve(MemoryClass::Response, 20).expect("within its share");
    assert!(response.grow_to(400));
    drop((body, response));
    assert_eq!(budget.reserved(), 0);
}

#[tokio::test]
async fn a_waiting_reservation_succeeds_after_a_release() {
    let budget = MemoryBudget::with_limit(100);
    let first = budget.reserve_response(40).await.attach_to(Bytes::from_static(b"first"));
    let waiting = budget.reserve_response(40);
    let mut waiting = std::pin::pin!(waiting);
    assert!(tokio::time::timeout(Duration::from_millis(20), &mut waiting).await.is_err());
    let slice = first.slice(1..2);
    drop(first);
    assert_eq!(budget.reserved(), 40, "a slice is still alive");
    drop(slice);
    let second = tokio::time::timeout(TEST_TIMEOUT, waiting).await.expect("memory was released");
    assert_eq!(budget.reserved(), 40);
    drop(second);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(58),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The limit holds in any sequence of operations except for a single reservation that is
    /// larger, and all memory is released in the end.
    #[test]
    fn reservations_never_exceed_the_limit(
        operations in prop::collection::vec((0..3usize, 0..200usize, any::<bool>()), 1..200),
    ) {
        let classes = [MemoryClass::RequestBody, MemoryClass::Response, MemoryClass::LargeResponse];
        let budget = MemoryBudget::with_limit(800);
        let mut reservations = Vec::new();
        for (class, bytes, releases) in operations {
            reservations.extend(budget.try_reserve(classes[class], bytes));
            prop_assert!(budget.reserved() <= 800);
            if releases && !reservations.is_empty() {
                reservations.swap_remove(bytes % reservations.len());
            }
        }
        drop(reservations);
        prop_assert_eq!(budget.reserved(), 0);
    }
}
