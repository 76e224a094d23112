//! HTTP server with one accepting thread and a fixed pool of workers.
//!
//! Requests are rejected immediately while the queue between them is full.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use rustix::net::{Shutdown, shutdown, sockopt};

use crate::exchange::{Exchange, ExchangeLimits};
use crate::listener::{AcceptingServer, has_queued_connection};
use crate::slow_peer::{PeerDeadlines, Watchdog};

/// Interval at which threads check whether the server is stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a stop with a deadline checks whether the threads have ended.
const STOP_WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Read timeout of connections; idle connections are closed after it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the server connects to its own listener, so that accept does not time out
/// after [`READ_TIMEOUT`]; see [`set_read_timeout`].
const LISTENER_WAKE_INTERVAL: Duration = Duration::from_secs(10);

/// Pause after an accept error, which usually means that descriptors are used up.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a stopping server accepts connections, and that it serves requests of kept
/// connections after its last running request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Number of worker threads.
    pub workers: usize,
    /// Capacity of the queue in front of the workers.
    pub queue: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Time after which a connection is closed whose peer reads nothing of a response. It takes up
    /// to twice as long until the server notices.
    pub reader_stall_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            workers: 16,
            queue: 64,
            max_body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
            reader_stall_timeout: Duration::from_secs(30),
        }
    }
}

/// Request handler of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request on a worker thread.
    fn handle(&self, exchange: Exchange);

    /// Responds to a request that is rejected because the queue is full.
    ///
    /// Runs on the accepting thread and must not block.
    fn handle_overload(&self, exchange: Exchange);
}

/// Running server, which is stopped on drop.
pub struct HttpServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    /// Whether responses ask peers to close their connections.
    closing: Arc<AtomicBool>,
    /// Time at which a stop no longer waits for requests.
    deadline: Arc<OnceLock<Instant>>,
    threads: Vec<JoinHandle<()>>,
    /// Ends the helpers, which are needed until all requests have ended.
    ended: Arc<AtomicBool>,
    helpers: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds `address` (port 0 selects a free port) and starts to serve.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: ServerSettings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Self::start_on(listener, settings, handler)
    }

    /// Starts to serve on an existing listener.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be configured or a thread cannot be started.
    pub fn start_on(
        listener: TcpListener,
        settings: ServerSettings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        set_read_timeout(&listener)?;
        let current = AcceptingServer::start(&listener)?;
        let stop = Arc::new(AtomicBool::new(false));
        let closing = Arc::new(AtomicBool::new(false));
        let deadline = Arc::new(OnceLock::new());
        let ended = Arc::new(AtomicBool::new(false));
        let (deadlines, watchdog) = Watchdog::start(ended.clone())?;
        let (sender, receiver) = bounded(settings.queue);
        let mut threads = Vec::new();
        for index in 0..settings.workers {
            threads.push(spawn_worker(index, receiver.clone(), handler.clone())?);
        }
        let acceptor = Acceptor {
            listener,
            current,
            retired: Vec::new(),
            sender,
            running: Arc::new(()),
            handler,
            deadlines,
            limits: ExchangeLimits::from(&settings),
            stop: stop.clone(),
            closing: closing.clone(),
            deadline: deadline.clone(),
        };
        threads.push(spawn_named("http-accept", move || acceptor.run())?);
        let helpers = vec![watchdog, spawn_listener_wake(address, stop.clone())?];
        Ok(Self { address, stop, closing, deadline, threads, ended, helpers })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks peers in each response from now on to close their connections.
    pub fn close_connections(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Like [`HttpServer::stop`], but waits no longer than until `deadline`; returns whether all
    /// requests have ended.
    pub fn stop_by(&mut self, deadline: Instant) -> bool {
        // Set before by another call, which keeps its deadline.
        let _ = self.deadline.set(deadline);
        self.close_connections();
        self.stop.store(true, Ordering::SeqCst);
        while self.threads.iter().any(|thread| !thread.is_finished()) {
            if Instant::now() >= deadline {
                // Their requests end with the process.
                self.threads.clear();
                return false;
            }
            std::thread::sleep(STOP_WAIT_INTERVAL);
        }
        self.stop();
        true
    }

    /// Closes the listener, and waits until requests that have arrived and all threads have ended.
    pub fn stop(&mut self) {
        self.close_connections();
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.helpers.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sets the read timeout of accepted connections.
///
/// `tiny_http` has no such setting, but on Linux an accepted socket inherits the receive timeout
/// of its listener. [`spawn_listener_wake`] prevents the listener itself from timing out.
fn set_read_timeout(listener: &TcpListener) -> io::Result<()> {
    sockopt::set_socket_timeout(listener, sockopt::Timeout::Recv, Some(READ_TIMEOUT))?;
    Ok(())
}

/// Connects to the listener at regular intervals, so that its accept does not time out.
fn spawn_listener_wake(address: SocketAddr, stop: Arc<AtomicBool>) -> io::Result<JoinHandle<()>> {
    spawn_named("http-wake", move || {
        let mut since_wake = Duration::ZERO;
        while !stop.load(Ordering::SeqCst) {
            std::thread::sleep(STOP_POLL_INTERVAL);
            since_wake += STOP_POLL_INTERVAL;
            if since_wake >= LISTENER_WAKE_INTERVAL {
                since_wake = Duration::ZERO;
                let _ = TcpStream::connect_timeout(&address, STOP_POLL_INTERVAL);
            }
        }
    })
}

fn spawn_named(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Request in the queue of the workers, and the token that counts it as running.
struct QueuedRequest {
    exchange: Exchange,
    running: Arc<()>,
}

fn spawn_worker(
    index: usize,
    receiver: Receiver<QueuedRequest>,
    handler: Arc<dyn Handler>,
) -> io::Result<JoinHandle<()>> {
    spawn_named(&format!("http-worker-{index}"), move || {
        // The channel is closed when the acceptor ends.
        while let Ok(QueuedRequest { exchange, running }) = receiver.recv() {
            handler.handle(exchange);
            drop(running);
        }
    })
}

/// Receives requests from `tiny_http` and queues them for the workers.
struct Acceptor {
    listener: TcpListener,
    current: AcceptingServer,
    /// Servers that accept no more; requests still arrive on their connections.
    retired: Vec<AcceptingServer>,
    sender: Sender<QueuedRequest>,
    running: Arc<()>,
    handler: Arc<dyn Handler>,
    deadlines: PeerDeadlines,
    limits: ExchangeLimits,
    stop: Arc<AtomicBool>,
    closing: Arc<AtomicBool>,
    deadline: Arc<OnceLock<Instant>>,
}

impl Acceptor {
    fn run(mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            self.serve_next();
            if !self.current.is_accepting() {
                self.accept_again();
            }
        }
        self.drain();
    }

    /// Queues the next request; returns `false` if none arrives for [`STOP_POLL_INTERVAL`].
    fn serve_next(&self) -> bool {
        let mut requests = self.retired.iter().filter_map(|retired| {
            // Its error, which ended the accepting thread, has been reported.
            retired.server.try_recv().ok().flatten()
        });
        if let Some(request) = requests.next() {
            self.queue_request(request);
            return true;
        }
        match self.current.server.recv_timeout(STOP_POLL_INTERVAL) {
            Ok(Some(request)) => self.queue_request(request),
            Ok(None) => return false,
            Err(_) if self.stop.load(Ordering::SeqCst) => {}
            Err(error) => emit!(Event::AcceptFailed, "{error}"),
        }
        true
    }

    /// Replaces the server, whose accepting thread has ended.
    fn accept_again(&mut self) {
        emit!(Event::AcceptFailed, "connections are not accepted; trying again");
        while !self.stop.load(Ordering::SeqCst) {
            if let Ok(server) = AcceptingServer::restart(&self.listener) {
                self.retired.push(std::mem::replace(&mut self.current, server));
                return;
            }
            self.serve_for(ACCEPT_RETRY_INTERVAL);
        }
    }

    /// Serves requests of open connections for `duration`.
    fn serve_for(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.serve_next();
        }
    }

    /// Serves what has arrived, closes the listener, and returns when no request is running.
    fn drain(&self) {
        self.ignore_new_peers();
        let handshakes_end = Instant::now() + tcp::HANDSHAKE_TIME;
        let listen_deadline = Instant::now() + DRAIN_TIMEOUT;
        let mut is_listening = true;
        let mut idle_deadline = Instant::now() + DRAIN_TIMEOUT;
        loop {
            let is_quiet = !self.serve_next();
            let has_arrivals =
                Instant::now() < handshakes_end || has_queued_connection(&self.listener);
            let accepts_queued =
                self.current.is_accepting() && Instant::now() < listen_deadline && has_arrivals;
            if self.deadline.get().is_some_and(|deadline| Instant::now() >= *deadline) {
                return self.close_listener();
            }
            if is_listening && !accepts_queued {
                is_listening = false;
                self.close_listener();
                // The connections that were accepted last may have sent a request.
                continue;
            }
            let is_idle = Arc::strong_count(&self.running) == 1;
            if !is_idle {
                idle_deadline = Instant::now() + DRAIN_TIMEOUT;
            } else if !is_listening && (is_quiet || Instant::now() >= idle_deadline) {
                return;
            }
        }
    }

    /// Keeps connections from being completed between the last accept and the close of the listener,
    /// which would reset them.
    fn ignore_new_peers(&self) {
        if let Err(error) = tcp::ignore_new_peers(&self.listener) {
            emit!(
                Event::AcceptFailed,
                "cannot ignore new peers before the listener is closed: {error}"
            );
        }
    }

    fn close_listener(&self) {
        if let Err(error) = shutdown(&self.listener, Shutdown::Both) {
            emit!(Event::AcceptFailed, "cannot close the listener: {error}");
        }
    }

    fn queue_request(&self, request: tiny_http::Request) {
        let (deadlines, closing) = (self.deadlines.clone(), self.closing.clone());
        let exchange = Exchange::new(request, self.limits, deadlines, closing);
        let queued = QueuedRequest { exchange, running: self.running.clone() };
        match self.sender.try_send(queued) {
            Ok(()) => {}
            Err(TrySendError::Full(queued) | TrySendError::Disconnected(queued)) => {
                emit!(
                    Event::WorkersBusy,
                    "rejected request for {}: request queue is full or closed",
                    queued.exchange.path()
                );
                self.handler.handle_overload(queued.exchange);
            }
        }
    }
}
