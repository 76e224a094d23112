//! Threads and channels around the core.
//!
//! The `core` thread owns the [`Gateway`] and reads all inputs from one bounded
//! channel. HTTP workers serve callers, attempt threads call back ends, control
//! threads release cache memory and probe engines, and the `platform` thread polls
//! the platform's machine list. Links carry frames to the store and other gateways.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use calicohoist_http::{HttpServer, ServerSettings};
use calicohoist_store::GroupMap;
use calicohoist_store::protocol::{StoreFrame, StoreReplyFrame};
use calicohoist_telemetry::{Event, emit};
use calicohoist_types::{Moment, NodeId};
use calicohoist_wire::{FrameServer, Link, ReplySender};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use serde::{Deserialize, Serialize};

use crate::api::ApiHandler;
use crate::api::caller_channels::CallerChannels;
use crate::backend::{engine, platform, service};
use crate::core::message::{Action, BackendEvent, BackendFailure, Input, PeerMessage};
use crate::core::{Gateway, GatewaySettings};
use crate::view::SharedView;

/// Capacity of the core's input channel.
const INPUT_CAPACITY: usize = 65_536;
/// Maximum number of inputs processed between checks for the next tick.
const MAX_BATCH: usize = 256;
/// Time between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the channel of control requests.
const CONTROL_CAPACITY: usize = 4_096;
/// Number of threads that execute control requests.
const CONTROL_THREADS: usize = 4;
/// Time between polls of the platform's machine list.
const PLATFORM_INTERVAL: Duration = Duration::from_secs(1);
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time of a planned stop that is kept for sending the last answers.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Largest share of a planned stop that is kept for sending the last answers.
const ANSWER_SHARE: u32 = 4;
/// Time in which calls end in a forced stop.
const FORCED_CALL_TIME: Duration = Duration::from_millis(500);

/// Clock of the core.
#[derive(Clone, Copy, Debug)]
struct CoreClock {
    origin: Instant,
}

impl CoreClock {
    /// Moment at which a clock starts; not zero, so that short durations can be subtracted from now.
    const START: Moment = Moment::from_micros(1_000_000);

    fn start() -> Self {
        Self { origin: Instant::now() }
    }

    fn now(self) -> Moment {
        Self::START + self.origin.elapsed()
    }
}

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Settings of the core. The peer address is replaced by the bound address.
    pub core: GatewaySettings,
    /// Addresses of the store machines.
    pub stores: BTreeMap<u32, SocketAddr>,
    /// Address of the platform API, if there is one.
    pub platform: Option<SocketAddr>,
    /// Settings of the HTTP server.
    pub http: ServerSettings,
    /// Maximum number of concurrent attempts on back ends.
    pub attempt_threads: usize,
}

/// A frame between gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender.
    pub from: NodeId,
    /// The message.
    pub message: PeerMessage,
}

/// An item of the core's input channel.
#[derive(Debug)]
pub enum CoreInput {
    /// An input of the core.
    Input(Input),
}

/// A running gateway. Dropping it stops it without finishing active calls.
pub struct GatewayServer {
    http: HttpServer,
    peer_address: SocketAddr,
    core: Sender<CoreInput>,
    stop: Arc<AtomicBool>,
    stopped: Receiver<usize>,
    threads: Vec<JoinHandle<()>>,
    _peers: FrameServer,
}

impl GatewayServer {
    /// Starts a gateway that serves callers on `http` and other gateways on `peers`.
    ///
    /// # Errors
    /// Fails when a socket or thread cannot be created.
    pub fn start(
        mut config: ServerConfig,
        http: TcpListener,
        peers: TcpListener,
    ) -> std::io::Result<Self> {
        let peer_address = peers.local_addr()?;
        config.core.peer_address = peer_address;
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = bounded(INPUT_CAPACITY);
        let (stopped_sender, stopped) = bounded(1);
        let caller_channels = Arc::new(CallerChannels::default());
        let view = Arc::new(SharedView::default());
        let peer_server = FrameServer::start(peers, peer_handler(sender.clone()))?;
        // Attempts may outlast their calls; nothing waits for their threads.
        let (attempts, _) = start_attempt_threads(&config, &sender, &stop)?;
        let (control, mut threads) = start_control_threads(&sender, &stop)?;
        let core_thread = CoreThread {
            receiver,
            caller_channels: caller_channels.clone(),
            view: view.clone(),
            stores: open_store_links(&config.stores, &sender)?,
            peers: BTreeMap::new(),
            attempts,
            control,
            core: sender.clone(),
            own_node: config.core.node.node.clone(),
            stop: stop.clone(),
            stopping: stopping.clone(),
            stopped: stopped_sender,
        };
        let settings = config.core.clone();
        let clock = CoreClock::start();
        threads.push(spawn("core", move || core_thread.run(settings, clock))?);
        if let Some(address) = config.platform {
            let (sender, stop) = (sender.clone(), stop.clone());
            let poll = move || poll_platform(address, clock, &sender, &stop);
            threads.push(spawn("platform", poll)?);
        }
        let handler = ApiHandler {
            core: sender.clone(),
            caller_channels,
            view,
            groups: GroupMap::new(config.core.program_groups),
            stopping,
        };
        let http = HttpServer::start_on(http, config.http, Arc::new(handler))?;
        Ok(Self { http, peer_address, core: sender, stop, stopped, threads, _peers: peer_server })
    }

    /// Returns the address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address for other gateways.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns a handle that forces a planned stop.
    pub fn force_stop_handle(&self) -> ForceStopHandle {
        ForceStopHandle { core: self.core.clone() }
    }

    /// Stops the gateway within `timeout`: refuses new calls, finishes active ones, and ends those
    /// that take too long in time to send their answers.
    ///
    /// Returns whether all active calls finished and all answers were sent.
    pub fn stop_gracefully(mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        self.http.close_connections();
        let call_time = timeout - ANSWER_TIME.min(timeout / ANSWER_SHARE);
        // Fails only if the core has ended, when there is nothing to stop.
        let _ = self.core.send(CoreInput::Input(Input::Stop { call_time }));
        let interrupted_calls = self.stopped.recv_timeout(timeout).ok();
        // Workers may still be writing the end of complete answers.
        let all_sent = self.http.stop_by(deadline);
        let is_complete = interrupted_calls == Some(0) && all_sent;
        let event = if is_complete { Event::StopFinished } else { Event::StopForced };
        emit!(event, "gateway, interrupted calls: {interrupted_calls:?}, all sent: {all_sent}");
        is_complete
    }
}

/// Forces the planned stop of a gateway.
#[derive(Clone)]
pub struct ForceStopHandle {
    core: Sender<CoreInput>,
}

impl ForceStopHandle {
    /// Ends all calls at once: refuses those that have not run, and answers the others with an
    /// unknown outcome.
    pub fn force(&self) {
        let input = Input::Stop { call_time: FORCED_CALL_TIME };
        // Fails only if the core has ended.
        let _ = self.core.send(CoreInput::Input(input));
    }
}

impl Drop for GatewayServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

fn peer_handler(
    core: Sender<CoreInput>,
) -> impl Fn(PeerFrame, &ReplySender<PeerFrame>) + Send + Sync {
    move |frame, _| {
        let _ = core
            .try_send(CoreInput::Input(Input::Peer { from: frame.from, message: frame.message }));
    }
}

fn open_store_links(
    stores: &BTreeMap<u32, SocketAddr>,
    core: &Sender<CoreInput>,
) -> std::io::Result<BTreeMap<u32, Link<StoreFrame>>> {
    let mut links = BTreeMap::new();
    for (machine, address) in stores {
        let core = core.clone();
        let link = Link::open(*address, move |back| {
            if let StoreReplyFrame::Reply { id, reply } = back {
                let _ = core.send(CoreInput::Input(Input::StoreReply { id, reply }));
            }
        })?;
        links.insert(*machine, link);
    }
    Ok(links)
}

fn poll_platform(
    address: SocketAddr,
    clock: CoreClock,
    core: &Sender<CoreInput>,
    stop: &AtomicBool,
) {
    let mut next = Instant::now();
    while !stop.load(Ordering::SeqCst) {
        if Instant::now() >= next {
            next = Instant::now() + PLATFORM_INTERVAL;
            let asked_at = clock.now();
            let list = platform::list(address);
            let _ = core.send(CoreInput::Input(Input::Platform { asked_at, list }));
        }
        std::thread::sleep(STOP_POLL);
    }
}

/// A job for an attempt or control thread.
type Job = Box<dyn FnOnce(&Sender<CoreInput>) + Send>;
/// The job channel of a thread pool, and its threads.
type WorkerPool = (Sender<Job>, Vec<JoinHandle<()>>);

fn start_attempt_threads(
    config: &ServerConfig,
    core: &Sender<CoreInput>,
    stop: &Arc<AtomicBool>,
) -> std::io::Result<WorkerPool> {
    start_workers("attempt", config.attempt_threads, config.attempt_threads, core, stop)
}

fn start_control_threads(
    core: &Sender<CoreInput>,
    stop: &Arc<AtomicBool>,
) -> std::io::Result<WorkerPool> {
    start_workers("control", CONTROL_THREADS, CONTROL_CAPACITY, core, stop)
}

fn start_workers(
    name: &str,
    threads: usize,
    capacity: usize,
    core: &Sender<CoreInput>,
    stop: &Arc<AtomicBool>,
) -> std::io::Result<WorkerPool> {
    let (sender, receiver) = bounded::<Job>(capacity);
    let mut handles = Vec::new();
    for index in 0..threads {
        let (receiver, core, stop) = (receiver.clone(), core.clone(), stop.clone());
        handles.push(spawn(&format!("{name}-{index}"), move || {
            // The channel is closed when the core thread ends.
            while let Ok(job) = receiver.recv() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                job(&core);
            }
        })?);
    }
    Ok((sender, handles))
}

/// State of the thread that owns the core.
struct CoreThread {
    receiver: Receiver<CoreInput>,
    caller_channels: Arc<CallerChannels>,
    view: Arc<SharedView>,
    stores: BTreeMap<u32, Link<StoreFrame>>,
    peers: BTreeMap<NodeId, (SocketAddr, Link<PeerFrame>)>,
    attempts: Sender<Job>,
    control: Sender<Job>,
    core: Sender<CoreInput>,
    own_node: NodeId,
    stop: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    stopped: Sender<usize>,
}

impl CoreThread {
    fn run(mut self, settings: GatewaySettings, clock: CoreClock) {
        let now = || clock.now();
        let stall_timeout = settings.stall_timeout;
        let mut gateway = Gateway::new(settings, now());
        let mut next_tick = now();
        while !self.stop.load(Ordering::SeqCst) {
            for input in self.take_batch() {
                let actions = gateway.step(now(), input);
                self.perform_actions(actions, stall_timeout);
            }
            if now() >= next_tick {
                next_tick = now() + TICK_INTERVAL;
                let actions = gateway.tick(now());
                self.perform_actions(actions, stall_timeout);
                self.view.update(gateway.view(), gateway.is_ready(now()));
                self.stopping.store(gateway.is_stopping(), Ordering::SeqCst);
            }
        }
    }

    fn take_batch(&self) -> Vec<Input> {
        let mut batch = Vec::new();
        match self.receiver.recv_timeout(TICK_INTERVAL) {
            Ok(CoreInput::Input(input)) => batch.push(input),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return batch,
        }
        while batch.len() < MAX_BATCH {
            match self.receiver.try_recv() {
                Ok(CoreInput::Input(input)) => batch.push(input),
                Err(_) => break,
            }
        }
        batch
    }

    fn perform_actions(&mut self, actions: Vec<Action>, stall_timeout: Duration) {
        for action in actions {
            self.perform_action(action, stall_timeout);
        }
    }

    fn perform_action(&mut self, action: Action, stall_timeout: Duration) {
        match action {
            Action::ToStore { machine, id, request } => {
                if let Some(link) = self.stores.get(&machine) {
                    let request = *request;
                    link.send(StoreFrame::Request { id, request });
                }
            }
            Action::ToPeer { to, address, message } => self.send_to_peer(to, address, message),
            Action::ToCaller(ticket, event) => {
                self.caller_channels.deliver(ticket, event);
            }
            Action::RunOnEngine(task) => {
                let attempt = task.attempt.clone();
                self.run_attempt(attempt, move |report| {
                    engine::run(&task, stall_timeout, report);
                });
            }
            Action::RunOnService(task) => {
                let attempt = task.attempt.clone();
                self.run_attempt(attempt, move |report| {
                    service::run(&task, stall_timeout, report);
                });
            }
            Action::CancelOnEngine { attempt, address } => {
                self.run_control(move |_| engine::cancel(address, &attempt));
            }
            Action::ReleaseCache { engine, address, program } => self.run_control(move |core| {
                let confirmed = engine::release(address, &program);
                let _ = core.send(CoreInput::Input(Input::CacheReleased {
                    engine,
                    program,
                    confirmed,
                }));
            }),
            Action::ListCache { engine, address } => self.run_control(move |core| {
                if let Some(programs) = engine::list(address) {
                    let _ = core.send(CoreInput::Input(Input::CacheListing { engine, programs }));
                }
            }),
            Action::ProbeEngine { engine, address } => self.run_control(move |core| {
                let report = engine::probe(address);
                let _ = core.send(CoreInput::Input(Input::EngineProbe { engine, report }));
            }),
            Action::Stopped { interrupted_calls } => {
                let _ = self.stopped.try_send(interrupted_calls);
            }
        }
    }

    /// Runs an attempt on a free thread; reports it as not started if there is none.
    fn run_attempt(
        &self,
        attempt: calicohoist_types::AttemptId,
        run: impl FnOnce(&mut dyn FnMut(BackendEvent)) + Send + 'static,
    ) {
        let failed_attempt = attempt.clone();
        let job: Job = Box::new(move |core| {
            run(&mut |event| {
                let _ = core.send(CoreInput::Input(Input::Backend(attempt.clone(), event)));
            });
        });
        if self.attempts.try_send(job).is_err() {
            let event = BackendEvent::Failed(BackendFailure::NotStarted);
            let _ = self.core.try_send(CoreInput::Input(Input::Backend(failed_attempt, event)));
        }
    }

    fn run_control(&self, job: impl FnOnce(&Sender<CoreInput>) + Send + 'static) {
        // Dropped when the channel is full; periodic requests are sent again.
        let _ = self.control.try_send(Box::new(job));
    }

    fn send_to_peer(&mut self, to: NodeId, address: SocketAddr, message: PeerMessage) {
        let has_link = self.peers.get(&to).is_some_and(|(known, _)| *known == address);
        if !has_link {
            match Link::open(address, |_: PeerFrame| {}) {
                Ok(link) => {
                    self.peers.insert(to.clone(), (address, link));
                }
                Err(_) => return,
            }
        }
        if let Some((_, link)) = self.peers.get(&to) {
            link.send(PeerFrame { from: self.own_node.clone(), message });
        }
    }
}
