//! Outgoing connection that reconnects automatically.

use std::convert::Infallible;
use std::io::{BufReader, BufWriter, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use calicohoist_telemetry::{Event, emit};
use crossbeam::channel::{Receiver, Sender, bounded, select};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::{FrameError, read_frame, write_frame};

/// Capacity of the queue of outgoing frames.
const QUEUE_CAPACITY: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Connection to one address that reconnects automatically.
///
/// Frames are dropped while the connection is down or the queue is full.
pub struct Link<Out> {
    /// `None` only while the link is being dropped.
    sender: Option<Sender<Out>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl<Out: Serialize + Send + 'static> Link<Out> {
    /// Opens a link; `on_frame` runs on a reader thread for each received frame.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn open<In: DeserializeOwned + Send + 'static>(
        address: SocketAddr,
        on_frame: impl Fn(In) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        let stop = Arc::new(AtomicBool::new(false));
        let writer =
            LinkWriter { address, receiver, on_frame: Arc::new(on_frame), stop: stop.clone() };
        let thread =
            std::thread::Builder::new().name("wire-link".to_owned()).spawn(move || writer.run())?;
        Ok(Self { sender: Some(sender), stop, thread: Some(thread) })
    }

    /// Queues a frame; returns `false` if the queue was full and the frame was dropped.
    pub fn send(&self, frame: Out) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(frame).is_ok())
    }
}

impl<Out> Drop for Link<Out> {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        // Closing the channel wakes the writer.
        drop(self.sender.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct LinkWriter<Out, In> {
    address: SocketAddr,
    receiver: Receiver<Out>,
    on_frame: Arc<dyn Fn(In) + Send + Sync>,
    stop: Arc<AtomicBool>,
}

impl<Out: Serialize, In: DeserializeOwned + Send + 'static> LinkWriter<Out, In> {
    fn run(self) {
        while !self.is_stopped() {
            match TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) {
                Ok(stream) => self.serve_connection(&stream),
                Err(_) => self.wait_and_discard_frames(RECONNECT_DELAY),
            }
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    /// Waits for `delay`, then discards queued frames, which would be stale after the reconnect.
    fn wait_and_discard_frames(&self, delay: Duration) {
        std::thread::sleep(delay);
        while self.receiver.try_recv().is_ok() {}
    }

    fn serve_connection(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader_stream) = stream.try_clone() else {
            return;
        };
        // The reader drops its end of the channel when it exits, which wakes the writer.
        let (reader_alive, reader_exited) = bounded::<Infallible>(0);
        let reader = self.spawn_reader(reader_stream, reader_alive);
        let mut output = BufWriter::new(stream);
        while !self.is_stopped() {
            if self.write_queued(&mut output, &reader_exited).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        if let Ok(reader) = reader {
            let _ = reader.join();
        }
    }

    fn write_queued(
        &self,
        output: &mut BufWriter<&TcpStream>,
        reader_exited: &Receiver<Infallible>,
    ) -> Result<(), FrameError> {
        let closed = || FrameError::Io(std::io::ErrorKind::BrokenPipe.into());
        let frame = select! {
            recv(self.receiver) -> frame => frame.map_err(|_| closed())?,
            recv(reader_exited) -> _ => return Err(closed()),
        };
        write_frame(output, &frame)?;
        while let Ok(frame) = self.receiver.try_recv() {
            write_frame(output, &frame)?;
        }
        output.flush()?;
        Ok(())
    }

    fn spawn_reader(
        &self,
        stream: TcpStream,
        reader_alive: Sender<Infallible>,
    ) -> std::io::Result<JoinHandle<()>> {
        let on_frame = self.on_frame.clone();
        let address = self.address;
        std::thread::Builder::new().name("wire-link-read".to_owned()).spawn(move || {
            let mut input = BufReader::new(stream);
            loop {
                match read_frame(&mut input) {
                    Ok(frame) => on_frame(frame),
                    Err(FrameError::Io(_)) => break,
                    Err(error) => {
                        emit!(Event::FrameRefused, "cannot read frame from {address}: {error}");
                        break;
                    }
                }
            }
            drop(reader_alive);
        })
    }
}
