//! Links hold a bounded number of bytes for a machine that is not there.

use std::net::SocketAddr;

use calicohoist_transport::{FrameReader, Link};
use tokio::net::TcpListener;

const MEGABYTE: usize = 1 << 20;

fn message(bytes: usize) -> Vec<u8> {
    vec![7; bytes]
}

/// An address at which nobody answers: its listener never accepts, and is full.
async fn listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    (listener.local_addr().expect("bound"), listener)
}

/// The writer does not run while the test does not yield: nothing is taken off the queue.
#[tokio::test]
async fn frames_beyond_the_bytes_that_may_wait_are_dropped() {
    let (address, _listener) = listener().await;
    let link = Link::open(address, Vec::new());
    let queued = (0..20).filter(|_| link.send(&message(MEGABYTE))).count();
    assert!((2..=4).contains(&queued), "{queued} MB wait");
}

#[tokio::test]
async fn one_frame_is_taken_whatever_its_size_and_room_comes_back() {
    let (address, listener) = listener().await;
    let link = Link::open(address, Vec::new());
    assert!(link.send(&message(6 * MEGABYTE)));
    assert!(!link.send(&message(1)), "the large one waits");
    let (stream, _) = listener.accept().await.expect("the link connects");
    let mut frames = FrameReader::new(stream);
    let first: Vec<u8> = frames.next().await.expect("a frame");
    assert_eq!(first.len(), 6 * MEGABYTE);
    for size in [1, 3 * MEGABYTE, 2] {
        assert!(link.send(&message(size)));
        let next: Vec<u8> = frames.next().await.expect("a frame");
        assert_eq!(next.len(), size);
    }
}
