//! How long the ledger is asked to keep turns and accounts.
//!
//! A caller counts the retention of a turn from the last byte of its response, and a request that
//! continues the turn in time takes a while to reach the ledger. The ledger counts from the record,
//! which precedes the last byte, so it is asked for both times in addition. While a caller takes longer
//! to read the response, the retention is extended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_connections::Delivery;
use calicohoist_ledger::commands::{Reservation, ReserveTurn, TurnId};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_routing::Route;
use calicohoist_telemetry::metrics::Counter;

use super::call::Call;
use super::turn::{RETRY_AFTER, millis};
use crate::app::App;

static RETENTIONS_EXTENDED: Counter = Counter::new(
    "calicohoist_proxy_retentions_extended_total",
    "Retained turns whose responses were read slowly, by what became of the extension",
    "outcome",
);

/// Least time allowed for the delivery of a response, and for the arrival of a request. Covers a leader
/// election.
const MIN_TRANSIT: Duration = Duration::from_secs(1);
/// Longest such time. Covers reading a request body and the wait for its reservation.
const MAX_TRANSIT: Duration = Duration::from_secs(8);

/// Returns the time allowed for the delivery of a response, and again for the arrival of the request
/// that continues its turn.
pub fn transit_time(route: &Route) -> Duration {
    route.timeout.clamp(MIN_TRANSIT, MAX_TRANSIT)
}

/// Returns how long what a turn needs is kept from its start, so that it outlives the turn.
pub fn while_running(route: &Route) -> Duration {
    route.retention.saturating_add(route.timeout).saturating_add(transit_time(route))
}

/// Returns how long a turn that has ended is kept from its record.
pub fn once_ended(route: &Route) -> Duration {
    route.retention.saturating_add(2 * transit_time(route))
}

/// Returns whether a turn that has expired may have been kept when a request was sent that has been
/// under way for `time`.
pub fn may_expire_under_way(route: &Route, time: Duration) -> bool {
    time > transit_time(route)
}

/// A retained turn whose response is being delivered.
pub struct DeliveredTurn {
    app: Arc<App>,
    id: TurnId,
    delivery: Delivery,
    transit_time: Duration,
    retention: Duration,
    /// A response that is delivered by then needs no extension.
    covered_until: Instant,
}

impl DeliveredTurn {
    /// Creates the delivery of the response to `call`, whose turn was recorded at `recorded_at` or later.
    pub fn new(app: &Arc<App>, call: &Call, recorded_at: Instant) -> Self {
        let transit_time = transit_time(&call.route);
        Self {
            app: Arc::clone(app),
            id: call.scoped(&call.head.request_id),
            delivery: call.delivery.clone(),
            transit_time,
            retention: once_ended(&call.route),
            covered_until: recorded_at + transit_time,
        }
    }

    /// Keeps the turn for its retention from now on; `false` if it has expired, or if the ledger does not
    /// answer.
    pub async fn extend_now(&mut self) -> bool {
        let asked_at = Instant::now();
        let reservation = self.extend(asked_at + self.transit_time).await;
        self.covered_until = asked_at + self.transit_time;
        reservation == Some(Reservation::Granted)
    }

    /// Keeps the turn for its retention from the end of the delivery, in the background.
    pub fn keep_in_background(self) {
        // The gateway waits for the connection when it stops.
        tokio::spawn(self.keep());
    }

    async fn keep(mut self) {
        loop {
            tokio::time::sleep_until((self.covered_until - self.transit_time / 2).into()).await;
            let has_ended = self.delivery.has_ended();
            let asked_at = Instant::now();
            if has_ended && asked_at <= self.covered_until {
                return;
            }
            if asked_at > self.covered_until + self.retention {
                return RETENTIONS_EXTENDED.inc("expired");
            }
            match self.extend(asked_at + self.transit_time / 2).await {
                Some(Reservation::Granted) => {
                    RETENTIONS_EXTENDED.inc("extended");
                    self.covered_until = asked_at + self.transit_time;
                }
                Some(_) => return RETENTIONS_EXTENDED.inc("expired"),
                None => {
                    RETENTIONS_EXTENDED.inc("unanswered");
                    tokio::time::sleep(RETRY_AFTER).await;
                    continue;
                }
            }
            if has_ended {
                return;
            }
        }
    }

    /// Reads the turn as one that continues it does, which extends its retention and that of its
    /// ancestors.
    async fn extend(&self, deadline: Instant) -> Option<Reservation> {
        let reserve = ReserveTurn {
            program: None,
            turn: self.id.clone(),
            most_tokens: 0,
            budget: u64::MAX,
            previous: Some(self.id.clone()),
            retention_ms: millis(self.retention),
        };
        let question = LedgerRequest::Reserve { reserve, placement: None, permit: None };
        match self.app.ledger.request(&question, deadline).await {
            Ok(LedgerResponse::Reserved { reservation, .. }) => Some(reservation),
            _ => None,
        }
    }
}
