//! Connections that share the memory of their incoming frames.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use calicohoist_transport::{FrameError, FrameMemory, FrameReader, encode_frame};
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const LIMIT: usize = 4 * MIB;
const BUFFER_BYTES: usize = 64 * KIB;
const HOUR: Duration = Duration::from_secs(3_600);
const FAULTY: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const SOUND: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

type Outcome = Result<Vec<u8>, FrameError>;

/// Starts to read one frame.
fn read(memory: &FrameMemory, peer: IpAddr) -> (DuplexStream, JoinHandle<Outcome>) {
    let (output, input) = tokio::io::duplex(BUFFER_BYTES);
    let mut frames = FrameReader::with_memory(input, memory, peer);
    (output, tokio::spawn(async move { frames.next().await }))
}

/// Sends the start of a frame, and then nothing while the connection is open.
async fn send_start(mut output: DuplexStream, bytes: usize) {
    let frame = encode_frame(&vec![7_u8; 8 * MIB]).expect("encodes");
    if output.write_all(&frame[..bytes]).await.is_ok() {
        sleep(HOUR).await;
    }
}

/// Sends a whole frame as fast as it is read.
async fn send_whole(mut output: DuplexStream, bytes: usize) {
    let frame = encode_frame(&vec![7_u8; bytes]).expect("encodes");
    // Fails if the frame gives way to others.
    let _ = output.write_all(&frame).await;
}

#[tokio::test(start_paused = true)]
async fn frames_that_stay_incomplete_hold_no_more_than_the_limit() {
    let memory = FrameMemory::new(LIMIT);
    let mut readers = Vec::new();
    for _ in 0..100 {
        let (output, reader) = read(&memory, FAULTY);
        tokio::spawn(send_start(output, MIB));
        readers.push(reader);
    }
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
        assert!(memory.held_bytes() <= LIMIT, "{} bytes", memory.held_bytes());
    }
    for reader in readers {
        let read = timeout(HOUR, reader).await.expect("the reader is held for ever");
        assert!(read.expect("no panic").is_err());
    }
    assert_eq!(memory.held_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn frames_of_a_sound_peer_arrive_beside_those_that_stay_incomplete() {
    let memory = FrameMemory::new(LIMIT);
    for _ in 0..100 {
        let (output, _) = read(&memory, FAULTY);
        tokio::spawn(send_start(output, 200 * KIB));
    }
    for bytes in [100 * KIB, 256 * KIB, MIB, 3 * MIB, 6 * MIB] {
        let (output, reader) = read(&memory, SOUND);
        tokio::spawn(send_whole(output, bytes));
        let read = timeout(HOUR, reader).await.expect("the frame waits for ever");
        assert_eq!(read.expect("no panic").expect("a frame").len(), bytes);
    }
}

#[tokio::test(start_paused = true)]
async fn connection_holds_nothing_after_a_large_frame() {
    let memory = FrameMemory::new(LIMIT);
    let (mut output, input) = tokio::io::duplex(BUFFER_BYTES);
    let mut frames = FrameReader::with_memory(input, &memory, SOUND);
    let sent = tokio::spawn(async move {
        for bytes in [6 * MIB, 10, 3 * MIB, 10] {
            let frame = encode_frame(&vec![7_u8; bytes]).expect("encodes");
            output.write_all(&frame).await.expect("sent");
        }
        output
    });
    for bytes in [6 * MIB, 10, 3 * MIB, 10] {
        assert_eq!(frames.next::<Vec<u8>>().await.expect("a frame").len(), bytes);
    }
    assert_eq!(memory.held_bytes(), 0);
    drop(sent.await);
}

/// Frames that are each smaller than a share, and together larger than the limit.
#[tokio::test(start_paused = true)]
async fn frames_side_by_side_arrive_after_repetition() {
    let memory = FrameMemory::new(LIMIT);
    let sends = (0..20).map(|_| {
        let memory = memory.clone();
        tokio::spawn(async move {
            loop {
                let (output, reader) = read(&memory, SOUND);
                tokio::spawn(send_whole(output, MIB));
                match reader.await.expect("no panic") {
                    Ok(message) => return message.len(),
                    Err(error) => assert!(matches!(error, FrameError::NoMemory), "{error}"),
                }
                sleep(Duration::from_millis(50)).await;
            }
        })
    });
    for send in sends.collect::<Vec<_>>() {
        let sent = timeout(HOUR, send).await.expect("the frame never arrives");
        assert_eq!(sent.expect("no panic"), MIB);
    }
}
