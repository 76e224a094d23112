//! TCP connection of a client, with limits on the time and the bytes of a response.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Limits on the response to one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Time for connecting, sending the request and receiving the response.
    pub timeout: Duration,
    /// Maximum number of bytes received, including the head and the framing of the body.
    pub max_bytes: u64,
}

/// Connection whose reads and writes end at a deadline, and whose reads end after a number of
/// bytes.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    timeout: Duration,
    deadline: Instant,
    remaining_bytes: u64,
}

impl LimitedStream {
    /// Connects to `address` within `connect_timeout`; `limits` begin now.
    pub(crate) fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        limits: ResponseLimits,
    ) -> io::Result<Self> {
        let ResponseLimits { timeout, max_bytes } = limits;
        let deadline = Instant::now() + timeout;
        let stream = TcpStream::connect_timeout(&address, connect_timeout.min(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, timeout, deadline, remaining_bytes: max_bytes })
    }

    /// Restarts the time limit.
    pub(crate) fn restart_timeout(&mut self) {
        self.deadline = Instant::now() + self.timeout;
    }

    /// Sets an earlier deadline, `timeout` from now, unless it ends before.
    pub(crate) fn shorten_timeout(&mut self, timeout: Duration) {
        self.deadline = self.deadline.min(Instant::now() + timeout);
    }

    /// Returns the time until the deadline.
    fn remaining_time(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() { Err(timed_out()) } else { Ok(remaining) }
    }
}

impl Read for LimitedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.remaining_bytes == 0 {
            return Err(io::Error::other("the response exceeds its size limit"));
        }
        let limit = usize::try_from(self.remaining_bytes).unwrap_or(usize::MAX);
        let limit = limit.min(buffer.len());
        self.stream.set_read_timeout(Some(self.remaining_time()?))?;
        let read = self.stream.read(&mut buffer[..limit]).map_err(name_timeout)?;
        self.remaining_bytes -= read as u64;
        Ok(read)
    }
}

impl Write for LimitedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.remaining_time()?))?;
        self.stream.write(bytes).map_err(name_timeout)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

fn timed_out() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "the server did not respond in time")
}

/// Replaces the error that the kernel reports for a socket timeout.
fn name_timeout(error: io::Error) -> io::Error {
    if error.kind() == io::ErrorKind::WouldBlock { timed_out() } else { error }
}
