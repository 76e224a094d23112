//! How long a gateway waits for the ledger.

use std::time::Duration;

use crate::protocol::Question;

/// Times of a client of the ledger.
#[derive(Clone, Copy, Debug)]
pub struct ClientTiming {
    /// Silence of a leader after which another machine is asked whether it still leads.
    pub answer_patience: Duration,
    /// The same while only a watch is out, which is held on purpose.
    pub watch_patience: Duration,
    /// The same for a turn that waits for a replica on purpose.
    pub place_patience: Duration,
    /// Silence after which the connection is opened anew, whoever is said to lead: the way
    /// to the leader may be cut while the other machines reach it.
    pub most_silence: Duration,
    /// How long the word of another machine that the leader leads is taken for true.
    pub vouched_for: Duration,
    /// Longest time for the answer of a machine that is asked who leads.
    pub search_patience: Duration,
    /// First pause between two tries; it doubles up to the longest.
    pub first_pause: Duration,
    /// Longest pause between two tries.
    pub longest_pause: Duration,
}

impl Default for ClientTiming {
    fn default() -> Self {
        Self {
            // An election takes 180 to 360 ms.
            answer_patience: Duration::from_millis(250),
            // Twice the time for which the ledger holds a watch.
            watch_patience: Duration::from_millis(1_000),
            // A little more than the longest time that a turn waits.
            place_patience: Duration::from_millis(2_200),
            // Three elections; a reservation is given up after 1 s.
            most_silence: Duration::from_millis(1_200),
            // An election more, so that a dead leader is noticed within two.
            vouched_for: Duration::from_millis(400),
            // A machine that knows no leader holds the question for 150 ms.
            search_patience: Duration::from_millis(300),
            // A few times the way within a region.
            first_pause: Duration::from_millis(20),
            // Well below the time of an election.
            longest_pause: Duration::from_millis(160),
        }
    }
}

impl ClientTiming {
    /// Silence of a leader that a question bears before anything is done about it.
    pub(super) fn patience_for(&self, question: &Question) -> Duration {
        match question {
            Question::Watch(_) => self.watch_patience,
            Question::Place { .. } => self.place_patience,
            Question::Reserve { .. }
            | Question::Permit(_)
            | Question::Settle { .. }
            | Question::ReportFailure { .. }
            | Question::FindLeader => self.answer_patience,
        }
    }
}
