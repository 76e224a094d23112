//! Callers that read the response of a retained turn slowly, and continue the turn just before its
//! retention ends, counted from the last byte that they have read.

use std::io::{BufReader, Read};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt;
use rustix::process::Signal;

use crate::deployment::{RetainingDeployment, RouteTimes, Turn, begin, part_of_history};
use crate::support::{ScriptedReplica, client};

/// So short that what the gateway adds to the retention at once does not cover the delivery.
const TIMES: RouteTimes =
    RouteTimes { retention: Duration::from_secs(2), timeout: Duration::from_secs(2) };
/// Time for which a caller reads.
const READING_TIME: Duration = Duration::from_secs(9);
const READ_INTERVAL: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const EVENT_BYTES: usize = 64 << 10;
/// Time before the end of its retention at which a turn is continued.
const CONTINUED_BEFORE: Duration = Duration::from_millis(300);

struct PacedReader {
    stream: TcpStream,
    most: usize,
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(READ_INTERVAL);
        let most = self.most.min(buffer.len());
        self.stream.read(&mut buffer[..most])
    }
}

/// Returns the data of each event of a response of `bytes` bytes.
fn event_data(bytes: usize) -> Vec<String> {
    let letters = ('a'..='z').cycle().take(bytes / EVENT_BYTES);
    letters.map(|letter| letter.to_string().repeat(EVENT_BYTES)).collect()
}

/// Size and connection of a response.
#[derive(Clone, Copy, Debug)]
struct LargeResponse {
    bytes: usize,
    /// Whether the connection ends with the response.
    is_last: bool,
}

/// Held by socket buffers.
const IN_SOCKETS: LargeResponse = LargeResponse { bytes: 1 << 20, is_last: false };
/// More than socket buffers hold.
const IN_GATEWAY: LargeResponse = LargeResponse { bytes: 6 << 20, is_last: false };

/// Reads a response slowly while `fault` runs, and continues its turn.
fn assert_kept_for_slow_reader(
    large: LargeResponse,
    fault: impl FnOnce(&mut RetainingDeployment) + Send,
) {
    let LargeResponse { bytes, is_last } = large;
    let model = ScriptedReplica::start("model", move |exchange| {
        if exchange.request.id() != "large" {
            return exchange.send_stream("x");
        }
        exchange.start_stream();
        for (number, data) in (1..).zip(event_data(bytes)) {
            exchange.send_event(number, &data);
        }
        exchange.end_stream();
    });
    let mut deployment = RetainingDeployment::start_with_times(model, TIMES);
    let mut stream = TcpStream::connect(deployment.gateway()).expect("connect");
    sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).expect("set the size");
    let turn = Turn { id: "large", is_retained: true, is_large: true, is_last, ..Turn::default() };
    begin(&mut stream, &turn).expect("send the turn");
    let reads = READING_TIME.as_millis() / READ_INTERVAL.as_millis();
    let most = bytes / usize::try_from(reads).expect("few reads");
    let (response, completed_at) = thread::scope(|scope| {
        scope.spawn(|| fault(&mut deployment));
        let mut input = BufReader::with_capacity(most, PacedReader { stream, most });
        (client::read_response(&mut input), Instant::now())
    });
    assert_eq!((response.status, response.is_complete), (200, true));
    let continued_at = completed_at + TIMES.retention - CONTINUED_BEFORE;
    thread::sleep(continued_at.saturating_duration_since(Instant::now()));
    let next = Turn { id: "next", previous: Some("large"), is_retained: true, ..Turn::default() };
    assert_eq!(deployment.send(&next).status, 200, "{:?} old", completed_at.elapsed());
    let lines = event_data(bytes).join("\n");
    let history = format!("{}input ", part_of_history(&lines));
    assert!(deployment.received_body("next") == history.as_bytes(), "the history is another one");
}

#[test]
fn turn_whose_response_waits_in_socket_buffers_is_kept_from_its_last_byte() {
    assert_kept_for_slow_reader(IN_SOCKETS, |_| {});
}

#[test]
fn turn_whose_connection_ends_with_its_response_is_kept_from_its_last_byte() {
    assert_kept_for_slow_reader(LargeResponse { is_last: true, ..IN_SOCKETS }, |_| {});
}

#[test]
fn turn_whose_response_waits_in_the_gateway_is_kept_from_its_last_byte() {
    assert_kept_for_slow_reader(IN_GATEWAY, |_| {});
}

#[test]
fn turn_is_kept_from_its_last_byte_while_its_gateway_is_paused() {
    const BEFORE: Duration = Duration::from_secs(3);
    const PAUSE: Duration = Duration::from_secs(3);
    assert_kept_for_slow_reader(IN_GATEWAY, |deployment| {
        thread::sleep(BEFORE);
        deployment.gateways[0].signal(Signal::STOP);
        thread::sleep(PAUSE);
        deployment.gateways[0].signal(Signal::CONT);
    });
}

#[test]
fn turn_is_kept_from_its_last_byte_while_leaders_are_killed() {
    const INTERVAL: Duration = Duration::from_secs(2);
    const KILLS: usize = 3;
    assert_kept_for_slow_reader(IN_SOCKETS, |deployment| {
        for _ in 0..KILLS {
            thread::sleep(INTERVAL);
            let leader = deployment.ledger.cluster.leader();
            deployment.ledger.machine(leader).kill();
            deployment.ledger.restart(leader);
        }
    });
}
