//! Requests of many kinds while a gateway with a small share of a core stops.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::Deployment;
use crate::cluster::{GATEWAY_IPS, number_from_environment};
use crate::series::{CROSSING_SLACK, Caller, Kind, Tally, Unanswered, WARM_UP, serve};

/// Share of a core that the gateway gets, in percent; overridden by `SMALL_SHARE_PERCENT`.
const SHARE_PERCENT: u64 = 12;
/// Number of plays; overridden by `SMALL_SHARE_PLAYS`.
const PLAYS: u64 = 1;
/// Length of a turn in which the gateway runs first and then stands still.
const TURN: Duration = Duration::from_millis(50);
const KINDS: [Kind; 3] = [Kind::Keeping, Kind::Connecting, Kind::Streaming];
/// Grace period of the gateway.
const GRACE: Duration = Duration::from_secs(8);

/// Gives the gateway its share of a core until it has exited.
fn hold_until_exit(deployment: &mut Deployment, share_percent: u64) {
    let run_time = TURN * share_percent as u32 / 100;
    while deployment.gateway.child.try_wait().expect("the state of the gateway").is_none() {
        deployment.gateway.signal(Signal::STOP);
        thread::sleep(TURN - run_time);
        deployment.gateway.signal(Signal::CONT);
        thread::sleep(run_time);
    }
}

/// Stops a gateway under load; returns the requests that were lost.
fn play(share_percent: u64) -> Vec<Unanswered> {
    let mut deployment = Deployment::start(serve);
    let address = deployment.cluster.http(GATEWAY_IPS[0]);
    let is_over = AtomicBool::new(false);
    let mut stopped_at = Instant::now();
    let tally = thread::scope(|scope| {
        let callers = Caller::of_kinds(&KINDS, address, &is_over).into_iter();
        let callers: Vec<_> = callers.map(|caller| scope.spawn(|| caller.run())).collect();
        thread::sleep(WARM_UP);
        stopped_at = Instant::now();
        deployment.stop_gateway();
        hold_until_exit(&mut deployment, share_percent);
        is_over.store(true, Ordering::SeqCst);
        let tallies = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        tallies.fold(Tally::default(), Tally::add)
    });
    let exited_after = stopped_at.elapsed();
    let status = deployment.gateway.child.wait().expect("the gateway exits");
    println!(
        "{share_percent}%: {} answered, {} refused, {} unanswered, exited after {exited_after:?}, {status}",
        tally.answered,
        tally.refused,
        tally.unanswered.len(),
    );
    assert!(status.success(), "{status}");
    let refused_and_run: Vec<&String> =
        tally.not_run.iter().filter(|id| deployment.has_run(id)).collect();
    assert!(refused_and_run.is_empty(), "refused and run: {refused_and_run:?}");
    assert!(exited_after < GRACE, "the gateway was still there when its grace ended");
    let is_lost =
        |request: &Unanswered| request.after > CROSSING_SLACK || deployment.has_run(&request.id);
    tally.unanswered.into_iter().filter(is_lost).collect()
}

#[test]
fn requests_are_answered_by_a_stopping_gateway_with_a_small_share_of_a_core() {
    let share_percent = number_from_environment("SMALL_SHARE_PERCENT", SHARE_PERCENT);
    let plays = number_from_environment("SMALL_SHARE_PLAYS", PLAYS);
    let lost: Vec<Unanswered> = (0..plays).flat_map(|_| play(share_percent)).collect();
    assert!(lost.is_empty(), "{lost:#?}");
}
