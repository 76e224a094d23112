//! Requests of many kinds while their gateway is reloaded, stopped and started again, and the links
//! to the ledger are slow.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Deployment;
use crate::cluster::GATEWAY_IPS;
use crate::cluster::forwarder::Forwarder;
use crate::series::{
    CROSSING_SLACK, Caller, HUP, Kind, PAUSE, RESUME, RETRY_INTERVAL, Step, TERM, Tally, WARM_UP,
    serve, take_steps,
};

/// Kinds of which some need the ledger before and after their run.
const KINDS: [Kind; 5] =
    [Kind::Retaining, Kind::Resumable, Kind::Keeping, Kind::Connecting, Kind::Streaming];
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Stops of the gateway in a play.
const STOPS: usize = 2;
/// Long after which a gateway that has a link to the ledger is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Retained turns that are continued at the end.
const MAX_CONTINUED: usize = 60;

/// Plays a series of steps that ends the gateway, starts it again, and repeats this under load.
/// Asserts that each stop is graceful, that no request is lost, and that retained turns are kept.
fn play(name: &str, steps: &[Step], delay: Duration) {
    let mut deployment = Deployment::start_behind_ledger_links(serve);
    let address = deployment.cluster.http(GATEWAY_IPS[0]);
    deployment.ledger_links.iter().for_each(|link| link.set_delay(delay));
    let is_over = AtomicBool::new(false);
    let mut stops = 0;
    let tally = thread::scope(|scope| {
        let callers = Caller::of_kinds(&KINDS, address, &is_over).into_iter();
        let callers: Vec<_> = callers.map(|caller| scope.spawn(|| caller.run())).collect();
        while stops < STOPS && stop_under_load(&mut deployment, steps) {
            stops += 1;
        }
        is_over.store(true, Ordering::SeqCst);
        let tallies = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        tallies.fold(Tally::default(), Tally::add)
    });
    deployment.ledger_links.iter().for_each(Forwarder::clear_faults);
    judge(name, delay, &deployment, &tally);
    assert_eq!(stops, STOPS, "{name}, {delay:?}: the gateway was not ready again");
    continue_turns(&deployment, &tally.turns);
}

/// Takes the steps, and starts the gateway again; returns whether it has become ready.
fn stop_under_load(deployment: &mut Deployment, steps: &[Step]) -> bool {
    thread::sleep(WARM_UP);
    take_steps(deployment, steps);
    let status = deployment.gateway.child.wait().expect("the gateway exits");
    println!("stopped: {status}");
    deployment.gateway = deployment.cluster.start(GATEWAY_IPS[0], false);
    let ends_at = Instant::now() + READY_TIMEOUT;
    while !deployment.cluster.is_ready(GATEWAY_IPS[0]) {
        if Instant::now() > ends_at {
            return false;
        }
        thread::sleep(RETRY_INTERVAL);
    }
    status.success()
}

fn judge(name: &str, delay: Duration, deployment: &Deployment, tally: &Tally) {
    let is_lost = |after: Duration, has_run: bool| {
        after < ROUTE_TIMEOUT && (has_run || after > CROSSING_SLACK)
    };
    let unanswered = tally.unanswered.iter();
    let judged: Vec<_> =
        unanswered.map(|request| (request, deployment.has_run(&request.id))).collect();
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for (request, _) in &judged {
        *kinds.entry(request.id.split('-').next().unwrap_or_default()).or_default() += 1;
    }
    let lost = judged.iter().filter(|(request, has_run)| is_lost(request.after, *has_run));
    let lost: Vec<_> = lost.collect();
    println!(
        "{name}, {delay:?}: {} answered, {} refused, {} turns, unanswered {kinds:?}, lost: {lost:?}",
        tally.answered,
        tally.refused,
        tally.turns.len(),
    );
    assert!(tally.answered > KINDS.len(), "{tally:?}");
    assert!(lost.is_empty(), "{name}, {delay:?}: {lost:?}");
}

/// Continues a sample of the retained turns.
fn continue_turns(deployment: &Deployment, turns: &[String]) {
    assert!(!turns.is_empty(), "no turn was answered whole");
    for turn in turns.iter().step_by(turns.len().div_ceil(MAX_CONTINUED)) {
        let name = format!("after-{turn}");
        deployment.cluster.turn(GATEWAY_IPS[0], &name, Some(turn), "next ");
    }
}

#[test]
fn requests_are_answered_by_gateways_that_stop_behind_delayed_ledger_links() {
    let wait = Step::WaitMillis(200);
    let steps = [HUP, wait, HUP, wait, TERM, wait, TERM, wait, HUP];
    play("delayed", &steps, Duration::from_millis(60));
}

#[test]
fn requests_are_answered_by_gateways_that_stop_behind_throttled_ledger_links() {
    let wait = Step::WaitMillis(400);
    let steps = [HUP, wait, TERM, wait, HUP, TERM];
    play("throttled", &steps, Duration::from_millis(100));
}

#[test]
fn requests_are_answered_by_gateways_that_stop_while_the_ledger_is_silent() {
    let wait = Step::WaitMillis(300);
    let silence = Step::StallLedgerMillis(1_500);
    let steps = [HUP, wait, silence, wait, TERM, Step::WaitMillis(1_400), silence, wait, TERM];
    play("silent", &steps, Duration::ZERO);
}

#[test]
fn requests_are_answered_by_paused_gateways_that_stop_behind_delayed_ledger_links() {
    let wait = Step::WaitMillis(300);
    let steps = [PAUSE, HUP, TERM, wait, RESUME, wait, PAUSE, wait, TERM, RESUME, HUP];
    play("paused", &steps, Duration::from_millis(60));
}
