//! Calls whose responses never end.

use crate::load::run_calls;
use crate::support::EndlessKind;

#[test]
fn requests_are_served_beside_interim_responses_without_end() {
    run_calls(&[EndlessKind::InterimResponses, EndlessKind::EarlyHints], 12);
}

#[test]
fn requests_are_served_beside_heads_without_end() {
    run_calls(&[EndlessKind::HeaderLines, EndlessKind::HeaderValue, EndlessKind::TrickledHead], 40);
}

#[test]
fn requests_are_served_beside_bodies_without_end() {
    run_calls(&[EndlessKind::ChunkedBody, EndlessKind::UnframedBody], 40);
}

#[test]
fn requests_are_served_beside_bodies_that_trickle_or_have_endless_framing() {
    run_calls(&[EndlessKind::TrickledBody, EndlessKind::ChunkExtension, EndlessKind::Trailers], 40);
}

#[test]
fn requests_are_served_beside_events_without_end() {
    run_calls(&[EndlessKind::EventLine, EndlessKind::EventLines], 40);
}

#[test]
fn requests_are_served_beside_streams_without_end() {
    run_calls(&[EndlessKind::Events], 12);
}

#[test]
fn requests_are_served_beside_heads_without_a_line_end() {
    run_calls(&[EndlessKind::StatusLine, EndlessKind::TrickledStatusLine], 40);
}

#[test]
fn requests_are_served_beside_framing_that_trickles() {
    run_calls(&[EndlessKind::TrickledChunkExtension, EndlessKind::TrickledTrailers], 40);
}

#[test]
fn requests_are_served_beside_compressed_bodies_without_end() {
    run_calls(&[EndlessKind::GzipBody], 40);
}

#[test]
fn requests_are_served_beside_bytes_without_end_after_responses() {
    run_calls(&[EndlessKind::AfterResponse], 40);
}

#[test]
fn requests_are_served_beside_bodies_in_tiny_pieces() {
    run_calls(&[EndlessKind::TinyChunks], 12);
}
