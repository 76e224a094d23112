//! Gateways of a settings file under stops and a lack of descriptors, from the callers' side.

#[path = "support/gateway_log.rs"]
mod gateway_log;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use gateway_log::read_address;
use rustix::process::{Pid, Signal, kill_process};

/// Longer than the gateway waits for a store.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(300);
const LARGE_PATH_BYTES: usize = 16 << 20;
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nhost: test\r\n\r\n";
/// Waits for the store, which does not exist, and fails after ten seconds.
const SLOW_REQUEST: &str =
    "POST /v1/programs HTTP/1.1\r\nhost: test\r\ncontent-length: 2\r\n\r\n{}";

struct Gateway {
    child: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Gateway {
    fn start(options: &str, max_descriptors: Option<u32>) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("gateway.toml");
        // Nothing listens on the discard port of this address.
        let text = format!(
            "name = \"g-1\"\nzone = \"hall\"\n[[store_machines]]\nnumber = 1\naddress = \
             \"127.0.0.1:9\"\n[gateway]\nhttp = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n{options}"
        );
        fs::write(&file, text).expect("written");
        let mut child = gateway_command(&file, max_descriptors).spawn().expect("started");
        let address = read_address(&mut child, CALLER_TIMEOUT);
        Self { child, address, _folder: folder }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("signalled");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(CALLER_TIMEOUT)).expect("configured");
        stream
    }

    fn send(&self, request: &str) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).expect("sent");
        stream
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn gateway_command(file: &Path, max_descriptors: Option<u32>) -> Command {
    let program = env!("CARGO_BIN_EXE_calicohoist");
    let mut command = match max_descriptors {
        None => Command::new(program),
        Some(limit) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {limit}; exec \"$0\" \"$@\""), program]);
            shell
        }
    };
    command.args(["gateway", "--config"]).arg(file);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Reads one response whole; `None` if the connection ends before its end.
fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut input = BufReader::with_capacity(1, stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if input.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let mut body = vec![0; length.trim().parse().ok()?];
    input.read_exact(&mut body).ok()?;
    Some(head)
}

/// Reads until the connection ends, at the given rate.
fn read_slowly(stream: &mut TcpStream, part_bytes: usize, pause: Duration) -> usize {
    let mut part = vec![0; part_bytes];
    let mut received = 0;
    while let Ok(count @ 1..) = stream.read(&mut part) {
        received += count;
        thread::sleep(pause);
    }
    received
}

#[test]
fn slow_reader_of_a_large_response_gets_all_of_it_from_a_stopping_gateway() {
    let gateway = Gateway::start("", None);
    // The response repeats the unknown path.
    let path = "x".repeat(LARGE_PATH_BYTES);
    let request = format!("GET /{path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    let mut stream = gateway.send(&request);
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    let received = read_slowly(&mut stream, 64 << 10, Duration::from_millis(10));
    assert!(received > LARGE_PATH_BYTES, "{received} bytes were received");
}

#[test]
fn requests_on_kept_connections_are_answered_while_a_stop_waits_for_another_request() {
    let gateway = Gateway::start("", None);
    let mut kept = gateway.send(HEALTH_REQUEST);
    assert!(read_response(&mut kept).is_some());
    let mut slow = gateway.send(SLOW_REQUEST);
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    thread::sleep(PAUSE * 4);
    kept.write_all(HEALTH_REQUEST.as_bytes()).expect("sent");
    assert!(read_response(&mut kept).is_some(), "the connection ends without a response");
    assert!(read_response(&mut slow).is_some(), "the slow request ends without a response");
}

#[test]
fn pipelined_requests_are_all_answered_by_a_stopping_gateway() {
    let gateway = Gateway::start("", None);
    let requests = [SLOW_REQUEST, HEALTH_REQUEST, HEALTH_REQUEST].concat();
    let mut stream = gateway.send(&requests);
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    let answered = (0..3).take_while(|_| read_response(&mut stream).is_some()).count();
    assert_eq!(answered, 3);
}

#[test]
fn caller_that_shuts_its_sending_side_gets_its_response_from_a_stopping_gateway() {
    let gateway = Gateway::start("", None);
    let mut stream = gateway.send(SLOW_REQUEST);
    stream.shutdown(Shutdown::Write).expect("shut down");
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    assert!(read_response(&mut stream).is_some());
}

#[test]
fn refusal_of_a_large_body_reaches_a_caller_that_is_still_sending() {
    let gateway = Gateway::start("max_body_bytes = 65536\n", None);
    let (part, parts) = (vec![b'x'; 64 << 10], 64);
    let length = part.len() * parts;
    let head =
        format!("POST /v1/programs HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n");
    let mut stream = gateway.send(&head);
    for index in 0..parts {
        stream.write_all(&part).expect("sent");
        thread::sleep(Duration::from_millis(5));
        if index == parts / 2 {
            gateway.signal(Signal::TERM);
        }
    }
    let head = read_response(&mut stream).expect("a response");
    assert!(head.starts_with("HTTP/1.1 413"), "{head}");
}

#[test]
fn new_connections_are_refused_or_answered_while_a_gateway_stops() {
    let gateway = Gateway::start("", None);
    let address = gateway.address;
    let callers: Vec<_> = (0..8)
        .map(|_| {
            thread::spawn(move || {
                let mut unanswered = 0;
                while let Ok(mut stream) = TcpStream::connect(address) {
                    let _ = stream.set_read_timeout(Some(CALLER_TIMEOUT));
                    let sent = stream.write_all(HEALTH_REQUEST.as_bytes()).is_ok();
                    if !sent || read_response(&mut stream).is_none() {
                        unanswered += 1;
                    }
                }
                unanswered
            })
        })
        .collect();
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    let unanswered: usize = callers.into_iter().map(|caller| caller.join().expect("ended")).sum();
    assert_eq!(unanswered, 0);
}

#[test]
fn gateway_stops_although_a_request_body_never_arrives() {
    let mut gateway = Gateway::start("body_timeout_ms = 3000\n", None);
    let _stream =
        gateway.send("POST /v1/programs HTTP/1.1\r\nhost: test\r\ncontent-length: 2000\r\n\r\n");
    thread::sleep(PAUSE);
    gateway.signal(Signal::TERM);
    let deadline = Instant::now() + CALLER_TIMEOUT;
    while gateway.child.try_wait().expect("a status").is_none() {
        assert!(Instant::now() < deadline, "the gateway does not stop");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn gateway_accepts_again_after_it_ran_out_of_descriptors() {
    let gateway = Gateway::start("workers = 2\n", Some(64));
    let idle: Vec<TcpStream> =
        (0..100).filter_map(|_| TcpStream::connect(gateway.address).ok()).collect();
    thread::sleep(PAUSE * 4);
    drop(idle);
    thread::sleep(PAUSE * 4);
    let mut stream = TcpStream::connect(gateway.address).expect("accepted again");
    stream.set_read_timeout(Some(CALLER_TIMEOUT)).expect("configured");
    stream.write_all(HEALTH_REQUEST.as_bytes()).expect("sent");
    assert!(read_response(&mut stream).is_some());
}

#[test]
fn port_is_free_for_a_successor_of_a_stopped_gateway() {
    let mut gateway = Gateway::start("", None);
    gateway.signal(Signal::TERM);
    assert!(gateway.child.wait().expect("ended").success());
    TcpListener::bind((Ipv4Addr::LOCALHOST, gateway.address.port())).expect("bound");
}
