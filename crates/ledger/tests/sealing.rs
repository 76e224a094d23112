//! Contents of retained turns in memory while leaders change and commits lag, over random runs.

mod properties;

use std::collections::VecDeque;

use calicohoist_ledger::LedgerState;
use calicohoist_ledger::commands::{Command, RetainedTurn, SettleTurn};
use calicohoist_ledger::server::memory::MemoryPlan;
use calicohoist_ledger::server::replica::sealing::SealSchedule;
use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_wire::encode;
use proptest::prelude::*;

/// Memory of the machine, in bytes, which its shares follow.
const MEMORY_BYTES: usize = 58 << 20;
/// The longest input, in KiB: more than all shares of retained turns.
const MAX_INPUT_KIB: usize = 4 << 10;

/// What happens in a run.
#[derive(Clone, Debug)]
enum Step {
    /// A gateway settles a turn with an input of this length, in KiB.
    Settle { kib: usize },
    /// This many entries are committed and applied, and the leader looks for work.
    Commit { entries: usize },
    /// Another machine is elected, or the same one again. It lacks this many of the entries that are not
    /// committed.
    Elect { is_same: bool, lost: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..64usize).prop_map(|kib| Step::Settle { kib }),
        6 => (1..MAX_INPUT_KIB).prop_map(|kib| Step::Settle { kib }),
        6 => (0..6usize).prop_map(|entries| Step::Commit { entries }),
        1 => (any::<bool>(), 0..4usize).prop_map(|(is_same, lost)| Step::Elect { is_same, lost }),
    ]
}

/// An entry that is not committed, and its contents in bytes.
struct LogEntry {
    command: Vec<u8>,
    contents: usize,
    is_seal: bool,
}

/// The leader of a group, and the state that all machines apply.
struct Leader {
    plan: MemoryPlan,
    state: LedgerState,
    sealing: SealSchedule,
    term: u64,
    uncommitted: VecDeque<LogEntry>,
    settled: usize,
    /// Contents of the longest turn that was taken, in bytes.
    longest: usize,
    /// Turns that had to wait in a row.
    waited: usize,
}

impl Leader {
    fn new() -> Self {
        let plan = MemoryPlan::for_machine(Some(MEMORY_BYTES));
        Self {
            plan,
            state: LedgerState::new(GroupId(0)),
            sealing: SealSchedule::new(&plan),
            term: 1,
            uncommitted: VecDeque::new(),
            settled: 0,
            longest: 0,
            waited: 0,
        }
    }

    fn unsealed(&self) -> u64 {
        self.state.turns().unsealed_bytes()
    }

    fn propose(&mut self, command: &Command, contents: usize) {
        let is_seal = matches!(command, Command::Seal);
        let command = encode(command).expect("encode");
        self.uncommitted.push_back(LogEntry { command, contents, is_seal });
    }

    /// Takes a turn if there is room for it.
    fn settle(&mut self, bytes: usize) {
        let uncommitted: usize = self.uncommitted.iter().map(|entry| entry.contents).sum();
        let next = uncommitted + bytes;
        let is_bounded = uncommitted == 0 || next <= self.plan.uncommitted;
        if !is_bounded || !self.sealing.has_room(self.unsealed(), next as u64) {
            self.waited += 1;
            return;
        }
        self.waited = 0;
        self.settled += 1;
        self.longest = self.longest.max(bytes);
        let settle = SettleTurn {
            program: None,
            turn: format!("t{}", self.settled),
            used_tokens: 0,
            retention_ms: 60_000,
            retained: Some(RetainedTurn {
                previous: None,
                input: vec![b'x'; bytes],
                output: Vec::new(),
            }),
            run: None,
        };
        self.propose(&Command::Settle(settle), bytes);
    }

    /// Applies the next entries, and proposes a seal if one is due.
    fn commit(&mut self, entries: usize) {
        for _ in 0..entries {
            let Some(entry) = self.uncommitted.pop_front() else {
                break;
            };
            self.state.apply(&entry.command);
            self.state.take_sealed();
            if entry.is_seal {
                self.sealing.end();
            }
        }
        if self.sealing.begin_if_due(self.term, self.unsealed()) {
            self.propose(&Command::Seal, 0);
        }
    }

    fn elect(&mut self, is_same: bool, lost: usize) {
        let kept = self.uncommitted.len().saturating_sub(lost);
        self.uncommitted.truncate(kept);
        // A machine that loses its leadership learns that its proposals are lost, which may be applied.
        match is_same {
            true => self.sealing.end(),
            false => self.sealing = SealSchedule::new(&self.plan),
        }
        self.term += 1;
    }

    /// Returns the most contents that may be in memory: a seal is due at one share, and turns behind
    /// it have two more, or one turn of any size has.
    fn max_unsealed(&self) -> u64 {
        (self.plan.unsealed_turns + self.longest.max(2 * self.plan.uncommitted)) as u64
    }
}

proptest! {
    #![proptest_config(properties::fixed(500, 98))]

    #[test]
    fn unsealed_turns_stay_within_their_memory_while_commits_lag(
        steps in proptest::collection::vec(step(), 1..150)
    ) {
        let mut leader = Leader::new();
        for step in steps {
            match step {
                Step::Settle { kib } => leader.settle(kib << 10),
                Step::Commit { entries } => leader.commit(entries),
                Step::Elect { is_same, lost } => leader.elect(is_same, lost),
            }
            prop_assert!(leader.unsealed() <= leader.max_unsealed(), "{}", leader.unsealed());
        }
        // No turn waits for good.
        leader.commit(usize::MAX);
        leader.commit(usize::MAX);
        leader.settle(MAX_INPUT_KIB << 10);
        prop_assert_eq!(leader.waited, 0);
    }
}
