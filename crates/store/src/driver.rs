//! Runs a [`StoreService`] with threads, sockets and disk I/O.
//!
//! A single worker thread (`store`) owns the service and the log. Connections push received
//! frames into its input queue; the worker processes queued inputs in batches, syncs the log
//! once per batch and then sends the replies.

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

use crate::protocol::{StoreFrame, StoreReply, StoreReplyFrame, StoreRequest};
use crate::service::{StoreAction, StoreService};
use crate::state::GroupMap;

/// Capacity of the worker's input queue.
const INPUT_QUEUE_CAPACITY: usize = 16_384;
/// Maximum number of inputs processed per log sync.
const MAX_BATCH: usize = 1_024;
/// Interval between ticks of the service.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a machine without stored state asks the others whether the store has
/// started.
const START_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a graceful shutdown waits for leadership transfers.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of a store machine.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Number of this machine.
    pub machine: u32,
    /// Addresses of all machines, including this one.
    pub machines: BTreeMap<u32, SocketAddr>,
    /// Directory for the log and snapshots.
    pub data_folder: PathBuf,
    /// Number of program groups.
    pub program_groups: u32,
    /// Replication settings.
    pub node: NodeSettings,
}

/// Error while starting a store machine.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The log cannot be opened.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A socket or thread cannot be created.
    #[error("failed to create a socket or thread: {0}")]
    Io(#[from] std::io::Error),
}

enum Input {
    Peer { from: ReplicaId, messages: Vec<GroupMessage> },
    Request { client: u64, id: u64, request: StoreRequest, replier: ReplySender<StoreReplyFrame> },
    AskStarted { replier: ReplySender<StoreReplyFrame> },
    Started { machine: u32, started: bool },
}

/// A running store machine. Dropping it stops it without transferring leadership.
pub struct StoreServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    graceful_stop: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    _server: FrameServer,
}

impl StoreServer {
    /// Opens the data directory and starts serving on `listener`.
    ///
    /// # Errors
    /// Returns an error if the log cannot be opened, or a socket or thread cannot be created.
    pub fn start(settings: StoreSettings, listener: TcpListener) -> Result<Self, StartError> {
        let address = listener.local_addr()?;
        let disk = DirectoryDisk::open(&settings.data_folder)?;
        let (log, recovered) = DiskLog::open(disk)?;
        let (sender, receiver) = bounded(INPUT_QUEUE_CAPACITY);
        let links = open_links(&settings, &sender)?;
        let server = FrameServer::start(listener, frame_handler(sender))?;
        let stop = Arc::new(AtomicBool::new(false));
        let graceful_stop = Arc::new(AtomicBool::new(false));
        let failed = Arc::new(AtomicBool::new(false));
        let worker = StoreWorker {
            settings,
            links,
            receiver,
            repliers: BTreeMap::new(),
            disk: 0,
            started_at: Instant::now(),
            stop: stop.clone(),
            graceful_stop: graceful_stop.clone(),
        };
        let worker_failed = failed.clone();
        let thread = std::thread::Builder::new().name("store".to_owned()).spawn(move || {
            if let Err(error) = worker.run(log, recovered) {
                worker_failed.store(true, Ordering::SeqCst);
                emit!(Event::DiskFailed, "{error}");
            }
        })?;
        Ok(Self { address, stop, graceful_stop, failed, thread: Some(thread), _server: server })
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the server has stopped because of a disk error.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Transfers leadership of all groups to other machines, then stops.
    pub fn stop_gracefully(mut self) {
        self.graceful_stop.store(true, Ordering::SeqCst);
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
            if let StoreReplyFrame::Started { machine, started } = back {
                let _ = sender.try_send(Input::Started { machine, started });
            }
        })?;
        links.insert(*machine, link);
    }
    Ok(links)
}

fn frame_handler(
    sender: Sender<Input>,
) -> impl Fn(StoreFrame, &ReplySender<StoreReplyFrame>) + Send + Sync {
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
            replier.send(StoreReplyFrame::Reply { id, reply });
        }
    }
}

/// Worker that owns the service and the log.
struct StoreWorker {
    settings: StoreSettings,
    links: BTreeMap<u32, Link<StoreFrame>>,
    receiver: Receiver<Input>,
    repliers: BTreeMap<u64, ReplySender<StoreReplyFrame>>,
    /// Identity of the data directory; 0 until it is determined.
    disk: u32,
    started_at: Instant,
    stop: Arc<AtomicBool>,
    graceful_stop: Arc<AtomicBool>,
}

impl StoreWorker {
    fn now(&self) -> Moment {
        let elapsed = self.started_at.elapsed().as_micros();
        Moment::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn run(
        mut self,
        mut log: DiskLog<DirectoryDisk>,
        recovered: calicohoist_replication::Recovered,
    ) -> Result<(), DiskError> {
        let Some(disk) = self.resolve_identity(&mut log, recovered.disk)? else {
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
        let mut transfer_deadline = None;
        while !self.stop.load(Ordering::SeqCst) {
            self.process_batch(service);
            let now = self.now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                service.tick(now, unix_millis());
            }
            if self.graceful_stop.load(Ordering::SeqCst) {
                let deadline = *transfer_deadline.get_or_insert(now + LEADERSHIP_TRANSFER_TIMEOUT);
                if !service.leads_any() || now >= deadline {
                    return Ok(());
                }
                service.transfer_leadership(now);
            }
            for action in service.flush(now, log)? {
                self.execute(action);
            }
        }
        Ok(())
    }

    fn process_batch(&mut self, service: &mut StoreService) {
        let first = match self.receiver.recv_timeout(TICK_INTERVAL) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        };
        self.handle_input(service, first);
        for _ in 1..MAX_BATCH {
            match self.receiver.try_recv() {
                Ok(input) => self.handle_input(service, input),
                Err(_) => break,
            }
        }
    }

    fn handle_input(&mut self, service: &mut StoreService, input: Input) {
        let now = self.now();
        match input {
            Input::Peer { from, messages } => service.receive(now, from, messages),
            Input::Request { client, id, request, replier } => {
                self.repliers.insert(client, replier);
                service.request(now, unix_millis(), client, id, request);
            }
            Input::AskStarted { replier } => self.reply_started(&replier, service.has_started()),
            Input::Started { .. } => {}
        }
    }

    fn reply_started(&self, replier: &ReplySender<StoreReplyFrame>, started: bool) {
        let machine = self.settings.machine;
        replier.send(StoreReplyFrame::Started { machine, started });
    }

    fn execute(&mut self, action: StoreAction) {
        match action {
            StoreAction::SendPeer { to, messages } => {
                let from = ReplicaId { machine: self.settings.machine, disk: self.disk };
                if let Some(link) = self.links.get(&to.machine) {
                    link.send(StoreFrame::Peer { from, messages });
                }
            }
            StoreAction::Reply { client, id, reply } => {
                if let Some(replier) = self.repliers.remove(&client) {
                    replier.send(StoreReplyFrame::Reply { id, reply });
                }
            }
        }
    }

    /// Determines the identity of the data directory; `None` if stopped meanwhile.
    ///
    /// An empty directory gets the initial identity 0 only if *every* other machine confirms
    /// that the store has not started. Otherwise this machine has lost its disk and must rejoin
    /// under a new identity, since the old one may have voted and acknowledged entries.
    fn resolve_identity(
        &self,
        log: &mut DiskLog<DirectoryDisk>,
        recovered_identity: Option<u32>,
    ) -> Result<Option<u32>, DiskError> {
        if recovered_identity.is_some() {
            return Ok(recovered_identity);
        }
        let Some(has_started) = self.query_store_started() else {
            return Ok(None);
        };
        let disk = if has_started { rand::rng().random_range(1..=u32::MAX) } else { 0 };
        log.write_identity(disk, &[])?;
        Ok(Some(disk))
    }

    /// Asks the other machines until one reports that the store has started or all report that
    /// it has not; `None` if stopped meanwhile.
    fn query_store_started(&self) -> Option<bool> {
        let mut not_started = std::collections::BTreeSet::new();
        let machine = self.settings.machine;
        while not_started.len() < self.links.len() {
            if self.stop.load(Ordering::SeqCst) || self.graceful_stop.load(Ordering::SeqCst) {
                return None;
            }
            for link in self.links.values() {
                link.send(StoreFrame::AskStarted { machine });
            }
            let deadline = Instant::now() + START_QUERY_INTERVAL;
            while let Ok(input) = self.receiver.recv_deadline(deadline) {
                match input {
                    Input::Started { started: true, .. } => return Some(true),
                    Input::Started { machine, .. } => {
                        not_started.insert(machine);
                    }
                    Input::AskStarted { replier } => self.reply_started(&replier, false),
                    Input::Request { id, replier, .. } => {
                        let reply = StoreReply::NotLeader(None);
                        replier.send(StoreReplyFrame::Reply { id, reply });
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
