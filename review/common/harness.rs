//! Deployment of real processes on loopback addresses, with stand-ins for the platform, the replicas,
//! the operator and the clients. Standard library only.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{self, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Bounds of the small deployments, as in their settings.
pub const DRAIN_MS: u64 = 3_000;
pub const CONTACT_MS: u64 = 3_000;

const POLL: Duration = Duration::from_millis(20);

/// Writes `record.txt` with the time since the start in seconds.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started_at: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// One entry of the list of replicas.
#[derive(Clone)]
pub struct ListEntry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    /// Version of the software.
    pub version: String,
    /// Unix millisecond of the start.
    pub born: u64,
}

impl ListEntry {
    fn json(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{}\",\"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{},\
             \"id\":\"{}\"}}",
            self.service, self.address, self.version, self.slots, self.state, self.born, self.id
        )
    }
}

/// Unix millisecond of this moment.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The platform's list of replicas.
pub struct Platform {
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<ListEntry>>>,
    /// Entries of other writers, as they stand in the list.
    foreign: Arc<Mutex<Vec<String>>>,
    is_down: Arc<AtomicBool>,
    pub readings: Arc<AtomicUsize>,
}

impl Platform {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let entries: Arc<Mutex<Vec<ListEntry>>> = Arc::default();
        let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
        let others = Arc::clone(&foreign);
        let (shown, readings) = (Arc::clone(&entries), Arc::new(AtomicUsize::new(0)));
        let is_down = Arc::new(AtomicBool::new(false));
        let (count, down) = (Arc::clone(&readings), Arc::clone(&is_down));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    continue;
                }
                let (shown, count) = (Arc::clone(&shown), Arc::clone(&count));
                let (down, others) = (Arc::clone(&down), Arc::clone(&others));
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = Request::read(&mut reader) {
                        if down.load(Ordering::SeqCst) {
                            return;
                        }
                        count.fetch_add(1, Ordering::SeqCst);
                        let mut entries: Vec<String> =
                            shown.lock().unwrap().iter().map(ListEntry::json).collect();
                        entries.extend(others.lock().unwrap().iter().cloned());
                        let body = format!(
                            "{{\"instances\":[{}],\"next_token\":null}}",
                            entries.join(",")
                        );
                        let is_list = request.path().starts_with("/instances");
                        let status = if is_list { "200 OK" } else { "404 Not Found" };
                        let head = format!(
                            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n\
                             Content-Length: {}\r\n\r\n",
                            body.len()
                        );
                        let stream = reader.get_mut();
                        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self { address, entries, foreign, is_down, readings })
    }

    pub fn show(&self, entries: Vec<ListEntry>) {
        *self.entries.lock().unwrap() = entries;
    }

    pub fn show_foreign(&self, entries: Vec<String>) {
        *self.foreign.lock().unwrap() = entries;
    }

    pub fn set_state(&self, id: &str, state: &'static str) {
        for entry in self.entries.lock().unwrap().iter_mut().filter(|entry| entry.id == id) {
            entry.state = state;
        }
    }

    /// Closes every connection from now on without an answer.
    pub fn go_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
    }
}

/// A request as read from a connection.
pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let headers = read_headers(reader)?;
        let length = find(&headers, "content-length").and_then(|length| length.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        Some(Self { line: line.trim_end().to_owned(), headers, body })
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("calicohoist-request-id").unwrap_or("-")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

/// A replica. It answers health checks and reports itself, and rejects requests meant for another.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Arc<Work>,
    process: Mutex<Arc<ReplicaProcess>>,
}

/// One start of a replica.
pub struct ReplicaProcess {
    pub id: String,
    pub version: String,
    pub born: u64,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// What a replica does with a request that it runs. Returns whether it keeps the connection.
pub type Work = dyn Fn(&ReplicaProcess, &Request, &mut TcpStream) -> bool + Send + Sync;

impl Replica {
    /// Starts a replica whose software has version `v1`.
    pub fn start(ip: &str, id: &str, work: Arc<Work>) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let process = begin_process(listener, id, "v1", &work)?;
        Ok(Self { id: id.to_owned(), address, work, process: Mutex::new(process) })
    }

    /// Ends the process: its connections are closed, and further ones are refused.
    pub fn crash(&self) {
        let process = Arc::clone(&self.process.lock().unwrap());
        process.has_ended.store(true, Ordering::SeqCst);
        // The listener closes at the next look at the flag.
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
        for connection in process.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts a process again at the same address and under the same id, after a crash.
    pub fn restart(&self, version: &str) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        *self.process.lock().unwrap() = begin_process(listener, &self.id, version, &self.work)?;
        Ok(())
    }

    /// What the list shows of the present process.
    pub fn entry(&self, service: &str, slots: u32) -> ListEntry {
        let process = self.process.lock().unwrap();
        ListEntry {
            id: self.id.clone(),
            service: service.to_owned(),
            address: self.address,
            slots,
            state: "ready",
            version: process.version.clone(),
            born: process.born,
        }
    }
}

fn begin_process(
    listener: TcpListener,
    id: &str,
    version: &str,
    work: &Arc<Work>,
) -> io::Result<Arc<ReplicaProcess>> {
    listener.set_nonblocking(true)?;
    let process = Arc::new(ReplicaProcess {
        id: id.to_owned(),
        version: version.to_owned(),
        born: unix_ms(),
        has_ended: AtomicBool::new(false),
        connections: Mutex::default(),
    });
    let (accepting, work) = (Arc::clone(&process), Arc::clone(work));
    thread::spawn(move || {
        while !accepting.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(handle) = stream.try_clone() {
                accepting.connections.lock().unwrap().push(handle);
            }
            let (process, work) = (Arc::clone(&accepting), Arc::clone(&work));
            thread::spawn(move || serve(&process, stream, &*work));
        }
    });
    Ok(process)
}

fn serve(process: &ReplicaProcess, stream: TcpStream, work: &Work) {
    let own = &process.id;
    let mut reader = BufReader::new(stream);
    while let Some(request) = Request::read(&mut reader) {
        if process.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let stream = reader.get_mut();
        let is_other =
            request.header("calicohoist-expect-instance").is_some_and(|named| named != own);
        let goes_on = if is_other {
            let extra = format!("Calicohoist-Not-Executed: 1\r\nCalicohoist-Instance: {own}\r\n");
            respond(stream, request.id(), "421 Misdirected Request", &extra, "")
        } else if request.path() == "/health" {
            let extra = format!("Calicohoist-Instance: {own}\r\n");
            respond(stream, request.id(), "200 OK", &extra, "")
        } else if request.path() == "/-/report" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"busy\":false,\"call_seq\":0,\"waiting\":0,\
                 \"running\":0,\"kv_used\":0,\"kv_total\":139361,\"handles\":0,\
                 \"born\":{}}}",
                process.born
            );
            respond(stream, request.id(), "200 OK", "", &body)
        } else {
            work(process, &request, stream)
        };
        if !goes_on {
            let _ = reader.get_mut().shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Sends a whole answer of a replica.
pub fn respond(stream: &mut TcpStream, id: &str, status: &str, extra: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\nCalicohoist-Request-Id: {id}\r\nCalicohoist-Server-Stamp: s.{id}\r\n\
         Calicohoist-Weight-Versions: 1\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Sends the head of a stream.
pub fn begin_stream(stream: &mut TcpStream, id: &str) -> bool {
    let text = format!(
        "HTTP/1.1 200 OK\r\nCalicohoist-Request-Id: {id}\r\nCalicohoist-Server-Stamp: s.{id}\r\n\
         Calicohoist-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn send_chunk(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

pub fn send_event(stream: &mut TcpStream, id: u64, data: &str) -> bool {
    send_chunk(stream, &format!("id: {id}\ndata: {data}\n\n"))
}

pub fn end_stream(stream: &mut TcpStream) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// An answer as a client has received it.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_whole: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub headers: &'a str,
    pub body: &'a [u8],
    pub timeout: Duration,
}

impl Call<'_> {
    /// Sends the request on a new connection, and reads the answer to its end.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let started_at = Instant::now();
        let mut answer = Answer::default();
        // Without an answer, the status remains 0.
        let _ = self.exchange(to, &mut answer);
        answer.took = started_at.elapsed();
        answer
    }

    /// Sends the request on a new connection, and counts the bytes after the head of the answer up to
    /// its end without keeping them.
    pub fn count(&self, to: SocketAddr) -> (Answer, u64) {
        let started_at = Instant::now();
        let (mut answer, mut bytes) = (Answer::default(), 0);
        if let Some(mut reader) = self.open(to) {
            let mut line = String::new();
            let _ = reader.read_line(&mut line);
            answer.status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            answer.headers = read_headers(&mut reader).unwrap_or_default();
            let mut last = Vec::new();
            while let Ok(part) = reader.fill_buf() {
                let length = part.len();
                if length == 0 {
                    break;
                }
                last.extend_from_slice(&part[length.saturating_sub(7)..]);
                last.drain(..last.len().saturating_sub(7));
                reader.consume(length);
                bytes += length as u64;
            }
            let is_chunked = answer.header("transfer-encoding").is_some();
            let length = answer.header("content-length").and_then(|length| length.parse().ok());
            answer.is_whole =
                if is_chunked { last.ends_with(b"0\r\n\r\n") } else { length == Some(bytes) };
        }
        answer.took = started_at.elapsed();
        (answer, bytes)
    }

    fn exchange(&self, to: SocketAddr, answer: &mut Answer) -> Option<()> {
        read_answer(&mut self.open(to)?, answer)
    }

    /// Sends the request, and returns the reader of its answer.
    fn open(&self, to: SocketAddr) -> Option<BufReader<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(self.timeout)).ok()?;
        stream.set_write_timeout(Some(self.timeout)).ok()?;
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: site.example\r\nCalicohoist-Request-Id: {}\r\n\
             Calicohoist-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n{}\r\n",
            self.method,
            self.path,
            self.id,
            self.timeout.as_millis(),
            self.body.len(),
            self.headers
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(self.body).ok()?;
        Some(BufReader::with_capacity(64 << 10, stream))
    }
}

/// Reads an answer. `is_whole` is set once its end has come.
pub fn read_answer(reader: &mut impl BufRead, answer: &mut Answer) -> Option<()> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    answer.status = line.split(' ').nth(1)?.parse().ok()?;
    answer.headers = read_headers(reader)?;
    if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().ok()?;
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body).ok()?;
        answer.is_whole = true;
        return Some(());
    }
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            answer.is_whole = true;
            return Some(());
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
}

/// A process of the system.
pub struct Process {
    child: Child,
    pub ip: String,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory at present, in bytes.
    pub fn memory(&self) -> u64 {
        self.status_field("VmRSS:")
    }

    /// Peak of the resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.status_field("VmHWM:")
    }

    fn status_field(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap_or(0) << 10
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    http: u16,
    ready: u16,
    metrics: u16,
}

/// A small deployment: three ledger machines and some gateways.
pub struct Site {
    folder: PathBuf,
    root: PathBuf,
    net: String,
    ports: Ports,
    pub platform: Platform,
    /// Settings that a case changes.
    pub front_memory_mb: u32,
    pub list_address: Mutex<Option<SocketAddr>>,
    /// Where gateways and ledger machines find each other, if not at the machines themselves.
    pub processes: Vec<Process>,
}

impl Site {
    /// `root` is the repository's root.
    pub fn new(root: &Path) -> io::Result<Self> {
        let pid = std::process::id();
        // A loopback network of its own for each run.
        let net = format!("127.{}.{}", 64 + pid / 250 % 128, 1 + pid % 250);
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder)?;
        let ports = find_ports(&net)?;
        let platform = Platform::start(&format!("{net}.100"))?;
        Ok(Self {
            folder,
            root: root.to_owned(),
            net,
            ports,
            platform,
            front_memory_mb: 260,
            list_address: Mutex::new(None),
            processes: Vec::new(),
        })
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.net)
    }

    pub fn store_ip(&self, number: u8) -> String {
        self.ip(10 + number)
    }

    pub fn front_ip(&self, number: u8) -> String {
        self.ip(20 + number)
    }

    pub fn http(&self, number: u8) -> SocketAddr {
        format!("{}:{}", self.front_ip(number), self.ports.http).parse().unwrap()
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        format!("{}:{}", self.front_ip(number), self.ports.ready).parse().unwrap()
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        format!("{}:{}", self.store_ip(number), self.ports.control).parse().unwrap()
    }

    pub fn gateway_port(&self) -> u16 {
        self.ports.internal + 1
    }

    pub fn log(&self, ip: &str) -> PathBuf {
        self.folder.join(format!("{ip}.log"))
    }

    pub fn settings_file(&self, ip: &str) -> PathBuf {
        self.folder.join(format!("{ip}.toml"))
    }

    /// Writes the settings of a machine, as the platform does at every start and change.
    pub fn write_settings(&self, ip: &str, is_store: bool, bootstrap: bool) -> io::Result<()> {
        let seeds: Vec<String> = (1..=3)
            .map(|number| format!("\"{}:{}\"", self.store_ip(number), self.ports.control))
            .collect();
        self.write_settings_with(ip, is_store, bootstrap, &seeds.join(","))
    }

    pub fn write_settings_with(
        &self,
        ip: &str,
        is_store: bool,
        bootstrap: bool,
        seeds: &str,
    ) -> io::Result<()> {
        let Ports { internal, control, http, ready, .. } = self.ports;
        let list = self.list_address.lock().unwrap().unwrap_or(self.platform.address);
        let mut text = String::new();
        let class = if is_store { "store" } else { "front" };
        let serves = if is_store { "\"store\",\"control\"" } else { "\"front\"" };
        let role = if is_store { "ledger" } else { "gateway" };
        let _ = write!(
            text,
            "node_name = \"{class}-{ip}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"hall\"\nregion = \"doto\"\n\
             internal_ports = [{internal},{}]\nseeds = [{seeds}]\nbootstrap = {bootstrap}\n\
             in_tolerance = {is_store}\ndiscovery = \"cloud\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\
             \"engine\"]\nconfig_mode = \"highest\"\n",
            internal + 15,
        );
        if is_store {
            let data = self.folder.join(format!("data-{ip}"));
            fs::create_dir_all(&data)?;
            let _ = writeln!(text, "data_dir = {:?}", data.display().to_string());
        }
        let _ = write!(text, "[zones]\nhall = \"doto\"\n[listen]\n");
        let _ = if is_store {
            writeln!(text, "control = \"{ip}:{control}\"")
        } else {
            writeln!(text, "front_http = \"{ip}:{http}\"\nready = \"{ip}:{ready}\"")
        };
        let memory = if is_store { 280 } else { self.front_memory_mb };
        let (fds, mbps) = if is_store { (8_200, 600) } else { (4_100, 1_000) };
        let _ = write!(
            text,
            "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory}\nmax_fds = {fds}\n\
             link_mbps = {mbps}.0\ndisk_mb = {}\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4.4\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n\
             recover_s = 12\npass_ms = 120\nretry_after_s = 0\nfinish_s = 10\nsettle_ms = 1000\n\
             [cloud]\naddress = \"{list}\"\nrate_per_s = 47.0\nduties = []\nmax_lag_ms = 800\n",
            if is_store { 380 } else { 0 },
        );
        fs::write(self.settings_file(ip), text)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, ip: &str) -> io::Result<Process> {
        let log = File::options().create(true).append(true).open(self.log(ip))?;
        let metrics = self.ports.metrics.to_string();
        let child = Command::new(self.root.join("target/release/calicohoist"))
            .args(["--log-format", "json", "serve", "--metrics-port", &metrics])
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/")
            .env("LANG", "C.UTF-8")
            .env("CALICOHOIST_NODE_FILE", self.settings_file(ip))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Process { child, ip: ip.to_owned() })
    }

    /// Starts three ledger machines and `fronts` gateways. The gateways come last in `processes`.
    pub fn start_all(&mut self, fronts: u8) -> io::Result<()> {
        for number in 1..=3 {
            let ip = self.store_ip(number);
            self.write_settings(&ip, true, true)?;
            let process = self.start(&ip)?;
            self.processes.push(process);
            // `bootstrap` is true only at the first start.
            thread::sleep(Duration::from_millis(50));
        }
        for number in 1..=fronts {
            let ip = self.front_ip(number);
            self.write_settings(&ip, false, true)?;
            let process = self.start(&ip)?;
            self.processes.push(process);
        }
        thread::sleep(Duration::from_millis(300));
        for number in 1..=3 {
            self.write_settings(&self.store_ip(number), true, false)?;
        }
        for number in 1..=fronts {
            self.write_settings(&self.front_ip(number), false, false)?;
        }
        Ok(())
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn configure(&self, document: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            for number in 1..=3 {
                if self.operate(number, "PUT", "/-/config", document).status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// One call of the operator, without following redirects.
    pub fn operate(&self, number: u8, method: &str, path: &str, body: &str) -> Answer {
        let call = Call {
            method,
            path,
            id: "operator",
            headers: "",
            body: body.as_bytes(),
            timeout: Duration::from_secs(1),
        };
        call.send(self.control(number))
    }

    /// Waits until gateways report that they are ready.
    pub fn wait_ready(&self, fronts: u8, within: Duration) -> bool {
        let until = Instant::now() + within;
        (1..=fronts).all(|number| {
            while Instant::now() < until {
                let call = Call {
                    method: "GET",
                    path: "/-/ready",
                    id: "ready",
                    headers: "",
                    body: b"",
                    timeout: Duration::from_secs(1),
                };
                if call.send(self.ready(number)).status == 200 {
                    return true;
                }
                thread::sleep(POLL);
            }
            false
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.processes.clear();
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn find_ports(net: &str) -> io::Result<Ports> {
    let is_free = |port: u16| {
        [11, 12, 13, 21, 22, 100]
            .iter()
            .all(|host| TcpListener::bind((format!("{net}.{host}").as_str(), port)).is_ok())
    };
    let mut base = 20_000 + (std::process::id() % 200) as u16 * 50;
    for _ in 0..100 {
        let wanted = [base, base + 1, base + 20, base + 21, base + 22, base + 23];
        if wanted.iter().all(|port| is_free(*port)) {
            return Ok(Ports {
                internal: base,
                control: base + 20,
                http: base + 21,
                ready: base + 22,
                metrics: base + 23,
            });
        }
        base += 40;
    }
    Err(io::Error::other("no free ports"))
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Counts that threads share.
#[derive(Default)]
pub struct Tally(Mutex<HashMap<String, u64>>);

impl Tally {
    pub fn add(&self, name: &str) {
        *self.0.lock().unwrap().entry(name.to_owned()).or_default() += 1;
    }

    pub fn get(&self, name: &str) -> u64 {
        self.0.lock().unwrap().get(name).copied().unwrap_or(0)
    }
}

/// Runs a case whose folder is the first argument, and the repository's root the second one.
pub fn run_case(case: impl FnOnce(&Path, &Recorder) -> io::Result<i32>) -> ! {
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(folder), Some(root)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: CASE FOLDER ROOT");
        std::process::exit(COULD_NOT_RUN);
    };
    let Ok(record) = Recorder::create(&folder.join("record.txt")) else {
        eprintln!("cannot write the record");
        std::process::exit(COULD_NOT_RUN);
    };
    record.line(format!("begins, disruption: {}", has_trouble()));
    // A panic ends the processes as well.
    let played = panic::catch_unwind(AssertUnwindSafe(|| case(&root, &record)));
    let code = match played {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            record.line(format!("could not run: {error}"));
            COULD_NOT_RUN
        }
        Err(_) => COULD_NOT_RUN,
    };
    record.line(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "could not run",
    });
    std::process::exit(code)
}
