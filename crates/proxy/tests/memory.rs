//! Memory limit for buffered bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_proxy::memory::{MemoryBudget, MemoryClass, MemoryReservation, TURN_DURATION};
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
    assert!(response.try_grow_to(1_000));
    let short = budget.try_reserve(MemoryClass::Response, 25).expect("a quarter is left");
    drop((response, short));
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn only_response_reservations_grow_beyond_their_share() {
    let budget = MemoryBudget::with_limit(100);
    let mut body = budget.try_reserve(MemoryClass::RequestBody, 20).expect("within its share");
    assert!(!body.try_grow_to(30));
    assert!(body.try_grow_to(25));
    let mut response = budget.try_reserve(MemoryClass::Response, 20).expect("within its share");
    assert!(response.try_grow_to(400));
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

/// Otherwise many responses whose length is not announced use any amount of memory.
#[tokio::test]
async fn second_response_that_exceeds_the_limit_waits_for_the_first() {
    let budget = MemoryBudget::with_limit(100);
    let mut first = budget.try_reserve(MemoryClass::Response, 5).expect("nothing else");
    let mut second = budget.try_reserve(MemoryClass::Response, 5).expect("within its share");
    assert!(first.try_grow_to(1_000), "one may exceed the limit");
    assert!(!second.try_grow_to(1_000));
    assert_eq!(budget.reserved(), 1_005);
    let first = first.attach_to(Bytes::new());
    assert!(!second.try_grow_to(1_000), "the first one is not delivered yet");
    let mut waiting = std::pin::pin!(second.grow_to(1_000));
    assert!(tokio::time::timeout(Duration::from_millis(20), &mut waiting).await.is_err());
    drop(first);
    let grown = tokio::time::timeout(TEST_TIMEOUT, waiting).await.expect("memory was released");
    assert_eq!(grown, Ok(()));
}

/// Otherwise a response that trickles keeps the memory from all others.
#[tokio::test(start_paused = true)]
async fn response_beyond_the_limit_gives_way_to_one_that_waits() {
    let budget = MemoryBudget::with_limit(100);
    let mut first = budget.try_reserve(MemoryClass::Response, 5).expect("nothing else");
    let mut second = budget.try_reserve(MemoryClass::Response, 5).expect("within its share");
    first.grow_to(1_000).await.expect("one may exceed the limit");
    let alone = tokio::time::timeout(TURN_DURATION * 10, first.revoked()).await;
    assert!(alone.is_err(), "nothing waits");
    let give_way = async move {
        first.revoked().await;
        drop(first);
    };
    let (grown, ()) = tokio::join!(second.grow_to(1_000), give_way);
    assert_eq!(grown, Ok(()));
    assert_eq!(budget.reserved(), 1_000);
}

/// Announced responses that wait have the same right to memory as growing ones.
#[tokio::test(start_paused = true)]
async fn response_beyond_the_limit_gives_way_to_an_announced_one() {
    let budget = MemoryBudget::with_limit(100);
    let waiting = tokio::spawn({
        let budget = Arc::clone(&budget);
        async move { budget.reserve_response(40).await }
    });
    let mut growing = budget.try_reserve(MemoryClass::Response, 5).expect("nothing else");
    growing.grow_to(1_000).await.expect("one may exceed the limit");
    growing.revoked().await;
    drop(growing);
    let announced = waiting.await.expect("task failed");
    assert_eq!(budget.reserved(), announced.bytes());
}

/// A growing response that was read completely is owed to its client.
#[tokio::test(start_paused = true)]
async fn complete_response_beyond_the_limit_is_kept() {
    let budget = MemoryBudget::with_limit(100);
    let mut first = budget.try_reserve(MemoryClass::Response, 5).expect("nothing else");
    let mut second = budget.try_reserve(MemoryClass::Response, 5).expect("within its share");
    assert!(first.try_grow_to(1_000));
    let first = first.attach_to(Bytes::from_static(b"complete"));
    let waiting = tokio::time::timeout(TURN_DURATION * 10, second.grow_to(1_000)).await;
    assert!(waiting.is_err(), "nothing is delivered");
    assert_eq!(first, Bytes::from_static(b"complete"));
}

/// Otherwise a stream whose caller reads nothing goes beyond the limit by any number of events.
#[test]
fn complete_parts_exceed_the_limit_once() {
    let budget = MemoryBudget::with_limit(100);
    let mut stream = budget.reserve_nothing();
    let first = stream.try_reserve_beside(1_000).expect("one may exceed the limit");
    assert!(stream.try_reserve_beside(1_000).is_none());
    assert!(!stream.try_grow_to(1_000), "the first part is not delivered yet");
    drop(first);
    assert!(stream.try_grow_to(1_000));
    stream.shrink_to(10);
    assert_eq!(budget.reserved(), 10);
}

/// Limit in the tests of sequences, in bytes.
const LIMIT: usize = 8 << 20;
/// Maximum size of a response in the tests of sequences, above the share of large ones.
const MAX_RESPONSE_BYTES: usize = 6 << 20;

/// Maximum size of a complete part of a response.
const MAX_PART_BYTES: usize = 1 << 20;

/// Operation on a budget; an index selects one of the present reservations.
#[derive(Clone, Debug)]
enum Operation {
    ReserveBody(usize),
    ReserveResponse(usize),
    Grow {
        index: usize,
        bytes: usize,
    },
    /// Reserves memory for a complete part of a response, such as an event.
    CompletePart {
        index: usize,
        bytes: usize,
    },
    Complete(usize),
    Drop(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    let index = 0..1_000_usize;
    prop_oneof![
        (0..LIMIT / 4).prop_map(Operation::ReserveBody),
        (0..MAX_RESPONSE_BYTES / 64).prop_map(Operation::ReserveResponse),
        (0..MAX_RESPONSE_BYTES).prop_map(Operation::ReserveResponse),
        (index.clone(), 0..MAX_RESPONSE_BYTES)
            .prop_map(|(index, bytes)| Operation::Grow { index, bytes }),
        (index.clone(), 0..MAX_PART_BYTES)
            .prop_map(|(index, bytes)| Operation::CompletePart { index, bytes }),
        index.clone().prop_map(Operation::Complete),
        index.prop_map(Operation::Drop),
    ]
}

/// Reservations of a sequence of operations.
struct Reservations {
    budget: Arc<MemoryBudget>,
    bodies: Vec<MemoryReservation>,
    reading: Vec<MemoryReservation>,
    complete: Vec<Bytes>,
}

impl Reservations {
    fn new() -> Self {
        let budget = MemoryBudget::with_limit(LIMIT);
        Self { budget, bodies: Vec::new(), reading: Vec::new(), complete: Vec::new() }
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::ReserveBody(bytes) => {
                self.bodies.extend(self.budget.try_reserve(MemoryClass::RequestBody, bytes));
            }
            Operation::ReserveResponse(bytes) => {
                let class = MemoryClass::of_response(bytes, LIMIT);
                self.reading.extend(self.budget.try_reserve(class, bytes));
            }
            Operation::Grow { index, bytes } => {
                if let Some(index) = index.checked_rem(self.reading.len()) {
                    self.reading[index].try_grow_to(bytes);
                }
            }
            Operation::CompletePart { index, bytes } => {
                if let Some(index) = index.checked_rem(self.reading.len())
                    && let Some(part) = self.reading[index].try_reserve_beside(bytes)
                {
                    self.complete.push(part.attach_to(Bytes::new()));
                }
            }
            Operation::Complete(index) => {
                if let Some(index) = index.checked_rem(self.reading.len()) {
                    let reservation = self.reading.swap_remove(index);
                    self.complete.push(reservation.attach_to(Bytes::new()));
                }
            }
            Operation::Drop(index) => {
                if let Some(index) = index.checked_rem(self.complete.len()) {
                    drop(self.complete.swap_remove(index));
                }
                if let Some(index) = index.checked_rem(self.bodies.len()) {
                    drop(self.bodies.swap_remove(index));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(80),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The limit is exceeded by one response and a part of it at most.
    #[test]
    fn growing_responses_stay_within_the_limit_plus_one_response(
        operations in prop::collection::vec(operation(), 1..200),
    ) {
        let mut reservations = Reservations::new();
        for operation in operations {
            reservations.apply(operation);
            let max_reserved = LIMIT + MAX_RESPONSE_BYTES + MAX_PART_BYTES;
            prop_assert!(reservations.budget.reserved() <= max_reserved);
        }
        let budget = Arc::clone(&reservations.budget);
        drop(reservations);
        prop_assert_eq!(budget.reserved(), 0);
    }

    /// Responses that are being read never all wait for each other.
    #[test]
    fn one_of_the_growing_responses_makes_progress(
        operations in prop::collection::vec(operation(), 1..200),
    ) {
        let mut reservations = Reservations::new();
        for operation in operations {
            reservations.apply(operation);
        }
        reservations.complete.clear();
        let mut reading = std::mem::take(&mut reservations.reading);
        while !reading.is_empty() {
            let growing =
                reading.iter_mut().position(|response| response.try_grow_to(MAX_RESPONSE_BYTES));
            prop_assert!(growing.is_some(), "all of {} wait", reading.len());
            growing.map(|index| reading.swap_remove(index));
        }
    }
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
