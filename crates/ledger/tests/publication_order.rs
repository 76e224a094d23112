//! Order in which the replica thread publishes state and responds to requests.

mod support;

use calicohoist_ledger::commands::{Command, ReserveTurn};
use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_types::Zone;
use support::{MachineWithPeer, PeerReaction, TEST_TIMEOUT};

#[tokio::test]
async fn a_drain_is_published_before_it_is_acknowledged() {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let drain = Request::Change(Command::DrainZone { zone: Zone::new("a") });
    let (response, published) = machine.request(drain, PeerReaction::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    assert!(published.drained.contains("a"));
}

/// Placing a turn in the term of another leader would discard the queued turns.
#[tokio::test]
async fn a_reservation_is_answered_in_the_term_that_granted_it() {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let term = machine.standing.borrow().term;
    let reserve = ReserveTurn {
        program: None,
        turn: "t".to_owned(),
        most_tokens: 1,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    let reserve = Request::Reserve(reserve);
    let (response, published) =
        machine.request(reserve, PeerReaction::AcknowledgeAndCampaign).await;
    assert!(matches!(response, Response::Reserved { .. }), "{response:?}");
    assert_eq!((published.is_leader, published.term), (true, term));
    let lost_leadership = machine.standing.wait_for(|standing| !standing.is_leader);
    tokio::time::timeout(TEST_TIMEOUT, lost_leadership)
        .await
        .expect("timed out")
        .expect("replica thread stopped");
}
