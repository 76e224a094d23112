//! The sockets that callers connect to.

mod connections;
mod ready;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::app::App;
use crate::news;
use crate::settings::ProxySettings;

/// Time in which callers learn that the gateway is not ready, before it stops listening.
const LAME_DUCK: Duration = Duration::from_millis(2_600);
/// Left of the grace when answers that are not complete are cut.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
const END_POLL: Duration = Duration::from_millis(25);
/// How long nothing must have been under way before the process ends.
const QUIET: Duration = Duration::from_millis(150);

/// The sockets of a gateway, already listening.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub http: TcpListener,
    /// For questions whether it is ready.
    pub ready: TcpListener,
}

impl Listeners {
    /// Listens where the settings say.
    ///
    /// # Errors
    /// When an address is taken.
    pub fn bind(settings: &ProxySettings) -> eyre::Result<Self> {
        Ok(Self { http: listen(settings.http)?, ready: listen(settings.ready)? })
    }
}

/// Runs a gateway until `stop` turns true and its requests have ended.
///
/// # Errors
/// None today; a role that cannot go on says why.
pub async fn run(
    settings: ProxySettings,
    listeners: Listeners,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let Listeners { http, ready } = listeners;
    let app = Arc::new(App::new(settings));
    let (closing, closing_seen) = watch::channel(false);
    emit!(
        Event::RoleStarted;
        role = "gateway",
        http = app.settings.http,
        protocol = calicohoist_ledger::protocol::SUPPORTED_VERSIONS,
    );
    tokio::spawn(news::follow(Arc::clone(&app)));
    tokio::spawn(ready::accept(ready, Arc::clone(&app)));
    let accepting = tokio::spawn(connections::accept(http, Arc::clone(&app), closing_seen));
    if stop.wait_for(|stop| *stop).await.is_err() {
        return Ok(());
    }
    emit!(Event::StopRequested; role = "gateway", under_way = app.requests_under_way());
    let grace = app.settings.grace.saturating_sub(GRACE_RESERVE);
    let cut_at = Instant::now() + grace;
    app.stop();
    tokio::time::sleep(LAME_DUCK.min(grace / 2)).await;
    accepting.abort();
    closing.send_replace(true);
    wait_until_quiet(&app, cut_at).await;
    let left = app.requests_under_way();
    let event = if left == 0 { Event::StopFinished } else { Event::StopForced };
    emit!(event; role = "gateway", cut = left);
    Ok(())
}

/// Waits until no request has been under way for a while: one that was on its way when
/// its connection was told to end still comes in.
async fn wait_until_quiet(app: &App, cut_at: Instant) {
    let mut quiet_since = Instant::now();
    while quiet_since.elapsed() < QUIET && Instant::now() < cut_at {
        tokio::time::sleep(END_POLL).await;
        if app.requests_under_way() > 0 {
            quiet_since = Instant::now();
        }
    }
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = calicohoist_transport::bind(address);
    listener.map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))
}
