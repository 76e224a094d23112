//! Accepts the connections of a listener.

use std::error::Error;

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{ConnectionSettings, RequestContext, serve};
use crate::drain::Drain;

/// Accepts and serves connections until the drain closes them. `settings` is called for each connection.
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
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = drain.closing() => break,
        };
        if let Ok((stream, _)) = accepted {
            spawn(stream);
        }
    }
}
