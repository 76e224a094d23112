//! A retired store machine is added again under its name; later another one loses its disk.

use std::thread::sleep;
use std::time::Duration;

use review_2::client::{Request, Response};
use review_2::fleet::{Machine, Route, Signal, configuration};
use review_2::replica::{Replica, Runs, Work};
use review_2::{Fleet, Record, Verdict, run_case, wait_until};

/// Bound `catch_up_s` of the settings, and a little more.
const CATCH_UP_TIME: Duration = Duration::from_millis(6_000);
/// Bound `recover_s` of the settings.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const ORDER_LIMIT: Duration = Duration::from_secs(10);

fn main() {
    run_case(play)
}

fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::new();
    let runs = Runs::default();
    let work = Work::Stream { events: 4, pause: Duration::from_millis(10) };
    let replicas: Vec<Replica> =
        (1..=3).map(|number| Replica::start(&fleet.stand_in_ip(number), work, &runs)).collect();
    for replica in &replicas {
        fleet.platform.add(&replica.id, "models", replica.address);
    }
    let [first, second, third, fourth] = [1, 2, 3, 4].map(|number| fleet.store(number));
    let front = fleet.front(1);
    for machine in [&first, &second, &third, &fourth, &front] {
        fleet.start(machine, true);
    }
    let all = [&first, &second, &third, &fourth];
    if !put(record, &fleet, &all, 1) || !wait_until(ORDER_LIMIT, || fleet.is_ready(&front)) {
        return Verdict::NotRun;
    }
    sleep(CATCH_UP_TIME);

    // The operator empties the fourth machine, which is removed with its disk.
    let path = format!("/-/retire/{}", fourth.name);
    let retire = fleet.order(&all, "POST", &path, "{\"duration_s\":10}", ORDER_LIMIT);
    record.note(&format!("POST {path}: {}", retire.status));
    let is_completed = wait_until(ORDER_LIMIT, || {
        let state = fleet.order(&all, "GET", &path, "", ORDER_LIMIT);
        String::from_utf8_lossy(&state.body).contains("completed")
    });
    if retire.status != 200 || !is_completed {
        return Verdict::NotRun;
    }
    fleet.end(&fourth, Signal::Kill);
    fleet.remove_disk(&fourth);
    record.note(&format!("{} is completed; it is removed with its disk", fourth.name));
    sleep(CATCH_UP_TIME);

    // Later a store machine is added, with an empty disk. In the disruption it has the name of the one
    // that was removed.
    let added = Machine {
        name: if has_trouble { fourth.name.clone() } else { "store-hall-5".to_owned() },
        ..fourth.clone()
    };
    fleet.start(&added, false);
    record.note(&format!("added at {}: {}", added.ip, added.name));
    sleep(CATCH_UP_TIME);

    // It replaces the first machine, which gets SIGTERM and is gone for good.
    fleet.end(&first, Signal::Terminate);
    fleet.remove_disk(&first);
    record.note(&format!("{} has stopped and is gone for good", first.name));
    sleep(CATCH_UP_TIME);

    // Three machines are left, one of which may be lost.
    let rest = [&second, &third, &added];
    if !put(record, &fleet, &rest, 2) {
        return Verdict::Broken;
    }
    let turn = send_turn(&fleet, &front, "9c41d07be2a35f01", None);
    record.note(&format!("a first turn: {} whole: {}", turn.status, turn.is_whole));
    fleet.end(&second, Signal::Kill);
    fleet.remove_disk(&second);
    sleep(Duration::from_millis(600));
    fleet.start(&second, false);
    record.note(&format!("{} has lost its disk and starts again", second.name));

    let is_read = wait_until(RECOVERY_TIME, || {
        let read = fleet.order(&rest, "GET", "/-/config", "", Duration::from_secs(1));
        read.status == 200 && String::from_utf8_lossy(&read.body).contains("\"version\":2")
    });
    record.note(&format!("version 2, which was acknowledged, is read back: {is_read}"));
    let next = send_turn(&fleet, &front, "9c41d07be2a35f02", Some("9c41d07be2a35f01"));
    record.note(&format!("a turn that continues the first one: {}", next.status));
    for run in runs.lock().expect("the runs").iter() {
        record.note(&format!("run: {} at {}", run.request, run.replica));
    }
    if is_read && next.status == 200 { Verdict::Held } else { Verdict::Broken }
}

fn put(record: &Record, fleet: &Fleet, machines: &[&Machine], version: u64) -> bool {
    let route =
        Route { name: "kept", kind: "stream", service: "models", retain: true, resumable: false };
    let document = configuration(version, &[route.to_json()]);
    let answer = fleet.order(machines, "PUT", "/-/config", &document, ORDER_LIMIT);
    record.note(&format!("PUT /-/config version {version}: {}", answer.status));
    answer.status == 200
}

fn send_turn(fleet: &Fleet, front: &Machine, id: &str, previous: Option<&str>) -> Response {
    let mut request = Request::new("POST", "/kept/a", b"say more ")
        .header("Calicohoist-Request-Id", id)
        .header("Calicohoist-Model", "m")
        .header("Calicohoist-Token-Usage", "100,80")
        .header("Calicohoist-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20")
        .header("Calicohoist-Deadline-Ms", "4000");
    if let Some(previous) = previous {
        request = request.header("Calicohoist-Previous-Turn", previous);
    }
    request.stream(fleet.http(front), Duration::from_secs(5), |_| {})
}
