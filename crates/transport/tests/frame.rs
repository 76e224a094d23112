//! Shared frame fields, and the limits of the frame queues when peers do not read.

use calicohoist_transport::writer::{MAX_QUEUED_BYTES, MAX_TOTAL_QUEUED_BYTES};
use calicohoist_transport::{
    Frame, FrameReader, QueuedBytes, SendOutcome, SharedField, spawn_writer,
};
use tokio::io::AsyncReadExt;

type Message = (u64, Vec<u8>);

#[tokio::test]
async fn shared_field_is_decoded_in_each_message() {
    let (output, input) = tokio::io::duplex(64);
    let queued_bytes = QueuedBytes::default();
    let queue = spawn_writer(output, queued_bytes.clone());
    let field = SharedField::encode(&vec![7_u8; 100_000]).expect("encodes");
    let sent: Vec<Message> = vec![(1, vec![7; 100_000]), (2, vec![9; 10]), (300, vec![7; 100_000])];
    for message in &sent {
        let frame = match message.1.len() {
            100_000 => Frame::with_shared(&message.0, &field),
            _ => Frame::encode(message),
        };
        assert_eq!(queue.send(frame.expect("encodes")), SendOutcome::Queued);
    }
    assert!(queued_bytes.get() < 100, "the shared field is not counted per frame");
    let mut frames = FrameReader::new(input);
    for message in sent {
        let received: Message = frames.next().await.expect("a complete frame");
        assert!(received == message, "message {}", message.0);
    }
    assert_eq!(queued_bytes.get(), 0);
}

fn large_frame() -> Frame {
    Frame::encode(&vec![7_u8; MAX_QUEUED_BYTES / 8]).expect("encodes")
}

/// A peer that does not read is disconnected, so that it does not wait for dropped frames.
#[tokio::test]
async fn connection_is_closed_when_its_queue_overflows() {
    let (output, mut input) = tokio::io::duplex(64);
    let queued_bytes = QueuedBytes::default();
    let queue = spawn_writer(output, queued_bytes.clone());
    let queued = (0..100).take_while(|_| queue.send(large_frame()) == SendOutcome::Queued).count();
    assert!((6..=8).contains(&queued), "{queued} frames queued");
    let mut rest = Vec::new();
    input.read_to_end(&mut rest).await.expect("an orderly close");
    assert!(rest.len() < MAX_QUEUED_BYTES, "{} bytes were written", rest.len());
    assert_eq!(queue.send(large_frame()), SendOutcome::Closed);
    assert_eq!(queued_bytes.get(), 0);
}

/// Long frames that wait for each other do not close the connection, whatever their number and size.
#[tokio::test]
async fn frames_queued_in_turn_do_not_overflow_the_queue() {
    const FRAMES: usize = 40;
    let (output, input) = tokio::io::duplex(64 << 10);
    let queued_bytes = QueuedBytes::default();
    let queue = spawn_writer(output, queued_bytes.clone());
    let sizes =
        (0..FRAMES).map(|number| if number % 10 == 0 { 3 } else { 1 } * MAX_QUEUED_BYTES / 2);
    let sizes: Vec<usize> = sizes.collect();
    let senders = sizes.clone().into_iter().enumerate().map(|(number, size)| {
        let (queue, message) = (queue.clone(), (number as u64, vec![7_u8; size]));
        tokio::spawn(async move {
            let frame = Frame::encode(&message).expect("encodes");
            queue.send_in_turn(frame).await
        })
    });
    let senders: Vec<_> = senders.collect();
    tokio::task::yield_now().await;
    assert_eq!(queue.send(large_frame_of(99)), SendOutcome::Queued, "short frames find room");
    let queued = queued_bytes.get();
    assert!((1..2 * MAX_QUEUED_BYTES).contains(&queued), "{queued} bytes queued");
    let mut frames = FrameReader::new(input);
    let mut received = 0;
    while received < FRAMES {
        let (number, bytes): Message = frames.next().await.expect("a complete frame");
        if let Some(size) = sizes.get(number as usize) {
            assert_eq!(bytes.len(), *size);
            received += 1;
        }
    }
    for sender in senders {
        assert_eq!(sender.await.expect("a sender"), SendOutcome::Queued);
    }
}

/// Those that wait for their turn notice that the connection is closed.
#[tokio::test]
async fn frames_that_wait_for_their_turn_are_released_by_a_close() {
    let (output, input) = tokio::io::duplex(64);
    let queue = spawn_writer(output, QueuedBytes::default());
    let senders: Vec<_> = (0..20)
        .map(|number| {
            let queue = queue.clone();
            tokio::spawn(async move { queue.send_in_turn(large_frame_of(number)).await })
        })
        .collect();
    tokio::task::yield_now().await;
    drop(input);
    let mut outcomes = Vec::new();
    for sender in senders {
        outcomes.push(sender.await.expect("a sender"));
    }
    assert_eq!(outcomes.last(), Some(&SendOutcome::Closed));
}

fn large_frame_of(number: u64) -> Frame {
    Frame::encode(&(number, vec![7_u8; MAX_QUEUED_BYTES / 4])).expect("encodes")
}

#[tokio::test]
async fn connections_share_a_queue_limit() {
    const CONNECTIONS: usize = 200;
    let queued_bytes = QueuedBytes::default();
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let (output, input) = tokio::io::duplex(64);
        let queue = spawn_writer(output, queued_bytes.clone());
        while queue.send(large_frame()) == SendOutcome::Queued {}
        open.push((queue, input));
    }
    // A connection with an empty queue accepts one frame even beyond the shared limit.
    let limit = MAX_TOTAL_QUEUED_BYTES + CONNECTIONS * MAX_QUEUED_BYTES / 4;
    assert!(queued_bytes.get() < limit, "{} bytes queued", queued_bytes.get());
}

/// Frames queued concurrently with a close must be released exactly once. A leak in the shared
/// counter would eventually close all connections.
#[tokio::test]
async fn frames_queued_during_close_are_released_once() {
    const THREADS: usize = 4;
    for _ in 0..50 {
        let queued_bytes = QueuedBytes::default();
        let (output, input) = tokio::io::duplex(64);
        let queue = spawn_writer(output, queued_bytes.clone());
        let senders: Vec<_> = (0..THREADS)
            .map(|_| {
                let queue = queue.clone();
                std::thread::spawn(
                    move || while queue.send(large_frame()) != SendOutcome::Closed {},
                )
            })
            .collect();
        drop(input);
        while !senders.iter().all(std::thread::JoinHandle::is_finished) {
            tokio::task::yield_now().await;
        }
        assert_eq!(queued_bytes.get(), 0);
    }
}
