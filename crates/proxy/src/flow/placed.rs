//! Where the leader has placed a request.

use std::time::{Duration, Instant};

use calicohoist_routing::COLD_PLACEMENT_LIFE;

/// The replica that a request is to be sent to first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// Its identity.
    pub id: String,
    /// Until when the request may be sent there; `None` at a warm replica. The leader counts what
    /// it places at a cold one within a second, so that none may arrive with those of a later one.
    pub send_by: Option<Instant>,
}

impl PlacedReplica {
    /// At a warm replica.
    pub fn warm(id: String) -> Self {
        Self { id, send_by: None }
    }

    /// At a cold replica, `waited` after the leader had the question of `asked`. The question
    /// was on its way meanwhile, so that this is when it was placed, or somewhat earlier.
    pub fn cold(id: String, asked: Instant, waited: Duration) -> Self {
        Self { id, send_by: Some(asked + waited + COLD_PLACEMENT_LIFE) }
    }
}
