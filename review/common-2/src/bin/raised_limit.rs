//! A configuration raises the limit on the heads of requests; clients keep their connections.

use std::thread::sleep;
use std::time::Duration;

use review_2::client::Request;
use review_2::fleet::{Fleet, MAX_HEADER_BYTES, Machine, Route, limited_configuration};
use review_2::replica::{Replica, Runs, Work};
use review_2::{Record, Verdict, run_case, wait_until};

const CLIENTS: usize = 30;
/// Limit of version 1, in the disruption.
const LOWER_LIMIT: usize = 8_192;
/// Length of a header within the limit of version 2 only.
const LONG_HEADER: usize = 12_000;
/// Bound `config_apply_ms` of the settings, and a second more.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
/// Bound `contact_ms` of the settings, and a little more.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
const ORDER_LIMIT: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_secs(3);
/// Requests that may be denied: five, and one in five hundred.
const ALLOWED: usize = 5 + 2 * CLIENTS / 500;

fn main() {
    run_case(play)
}

fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::new();
    let runs = Runs::default();
    for number in 1..=2 {
        let replica = Replica::start(&fleet.stand_in_ip(number), Work::Reply, &runs);
        fleet.platform.add(&replica.id, "desk", replica.address);
    }
    let stores = [1, 2, 3].map(|number| fleet.store(number));
    let front = fleet.front(1);
    for machine in stores.iter().chain([&front]) {
        fleet.start(machine, true);
    }
    let route =
        Route { name: "plain", kind: "unsafe", service: "desk", retain: false, resumable: false };
    let machines: Vec<&Machine> = stores.iter().collect();
    let put = |version, limit| {
        let document = limited_configuration(version, &[route.to_json()], limit);
        let answer = fleet.order(&machines, "PUT", "/-/config", &document, ORDER_LIMIT);
        record.note(&format!(
            "PUT /-/config version {version}, max_header_bytes {limit}: {}",
            answer.status
        ));
        answer.status == 200
    };
    let first_limit = if has_trouble { LOWER_LIMIT } else { MAX_HEADER_BYTES };
    if !put(1, first_limit) || !wait_until(ORDER_LIMIT, || fleet.is_ready(&front)) {
        return Verdict::NotRun;
    }
    sleep(CONTACT_TIME);
    let mut connections = Vec::new();
    for client in 0..CLIENTS {
        let request = request(&format!("9c41d07be2a3{client:04x}"));
        let Ok((response, connection)) = request.send_first(fleet.http(&front), TIMEOUT) else {
            return Verdict::NotRun;
        };
        record.note(&format!("first request of client {client}: {}", response.status));
        connections.push(connection);
    }
    if !put(2, MAX_HEADER_BYTES) {
        return Verdict::NotRun;
    }
    sleep(APPLY_TIME);
    let (mut denied, mut served) = (0, 0);
    for (client, connection) in connections.iter_mut().enumerate() {
        let id = format!("77d20b11e5b2{client:04x}");
        let request = request(&id).header("Note", &"a".repeat(LONG_HEADER));
        let response = request.send_next(connection).unwrap_or_default();
        let is_own = response.head.get("calicohoist-server-stamp").is_none();
        record.note(&format!(
            "second request of client {client}, {id}, on its connection: {}",
            response.status
        ));
        denied += usize::from((400..500).contains(&response.status) && is_own);
        served += usize::from(response.status == 200);
    }
    let id = "e5b2907c14da6f38";
    let anew = request(id).header("Note", &"a".repeat(LONG_HEADER));
    let anew = anew.send(fleet.http(&front), TIMEOUT);
    record.note(&format!("the same, {id}, on a new connection: {}", anew.status));
    for run in runs.lock().expect("the runs").iter() {
        record.note(&format!("run: {} at {}", run.request, run.replica));
    }
    record.note(&format!(
        "{served} second requests served, {denied} ended with a 4xx of the gateway's own; \
         {ALLOWED} are allowed"
    ));
    if anew.status != 200 {
        return Verdict::NotRun;
    }
    if denied > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

fn request(id: &str) -> Request {
    Request::new("POST", "/plain/a", b"please")
        .header("Calicohoist-Request-Id", id)
        .header("Calicohoist-Deadline-Ms", "3000")
}
