//! Declaring a fleet's resources through a gateway, as an operator does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use calicohoist_http::{ClientError, HttpClient};
use serde_json::{Value, json};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time to wait for a fleet to become ready or a change to be in force.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// An operator at one gateway.
#[derive(Clone, Debug)]
pub struct Operator {
    client: HttpClient,
}

impl Operator {
    /// An operator that uses the gateway at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: HttpClient::new(address, CONNECT_TIMEOUT, REPLY_TIMEOUT) }
    }

    /// Waits until the gateway answers and has a lease; `false` when it does not.
    pub fn wait_ready(&self) -> bool {
        wait_until(|| {
            let status = self.client.get::<Value>("/apis/v1/status");
            status.is_ok_and(|status| {
                status["nodes"].as_array().is_some_and(|nodes| !nodes.is_empty())
            })
        })
    }

    /// Declares a resource; returns its version.
    ///
    /// # Errors
    /// When the change is refused or the gateway does not answer.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> Result<u64, ClientError> {
        let resource: Value = self.client.put(&format!("/apis/v1/{kind}/{name}"), spec)?;
        Ok(resource["version"].as_u64().unwrap_or_default())
    }

    /// A resource's declaration.
    ///
    /// # Errors
    /// When there is none or the gateway does not answer.
    pub fn spec(&self, kind: &str, name: &str) -> Result<Value, ClientError> {
        let resource: Value = self.client.get(&format!("/apis/v1/{kind}/{name}"))?;
        Ok(resource["spec"].clone())
    }

    /// The revision that is in force everywhere.
    pub fn in_force(&self) -> Option<u64> {
        let status = self.client.get::<Value>("/apis/v1/status").ok()?;
        status["in_force"].as_u64()
    }

    /// Waits until `revision` is in force everywhere.
    pub fn wait_in_force(&self, revision: u64) -> bool {
        wait_until(|| self.in_force().is_some_and(|in_force| in_force >= revision))
    }

    /// Declares a model, its engines and the replicas of a service.
    ///
    /// # Errors
    /// When a change is refused or the gateway does not answer.
    pub fn declare_fleet(&self, fleet: &Declaration) -> Result<u64, ClientError> {
        let limits = json!({ "max_output_tokens": 64, "max_prompt_tokens": 100_000 });
        let mut revision = self.put("model", &fleet.model, &limits)?;
        for back_end in &fleet.engines {
            let spec = json!({
                "address": back_end.address,
                "zone": back_end.zone,
                "model": fleet.model,
                "slots": back_end.slots,
            });
            revision = self.put("engine", &back_end.name, &spec)?;
        }
        for back_end in &fleet.replicas {
            let spec = json!({
                "address": back_end.address,
                "zone": back_end.zone,
                "service": fleet.service,
                "slots": back_end.slots,
            });
            revision = self.put("service", &back_end.name, &spec)?;
        }
        Ok(revision)
    }
}

/// Back ends to declare.
#[derive(Clone, Debug)]
pub struct Declaration {
    /// The model that all engines serve.
    pub model: String,
    /// The service that all replicas belong to.
    pub service: String,
    /// Engines.
    pub engines: Vec<BackEnd>,
    /// Replicas.
    pub replicas: Vec<BackEnd>,
}

/// One back end to declare.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests it is given at a time.
    pub slots: u32,
}

fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(POLL);
    }
    false
}
