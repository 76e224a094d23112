//! What the lab does with any running fleet, embedded or of processes.

use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_emulator::{EngineRecord, ServiceRecord};
use calicohoist_http::HttpClient;
use calicohoist_types::backend_api::CacheListing;
use serde::{Deserialize, Serialize};

use super::resources::Operator;
use crate::deployment::Deployment;
use crate::history::{Holding, StopEvent};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Name and address of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// Where the parts of a fleet are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMap {
    /// What it stands for.
    pub deployment: Deployment,
    /// Gateways, for callers and operators.
    pub gateways: Vec<SocketAddr>,
    /// Engines.
    pub engines: Vec<Endpoint>,
    /// Service replicas.
    pub replicas: Vec<Endpoint>,
    /// The platform's list.
    pub platform: SocketAddr,
}

/// A running fleet.
pub trait FleetControl {
    /// Where its parts are.
    fn map(&self) -> &FleetMap;

    /// Whether that gateway was not stopped.
    fn is_running(&self, gateway: usize) -> bool;

    /// Stops a gateway as planned, and waits for it.
    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent>;
}

impl FleetMap {
    /// An operator at the first gateway.
    pub fn operator(&self) -> Operator {
        Operator::new(self.gateways[0])
    }

    /// Everything the engines were asked to do.
    pub fn engine_records(&self) -> Vec<EngineRecord> {
        let records = |endpoint: &Endpoint| client(endpoint.address).get("/records");
        let fetched = self.engines.iter().filter_map(|endpoint| records(endpoint).ok());
        fetched.flat_map(|records: Vec<EngineRecord>| records).collect()
    }

    /// Everything the services executed.
    pub fn service_records(&self) -> Vec<ServiceRecord> {
        let records = |endpoint: &Endpoint| client(endpoint.address).get("/records");
        let fetched = self.replicas.iter().filter_map(|endpoint| records(endpoint).ok());
        fetched.flat_map(|records: Vec<ServiceRecord>| records).collect()
    }

    /// What the engines hold in memory now.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut held = Vec::new();
        for endpoint in &self.engines {
            let listing = client(endpoint.address).get::<CacheListing>("/v1/cache");
            for program in listing.unwrap_or_default().programs {
                held.push(Holding {
                    engine: endpoint.name.clone(),
                    program: program.program.to_string(),
                    tokens: program.tokens,
                });
            }
        }
        held
    }

    /// Has the platform announce that a machine will go.
    pub fn announce_leaving(&self, machine: &str) {
        let path = format!("/v1/machines/{machine}/leave");
        let _ = client(self.platform).post::<_, serde_json::Value>(&path, &());
    }
}

fn client(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, TIMEOUT, TIMEOUT)
}
