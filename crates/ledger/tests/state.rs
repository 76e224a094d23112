//! Tests of the state machine: budgets, retained turns, configurations and machines.

mod properties;

use std::collections::BTreeMap;

use calicohoist_ledger::commands::{
    Command, Output, Reservation, ReserveTurn, RetainedTurn, RetiringOutcome, SettleTurn,
};
use calicohoist_ledger::{HistoryPiece, LedgerState, queries};
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_wire::encode;
use proptest::prelude::*;

const RETENTION_MS: u64 = 1_000;

fn state() -> LedgerState {
    LedgerState::new(GroupId(0))
}

fn apply(state: &mut LedgerState, command: &Command) -> Output {
    state.apply(&encode(command).expect("encode"))
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
            HistoryPiece::OnDisk(stored) => panic!("unexpected sealed piece: {stored:?}"),
        }
    }
    String::from_utf8(history).ok()
}

/// Programs that retry after a refusal must not count as started.
#[test]
fn a_program_whose_only_turn_was_refused_has_not_started() {
    let mut state = state();
    apply(&mut state, &reserve("first", 40, 100));
    assert!(!state.accounts().has_other_started_turn("p", "first"));
    apply(&mut state, &settle("first", 0));
    apply(&mut state, &reserve("again", 40, 100));
    assert!(!state.accounts().has_other_started_turn("p", "again"), "no turn has run");
    assert!(state.accounts().has_other_started_turn("p", "second"), "another turn may be running");
    apply(&mut state, &settle("again", 12));
    apply(&mut state, &reserve("second", 40, 100));
    assert!(state.accounts().has_other_started_turn("p", "second"));
}

#[test]
fn only_a_higher_configuration_version_is_stored() {
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
fn repeated_reservations_are_charged_once_and_late_ones_rejected() {
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
fn continuing_a_turn_extends_the_retention_of_its_history() {
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
fn a_machine_is_retired_only_if_registered_and_enough_members_remain() {
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
    // A repeated command succeeds because retirement has already started.
    assert_eq!(outcome(&mut state, retire("m1", 2)), RetiringOutcome::Accepted);
    assert_eq!(state.machines().retiring_numbers().into_iter().collect::<Vec<_>>(), [1]);
}

#[test]
fn malformed_commands_do_not_change_the_state() {
    let mut state = state();
    assert_eq!(state.apply(b"\xff\xff\xff"), Output::Unreadable);
    assert_eq!(state, LedgerState::new(GroupId(0)));
}

/// An operation on a turn, with the number of the turn and an amount of tokens.
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
    #![proptest_config(properties::fixed(300, 11))]

    /// Reservations and settlements may arrive in any order and repeatedly; reserved and used
    /// tokens together never exceed the budget.
    #[test]
    fn charged_tokens_never_exceed_the_budget(steps in steps(), budget in 50u64..300) {
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

    /// The history of each turn is the path from its root, also after restoring a snapshot.
    #[test]
    fn turn_history_is_the_path_from_the_root(parents in prop::collection::vec(any::<u16>(), 1..40)) {
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
fn byte_strings_and_sequences_of_bytes_have_the_same_encoding() {
    let turn = RetainedTurn {
        previous: Some("t0".to_owned()),
        input: vec![0, 250, 251, 255],
        output: vec![7; 300],
    };
    let byte_sequences = (turn.previous.clone(), turn.input.clone(), turn.output.clone());
    assert_eq!(encode(&turn).expect("encode"), encode(&byte_sequences).expect("encode"));
}

/// A machine whose state had grown beyond a limit for messages could not start again, and neither
/// could any other: all that was acknowledged was gone.
#[test]
fn snapshot_of_a_million_turns_is_restored() {
    const TURNS: u32 = 1_200_000;
    let mut state = state();
    for turn in 0..TURNS {
        let previous = (turn > 0).then_some("turn-0");
        apply(&mut state, &retain(&format!("turn-{turn}"), previous, "", ""));
    }
    let snapshot = state.snapshot();
    let mut restored = LedgerState::new(GroupId(0));
    assert!(restored.restore(&snapshot), "{} bytes", snapshot.len());
    assert!(restored == state);
}
