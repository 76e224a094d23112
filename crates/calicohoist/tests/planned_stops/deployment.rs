//! A gateway process with a store and a tool service in the test's own process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use calicohoist::roles::store_settings;
use calicohoist::settings::Settings;
use calicohoist_store::driver::StoreServer;
use calicohoist_types::backend_api::{JobRequest, JobResult};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::caller::{Answer, request};
use crate::gateway_log::read_address;

/// Longest wait for a step of the deployment.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub const SERVICE: &str = "tools";

/// A replica whose jobs take as many milliseconds as their input says.
pub struct Replica {
    address: SocketAddr,
    begun: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Replica {
    fn start() -> Self {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").expect("bound"));
        let address = server.server_addr().to_ip().expect("an IP address");
        let replica = Self { address, begun: Arc::default(), stop: Arc::default() };
        let (begun, stop) = (replica.begun.clone(), replica.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let received = server.recv_timeout(POLL_INTERVAL);
                let Ok(Some(request)) = received else { continue };
                let begun = begun.clone();
                thread::spawn(move || run_job(request, &begun));
            }
        });
        replica
    }

    /// Returns the number of jobs that have begun.
    pub fn begun(&self) -> usize {
        self.begun.load(Ordering::SeqCst)
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn run_job(mut request: tiny_http::Request, begun: &AtomicUsize) {
    let job: JobRequest = serde_json::from_reader(request.as_reader()).expect("a job");
    begun.fetch_add(1, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(job.input.parse().expect("milliseconds")));
    let result = JobResult { key: job.key, output: job.input };
    let text = serde_json::to_string(&result).expect("encoded");
    // Fails if the gateway has ended.
    let _ = request.respond(tiny_http::Response::from_string(text));
}

/// A gateway with its store and replica.
pub struct Deployment {
    child: Child,
    pub address: SocketAddr,
    pub replica: Replica,
    _store: StoreServer,
    _folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts all, with these settings of the gateway and slots of the replica.
    pub fn start(options: &str, slots: u32) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
        let store_address = listener.local_addr().expect("bound");
        let head = format!(
            "name = \"g-1\"\nzone = \"hall\"\n[[store_machines]]\nnumber = 1\naddress = \
             \"{store_address}\"\n"
        );
        let data_folder = folder.path().join("data");
        let text = format!("{head}[store]\nmachine = 1\ndata_folder = {data_folder:?}\n");
        let settings = Settings::parse("store.toml", &text).expect("valid settings");
        let section = settings.store.as_ref().expect("a store");
        let store = StoreServer::start(store_settings(&settings, section), listener);
        let file = folder.path().join("gateway.toml");
        let text = format!(
            "{head}[gateway]\nhttp = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n{options}\n"
        );
        std::fs::write(&file, text).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_calicohoist"))
            .args(["gateway", "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let address = read_address(&mut child, STEP_TIMEOUT);
        let deployment = Self {
            child,
            address,
            replica: Replica::start(),
            _store: store.expect("started"),
            _folder: folder,
        };
        deployment.declare_replica(slots);
        deployment
    }

    fn declare_replica(&self, slots: u32) {
        let spec = json!({
            "service": SERVICE, "address": self.replica.address, "zone": "hall", "slots": slots,
        });
        let text = request("PUT", "/apis/v1/service/replica", "", &spec.to_string());
        self.wait_until("the replica is declared", || {
            Answer::fetch(self.address, &text).is_some_and(|answer| answer.status < 300)
        });
        let probe = self.job("", 0);
        self.wait_until("a job is answered", || {
            Answer::fetch(self.address, &probe).is_some_and(|answer| answer.status == 200)
        });
    }

    /// Returns a call that takes `millis` at the replica.
    pub fn job(&self, headers: &str, millis: u64) -> String {
        let body = json!({ "input": millis.to_string() }).to_string();
        let headers = format!("calicohoist-tenant: counter\r\n{headers}");
        request("POST", &format!("/v1/services/{SERVICE}"), &headers, &body)
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "not in time: {what}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("signalled");
    }

    /// Waits for the end of the gateway; `None` if it still runs after `timeout`.
    pub fn wait_for_end(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
