//! Which version of the protocol the two ends of a link agree on.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_transport::version::{choose, connect, offer};
use calicohoist_transport::{
    FrameError, FrameReader, ProtocolVersion, VersionError, VersionRange, encode_frame,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(20);

fn range(oldest: u16, newest: u16) -> VersionRange {
    VersionRange { oldest: ProtocolVersion::new(oldest), newest: ProtocolVersion::new(newest) }
}

/// What both sides make of it when one offers and the other chooses.
async fn agree(
    offered: VersionRange,
    spoken: VersionRange,
) -> (Result<ProtocolVersion, VersionError>, Result<ProtocolVersion, VersionError>) {
    let (mut opener, taker) = tokio::io::duplex(64);
    let (input, mut output) = tokio::io::split(taker);
    let mut frames = FrameReader::new(input);
    tokio::join!(offer(&mut opener, offered), choose(&mut frames, &mut output, spoken))
}

#[tokio::test]
async fn both_sides_take_the_newest_version_that_they_have_in_common() {
    for (offered, spoken, common) in [
        (range(1, 2), range(1, 2), 2),
        (range(1, 3), range(1, 2), 2),
        (range(2, 2), range(1, 3), 2),
        (range(1, 1), range(1, 9), 1),
    ] {
        let (opener, taker) = agree(offered, spoken).await;
        let common = ProtocolVersion::new(common);
        assert_eq!((opener.expect("agreed"), taker.expect("agreed")), (common, common));
    }
}

#[tokio::test]
async fn without_a_common_version_both_sides_know_what_the_other_one_speaks() {
    let (opener, taker) = agree(range(4, 5), range(1, 3)).await;
    for (ended, ours, theirs) in
        [(opener, range(4, 5), range(1, 3)), (taker, range(1, 3), range(4, 5))]
    {
        match ended {
            Err(VersionError::NoneCommon { ours: known, theirs: told }) => {
                assert_eq!((known, told), (ours, theirs));
            }
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn a_first_frame_that_is_no_offer_is_left_to_be_read_as_the_unnamed_version() {
    let message = (300_u64, "a question".to_owned());
    let bytes = encode_frame(&message).expect("encodes");
    let mut frames = FrameReader::new(bytes.as_slice());
    let version = choose(&mut frames, &mut tokio::io::sink(), range(1, 2)).await;
    assert_eq!(version.expect("known"), ProtocolVersion::UNNAMED);
    assert_eq!(frames.next::<(u64, String)>().await.expect("left"), message);

    let mut frames = FrameReader::new(bytes.as_slice());
    let refused = choose(&mut frames, &mut tokio::io::sink(), range(2, 2)).await;
    assert!(matches!(refused, Err(VersionError::NoneCommon { .. })), "{refused:?}");
}

/// A machine whose build cannot read an offer; it hands out the bytes of the second connection.
async fn older_machine(listener: TcpListener) -> Vec<u8> {
    let (mut first, _) = listener.accept().await.expect("accepts");
    // It takes the whole frame for a message, cannot read it and closes.
    let mut header = [0; 8];
    first.read_exact(&mut header).await.expect("a frame");
    let mut offered = vec![0; usize::from(header[0])];
    first.read_exact(&mut offered).await.expect("a frame");
    drop(first);
    let (mut second, _) = listener.accept().await.expect("accepts");
    let mut taken = Vec::new();
    second.read_to_end(&mut taken).await.expect("closed in order");
    taken
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

#[tokio::test]
async fn a_build_that_closes_at_the_offer_is_spoken_to_in_the_unnamed_version() {
    let (listener, address) = listen().await;
    let machine = tokio::spawn(older_machine(listener));
    let opened = connect(address, PATIENCE, PATIENCE, range(1, 2)).await;
    let (mut stream, version) = opened.expect("connected anew");
    assert_eq!(version, ProtocolVersion::UNNAMED);
    stream.write_all(b"as ever").await.expect("written");
    drop(stream);
    assert_eq!(machine.await.expect("no panic"), b"as ever");
}

#[tokio::test]
async fn a_build_that_is_too_old_is_not_spoken_to() {
    let (listener, address) = listen().await;
    let machine = tokio::spawn(older_machine(listener));
    let opened = connect(address, PATIENCE, PATIENCE, range(2, 3)).await;
    assert!(matches!(opened, Err(VersionError::NotAnswered)), "{opened:?}");
    machine.abort();
}

/// It may come from anywhere on the way, and says nothing of the build at the other end.
#[tokio::test]
async fn a_reset_at_the_offer_is_not_taken_for_an_older_build() {
    let (listener, address) = listen().await;
    let reset = async {
        let (stream, _) = listener.accept().await.expect("accepts");
        stream.readable().await.expect("an offer");
        // Closed without lingering, a connection is reset.
        stream.set_zero_linger().expect("an option");
        drop(stream);
    };
    let (opened, ()) = tokio::join!(connect(address, PATIENCE, PATIENCE, range(1, 2)), reset);
    assert!(matches!(opened, Err(VersionError::Io(_))), "{opened:?}");
}

#[tokio::test]
async fn an_answer_that_cannot_be_read_is_refused() {
    let (mut opener, mut taker) = tokio::io::duplex(64);
    let garbled = async {
        taker.write_all(&[5, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5]).await.expect("written");
    };
    let (ended, ()) = tokio::join!(offer(&mut opener, range(1, 2)), garbled);
    assert!(matches!(ended, Err(VersionError::Unreadable(FrameError::Checksum))), "{ended:?}");
}
