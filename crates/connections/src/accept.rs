//! Accepts the connections of a listener.

use std::error::Error;
use std::io;
use std::pin::pin;
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{ConnectionSettings, RequestContext, serve};
use crate::drain::Drain;

/// Maximum time for accepting the connections that are queued when the listener is closed.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the drain closes them; returns once the queue of the
/// listener is empty then. `settings` is called for each connection.
pub async fn accept<S, H, F, B>(listener: TcpListener, drain: Drain, settings: S, handler: H)
where
    S: Fn() -> ConnectionSettings,
    H: Fn(Request<Incoming>, RequestContext) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send,
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let spawn = |stream: TcpStream| {
        let settings = settings();
        if let Err(error) = tcp::configure(&stream, settings.stall_timeout) {
            // The peer has reset the connection meanwhile.
            emit!(Event::ConnectionFailed, "cannot configure a connection: {error}");
            return;
        }
        let (drain, handler) = (drain.clone(), handler.clone());
        // Counted before the task first runs, so that a drain does not miss it.
        let open = drain.open_connection();
        tokio::spawn(async move {
            serve(stream, settings, &drain, handler).await;
            drop(open);
        });
    };
    let mut closing = pin!(drain.closing());
    loop {
        tokio::select! {
            // The close comes first, because another peer may always be waiting.
            biased;
            () = closing.as_mut() => break,
            (stream, _) = tcp::accept(&listener) => spawn(stream),
        }
    }
    // A connection that is completed between the last accept and the close would be reset, with the
    // request that its peer may have sent on it.
    if let Err(error) = tcp::ignore_new_peers(&listener) {
        emit!(
            Event::AcceptFailed,
            "cannot ignore new peers before the listener is closed: {error}"
        );
    }
    tokio::time::sleep(tcp::HANDSHAKE_TIME).await;
    // The timeout applies while there is no free file descriptor.
    let _ = tokio::time::timeout(QUEUE_TIMEOUT, accept_queued(listener, spawn)).await;
}

/// Accepts the connections in the queue of the listener, and closes the listener.
async fn accept_queued(listener: TcpListener, spawn: impl Fn(TcpStream)) {
    // Asks the kernel, because the runtime may not have learned of the latest arrivals yet.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            emit!(Event::AcceptFailed, "cannot accept queued connections: {error}");
            return;
        }
    };
    loop {
        match accept_now(&listener) {
            Ok(stream) => spawn(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                emit!(Event::AcceptFailed, "cannot accept a queued connection: {error}");
                tokio::time::sleep(QUEUE_RETRY_INTERVAL).await;
            }
        }
    }
}

fn accept_now(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
