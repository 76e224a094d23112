//! Client connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use calicohoist_routing::Limits;
use calicohoist_transport::tcp;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::app::App;
use crate::flow;

/// TCP user timeout: time after which a connection with unacknowledged data is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum buffer size accepted by hyper.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts connections until the task is cancelled.
pub async fn accept(listener: TcpListener, app: Arc<App>, closing: watch::Receiver<bool>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await
            && tcp::configure(&stream, USER_TIMEOUT).is_ok()
        {
            tokio::spawn(serve(stream, Arc::clone(&app), closing.clone()));
        }
    }
}

async fn serve(stream: TcpStream, app: Arc<App>, mut closing: watch::Receiver<bool>) {
    let limits = app.table().map_or_else(Limits::default, |table| table.limits());
    let service = service_fn(move |request| {
        let app = Arc::clone(&app);
        async move {
            let mut response = flow::handle(Arc::clone(&app), request).await;
            if app.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
