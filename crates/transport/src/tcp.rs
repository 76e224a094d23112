//! TCP sockets that detect unresponsive peers.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use rustix::io::Errno;
use rustix::ioctl::{Getter, Opcode, ioctl};
use rustix::net::{RecvFlags, recv, sockopt};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// Time in which a handshake is completed. Longer than a round trip within a region.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(20);
/// Idle time after which a peer is asked whether it still has a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example without a free file descriptor.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// `SIOCOUTQ`: bytes that the peer has not acknowledged.
const UNACKNOWLEDGED_BYTES: Opcode = 0x5411;

/// Classic BPF program that drops segments with the SYN flag. Offsets count from the TCP header.
mod handshake_filter {
    use socket2::SockFilter;

    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_ANY_BIT: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const SYN_FLAG: u32 = 0x02;
    const DROP: u32 = 0;
    const KEEP_ALL_BYTES: u32 = u32::MAX;

    pub const PROGRAM: [SockFilter; 4] = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_ANY_BIT, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP_ALL_BYTES),
    ];
}

/// Connects within `connect_timeout`. The connection fails when sent data stays unacknowledged
/// for `user_timeout`, for example after a power failure of the peer.
///
/// # Errors
/// When the peer refuses the connection or does not respond in time.
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let stream = tokio::time::timeout(connect_timeout, socket.connect(address)).await??;
    configure(&stream, user_timeout)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets the timeout of unacknowledged data.
///
/// # Errors
/// When a socket option cannot be set.
pub fn configure(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let millis = u32::try_from(user_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}

/// Ends the connection when its peer is lost while nothing is sent, for example in a power failure.
///
/// # Errors
/// When a socket option cannot be set.
pub fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Listens on `address`, even if connections of a previous process are in `TIME_WAIT`.
///
/// # Errors
/// When the address is in use.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Ignores peers that begin to connect from now on; handshakes under way are completed. A peer tries
/// again after a second, and is then refused if the listener is closed.
///
/// # Errors
/// When the kernel does not accept the filter.
pub fn ignore_new_peers(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&handshake_filter::PROGRAM)
}

/// Returns the number of bytes that were written and that the peer has not acknowledged.
///
/// # Errors
/// When `socket` is not a connected socket.
pub fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<i32> {
    // SAFETY: the kernel writes one `int` for this opcode.
    #[allow(unsafe_code)]
    let bytes = unsafe { ioctl(socket, Getter::<UNACKNOWLEDGED_BYTES, i32>::new()) };
    Ok(bytes?)
}

/// Returns how many bytes can be read, one at the most. The runtime may not have learned of the latest
/// arrivals yet.
///
/// # Errors
/// [`Errno::AGAIN`] when nothing has arrived, or the error of the connection.
pub fn peek_kernel(socket: impl AsFd) -> Result<usize, Errno> {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    recv(socket, &mut [0u8; 1][..], flags).map(|(_, length)| length)
}

/// Returns whether the kernel holds bytes, the end of the stream or an error for the reader.
pub fn has_received(socket: impl AsFd) -> bool {
    !matches!(peek_kernel(socket), Err(Errno::AGAIN))
}

/// Accepts a connection. Failures are logged, and the next attempt follows after a pause.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                emit!(Event::AcceptFailed, "cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
