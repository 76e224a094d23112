//! Replica list whose pages or entries never end.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use serde_json::json;

use crate::cluster::Cluster;
use crate::support::{EndlessKind, ListServer};
use crate::{Deployment, TURN, load};

/// What of a list never ends.
#[derive(Clone, Copy)]
enum EndlessPart {
    Response(EndlessKind),
    /// A text in an entry.
    Entry,
}

impl EndlessPart {
    /// Writes until the reader closes the connection.
    fn write(self, stream: &mut TcpStream) {
        match self {
            Self::Response(kind) => kind.write(stream, "list"),
            Self::Entry => {
                let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
                let start = format!("{head}{{\"instances\":[{{\"id\":\"");
                let text = "x".repeat(16 << 10);
                let mut result = stream.write_all(start.as_bytes());
                while result.is_ok() {
                    result = stream.write_all(text.as_bytes());
                }
            }
        }
    }
}

/// List server that answers soundly at first and endlessly later.
struct EndlessList {
    address: SocketAddr,
    is_endless: Arc<AtomicBool>,
}

impl EndlessList {
    fn start(list: &ListServer, part: EndlessPart) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let is_endless = Arc::new(AtomicBool::new(false));
        let (instances, mode) = (Arc::clone(&list.instances), Arc::clone(&is_endless));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (instances, mode) = (Arc::clone(&instances), Arc::clone(&mode));
                thread::spawn(move || {
                    let page = || {
                        let list = json!({ "instances": *instances.lock(), "next_token": null });
                        list.to_string()
                    };
                    serve_list(stream, page, part, &mode);
                });
            }
        });
        Self { address, is_endless }
    }
}

fn serve_list(
    mut stream: TcpStream,
    page: impl Fn() -> String,
    part: EndlessPart,
    is_endless: &AtomicBool,
) {
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reader).lines().map_while(Result::ok);
    // The end of a request head.
    while lines.by_ref().any(|line| line.is_empty()) {
        if is_endless.load(Ordering::Relaxed) {
            part.write(&mut stream);
            return;
        }
        let body = page();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

/// Runs callers while the list, which was read before, never ends.
fn run_beside_list(part: EndlessPart) {
    let _turn = TURN.lock();
    let mut cluster = Cluster::new();
    let list = EndlessList::start(&cluster.platform_list, part);
    cluster.platform_list_address = Some(list.address);
    let deployment = Deployment::start(&[], cluster);
    list.is_endless.store(true, Ordering::Relaxed);
    load::run(deployment, 0, "");
}

#[test]
fn requests_are_served_beside_a_list_with_interim_responses_without_end() {
    run_beside_list(EndlessPart::Response(EndlessKind::InterimResponses));
}

#[test]
fn requests_are_served_beside_a_list_without_end() {
    run_beside_list(EndlessPart::Response(EndlessKind::ChunkedBody));
}

#[test]
fn requests_are_served_beside_a_list_that_trickles() {
    run_beside_list(EndlessPart::Response(EndlessKind::TrickledBody));
}

#[test]
fn requests_are_served_beside_a_list_in_tiny_pieces() {
    run_beside_list(EndlessPart::Response(EndlessKind::TinyChunks));
}

#[test]
fn requests_are_served_beside_a_list_with_a_trickled_head() {
    run_beside_list(EndlessPart::Response(EndlessKind::TrickledHead));
}

#[test]
fn requests_are_served_beside_a_list_with_trailers_without_end() {
    run_beside_list(EndlessPart::Response(EndlessKind::Trailers));
}

#[test]
fn requests_are_served_beside_a_list_with_bytes_without_end_after_it() {
    run_beside_list(EndlessPart::Response(EndlessKind::AfterResponse));
}

#[test]
fn requests_are_served_beside_a_list_with_an_entry_without_end() {
    run_beside_list(EndlessPart::Entry);
}
