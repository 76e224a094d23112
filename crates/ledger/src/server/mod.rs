//! The server process of a ledger machine.
//!
//! The thread of [`replica`] participates in the replicated log and performs all disk I/O. The
//! thread of [`peers`] exchanges its messages with the other machines. The network thread runs the
//! tasks of [`gateways`], [`control`] and [`list`]. Bounded queues connect the threads.

pub mod bodies;
pub mod contacts;
pub mod control;
pub mod crashes;
pub mod duties;
pub mod failures;
pub mod gateways;
pub mod limits;
pub mod list;
pub mod loads;
pub mod memory;
pub mod peers;
pub mod preference;
pub mod receipts;
pub mod replica;
pub mod slow_disk;
pub mod traffic;
pub mod turns;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_connections::{Drain, DrainStage, StopSchedule};
use calicohoist_discovery::{ListPace, ListReader};
use calicohoist_limiter::LimitTolerance;
use calicohoist_replication::RaftSettings;
use calicohoist_routing::{ColdTolerance, Topology};
use calicohoist_telemetry::{Event, emit};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at};

use crate::protocol::SUPPORTED_VERSIONS;
use control::{Control, ControlCodec};
use gateways::ServiceLocation;
use memory::{MachineMemory, MemoryCounter, MemoryPlan};
use peers::PeerThread;
use replica::{GroupStatus, LeaderServices, OpeningReplica, ReplicaHandle};

/// Time in which calls in progress are answered once the replica has failed.
const FAILURE_GRACE: Duration = Duration::from_secs(2);

/// Listening ports, the same on all ledger machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port for other ledger machines.
    pub peers: u16,
    /// Port for gateways.
    pub gateways: u16,
    /// Port for operators.
    pub control: u16,
}

/// Settings of a ledger machine.
#[derive(Clone)]
pub struct LedgerSettings {
    /// Name shown to operators.
    pub name: String,
    /// IPv4 address, which is also the machine number.
    pub ip: Ipv4Addr,
    /// Machines to contact first, and the founding members when bootstrapping.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether to bootstrap a new cluster.
    pub bootstrap: bool,
    /// Directory of the log.
    pub data_folder: PathBuf,
    /// Listening ports.
    pub ports: Ports,
    /// Timing and size of the Raft group.
    pub raft: RaftSettings,
    /// Number of simultaneous machine failures to tolerate.
    pub tolerated_losses: usize,
    /// Reads the list of replicas from discovery while this machine leads.
    pub list: Option<ListReader>,
    /// Intervals between reads of the list.
    pub list_pace: ListPace,
    /// Codec for operator requests.
    pub control: Arc<dyn ControlCodec>,
    /// Tolerance when enforcing tenant limits.
    pub limit_tolerance: LimitTolerance,
    /// Zone of this machine.
    pub zone: String,
    /// Regions of the zones.
    pub topology: Arc<Topology>,
    /// Tolerance when enforcing the limits of cold replicas.
    pub cold_tolerance: ColdTolerance,
    /// Maximum duration of a graceful shutdown.
    pub grace: Duration,
    /// Memory of the machine in bytes, if it is limited. See [`MemoryPlan`].
    pub memory: Option<usize>,
}

impl LedgerSettings {
    /// Minimum interval between reads of the list of replicas.
    pub const LIST_INTERVAL: Duration = Duration::from_millis(700);
    /// Default time after which a listed change must have taken effect.
    pub const LIST_DEADLINE: Duration = Duration::from_millis(3_000);

    /// Default intervals between reads of the list, for a discovery service without a rate limit.
    pub const fn list_pace() -> ListPace {
        ListPace { rate: None, deadline: Self::LIST_DEADLINE, min_interval: Self::LIST_INTERVAL }
    }

    /// Default Raft timing, tuned for fast failover because every turn waits for the leader.
    pub fn raft() -> RaftSettings {
        RaftSettings {
            heartbeat: Duration::from_millis(45),
            election_min: Duration::from_millis(180),
            election_max: Duration::from_millis(360),
            clock_drift: Duration::from_millis(20),
            replace_after: Duration::from_millis(2_000),
            max_bytes_per_message: 1 << 20,
            max_entries_in_flight: 1_024,
            max_bytes_in_flight: 2 << 20,
            ..RaftSettings::default()
        }
    }

    /// Raft settings for a group that tolerates this many simultaneous failures, with a spare
    /// replica for each. Further machines are standbys.
    pub fn raft_for(tolerated_losses: usize) -> RaftSettings {
        RaftSettings {
            voters: 2 * tolerated_losses + 1,
            spares: tolerated_losses.max(1),
            ..Self::raft()
        }
    }
}

/// Returns the number of the machine at `ip`.
pub fn machine_number(ip: Ipv4Addr) -> u32 {
    ip.to_bits()
}

/// Returns the socket address of a machine's `port`.
pub fn machine_address(machine: u32, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(machine)), port)
}

/// The listening sockets of a ledger machine.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for other ledger machines.
    pub peers: TcpListener,
    /// Listener for gateways.
    pub gateways: TcpListener,
    /// Listener for operators.
    pub control: TcpListener,
}

impl Listeners {
    /// Listens on `ip`, which differs from the machine's address behind a forwarder.
    ///
    /// # Errors
    /// Fails if an address is in use.
    pub fn bind(ip: Ipv4Addr, ports: Ports) -> eyre::Result<Self> {
        Ok(Self {
            peers: listen(ip, ports.peers)?,
            gateways: listen(ip, ports.gateways)?,
            control: listen(ip, ports.control)?,
        })
    }
}

/// Runs a ledger machine until `stop` becomes true.
///
/// # Errors
/// Fails if the log cannot be opened or the disk fails.
pub async fn run(
    settings: LedgerSettings,
    listeners: Listeners,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let (outgoing_sender, outgoing) = tokio::sync::mpsc::channel(peers::OUTGOING_QUEUE_CAPACITY);
    let turns = Arc::new(turns::TurnDispatcher::new(settings.cold_tolerance));
    let limits = Arc::new(limits::TenantLimiter::new(settings.limit_tolerance));
    let crashes = Arc::<crashes::CrashBoard>::default();
    let loads = Arc::default();
    let services = LeaderServices {
        turns: Arc::clone(&turns),
        limits: Arc::clone(&limits),
        crashes: Arc::clone(&crashes),
        loads: Arc::clone(&loads),
    };
    let OpeningReplica { handle, status, identity, failure } =
        OpeningReplica::start(settings.clone(), outgoing_sender, services)?;
    let memory = MachineMemory::new(&MemoryPlan::for_machine(settings.memory));
    let known_peers = peers::KnownPeers::default();
    let counter = MemoryCounter::new(memory.clone(), handle.clone());
    tokio::spawn(traffic::log_totals(settings.name.clone(), counter));
    let list = list::spawn(&settings, status.clone());
    tokio::spawn(Arc::clone(&limits).persist_permits(handle.clone()));
    let service = gateways::GatewayService::new(
        handle.clone(),
        status.clone(),
        list.clone(),
        turns,
        limits,
        crashes,
        ServiceLocation {
            zone: settings.zone.clone(),
            topology: Arc::clone(&settings.topology),
            loads,
        },
    )
    .with_memory(memory.clone());
    tokio::spawn(service.clone().run_placement());
    tokio::spawn(gateways::accept(listeners.gateways, service));
    let drain = Drain::default();
    let control = Control {
        settings: Arc::new(settings.clone()),
        replica: handle.clone(),
        group_status: status.clone(),
        list,
        peers: known_peers.clone(),
        bodies: memory.bodies.clone(),
        drain: drain.clone(),
    };
    let control_task = tokio::spawn(control::serve(listeners.control, control));
    // Without an identity, the failure says why the log cannot be opened.
    let identity = tokio::select! {
        identity = identity => identity.ok(),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    let _peer_thread = match identity {
        Some(identity) => Some(PeerThread::start(
            settings.clone(),
            listeners.peers,
            outgoing,
            identity,
            handle.clone(),
            known_peers,
            memory,
        )?),
        None => None,
    };
    if let Some(identity) = identity {
        emit!(
            Event::RoleStarted;
            role = "ledger",
            replica = identity,
            ip = settings.ip,
            protocol = SUPPORTED_VERSIONS,
        );
    }
    let failure = tokio::select! {
        failed = failure => Some(failed.unwrap_or_default()),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if let Some(failure) = failure {
        let schedule = StopSchedule::new(Instant::now(), FAILURE_GRACE.min(settings.grace));
        drain.announce(schedule);
        close_listener(&drain, control_task, schedule).await;
        drain.wait_until_closed(schedule.exit_by()).await;
        eyre::bail!("the replica thread stopped: {failure}");
    }
    emit!(Event::StopRequested; role = "ledger", connections = drain.open_connections());
    let schedule = StopSchedule::new(Instant::now(), settings.grace);
    drain.announce(schedule);
    transfer_leadership(&handle, schedule).await;
    close_listener(&drain, control_task, schedule).await;
    finish_calls(&drain, &handle, &status, schedule).await;
    let cut = drain.open_connections();
    let event = if cut == 0 { Event::StopFinished } else { Event::StopForced };
    emit!(event; role = "ledger", cut = cut);
    Ok(())
}

/// Accepts no more connections of operators, and lets those without a call close.
async fn close_listener(drain: &Drain, control_task: JoinHandle<()>, schedule: StopSchedule) {
    drain.advance(DrainStage::Closing);
    // Only panics end the task otherwise, and those were reported. The listener is closed by the end
    // of the process if there was no file descriptor for the queued connections.
    let _ = timeout_at(schedule.exit_by().into(), control_task).await;
}

/// Waits until all calls are answered and their responses delivered.
async fn finish_calls(
    drain: &Drain,
    handle: &ReplicaHandle,
    status: &watch::Receiver<GroupStatus>,
    schedule: StopSchedule,
) {
    drain.wait_until_closed(schedule.answer_by()).await;
    if status.borrow().is_leader {
        // Not transferred before, or elected since then.
        transfer_leadership(handle, schedule).await;
    }
    drain.wait_until_closed(schedule.exit_by()).await;
}

fn listen(ip: Ipv4Addr, port: u16) -> eyre::Result<TcpListener> {
    let address = SocketAddr::new(IpAddr::V4(ip), port);
    let listener = calicohoist_transport::bind(address);
    listener.map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))
}

/// Transfers the leadership and waits for requests in progress.
async fn transfer_leadership(handle: &ReplicaHandle, schedule: StopSchedule) {
    const GRACE_PERIOD: Duration = Duration::from_millis(400);
    handle.transfer_leadership();
    sleep_until((Instant::now() + GRACE_PERIOD).min(schedule.exit_by()).into()).await;
}
