//! Starting a role from its settings, and stopping it as planned.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

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

/// Longest time a planned stop of a gateway waits for calls under way.
const STOP_PATIENCE: Duration = Duration::from_secs(120);

/// The settings of a store machine's driver.
pub fn store_settings(settings: &Settings, section: &StoreSection) -> StoreSettings {
    let raft = RaftSettings {
        heartbeat: section.heartbeat,
        election_min: section.election,
        election_max: section.election * 2,
        clock_drift: section.election / 10,
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

/// The settings of a gateway's driver.
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
        },
        attempt_threads: section.workers,
    }
}

/// Later starts have larger numbers, so that the newer start of a name wins.
fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

/// Starts a gateway.
///
/// # Errors
/// When a socket cannot be bound or a thread cannot be started.
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

/// Starts a store machine, with its health endpoint if one is set.
///
/// # Errors
/// When the log is damaged, or a socket cannot be bound.
pub fn start_store(settings: &Settings) -> Result<(StoreServer, Option<HttpServer>)> {
    let section = settings.store.as_ref();
    let section = section.ok_or_else(|| eyre!("the settings have no table [store]"))?;
    let address = settings.machines[&section.machine];
    let listener = bind(address)?;
    let server = StoreServer::start(store_settings(settings, section), listener)?;
    let health = section.health.map(start_health).transpose()?;
    emit!(Event::RoleStarted, "store {} address={}", section.machine, server.address());
    Ok((server, health))
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("cannot bind {address}"))
}

fn start_health(address: SocketAddr) -> Result<HttpServer> {
    let settings = ServerSettings { workers: 2, ..ServerSettings::default() };
    Ok(HttpServer::start_on(bind(address)?, settings, Arc::new(Health))?)
}

/// Stops a gateway as planned; `false` when calls had to be cut.
pub fn stop_gateway(server: GatewayServer) -> bool {
    server.stop_gracefully(STOP_PATIENCE)
}

/// `/healthz`, `/readyz` and `/metrics` of a store machine.
struct Health;

impl Handler for Health {
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
