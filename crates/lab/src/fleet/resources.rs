//! Client of the operator API that declares the resources of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use calicohoist_http::{ClientError, HttpClient};
use serde_json::{Value, json};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a fleet to become ready or a change to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Client of the operator API of one gateway.
#[derive(Clone, Debug)]
pub struct Operator {
    client: HttpClient,
}

impl Operator {
    /// Creates a client of the gateway at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address, CONNECT_TIMEOUT, REPLY_TIMEOUT) }
    }

    /// Waits until the gateway answers and reports a node; returns `false` on timeout.
    pub fn wait_ready(&self) -> bool {
        wait_until(|| {
            let status = self.client.get::<Value>("/apis/v1/status");
            status.is_ok_and(|status| {
                status["nodes"].as_array().is_some_and(|nodes| !nodes.is_empty())
            })
        })
    }

    /// Declares a resource and returns its version.
    ///
    /// # Errors
    /// When the change is refused or the gateway does not answer.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Result<u64, ClientError> {
        let resource: Value = self.client.put(&format!("/apis/v1/{kind}/{name}"), spec)?;
        Ok(resource["version"].as_u64().unwrap_or_default())
    }

    /// Fetches the specification of a resource.
    ///
    /// # Errors
    /// When the resource does not exist or the gateway does not answer.
    pub fn spec(&self, kind: &str, name: &str) -> Result<Value, ClientError> {
        let resource: Value = self.client.get(&format!("/apis/v1/{kind}/{name}"))?;
        Ok(resource["spec"].clone())
    }

    /// Fetches the revision that is in force on all nodes; `None` if the gateway does not answer.
    pub fn in_force(&self) -> Option<u64> {
        let status = self.client.get::<Value>("/apis/v1/status").ok()?;
        status["in_force"].as_u64()
    }

    /// Waits until `revision` is in force on all nodes; returns `false` on timeout.
    pub fn wait_in_force(&self, revision: u64) -> bool {
        wait_until(|| self.in_force().is_some_and(|in_force| in_force >= revision))
    }

    /// Declares a model, its engines and the replicas of a service; returns the last revision.
    ///
    /// # Errors
    /// When a change is refused or the gateway does not answer.
    pub fn declare_fleet(&self, fleet: &FleetDeclaration) -> Result<u64, ClientError> {
        let limits = json!({ "max_output_tokens": 64, "max_prompt_tokens": 100_000 });
        let mut revision = self.put("model", &fleet.model, &limits)?;
        for backend in &fleet.engines {
            let spec = json!({
                "address": backend.address,
                "zone": backend.zone,
                "model": fleet.model,
                "slots": backend.slots,
            });
            revision = self.put("engine", &backend.name, &spec)?;
        }
        for backend in &fleet.replicas {
            let spec = json!({
                "address": backend.address,
                "zone": backend.zone,
                "service": fleet.service,
                "slots": backend.slots,
            });
            revision = self.put("service", &backend.name, &spec)?;
        }
        Ok(revision)
    }
}

/// Resources of a fleet.
#[derive(Clone, Debug)]
pub struct FleetDeclaration {
    /// Model that all engines serve.
    pub model: String,
    /// Service that all replicas belong to.
    pub service: String,
    /// Engines.
    pub engines: Vec<BackendDeclaration>,
    /// Service replicas.
    pub replicas: Vec<BackendDeclaration>,
}

/// Declaration of an engine or service replica.
#[derive(Clone, Debug)]
pub struct BackendDeclaration {
    /// Resource name.
    pub name: String,
    /// Address of the back end.
    pub address: SocketAddr,
    /// Zone of the back end.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}
