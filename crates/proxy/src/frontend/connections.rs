//! Client connections.

use std::sync::Arc;
use std::time::Duration;

use calicohoist_connections::{ConnectionSettings, accept};
use calicohoist_routing::Limits;
use tokio::net::TcpListener;

use crate::app::App;
use crate::flow;

/// Serves client requests until the drain closes their connections.
pub async fn serve(listener: TcpListener, app: Arc<App>) {
    let settings = {
        let app = Arc::clone(&app);
        move || connection_settings(app.table().map(|table| table.limits()).unwrap_or_default())
    };
    let drain = app.drain.clone();
    let handler = move |request, context| flow::handle(Arc::clone(&app), request, context);
    accept(listener, drain, settings, handler).await;
}

/// Minimum time after which a client is considered lost that takes nothing of its response.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);

fn connection_settings(limits: Limits) -> ConnectionSettings {
    ConnectionSettings {
        head_timeout: limits.idle_timeout,
        max_head_bytes: limits.max_header_bytes,
        stall_timeout: limits.idle_timeout.max(MIN_STALL_TIMEOUT),
    }
}
