//! Emulated machine list of the platform, with a configurable propagation delay.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};
use calicohoist_types::{MachineState, MachineStatus, Moment};
use parking_lot::Mutex;
use serde_json::json;

use crate::clock::RealClock;

/// I/O-free model of the machine list.
#[derive(Debug)]
pub struct PlatformModel {
    lag: Duration,
    leaving_since: BTreeMap<String, Moment>,
    machines: Vec<String>,
}

impl PlatformModel {
    /// Creates a list of live machines whose changes become visible after `lag`.
    pub fn new(machines: Vec<String>, lag: Duration) -> Self {
        Self { lag, leaving_since: BTreeMap::new(), machines }
    }

    /// Marks a machine as leaving.
    pub fn announce_leaving(&mut self, now: Moment, machine: &str) {
        self.leaving_since.entry(machine.to_owned()).or_insert(now);
    }

    /// Returns the list as visible at `now`.
    pub fn list(&self, now: Moment) -> Vec<MachineStatus> {
        let is_visible = |since: &Moment| *since + self.lag <= now;
        let status = |name: &String| MachineStatus {
            name: name.clone(),
            state: match self.leaving_since.get(name) {
                Some(since) if is_visible(since) => MachineState::Leaving,
                _ => MachineState::Live,
            },
        };
        self.machines.iter().map(status).collect()
    }
}

struct PlatformHandler {
    model: Mutex<PlatformModel>,
    clock: RealClock,
}

/// HTTP server that runs the machine list in real time.
pub struct PlatformServer {
    http: HttpServer,
    handler: Arc<PlatformHandler>,
}

impl PlatformServer {
    /// Starts the server on `listener`.
    ///
    /// # Errors
    /// Returns an error if a thread cannot be spawned.
    pub fn start(model: PlatformModel, listener: TcpListener) -> std::io::Result<Self> {
        let handler = Arc::new(PlatformHandler { model: Mutex::new(model), clock: RealClock });
        let settings = ServerSettings { workers: 4, ..ServerSettings::default() };
        let http = HttpServer::start_on(listener, settings, handler.clone())?;
        Ok(Self { http, handler })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Marks a machine as leaving.
    pub fn announce_leaving(&self, machine: &str) {
        let now = self.handler.clock.now();
        self.handler.model.lock().announce_leaving(now, machine);
    }
}

impl Handler for PlatformHandler {
    fn handle(&self, exchange: Exchange) {
        let segments = exchange.segments();
        let parts: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (exchange.method(), parts.as_slice()) {
            ("GET", ["v1", "machines"]) => {
                let list = self.model.lock().list(self.clock.now());
                exchange.reply_json(200, &[], &list);
            }
            ("POST", ["v1", "machines", name, "leave"]) => {
                let now = self.clock.now();
                self.model.lock().announce_leaving(now, name);
                exchange.reply_json(200, &[], &json!({ "leaving": name }));
            }
            _ => exchange.reply_json(404, &[], &json!({ "error": "no such endpoint" })),
        }
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_json(503, &[], &json!({ "error": "too many requests" }));
    }
}
