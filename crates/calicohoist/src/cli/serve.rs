//! `calicohoist serve`: the role that a settings file of the platform names.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bpaf::Bpaf;
use bytes::Bytes;
use calicohoist_ledger::server;
use calicohoist_platform::{NODE_FILE_VARIABLE, NodeRole, parse_node_file};
use calicohoist_proxy::frontend;
use calicohoist_telemetry::{Event, LogSettings, emit, logging, metrics};
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
pub struct ServeArguments {
    /// The platform's settings file
    #[bpaf(long("node-file"), env(NODE_FILE_VARIABLE), argument("FILE"))]
    node_file: PathBuf,
    /// Port of the metrics; none are served without it
    #[bpaf(long("metrics-port"), argument("PORT"))]
    metrics_port: Option<u16>,
    /// Ledger machines: listen on this address instead of the machine's own, which others
    /// reach through a forwarder
    #[bpaf(long("bind"), argument("IP"))]
    bind: Option<Ipv4Addr>,
    /// Check the file and start nothing
    #[bpaf(long("check"))]
    check: bool,
}

/// Runs the role until SIGTERM or SIGINT, or only checks the file.
///
/// # Errors
/// When the file is not accepted, or the role cannot start or go on.
pub fn run(arguments: ServeArguments, mut log: LogSettings) -> Result<()> {
    let early_stop = catch_early_signals()?;
    let file = &arguments.node_file;
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let role = parse_node_file(&text)?;
    if arguments.check {
        println!("{}: accepted", file.display());
        return Ok(());
    }
    let (name, ip) = match &role {
        NodeRole::Gateway(settings) => (settings.name.clone(), settings.http.ip()),
        NodeRole::Ledger(settings) => (settings.name.clone(), IpAddr::V4(settings.ip)),
    };
    log.node = name;
    logging::install_non_blocking(log)?;
    // One thread carries all sockets: on a fraction of a core, threads only take turns.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        let stop = watch_signals(&early_stop)?;
        if let Some(port) = arguments.metrics_port {
            let listener = calicohoist_transport::bind(SocketAddr::new(ip, port))?;
            tokio::spawn(serve_metrics(listener));
        }
        match role {
            NodeRole::Gateway(settings) => {
                let listeners = frontend::Listeners::bind(&settings)?;
                frontend::run(settings, listeners, stop).await
            }
            NodeRole::Ledger(settings) => {
                let listeners =
                    server::Listeners::bind(arguments.bind.unwrap_or(settings.ip), settings.ports)?;
                server::run(settings, listeners, stop).await
            }
        }
    });
    if let Err(error) = &result {
        emit!(Event::StopForced; reason = format!("{error:#}"));
    }
    logging::drain();
    result
}

/// Catches signals before anything else is done; the flag tells whether one asked to stop. Until a
/// handler stands, SIGTERM and SIGHUP end a process as if it had crashed: both did while it read
/// its settings, and now it ends with status 0 (a process whose settings come from a pipe).
fn catch_early_signals() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for number in [SIGTERM, SIGINT] {
        flag::register(number, Arc::clone(&stop))?;
    }
    flag::register(SIGHUP, Arc::default())?;
    Ok(stop)
}

/// Turns true at SIGTERM or SIGINT, or if one came early. SIGHUP is noted and changes nothing:
/// what a role needs of the file it needs at its start only.
fn watch_signals(early_stop: &AtomicBool) -> Result<watch::Receiver<bool>> {
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    if early_stop.load(Ordering::SeqCst) {
        stop.send_replace(true);
    }
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => emit!(Event::SettingsReloaded; changed = "nothing"),
            }
        }
        stop.send_replace(true);
    });
    Ok(stopped)
}

/// Answers every request with the metrics of this process.
async fn serve_metrics(listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let service = service_fn(|_request| async {
            let mut response = hyper::Response::new(Full::new(Bytes::from(metrics::render())));
            let content = HeaderValue::from_static(metrics::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content);
            Ok::<_, Infallible>(response)
        });
        tokio::spawn(async move {
            let server = hyper::server::conn::http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
