//! Stand-in for a replica: a model that streams events, or a plain service.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, write_response};

/// A request that a replica has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Id of the replica.
    pub replica: String,
    /// `Last-Event-Id` of the request.
    pub after_event: u64,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// What a replica does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Streams numbered events.
    Stream {
        /// Number of events.
        events: u64,
        /// Time before each event.
        pause: Duration,
    },
    /// Responds with a short body.
    Reply,
    /// The same after some time.
    ReplyAfter(Duration),
}

/// Requests run by all replicas of a case.
pub type Runs = Arc<Mutex<Vec<Run>>>;

static NUMBER: AtomicUsize = AtomicUsize::new(1);

/// A running replica.
pub struct Replica {
    /// Id of the replica.
    pub id: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    work: Work,
    runs: Runs,
    process: Arc<Process>,
}

/// What ends with a crash.
#[derive(Default)]
struct Process {
    has_crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Replica {
    /// Starts a replica.
    pub fn start(ip: &str, work: Work, runs: &Runs) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a replica");
        let address = listener.local_addr().expect("a bound address");
        let id = format!("i-{:08x}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let process = Arc::default();
        let replica = Self { id, address, work, runs: Arc::clone(runs), process };
        replica.listen(listener);
        replica
    }

    /// Closes all connections; the address refuses new ones from then on.
    pub fn crash(&self) {
        self.process.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        for connection in self.process.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again after a crash, under the same id and address.
    pub fn restart(&mut self) {
        let listener = TcpListener::bind(self.address).expect("the address of the replica");
        self.process = Arc::default();
        self.listen(listener);
    }

    fn listen(&self, listener: TcpListener) {
        let (name, runs, work) = (self.id.clone(), Arc::clone(&self.runs), self.work);
        let process = Arc::clone(&self.process);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if process.has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let handle = stream.try_clone().expect("a handle");
                process.connections.lock().expect("the connections").push(handle);
                let (name, runs) = (name.clone(), Arc::clone(&runs));
                // The caller may leave at any time.
                thread::spawn(move || drop(serve(&stream, &name, work, &runs)));
            }
        });
    }
}

fn serve(stream: &TcpStream, replica: &str, work: Work, runs: &Runs) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut input)? {
        let body = read_body(&mut input, &head)?;
        match head.word(1) {
            "/health" => write_response(stream, 200, &[("Calicohoist-Instance", replica)], b"")?,
            "/-/report" => {
                let report = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"call_seq\":0,\
                              \"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":139361,\
                              \"handles\":0}";
                write_response(stream, 200, &[], report.as_bytes())?;
            }
            _ => answer(stream, &head, body, replica, work, runs)?,
        }
    }
    Ok(())
}

fn answer(
    stream: &TcpStream,
    head: &Head,
    body: Vec<u8>,
    replica: &str,
    work: Work,
    runs: &Runs,
) -> io::Result<()> {
    let request = head.get("calicohoist-request-id").unwrap_or_default().to_owned();
    if head.get("calicohoist-expect-instance").is_some_and(|expected| expected != replica) {
        let headers = [("Calicohoist-Request-Id", &*request), ("Calicohoist-Not-Executed", "1")];
        return write_response(stream, 421, &headers, b"");
    }
    let after_event = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let run = Run { request: request.clone(), replica: replica.to_owned(), after_event, body };
    runs.lock().expect("the runs").push(run);
    let stamp = format!("{replica}.{request}");
    match work {
        Work::Stream { events, pause } => {
            stream_events(stream, &request, &stamp, after_event + 1..=events, pause)
        }
        Work::Reply | Work::ReplyAfter(_) => {
            if let Work::ReplyAfter(time) = work {
                thread::sleep(time);
            }
            let headers =
                [("Calicohoist-Request-Id", &*request), ("Calicohoist-Server-Stamp", &*stamp)];
            write_response(stream, 200, &headers, b"done")
        }
    }
}

fn stream_events(
    mut stream: &TcpStream,
    request: &str,
    stamp: &str,
    events: std::ops::RangeInclusive<u64>,
    pause: Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Calicohoist-Request-Id: {request}\r\nCalicohoist-Server-Stamp: {stamp}\r\n\
         Calicohoist-Weight-Versions: 1\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for id in events {
        thread::sleep(pause);
        let event = format!("id: {id}\ndata: word {id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
