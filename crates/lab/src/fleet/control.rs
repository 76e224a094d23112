//! Operations on a running fleet, embedded or of separate processes.

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
    /// Name of the back end.
    pub name: String,
    /// Address of the back end.
    pub address: SocketAddr,
}

/// Addresses of the nodes and back ends of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAddresses {
    /// Deployment that the fleet emulates.
    pub deployment: Deployment,
    /// Client addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// Engines.
    pub engines: Vec<Endpoint>,
    /// Service replicas.
    pub replicas: Vec<Endpoint>,
    /// Platform, which lists the machines.
    pub platform: SocketAddr,
}

/// A running fleet.
pub trait FleetControl {
    /// Addresses of the nodes and back ends.
    fn addresses(&self) -> &FleetAddresses;

    /// Whether the gateway has not been stopped.
    fn is_running(&self, gateway: usize) -> bool;

    /// Stops a gateway gracefully and waits until it has stopped. Returns `None` if it was not
    /// running.
    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent>;
}

impl FleetAddresses {
    /// Returns an operator client of the first gateway.
    pub fn operator(&self) -> Operator {
        Operator::new(self.gateways[0])
    }

    /// Fetches the request records of all engines.
    pub fn engine_records(&self) -> Vec<EngineRecord> {
        let fetch = |endpoint: &Endpoint| client(endpoint.address).get("/records");
        let fetched = self.engines.iter().filter_map(|endpoint| fetch(endpoint).ok());
        fetched.flat_map(|records: Vec<EngineRecord>| records).collect()
    }

    /// Fetches the execution records of all service replicas.
    pub fn service_records(&self) -> Vec<ServiceRecord> {
        let fetch = |endpoint: &Endpoint| client(endpoint.address).get("/records");
        let fetched = self.replicas.iter().filter_map(|endpoint| fetch(endpoint).ok());
        fetched.flat_map(|records: Vec<ServiceRecord>| records).collect()
    }

    /// Fetches the programs that the engines have in their caches.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings = Vec::new();
        for endpoint in &self.engines {
            let listing = client(endpoint.address).get::<CacheListing>("/v1/cache");
            for program in listing.unwrap_or_default().programs {
                holdings.push(Holding {
                    engine: endpoint.name.clone(),
                    program: program.program.to_string(),
                    tokens: program.tokens,
                });
            }
        }
        holdings
    }

    /// Makes the platform announce the removal of a machine.
    pub fn announce_removal(&self, machine: &str) {
        let path = format!("/v1/machines/{machine}/leave");
        let _ = client(self.platform).post::<_, serde_json::Value>(&path, &());
    }
}

fn client(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, TIMEOUT, TIMEOUT)
}
