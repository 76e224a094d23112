//! Round trips of compressed documents, and errors on corrupt data.

use calicohoist_ledger::compression::{CompressedBytes, DecompressionError};
use calicohoist_wire::{decode, encode};
use proptest::collection::vec;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(36), ..ProptestConfig::default() })]

    #[test]
    fn decompression_restores_the_original(bytes in vec(any::<u8>(), 0..4_000)) {
        let sent = encode(&CompressedBytes::compress(&bytes)).expect("encode");
        let received: CompressedBytes = decode(&sent).expect("decode");
        prop_assert_eq!(received.decompress().expect("valid data"), bytes);
    }

    #[test]
    fn corrupt_data_never_exceeds_the_size_limit(bytes in vec(any::<u8>(), 0..200)) {
        let compressed: CompressedBytes = decode(&encode(&bytes).expect("encode")).expect("decode");
        if let Ok(decompressed) = compressed.decompress() {
            prop_assert!(decompressed.len() <= calicohoist_wire::MAX_FRAME_BYTES);
        }
    }
}

/// The declared size is checked before memory is allocated.
#[test]
fn a_size_above_the_frame_limit_is_rejected() {
    let forged = encode(&vec![0xff_u8, 0xff, 0xff, 0xff, 0]).expect("encode");
    let compressed: CompressedBytes = decode(&forged).expect("decode");
    assert!(matches!(compressed.decompress(), Err(DecompressionError::TooLarge(_))));
}

#[test]
fn similar_routes_are_compressed_to_less_than_a_fifth() {
    let routes = (0..2_000).map(|number| {
        format!(
            "{{\"name\":\"r-{number:x}\",\"kind\":\"stream\",\"timeout_ms\":4000,\"priority\":1}}"
        )
    });
    let document = routes.collect::<String>().into_bytes();
    let sent = encode(&CompressedBytes::compress(&document)).expect("encode");
    assert!(sent.len() * 5 < document.len(), "{} of {} bytes", sent.len(), document.len());
}
