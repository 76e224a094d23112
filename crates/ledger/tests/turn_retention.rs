//! Retention of turns and of the turns that they continue from.

mod properties;

use std::collections::BTreeMap;

use calicohoist_ledger::commands::RetainedTurn;
use calicohoist_ledger::state::Turns;
use proptest::prelude::*;

/// Number of distinct turns in the generated operations.
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

/// Reference model that extends retention along the whole path to the root.
#[derive(Default)]
struct ReferenceTurns(BTreeMap<u8, (Option<u8>, u64)>);

impl ReferenceTurns {
    fn keep(&mut self, turn: u8, until_ms: u64) {
        let mut next = Some(turn);
        while let Some((previous, expiry_ms)) = next.and_then(|turn| self.0.get_mut(&turn)) {
            *expiry_ms = (*expiry_ms).max(until_ms);
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
            Step::Expire { now_ms } => self.0.retain(|_, (_, expiry_ms)| *expiry_ms > now_ms),
        }
    }
}

fn apply(turns: &mut Turns, step: &Step) {
    match *step {
        Step::Insert { turn, previous, until_ms } => {
            let previous = previous.map(name);
            let retained = RetainedTurn { previous, input: vec![turn], output: Vec::new() };
            turns.insert(name(turn), retained, until_ms);
        }
        Step::Keep { turn, until_ms } => turns.keep_until(&name(turn), until_ms),
        Step::Expire { now_ms } => turns.expire(now_ms),
    }
}

proptest! {
    #![proptest_config(properties::fixed(2_000, 17))]

    /// `Turns` stops at the first ancestor whose retention does not change, which must be
    /// equivalent to the reference model if turns continue from existing ones only.
    #[test]
    fn ancestors_are_retained_as_long_as_their_newest_descendant(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut reference = ReferenceTurns::default();
        let mut turns = Turns::default();
        for step in steps {
            if let Step::Insert { turn, previous: Some(previous), .. } = step
                && (reference.0.contains_key(&turn) || !reference.0.contains_key(&previous))
            {
                continue;
            }
            reference.apply(&step);
            apply(&mut turns, &step);
            for turn in 0..TURNS {
                prop_assert_eq!(turns.contains(&name(turn)), reference.0.contains_key(&turn));
            }
        }
    }
}
