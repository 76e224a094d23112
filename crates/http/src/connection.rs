//! Connection for one request, by blocking calls that end at a deadline.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_outbound::{ReadPacer, ReadShare, ServerConnection, has_readable_body};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

use crate::client::ClientError;

/// Limits on the response to one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Time for connecting, sending the request and receiving the response.
    pub timeout: Duration,
    /// Maximum size of the body in bytes.
    pub max_bytes: u64,
}

/// Connection that makes progress only during its calls.
#[derive(Debug)]
pub(crate) struct RequestConnection {
    connection: ServerConnection<Full<Bytes>>,
    timeout: Duration,
    deadline: Instant,
    runtime: Runtime,
}

impl RequestConnection {
    /// Connects to `address` within `connect_timeout`; the time limit of the whole exchange begins
    /// now.
    pub(crate) fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        timeout: Duration,
    ) -> Result<Self, ClientError> {
        let deadline = Instant::now() + timeout;
        let connect_by = deadline.min(Instant::now() + connect_timeout);
        let opened = Builder::new_current_thread().enable_all().build().and_then(|runtime| {
            let pacer = ReadPacer::new(ReadShare::OF_BLOCKING_CALL);
            let connection = block_until(&runtime, connect_by, async {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                ServerConnection::open(stream, &pacer).await.map_err(io::Error::other)
            })?;
            Ok((runtime, connection))
        });
        let (runtime, connection) =
            opened.map_err(|error| ClientError::NotConnected(error.to_string()))?;
        Ok(Self { connection, timeout, deadline, runtime })
    }

    /// Sends a request and receives the head of its response.
    pub(crate) fn send(&mut self, request: Request<Full<Bytes>>) -> io::Result<Response<Incoming>> {
        let Self { connection, deadline, runtime, .. } = self;
        let response = block_until(runtime, *deadline, async {
            connection.send_request(request).await.map_err(io::Error::other)
        })?;
        match has_readable_body(&response) {
            true => Ok(response),
            false => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response has an unknown transfer coding or switches protocols",
            )),
        }
    }

    /// Receives the next part of a body; `None` at its end.
    pub(crate) fn receive(&self, body: &mut Incoming) -> io::Result<Option<Bytes>> {
        block_until(&self.runtime, self.deadline, async {
            let frame = body.frame().await.transpose().map_err(io::Error::other)?;
            // Trailers are skipped.
            Ok(frame.map(|frame| frame.into_data().unwrap_or_default()))
        })
    }

    /// Restarts the time limit.
    pub(crate) fn restart_timeout(&mut self) {
        self.deadline = Instant::now() + self.timeout;
    }

    /// Sets an earlier deadline, `timeout` from now, unless it ends before.
    pub(crate) fn shorten_timeout(&mut self, timeout: Duration) {
        self.deadline = self.deadline.min(Instant::now() + timeout);
    }
}

/// Runs a task until it ends, at the latest until `deadline`.
fn block_until<T>(
    runtime: &Runtime,
    deadline: Instant,
    task: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let result = runtime.block_on(async { tokio::time::timeout_at(deadline.into(), task).await });
    result.unwrap_or_else(|_| {
        Err(io::Error::new(io::ErrorKind::TimedOut, "the server did not respond in time"))
    })
}
