//! Three of eight replicas crash, one after the other, while clients ask for the same status now and then. All
//! processes of the product are killed and start again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use review_2::client::Request;
use review_2::fleet::{Fleet, Machine, Route, Signal, configuration};
use review_2::replica::{Replica, Runs, Work};
use review_2::{Record, Verdict, run_case, wait_until};

const REPLICAS: u8 = 8;
const WORK: Duration = Duration::from_millis(800);
const CLIENTS: u64 = 6;
/// Time between two requests of all clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(330);
const CRASHES: usize = 3;
const FIRST_CRASH: Duration = Duration::from_secs(3);
const CRASH_INTERVAL: Duration = Duration::from_secs(7);
/// How long a replica has run a request when it crashes.
const TIME_BEFORE_CRASH: Duration = Duration::from_millis(300);
/// Time for which a replica that has crashed is still listed.
const LIST_LAG: Duration = Duration::from_millis(800);
const DOWN_TIME: Duration = Duration::from_secs(5);
/// Time of the final fault, and how long the processes are gone.
const FINAL_FAULT: Duration = Duration::from_secs(24);
const FINAL_DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Bound `recover_s` of the settings.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const JUDGED_TIME: Duration = Duration::from_secs(20);
const ORDER_LIMIT: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Requests of all clients: when each was sent, and its status.
type Answers = Arc<Mutex<Vec<(Instant, u16)>>>;

fn main() {
    run_case(play)
}

fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fleet = Fleet::new();
    let runs = Runs::default();
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let work = Work::ReplyAfter(WORK);
        let replica = Replica::start(&fleet.stand_in_ip(number), work, &runs);
        fleet.platform.add(&replica.id, "desk", replica.address);
        replicas.push(replica);
    }
    let stores = [1, 2, 3].map(|number| fleet.store(number));
    let fronts = [1, 2].map(|number| fleet.front(number));
    let all: Vec<&Machine> = stores.iter().chain(&fronts).collect();
    for machine in &all {
        fleet.start(machine, true);
    }
    let route =
        Route { name: "status", kind: "safe", service: "desk", retain: false, resumable: false };
    let machines: Vec<&Machine> = stores.iter().collect();
    let document = configuration(1, &[route.to_json()]);
    let put = fleet.order(&machines, "PUT", "/-/config", &document, ORDER_LIMIT);
    let is_ready = || fronts.iter().all(|front| fleet.is_ready(front));
    if put.status != 200 || !wait_until(ORDER_LIMIT, is_ready) {
        return Verdict::NotRun;
    }
    let (answers, has_ended) = (Answers::default(), Arc::new(AtomicBool::new(false)));
    let addresses = fronts.each_ref().map(|front| fleet.http(front));
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, has_ended) = (Arc::clone(&answers), Arc::clone(&has_ended));
            thread::spawn(move || ask(client, started_at, &addresses, &answers, &has_ended))
        })
        .collect();
    let mut crashed: Vec<usize> = Vec::new();
    for crash in 0..CRASHES as u32 {
        wait_for(started_at + FIRST_CRASH + crash * CRASH_INTERVAL);
        if !has_trouble {
            continue;
        }
        let Some(victim) = wait_for_run(&replicas, &runs, &crashed) else {
            return Verdict::NotRun;
        };
        sleep(TIME_BEFORE_CRASH);
        let id = replicas[victim].id.clone();
        replicas[victim].crash();
        record.note(&format!("{id} crashes while it runs a request"));
        sleep(LIST_LAG);
        fleet.platform.remove(&id);
        sleep(DOWN_TIME - LIST_LAG);
        replicas[victim].restart();
        fleet.platform.add(&id, "desk", replicas[victim].address);
        record.note(&format!("{id} runs again"));
        crashed.push(victim);
    }
    wait_for(started_at + FINAL_FAULT);
    let fault_at = Instant::now();
    record.note("all processes of the product are killed");
    for machine in &all {
        fleet.end(machine, Signal::Kill);
    }
    sleep(FINAL_DOWN_TIME);
    for machine in &all {
        fleet.start(machine, false);
    }
    let back_at = Instant::now();
    record.note("they have started again");
    wait_for(back_at + RECOVERY_TIME + JUDGED_TIME);
    has_ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().expect("the answers");
    for (at, status) in answers.iter() {
        let at = at.duration_since(started_at).as_secs_f64();
        record.note(&format!("GET /status/lines, sent at {at:.3} s of the traffic: {status}"));
    }
    let share = |from: Instant, to: Instant| {
        let sent = answers.iter().filter(|(at, _)| (from..to).contains(at));
        let served = sent.clone().filter(|(_, status)| *status == 200).count();
        (served, sent.count())
    };
    let (before, sent_before) = share(started_at, fault_at);
    let (after, sent_after) = share(back_at + RECOVERY_TIME, back_at + Duration::from_secs(60));
    record.note(&format!(
        "{before} of {sent_before} served before the final fault, {after} of {sent_after} later than \
         recover_s after it; {} runs",
        runs.lock().expect("the runs").len()
    ));
    if before * 4 < sent_before || sent_after == 0 {
        return Verdict::NotRun;
    }
    if after * 4 < sent_after { Verdict::Broken } else { Verdict::Held }
}

/// One client, which asks for the status in turn with the others.
fn ask(
    client: u64,
    started_at: Instant,
    addresses: &[SocketAddr; 2],
    answers: &Answers,
    has_ended: &AtomicBool,
) {
    for number in 0u64.. {
        let turn = number * CLIENTS + client;
        wait_for(started_at + REQUEST_INTERVAL * turn as u32);
        if has_ended.load(Ordering::Relaxed) {
            return;
        }
        let request = Request::new("GET", "/status/lines", b"")
            .header("Calicohoist-Request-Id", &format!("9c41d07b{turn:08x}"))
            .header("Calicohoist-Deadline-Ms", "4000");
        let sent_at = Instant::now();
        let response = request.send(addresses[((turn + turn / 2) % 2) as usize], TIMEOUT);
        answers.lock().expect("the answers").push((sent_at, response.status));
    }
}

/// Waits until a replica that has not crashed yet begins to run a request.
fn wait_for_run(replicas: &[Replica], runs: &Runs, crashed: &[usize]) -> Option<usize> {
    let mut known = runs.lock().expect("the runs").len();
    let mut found = None;
    wait_until(ORDER_LIMIT, || {
        let runs = runs.lock().expect("the runs");
        found = runs[known..].iter().find_map(|run| {
            let index = replicas.iter().position(|replica| replica.id == run.replica)?;
            (!crashed.contains(&index)).then_some(index)
        });
        known = runs.len();
        found.is_some()
    });
    found
}

fn wait_for(time: Instant) {
    sleep(time.saturating_duration_since(Instant::now()));
}
