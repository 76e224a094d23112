//! Streams that clients take up again after all gateways were killed, or at a gateway that is out of step
//! during a release, while replicas of two software versions serve or those of the older one have left,
//! with real processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod fixture;
mod judge;
mod out_of_step;
mod release;
mod streams;

use std::thread;
use std::time::Duration;

use fixture::{Fleet, LedgerFault, Serving};
use judge::{assert_none_joined, assert_none_lost};
use streams::StreamFate;

/// Times after the kill at which clients take up their streams, in seconds.
const WAITS_S: [u64; 6] = [1, 3, 5, 8, 14, 20];
/// Streams that are taken up at each of these times.
const STREAMS_PER_WAIT: usize = 4;

/// Time without a leader after which no gateway waits for it any more.
const LEADER_ABSENCE: Duration = Duration::from_millis(2_000);

/// Kills all gateways `delay` after the first events, and judges every stream that is taken up.
fn judge_after_kill(delay: Duration, serving: Serving, fault: LedgerFault) {
    let mut fleet = Fleet::start(serving);
    fleet.begin_fault(fault);
    let streams = fleet.begin_streams(WAITS_S.len() * STREAMS_PER_WAIT);
    fleet.kill_gateways_after(delay, fault);
    let mut fates: Vec<(Duration, StreamFate)> = Vec::new();
    let waits = WAITS_S.map(Duration::from_secs);
    for (wait, group) in waits.into_iter().zip(streams.chunks(STREAMS_PER_WAIT)) {
        fleet.wait_since_kill(wait);
        fates.extend(group.iter().map(|stream| (wait, fleet.take_up(stream))));
    }
    println!("{delay:?}, {serving:?}, {fault:?}:");
    fates.iter().for_each(|(wait, fate)| println!("{wait:?}: {fate}"));
    assert_none_joined(fates.iter().map(|(_, fate)| fate));
    if fault.keeps_records() {
        assert_none_lost(fates.iter().map(|(_, fate)| fate));
    }
}

#[test]
fn streams_of_two_serving_versions_go_on_after_all_gateways_were_killed_at_once() {
    judge_after_kill(Duration::ZERO, Serving::BothVersions, LedgerFault::None);
}

#[test]
fn streams_of_two_serving_versions_go_on_after_all_gateways_were_killed_later() {
    judge_after_kill(Duration::from_millis(600), Serving::BothVersions, LedgerFault::None);
}

#[test]
fn streams_are_not_joined_after_their_version_left_while_all_gateways_were_killed_at_once() {
    judge_after_kill(Duration::ZERO, Serving::OlderLeaves, LedgerFault::None);
}

#[test]
fn streams_are_not_joined_after_their_version_left_while_all_gateways_were_killed_later() {
    judge_after_kill(Duration::from_millis(600), Serving::OlderLeaves, LedgerFault::None);
}

#[test]
fn streams_are_not_joined_after_a_release_while_all_gateways_were_killed_at_once() {
    judge_after_kill(Duration::ZERO, Serving::OlderIsReplaced, LedgerFault::None);
}

#[test]
fn streams_are_not_joined_after_a_release_while_all_gateways_were_killed_later() {
    judge_after_kill(Duration::from_millis(600), Serving::OlderIsReplaced, LedgerFault::None);
}

#[test]
fn streams_go_on_after_gateways_and_ledger_machines_were_killed_together() {
    judge_after_kill(Duration::ZERO, Serving::OlderLeaves, LedgerFault::Killed);
}

#[test]
fn streams_that_began_without_a_leader_are_not_joined() {
    judge_after_kill(Duration::ZERO, Serving::OlderIsReplaced, LedgerFault::NoLeader);
}

#[test]
fn streams_whose_record_is_late_are_not_joined() {
    judge_after_kill(Duration::from_millis(600), Serving::OlderLeaves, LedgerFault::LateLeader);
}

/// Their gateway writes the records once there is a leader, beside clients that ask for them.
#[test]
fn streams_that_began_without_a_leader_go_on_at_another_gateway() {
    let fleet = Fleet::start(Serving::BothVersions);
    let _other = fleet.start_other_gateway();
    fleet.begin_fault(LedgerFault::LateLeader);
    thread::sleep(LEADER_ABSENCE);
    let streams = fleet.begin_streams(WAITS_S.len() * STREAMS_PER_WAIT);
    let fates = fleet.take_up_while_leader_returns(&streams);
    fates.iter().for_each(|fate| println!("{fate}"));
    assert_none_joined(fates.iter());
    assert_none_lost(fates.iter());
}
