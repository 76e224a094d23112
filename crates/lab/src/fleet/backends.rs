//! The stand-ins of a fleet: engines, service replicas, platform, weight store.

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
use super::resources::{BackEnd, Declaration};
use crate::deployment::Deployment;

/// Time by which the platform's list lags.
pub const PLATFORM_LAG: Duration = Duration::from_secs(1);
const ENGINE_SLOTS: u32 = 8;
const REPLICA_SLOTS: u32 = 4;
const FASTEST_JOB: Duration = Duration::from_millis(60);
/// Rate of the weight store and size of a model, in bytes.
const WEIGHT_RATE: u64 = 2_000_000_000;
const MODEL_BYTES: u64 = 16_000_000_000;

/// How many of each part a fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Engines.
    pub engines: usize,
    /// Service replicas.
    pub replicas: usize,
    /// Gateways.
    pub gateways: usize,
    /// Store machines.
    pub stores: u32,
}

impl FleetSize {
    /// The size of a deployment.
    pub const fn of(deployment: Deployment) -> Self {
        Self {
            engines: deployment.engines(),
            replicas: deployment.replicas(),
            gateways: deployment.gateways(),
            stores: deployment.stores(),
        }
    }

    /// The smallest fleet in which every role talks to another of its kind.
    pub const SMALL: Self = Self { engines: 2, replicas: 2, gateways: 2, stores: 3 };
}

/// Running stand-ins.
pub struct Backends {
    /// Engines by name.
    pub engines: Vec<(String, EngineServer)>,
    /// Service replicas by name.
    pub replicas: Vec<(String, ServiceServer)>,
    /// The platform's list.
    pub platform: PlatformServer,
    /// The weight store.
    pub weights: WeightStoreServer,
    deployment: Deployment,
}

/// Binds a free loopback port.
///
/// # Errors
/// When none is free.
pub fn bind() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

impl Backends {
    /// Starts all of them on free ports.
    ///
    /// # Errors
    /// When a port or thread cannot be had.
    pub fn start(deployment: Deployment, size: FleetSize, seed: u64) -> Result<Self> {
        let sizes = BTreeMap::from([(ModelId::new(deployment.model()), MODEL_BYTES)]);
        let weights = WeightStoreServer::start(WeightStoreModel::new(WEIGHT_RATE, sizes), bind()?)?;
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
            engines.push((settings.name.clone(), EngineServer::start(settings, bind()?)?));
        }
        let mut replicas = Vec::new();
        for index in 0..size.replicas {
            let name = format!("{}-{index}", deployment.service());
            let model = ServiceModel::new(&name, FASTEST_JOB, seed ^ (index as u64) << 16);
            let server = ServiceServer::start(model, deployment.zone_delay(), bind()?)?;
            replicas.push((name, server));
        }
        let engine_names = engines.iter().map(|(name, _)| name.clone());
        let replica_names = replicas.iter().map(|(name, _)| name.clone());
        let machines = engine_names.chain(replica_names).collect();
        let platform = PlatformServer::start(PlatformModel::new(machines, PLATFORM_LAG), bind()?)?;
        Ok(Self { engines, replicas, platform, weights, deployment })
    }

    /// Where the engines are.
    pub fn engine_endpoints(&self) -> Vec<Endpoint> {
        let engines = self.engines.iter();
        engines.map(|(name, server)| endpoint(name, server.address())).collect()
    }

    /// Where the replicas are.
    pub fn replica_endpoints(&self) -> Vec<Endpoint> {
        let replicas = self.replicas.iter();
        replicas.map(|(name, server)| endpoint(name, server.address())).collect()
    }

    /// What an operator declares of them.
    pub fn declaration(&self) -> Declaration {
        let zones = self.deployment.zones();
        let back_end = |(index, endpoint): (usize, Endpoint), slots: u32| BackEnd {
            name: endpoint.name,
            address: endpoint.address,
            zone: zones[index % zones.len()].to_owned(),
            slots,
        };
        let engines = self.engine_endpoints().into_iter().enumerate();
        let replicas = self.replica_endpoints().into_iter().enumerate();
        Declaration {
            model: self.deployment.model().to_owned(),
            service: self.deployment.service().to_owned(),
            engines: engines.map(|numbered| back_end(numbered, ENGINE_SLOTS)).collect(),
            replicas: replicas.map(|numbered| back_end(numbered, REPLICA_SLOTS)).collect(),
        }
    }
}

fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    Endpoint { name: name.to_owned(), address }
}
