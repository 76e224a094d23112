//! A gateway is out of step for a moment while replicas of another software version join. Streams that
//! began at the other gateway are taken up there before it is in step again, and after.

use crate::judge::{assert_none_joined, assert_none_lost, assert_refusals_are_true};
use crate::release::{Fault, Joining, Release};

/// Plays releases one after the other.
fn judge_releases(plays: &[(Fault, Joining)]) {
    let mut release = Release::start();
    for (fault, joining) in plays {
        let fates = release.play(*fault, *joining);
        println!("{fault:?}, {joining:?}:");
        fates.iter().for_each(|fate| println!("{fate}"));
        assert_none_joined(fates.iter());
        assert_refusals_are_true(fates.iter());
        assert_none_lost(fates.iter());
    }
}

#[test]
fn streams_taken_up_at_a_gateway_that_stands_still_go_on_at_their_version() {
    judge_releases(&[
        (Fault::Stands, Joining::Anew),
        (Fault::Stands, Joining::UnderUsedIds),
        (Fault::StandsAfterTakeUp, Joining::AtUsedAddresses),
    ]);
}

#[test]
fn streams_taken_up_at_a_gateway_that_is_cut_off_go_on_at_their_version() {
    judge_releases(&[
        (Fault::CutOff, Joining::UnderUsedIds),
        (Fault::LeaderCut, Joining::AtUsedAddresses),
        (Fault::ListCut, Joining::Anew),
        (Fault::FollowerCut, Joining::UnderUsedIds),
    ]);
}

#[test]
fn streams_taken_up_at_a_gateway_that_is_cut_off_one_way_go_on_at_their_version() {
    judge_releases(&[
        (Fault::RequestsHeld, Joining::Anew),
        (Fault::AnswersHeld, Joining::UnderUsedIds),
        (Fault::AnswersHeldAfterTakeUp, Joining::AtUsedAddresses),
    ]);
}

#[test]
fn streams_taken_up_beside_a_leader_that_is_behind_go_on_at_their_version() {
    judge_releases(&[
        (Fault::LeaderBehind, Joining::UnderUsedIds),
        (Fault::LeaderStands, Joining::Anew),
        (Fault::LeaderBehind, Joining::AtUsedAddresses),
    ]);
}

/// Their gateway writes the records once it is in step again.
#[test]
fn streams_that_began_at_a_gateway_that_was_cut_off_go_on_at_another() {
    let mut release = Release::start();
    for fault in [Fault::LeaderCut, Fault::CutOff, Fault::RequestsHeld, Fault::AnswersHeld] {
        let fates = release.play_from_lagging(fault);
        println!("begun: {fault:?}:");
        fates.iter().for_each(|fate| println!("{fate}"));
        assert_none_joined(fates.iter());
        assert_refusals_are_true(fates.iter());
        assert_none_lost(fates.iter());
    }
}
