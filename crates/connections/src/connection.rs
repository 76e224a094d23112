//! Serves the requests of one connection.

use std::convert::Infallible;
use std::error::Error;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::delivery::{Delivery, StageRecord};
use crate::drain::{Drain, DrainStage};
use crate::exchange::{PeerEnd, Progress};
use crate::linger::{LateBytes, linger, refuse, reset};
use crate::peer::PeerWatch;
use crate::request_end::Surplus;
use crate::shared_stream::SharedStream;
use crate::socket::RequestSocket;

/// Time that a new connection has for its first request while connections are being closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which the reset of a peer arrives that has closed its connection.
const RESET_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum buffer size accepted by hyper.
const MIN_BUFFER_BYTES: usize = 8_192;

static CONNECTIONS_CLOSED: Counter = Counter::new(
    "calicohoist_connections_closed_total",
    "Closed connections of callers, by the way in which they ended",
    "end",
);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Time limit for receiving the head of a request, including the idle time before it.
    pub head_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Time after which a peer is considered lost that neither acknowledges what it is sent nor
    /// makes room for more.
    pub stall_timeout: Duration,
}

/// Handle of a request's connection.
#[derive(Clone, Debug)]
pub struct RequestContext {
    stream: SharedStream,
    progress: Progress,
    delivery: Delivery,
}

impl RequestContext {
    /// Returns the delivery of the response.
    pub fn delivery(&self) -> &Delivery {
        &self.delivery
    }

    /// Records that the body of the request was received. From then on, the request is cancelled
    /// when its peer closes the connection.
    pub fn body_received(&self) {
        self.progress.record_body_received();
    }

    /// Waits until it is known whether a peer that sends nothing more has left. The request is
    /// cancelled meanwhile if it has.
    pub async fn confirm_peer(&self) {
        if self.stream.is_half_closed() {
            tokio::time::sleep(RESET_TIMEOUT).await;
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// By the peer between two requests, or after a response that announced it.
    Finished,
    /// By this side, while it waited for a request or for the rest of its head.
    Unused,
    /// The peer closed it while its response was awaited.
    PeerLeft,
    /// It failed, or the request was malformed.
    Failed,
}

impl ConnectionEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Unused => "unused",
            Self::PeerLeft => "peer_left",
            Self::Failed => "failed",
        }
    }
}

/// Serves a connection until it is closed.
pub async fn serve<H, F, B>(
    stream: TcpStream,
    settings: ConnectionSettings,
    drain: &Drain,
    handler: H,
) where
    H: Fn(Request<Incoming>, RequestContext) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = SharedStream::new(stream);
    let progress = Progress::new();
    let stage = StageRecord::open();
    let end = serve_requests(&stream, settings, drain, &progress, &stage, handler).await;
    stage.begin_linger();
    CONNECTIONS_CLOSED.inc(end.label());
    let is_request_cut = progress.is_request_cut();
    let is_refused = end == ConnectionEnd::Unused;
    let is_unused_by_peer = !progress.has_requests() && !is_request_cut && !is_refused;
    if end == ConnectionEnd::PeerLeft || is_unused_by_peer {
        return;
    }
    // A peer that sees the end of the connection cannot tell whether its further request was read.
    let is_next_unread = progress.is_response_cut() && stream.has_bytes();
    if progress.is_cut_unnoticeably() || is_next_unread {
        if let Some(stream) = stream.into_inner() {
            reset(stream, settings.stall_timeout).await;
        }
        return;
    }
    let late_bytes = match progress.peer_end() {
        PeerEnd::HalfClosed if !stream.has_bytes() => LateBytes::None,
        PeerEnd::Open if is_request_cut => LateBytes::Discard(progress.missing_body()),
        PeerEnd::Open | PeerEnd::HalfClosed => LateBytes::Leave,
    };
    let answered_at = match progress.answered_at() {
        Some(answered_at) if !is_refused => answered_at,
        Some(_) | None => Instant::now(),
    };
    if let Some(mut stream) = stream.into_inner() {
        if is_refused && refuse(&mut stream, settings.stall_timeout).await.is_err() {
            return;
        }
        linger(stream, late_bytes, answered_at, settings.stall_timeout).await;
    }
}

async fn serve_requests<H, F, B>(
    stream: &SharedStream,
    settings: ConnectionSettings,
    drain: &Drain,
    progress: &Progress,
    stage: &StageRecord,
    handler: H,
) -> ConnectionEnd
where
    H: Fn(Request<Incoming>, RequestContext) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let accepted_at = Instant::now();
    let handler = &handler;
    let service = service_fn(move |request: Request<Incoming>| {
        // Before hyper reads any of its body.
        progress.begin_request(request.body().size_hint().exact());
        async move {
            let context = RequestContext {
                stream: stream.clone(),
                progress: progress.clone(),
                delivery: stage.delivery(stream, progress),
            };
            let may_be_chunked = request.version() == Version::HTTP_11;
            let mut response = handler(request, context).await;
            let has_length = response.body().size_hint().exact().is_some()
                || response.headers().contains_key(CONTENT_LENGTH);
            progress.begin_response(may_be_chunked && !has_length);
            let is_announced = drain.stage() >= DrainStage::Announced;
            if is_announced && !has_next_request(stream, progress) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, progress)))
        }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .half_close(true)
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES));
    let socket = RequestSocket::new(stream.clone(), progress.clone());
    let mut connection = pin!(server.serve_connection(TokioIo::new(socket), service));
    let mut watch = PeerWatch::new(stream.clone(), progress.clone());
    let mut closing = pin!(close_when_idle(drain, progress, accepted_at));
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => return match result {
                Ok(()) if progress.is_closed_idle() => ConnectionEnd::Unused,
                Ok(()) => ConnectionEnd::Finished,
                Err(error) => {
                    emit!(Event::ConnectionFailed, "connection of a caller failed: {error}");
                    let is_unused = error.is_timeout() && progress.awaits_request();
                    if is_unused { ConnectionEnd::Unused } else { ConnectionEnd::Failed }
                }
            },
            () = std::future::poll_fn(|context| watch.poll_left(context)) => {
                return ConnectionEnd::PeerLeft;
            }
            // The connection is polled again, and then finds that it may be idle no longer.
            () = closing.as_mut(), if !is_closing => is_closing = true,
        }
    }
}

/// Lets a connection close when it is idle, once the drain closes connections. A new connection
/// gets time for its first request.
async fn close_when_idle(drain: &Drain, progress: &Progress, accepted_at: Instant) {
    drain.closing().await;
    let first_request_deadline = accepted_at + FIRST_REQUEST_TIMEOUT;
    if progress.has_requests() {
        progress.close_idle_at(Instant::now());
        return;
    }
    progress.close_idle_at(first_request_deadline);
    tokio::time::sleep_until(first_request_deadline.into()).await;
}

/// Returns whether a further request may have arrived behind the current one. The peer must not be
/// told then that it will not be served.
fn has_next_request(stream: &SharedStream, progress: &Progress) -> bool {
    progress.surplus() == Surplus::Possible || stream.has_bytes()
}

/// Response body that records its end.
struct TrackedBody<B> {
    body: B,
    progress: Progress,
}

impl<B> TrackedBody<B> {
    fn new(body: B, progress: &Progress) -> Self {
        Self { body, progress: progress.clone() }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.progress.record_response_end();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(_))) = &frame {
            self.progress.record_body_failure();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
