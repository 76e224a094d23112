//! Delays closing a socket until the peer has received the response.
//!
//! The kernel resets a connection that is closed over unread bytes, or that receives bytes after it
//! was closed. A reset discards what the peer has not read yet.

use std::time::Duration;

use tokio::io::{AsyncWriteExt, copy, sink};
use tokio::net::TcpStream;

/// Maximum time for which a socket stays open after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// What to do with bytes that arrive after the last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateBytes {
    /// They are the rest of a request: discard them, so that the peer can finish sending.
    Discard,
    /// They are a request that is not served: leave them unread.
    Leave,
}

/// Waits until the peer closes the connection, for a limited time.
pub async fn linger(mut stream: TcpStream, late_bytes: LateBytes) {
    // An error means that the connection has ended.
    if stream.shutdown().await.is_err() {
        return;
    }
    let ended = async {
        match late_bytes {
            LateBytes::Discard => discard(&mut stream).await,
            LateBytes::Leave => wait_for_end(&stream).await,
        }
    };
    // The socket is closed at the latest then.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, ended).await;
}

async fn discard(stream: &mut TcpStream) {
    // An error means that the connection has ended.
    let _ = copy(stream, &mut sink()).await;
}

async fn wait_for_end(stream: &TcpStream) {
    if let Ok(1..) = stream.peek(&mut [0]).await {
        std::future::pending::<()>().await;
    }
}
