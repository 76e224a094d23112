//! The ledger's state machine: budgets, retained turns, configurations, machines.

use std::collections::BTreeMap;

use calicohoist_ledger::commands::{
    Command, Output, Reservation, ReserveTurn, RetainedTurn, RetiringOutcome, SettleTurn,
};
use calicohoist_ledger::{HistoryPiece, LedgerState, queries};
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_wire::encode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RETENTION_MS: u64 = 1_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn state() -> LedgerState {
    LedgerState::new(GroupId(0))
}

fn apply(state: &mut LedgerState, command: &Command) -> Output {
    state.apply(&encode(command).expect("encodes"))
}

fn reserve(turn: &str, most_tokens: u64, budget: u64) -> Command {
    Command::Reserve(ReserveTurn {
        program: Some("p".to_owned()),
        turn: turn.to_owned(),
        most_tokens,
        budget,
        previous: None,
        retention_ms: RETENTION_MS,
    })
}

fn settle(turn: &str, used_tokens: u64) -> Command {
    Command::Settle(SettleTurn {
        program: Some("p".to_owned()),
        turn: turn.to_owned(),
        used_tokens,
        retention_ms: RETENTION_MS,
        retained: None,
        run: None,
    })
}

fn retain(turn: &str, previous: Option<&str>, input: &str, output: &str) -> Command {
    Command::Settle(SettleTurn {
        program: None,
        turn: turn.to_owned(),
        used_tokens: 0,
        retention_ms: RETENTION_MS,
        retained: Some(RetainedTurn {
            previous: previous.map(str::to_owned),
            input: input.as_bytes().to_vec(),
            output: output.as_bytes().to_vec(),
        }),
        run: None,
    })
}

fn history(state: &LedgerState, turn: &str) -> Option<String> {
    let mut history = Vec::new();
    for piece in queries::history(state, Some(&turn.to_owned()))? {
        match piece {
            HistoryPiece::InMemory(bytes) => history.extend_from_slice(bytes),
            HistoryPiece::OnDisk(stored) => panic!("{stored:?} was never sealed"),
        }
    }
    String::from_utf8(history).ok()
}

/// In a burst those who were turned away come back; they are as new as before.
#[test]
fn a_program_whose_only_turn_was_turned_away_has_not_begun() {
    let mut state = state();
    apply(&mut state, &reserve("first", 40, 100));
    assert!(!state.accounts().has_other_started_turn("p", "first"));
    apply(&mut state, &settle("first", 0));
    apply(&mut state, &reserve("again", 40, 100));
    assert!(!state.accounts().has_other_started_turn("p", "again"), "nothing of it ever ran");
    assert!(
        state.accounts().has_other_started_turn("p", "second"),
        "one of its turns may be running"
    );
    apply(&mut state, &settle("again", 12));
    apply(&mut state, &reserve("second", 40, 100));
    assert!(state.accounts().has_other_started_turn("p", "second"));
}

#[test]
fn the_highest_version_wins_and_an_equal_one_changes_nothing() {
    let mut state = state();
    let put = |version, text: &str| Command::PutConfiguration {
        version,
        document: text.as_bytes().to_vec(),
    };
    for (version, text, held) in [(3, "three", 3), (3, "other", 3), (2, "two", 3), (7, "seven", 7)]
    {
        let output = apply(&mut state, &put(version, text));
        assert_eq!(output, Output::Configuration { version: held });
    }
    assert_eq!(state.configuration().document, b"seven"[..]);
}

#[test]
fn a_repeated_reservation_is_charged_once_and_a_late_one_not_at_all() {
    let mut state = state();
    let granted = Output::Reservation(Reservation::Granted);
    assert_eq!(apply(&mut state, &reserve("t1", 40, 100)), granted);
    assert_eq!(apply(&mut state, &reserve("t1", 40, 100)), granted);
    assert_eq!(state.accounts().charged("p"), 40);
    apply(&mut state, &settle("t1", 10));
    apply(&mut state, &settle("t1", 0));
    assert_eq!(state.accounts().charged("p"), 10);
    let ended = Output::Reservation(Reservation::Ended);
    assert_eq!(apply(&mut state, &reserve("t1", 40, 100)), ended);
    apply(&mut state, &settle("t2", 0));
    assert_eq!(apply(&mut state, &reserve("t2", 40, 100)), ended);
}

#[test]
fn what_is_used_again_is_kept_with_all_that_came_before() {
    let mut state = state();
    apply(&mut state, &retain("a", None, "1", "2\n"));
    apply(&mut state, &Command::Advance { elapsed_ms: 900 });
    apply(&mut state, &retain("b", Some("a"), "3", "4\n"));
    apply(&mut state, &Command::Advance { elapsed_ms: 900 });
    assert_eq!(history(&state, "b").as_deref(), Some("12\n34\n"));
    apply(&mut state, &Command::Advance { elapsed_ms: 200 });
    assert!(state.turns().is_empty());
}

#[test]
fn a_turn_that_does_not_exist_cannot_be_continued() {
    let mut state = state();
    let mut command = reserve("t", 1, 10);
    if let Command::Reserve(reserve) = &mut command {
        reserve.previous = Some("nothing".to_owned());
    }
    let missing = Output::Reservation(Reservation::NoSuchTurn);
    assert_eq!(apply(&mut state, &command), missing);
    assert_eq!(state.accounts().charged("p"), 0);
}

#[test]
fn a_machine_is_retired_only_when_known_and_enough_are_left() {
    let mut state = state();
    apply(&mut state, &Command::Enroll { name: "m1".to_owned(), machine: 1 });
    let retire = |name: &str, remaining| Command::Retire {
        name: name.to_owned(),
        remaining,
        must_remain: 3,
    };
    let outcome = |state: &mut LedgerState, command| match apply(state, &command) {
        Output::Retiring(outcome) => outcome,
        other => panic!("{other:?}"),
    };
    assert_eq!(outcome(&mut state, retire("m9", 5)), RetiringOutcome::Unknown);
    assert_eq!(outcome(&mut state, retire("m1", 2)), RetiringOutcome::TooFewLeft);
    assert_eq!(outcome(&mut state, retire("m1", 3)), RetiringOutcome::Accepted);
    // Repeated: it is under way, whatever is left by now.
    assert_eq!(outcome(&mut state, retire("m1", 2)), RetiringOutcome::Accepted);
    assert_eq!(state.machines().retiring_numbers().into_iter().collect::<Vec<_>>(), [1]);
}

#[test]
fn damaged_commands_change_nothing() {
    let mut state = state();
    assert_eq!(state.apply(b"\xff\xff\xff"), Output::Unreadable);
    assert_eq!(state, LedgerState::new(GroupId(0)));
}

/// A step of a program's turns: which turn, and what happens to it.
#[derive(Clone, Debug)]
enum Step {
    Reserve(u8, u64),
    Settle(u8, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (any::<u8>(), 1u64..60).prop_map(|(turn, most)| Step::Reserve(turn % 12, most)),
        (any::<u8>(), 0u64..60).prop_map(|(turn, used)| Step::Settle(turn % 12, used)),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(config())]

    /// In whatever order reservations and ends come, and come again, what was granted
    /// and may have been used never exceeds the budget.
    #[test]
    fn granted_turns_never_exceed_the_budget(steps in steps(), budget in 50u64..300) {
        let mut state = state();
        let mut running: BTreeMap<u8, u64> = BTreeMap::new();
        let mut used: BTreeMap<u8, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Reserve(turn, most) => {
                    let command = reserve(&turn.to_string(), most, budget);
                    let output = apply(&mut state, &command);
                    if output == Output::Reservation(Reservation::Granted) {
                        prop_assert!(!used.contains_key(&turn));
                        running.entry(turn).or_insert(most);
                    }
                }
                Step::Settle(turn, tokens) => {
                    let most = running.remove(&turn);
                    let tokens = tokens.min(most.unwrap_or(0));
                    apply(&mut state, &settle(&turn.to_string(), tokens));
                    used.entry(turn).or_insert(tokens);
                }
            }
            let total = running.values().sum::<u64>() + used.values().sum::<u64>();
            prop_assert!(total <= budget, "{total} of {budget}");
            prop_assert_eq!(state.accounts().charged("p"), total);
        }
    }

    /// Whatever the shape of the tree, each turn's history is the path from its root,
    /// and a snapshot carries it over.
    #[test]
    fn histories_are_the_paths_of_the_tree(parents in prop::collection::vec(any::<u16>(), 1..40)) {
        let mut state = state();
        let mut expected: Vec<String> = Vec::new();
        for (number, parent) in parents.iter().enumerate() {
            let parent = (number > 0 && parent % 5 != 0).then(|| *parent as usize % number);
            let input = format!("in{number}\n\n");
            let output = format!("out{number}\nmore\n");
            let previous = parent.map(|parent| format!("t{parent}"));
            let turn = format!("t{number}");
            apply(&mut state, &retain(&turn, previous.as_deref(), &input, &output));
            let before = parent.map_or(String::new(), |parent| expected[parent].clone());
            expected.push(format!("{before}{input}{output}"));
        }
        let mut restored = LedgerState::new(GroupId(0));
        prop_assert!(restored.restore(&state.snapshot()));
        prop_assert_eq!(&restored, &state);
        for (number, expected) in expected.iter().enumerate() {
            let turn = format!("t{number}");
            prop_assert_eq!(history(&restored, &turn), Some(expected.clone()));
        }
    }
}

#[test]
fn bytes_are_written_as_when_they_were_written_one_by_one() {
    let turn = RetainedTurn {
        previous: Some("t0".to_owned()),
        input: vec![0, 250, 251, 255],
        output: vec![7; 300],
    };
    let one_by_one = (turn.previous.clone(), turn.input.clone(), turn.output.clone());
    assert_eq!(encode(&turn).expect("encodes"), encode(&one_by_one).expect("encodes"));
}
