//! The process of a ledger machine.
//!
//! A thread for each duty: [`replica`] takes part in the replicated log and waits on
//! the disk; the network thread runs the tasks of [`peers`], [`gateways`],
//! [`control`] and [`list`]. Bounded rings join them.

pub mod control;
pub mod failures;
pub mod gateways;
pub mod limits;
pub mod list;
pub mod loads;
pub mod peers;
pub mod preference;
pub mod replica;
pub mod slowness;
pub mod traffic;
pub mod turns;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use calicohoist_discovery::ListReader;
use calicohoist_limiter::LimitTolerance;
use calicohoist_replication::RaftSettings;
use calicohoist_routing::{ColdTolerance, Topology};
use calicohoist_telemetry::{Event, emit};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::protocol::SUPPORTED_VERSIONS;
use control::{Control, ControlCodec};
use gateways::HubPlace;
use replica::{Desks, ReplicaHandle, ReplicaThread};

/// Where ledger machines listen; the ports are the same on all of them.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// For each other.
    pub peers: u16,
    /// For gateways.
    pub gateways: u16,
    /// For operators.
    pub control: u16,
}

/// Settings of a ledger machine.
#[derive(Clone)]
pub struct LedgerSettings {
    /// Name for operators.
    pub name: String,
    /// Its address; the number of a machine is its IPv4 address.
    pub ip: Ipv4Addr,
    /// Machines to ask first, and the founders at the very first start.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether this is the very first start of the whole system.
    pub bootstrap: bool,
    /// Where the log is kept.
    pub data_folder: PathBuf,
    /// Where it listens.
    pub ports: Ports,
    /// Timing and size of the group.
    pub raft: RaftSettings,
    /// Machines whose loss must be borne.
    pub tolerated_losses: usize,
    /// Reads the list of replicas while this machine leads.
    pub list: Option<ListReader>,
    /// Time between two readings of the list.
    pub list_interval: Duration,
    /// How operators speak.
    pub control: Arc<dyn ControlCodec>,
    /// How exactly limits of tenants are kept.
    pub limit_tolerance: LimitTolerance,
    /// Where it runs.
    pub zone: String,
    /// Where zones lie.
    pub topology: Arc<Topology>,
    /// How exactly limits of cold replicas are kept.
    pub cold_tolerance: ColdTolerance,
}

impl LedgerSettings {
    /// Time between two readings of the list of replicas.
    pub const LIST_INTERVAL: Duration = Duration::from_millis(700);

    /// Timing of a group whose failover is felt by every turn.
    pub fn raft() -> RaftSettings {
        RaftSettings {
            heartbeat: Duration::from_millis(45),
            election_min: Duration::from_millis(180),
            election_max: Duration::from_millis(360),
            clock_drift: Duration::from_millis(20),
            replace_after: Duration::from_millis(2_000),
            max_bytes_per_message: 1 << 20,
            max_entries_in_flight: 1_024,
            ..RaftSettings::default()
        }
    }

    /// The same for a group that is to bear so many losses at a time: as many voters as
    /// that takes, and a spare for each loss. Every further machine stands by.
    pub fn raft_for(tolerated_losses: usize) -> RaftSettings {
        RaftSettings {
            voters: 2 * tolerated_losses + 1,
            spares: tolerated_losses.max(1),
            ..Self::raft()
        }
    }
}

/// Number of the machine at `ip`.
pub fn machine_number(ip: Ipv4Addr) -> u32 {
    ip.to_bits()
}

/// Address of a machine's `port`.
pub fn machine_address(machine: u32, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(machine)), port)
}

/// The sockets of a ledger machine, already listening.
#[derive(Debug)]
pub struct Listeners {
    /// For other ledger machines.
    pub peers: TcpListener,
    /// For gateways.
    pub gateways: TcpListener,
    /// For operators.
    pub control: TcpListener,
}

impl Listeners {
    /// Listens on `ip`: that of the machine, or another one behind a forwarder.
    ///
    /// # Errors
    /// When an address is taken.
    pub fn bind(ip: Ipv4Addr, ports: Ports) -> eyre::Result<Self> {
        Ok(Self {
            peers: listen(ip, ports.peers)?,
            gateways: listen(ip, ports.gateways)?,
            control: listen(ip, ports.control)?,
        })
    }
}

/// Runs a ledger machine until `stop` turns true.
///
/// # Errors
/// When the log cannot be opened, or the disk fails.
pub async fn run(
    settings: LedgerSettings,
    listeners: Listeners,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let (frames_out, frames) = tokio::sync::mpsc::channel(peers::RING);
    let turns = Arc::new(turns::TurnDesk::new(settings.cold_tolerance));
    let limits = Arc::new(limits::LimitDesk::new(settings.limit_tolerance));
    let loads = Arc::default();
    let desks =
        Desks { turns: Arc::clone(&turns), limits: Arc::clone(&limits), loads: Arc::clone(&loads) };
    let thread = ReplicaThread::open(&settings, frames_out, desks)?;
    let identity = thread.id();
    let (handle, standing, failure) = thread.start()?;
    let known_peers = peers::KnownPeers::default();
    tokio::spawn(peers::send(settings.clone(), identity, frames, known_peers.clone()));
    let accepting = peers::accept(listeners.peers, identity, handle.clone(), known_peers.clone());
    tokio::spawn(accepting);
    tokio::spawn(traffic::tell(settings.name.clone()));
    let list = list::spawn(&settings, standing.clone());
    tokio::spawn(Arc::clone(&limits).keep_notes(handle.clone()));
    let hub = gateways::Hub::new(
        handle.clone(),
        standing.clone(),
        list.clone(),
        turns,
        limits,
        HubPlace { zone: settings.zone.clone(), topology: Arc::clone(&settings.topology), loads },
    );
    tokio::spawn(hub.clone().tend_turns());
    tokio::spawn(gateways::accept(listeners.gateways, hub));
    let control = Control {
        settings: Arc::new(settings.clone()),
        replica: handle.clone(),
        standing,
        list,
        peers: known_peers,
    };
    tokio::spawn(control::accept(listeners.control, control));
    emit!(
        Event::RoleStarted;
        role = "ledger",
        replica = identity,
        ip = settings.ip,
        protocol = SUPPORTED_VERSIONS,
    );
    tokio::select! {
        failed = failure => eyre::bail!("the replica stopped: {}", failed.unwrap_or_default()),
        _ = stop.wait_for(|stop| *stop) => {}
    }
    emit!(Event::StopRequested; role = "ledger");
    hand_over(&handle).await;
    emit!(Event::StopFinished; role = "ledger");
    Ok(())
}

fn listen(ip: Ipv4Addr, port: u16) -> eyre::Result<TcpListener> {
    let address = SocketAddr::new(IpAddr::V4(ip), port);
    let listener = calicohoist_transport::bind(address);
    listener.map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))
}

/// Gives the leadership away and lets what is under way end.
async fn hand_over(handle: &ReplicaHandle) {
    const HAND_OVER: Duration = Duration::from_millis(400);
    handle.hand_over();
    tokio::time::sleep(HAND_OVER).await;
}
