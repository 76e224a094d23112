//! Programs that go on asking after their budget is spent.
//!
//! Guards against a log, and a leader, that are busy with reservations which are all rejected.

mod support;

use calicohoist_ledger::commands::{Command, Reservation, ReserveTurn, SettleTurn};
use calicohoist_ledger::server::replica::{Request, Response};
use calicohoist_ledger::state::Accounts;
use support::{MachineWithPeer, PeerReaction};

const BUDGET: u64 = 100;
const RETENTION_MS: u64 = 60_000;

fn reserve(turn: &str) -> ReserveTurn {
    ReserveTurn {
        program: Some("p".to_owned()),
        turn: turn.to_owned(),
        most_tokens: 20,
        budget: BUDGET,
        previous: None,
        retention_ms: RETENTION_MS,
    }
}

fn settle(turn: &str, used_tokens: u64) -> SettleTurn {
    SettleTurn {
        program: Some("p".to_owned()),
        turn: turn.to_owned(),
        used_tokens,
        retention_ms: RETENTION_MS,
        retained: None,
        run: None,
    }
}

/// The peer acknowledges nothing, so that an answer shows that no entry was needed.
#[tokio::test]
async fn reservations_beyond_a_spent_budget_need_no_entry_of_the_log() {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let spend = Request::Change(Command::Settle(settle("first", BUDGET)));
    let (response, _) = machine.request(spend, PeerReaction::Acknowledge).await;
    assert!(matches!(response, Response::Changed(_)), "{response:?}");
    for turn in ["second", "third"] {
        let response = machine.handle.call(Request::Reserve(reserve(turn))).await;
        let is_rejected =
            matches!(response, Response::Reserved { reservation: Reservation::BudgetSpent, .. });
        assert!(is_rejected, "{response:?}");
    }
}

#[test]
fn a_budget_is_not_spent_while_a_turn_may_use_less_than_its_maximum() {
    let mut accounts = Accounts::default();
    accounts.settle(&settle("first", 70), 0);
    accounts.reserve(&reserve("second"), 0);
    assert!(!accounts.is_spent_for(&reserve("third"), 0));
    accounts.settle(&settle("second", 5), 0);
    assert_eq!(accounts.reserve(&reserve("third"), 0), Reservation::Granted);
}

#[test]
fn a_turn_that_was_granted_is_not_rejected_when_it_is_reserved_again() {
    let mut accounts = Accounts::default();
    accounts.settle(&settle("first", BUDGET), 0);
    assert!(accounts.is_spent_for(&reserve("second"), 0));
    assert!(!accounts.is_spent_for(&reserve("first"), 0));
    assert_eq!(accounts.reserve(&reserve("first"), 0), Reservation::Ended);
}

/// Otherwise its account would expire while it goes on asking, and it would get its budget again.
#[test]
fn rejected_reservations_extend_the_retention_of_the_account() {
    const INTERVAL_MS: u64 = RETENTION_MS / 6;
    let mut accounts = Accounts::default();
    accounts.settle(&settle("first", BUDGET), 0);
    let mut applied = 0;
    for now_ms in (0..RETENTION_MS * 5).step_by(INTERVAL_MS as usize) {
        accounts.expire(now_ms);
        if !accounts.is_spent_for(&reserve("second"), now_ms) {
            assert_eq!(accounts.reserve(&reserve("second"), now_ms), Reservation::BudgetSpent);
            applied += 1;
        }
    }
    assert!(applied > 0, "the retention was never extended");
}
