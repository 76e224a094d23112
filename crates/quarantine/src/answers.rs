//! Answers to a request since a replica crashed under it.

use std::collections::HashSet;

/// Minimum number of answers that show a request to be harmless. A request under which a third of
/// its replicas crash is answered that often in a row once in 130 times.
pub const HARMLESS_ANSWERS: usize = 12;

/// Minimum number of answers for each replica that has answered. Replicas that answer a request a
/// few times before they crash under it must not show it to be harmless, however many there are.
pub const ANSWERS_PER_REPLICA: usize = 4;

/// Whole answers of replicas to one request.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    count: usize,
    /// Incarnations that have answered.
    replicas: HashSet<String>,
}

impl Answers {
    /// Adds an answer of a replica.
    pub fn add(&mut self, replica: &str) {
        self.count += 1;
        if !self.replicas.contains(replica) {
            self.replicas.insert(replica.to_owned());
        }
    }

    /// Returns whether a replica has answered.
    pub fn any(&self) -> bool {
        self.count > 0
    }

    /// Returns whether the answers show that the request is harmless.
    pub fn show_harmless(&self) -> bool {
        self.count >= HARMLESS_ANSWERS.max(ANSWERS_PER_REPLICA * self.replicas.len())
    }
}
