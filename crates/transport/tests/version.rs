//! Negotiation of the protocol version between the two ends of a connection.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_transport::version::{accept_offer, connect, offer};
use calicohoist_transport::{
    FrameError, FrameReader, ProtocolVersion, VersionError, VersionRange, encode_frame,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(20);

fn range(oldest: u16, newest: u16) -> VersionRange {
    VersionRange { oldest: ProtocolVersion::new(oldest), newest: ProtocolVersion::new(newest) }
}

/// Returns the results of both sides of a negotiation.
async fn negotiate(
    offered: VersionRange,
    supported: VersionRange,
) -> (Result<ProtocolVersion, VersionError>, Result<ProtocolVersion, VersionError>) {
    let (mut client, server) = tokio::io::duplex(64);
    let (input, mut output) = tokio::io::split(server);
    let mut frames = FrameReader::new(input);
    tokio::join!(offer(&mut client, offered), accept_offer(&mut frames, &mut output, supported))
}

#[tokio::test]
async fn both_sides_choose_the_newest_common_version() {
    for (offered, supported, common) in [
        (range(1, 2), range(1, 2), 2),
        (range(1, 3), range(1, 2), 2),
        (range(2, 2), range(1, 3), 2),
        (range(1, 1), range(1, 9), 1),
    ] {
        let (client, server) = negotiate(offered, supported).await;
        let common = ProtocolVersion::new(common);
        assert_eq!((client.expect("negotiated"), server.expect("negotiated")), (common, common));
    }
}

#[tokio::test]
async fn both_sides_report_the_versions_when_none_is_common() {
    let (client, server) = negotiate(range(4, 5), range(1, 3)).await;
    for (result, ours, theirs) in
        [(client, range(4, 5), range(1, 3)), (server, range(1, 3), range(4, 5))]
    {
        match result {
            Err(VersionError::NoCommonVersion { ours: local, theirs: remote }) => {
                assert_eq!((local, remote), (ours, theirs));
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn first_frame_without_offer_is_kept_and_implies_the_legacy_version() {
    let message = (300_u64, "a question".to_owned());
    let bytes = encode_frame(&message).expect("encodes");
    let mut frames = FrameReader::new(bytes.as_slice());
    let version = accept_offer(&mut frames, &mut tokio::io::sink(), range(1, 2)).await;
    assert_eq!(version.expect("known"), ProtocolVersion::LEGACY);
    assert_eq!(frames.next::<(u64, String)>().await.expect("left"), message);

    let mut frames = FrameReader::new(bytes.as_slice());
    let refused = accept_offer(&mut frames, &mut tokio::io::sink(), range(2, 2)).await;
    assert!(matches!(refused, Err(VersionError::NoCommonVersion { .. })), "{refused:?}");
}

/// Simulates a legacy build, which closes connections that begin with an offer. Returns the bytes
/// received on the second connection.
async fn legacy_machine(listener: TcpListener) -> Vec<u8> {
    let (mut first, _) = listener.accept().await.expect("accepts");
    // Reads the offer as a message, fails to decode it and closes the connection.
    let mut header = [0; 8];
    first.read_exact(&mut header).await.expect("a frame");
    let mut offered = vec![0; usize::from(header[0])];
    first.read_exact(&mut offered).await.expect("a frame");
    drop(first);
    let (mut second, _) = listener.accept().await.expect("accepts");
    let mut received = Vec::new();
    second.read_to_end(&mut received).await.expect("an orderly close");
    received
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

#[tokio::test]
async fn client_falls_back_to_the_legacy_version_after_an_orderly_close() {
    let (listener, address) = listen().await;
    let machine = tokio::spawn(legacy_machine(listener));
    let opened = connect(address, TIMEOUT, TIMEOUT, range(1, 2)).await;
    let (mut stream, version) = opened.expect("reconnected");
    assert_eq!(version, ProtocolVersion::LEGACY);
    stream.write_all(b"as ever").await.expect("written");
    drop(stream);
    assert_eq!(machine.await.expect("no panic"), b"as ever");
}

#[tokio::test]
async fn client_without_the_legacy_version_rejects_a_legacy_build() {
    let (listener, address) = listen().await;
    let machine = tokio::spawn(legacy_machine(listener));
    let opened = connect(address, TIMEOUT, TIMEOUT, range(2, 3)).await;
    assert!(matches!(opened, Err(VersionError::NoAnswer)), "{opened:?}");
    machine.abort();
}

/// A reset may have other causes and does not indicate a legacy build.
#[tokio::test]
async fn reset_after_the_offer_is_not_treated_as_a_legacy_build() {
    let (listener, address) = listen().await;
    let reset = async {
        let (stream, _) = listener.accept().await.expect("accepts");
        stream.readable().await.expect("an offer");
        // With zero linger, closing resets the connection.
        stream.set_zero_linger().expect("an option");
        drop(stream);
    };
    let (opened, ()) = tokio::join!(connect(address, TIMEOUT, TIMEOUT, range(1, 2)), reset);
    assert!(matches!(opened, Err(VersionError::Io(_))), "{opened:?}");
}

#[tokio::test]
async fn answer_with_bad_checksum_is_rejected() {
    let (mut client, mut server) = tokio::io::duplex(64);
    let garbled = async {
        server.write_all(&[5, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5]).await.expect("written");
    };
    let (result, ()) = tokio::join!(offer(&mut client, range(1, 2)), garbled);
    assert!(matches!(result, Err(VersionError::Malformed(FrameError::Checksum))), "{result:?}");
}
