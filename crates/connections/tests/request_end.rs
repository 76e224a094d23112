//! A request behind another one is noticed, however the bytes of both are split.

use calicohoist_connections::request_end::{RequestEnd, Surplus};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn request(path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("POST /{path} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Pushes `bytes` in parts that end at the given places.
fn push_split(end: &mut RequestEnd, bytes: &[u8], splits: &[usize]) {
    let mut ends: Vec<usize> = splits.iter().map(|split| split % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut start = 0;
    for part_end in ends {
        end.push(&bytes[start..part_end]);
        start = part_end;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(74),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn surplus_is_possible_only_behind_the_end(
        path in "[a-z\\r\\n]{0,20}",
        body in vec(any::<u8>(), 0..100),
        behind in vec(any::<u8>(), 0..20),
        splits in vec(any::<usize>(), 0..6),
    ) {
        prop_assume!(!path.contains("\r\n\r\n"));
        let mut bytes = request(&path, &body);
        bytes.extend_from_slice(&behind);
        let mut end = RequestEnd::default();
        push_split(&mut end, &bytes, &splits);
        let expected = if behind.is_empty() { Surplus::None } else { Surplus::Possible };
        prop_assert_eq!(end.surplus(Some(body.len() as u64)), expected);
        prop_assert_eq!(end.surplus(None), Surplus::Possible);
    }

    #[test]
    fn requests_in_turn_have_no_surplus(bodies in vec(vec(any::<u8>(), 0..50), 1..5)) {
        let mut end = RequestEnd::default();
        for body in bodies {
            end.push(&request("a", &body));
            let surplus = end.surplus(Some(body.len() as u64));
            prop_assert_eq!(surplus, Surplus::None);
            end.begin_next(surplus);
        }
    }

    #[test]
    fn request_that_began_among_the_bytes_of_another_one_may_have_surplus(
        second in vec(any::<u8>(), 1..50),
        third in vec(any::<u8>(), 0..50),
    ) {
        let mut end = RequestEnd::default();
        end.push(&[request("a", b""), second].concat());
        end.begin_next(end.surplus(Some(0)));
        end.push(&third);
        prop_assert_eq!(end.surplus(Some(0)), Surplus::Possible);
    }
}
