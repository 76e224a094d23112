//! Sockets that clients connect to, and the lifecycle of the gateway.

mod connections;
mod ready;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::app::App;
use crate::ledger_watch;
use crate::settings::ProxySettings;

/// Time between reporting not ready and closing the listening socket, so that load balancers stop
/// sending requests.
const LAME_DUCK_PERIOD: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is reserved for aborting incomplete responses.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time without active requests after which the process exits.
const IDLE_TIME: Duration = Duration::from_millis(150);

/// Listening sockets of a gateway.
#[derive(Debug)]
pub struct Listeners {
    /// For client requests.
    pub http: TcpListener,
    /// For readiness checks.
    pub ready: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub fn bind(settings: &ProxySettings) -> eyre::Result<Self> {
        Ok(Self { http: listen(settings.http)?, ready: listen(settings.ready)? })
    }
}

/// Runs a gateway until `stop` becomes true and its active requests have ended.
///
/// # Errors
/// Currently none.
pub async fn run(
    settings: ProxySettings,
    listeners: Listeners,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let Listeners { http, ready } = listeners;
    let app = Arc::new(App::new(settings));
    let (closing, closing_receiver) = watch::channel(false);
    emit!(
        Event::RoleStarted;
        role = "gateway",
        http = app.settings.http,
        protocol = calicohoist_ledger::protocol::SUPPORTED_VERSIONS,
    );
    tokio::spawn(ledger_watch::run(Arc::clone(&app)));
    tokio::spawn(ready::accept(ready, Arc::clone(&app)));
    let accept_task = tokio::spawn(connections::accept(http, Arc::clone(&app), closing_receiver));
    if stop.wait_for(|stop| *stop).await.is_err() {
        return Ok(());
    }
    emit!(Event::StopRequested; role = "gateway", under_way = app.active_requests());
    let grace = app.settings.grace.saturating_sub(GRACE_RESERVE);
    let abort_at = Instant::now() + grace;
    app.stop();
    tokio::time::sleep(LAME_DUCK_PERIOD.min(grace / 2)).await;
    accept_task.abort();
    closing.send_replace(true);
    wait_until_idle(&app, abort_at).await;
    let remaining = app.active_requests();
    let event = if remaining == 0 { Event::StopFinished } else { Event::StopForced };
    emit!(event; role = "gateway", cut = remaining);
    Ok(())
}

/// Waits until there has been no active request for [`IDLE_TIME`], or until `abort_at`. Requests
/// in transit may still arrive after their connections have started to close.
async fn wait_until_idle(app: &App, abort_at: Instant) {
    let mut idle_since = Instant::now();
    while idle_since.elapsed() < IDLE_TIME && Instant::now() < abort_at {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if app.active_requests() > 0 {
            idle_since = Instant::now();
        }
    }
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = calicohoist_transport::bind(address);
    listener.map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))
}
