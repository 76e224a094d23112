//! Frames of one connection: what they share, and what may wait for who does not read.

use calicohoist_transport::writer::{MOST_WAITING, MOST_WAITING_IN_ALL};
use calicohoist_transport::{Frame, FrameReader, Queued, SharedField, WaitingBytes, spawn_writer};
use tokio::io::AsyncReadExt;

type Message = (u64, Vec<u8>);

#[tokio::test]
async fn a_shared_field_is_read_as_part_of_each_message() {
    let (output, input) = tokio::io::duplex(64);
    let waiting = WaitingBytes::default();
    let queue = spawn_writer(output, waiting.clone());
    let field = SharedField::encode(&vec![7_u8; 100_000]).expect("encodes");
    let sent: Vec<Message> = vec![(1, vec![7; 100_000]), (2, vec![9; 10]), (300, vec![7; 100_000])];
    for message in &sent {
        let frame = match message.1.len() {
            100_000 => Frame::with_shared(&message.0, &field),
            _ => Frame::encode(message),
        };
        assert_eq!(queue.send(frame.expect("encodes")), Queued::Taken);
    }
    assert!(waiting.get() < 100, "the shared field is in memory once");
    let mut frames = FrameReader::new(input);
    for message in sent {
        let received: Message = frames.next().await.expect("a whole frame");
        assert!(received == message, "message {}", message.0);
    }
    assert_eq!(waiting.get(), 0);
}

fn large_frame() -> Frame {
    Frame::encode(&vec![7_u8; MOST_WAITING / 8]).expect("encodes")
}

/// The reader sees the end of the connection, and waits for nothing that does not come.
#[tokio::test]
async fn who_does_not_read_is_closed_once_too_much_waits() {
    let (output, mut input) = tokio::io::duplex(64);
    let waiting = WaitingBytes::default();
    let queue = spawn_writer(output, waiting.clone());
    let taken = (0..100).take_while(|_| queue.send(large_frame()) == Queued::Taken).count();
    assert!((6..=8).contains(&taken), "{taken} frames wait");
    let mut rest = Vec::new();
    input.read_to_end(&mut rest).await.expect("closed in order");
    assert!(rest.len() < MOST_WAITING, "{} bytes were written", rest.len());
    assert_eq!(queue.send(large_frame()), Queued::Closed);
    assert_eq!(waiting.get(), 0);
}

#[tokio::test]
async fn connections_that_do_not_read_share_a_bound() {
    const CONNECTIONS: usize = 200;
    let waiting = WaitingBytes::default();
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let (output, input) = tokio::io::duplex(64);
        let queue = spawn_writer(output, waiting.clone());
        while queue.send(large_frame()) == Queued::Taken {}
        open.push((queue, input));
    }
    // Each connection may hold one frame besides.
    let most = MOST_WAITING_IN_ALL + CONNECTIONS * MOST_WAITING / 4;
    assert!(waiting.get() < most, "{} bytes wait", waiting.get());
}

/// A queue that is closed while other threads use it leaves nothing counted, and nothing counted
/// twice: the bound is shared by all connections, and would otherwise close them all.
#[tokio::test]
async fn what_is_queued_while_a_connection_closes_is_counted_once() {
    const THREADS: usize = 4;
    for _ in 0..50 {
        let waiting = WaitingBytes::default();
        let (output, input) = tokio::io::duplex(64);
        let queue = spawn_writer(output, waiting.clone());
        let senders: Vec<_> = (0..THREADS)
            .map(|_| {
                let queue = queue.clone();
                std::thread::spawn(move || while queue.send(large_frame()) != Queued::Closed {})
            })
            .collect();
        drop(input);
        while !senders.iter().all(std::thread::JoinHandle::is_finished) {
            tokio::task::yield_now().await;
        }
        assert_eq!(waiting.get(), 0);
    }
}
