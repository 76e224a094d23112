//! Operator requests whose bodies never end.

use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;

use crate::support::{Response, client, configuration};
use crate::{Ledger, STORE_IPS, assert_answered};

const CALLERS: usize = 40;
const PART_BYTES: usize = 64 << 10;
/// Memory of a machine.
const MAX_MEMORY_BYTES: usize = 128 << 20;

/// Sends a body until the machine has answered, and returns the answer.
fn send_without_end(address: SocketAddr) -> Response {
    let mut stream = client::connect(address);
    let head = "PUT /-/config HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("send the head");
    let sending = stream.try_clone().expect("a handle");
    let sender = thread::spawn(move || send_parts(sending));
    let response = client::read_response(&mut BufReader::new(&stream));
    // Ends the sender.
    let _ = stream.shutdown(Shutdown::Both);
    sender.join().expect("the sender ends");
    response
}

fn send_parts(mut stream: TcpStream) {
    let part = format!("{PART_BYTES:x}\r\n{}\r\n", "x".repeat(PART_BYTES));
    while stream.write_all(part.as_bytes()).is_ok() {}
}

#[test]
fn bodies_without_end_cost_a_bounded_share_of_memory() {
    let ledger = Ledger::start();
    let leader = ledger.cluster.leader();
    let address = ledger.cluster.control(leader);
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(move || send_without_end(address))).collect();
        for caller in callers {
            let response = caller.join().expect("a caller");
            assert_answered(&response, "PUT");
            assert!([400, 503].contains(&response.status), "{}", response.status);
        }
    });
    ledger.operate("PUT", "/-/config", &configuration(2).to_string());
    assert_eq!(ledger.active_version(), 2);
    for (machine, ip) in ledger.machines.iter().zip(STORE_IPS) {
        let peak = machine.peak_memory();
        println!("{ip}: {} MiB", peak >> 20);
        assert!(peak <= MAX_MEMORY_BYTES, "{ip}: {peak} bytes");
    }
}
