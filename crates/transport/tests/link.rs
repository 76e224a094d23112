//! Size limit of the message queue of a link to an unresponsive machine.

use std::net::SocketAddr;

use calicohoist_transport::version::{LEGACY_CONNECTION_TTL, accept_offer};
use calicohoist_transport::{
    FrameReader, Link, LinkHandshake, LinkMessage, ProtocolVersion, VersionRange, encode_frame,
};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const MEGABYTE: usize = 1 << 20;

const VERSIONS: VersionRange =
    VersionRange { oldest: ProtocolVersion::new(1), newest: ProtocolVersion::new(2) };

/// A message with the same encoding in every version.
struct EncodedFrame(Vec<u8>);

impl LinkMessage for EncodedFrame {
    fn queued_bytes(&self) -> usize {
        self.0.len()
    }

    fn into_frame(self, _: ProtocolVersion) -> Vec<u8> {
        self.0
    }
}

fn message(bytes: usize) -> EncodedFrame {
    EncodedFrame(encode_frame(&vec![7_u8; bytes]).expect("encodes"))
}

/// Opens a link with an empty greeting.
fn open(address: SocketAddr) -> Link<EncodedFrame> {
    Link::open(address, LinkHandshake::offer(VERSIONS, |_| Vec::new()))
}

/// Binds a listener that accepts no connections by itself.
async fn listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    (listener.local_addr().expect("bound"), listener)
}

/// The link task cannot run until the test yields, so nothing leaves the queue.
#[tokio::test]
async fn messages_beyond_the_queue_limit_are_dropped() {
    let (address, _listener) = listener().await;
    let link = open(address);
    let queued = (0..20).filter(|_| link.queue(message(MEGABYTE))).count();
    assert!((2..=4).contains(&queued), "{queued} MB queued");
}

#[tokio::test]
async fn large_message_is_accepted_when_the_queue_is_empty() {
    let (address, listener) = listener().await;
    let link = open(address);
    assert!(link.queue(message(6 * MEGABYTE)));
    assert!(!link.queue(message(1)), "the large message fills the queue");
    let (stream, _) = listener.accept().await.expect("the link connects");
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::new(input);
    let version = accept_offer(&mut frames, &mut output, VERSIONS).await;
    assert_eq!(version.expect("negotiated"), VERSIONS.newest);
    let first: Vec<u8> = frames.next().await.expect("a frame");
    assert_eq!(first.len(), 6 * MEGABYTE);
    for size in [1, 3 * MEGABYTE, 2] {
        assert!(link.queue(message(size)));
        let next: Vec<u8> = frames.next().await.expect("a frame");
        assert_eq!(next.len(), size);
    }
}

/// Guards against ledger machines that speak the legacy version among themselves for as long as a
/// connection lasts, because one of them was starting when it was opened.
#[tokio::test]
async fn machine_that_was_starting_is_offered_the_versions_again() {
    let (address, listener) = listener().await;
    let link = open(address);
    assert!(link.queue(message(1)));
    let (mut first, _) = listener.accept().await.expect("the link connects");
    let mut offer = [0; 64];
    assert!(first.read(&mut offer).await.expect("an offer") > 0);
    drop(first);

    let mut versions = Vec::new();
    for _ in 0..2 {
        let (stream, _) = listener.accept().await.expect("the link connects");
        let (input, mut output) = stream.into_split();
        let mut frames = FrameReader::new(input);
        let version = accept_offer(&mut frames, &mut output, VERSIONS).await;
        versions.push(version.expect("negotiated"));
        let received: Vec<u8> = frames.next().await.expect("a frame");
        assert_eq!(received.len(), 1);
        if versions.len() == 1 {
            tokio::time::sleep(LEGACY_CONNECTION_TTL).await;
            assert!(link.queue(message(1)));
            assert!(frames.next::<Vec<u8>>().await.is_err(), "the old connection is still used");
        }
    }
    assert_eq!(versions, [ProtocolVersion::LEGACY, VERSIONS.newest]);
}
