//! Threads, sockets and disk around a [`StoreService`].
//!
//! One duty (`store`) owns service and disk. Connections put what they read on
//! its ring; it takes all that waits, syncs once, and answers.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calicohoist_replication::{
    DirectoryDisk, DiskError, DiskLog, GroupMessage, NodeSettings, ReplicaId,
};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::Moment;
use calicohoist_wire::{FrameServer, Link, ReplySender};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use rand::RngExt;

use crate::protocol::{StoreBack, StoreFrame, StoreReply, StoreRequest};
use crate::service::{StoreAction, StoreService};
use crate::state::GroupMap;

/// Inputs that may wait for the duty.
const RING: usize = 16_384;
/// Inputs taken before one sync.
const MAX_BATCH: usize = 1_024;
/// How often time passes for the service.
const TICK: Duration = Duration::from_millis(10);
/// How often an empty folder asks the other machines whether the fleet has started.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time a planned stop waits for its groups to be led elsewhere.
const HAND_OVER_PATIENCE: Duration = Duration::from_secs(3);

/// Settings of a store machine.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Number of this machine.
    pub machine: u32,
    /// All machines, this one included, with their addresses.
    pub machines: BTreeMap<u32, SocketAddr>,
    /// Folder for log and snapshots.
    pub data_folder: PathBuf,
    /// Groups that hold programs.
    pub program_groups: u32,
    /// Timing and sizes.
    pub node: NodeSettings,
}

/// Why a store machine could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its log cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A socket or thread cannot be had.
    #[error("socket or thread: {0}")]
    Io(#[from] std::io::Error),
}

enum Input {
    Peer { from: ReplicaId, messages: Vec<GroupMessage> },
    Request { client: u64, id: u64, request: StoreRequest, replier: ReplySender<StoreBack> },
    AskStarted { replier: ReplySender<StoreBack> },
    Started { machine: u32, started: bool },
}

/// A running store machine. Dropping it stops it at once, as a crash would.
pub struct StoreServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    hand_over: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    _server: FrameServer,
}

impl StoreServer {
    /// Opens the data folder and starts to serve on `listener`.
    ///
    /// # Errors
    /// When the log is damaged, or a socket or thread cannot be had.
    pub fn start(settings: StoreSettings, listener: TcpListener) -> Result<Self, StartError> {
        let address = listener.local_addr()?;
        let disk = DirectoryDisk::open(&settings.data_folder)?;
        let (log, recovered) = DiskLog::open(disk)?;
        let (sender, receiver) = bounded(RING);
        let links = open_links(&settings, &sender)?;
        let server = FrameServer::start(listener, frame_handler(sender))?;
        let stop = Arc::new(AtomicBool::new(false));
        let hand_over = Arc::new(AtomicBool::new(false));
        let failed = Arc::new(AtomicBool::new(false));
        let duty = StoreDuty {
            settings,
            links,
            receiver,
            clients: BTreeMap::new(),
            disk: 0,
            origin: Instant::now(),
            stop: stop.clone(),
            hand_over: hand_over.clone(),
        };
        let failed_seen = failed.clone();
        let thread = std::thread::Builder::new().name("store".to_owned()).spawn(move || {
            if let Err(error) = duty.run(log, recovered) {
                failed_seen.store(true, Ordering::SeqCst);
                emit!(Event::DiskFailed, "{error}");
            }
        })?;
        Ok(Self { address, stop, hand_over, failed, thread: Some(thread), _server: server })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it stopped taking part since its disk failed.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Hands leadership over, then stops.
    pub fn stop_gracefully(mut self) {
        self.hand_over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn open_links(
    settings: &StoreSettings,
    sender: &Sender<Input>,
) -> std::io::Result<BTreeMap<u32, Link<StoreFrame>>> {
    let others = settings.machines.iter().filter(|(machine, _)| **machine != settings.machine);
    let mut links = BTreeMap::new();
    for (machine, address) in others {
        let sender = sender.clone();
        let link = Link::open(*address, move |back| {
            if let StoreBack::Started { machine, started } = back {
                let _ = sender.try_send(Input::Started { machine, started });
            }
        })?;
        links.insert(*machine, link);
    }
    Ok(links)
}

fn frame_handler(
    sender: Sender<Input>,
) -> impl Fn(StoreFrame, &ReplySender<StoreBack>) + Send + Sync {
    let next_client = AtomicU64::new(1);
    move |frame, replier| {
        let input = match frame {
            StoreFrame::Peer { from, messages } => Input::Peer { from, messages },
            StoreFrame::Request { id, request } => Input::Request {
                client: next_client.fetch_add(1, Ordering::Relaxed),
                id,
                request,
                replier: replier.clone(),
            },
            StoreFrame::AskStarted { .. } => Input::AskStarted { replier: replier.clone() },
        };
        if let Err(TrySendError::Full(Input::Request { id, replier, .. })) = sender.try_send(input)
        {
            let reply = StoreReply::Unavailable;
            replier.send(StoreBack::Reply { id, reply });
        }
    }
}

/// The duty that owns service and disk.
struct StoreDuty {
    settings: StoreSettings,
    links: BTreeMap<u32, Link<StoreFrame>>,
    receiver: Receiver<Input>,
    clients: BTreeMap<u64, ReplySender<StoreBack>>,
    /// Identity of the data folder, once it is settled.
    disk: u32,
    origin: Instant,
    stop: Arc<AtomicBool>,
    hand_over: Arc<AtomicBool>,
}

impl StoreDuty {
    fn now(&self) -> Moment {
        let elapsed = self.origin.elapsed().as_micros();
        Moment::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn run(
        mut self,
        mut log: DiskLog<DirectoryDisk>,
        recovered: calicohoist_replication::Recovered,
    ) -> Result<(), DiskError> {
        let Some(disk) = self.settle_identity(&mut log, recovered.disk)? else {
            return Ok(());
        };
        self.disk = disk;
        let id = ReplicaId { machine: self.settings.machine, disk };
        let machines: Vec<u32> = self.settings.machines.keys().copied().collect();
        let groups = GroupMap::new(self.settings.program_groups);
        let mut node_settings = self.settings.node.clone();
        node_settings.seed ^= rand::rng().random::<u64>();
        let now = self.now();
        let mut service = StoreService::new(id, node_settings, &machines, groups, recovered, now);
        self.serve(&mut service, &mut log)
    }

    fn serve(
        &mut self,
        service: &mut StoreService,
        log: &mut DiskLog<DirectoryDisk>,
    ) -> Result<(), DiskError> {
        let mut next_tick = self.now();
        let mut leave_by = None;
        while !self.stop.load(Ordering::SeqCst) {
            self.take_batch(service);
            let now = self.now();
            if now >= next_tick {
                next_tick = now + TICK;
                service.tick(now, unix_millis());
            }
            if self.hand_over.load(Ordering::SeqCst) {
                let deadline = *leave_by.get_or_insert(now + HAND_OVER_PATIENCE);
                if !service.leads_any() || now >= deadline {
                    return Ok(());
                }
                service.hand_over(now);
            }
            for action in service.flush(now, log)? {
                self.perform(action);
            }
        }
        Ok(())
    }

    fn take_batch(&mut self, service: &mut StoreService) {
        let first = match self.receiver.recv_timeout(TICK) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        self.take(service, first);
        for _ in 1..MAX_BATCH {
            match self.receiver.try_recv() {
                Ok(input) => self.take(service, input),
                Err(_) => break,
            }
        }
    }

    fn take(&mut self, service: &mut StoreService, input: Input) {
        let now = self.now();
        match input {
            Input::Peer { from, messages } => service.receive(now, from, messages),
            Input::Request { client, id, request, replier } => {
                self.clients.insert(client, replier);
                service.request(now, unix_millis(), client, id, request);
            }
            Input::AskStarted { replier } => self.tell_started(&replier, service.has_started()),
            Input::Started { .. } => {}
        }
    }

    fn tell_started(&self, replier: &ReplySender<StoreBack>, started: bool) {
        let machine = self.settings.machine;
        replier.send(StoreBack::Started { machine, started });
    }

    fn perform(&mut self, action: StoreAction) {
        match action {
            StoreAction::SendPeer { to, messages } => {
                let from = ReplicaId { machine: self.settings.machine, disk: self.disk };
                if let Some(link) = self.links.get(&to.machine) {
                    link.send(StoreFrame::Peer { from, messages });
                }
            }
            StoreAction::Reply { client, id, reply } => {
                if let Some(replier) = self.clients.remove(&client) {
                    replier.send(StoreBack::Reply { id, reply });
                }
            }
        }
    }

    /// The identity of the data folder.
    ///
    /// A folder that was never used belongs to the first start only if *every*
    /// other machine says that it has not started either; if any has, this
    /// machine lost its disk and must come back under a new identity, since the
    /// old one may have voted and acknowledged.
    fn settle_identity(
        &self,
        log: &mut DiskLog<DirectoryDisk>,
        found: Option<u32>,
    ) -> Result<Option<u32>, DiskError> {
        if found.is_some() {
            return Ok(found);
        }
        let Some(has_started) = self.ask_whether_started() else {
            return Ok(None);
        };
        let disk = if has_started { rand::rng().random_range(1..=u32::MAX) } else { 0 };
        log.write_identity(disk, &[])?;
        Ok(Some(disk))
    }

    /// Asks the other machines until the answer is certain; `None` when stopped.
    fn ask_whether_started(&self) -> Option<bool> {
        let mut not_started = std::collections::BTreeSet::new();
        let machine = self.settings.machine;
        while not_started.len() < self.links.len() {
            if self.stop.load(Ordering::SeqCst) || self.hand_over.load(Ordering::SeqCst) {
                return None;
            }
            for link in self.links.values() {
                link.send(StoreFrame::AskStarted { machine });
            }
            let deadline = Instant::now() + ASK_INTERVAL;
            while let Ok(input) = self.receiver.recv_deadline(deadline) {
                match input {
                    Input::Started { started: true, .. } => return Some(true),
                    Input::Started { machine, .. } => {
                        not_started.insert(machine);
                    }
                    Input::AskStarted { replier } => self.tell_started(&replier, false),
                    Input::Request { id, replier, .. } => {
                        let reply = StoreReply::NotLeader(None);
                        replier.send(StoreBack::Reply { id, reply });
                    }
                    Input::Peer { .. } => {}
                }
            }
        }
        Some(false)
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
