//! `calicohoist serve`: the role that a settings file of the platform names.

use std::path::Path;

use calicohoist_ledger::server;
use calicohoist_platform::{NodeRole, read_node_file};
use calicohoist_proxy::front;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Runs the role until SIGTERM or SIGINT, or only checks the file.
///
/// # Errors
/// When the file is not accepted, or the role cannot start or go on.
pub fn run(node_file: &Path, check: bool) -> Result<()> {
    let text = std::fs::read_to_string(node_file)
        .wrap_err_with(|| format!("cannot read {}", node_file.display()))?;
    let role = read_node_file(&text)?;
    if check {
        println!("{}: accepted", node_file.display());
        return Ok(());
    }
    // One thread carries all sockets: on a fraction of a core, threads only take turns.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let stop = watch_signals()?;
        match role {
            NodeRole::Gateway(settings) => {
                let listeners = front::Listeners::bind(&settings)?;
                front::run(settings, listeners, stop).await
            }
            NodeRole::Ledger(settings) => {
                let listeners = server::Listeners::bind(&settings)?;
                server::run(settings, listeners, stop).await
            }
        }
    })
}

/// Turns true at SIGTERM or SIGINT. SIGHUP is taken and changes nothing: what a role
/// needs of the file it needs at its start only.
fn watch_signals() -> Result<watch::Receiver<bool>> {
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => log::info!("settings file changed; nothing to apply"),
            }
        }
        stop.send_replace(true);
    });
    Ok(stopped)
}
