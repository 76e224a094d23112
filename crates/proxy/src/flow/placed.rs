//! Where the leader has placed a request.

use std::time::{Duration, Instant};

use calicohoist_routing::cold;

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

    /// At a cold replica, `waited` after the question of `asked` had come to the leader.
    pub fn cold(id: String, asked: Instant, waited: Duration) -> Self {
        Self { id, send_by: Some(cold::send_by(asked, waited)) }
    }
}
