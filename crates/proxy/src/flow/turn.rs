//! Token budgets and turn histories of programs.
//!
//! Before a turn is sent to a replica, its maximum number of tokens is reserved in the ledger,
//! which returns the conversation so far. When the turn ends, the tokens used are settled. A
//! retained turn is made durable before the end of its response is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use calicohoist_ledger::client::RequestError;
use calicohoist_ledger::commands::{Reservation, ReserveTurn, RetainedTurn, SettleTurn};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_routing::{PlacedReplica, SoftwareRequirement};
use calicohoist_scheduler::{Decision, PlacementRequest, RunSample, TurnRun, queue_timeout};
use calicohoist_telemetry::metrics::DurationHistogram;
use calicohoist_telemetry::{Event, emit};

use super::call::Call;
use super::error::{GatewayError, NotExecutedReason};
use super::permit::{self, Permit};
use super::retention::{self, DeliveredTurn};
use super::turn_output::TurnOutput;
use crate::app::App;
use crate::pauses::CATCH_UP_TIME;

pub(super) static LEDGER_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_ledger_answer_seconds",
    "Time until the ledger answered, by question",
    "question",
);

/// Timeout of a reservation. Covers a leader election.
pub(super) const RESERVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for settling a turn in the background.
const BACKGROUND_SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for which a turn waits for its placement.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Retry delay if the ledger does not respond.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A turn with its reservation. If dropped before it has completed, it is settled in the
/// background.
pub struct Turn {
    app: Arc<App>,
    call: Arc<Call>,
    /// Since when the request may have been under way.
    under_way_since: Instant,
    /// Body for the replica: the conversation so far, followed by the new input.
    pub body: Bytes,
    /// Permit under the tenant's rate limit.
    pub permit: Permit,
    /// Placement by the leader, if any.
    pub placement: Option<PlacedReplica>,
    /// Id of the replica that runs the turn.
    pub replica_id: Option<String>,
    /// Time at which the turn was sent to the replica.
    pub sent_at: Option<Instant>,
    /// Whether the response is complete.
    is_complete: bool,
    /// Events sent to the client.
    pub output: TurnOutput,
    is_settled: bool,
}

/// Returns whether the request needs the ledger.
fn needs_ledger(call: &Call) -> bool {
    let has_account = call.head.budget.is_some() && call.head.program.is_some();
    has_account || call.route.retain || call.head.previous_turn.is_some()
}

impl Turn {
    /// Reserves the turn's tokens, and fetches the conversation so far.
    ///
    /// # Errors
    /// Returns an error if the turn must not run, or if the ledger does not respond.
    pub async fn begin(app: &Arc<App>, call: &Arc<Call>) -> Result<Self, GatewayError> {
        let started_at = Instant::now();
        let mut turn = Self {
            app: Arc::clone(app),
            call: Arc::clone(call),
            under_way_since: app.pauses.lock().waiting_since(call.received_at, started_at),
            body: call.body.clone(),
            permit: Permit::Missing,
            placement: None,
            replica_id: None,
            sent_at: None,
            is_complete: false,
            output: TurnOutput::new(call),
            is_settled: false,
        };
        if !needs_ledger(call) {
            turn.is_settled = true;
            return Ok(turn);
        }
        let permit = permit::request_for_turn(app, call);
        let question = LedgerRequest::Reserve {
            reserve: reserve_command(call),
            placement: placement_request(app, call),
            permit: permit.clone(),
        };
        let deadline = started_at + queue_timeout(call.time_left(), RESERVE_TIMEOUT);
        let answer = app.ledger.request(&question, deadline).await;
        LEDGER_TIMES.observe("reserve", started_at.elapsed());
        log_reserved(call, &answer, started_at);
        // From here on, dropping `turn` settles the reservation, if one was made.
        match answer {
            Ok(LedgerResponse::Reserved {
                reservation,
                history,
                decision,
                is_under_way,
                permit: answer,
            }) => {
                let mut turn = turn.apply_reservation(reservation, &history)?;
                turn.permit = match permit.zip(answer) {
                    Some((request, answer)) => {
                        permit::apply_answer(app, &request, answer, started_at)?
                    }
                    None => Permit::Unlimited,
                };
                turn.await_placement(decision, started_at, is_under_way).await?;
                Ok(turn)
            }
            Ok(LedgerResponse::Permit(answer)) => {
                // Rejected before anything was reserved.
                turn.is_settled = true;
                if let Some(request) = &permit {
                    permit::apply_answer(app, request, answer, started_at)?;
                }
                Err(GatewayError::not_executed(NotExecutedReason::LedgerUnavailable, RETRY_AFTER))
            }
            _ => Err(GatewayError::not_executed(NotExecutedReason::LedgerUnavailable, RETRY_AFTER)),
        }
    }

    /// Waits for the placement of the turn. `initial` is the decision that came with the
    /// reservation, if any; it was requested at `requested_at`.
    async fn await_placement(
        &mut self,
        initial: Option<Decision>,
        requested_at: Instant,
        is_under_way: bool,
    ) -> Result<(), GatewayError> {
        let mut requested_at = requested_at;
        let decision = match initial {
            Some(Decision::Wait) => {
                requested_at = Instant::now();
                let decision = self.request_placement(is_under_way).await;
                // The rate limit counted the request when the permit was issued, so sending it
                // after the wait requires a new permit.
                self.permit.invalidate();
                decision
            }
            decision => decision,
        };
        match decision {
            Some(Decision::Run(replica)) => self.placement = Some(PlacedReplica::warm(replica)),
            Some(Decision::RunCold { replica, waited_ms }) => {
                let waited = Duration::from_millis(waited_ms);
                self.placement = Some(PlacedReplica::cold(replica, requested_at, waited));
            }
            Some(Decision::Refuse(after)) => {
                return Err(GatewayError::not_executed(NotExecutedReason::ReplicasFull, after));
            }
            Some(Decision::RunAnywhere | Decision::Wait) | None => {}
        }
        Ok(())
    }

    /// Waits for the leader's decision. Returns `None` if there is no leader; the gateway then
    /// selects a replica itself.
    async fn request_placement(&self, is_under_way: bool) -> Option<Decision> {
        let placement = placement_request(&self.app, &self.call)?;
        let placement = PlacementRequest { is_under_way, ..placement };
        let question =
            LedgerRequest::Place { turn: self.call.scoped(&self.call.head.request_id), placement };
        let started_at = Instant::now();
        let deadline = self.call.deadline().min(started_at + PLACEMENT_TIMEOUT);
        let decision = match self.app.ledger.request(&question, deadline).await {
            Ok(LedgerResponse::Placed(decision)) => Some(decision),
            _ => None,
        };
        LEDGER_TIMES.observe("place", started_at.elapsed());
        log_placed(&self.call, decision.as_ref(), started_at);
        decision
    }

    fn apply_reservation(
        mut self,
        reservation: Reservation,
        history: &[u8],
    ) -> Result<Self, GatewayError> {
        match reservation {
            Reservation::Granted => {
                if self.call.route.retain && !history.is_empty() {
                    self.body = concat(history, &self.call.body);
                }
                Ok(self)
            }
            Reservation::BudgetSpent => {
                self.is_settled = true;
                Err(GatewayError::BudgetSpent)
            }
            Reservation::NoSuchTurn => {
                self.is_settled = true;
                Err(self.unknown_turn())
            }
            Reservation::Ended => {
                self.is_settled = true;
                Err(GatewayError::not_executed(NotExecutedReason::LedgerUnavailable, RETRY_AFTER))
            }
        }
    }

    /// Returns the error for a turn that the ledger does not have. Clients treat it as final, so one that
    /// was kept when the request was sent, as far as this gateway can tell, is not called unknown.
    fn unknown_turn(&self) -> GatewayError {
        if retention::may_expire_under_way(&self.call.route, self.under_way_since.elapsed()) {
            return GatewayError::not_executed(NotExecutedReason::ReadLate, CATCH_UP_TIME);
        }
        GatewayError::NoSuchTurn
    }

    fn settle_command(&self, retained: Option<RetainedTurn>) -> SettleTurn {
        SettleTurn {
            program: account_id(&self.call),
            turn: self.call.scoped(&self.call.head.request_id),
            used_tokens: self.output.tokens(),
            retention_ms: millis(retention::once_ended(&self.call.route)),
            retained,
            run: self.turn_run().map(Box::new),
        }
    }

    /// Describes the run for the scheduler: the prompt that the replica has now cached, and its
    /// timing.
    fn turn_run(&self) -> Option<TurnRun> {
        let replica = self.replica_id.clone()?;
        let service = self.call.service()?;
        let engine = service.engine.as_ref()?;
        let generated = u32::try_from(self.output.tokens()).unwrap_or(u32::MAX);
        let mut prompt = self.call.head.prompt.clone();
        if let Some(last) = prompt.last_mut() {
            last.tokens = last.tokens.saturating_add(generated);
        }
        let sample = self.sent_at.filter(|_| self.is_complete).map(|sent_at| RunSample {
            generated,
            time_ms: u32::try_from(millis(sent_at.elapsed())).unwrap_or(u32::MAX),
        });
        let service = service.name.clone();
        Some(TurnRun { replica, prompt, memory_tokens: engine.memory_tokens, service, sample })
    }

    /// Completes a turn whose response is complete. A retained turn, which is returned, is durable
    /// afterwards.
    ///
    /// # Errors
    /// Returns an error if the ledger does not confirm in time. The response must then be aborted.
    pub async fn complete(mut self) -> Result<Option<DeliveredTurn>, GatewayError> {
        if self.is_settled {
            return Ok(None);
        }
        self.is_complete = true;
        if !self.call.route.retain {
            // Settled in the background by `drop`, without delaying the response.
            return Ok(None);
        }
        let retained = RetainedTurn {
            previous: previous_turn_id(&self.call),
            input: self.call.body.to_vec(),
            output: self.output.take_data(),
        };
        let question = LedgerRequest::Settle(self.settle_command(Some(retained)));
        let started_at = Instant::now();
        let answer = self.app.ledger.request(&question, self.call.client_deadline()).await;
        LEDGER_TIMES.observe("settle", started_at.elapsed());
        match answer {
            Ok(LedgerResponse::Settled) => {
                self.is_settled = true;
                emit!(
                    Event::TurnSettled;
                    request = self.call.head.request_id,
                    tokens = self.output.tokens(),
                    after_ms = started_at.elapsed().as_millis(),
                );
                let mut delivered = DeliveredTurn::new(&self.app, &self.call, started_at);
                // The process may have stood still since the turn was recorded, for longer than its
                // retention.
                let is_late = Instant::now() > self.call.client_deadline();
                if is_late && !delivered.extend_now().await {
                    return Err(GatewayError::Unknown);
                }
                Ok(Some(delivered))
            }
            _ => Err(GatewayError::Unknown),
        }
    }
}

impl Drop for Turn {
    /// Settles an incomplete turn, e.g. after a client disconnected or a replica failed, with the
    /// tokens sent so far.
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let app = Arc::clone(&self.app);
        let id = self.call.head.request_id.clone();
        let question = LedgerRequest::Settle(self.settle_command(None));
        // A graceful shutdown waits for the settlement.
        let guard = app.begin_task();
        tokio::spawn(async move {
            let _guard = guard;
            let deadline = Instant::now() + BACKGROUND_SETTLE_TIMEOUT;
            if app.ledger.request(&question, deadline).await.is_err() {
                emit!(Event::SettlementLost; request = id);
            }
        });
    }
}

fn log_placed(call: &Call, decision: Option<&Decision>, started_at: Instant) {
    let outcome = decision.map_or_else(|| "no leader".to_owned(), |known| format!("{known:?}"));
    emit!(
        Event::TurnPlaced;
        request = call.head.request_id,
        outcome = outcome,
        waited_ms = started_at.elapsed().as_millis(),
        left_ms = call.time_left().as_millis(),
    );
}

fn log_reserved(call: &Call, answer: &Result<LedgerResponse, RequestError>, started_at: Instant) {
    let (outcome, history, decision) = match answer {
        Ok(LedgerResponse::Reserved { reservation, history, decision, .. }) => {
            (format!("{reservation:?}"), history.len(), decision.as_ref())
        }
        Ok(LedgerResponse::Permit(answer)) => (format!("{answer:?}"), 0, None),
        Ok(_) => ("unexpected answer".to_owned(), 0, None),
        Err(error) => (error.to_string(), 0, None),
    };
    let decision = decision.map_or_else(|| "-".to_owned(), |known| format!("{known:?}"));
    emit!(
        Event::TurnReserved;
        request = call.head.request_id,
        program = call.head.program.as_deref().unwrap_or("-"),
        previous_turn = call.head.previous_turn.as_deref().unwrap_or("-"),
        most_tokens = call.head.max_tokens,
        budget = call.head.budget.unwrap_or_default(),
        outcome = outcome,
        history_bytes = history,
        decision = decision,
        finish_ms = call.head.program_deadline.map_or(-1, |left| left.as_millis().cast_signed()),
        after_ms = started_at.elapsed().as_millis(),
    );
}

fn concat(history: &[u8], input: &Bytes) -> Bytes {
    let mut body = BytesMut::with_capacity(history.len() + input.len());
    body.extend_from_slice(history);
    body.extend_from_slice(input);
    body.freeze()
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn reserve_command(call: &Call) -> ReserveTurn {
    ReserveTurn {
        program: account_id(call),
        turn: call.scoped(&call.head.request_id),
        most_tokens: call.head.max_tokens,
        budget: call.head.budget.unwrap_or(u64::MAX),
        previous: previous_turn_id(call).filter(|_| call.route.retain),
        retention_ms: millis(retention::while_running(&call.route)),
    }
}

/// Builds the placement request for a turn whose prompt is known.
fn placement_request(app: &App, call: &Call) -> Option<PlacementRequest> {
    let version = match call.continuation().map(|continuation| &continuation.software) {
        None | Some(SoftwareRequirement::Any) => None,
        Some(SoftwareRequirement::Version(version)) => Some(version.clone()),
        // There is nothing to choose.
        Some(SoftwareRequirement::Replica(_) | SoftwareRequirement::Unknown) => return None,
    };
    let service = call.service()?;
    let engine = service.engine.as_ref()?;
    Some(PlacementRequest {
        service: service.name.clone(),
        zone: app.settings.zone.clone(),
        connected: app.connected_replicas(&service.name),
        prompt: call.head.prompt.clone(),
        memory_tokens: engine.memory_tokens,
        left_ms: millis(call.time_left()),
        finish_ms: call.program_time_left().map(millis),
        priority: call.priority(),
        is_under_way: false,
        homes: call.homes(),
        cold: service.cold,
        version,
    })
}

/// Returns the id of the program whose budget is charged; `None` for a turn without a budget.
fn account_id(call: &Call) -> Option<String> {
    let program = call.head.program.as_deref().filter(|_| call.head.budget.is_some());
    program.map(|program| call.scoped(program))
}

/// Returns the scoped id of the turn that this one continues.
fn previous_turn_id(call: &Call) -> Option<String> {
    call.head.previous_turn.as_deref().map(|previous| call.scoped(previous))
}
