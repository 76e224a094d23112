//! Packed documents become what they were, and damage is told.

use calicohoist_ledger::packed::{PackedBytes, UnpackError};
use calicohoist_wire::{decode, encode};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(36), ..ProptestConfig::default() })]

    #[test]
    fn what_was_packed_comes_out(bytes in vec(any::<u8>(), 0..4_000)) {
        let sent = encode(&PackedBytes::pack(&bytes)).expect("encodes");
        let received: PackedBytes = decode(&sent).expect("decodes");
        prop_assert_eq!(received.unpack().expect("whole"), bytes);
    }

    #[test]
    fn damaged_bytes_are_refused_or_short(bytes in vec(any::<u8>(), 0..200)) {
        let packed: PackedBytes = decode(&encode(&bytes).expect("encodes")).expect("decodes");
        if let Ok(unpacked) = packed.unpack() {
            prop_assert!(unpacked.len() <= calicohoist_wire::MAX_FRAME_BYTES);
        }
    }
}

/// The length comes first: nothing is set aside for one that no frame may have.
#[test]
fn a_length_beyond_a_frame_is_refused() {
    let forged = encode(&vec![0xff_u8, 0xff, 0xff, 0xff, 0]).expect("encodes");
    let packed: PackedBytes = decode(&forged).expect("decodes");
    assert!(matches!(packed.unpack(), Err(UnpackError::TooLong(_))));
}

#[test]
fn routes_that_are_alike_take_less_than_a_fifth() {
    let routes = (0..2_000).map(|number| {
        format!(
            "{{\"name\":\"r-{number:x}\",\"kind\":\"stream\",\"timeout_ms\":4000,\"priority\":1}}"
        )
    });
    let document = routes.collect::<String>().into_bytes();
    let sent = encode(&PackedBytes::pack(&document)).expect("encodes");
    assert!(sent.len() * 5 < document.len(), "{} of {} bytes", sent.len(), document.len());
}
