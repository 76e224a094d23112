//! Turns that wait at a machine which may lead, in paused time.

use std::time::Duration;

use calicohoist_ledger::Answer;
use calicohoist_ledger::server::list::FleetSnapshot;
use calicohoist_ledger::server::turns::TurnDispatcher;
use calicohoist_scheduler::{Decision, PlacementRequest};

const TERM: u64 = 7;
const LONG: Duration = Duration::from_secs(60);

fn request() -> PlacementRequest {
    PlacementRequest {
        connected: Vec::new(),
        service: "llm".to_owned(),
        zone: "z".to_owned(),
        prompt: Vec::new(),
        memory_tokens: 1_000,
        left_ms: 4_000,
        finish_ms: None,
        priority: 0,
        is_under_way: false,
        homes: Default::default(),
        cold: None,
    }
}

/// A desk at which one turn waits: a new term decides nothing at first.
fn desk_with_a_waiting_turn() -> TurnDispatcher {
    let desk = TurnDispatcher::default();
    assert_eq!(desk.arrive(TERM, "t", request(), &FleetSnapshot::default()), Decision::Wait);
    desk
}

#[tokio::test(start_paused = true)]
async fn a_waiting_turn_is_work() {
    let desk = desk_with_a_waiting_turn();
    assert!(tokio::time::timeout(LONG, desk.wait_for_work()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_leads_no_more_has_no_work_left() {
    let desk = desk_with_a_waiting_turn();
    desk.cancel_waiting(&Answer::Unavailable);
    assert!(tokio::time::timeout(LONG, desk.wait_for_work()).await.is_err());
}
