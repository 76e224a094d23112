//! Startup of the roles from their settings, and graceful shutdown.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use calicohoist_gateway::{GatewayServer, GatewaySettings, ServerConfig};
use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};
use calicohoist_replication::{NodeSettings, RaftSettings};
use calicohoist_store::NodeRef;
use calicohoist_store::driver::{StoreServer, StoreSettings};
use calicohoist_telemetry::{Event, emit, metrics};
use calicohoist_types::Incarnation;
use eyre::{Result, WrapErr, eyre};
use rand::RngExt;

use crate::settings::{GatewaySection, Settings, StoreSection};

/// Builds the driver settings of a store node.
pub fn store_settings(settings: &Settings, section: &StoreSection) -> StoreSettings {
    let raft = RaftSettings {
        heartbeat: section.heartbeat_interval,
        election_min: section.min_election_timeout,
        election_max: section.min_election_timeout * 2,
        clock_drift: section.min_election_timeout / 10,
        ..RaftSettings::default()
    };
    StoreSettings {
        machine: section.machine,
        machines: settings.machines.clone(),
        data_folder: section.data_folder.clone(),
        program_groups: settings.program_groups,
        node: NodeSettings {
            raft,
            entries_per_snapshot: section.entries_per_snapshot,
            ..NodeSettings::default()
        },
    }
}

/// Builds the driver settings of a gateway.
pub fn gateway_config(settings: &Settings, section: &GatewaySection) -> ServerConfig {
    let mut random = rand::rng();
    let core = GatewaySettings {
        node: NodeRef { node: settings.name.clone(), incarnation: Incarnation(incarnation()) },
        peer_address: section.peers,
        zone: settings.zone.clone(),
        store_machines: settings.machines.keys().copied().collect(),
        program_groups: settings.program_groups,
        queue_timeout: section.queue_timeout,
        gap_timeout: section.gap_timeout,
        stall_timeout: section.stall_timeout,
        duplicate_timeout: section.queue_timeout * 2,
        max_calls: section.workers * 4,
        max_waiting_per_engine: section.max_waiting_per_engine,
        max_attempts: section.max_attempts,
        weights: Default::default(),
        has_platform: section.platform.is_some(),
        seed: random.random(),
    };
    ServerConfig {
        core,
        stores: settings.machines.clone(),
        platform: section.platform,
        http: ServerSettings {
            workers: section.workers,
            queue: section.workers * 2,
            max_body_bytes: section.max_body_bytes,
            body_timeout: section.body_timeout,
            ..ServerSettings::default()
        },
        attempt_threads: section.workers,
    }
}

/// Returns the start time in microseconds, so that the latest process of a name takes precedence.
fn incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// Starts a gateway.
///
/// # Errors
/// Returns an error if a socket cannot be bound or a thread cannot be spawned.
pub fn start_gateway(settings: &Settings) -> Result<GatewayServer> {
    let section = settings.gateway.as_ref();
    let section = section.ok_or_else(|| eyre!("the settings have no table [gateway]"))?;
    let http = bind(section.http)?;
    let peers = bind(section.peers)?;
    let server = GatewayServer::start(gateway_config(settings, section), http, peers)?;
    emit!(
        Event::RoleStarted,
        "gateway {} http={} peers={}",
        settings.name,
        server.http_address(),
        server.peer_address()
    );
    Ok(server)
}

/// Starts a store node and its health endpoint, if configured.
///
/// # Errors
/// Returns an error if the log is corrupt or a socket cannot be bound.
pub fn start_store(settings: &Settings) -> Result<(StoreServer, Option<HttpServer>)> {
    let section = settings.store.as_ref();
    let section = section.ok_or_else(|| eyre!("the settings have no table [store]"))?;
    let address = settings.machines[&section.machine];
    let listener = bind(address)?;
    let server = StoreServer::start(store_settings(settings, section), listener)?;
    let health = section.health.map(start_health_server).transpose()?;
    emit!(Event::RoleStarted, "store {} address={}", section.machine, server.address());
    Ok((server, health))
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("cannot bind {address}"))
}

fn start_health_server(address: SocketAddr) -> Result<HttpServer> {
    let settings = ServerSettings { workers: 2, ..ServerSettings::default() };
    Ok(HttpServer::start_on(bind(address)?, settings, Arc::new(HealthHandler))?)
}

/// HTTP handler for `/healthz`, `/readyz` and `/metrics` of a store node.
struct HealthHandler;

impl Handler for HealthHandler {
    fn handle(&self, exchange: Exchange) {
        match exchange.path() {
            "/healthz" | "/readyz" => exchange.reply_text(200, "text/plain", "ok\n"),
            "/metrics" => exchange.reply_text(200, metrics::CONTENT_TYPE, metrics::render()),
            _ => exchange.reply_text(404, "text/plain", "no such endpoint\n"),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}
