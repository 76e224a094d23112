//! How long the accounts of programs that are idle are kept.

use std::time::Duration;

use calicohoist_ledger::commands::{Command, KEY_SEPARATOR, ReserveTurn, RetainedTurn, SettleTurn};
use calicohoist_ledger::server::replica::accounts::{
    ACCOUNT_RETENTION, MAX_IDLE_CHARGES, extend_account,
};

const ROUTE_RETENTION: Duration = Duration::from_secs(60);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

fn settle(program: &str, retained: Option<RetainedTurn>) -> Command {
    Command::Settle(SettleTurn {
        program: Some(program.to_owned()),
        turn: "turn".to_owned(),
        used_tokens: 1,
        retention_ms: millis(ROUTE_RETENTION),
        retained,
        run: None,
    })
}

fn reserve(previous: Option<&str>) -> Command {
    Command::Reserve(ReserveTurn {
        program: Some("p".to_owned()),
        turn: "turn".to_owned(),
        most_tokens: 1,
        budget: 1,
        previous: previous.map(str::to_owned),
        retention_ms: millis(ROUTE_RETENTION),
    })
}

/// Returns the retention of a command that is proposed while there are that many charges.
fn retention(mut command: Command, charges: usize) -> Duration {
    extend_account(&mut command, charges);
    Duration::from_millis(*command.retention_ms_mut().expect("a retention"))
}

#[test]
fn accounts_outlast_the_retention_of_their_route_while_there_are_few() {
    assert_eq!(retention(settle("p", None), 0), ACCOUNT_RETENTION);
    assert_eq!(retention(reserve(None), 0), ACCOUNT_RETENTION);
    let half = retention(settle("p", None), MAX_IDLE_CHARGES / 2);
    assert_eq!(half, ACCOUNT_RETENTION / 2);
}

#[test]
fn accounts_are_never_kept_for_less_than_their_route_asks() {
    for charges in [MAX_IDLE_CHARGES - 1, MAX_IDLE_CHARGES, 10 * MAX_IDLE_CHARGES] {
        assert_eq!(retention(settle("p", None), charges), ROUTE_RETENTION);
    }
}

#[test]
fn retained_turns_are_not_kept_for_longer() {
    let content = RetainedTurn { previous: None, input: Vec::new(), output: Vec::new() };
    assert_eq!(retention(settle("p", Some(content)), 0), ROUTE_RETENTION);
    assert_eq!(retention(reserve(Some("previous")), 0), ROUTE_RETENTION);
}

/// They end with the crash records that they count.
#[test]
fn accounts_of_sends_are_not_kept_for_longer() {
    let account = format!("{KEY_SEPARATOR}sends{KEY_SEPARATOR}request");
    assert_eq!(retention(settle(&account, None), 0), ROUTE_RETENTION);
}
