//! Sockets that clients connect to, and the lifecycle of the gateway.

mod connections;
mod ready;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_connections::{DrainStage, StopSchedule};
use calicohoist_telemetry::{Event, emit};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::app::App;
use crate::settings::ProxySettings;
use crate::{ledger_watch, pauses};

/// Time between reporting not ready and closing the listening socket, so that load balancers stop
/// sending requests.
const LAME_DUCK_PERIOD: Duration = Duration::from_millis(2_600);
/// Interval at which it is checked whether background tasks have ended.
const TASK_POLL_INTERVAL: Duration = Duration::from_millis(25);

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
    let drain = app.drain.clone();
    emit!(
        Event::RoleStarted;
        role = "gateway",
        http = app.settings.http,
        protocol = calicohoist_ledger::protocol::SUPPORTED_VERSIONS,
    );
    tokio::spawn(ledger_watch::run(Arc::clone(&app)));
    tokio::spawn(pauses::run(Arc::clone(&app)));
    tokio::spawn(ready::serve(ready, Arc::clone(&app)));
    let accept_task = tokio::spawn(connections::serve(http, Arc::clone(&app)));
    if stop.wait_for(|stop| *stop).await.is_err() {
        return Ok(());
    }
    emit!(Event::StopRequested; role = "gateway", connections = drain.open_connections());
    let grace = app.settings.grace;
    let schedule = StopSchedule::new(Instant::now(), grace);
    drain.announce(schedule);
    tokio::time::sleep(LAME_DUCK_PERIOD.min(grace / 2)).await;
    drain.advance(DrainStage::Closing);
    // Only panics end the task otherwise, and those were reported.
    let _ = accept_task.await;
    drain.wait_until_closed(schedule.exit_by()).await;
    wait_for_tasks(&app, schedule.exit_by()).await;
    let (connections, tasks) = (drain.open_connections(), app.running_tasks());
    let event = if connections + tasks == 0 { Event::StopFinished } else { Event::StopForced };
    emit!(event; role = "gateway", cut = connections, unfinished_tasks = tasks);
    Ok(())
}

/// Waits until the background tasks have ended, or until `deadline`.
async fn wait_for_tasks(app: &App, deadline: Instant) {
    while app.running_tasks() > 0 && Instant::now() < deadline {
        tokio::time::sleep(TASK_POLL_INTERVAL).await;
    }
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = calicohoist_transport::bind(address);
    listener.map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))
}
