//! The settings files name another address of the platform, and every process gets SIGHUP.

use std::thread::sleep;
use std::time::{Duration, Instant};

use review_2::client::Request;
use review_2::fleet::{Fleet, Machine, Route, Signal, configuration};
use review_2::replica::{Replica, Runs, Work};
use review_2::{Record, Verdict, run_case, wait_until};

/// Bound `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// Bound `contact_ms` of the settings, and a little more.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Time for which requests are sent after a replica is listed as draining.
const TRAFFIC_TIME: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const ORDER_LIMIT: Duration = Duration::from_secs(10);

fn main() {
    run_case(play)
}

fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut fleet = Fleet::new();
    let runs = Runs::default();
    let replicas = [1, 2].map(|number| {
        let replica = Replica::start(&fleet.stand_in_ip(number), Work::Reply, &runs);
        fleet.platform.add(&replica.id, "desk", replica.address);
        replica
    });
    let stores = [1, 2, 3].map(|number| fleet.store(number));
    let front = fleet.front(1);
    for machine in stores.iter().chain([&front]) {
        fleet.start(machine, true);
    }
    let route =
        Route { name: "plain", kind: "unsafe", service: "desk", retain: false, resumable: false };
    let machines: Vec<&Machine> = stores.iter().collect();
    let document = configuration(1, &[route.to_json()]);
    let put = fleet.order(&machines, "PUT", "/-/config", &document, ORDER_LIMIT);
    if put.status != 200 || !wait_until(ORDER_LIMIT, || fleet.is_ready(&front)) {
        return Verdict::NotRun;
    }
    sleep(CONTACT_TIME);
    if has_trouble {
        fleet.platform = fleet.platform.move_to(&fleet.stand_in_ip(9));
        for machine in stores.iter().chain([&front]) {
            fleet.write_settings(machine, false);
            fleet.signal(machine, Signal::HangUp);
        }
        record.note(&format!(
            "the list is at {} now; all settings files name it, and all processes got SIGHUP",
            fleet.platform.address
        ));
    }
    sleep(CONTACT_TIME);
    let leaving = &replicas[1].id;
    fleet.platform.drain(leaving);
    record.note(&format!("the list shows {leaving} as draining"));
    let listed_at = Instant::now();
    let mut late = 0;
    let mut number = 0;
    while listed_at.elapsed() < TRAFFIC_TIME {
        number += 1;
        let id = format!("9c41d07be2a3{number:04x}");
        let request = Request::new("POST", "/plain/a", b"please")
            .header("Calicohoist-Request-Id", &id)
            .header("Calicohoist-Deadline-Ms", "3000");
        let sent_at = listed_at.elapsed();
        let response = request.send(fleet.http(&front), Duration::from_secs(4));
        let ran_at = runs.lock().expect("the runs").last().map(|run| run.replica.clone());
        let ran_at = ran_at.unwrap_or_default();
        record.note(&format!(
            "request {id}, {} ms after that: {}, run at {ran_at}",
            sent_at.as_millis(),
            response.status
        ));
        late += usize::from(sent_at > DRAIN_TIME && ran_at == *leaving);
        sleep(REQUEST_INTERVAL);
    }
    record.note(&format!(
        "{late} of {number} requests reached {leaving} later than drain_ms after the list showed it; \
         the list was read {} times where it is now",
        fleet.platform.calls()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
