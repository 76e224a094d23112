//! Readiness endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use calicohoist_connections::{ConnectionSettings, Drain, accept};
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::net::TcpListener;

use crate::app::App;

const SETTINGS: ConnectionSettings = ConnectionSettings {
    head_timeout: Duration::from_secs(5),
    max_head_bytes: 8 << 10,
    stall_timeout: Duration::from_secs(5),
};

/// Responds to every request with 200 if the gateway is ready, and with 503 otherwise, until the
/// process exits.
pub async fn serve(listener: TcpListener, app: Arc<App>) {
    let handler = move |_request, _context| {
        let mut response = Response::new(Full::<Bytes>::default());
        if !app.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async { response }
    };
    accept(listener, Drain::default(), || SETTINGS, handler).await;
}
