//! All roles and stand-ins as threads of one process, over loopback sockets.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use calicohoist::roles::{gateway_config, store_settings};
use calicohoist::settings::{GatewaySection, Settings, StoreSection};
use calicohoist_emulator::engine::model::EngineProfile;
use calicohoist_emulator::{
    EngineServer, EngineServerSettings, PlatformModel, PlatformServer, ServiceModel, ServiceServer,
    WeightStoreModel, WeightStoreServer,
};
use calicohoist_gateway::GatewayServer;
use calicohoist_store::driver::StoreServer;
use calicohoist_types::{ModelId, NodeId, Zone};
use eyre::{Result, eyre};

use super::resources::{BackEnd, Declaration, Operator};
use crate::deployment::Deployment;

/// Time by which the platform's list lags.
pub const PLATFORM_LAG: Duration = Duration::from_secs(1);
const ENGINE_SLOTS: u32 = 8;
const REPLICA_SLOTS: u32 = 4;
const FASTEST_JOB: Duration = Duration::from_millis(60);
/// Rate of the weight store and size of a model, in bytes.
const WEIGHT_RATE: u64 = 2_000_000_000;
const MODEL_BYTES: u64 = 16_000_000_000;

/// A fleet in this process.
pub struct EmbeddedFleet {
    /// Store machines.
    pub stores: Vec<StoreServer>,
    /// Gateways; `None` where one was stopped.
    pub gateways: Vec<Option<GatewayServer>>,
    /// Addresses of all gateways, the stopped ones included.
    pub gateway_addresses: Vec<SocketAddr>,
    /// Engines by name.
    pub engines: Vec<(String, EngineServer)>,
    /// Service replicas by name.
    pub replicas: Vec<(String, ServiceServer)>,
    /// The platform's list.
    pub platform: PlatformServer,
    /// The weight store.
    pub weights: WeightStoreServer,
}

/// Binds a free loopback port.
///
/// # Errors
/// When none is free.
pub fn bind() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
}

impl EmbeddedFleet {
    /// Starts everything, and declares the back ends as an operator would.
    ///
    /// # Errors
    /// When a part cannot be started or the fleet does not become ready.
    pub fn start(deployment: Deployment, data: &Path, seed: u64) -> Result<Self> {
        let zones = deployment.zones();
        let engines = start_engines(deployment, seed)?;
        let replicas = start_replicas(deployment, seed)?;
        let names = engines.iter().map(|(name, _)| name.clone());
        let machines = names
            .chain(replicas.iter().map(|(name, _)| name.clone()))
            .collect();
        let platform = PlatformServer::start(PlatformModel::new(machines, PLATFORM_LAG), bind()?)?;
        let sizes = BTreeMap::from([(ModelId::new(deployment.model()), MODEL_BYTES)]);
        let weights = WeightStoreServer::start(WeightStoreModel::new(WEIGHT_RATE, sizes), bind()?)?;
        let stores = start_stores(deployment, data)?;
        let machines: BTreeMap<u16, SocketAddr> =
            (1..).zip(stores.iter().map(StoreServer::address)).collect();
        let mut gateways = Vec::new();
        for index in 0..deployment.gateways() {
            let name = format!("gateway-{index}");
            let zone = zones[index % zones.len()];
            let section = gateway_section(platform.address());
            let settings = settings(&name, zone, &machines, None, Some(section.clone()));
            let config = gateway_config(&settings, &section);
            gateways.push(GatewayServer::start(config, bind()?, bind()?)?);
        }
        let fleet = Self {
            stores,
            gateway_addresses: gateways.iter().map(GatewayServer::http_address).collect(),
            gateways: gateways.into_iter().map(Some).collect(),
            engines,
            replicas,
            platform,
            weights,
        };
        fleet.declare(deployment)?;
        Ok(fleet)
    }

    fn declare(&self, deployment: Deployment) -> Result<()> {
        let operator = self.operator();
        if !operator.wait_ready() {
            return Err(eyre!("the fleet did not become ready"));
        }
        let zones = deployment.zones();
        let back_end = |index: usize, name: &str, address: SocketAddr, slots: u32| BackEnd {
            name: name.to_owned(),
            address,
            zone: zones[index % zones.len()].to_owned(),
            slots,
        };
        let engines = self.engines.iter().enumerate();
        let replicas = self.replicas.iter().enumerate();
        let declaration = Declaration {
            model: deployment.model().to_owned(),
            service: deployment.service().to_owned(),
            engines: engines
                .map(|(index, (name, server))| {
                    back_end(index, name, server.address(), ENGINE_SLOTS)
                })
                .collect(),
            replicas: replicas
                .map(|(index, (name, server))| {
                    back_end(index, name, server.address(), REPLICA_SLOTS)
                })
                .collect(),
        };
        let revision = operator.declare_fleet(&declaration)?;
        if operator.wait_in_force(revision) {
            Ok(())
        } else {
            Err(eyre!("revision {revision} did not come into force"))
        }
    }

    /// An operator at the first gateway.
    pub fn operator(&self) -> Operator {
        Operator::new(self.gateway_addresses[0])
    }
}

fn start_engines(deployment: Deployment, seed: u64) -> Result<Vec<(String, EngineServer)>> {
    let mut engines = Vec::new();
    for index in 0..deployment.engines() {
        let name = format!("engine-{index}");
        let settings = EngineServerSettings {
            name: name.clone(),
            model: ModelId::new(deployment.model()),
            profile: EngineProfile::default(),
            delay: deployment.zone_delay(),
            seed: seed ^ (index as u64) << 8,
        };
        engines.push((name, EngineServer::start(settings, bind()?)?));
    }
    Ok(engines)
}

fn start_replicas(deployment: Deployment, seed: u64) -> Result<Vec<(String, ServiceServer)>> {
    let mut replicas = Vec::new();
    for index in 0..deployment.replicas() {
        let name = format!("{}-{index}", deployment.service());
        let model = ServiceModel::new(&name, FASTEST_JOB, seed ^ (index as u64) << 16);
        let server = ServiceServer::start(model, deployment.zone_delay(), bind()?)?;
        replicas.push((name, server));
    }
    Ok(replicas)
}

fn start_stores(deployment: Deployment, data: &Path) -> Result<Vec<StoreServer>> {
    let mut listeners = Vec::new();
    for _ in 0..deployment.stores() {
        listeners.push(bind()?);
    }
    let mut machines = BTreeMap::new();
    for (number, listener) in (1..).zip(&listeners) {
        machines.insert(number, listener.local_addr()?);
    }
    let mut stores = Vec::new();
    for (machine, listener) in (1..).zip(listeners) {
        let zones = deployment.zones();
        let zone = zones[usize::from(machine) % zones.len()];
        let section = StoreSection {
            machine,
            data_folder: data.join(format!("store-{machine}")),
            health: None,
            heartbeat: Duration::from_millis(60),
            election: Duration::from_millis(400),
            entries_per_snapshot: 20_000,
        };
        let name = format!("store-{machine}");
        let settings = settings(&name, zone, &machines, Some(section.clone()), None);
        stores.push(StoreServer::start(
            store_settings(&settings, &section),
            listener,
        )?);
    }
    Ok(stores)
}

fn settings(
    name: &str,
    zone: &str,
    machines: &BTreeMap<u16, SocketAddr>,
    store: Option<StoreSection>,
    gateway: Option<GatewaySection>,
) -> Settings {
    Settings {
        name: NodeId::new(name),
        zone: Zone::new(zone),
        machines: machines.clone(),
        program_groups: 4,
        store,
        gateway,
    }
}

fn gateway_section(platform: SocketAddr) -> GatewaySection {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    GatewaySection {
        http: unused,
        peers: unused,
        platform: Some(platform),
        workers: 64,
        max_body_bytes: 4 << 20,
        body_timeout: Duration::from_secs(10),
        queue_timeout: Duration::from_secs(30),
        gap_timeout: Duration::from_secs(2),
        stall_timeout: Duration::from_secs(10),
        max_attempts: 4,
        max_waiting_per_engine: 256,
    }
}
