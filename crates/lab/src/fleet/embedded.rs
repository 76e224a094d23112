//! All roles and stand-ins as threads of one process, over loopback sockets.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use calicohoist::roles::{gateway_config, store_settings};
use calicohoist::settings::{GatewaySection, Settings, StoreSection};
use calicohoist_emulator::RealClock;
use calicohoist_gateway::GatewayServer;
use calicohoist_store::driver::StoreServer;
use calicohoist_types::{NodeId, Zone};
use eyre::{Result, eyre};

use super::backends::{Backends, FleetSize, bind};
use super::control::{FleetControl, FleetMap};
use crate::deployment::Deployment;
use crate::history::StopEvent;

/// Longest wait for a planned stop.
const STOP_PATIENCE: Duration = Duration::from_secs(60);

/// A fleet in this process.
pub struct EmbeddedFleet {
    /// Store machines.
    pub stores: Vec<StoreServer>,
    /// Gateways; `None` where one was stopped.
    pub gateways: Vec<Option<GatewayServer>>,
    /// The stand-ins.
    pub backends: Backends,
    map: FleetMap,
}

impl EmbeddedFleet {
    /// Starts a fleet of a deployment's size.
    ///
    /// # Errors
    /// When a part cannot be started or the fleet does not become ready.
    pub fn start(deployment: Deployment, data: &Path, seed: u64) -> Result<Self> {
        let tune = |section: &mut GatewaySection| section.workers = 64;
        Self::start_with(deployment, FleetSize::of(deployment), data, seed, tune)
    }

    /// Starts a fleet of any size; `tune` changes the gateways' settings.
    ///
    /// # Errors
    /// When a part cannot be started or the fleet does not become ready.
    pub fn start_with(
        deployment: Deployment,
        size: FleetSize,
        data: &Path,
        seed: u64,
        tune: impl Fn(&mut GatewaySection),
    ) -> Result<Self> {
        let backends = Backends::start(deployment, size, seed)?;
        let stores = start_stores(deployment, size, data)?;
        let machines: BTreeMap<u32, SocketAddr> =
            (1..).zip(stores.iter().map(StoreServer::address)).collect();
        let zones = deployment.zones();
        let mut gateways = Vec::new();
        for index in 0..size.gateways {
            let name = format!("gateway-{index}");
            let mut section = gateway_section(backends.platform.address());
            tune(&mut section);
            let settings =
                settings(&name, zones[index % zones.len()], &machines, None, Some(section.clone()));
            let config = gateway_config(&settings, &section);
            gateways.push(GatewayServer::start(config, bind()?, bind()?)?);
        }
        let map = FleetMap {
            deployment,
            gateways: gateways.iter().map(GatewayServer::http_address).collect(),
            engines: backends.engine_endpoints(),
            replicas: backends.replica_endpoints(),
            platform: backends.platform.address(),
        };
        let fleet =
            Self { stores, gateways: gateways.into_iter().map(Some).collect(), backends, map };
        fleet.declare()?;
        Ok(fleet)
    }

    fn declare(&self) -> Result<()> {
        let operator = self.map.operator();
        if !operator.wait_ready() {
            return Err(eyre!("the fleet did not become ready"));
        }
        let revision = operator.declare_fleet(&self.backends.declaration())?;
        if operator.wait_in_force(revision) {
            Ok(())
        } else {
            Err(eyre!("revision {revision} did not come into force"))
        }
    }
}

impl FleetControl for EmbeddedFleet {
    fn map(&self) -> &FleetMap {
        &self.map
    }

    fn is_running(&self, gateway: usize) -> bool {
        self.gateways[gateway].is_some()
    }

    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent> {
        let server = self.gateways[gateway].take()?;
        let began = RealClock.now();
        let complete = server.stop_gracefully(STOP_PATIENCE);
        Some(StopEvent { gateway, began, ended: RealClock.now(), complete })
    }
}

fn start_stores(deployment: Deployment, size: FleetSize, data: &Path) -> Result<Vec<StoreServer>> {
    let mut listeners = Vec::new();
    for _ in 0..size.stores {
        listeners.push(bind()?);
    }
    let mut machines = BTreeMap::new();
    for (number, listener) in (1..).zip(&listeners) {
        machines.insert(number, listener.local_addr()?);
    }
    let zones = deployment.zones();
    let mut stores = Vec::new();
    for (machine, listener) in (1..).zip(listeners) {
        let zone = zones[machine as usize % zones.len()];
        let name = format!("store-{machine}");
        let section = StoreSection {
            machine,
            data_folder: data.join(&name),
            health: None,
            heartbeat_interval: Duration::from_millis(60),
            min_election_timeout: Duration::from_millis(400),
            entries_per_snapshot: 20_000,
        };
        let settings = settings(&name, zone, &machines, Some(section.clone()), None);
        stores.push(StoreServer::start(store_settings(&settings, &section), listener)?);
    }
    Ok(stores)
}

fn settings(
    name: &str,
    zone: &str,
    machines: &BTreeMap<u32, SocketAddr>,
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
