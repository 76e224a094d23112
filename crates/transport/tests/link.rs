//! Links hold a bounded number of bytes for a machine that is not there.

use std::net::SocketAddr;

use calicohoist_transport::version::choose;
use calicohoist_transport::{
    FrameReader, Link, LinkMessage, LinkOpening, ProtocolVersion, VersionRange, encode_frame,
};
use tokio::net::TcpListener;

const MEGABYTE: usize = 1 << 20;

const VERSIONS: VersionRange =
    VersionRange { oldest: ProtocolVersion::new(1), newest: ProtocolVersion::new(2) };

/// A frame that looks the same in every version.
struct EncodedFrame(Vec<u8>);

impl LinkMessage for EncodedFrame {
    fn waiting_bytes(&self) -> usize {
        self.0.len()
    }

    fn into_frame(self, _: ProtocolVersion) -> Vec<u8> {
        self.0
    }
}

fn message(bytes: usize) -> EncodedFrame {
    EncodedFrame(encode_frame(&vec![7_u8; bytes]).expect("encodes"))
}

/// A link that greets nobody.
fn open(address: SocketAddr) -> Link<EncodedFrame> {
    Link::open(address, LinkOpening::offer(VERSIONS, |_| Vec::new()))
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
    let link = open(address);
    let queued = (0..20).filter(|_| link.queue(message(MEGABYTE))).count();
    assert!((2..=4).contains(&queued), "{queued} MB wait");
}

#[tokio::test]
async fn one_frame_is_taken_whatever_its_size_and_room_comes_back() {
    let (address, listener) = listener().await;
    let link = open(address);
    assert!(link.queue(message(6 * MEGABYTE)));
    assert!(!link.queue(message(1)), "the large one waits");
    let (stream, _) = listener.accept().await.expect("the link connects");
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::new(input);
    let version = choose(&mut frames, &mut output, VERSIONS).await;
    assert_eq!(version.expect("agreed"), VERSIONS.newest);
    let first: Vec<u8> = frames.next().await.expect("a frame");
    assert_eq!(first.len(), 6 * MEGABYTE);
    for size in [1, 3 * MEGABYTE, 2] {
        assert!(link.queue(message(size)));
        let next: Vec<u8> = frames.next().await.expect("a frame");
        assert_eq!(next.len(), size);
    }
}
