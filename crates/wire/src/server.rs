//! Server that accepts framed connections and replies on them.

use std::convert::Infallible;
use std::io::{BufReader, BufWriter, ErrorKind, Write};
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

/// Capacity of a connection's queue of outgoing replies.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 2_048;
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends replies on the connection on which a frame was received.
pub struct ReplySender<Out> {
    sender: Sender<Out>,
}

impl<Out> Clone for ReplySender<Out> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<Out> ReplySender<Out> {
    /// Queues a reply; returns `false` if the connection is closed or its queue is full.
    pub fn send(&self, reply: Out) -> bool {
        self.sender.try_send(reply).is_ok()
    }
}

/// Listening socket with a reader and a writer thread for each connection.
pub struct FrameServer {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    connections: Arc<OpenConnections>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct OpenConnections {
    count: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
}

impl FrameServer {
    /// Starts to serve on `listener`; `on_frame` runs on the connection's reader thread.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be configured or the thread cannot be started.
    pub fn start<In, Out>(
        listener: TcpListener,
        on_frame: impl Fn(In, &ReplySender<Out>) + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        In: DeserializeOwned + Send + 'static,
        Out: Serialize + Send + 'static,
    {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(OpenConnections::default());
        let on_frame = Arc::new(on_frame);
        let (accept_stop, accept_connections) = (stop.clone(), connections.clone());
        let thread = std::thread::Builder::new()
            .name("wire-accept".to_owned())
            .spawn(move || accept_loop(&listener, &accept_stop, &accept_connections, &on_frame))?;
        Ok(Self { address, stop, connections, thread: Some(thread) })
    }

    /// Returns the bound address.
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
        for stream in self.connections.streams.lock().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_loop<In, Out, F>(
    listener: &TcpListener,
    stop: &AtomicBool,
    connections: &Arc<OpenConnections>,
    on_frame: &Arc<F>,
) where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
    F: Fn(In, &ReplySender<Out>) + Send + Sync + 'static,
{
    while !stop.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, peer)) if connections.count.load(Ordering::SeqCst) < MAX_CONNECTIONS => {
                if serve_connection(stream, peer, connections, on_frame.clone()).is_err() {
                    emit!(Event::LinkLimitReached, "cannot serve connection from {peer}");
                }
            }
            Ok((_, peer)) => emit!(Event::LinkLimitReached, "refused connection from {peer}"),
            Err(error) => {
                if error.kind() != std::io::ErrorKind::WouldBlock {
                    emit!(Event::AcceptFailed, "cannot accept a connection: {error}");
                }
                std::thread::sleep(ACCEPT_POLL_INTERVAL);
            }
        }
    }
}

fn serve_connection<In, Out, F>(
    stream: TcpStream,
    peer: SocketAddr,
    connections: &Arc<OpenConnections>,
    on_frame: Arc<F>,
) -> std::io::Result<()>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + 'static,
    F: Fn(In, &ReplySender<Out>) + Send + Sync + 'static,
{
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let writer_stream = stream.try_clone()?;
    track_connection(connections, stream.try_clone()?);
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    let replies = ReplySender { sender };
    // The reader drops its end of the channel when it exits, which wakes the writer.
    let (reader_alive, reader_exited) = bounded::<Infallible>(0);
    std::thread::Builder::new()
        .name("wire-write".to_owned())
        .spawn(move || write_replies(&writer_stream, &receiver, &reader_exited))?;
    let connections = connections.clone();
    connections.count.fetch_add(1, Ordering::SeqCst);
    std::thread::Builder::new().name("wire-read".to_owned()).spawn(move || {
        read_frames(&stream, peer, &replies, &*on_frame);
        drop(reader_alive);
        connections.count.fetch_sub(1, Ordering::SeqCst);
    })?;
    Ok(())
}

/// Stores a handle for shutting the connection down on stop, and removes closed connections.
fn track_connection(connections: &OpenConnections, stream: TcpStream) {
    let mut streams = connections.streams.lock();
    streams.retain(|stream| stream.peer_addr().is_ok());
    streams.push(stream);
}

fn read_frames<In, Out>(
    stream: &TcpStream,
    peer: SocketAddr,
    replies: &ReplySender<Out>,
    on_frame: &impl Fn(In, &ReplySender<Out>),
) where
    In: DeserializeOwned,
{
    let mut input = BufReader::new(stream);
    loop {
        match read_frame(&mut input) {
            Ok(frame) => on_frame(frame, replies),
            // The writer still sends the queued replies, and then closes the connection.
            Err(FrameError::Io(error)) if error.kind() == ErrorKind::UnexpectedEof => return,
            Err(FrameError::Io(_)) => break,
            Err(error) => {
                emit!(Event::FrameRefused, "cannot read frame from {peer}: {error}");
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn write_replies<Out: Serialize>(
    stream: &TcpStream,
    receiver: &Receiver<Out>,
    reader_exited: &Receiver<Infallible>,
) {
    let mut output = BufWriter::new(stream);
    loop {
        let reply = select! {
            recv(receiver) -> reply => reply.ok(),
            recv(reader_exited) -> _ => receiver.try_recv().ok(),
        };
        let Some(reply) = reply else {
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
