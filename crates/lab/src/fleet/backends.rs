//! Emulated back ends of a fleet: engines, service replicas, platform, weight store.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use calicohoist_emulator::engine::model::EngineProfile;
use calicohoist_emulator::{
    EngineServer, EngineServerSettings, PlatformModel, PlatformServer, ServiceModel, ServiceServer,
    WeightStoreModel, WeightStoreServer,
};
use calicohoist_types::ModelId;
use eyre::Result;

use super::control::Endpoint;
use super::resources::{BackendDeclaration, FleetDeclaration};
use crate::deployment::Deployment;

/// Delay before the platform's machine list reflects a change.
pub const PLATFORM_LAG: Duration = Duration::from_secs(1);
const ENGINE_SLOTS: u32 = 8;
const REPLICA_SLOTS: u32 = 4;
const MIN_JOB_DURATION: Duration = Duration::from_millis(60);
/// Throughput of the weight store.
const WEIGHT_BYTES_PER_SECOND: u64 = 2_000_000_000;
const MODEL_BYTES: u64 = 16_000_000_000;

/// Number of nodes and back ends of each kind in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of engines.
    pub engines: usize,
    /// Number of service replicas.
    pub replicas: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of store machines.
    pub stores: u32,
}

impl FleetSize {
    /// Size of a reference deployment.
    pub const fn for_deployment(deployment: Deployment) -> Self {
        Self {
            engines: deployment.engines(),
            replicas: deployment.replicas(),
            gateways: deployment.gateways(),
            stores: deployment.stores(),
        }
    }

    /// Smallest fleet with several nodes or back ends of each kind.
    pub const SMALL: Self = Self { engines: 2, replicas: 2, gateways: 2, stores: 3 };
}

/// Running emulated back ends.
pub struct EmulatedBackends {
    /// Engines by name.
    pub engines: Vec<(String, EngineServer)>,
    /// Service replicas by name.
    pub replicas: Vec<(String, ServiceServer)>,
    /// Platform, which lists the machines.
    pub platform: PlatformServer,
    /// Weight store.
    pub weights: WeightStoreServer,
    deployment: Deployment,
}

/// Binds a free port on the loopback interface.
///
/// # Errors
/// When no port is free.
pub fn bind_loopback() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

impl EmulatedBackends {
    /// Starts all back ends on free loopback ports.
    ///
    /// # Errors
    /// When a port cannot be bound or a thread cannot be started.
    pub fn start(deployment: Deployment, size: FleetSize, seed: u64) -> Result<Self> {
        let sizes = BTreeMap::from([(ModelId::new(deployment.model()), MODEL_BYTES)]);
        let weights = WeightStoreServer::start(
            WeightStoreModel::new(WEIGHT_BYTES_PER_SECOND, sizes),
            bind_loopback()?,
        )?;
        let mut engines = Vec::new();
        for index in 0..size.engines {
            let settings = EngineServerSettings {
                name: format!("engine-{index}"),
                model: ModelId::new(deployment.model()),
                profile: EngineProfile::default(),
                delay: deployment.zone_delay(),
                weights: Some(weights.address()),
                seed: seed ^ (index as u64) << 8,
            };
            engines.push((settings.name.clone(), EngineServer::start(settings, bind_loopback()?)?));
        }
        let mut replicas = Vec::new();
        for index in 0..size.replicas {
            let name = format!("{}-{index}", deployment.service());
            let model = ServiceModel::new(&name, MIN_JOB_DURATION, seed ^ (index as u64) << 16);
            let server = ServiceServer::start(model, deployment.zone_delay(), bind_loopback()?)?;
            replicas.push((name, server));
        }
        let engine_names = engines.iter().map(|(name, _)| name.clone());
        let replica_names = replicas.iter().map(|(name, _)| name.clone());
        let machines = engine_names.chain(replica_names).collect();
        let platform =
            PlatformServer::start(PlatformModel::new(machines, PLATFORM_LAG), bind_loopback()?)?;
        Ok(Self { engines, replicas, platform, weights, deployment })
    }

    /// Names and addresses of the engines.
    pub fn engine_endpoints(&self) -> Vec<Endpoint> {
        let engines = self.engines.iter();
        engines.map(|(name, server)| endpoint(name, server.address())).collect()
    }

    /// Names and addresses of the service replicas.
    pub fn replica_endpoints(&self) -> Vec<Endpoint> {
        let replicas = self.replicas.iter();
        replicas.map(|(name, server)| endpoint(name, server.address())).collect()
    }

    /// Resources that an operator declares for these back ends.
    pub fn declaration(&self) -> FleetDeclaration {
        let zones = self.deployment.zones();
        let declare = |(index, endpoint): (usize, Endpoint), slots: u32| BackendDeclaration {
            name: endpoint.name,
            address: endpoint.address,
            zone: zones[index % zones.len()].to_owned(),
            slots,
        };
        let engines = self.engine_endpoints().into_iter().enumerate();
        let replicas = self.replica_endpoints().into_iter().enumerate();
        FleetDeclaration {
            model: self.deployment.model().to_owned(),
            service: self.deployment.service().to_owned(),
            engines: engines.map(|indexed| declare(indexed, ENGINE_SLOTS)).collect(),
            replicas: replicas.map(|indexed| declare(indexed, REPLICA_SLOTS)).collect(),
        }
    }
}

fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    Endpoint { name: name.to_owned(), address }
}
