//! Accepts the connections of a listener.

use std::error::Error;
use std::io;

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{ConnectionSettings, RequestContext, serve};
use crate::drain::Drain;

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
        tokio::spawn(async move { serve(stream, settings, &drain, handler).await });
    };
    loop {
        tokio::select! {
            biased;
            (stream, _) = tcp::accept(&listener) => spawn(stream),
            () = drain.closing() => break,
        }
    }
    if let Err(error) = accept_queued(listener, spawn) {
        emit!(Event::AcceptFailed, "cannot accept queued connections: {error}");
    }
}

/// Accepts the connections in the queue of the listener, and closes the listener.
fn accept_queued(listener: TcpListener, spawn: impl Fn(TcpStream)) -> io::Result<()> {
    // Asks the kernel, because the runtime may not have learned of the latest arrivals yet.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
