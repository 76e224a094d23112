//! Delays closing a socket until the peer has received the response.
//!
//! The kernel resets a connection that is closed over unread bytes, or that receives bytes after it
//! was closed. A reset discards what the peer has not read yet.

use std::io;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

/// Time for which a socket stays open after its last response was written.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which the rest of a request is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(30);
const DISCARD_BYTES: usize = 16 << 10;
/// Interval at which it is checked whether the peer has acknowledged everything.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Response to a request that crosses the close of its connection.
const REFUSAL: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What to do with bytes that arrive after the last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateBytes {
    /// They are the rest of a request, of this many bytes if that is known: discard them, so that the
    /// peer can finish sending.
    Discard(Option<u64>),
    /// They are a request that is not served: leave them unread.
    Leave,
    /// None can arrive.
    None,
}

/// Refuses the request that may arrive while a connection without a request is closed. Otherwise its
/// peer could not tell whether it was read.
///
/// # Errors
/// Returns an error if the peer does not take the refusal in `stall_timeout`, or has left.
pub async fn refuse(stream: &mut TcpStream, stall_timeout: Duration) -> io::Result<()> {
    timeout(stall_timeout, stream.write_all(REFUSAL)).await?
}

/// Waits until the peer has received everything, for `stall_timeout` at most, and then until it
/// closes the connection, for a limited time since the last response at `answered_at`.
pub async fn linger(
    mut stream: TcpStream,
    late_bytes: LateBytes,
    answered_at: Instant,
    stall_timeout: Duration,
) {
    // An error means that the connection has ended.
    if stream.shutdown().await.is_err() {
        return;
    }
    match late_bytes {
        // The deadlines bound how long the socket stays open; there is nothing to do after them.
        LateBytes::Discard(length) => {
            let discarded = discard(&mut stream, length.unwrap_or(u64::MAX));
            if timeout(DISCARD_TIMEOUT, discarded).await == Ok(RestEnd::Discarded) {
                leave(&stream, Instant::now(), stall_timeout).await;
            }
        }
        LateBytes::Leave => leave(&stream, answered_at, stall_timeout).await,
        LateBytes::None => {
            let _ = timeout(stall_timeout, wait_until_delivered(&stream)).await;
        }
    }
}

/// Resets a connection once the peer has received everything, for which it has `stall_timeout`.
pub async fn reset(stream: TcpStream, stall_timeout: Duration) {
    // What is not delivered by then is discarded by the reset.
    let _ = timeout(stall_timeout, wait_until_delivered(&stream)).await;
    if let Err(error) = stream.set_zero_linger() {
        emit!(Event::ConnectionFailed, "cannot reset the connection of a caller: {error}");
    }
}

/// How the rest of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestEnd {
    /// All of it was discarded.
    Discarded,
    /// The peer closed the connection or sent nothing for [`LINGER_TIMEOUT`].
    Missing,
}

/// Reads the rest of a request, of `length` bytes at the most.
async fn discard(stream: &mut TcpStream, length: u64) -> RestEnd {
    let mut buffer = vec![0; DISCARD_BYTES];
    let mut rest = stream.take(length);
    while let Ok(Ok(1..)) = timeout(LINGER_TIMEOUT, rest.read(&mut buffer)).await {}
    if rest.limit() == 0 { RestEnd::Discarded } else { RestEnd::Missing }
}

async fn leave(stream: &TcpStream, answered_at: Instant, stall_timeout: Duration) {
    // The deadlines bound how long the socket stays open; there is nothing to do after them.
    let _ = timeout(stall_timeout, wait_until_delivered(stream)).await;
    let _ = timeout_at((answered_at + LINGER_TIMEOUT).into(), wait_for_end(stream)).await;
}

async fn wait_until_delivered(stream: &TcpStream) {
    // Without an answer of the kernel there is nothing to wait for.
    while tcp::unacknowledged_bytes(stream).is_ok_and(|bytes| bytes > 0) && !is_reset(stream) {
        tokio::time::sleep(DELIVERY_CHECK_INTERVAL).await;
    }
}

/// The kernel keeps what it did not send, but knows no peer any more.
fn is_reset(stream: &TcpStream) -> bool {
    stream.peer_addr().is_err()
}

async fn wait_for_end(stream: &TcpStream) {
    if let Ok(1..) = stream.peek(&mut [0]).await {
        std::future::pending::<()>().await;
    }
}
