//! The server: one duty accepts requests, a fixed set of workers handles them.
//!
//! A request that finds the ring between them full is refused at once, so that
//! an overloaded process answers cheaply instead of letting callers wait.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use rustix::net::sockopt;

use crate::exchange::{BodyLimits, Exchange};
use crate::slow_peer::{SlowPeerWatch, Watchdog};

/// How long a worker or the acceptor waits before it looks for a stop again.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Longest silence inside one read of a connection; idle connections end with it.
const READ_SILENCE: Duration = Duration::from_secs(30);
/// How often the listener is woken so that its own wait stays under [`READ_SILENCE`].
const LISTENER_WAKE: Duration = Duration::from_secs(10);

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Requests handled at a time.
    pub workers: usize,
    /// Requests that may wait for a worker.
    pub queue: usize,
    /// Largest accepted body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time a body may take to arrive.
    pub body_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            workers: 16,
            queue: 64,
            max_body_bytes: 4 << 20,
            body_timeout: Duration::from_secs(10),
        }
    }
}

/// What a server does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request on a worker thread.
    fn handle(&self, exchange: Exchange);

    /// Answers a request that found no place; runs on the accepting thread, so
    /// it must not block.
    fn refuse_busy(&self, exchange: Exchange);
}

/// A running server. Dropping it stops it.
pub struct HttpServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds `address` (port 0 takes a free port) and starts to serve.
    ///
    /// # Errors
    /// When the address cannot be bound or a thread cannot be started.
    pub fn start(
        address: SocketAddr,
        settings: ServerSettings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Self::start_on(listener, settings, handler)
    }

    /// Serves on a listener that is bound already.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start_on(
        listener: TcpListener,
        settings: ServerSettings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        limit_silence(&listener)?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let stop = Arc::new(AtomicBool::new(false));
        let (watch, watchdog) = Watchdog::start(stop.clone())?;
        let (sender, receiver) = bounded(settings.queue);
        let mut threads = vec![watchdog];
        for index in 0..settings.workers {
            threads.push(spawn_worker(index, receiver.clone(), handler.clone())?);
        }
        let acceptor = Acceptor {
            server,
            sender,
            handler,
            watch,
            limits: BodyLimits::from(&settings),
            stop: stop.clone(),
        };
        threads.push(spawn_named("http-accept", move || acceptor.run())?);
        threads.push(spawn_listener_wake(address, stop.clone())?);
        Ok(Self { address, stop, threads })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits for the requests under way, and ends all threads.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Gives accepted connections a read timeout.
///
/// `tiny_http` offers none. On Linux an accepted socket inherits the receive
/// timeout of its listener, which is why the listener carries it; the listener
/// itself is woken more often than that by [`spawn_listener_wake`].
fn limit_silence(listener: &TcpListener) -> io::Result<()> {
    sockopt::set_socket_timeout(listener, sockopt::Timeout::Recv, Some(READ_SILENCE))?;
    Ok(())
}

fn spawn_listener_wake(address: SocketAddr, stop: Arc<AtomicBool>) -> io::Result<JoinHandle<()>> {
    spawn_named("http-wake", move || {
        let mut waited = Duration::ZERO;
        while !stop.load(Ordering::SeqCst) {
            std::thread::sleep(STOP_POLL);
            waited += STOP_POLL;
            if waited >= LISTENER_WAKE {
                waited = Duration::ZERO;
                let _ = TcpStream::connect_timeout(&address, STOP_POLL);
            }
        }
    })
}

fn spawn_named(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

fn spawn_worker(
    index: usize,
    receiver: Receiver<Exchange>,
    handler: Arc<dyn Handler>,
) -> io::Result<JoinHandle<()>> {
    spawn_named(&format!("http-worker-{index}"), move || {
        // The ring is closed when the acceptor ends; an idle worker costs nothing.
        while let Ok(exchange) = receiver.recv() {
            handler.handle(exchange);
        }
    })
}

/// Takes requests from `tiny_http` and hands them to the workers.
struct Acceptor {
    server: tiny_http::Server,
    sender: Sender<Exchange>,
    handler: Arc<dyn Handler>,
    watch: SlowPeerWatch,
    limits: BodyLimits,
    stop: Arc<AtomicBool>,
}

impl Acceptor {
    fn run(self) {
        while !self.stop.load(Ordering::SeqCst) {
            if let Ok(Some(request)) = self.server.recv_timeout(STOP_POLL) {
                self.hand_over(Exchange::new(request, self.limits, self.watch.clone()));
            }
        }
    }

    fn hand_over(&self, exchange: Exchange) {
        match self.sender.try_send(exchange) {
            Ok(()) => {}
            Err(TrySendError::Full(exchange) | TrySendError::Disconnected(exchange)) => {
                emit!(Event::WorkersBusy, "refused {}", exchange.path());
                self.handler.refuse_busy(exchange);
            }
        }
    }
}
