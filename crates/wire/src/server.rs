//! Accepts links and answers on the connection a frame came in on.

use std::convert::Infallible;
use std::io::{BufReader, BufWriter, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use crossbeam::channel::{Receiver, Sender, bounded, select};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::{FrameError, read_frame, write_frame};

/// Replies that may wait for one connection.
const RING: usize = 4_096;
/// Connections accepted at a time.
const MAX_CONNECTIONS: usize = 2_048;
const STOP_POLL: Duration = Duration::from_millis(20);

/// Sends replies on the connection that a frame came in on.
pub struct Replier<Out> {
    sender: Sender<Out>,
}

impl<Out> Clone for Replier<Out> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<Out> Replier<Out> {
    /// Queues a reply; `false` when the peer is gone or does not read.
    pub fn send(&self, reply: Out) -> bool {
        self.sender.try_send(reply).is_ok()
    }
}

/// A listening socket with a reader and a writer thread for each connection.
pub struct FrameServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<OpenConnections>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct OpenConnections {
    count: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
}

impl FrameServer {
    /// Serves on `listener`; `on_frame` runs on the connection's reader thread.
    ///
    /// # Errors
    /// When the listener cannot be set up or a thread cannot be started.
    pub fn start<In, Out>(
        listener: TcpListener,
        on_frame: impl Fn(In, &Replier<Out>) + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        In: DeserializeOwned + Send + 'static,
        Out: Serialize + Send + 'static,
    {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(OpenConnections::default());
        let on_frame = Arc::new(on_frame);
        let (stop_seen, open_seen) = (stop.clone(), open.clone());
        let thread = std::thread::Builder::new()
            .name("wire-accept".to_owned())
            .spawn(move || accept_loop(&listener, &stop_seen, &open_seen, &on_frame))?;
        Ok(Self { address, stop, open, thread: Some(thread) })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FrameServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.open.streams.lock().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_loop<In, Out, F>(
    listener: &TcpListener,
    stop: &AtomicBool,
    open: &Arc<OpenConnections>,
    on_frame: &Arc<F>,
) where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
    F: Fn(In, &Replier<Out>) + Send + Sync + 'static,
{
    while !stop.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, peer)) if open.count.load(Ordering::SeqCst) < MAX_CONNECTIONS => {
                if serve_connection(stream, peer, open, on_frame.clone()).is_err() {
                    emit!(Event::LinkLimitReached, "cannot serve {peer}");
                }
            }
            Ok((_, peer)) => emit!(Event::LinkLimitReached, "refused {peer}"),
            Err(_) => std::thread::sleep(STOP_POLL),
        }
    }
}

fn serve_connection<In, Out, F>(
    stream: TcpStream,
    peer: SocketAddr,
    open: &Arc<OpenConnections>,
    on_frame: Arc<F>,
) -> std::io::Result<()>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
    F: Fn(In, &Replier<Out>) + Send + Sync + 'static,
{
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let writing = stream.try_clone()?;
    remember(open, stream.try_clone()?);
    let (sender, receiver) = bounded(RING);
    let replier = Replier { sender };
    // The reader keeps one end; the other tells the writer that it has ended.
    let (alive, reader_ended) = bounded::<Infallible>(0);
    std::thread::Builder::new()
        .name("wire-write".to_owned())
        .spawn(move || write_replies(&writing, &receiver, &reader_ended))?;
    let open = open.clone();
    open.count.fetch_add(1, Ordering::SeqCst);
    std::thread::Builder::new().name("wire-read".to_owned()).spawn(move || {
        read_frames(&stream, peer, &replier, &*on_frame);
        drop(alive);
        open.count.fetch_sub(1, Ordering::SeqCst);
    })?;
    Ok(())
}

/// Keeps a handle to shut the connection down at a stop, and drops those that ended.
fn remember(open: &OpenConnections, stream: TcpStream) {
    let mut streams = open.streams.lock();
    streams.retain(|known| known.peer_addr().is_ok());
    streams.push(stream);
}

fn read_frames<In, Out>(
    stream: &TcpStream,
    peer: SocketAddr,
    replier: &Replier<Out>,
    on_frame: &impl Fn(In, &Replier<Out>),
) where
    In: DeserializeOwned,
{
    let mut input = BufReader::new(stream);
    loop {
        match read_frame(&mut input) {
            Ok(frame) => on_frame(frame, replier),
            Err(FrameError::Io(_)) => break,
            Err(error) => {
                emit!(Event::FrameRefused, "from {peer}: {error}");
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn write_replies<Out: Serialize>(
    stream: &TcpStream,
    receiver: &Receiver<Out>,
    reader_ended: &Receiver<Infallible>,
) {
    let mut output = BufWriter::new(stream);
    loop {
        let reply = select! {
            recv(receiver) -> reply => reply,
            recv(reader_ended) -> _ => break,
        };
        let Ok(reply) = reply else {
            break;
        };
        if write_batch(&mut output, reply, receiver).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn write_batch<Out: Serialize>(
    output: &mut impl Write,
    first: Out,
    receiver: &Receiver<Out>,
) -> Result<(), FrameError> {
    write_frame(output, &first)?;
    while let Ok(reply) = receiver.try_recv() {
        write_frame(output, &reply)?;
    }
    output.flush()?;
    Ok(())
}
