//! Queued turns on a leader and on a former leader, with paused time.

use std::time::Duration;

use calicohoist_ledger::LedgerResponse;
use calicohoist_ledger::server::list::FleetSnapshot;
use calicohoist_ledger::server::turns::TurnDispatcher;
use calicohoist_scheduler::{Decision, PlacementRequest};

const TERM: u64 = 7;
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

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
        version: None,
    }
}

/// Returns a desk with one queued turn; no turn is placed at the start of a term.
fn desk_with_a_queued_turn() -> TurnDispatcher {
    let desk = TurnDispatcher::default();
    assert_eq!(desk.arrive(TERM, "t", request(), &FleetSnapshot::default()), Decision::Wait);
    desk
}

#[tokio::test(start_paused = true)]
async fn a_queued_turn_is_work() {
    let desk = desk_with_a_queued_turn();
    assert!(tokio::time::timeout(TEST_TIMEOUT, desk.wait_for_work()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_former_leader_has_no_work() {
    let desk = desk_with_a_queued_turn();
    desk.cancel_waiting(&LedgerResponse::Unavailable);
    assert!(tokio::time::timeout(TEST_TIMEOUT, desk.wait_for_work()).await.is_err());
}
