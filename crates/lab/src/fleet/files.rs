//! A fleet of real processes: its settings files, and its control by signals.
//!
//! `calicohoist-lab backends` runs the stand-ins and writes the files;
//! `scripts/fleet.sh` starts one process for each, noting their numbers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use calicohoist_emulator::RealClock;
use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process, test_kill_process};

use super::backends::{Backends, FleetSize, bind};
use super::control::{FleetControl, FleetMap};
use super::resources::Declaration;
use crate::deployment::Deployment;
use crate::history::StopEvent;

/// Name of the file with the addresses of all parts.
pub const MAP_FILE: &str = "fleet.json";
/// Name of the file that `calicohoist apply` takes.
pub const RESOURCES_FILE: &str = "resources.toml";
const STOP_PATIENCE: Duration = Duration::from_secs(60);
const STOP_POLL: Duration = Duration::from_millis(20);

/// Writes settings for every process of a fleet into `folder`.
///
/// # Errors
/// When a file cannot be written or no port is free.
pub fn write(
    folder: &Path,
    deployment: Deployment,
    size: FleetSize,
    backends: &Backends,
) -> Result<FleetMap> {
    std::fs::create_dir_all(folder)?;
    let zones = deployment.zones();
    let stores = free_addresses(size.stores as usize)?;
    let machines: BTreeMap<u32, SocketAddr> = (1..).zip(stores).collect();
    for machine in machines.keys() {
        let zone = zones[*machine as usize % zones.len()];
        let name = format!("store-{machine}");
        let mut text = common(&name, zone, &machines)?;
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
        let mut text = common(&name, zones[index % zones.len()], &machines)?;
        write!(text, "\n[gateway]\nhttp = \"{http}\"\npeers = \"{peers}\"\n")?;
        writeln!(text, "platform = \"{}\"", backends.platform.address())?;
        std::fs::write(folder.join(format!("{name}.toml")), text)?;
    }
    std::fs::write(folder.join(RESOURCES_FILE), resources(&backends.declaration())?)?;
    let map = FleetMap {
        deployment,
        gateways: http,
        engines: backends.engine_endpoints(),
        replicas: backends.replica_endpoints(),
        platform: backends.platform.address(),
    };
    std::fs::write(folder.join(MAP_FILE), serde_json::to_vec_pretty(&map)?)?;
    Ok(map)
}

/// Ports that were free a moment ago. All are held until the last is found.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<_>> = (0..count).map(|_| bind()).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(std::net::TcpListener::local_addr).collect();
    Ok(addresses?)
}

fn common(name: &str, zone: &str, machines: &BTreeMap<u32, SocketAddr>) -> Result<String> {
    let mut text = format!("name = \"{name}\"\nzone = \"{zone}\"\nprogram_groups = 4\n");
    for (number, address) in machines {
        write!(text, "\n[[store_machines]]\nnumber = {number}\naddress = \"{address}\"\n")?;
    }
    Ok(text)
}

fn resources(declaration: &Declaration) -> Result<String> {
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

/// A fleet of processes that a script started.
pub struct ProcessFleet {
    folder: PathBuf,
    map: FleetMap,
    stopped: Vec<bool>,
}

impl ProcessFleet {
    /// The fleet whose files are in `folder`.
    ///
    /// # Errors
    /// When the files cannot be read.
    pub fn open(folder: &Path) -> Result<Self> {
        let text = std::fs::read(folder.join(MAP_FILE)).wrap_err("no fleet in this folder")?;
        let map: FleetMap = serde_json::from_slice(&text)?;
        Ok(Self { folder: folder.to_owned(), stopped: vec![false; map.gateways.len()], map })
    }

    /// Sends a signal to the process `name`, whose number the script noted.
    ///
    /// # Errors
    /// When there is no such process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<()> {
        Ok(kill_process(self.process(name)?, signal)?)
    }

    fn process(&self, name: &str) -> Result<Pid> {
        let file = self.folder.join(format!("{name}.pid"));
        let number: i32 = std::fs::read_to_string(file)?.trim().parse()?;
        Pid::from_raw(number).ok_or_else(|| eyre!("{name}: not a process number"))
    }

    fn wait_gone(&self, name: &str) -> bool {
        let deadline = Instant::now() + STOP_PATIENCE;
        let is_alive = || self.process(name).is_ok_and(|pid| test_kill_process(pid).is_ok());
        while is_alive() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(STOP_POLL);
        }
        true
    }
}

impl FleetControl for ProcessFleet {
    fn map(&self) -> &FleetMap {
        &self.map
    }

    fn is_running(&self, gateway: usize) -> bool {
        !self.stopped[gateway]
    }

    fn stop_gateway(&mut self, gateway: usize) -> Option<StopEvent> {
        let name = format!("gateway-{gateway}");
        let began = RealClock.now();
        self.signal(&name, Signal::TERM).ok()?;
        self.stopped[gateway] = true;
        let complete = self.wait_gone(&name);
        Some(StopEvent { gateway, began, ended: RealClock.now(), complete })
    }
}
