//! HTTP connection to a server, with limits on what is read.

use std::error::Error;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::lane::{MAX_HEAD_BYTES, ReadLane};
use crate::pacer::ReadPacer;
use crate::pausable_stream::PausableStream;
use crate::socket::LimitedSocket;

/// Sends requests on a connection, one at a time. The connection closes when this is dropped and no
/// response is being read.
#[derive(Debug)]
pub struct ServerConnection<B> {
    sender: SendRequest<B>,
    lane: Arc<ReadLane>,
}

impl<B> ServerConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Takes over a connected stream.
    ///
    /// # Errors
    /// Returns an error if the connection failed already.
    pub async fn open(stream: TcpStream, pacer: &Arc<ReadPacer>) -> hyper::Result<Self> {
        let lane = Arc::new(ReadLane::new(pacer));
        let stream = PausableStream::new(stream);
        let socket = TokioIo::new(LimitedSocket::new(stream.clone(), Arc::clone(&lane)));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder.handshake(socket).await?;
        tokio::spawn(drive(connection, stream, Arc::clone(&lane)));
        Ok(Self { sender, lane })
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the response once its head is complete.
    ///
    /// # Errors
    /// Returns an error if the connection fails, with the request if it was not sent.
    pub async fn try_send_request(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.lane.end_response();
        let response = self.sender.try_send_request(request).await?;
        self.lane.end_head();
        Ok(response)
    }

    /// Sends a request and returns the response once its head is complete.
    ///
    /// # Errors
    /// Returns an error if the connection fails.
    pub async fn send_request(&mut self, request: Request<B>) -> hyper::Result<Response<Incoming>> {
        self.lane.end_response();
        let response = self.sender.send_request(request).await?;
        self.lane.end_head();
        Ok(response)
    }

    /// Records that the response was read completely, so that the connection no longer counts as
    /// the reader of a large response.
    pub fn end_response(&self) {
        self.lane.end_response();
    }

    /// Returns whether the server has sent bytes that nobody asked for.
    pub fn has_unrequested_bytes(&self) -> bool {
        self.lane.has_unrequested_bytes()
    }

    /// Returns the reading state, to which the consumer of a body charges its work.
    pub fn lane(&self) -> &Arc<ReadLane> {
        &self.lane
    }
}

impl<B> Drop for ServerConnection<B> {
    fn drop(&mut self) {
        // A connection that pauses has to notice that nobody reads its response any more.
        self.lane.end_response();
    }
}

impl ReadLane {
    /// Runs a task that consumes the response, and charges the time that it takes.
    pub async fn charge_polls<F: Future>(&self, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| self.poll_charged(task.as_mut(), context)).await
    }

    fn poll_charged<F: Future>(
        &self,
        task: Pin<&mut F>,
        context: &mut Context<'_>,
    ) -> Poll<F::Output> {
        if !self.is_large() {
            return task.poll(context);
        }
        let started_at = Instant::now();
        let polled = task.poll(context);
        let now = Instant::now();
        self.charge(now - started_at, now);
        polled
    }
}

/// Records on drop that a connection is closed.
struct ClosedGuard(Arc<ReadLane>);

impl Drop for ClosedGuard {
    fn drop(&mut self) {
        self.0.closing().record_closed();
    }
}

/// Runs a connection until it ends or is to be closed.
async fn drive<F>(connection: F, stream: PausableStream, lane: Arc<ReadLane>)
where
    F: Future<Output = hyper::Result<()>>,
{
    let guard = ClosedGuard(lane);
    let lane = &guard.0;
    // The connection is dropped with its socket before the guard.
    tokio::select! {
        biased;
        () = lane.closing().requested() => {}
        result = run_paced(connection, stream, lane) => record_end(&result, lane),
    }
}

/// Records why a connection has ended. Errors are reported to the request that uses the connection,
/// unless there is none: then the connection has failed, or the server has sent bytes for no request.
fn record_end(result: &hyper::Result<()>, lane: &ReadLane) {
    if let Err(error) = result
        && error.source().is_none()
        && !error.is_incomplete_message()
    {
        lane.record_unrequested_bytes();
    }
}

/// Runs a connection, with pauses while it has used more than its share.
async fn run_paced<F: Future>(connection: F, stream: PausableStream, lane: &ReadLane) -> F::Output {
    let mut connection = pin!(connection);
    let mut pause = pin!(tokio::time::sleep_until(Instant::now().into()));
    let mut is_paused = false;
    poll_fn(|context| {
        if is_paused {
            ready!(poll_pause(pause.as_mut(), lane, context));
            stream.resume();
        }
        let polled = lane.poll_charged(connection.as_mut(), context);
        is_paused = polled.is_pending() && poll_pause(pause.as_mut(), lane, context).is_pending();
        if is_paused {
            stream.pause();
        }
        polled
    })
    .await
}

/// Waits until the connection may read again.
fn poll_pause(mut pause: Pin<&mut Sleep>, lane: &ReadLane, context: &mut Context<'_>) -> Poll<()> {
    while lane.is_large()
        && let Some(resumes_at) = lane.pause_until(Instant::now())
    {
        pause.as_mut().reset(resumes_at.into());
        if pause.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
    }
    Poll::Ready(())
}
