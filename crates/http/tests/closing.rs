//! Connections that are made while a server stops.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use calicohoist_http::{Exchange, Handler, HttpServer, ServerSettings};

const ROUNDS: usize = 30;
const PEERS: usize = 8;
/// Time limit for a connection; shorter than the kernel's, which sends again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const SERVING_TIME: Duration = Duration::from_millis(10);
/// Time in which callers leave their kept connections.
const CLOSING_TIME: Duration = Duration::from_millis(300);
const KEPT_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";

struct ShortReply;

impl Handler for ShortReply {
    fn handle(&self, exchange: Exchange) {
        exchange.reply_text(200, "text/plain", "done\n");
    }

    fn handle_overload(&self, exchange: Exchange) {
        exchange.reply_text(503, "text/plain", "busy\n");
    }
}

/// Connects and sends a request again and again until no connection is accepted; returns how many
/// requests stayed without a response.
fn send_until_refused(address: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("configured");
        let sent = stream.write_all(REQUEST);
        let mut response = Vec::new();
        let received = stream.read_to_end(&mut response);
        unanswered += usize::from(sent.is_err() || received.is_err() || response.is_empty());
    }
    unanswered
}

fn stop_beside_peers() -> usize {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, ServerSettings::default(), Arc::new(ShortReply));
    let mut server = server.expect("started");
    let address = server.address();
    let peers: Vec<_> =
        (0..PEERS).map(|_| thread::spawn(move || send_until_refused(address))).collect();
    thread::sleep(SERVING_TIME);
    server.stop();
    peers.into_iter().map(|peer| peer.join().expect("a peer")).sum()
}

#[test]
fn connections_made_while_the_server_stops_are_served() {
    let unanswered: usize = (0..ROUNDS).map(|_| stop_beside_peers()).sum();
    assert_eq!(unanswered, 0, "requests without a response in {ROUNDS} rounds");
}

/// Sends requests on kept connections until no connection is accepted; returns how many stayed
/// without a response.
fn send_on_kept_connections(address: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("configured");
        loop {
            let sent = stream.write_all(KEPT_REQUEST);
            let Some(head) = sent.ok().and_then(|()| read_short_reply(&mut stream)) else {
                unanswered += 1;
                break;
            };
            if head.contains("\r\nconnection: close\r\n") {
                break;
            }
        }
    }
    unanswered
}

/// Reads one response of [`ShortReply`]; returns its head.
fn read_short_reply(stream: &mut TcpStream) -> Option<String> {
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\ndone\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        response.extend(byte);
    }
    String::from_utf8(response).ok()
}

#[test]
fn callers_on_kept_connections_are_told_to_leave_before_the_server_stops() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::start(any_port, ServerSettings::default(), Arc::new(ShortReply));
    let mut server = server.expect("started");
    let address = server.address();
    let peers: Vec<_> =
        (0..PEERS).map(|_| thread::spawn(move || send_on_kept_connections(address))).collect();
    thread::sleep(SERVING_TIME);
    server.close_connections();
    thread::sleep(CLOSING_TIME);
    server.stop();
    let unanswered: usize = peers.into_iter().map(|peer| peer.join().expect("a peer")).sum();
    assert_eq!(unanswered, 0);
}
