//! Operator calls that arrive late in the grace period of a stopping ledger machine, as callers see
//! them, with real processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

#[path = "../late_requests/caller.rs"]
mod caller;

mod hanging_disk;
mod late_call;
mod opening;
mod play;
mod signals;

use std::time::Duration;

use play::{Cause, DiskState, Play, Quorum, Role};

/// Grace period in seconds; overridden by `LATE_CALLS_GRACE_S`.
const GRACE_S: u64 = 3;
/// Time in which a machine exits whose disk has failed.
const FAILURE_GRACE: Duration = Duration::from_secs(2);

/// A stop of a leader with a working disk and running followers.
const CALM: Play = Play {
    cause: Cause::Signal,
    grace: Duration::from_secs(GRACE_S),
    role: Role::Leader,
    quorum: Quorum::Running,
    disk: DiskState::Working,
};

fn calm() -> Play {
    let grace_s = std::env::var("LATE_CALLS_GRACE_S").ok().and_then(|text| text.parse().ok());
    Play { grace: Duration::from_secs(grace_s.unwrap_or(GRACE_S)), ..CALM }
}

#[test]
fn late_calls_are_answered_by_a_stopping_leader() {
    calm().run();
}

#[test]
fn late_calls_are_answered_by_a_stopping_follower() {
    Play { role: Role::Follower, ..calm() }.run();
}

#[test]
fn late_calls_are_answered_by_a_stopping_leader_without_a_quorum() {
    Play { quorum: Quorum::Paused, ..calm() }.run();
}

#[test]
fn late_calls_are_answered_by_a_stopping_follower_without_a_quorum() {
    Play { role: Role::Follower, quorum: Quorum::Paused, ..calm() }.run();
}

#[test]
fn late_calls_are_answered_by_a_stopping_leader_whose_disk_hangs() {
    Play { disk: DiskState::Hanging, ..calm() }.run();
}

#[test]
fn late_calls_are_answered_by_a_stopping_follower_whose_disk_hangs() {
    Play { role: Role::Follower, disk: DiskState::Hanging, ..calm() }.run();
}

#[test]
fn late_calls_are_answered_in_a_grace_period_of_one_second() {
    for role in [Role::Leader, Role::Follower] {
        for disk in [DiskState::Working, DiskState::Hanging] {
            Play { grace: Duration::from_secs(1), role, disk, ..calm() }.run();
        }
    }
}

#[test]
fn late_calls_are_answered_by_machines_whose_disk_fails() {
    for role in [Role::Leader, Role::Follower] {
        let disk = DiskState::Hanging;
        Play { cause: Cause::DiskFailure, grace: FAILURE_GRACE, role, disk, ..CALM }.run();
    }
}
