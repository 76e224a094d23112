//! Readiness endpoint.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::app::App;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Responds to every request with 200 if the gateway is ready, and with 503 otherwise.
pub async fn accept(listener: TcpListener, app: Arc<App>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&app)));
        }
    }
}

async fn serve(stream: TcpStream, app: Arc<App>) {
    let service = service_fn(move |_request| {
        let mut response = Response::new(Full::<Bytes>::default());
        if !app.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}
