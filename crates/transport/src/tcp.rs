//! Sockets that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Connects within `patience`. Written bytes that stay unacknowledged for
/// `user_timeout` break the connection: a machine without power says nothing.
///
/// # Errors
/// When the peer refuses, or does not answer in time.
pub async fn connect(
    address: SocketAddr,
    patience: Duration,
    user_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let stream = tokio::time::timeout(patience, socket.connect(address)).await??;
    prepare(&stream, user_timeout)?;
    Ok(stream)
}

/// Sends without delay and bounds the time of unacknowledged bytes.
///
/// # Errors
/// When the socket refuses an option.
pub fn prepare(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let millis = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// Listens on `address`, also when connections of an earlier process linger.
///
/// # Errors
/// When the address is taken.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
