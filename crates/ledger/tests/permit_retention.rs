//! How long the log keeps issued permits, in virtual time, over changes of leader, pauses and snapshots.

mod properties;

use std::time::Duration;

use calicohoist_ledger::LedgerState;
use calicohoist_ledger::commands::Command;
use calicohoist_limiter::{IssuedPermits, LimitTolerance};
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_types::{Moment, TenantId};
use calicohoist_wire::encode;
use proptest::prelude::*;

/// The tolerance whose permits count for longest.
const LONGEST: LimitTolerance =
    LimitTolerance { window: LimitTolerance::MAX_WINDOW, overshoot: 1.0, slack: 0.0 };

#[derive(Clone, Debug)]
enum Step {
    /// Nothing for this time, in microseconds.
    Wait { micros: u64 },
    /// The leader writes a batch; `is_stored` unless that fails.
    Batch { is_stored: bool },
    /// Another leader is elected, which does not know when the last batch was written.
    Elect,
    /// The state is restored from its snapshot.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_000_000u64).prop_map(|micros| Step::Wait { micros }),
        1 => (0..40_000_000u64).prop_map(|micros| Step::Wait { micros }),
        6 => proptest::bool::weighted(0.9).prop_map(|is_stored| Step::Batch { is_stored }),
        1 => Just(Step::Elect),
        1 => Just(Step::Restore),
    ]
}

#[derive(Default)]
struct Group {
    now: Moment,
    state: LedgerState,
    last_batch_at: Option<Moment>,
    /// When each batch was written, by its number.
    written_at: Vec<Moment>,
}

impl Group {
    fn batch(&mut self, is_stored: bool) {
        let elapsed = self.last_batch_at.map_or(Duration::ZERO, |at| self.now.since(at));
        self.last_batch_at = Some(self.now);
        if !is_stored {
            return;
        }
        let elapsed_ms = elapsed.as_millis() as u64;
        let issued = vec![IssuedPermits { tenant: TenantId::new("t"), count: 1 }];
        let command = Command::NotePermits { issued, elapsed_ms };
        self.state.apply(&encode(&command).expect("encode"));
        self.written_at.push(self.now);
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Wait { micros } => self.now = self.now + Duration::from_micros(*micros),
            Step::Batch { is_stored } => self.batch(*is_stored),
            Step::Elect => self.last_batch_at = None,
            Step::Restore => {
                let snapshot = self.state.snapshot();
                self.state = LedgerState::new(GroupId(0));
                assert!(self.state.restore(&snapshot));
            }
        }
    }

    /// Checks what a new leader learns of the permits: all that may count, and none as older than it is.
    fn check(&self) {
        let permits = self.state.permits();
        let Some(newest_at) = self.written_at.last() else {
            return;
        };
        for (index, written_at) in self.written_at.iter().enumerate() {
            let age = newest_at.since(*written_at);
            let known = permits.after(index as u64).find(|batch| batch.number == index as u64 + 1);
            let Some(batch) = known else {
                assert!(age > LONGEST.counting_period(), "forgotten {age:?} after it was issued");
                continue;
            };
            let counted = Duration::from_millis(permits.clock_ms() - batch.at_ms);
            assert!(counted <= age, "issued {age:?} ago, counted as {counted:?}");
        }
    }
}

proptest! {
    #![proptest_config(properties::fixed(1_000, 98))]

    #[test]
    fn permits_are_kept_while_they_may_count_and_not_for_ever(
        steps in proptest::collection::vec(step(), 1..80)
    ) {
        let mut group = Group::default();
        for step in &steps {
            group.play(step);
            group.check();
        }
        for _ in 0..5 {
            group.play(&Step::Wait { micros: 10_000_000 });
            group.play(&Step::Batch { is_stored: true });
        }
        prop_assert!(group.state.permits().after(0).count() <= 5);
    }
}
