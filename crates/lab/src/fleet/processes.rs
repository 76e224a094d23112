//! Fleet of separate processes: writes its settings files and controls it with signals.
//!
//! `calicohoist-lab backends` runs the emulated back ends and writes the settings files;
//! `scripts/fleet.sh` starts one process per file and writes its process ID to a `.pid` file.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use calicohoist_emulator::RealClock;
use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process, test_kill_process};

use super::backends::{EmulatedBackends, FleetSize, bind_loopback};
use super::control::{FleetAddresses, FleetControl};
use super::resources::FleetDeclaration;
use crate::deployment::Deployment;
use crate::history::StopEvent;

/// Name of the file with the addresses of all nodes and back ends.
pub const ADDRESSES_FILE: &str = "fleet.json";
/// Name of the resource file for `calicohoist apply`.
pub const RESOURCES_FILE: &str = "resources.toml";
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Writes the settings files of all processes of a fleet into `folder`.
///
/// # Errors
/// When a file cannot be written or no port is free.
pub fn write_settings(
    folder: &Path,
    deployment: Deployment,
    size: FleetSize,
    backends: &EmulatedBackends,
) -> Result<FleetAddresses> {
    std::fs::create_dir_all(folder)?;
    let zones = deployment.zones();
    let stores = free_addresses(size.stores as usize)?;
    let machines: BTreeMap<u32, SocketAddr> = (1..).zip(stores).collect();
    for machine in machines.keys() {
        let zone = zones[*machine as usize % zones.len()];
        let name = format!("store-{machine}");
        let mut text = common_settings(&name, zone, &machines)?;
        let data = folder.join(format!("data-{machine}"));
        write!(
            text,
            "\n[store]\nmachine = {machine}\ndata_folder = {:?}\n",
            data.display().to_string()
        )?;
        std::fs::write(folder.join(format!("{name}.toml")), text)?;
    }
    let http = free_addresses(size.gateways)?;
    let peers = free_addresses(size.gateways)?;
    for (index, (http, peers)) in http.iter().zip(&peers).enumerate() {
        let name = format!("gateway-{index}");
        let mut text = common_settings(&name, zones[index % zones.len()], &machines)?;
        write!(text, "\n[gateway]\nhttp = \"{http}\"\npeers = \"{peers}\"\n")?;
        writeln!(text, "platform = \"{}\"", backends.platform.address())?;
        std::fs::write(folder.join(format!("{name}.toml")), text)?;
    }
    std::fs::write(folder.join(RESOURCES_FILE), resources_toml(&backends.declaration())?)?;
    let addresses = FleetAddresses {
        deployment,
        gateways: http,
        engines: backends.engine_endpoints(),
        replicas: backends.replica_endpoints(),
        platform: backends.platform.address(),
    };
    std::fs::write(folder.join(ADDRESSES_FILE), serde_json::to_vec_pretty(&addresses)?)?;
    Ok(addresses)
}

/// Finds free loopback ports. All are bound at the same time, so that no port occurs twice.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<_>> = (0..count).map(|_| bind_loopback()).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(std::net::TcpListener::local_addr).collect();
    Ok(addresses?)
}

fn common_settings(name: &str, zone: &str, machines: &BTreeMap<u32, SocketAddr>) -> Result<String> {
    let mut text = format!("name = \"{name}\"\nzone = \"{zone}\"\nprogram_groups = 4\n");
    for (number, address) in machines {
        write!(text, "\n[[store_machines]]\nnumber = {number}\naddress = \"{address}\"\n")?;
    }
    Ok(text)
}

fn resources_toml(declaration: &FleetDeclaration) -> Result<String> {
    let mut text = String::new();
    write!(
        text,
        "[[resource]]\nkind = \"model\"\nname = \"{}\"\nspec = {{ max_output_tokens = 64, max_prompt_tokens = 100000 }}\n",
        declaration.model
    )?;
    for engine in &declaration.engines {
        write!(
            text,
            "\n[[resource]]\nkind = \"engine\"\nname = \"{}\"\nspec = {{ address = \"{}\", zone = \"{}\", model = \"{}\", slots = {} }}\n",
            engine.name, engine.address, engine.zone, declaration.model, engine.slots
        )?;
    }
    for replica in &declaration.replicas {
        write!(
            text,
            "\n[[resource]]\nkind = \"service\"\nname = \"{}\"\nspec = {{ address = \"{}\", zone = \"{}\", service = \"{}\", slots = {} }}\n",
            replica.name, replica.address, replica.zone, declaration.service, replica.slots
        )?;
    }
    Ok(text)
}

/// Running fleet of separate processes.
pub struct ProcessFleet {
    folder: PathBuf,
    addresses: FleetAddresses,
    stopped: Vec<bool>,
}

impl ProcessFleet {
    /// Opens the fleet whose settings files are in `folder`.
    ///
    /// # Errors
    /// When the files cannot be read.
    pub fn open(folder: &Path) -> Result<Self> {
        let text = std::fs::read(folder.join(ADDRESSES_FILE))
            .wrap_err("cannot read the address file of the fleet")?;
        let addresses: FleetAddresses = serde_json::from_slice(&text)?;
        Ok(Self {
            folder: folder.to_owned(),
            stopped: vec![false; addresses.gateways.len()],
            addresses,
        })
    }

    /// Sends a signal to the process of the node `name`.
    ///
    /// # Errors
    /// When the process ID cannot be read or the signal cannot be sent.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        Ok(kill_process(self.process_id(name)?, signal)?)
    }

    fn process_id(&self, name: &str) -> Result<Pid> {
        let file = self.folder.join(format!("{name}.pid"));
        let id: i32 = std::fs::read_to_string(file)?.trim().parse()?;
        Pid::from_raw(id).ok_or_else(|| eyre!("{name}: invalid process ID"))
    }

    fn wait_for_exit(&self, name: &str) -> bool {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let is_alive = || self.process_id(name).is_ok_and(|pid| test_kill_process(pid).is_ok());
        while is_alive() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        true
    }
}

impl FleetControl for ProcessFleet {
    fn addresses(&self) -> &FleetAddresses {
        &self.addresses
    }

    fn is_running(&self, gateway: usize) -> bool {
        !self.stopped[gateway]
    }

    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent> {
        let name = format!("gateway-{gateway}");
        let began = RealClock.now();
        self.signal(&name, Signal::TERM).ok()?;
        self.stopped[gateway] = true;
        let complete = self.wait_for_exit(&name);
        Some(StopEvent { gateway, began, ended: RealClock.now(), complete })
    }
}
