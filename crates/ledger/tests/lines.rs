//! How long the turns of a line are kept.

use std::collections::BTreeMap;

use calicohoist_ledger::commands::RetainedTurn;
use calicohoist_ledger::state::Turns;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of different turns that steps may name.
const TURNS: u8 = 12;

#[derive(Clone, Debug)]
enum Step {
    Insert { turn: u8, previous: Option<u8>, until_ms: u64 },
    Keep { turn: u8, until_ms: u64 },
    Expire { now_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let turn = || 0..TURNS;
    let until = || 0_u64..60;
    prop_oneof![
        6 => (turn(), proptest::option::of(turn()), until())
            .prop_map(|(turn, previous, until_ms)| Step::Insert { turn, previous, until_ms }),
        3 => (turn(), until()).prop_map(|(turn, until_ms)| Step::Keep { turn, until_ms }),
        1 => (0_u64..40).prop_map(|now_ms| Step::Expire { now_ms }),
    ]
}

fn name(turn: u8) -> String {
    format!("t{turn}")
}

/// A model that walks from each turn to its root.
#[derive(Default)]
struct PlainTurns(BTreeMap<u8, (Option<u8>, u64)>);

impl PlainTurns {
    fn keep(&mut self, turn: u8, until_ms: u64) {
        let mut next = Some(turn);
        while let Some((previous, kept)) = next.and_then(|turn| self.0.get_mut(&turn)) {
            *kept = (*kept).max(until_ms);
            next = *previous;
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Insert { turn, previous, until_ms } => {
                self.0.entry(turn).or_insert((previous, until_ms));
                self.keep(turn, until_ms);
            }
            Step::Keep { turn, until_ms } => self.keep(turn, until_ms),
            Step::Expire { now_ms } => self.0.retain(|_, (_, kept)| *kept > now_ms),
        }
    }
}

fn apply(turns: &mut Turns, step: &Step) {
    match *step {
        Step::Insert { turn, previous, until_ms } => {
            let previous = previous.map(name);
            let kept = RetainedTurn { previous, input: vec![turn], output: Vec::new() };
            turns.insert(name(turn), kept, until_ms);
        }
        Step::Keep { turn, until_ms } => turns.keep_until(&name(turn), until_ms),
        Step::Expire { now_ms } => turns.expire(now_ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A turn continues from one that exists already, as the ledger makes sure: then walking
    /// only as far as something changes keeps the same turns as walking to the root.
    #[test]
    fn a_line_is_kept_as_long_as_its_newest_turn(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut plain = PlainTurns::default();
        let mut turns = Turns::default();
        for step in steps {
            if let Step::Insert { turn, previous: Some(previous), .. } = step
                && (plain.0.contains_key(&turn) || !plain.0.contains_key(&previous))
            {
                continue;
            }
            plain.apply(&step);
            apply(&mut turns, &step);
            for turn in 0..TURNS {
                prop_assert_eq!(turns.contains(&name(turn)), plain.0.contains_key(&turn));
            }
        }
    }
}
