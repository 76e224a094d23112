//! Stand-in for the platform's list of replicas.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::{read_body, read_head, write_response};

/// List of replicas, which the product reads over HTTP.
pub struct Platform {
    /// Address of the list.
    pub address: SocketAddr,
    entries: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    /// Starts the list, which is empty.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the list");
        let address = listener.local_addr().expect("a bound address");
        let entries: Arc<Mutex<Vec<String>>> = Arc::default();
        let served = Arc::clone(&entries);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().expect("a handle"));
                    while let Ok(Some(head)) = read_head(&mut input) {
                        let entries = served.lock().expect("the list").join(",");
                        let body = format!("{{\"instances\":[{entries}],\"next_token\":null}}");
                        let headers = [("Content-Type", "application/json")];
                        if read_body(&mut input, &head).is_err()
                            || write_response(&stream, 200, &headers, body.as_bytes()).is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, entries }
    }

    /// Adds a replica that is ready.
    pub fn add(&self, id: &str, service: &str, address: SocketAddr) {
        let entry = format!(
            "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\
             \"zone\":\"hall\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]}}"
        );
        self.entries.lock().expect("the list").push(entry);
    }
}
