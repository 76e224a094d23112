//! Timeouts and retry backoff of the ledger client.

use std::time::Duration;

use calicohoist_transport::version::LEGACY_CONNECTION_TTL;

use crate::commands::find_crash;
use crate::protocol::LedgerRequest;

/// Timeouts and retry backoff of a [`LedgerClient`](super::LedgerClient).
#[derive(Clone, Copy, Debug)]
pub struct ClientTiming {
    /// Time without progress of the leader with a response after which another machine is asked whether it still
    /// leads.
    pub response_timeout: Duration,
    /// `response_timeout` for watch requests, which are long polls.
    pub watch_timeout: Duration,
    /// `response_timeout` for placement requests, whose turn may be queued.
    pub place_timeout: Duration,
    /// Time without progress after which the leader is abandoned even if others confirm it: the
    /// network between gateway and leader may be partitioned.
    pub max_silence: Duration,
    /// How long a confirmation of the leader by another machine stays valid.
    pub leader_confirmation_ttl: Duration,
    /// Timeout of a request for the current leader.
    pub find_leader_timeout: Duration,
    /// Time after which versions are offered again to a machine with a connection of the legacy
    /// version. A machine that was starting or stopping closes a connection as legacy builds do.
    pub legacy_connection_ttl: Duration,
    /// Initial retry backoff, which doubles with each retry.
    pub initial_backoff: Duration,
    /// Maximum retry backoff.
    pub max_backoff: Duration,
}

impl Default for ClientTiming {
    fn default() -> Self {
        Self {
            // An election takes 180 to 360 ms.
            response_timeout: Duration::from_millis(250),
            // Twice the duration of a long poll.
            watch_timeout: Duration::from_millis(1_000),
            // Longer than the maximum queue time of a turn.
            place_timeout: Duration::from_millis(2_200),
            // Three elections. A reservation is given up after 1 s.
            max_silence: Duration::from_millis(1_200),
            // An election more, so that a failed leader is noticed within two.
            leader_confirmation_ttl: Duration::from_millis(400),
            // Longer than a machine without a leader holds the request, 150 ms.
            find_leader_timeout: Duration::from_millis(300),
            legacy_connection_ttl: LEGACY_CONNECTION_TTL,
            initial_backoff: Duration::from_millis(20),
            // Shorter than an election.
            max_backoff: Duration::from_millis(160),
        }
    }
}

impl ClientTiming {
    /// Returns how long to wait for progress of the leader before its leadership is checked.
    pub(super) fn timeout_for(&self, request: &LedgerRequest) -> Duration {
        match request {
            LedgerRequest::Watch(_) | LedgerRequest::WatchCrashes { .. } => self.watch_timeout,
            // Answered once other gateways have received the record.
            LedgerRequest::Settle(settle) if find_crash(&settle.turn).is_some() => {
                self.watch_timeout
            }
            LedgerRequest::Place { .. } => self.place_timeout,
            LedgerRequest::Reserve { .. }
            | LedgerRequest::Permit(_)
            | LedgerRequest::Settle { .. }
            | LedgerRequest::ReportFailure { .. }
            | LedgerRequest::FindLeader
            | LedgerRequest::ForVersion { .. } => self.response_timeout,
        }
    }
}
