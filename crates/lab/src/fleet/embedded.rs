//! Fleet whose nodes and emulated back ends run as threads of this process and communicate
//! over loopback sockets.

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

use super::backends::{EmulatedBackends, FleetSize, bind_loopback};
use super::control::{FleetAddresses, FleetControl};
use crate::deployment::Deployment;
use crate::history::StopEvent;

/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Fleet in this process.
pub struct EmbeddedFleet {
    /// Store machines.
    pub stores: Vec<StoreServer>,
    /// Gateways; `None` for those that were stopped.
    pub gateways: Vec<Option<GatewayServer>>,
    /// Emulated back ends.
    pub backends: EmulatedBackends,
    addresses: FleetAddresses,
}

impl EmbeddedFleet {
    /// Starts a fleet with the size of `deployment`.
    ///
    /// # Errors
    /// When a node or back end cannot be started or the fleet does not become ready.
    pub fn start(deployment: Deployment, data: &Path, seed: u64) -> Result<Self> {
        let configure = |section: &mut GatewaySection| section.workers = 64;
        Self::start_with(deployment, FleetSize::for_deployment(deployment), data, seed, configure)
    }

    /// Starts a fleet of any size; `configure` adjusts the settings of each gateway.
    ///
    /// # Errors
    /// When a node or back end cannot be started or the fleet does not become ready.
    pub fn start_with(
        deployment: Deployment,
        size: FleetSize,
        data: &Path,
        seed: u64,
        configure: impl Fn(&mut GatewaySection),
    ) -> Result<Self> {
        let backends = EmulatedBackends::start(deployment, size, seed)?;
        let stores = start_stores(deployment, size, data)?;
        let machines: BTreeMap<u32, SocketAddr> =
            (1..).zip(stores.iter().map(StoreServer::address)).collect();
        let zones = deployment.zones();
        let mut gateways = Vec::new();
        for index in 0..size.gateways {
            let name = format!("gateway-{index}");
            let mut section = default_gateway_section(backends.platform.address());
            configure(&mut section);
            let settings =
                settings(&name, zones[index % zones.len()], &machines, None, Some(section.clone()));
            let config = gateway_config(&settings, &section);
            gateways.push(GatewayServer::start(config, bind_loopback()?, bind_loopback()?)?);
        }
        let addresses = FleetAddresses {
            deployment,
            gateways: gateways.iter().map(GatewayServer::http_address).collect(),
            engines: backends.engine_endpoints(),
            replicas: backends.replica_endpoints(),
            platform: backends.platform.address(),
        };
        let fleet = Self {
            stores,
            gateways: gateways.into_iter().map(Some).collect(),
            backends,
            addresses,
        };
        fleet.declare_resources()?;
        Ok(fleet)
    }

    fn declare_resources(&self) -> Result<()> {
        let operator = self.addresses.operator();
        if !operator.wait_ready() {
            return Err(eyre!("the first gateway did not report a ready fleet in time"));
        }
        let revision = operator.declare_fleet(&self.backends.declaration())?;
        if operator.wait_in_force(revision) {
            Ok(())
        } else {
            Err(eyre!("revision {revision} did not come into force on all nodes in time"))
        }
    }
}

impl FleetControl for EmbeddedFleet {
    fn addresses(&self) -> &FleetAddresses {
        &self.addresses
    }

    fn is_running(&self, gateway: usize) -> bool {
        self.gateways[gateway].is_some()
    }

    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent> {
        let server = self.gateways[gateway].take()?;
        let began = RealClock.now();
        let complete = server.stop_gracefully(STOP_TIMEOUT);
        Some(StopEvent { gateway, began, ended: RealClock.now(), complete })
    }
}

fn start_stores(deployment: Deployment, size: FleetSize, data: &Path) -> Result<Vec<StoreServer>> {
    let mut listeners = Vec::new();
    for _ in 0..size.stores {
        listeners.push(bind_loopback()?);
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

fn default_gateway_section(platform: SocketAddr) -> GatewaySection {
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
        stop_timeout: STOP_TIMEOUT,
    }
}
