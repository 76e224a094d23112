//! Peers that send a frame slowly, or no frame at all.

use std::time::Duration;

use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{FrameReader, ProtocolVersion, VersionRange, encode_frame};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::time::{sleep, timeout};

const BUFFER_BYTES: usize = 1 << 20;
const PERIOD: Duration = Duration::from_secs(1);
/// Longer than any peer that makes no progress may hold a connection.
const HOUR: Duration = Duration::from_secs(3_600);
const VERSIONS: VersionRange =
    VersionRange { oldest: ProtocolVersion::new(1), newest: ProtocolVersion::new(2) };

/// Sends `frame` in chunks of `chunk_bytes`, one a second.
async fn send_slowly(mut output: DuplexStream, frame: Vec<u8>, chunk_bytes: usize) {
    for chunk in frame.chunks(chunk_bytes) {
        if output.write_all(chunk).await.is_err() {
            return;
        }
        sleep(PERIOD).await;
    }
    // The connection stays open.
    std::future::pending().await
}

/// Reads a message of `bytes` bytes that is sent in chunks of `chunk_bytes`, one a second.
async fn read_slowly(bytes: usize, chunk_bytes: usize) -> Result<Vec<u8>, String> {
    let (output, input) = tokio::io::duplex(BUFFER_BYTES);
    let frame = encode_frame(&vec![7_u8; bytes]).expect("encodes");
    tokio::spawn(send_slowly(output, frame, chunk_bytes));
    let mut frames = FrameReader::new(input);
    let read = timeout(HOUR, frames.next()).await.expect("the reader is held for ever");
    read.map_err(|error| error.to_string())
}

#[tokio::test(start_paused = true)]
async fn frame_that_trickles_does_not_hold_its_reader() {
    let refused = read_slowly(100_000, 1).await;
    assert_eq!(refused, Err("frame arrives too slowly".to_owned()));
}

#[tokio::test(start_paused = true)]
async fn header_that_trickles_does_not_hold_its_reader() {
    let (mut output, input) = tokio::io::duplex(BUFFER_BYTES);
    output.write_all(&[1, 0]).await.expect("sent");
    let mut frames = FrameReader::new(input);
    let read = timeout(HOUR, frames.next::<u32>()).await;
    assert!(read.expect("the reader is held for ever").is_err());
}

#[tokio::test(start_paused = true)]
async fn large_frame_on_a_slow_link_is_read() {
    let read = read_slowly(4 << 20, 32 << 10).await;
    assert_eq!(read.map(|message| message.len()), Ok(4 << 20));
}

#[tokio::test(start_paused = true)]
async fn small_frame_on_a_very_slow_link_is_read() {
    let read = read_slowly(1_000, 200).await;
    assert_eq!(read.map(|message| message.len()), Ok(1_000));
}

/// Connections are silent between two frames for as long as there is nothing to send.
#[tokio::test(start_paused = true)]
async fn silence_between_two_frames_is_not_limited() {
    let (mut output, input) = tokio::io::duplex(BUFFER_BYTES);
    let frame = encode_frame(&7_u32).expect("encodes");
    tokio::spawn(async move {
        for _ in 0..2 {
            output.write_all(&frame).await.expect("sent");
            sleep(HOUR).await;
        }
    });
    let mut frames = FrameReader::new(input);
    for _ in 0..2 {
        assert_eq!(frames.next::<u32>().await.expect("a frame"), 7);
    }
}

#[tokio::test(start_paused = true)]
async fn peer_that_never_begins_does_not_hold_its_connection() {
    let (_output, input) = tokio::io::duplex(BUFFER_BYTES);
    let mut frames = FrameReader::new(input);
    let mut replies = tokio::io::sink();
    let accepted = timeout(HOUR, accept_offer(&mut frames, &mut replies, VERSIONS)).await;
    assert!(accepted.expect("the connection is held for ever").is_err());
}
