//! A gateway is killed; its clients take their streams up at another one, as the protocol says.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use review_2::client::{Request, Response};
use review_2::fleet::{Fleet, Machine, Route, Signal, configuration};
use review_2::replica::{Replica, Runs, Work};
use review_2::{Record, Verdict, run_case, wait_until};

const CLIENTS: usize = 30;
const EVENTS: u64 = 25;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Bound `contact_ms` of the settings, and a little more.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// Deadline of each client.
const DEADLINE_MS: &str = "4000";
/// The rule allows this many requests, and one in five hundred.
const ALLOWED: usize = 5;
const ALLOWED_DIVISOR: usize = 500;

fn main() {
    run_case(play)
}

fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::new();
    let runs = Runs::default();
    let work = Work::Stream { events: EVENTS, pause: EVENT_PAUSE };
    for number in 1..=3 {
        let replica = Replica::start(&fleet.stand_in_ip(number), work, &runs);
        fleet.platform.add(&replica.id, "models", replica.address);
    }
    let stores = [1, 2, 3].map(|number| fleet.store(number));
    let fronts = [1, 2].map(|number| fleet.front(number));
    for machine in stores.iter().chain(&fronts) {
        fleet.start(machine, true);
    }
    let route = Route {
        name: "resumable",
        kind: "stream",
        service: "models",
        retain: false,
        resumable: true,
    };
    let document = configuration(1, &[route.to_json()]);
    let machines: Vec<&Machine> = stores.iter().collect();
    let put = fleet.order(&machines, "PUT", "/-/config", &document, ORDER_LIMIT);
    let are_ready = || fronts.iter().all(|front| fleet.is_ready(front));
    if put.status != 200 || !wait_until(ORDER_LIMIT, are_ready) {
        return Verdict::NotRun;
    }
    sleep(CONTACT_TIME);

    let (begun, denied) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (taken_up, gone_on) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, fronts) = (&fleet, &fronts);
            let (begun, denied) = (&begun, &denied);
            let (taken_up, gone_on) = (&taken_up, &gone_on);
            scope.spawn(move || {
                let mut last = 0;
                let id = format!("9c41d07be2a3{client:04x}");
                let first = send(fleet, &fronts[0], &id, None, |event| {
                    if last == 0 {
                        begun.fetch_add(1, Ordering::Relaxed);
                    }
                    last = event;
                });
                note(record, &id, None, &first, last);
                if first.is_whole {
                    return;
                }
                // The connection has broken: the client takes the stream up with an id of its own.
                taken_up.fetch_add(1, Ordering::Relaxed);
                let next = format!("77d20b11e5b2{client:04x}");
                let after = last;
                let second = send(fleet, &fronts[1], &next, Some(after), |event| last = event);
                note(record, &next, Some(after), &second, last);
                let is_own = second.head.get("calicohoist-server-stamp").is_none();
                if (400..500).contains(&second.status) && is_own {
                    denied.fetch_add(1, Ordering::Relaxed);
                }
                if second.is_whole && last == EVENTS {
                    gone_on.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let have_begun = || begun.load(Ordering::Relaxed) == CLIENTS;
        wait_until(Duration::from_secs(3), have_begun);
        if has_trouble {
            fleet.end(&fronts[0], Signal::Kill);
            record.note(&format!("{} is killed", fronts[0].name));
        }
    });
    for run in runs.lock().expect("the runs").iter() {
        record.note(&format!("run: {} at {} after {}", run.request, run.replica, run.after_event));
    }
    let [begun, taken_up, gone_on, denied] =
        [begun, taken_up, gone_on, denied].map(|count| count.load(Ordering::Relaxed));
    let allowed = ALLOWED + (begun + taken_up) / ALLOWED_DIVISOR;
    record.note(&format!(
        "{begun} streams begun, {taken_up} taken up, {gone_on} of these went on to their end; \
         {denied} ended with a 4xx of the gateway's own, {allowed} are allowed"
    ));
    if begun < CLIENTS || has_trouble != (taken_up > 0) {
        return Verdict::NotRun;
    }
    if denied > allowed { Verdict::Broken } else { Verdict::Held }
}

fn send(
    fleet: &Fleet,
    front: &Machine,
    id: &str,
    after: Option<u64>,
    on_event: impl FnMut(u64),
) -> Response {
    let mut request = Request::new("POST", "/resumable/a", b"tell me")
        .header("Calicohoist-Request-Id", id)
        .header("Calicohoist-Model", "m")
        .header("Calicohoist-Token-Usage", "100,400")
        .header("Calicohoist-Prompt-Prefix", "5c1e07a2:80,91bd3f06:20")
        .header("Calicohoist-Deadline-Ms", DEADLINE_MS);
    if let Some(after) = after {
        request = request.header("Last-Event-Id", &after.to_string());
    }
    request.stream(fleet.http(front), Duration::from_secs(5), on_event)
}

fn note(record: &Record, id: &str, after: Option<u64>, response: &Response, last: u64) {
    let Response { status, is_whole, body, .. } = response;
    let after = after.map_or_else(String::new, |after| format!(" after event {after}"));
    let body = String::from_utf8_lossy(body);
    record.note(&format!(
        "request {id}{after}: {status}, last event {last}, whole: {is_whole} {body}"
    ));
}
