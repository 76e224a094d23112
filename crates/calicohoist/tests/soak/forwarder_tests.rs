//! The forwarder between gateways and replicas.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::cluster::forwarder::Forwarder;
use crate::support::wait_until;

/// Time in which a writer fills all buffers and blocks.
const BLOCKING_TIME: Duration = Duration::from_millis(800);

#[test]
fn endless_writer_behind_a_forwarder_notices_that_its_reader_left() {
    let target = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = target.local_addr().expect("an address");
    let writer = thread::spawn(move || {
        let (mut stream, _) = target.accept().expect("a connection");
        let part = [0; 16 << 10];
        while stream.write_all(&part).is_ok() {}
    });
    let forwarder = Forwarder::start(SocketAddr::from(([127, 0, 0, 1], 0)), address);
    let mut reader = TcpStream::connect(forwarder.address).expect("connect");
    reader.read_exact(&mut [0]).expect("a byte");
    thread::sleep(BLOCKING_TIME);
    drop(reader);
    wait_until("the writer has ended", || writer.is_finished());
}
