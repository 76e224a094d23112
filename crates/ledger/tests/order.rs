//! The order in which the replica's thread publishes what was applied and answers requests; the
//! test plays its peer.

mod support;

use calicohoist_ledger::commands::{Command, ReserveTurn};
use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_types::Zone;
use support::{LONG, OnCommand, Pair};

#[tokio::test]
async fn a_drain_is_known_to_all_before_it_is_acknowledged() {
    let mut pair = Pair::start();
    pair.follow().await;
    let drain = Request::Change(Command::DrainZone { zone: Zone::new("a") });
    let (response, known) = pair.ask(drain, OnCommand::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    assert!(known.drained.contains("a"));
}

/// A placement in the term of another leader would make the desk forget who waits.
#[tokio::test]
async fn a_reservation_is_answered_in_the_term_that_granted_it() {
    let mut pair = Pair::start();
    pair.follow().await;
    let term = pair.standing.borrow().term;
    let reserve = ReserveTurn {
        program: None,
        turn: "t".to_owned(),
        most_tokens: 1,
        budget: u64::MAX,
        previous: None,
        retention_ms: 1_000,
    };
    let reserve = Request::Reserve(reserve);
    let (response, known) = pair.ask(reserve, OnCommand::AcknowledgeAndCampaign).await;
    assert!(matches!(response, Response::Reserved { .. }), "{response:?}");
    assert_eq!((known.is_leader, known.term), (true, term));
    let lost = pair.standing.wait_for(|standing| !standing.is_leader);
    tokio::time::timeout(LONG, lost).await.expect("in time").expect("the thread runs");
}
