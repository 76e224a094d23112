//! Stand-in for the platform's list of replicas.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::{read_body, read_head, write_response};

/// A replica in the list.
#[derive(Clone, Debug)]
struct Entry {
    id: String,
    service: String,
    address: SocketAddr,
    state: &'static str,
}

impl Entry {
    fn to_json(&self) -> String {
        let Self { id, service, address, state } = self;
        format!(
            "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\
             \"zone\":\"hall\",\"version\":\"v1\",\"slots\":12,\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]}}"
        )
    }
}

/// List of replicas, which the product reads over HTTP.
pub struct Platform {
    /// Address of the list.
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<Entry>>>,
    calls: Arc<AtomicUsize>,
    is_closed: Arc<AtomicBool>,
}

impl Platform {
    /// Starts the list, which is empty.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the list");
        let address = listener.local_addr().expect("a bound address");
        let platform = Self {
            address,
            entries: Arc::default(),
            calls: Arc::default(),
            is_closed: Arc::default(),
        };
        let (entries, calls) = (Arc::clone(&platform.entries), Arc::clone(&platform.calls));
        let is_closed = Arc::clone(&platform.is_closed);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::Relaxed) {
                    return;
                }
                let (entries, calls) = (Arc::clone(&entries), Arc::clone(&calls));
                thread::spawn(move || serve(&stream, &entries, &calls));
            }
        });
        platform
    }

    /// Continues at another address; the former one refuses connections from then on.
    pub fn move_to(&self, ip: &str) -> Self {
        let moved = Self::start(ip);
        *moved.entries.lock().expect("the list") = self.entries.lock().expect("the list").clone();
        self.is_closed.store(true, Ordering::Relaxed);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
        moved
    }

    /// Returns how often the list was read.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Adds a replica that is ready.
    pub fn add(&self, id: &str, service: &str, address: SocketAddr) {
        let (id, service) = (id.to_owned(), service.to_owned());
        let entry = Entry { id, service, address, state: "ready" };
        self.entries.lock().expect("the list").push(entry);
    }

    /// Removes a replica.
    pub fn remove(&self, id: &str) {
        self.entries.lock().expect("the list").retain(|entry| entry.id != id);
    }

    /// Shows a replica as one that leaves.
    pub fn drain(&self, id: &str) {
        let mut entries = self.entries.lock().expect("the list");
        entries
            .iter_mut()
            .filter(|entry| entry.id == id)
            .for_each(|entry| entry.state = "draining");
    }
}

fn serve(stream: &TcpStream, entries: &Mutex<Vec<Entry>>, calls: &AtomicUsize) {
    let mut input = BufReader::new(stream.try_clone().expect("a handle"));
    while let Ok(Some(head)) = read_head(&mut input) {
        calls.fetch_add(1, Ordering::Relaxed);
        let entries: Vec<String> =
            entries.lock().expect("the list").iter().map(Entry::to_json).collect();
        let body = format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","));
        let headers = [("Content-Type", "application/json")];
        if read_body(&mut input, &head).is_err()
            || write_response(stream, 200, &headers, body.as_bytes()).is_err()
        {
            return;
        }
    }
}
