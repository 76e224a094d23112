//! `calicohoist serve`: runs the role defined by the node file of the platform.

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

use crate::allocator;

/// Arguments of `serve`.
#[derive(Clone, Debug, Bpaf)]
pub struct ServeArguments {
    /// Node file of the platform
    #[bpaf(long("node-file"), env(NODE_FILE_VARIABLE), argument("FILE"))]
    node_file: PathBuf,
    /// Port of the metrics endpoint; disabled if omitted
    #[bpaf(long("metrics-port"), argument("PORT"))]
    metrics_port: Option<u16>,
    /// Ledger nodes: listen on this address instead of the advertised one, for use behind a
    /// forwarder
    #[bpaf(long("bind"), argument("IP"))]
    bind: Option<Ipv4Addr>,
    /// Validate the node file and exit
    #[bpaf(long("check"))]
    check: bool,
}

/// Runs the role until SIGTERM or SIGINT, or only validates the node file.
///
/// # Errors
/// Returns an error if the file is invalid or the role fails to start or to run.
pub fn run(arguments: ServeArguments, mut log: LogSettings) -> Result<()> {
    allocator::return_freed_buffers();
    let early_stop = register_early_signal_handlers()?;
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
    // Nodes get a fraction of a core, so a multi-threaded runtime would gain nothing.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        let stop = watch_stop_signals(&early_stop)?;
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

/// Registers signal handlers before the node file is read and returns the stop flag.
///
/// Without them, an early SIGTERM or SIGHUP would terminate the process with its default action
/// instead of a graceful stop.
fn register_early_signal_handlers() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal_number in [SIGTERM, SIGINT] {
        flag::register(signal_number, Arc::clone(&stop))?;
    }
    flag::register(SIGHUP, Arc::default())?;
    Ok(stop)
}

/// Returns a channel that becomes `true` on SIGTERM or SIGINT, or if `early_stop` is set.
///
/// SIGHUP is only logged: the node file is read once at startup.
fn watch_stop_signals(early_stop: &AtomicBool) -> Result<watch::Receiver<bool>> {
    let (stop, stop_requested) = watch::channel(false);
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
    Ok(stop_requested)
}

/// Serves the metrics of this process on every path.
async fn serve_metrics(listener: TcpListener) {
    loop {
        let (stream, _) = calicohoist_transport::accept(&listener).await;
        let service = service_fn(|_request| async {
            let mut response = hyper::Response::new(Full::new(Bytes::from(metrics::render())));
            let content_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            Ok::<_, Infallible>(response)
        });
        tokio::spawn(async move {
            let server = hyper::server::conn::http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
