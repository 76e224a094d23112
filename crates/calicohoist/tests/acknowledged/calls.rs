//! Operator requests that are in progress while their machine stops.

use std::io::{BufReader, Read, Write as _};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::support::{Response, ScriptedReplica, client, configuration, wait_until};
use crate::{
    Ledger, STORE_IPS, assert_answered, large_configuration, read_response, request, version_of,
};

/// Time in which the leader learns of a listed replica.
const LIST_PERIOD: Duration = Duration::from_secs(2);
const LARGE_BYTES: usize = 4 << 20;

#[test]
fn configuration_that_is_being_sent_is_answered_by_a_stopping_machine() {
    const PARTS: usize = 16;
    let mut ledger = Ledger::start();
    let leader = ledger.cluster.leader();
    let call = request("PUT", "/-/config", &large_configuration(2, LARGE_BYTES));
    let mut stream = ledger.connect(leader);
    for (number, part) in call.as_bytes().chunks(call.len() / PARTS).enumerate() {
        if number == 3 {
            ledger.signal(leader, Signal::TERM);
        }
        stream.write_all(part).expect("send a part of the configuration");
        thread::sleep(Duration::from_millis(100));
    }
    assert_answered(&read_response(stream), "PUT");
    ledger.wait_until_stopped(leader);
}

#[test]
fn change_without_a_quorum_is_answered_by_a_stopping_machine() {
    let mut ledger = Ledger::start();
    let leader = ledger.cluster.leader();
    let others: Vec<&str> = STORE_IPS.into_iter().filter(|ip| *ip != leader).collect();
    others.iter().for_each(|ip| ledger.signal(ip, Signal::STOP));
    let put = ledger.send(leader, "PUT", "/-/config", &configuration(2).to_string());
    thread::sleep(Duration::from_millis(100));
    ledger.signal(leader, Signal::TERM);
    let response = read_response(put);
    others.iter().for_each(|ip| ledger.signal(ip, Signal::CONT));
    assert_answered(&response, "PUT");
    ledger.wait_until_stopped(leader);
}

#[test]
fn connections_that_were_not_accepted_yet_are_answered_by_a_stopping_machine() {
    let mut ledger = Ledger::start();
    for machine in STORE_IPS {
        ledger.signal(machine, Signal::STOP);
        let send = |_| ledger.send(machine, "GET", "/-/config", "");
        let streams: Vec<TcpStream> = (0..20).map(send).collect();
        ledger.signal(machine, Signal::TERM);
        ledger.signal(machine, Signal::CONT);
        let responses: Vec<Response> = streams.into_iter().map(read_response).collect();
        responses.iter().for_each(|response| assert_answered(response, "GET"));
        ledger.wait_until_stopped(machine);
        ledger.restart(machine);
        ledger.active_version();
    }
}

#[test]
fn large_configuration_is_delivered_to_a_slow_reader_by_a_stopping_machine() {
    let mut ledger = Ledger::start();
    let put = ledger.cluster.leader();
    let body = large_configuration(2, LARGE_BYTES);
    assert_eq!(read_response(ledger.send(put, "PUT", "/-/config", &body)).status, 200);
    let leader = ledger.cluster.leader();
    let stream = ledger.send(leader, "GET", "/-/config", "");
    thread::sleep(Duration::from_millis(300));
    ledger.signal(leader, Signal::TERM);
    let response = read_slowly(stream);
    assert_answered(&response, "GET");
    assert_eq!((response.status, version_of(&response)), (200, 2));
    ledger.wait_until_stopped(leader);
}

#[test]
fn caller_that_shuts_its_sending_side_is_answered() {
    let ledger = Ledger::start();
    for ip in STORE_IPS {
        let stream = ledger.send(ip, "GET", "/-/config", "");
        stream.shutdown(Shutdown::Write).expect("shut the sending side");
        assert_answered(&read_response(stream), "GET");
    }
}

/// The operator may have requested the opposite change from another machine meanwhile.
#[test]
fn zone_change_of_a_caller_that_left_is_not_executed() {
    let ledger = Ledger::start();
    let replicas = ["hall", "attic"].map(|zone| {
        let replica = ScriptedReplica::start(zone, |_| {});
        ledger.cluster.platform_list.put_in_zone(zone, &replica, "models", "ready");
        replica
    });
    thread::sleep(LIST_PERIOD);
    let leader = ledger.cluster.leader();
    ledger.signal(leader, Signal::STOP);
    for number in 0..20 {
        // The machine keeps its leadership during such a short pause.
        let body = ["", "{}"][number % 2];
        drop(ledger.send(leader, "POST", "/-/evacuations/hall", body));
    }
    ledger.signal(leader, Signal::CONT);
    let post = ledger.send(leader, "POST", "/-/evacuations/attic", "");
    assert_eq!(read_response(post).status, 200, "the machine kept its leadership");
    wait_until("the change is logged", || zone_changes(&ledger, leader).contains("attic"));
    let changes = zone_changes(&ledger, leader);
    assert!(!changes.contains("hall"), "{changes}");
    drop(replicas);
}

/// Returns the changes of the drained zones that a machine has applied, from its log.
fn zone_changes(ledger: &Ledger, ip: &str) -> String {
    let file = ledger.cluster.folder.path().join(format!("{ip}.log"));
    let log = std::fs::read_to_string(file).expect("the log of a machine");
    let changes = log.lines().filter(|line| line.contains("\"ZonesDrained\""));
    changes.map(|line| format!("{line}\n")).collect()
}

fn read_slowly(stream: TcpStream) -> Response {
    const BUFFER_BYTES: usize = 32 << 10;
    let input = BufReader::with_capacity(BUFFER_BYTES, SlowReader(stream));
    client::read_response(&mut { input })
}

struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        const PART_BYTES: usize = 32 << 10;
        thread::sleep(Duration::from_millis(20));
        let most = buffer.len().min(PART_BYTES);
        self.0.read(&mut buffer[..most])
    }
}
