//! Accounts and histories of programs.
//!
//! Before a turn goes to a replica, its most is reserved in the ledger, which hands
//! back what was said before. When it ends, what was used is settled; a retained turn
//! is durable before the end of its answer leaves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use calicohoist_ledger::client::RequestError;
use calicohoist_ledger::commands::{Reservation, ReserveTurn, RetainedTurn, SettleTurn};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_routing::PlacedReplica;
use calicohoist_scheduler::{Decision, PlacementRequest, RunSample, TurnRun, queue_timeout};
use calicohoist_telemetry::metrics::DurationHistogram;
use calicohoist_telemetry::{Event, emit};

use super::call::Call;
use super::permit::{self, Permit};
use super::refusal::{NotRunReason, Refusal};
use crate::app::App;

static LEDGER_TIMES: DurationHistogram = DurationHistogram::new(
    "calicohoist_ledger_answer_seconds",
    "Time until the ledger answered, by question",
    "question",
);

/// Longest time that a turn waits for its reservation: an election fits in.
const RESERVE_PATIENCE: Duration = Duration::from_millis(1_000);
/// How long the ledger is asked to note the end of a turn that nobody waits for.
const BACKGROUND_PATIENCE: Duration = Duration::from_secs(20);
/// Longest time that a turn waits for its place.
const PLACE_PATIENCE: Duration = Duration::from_millis(2_500);
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// A turn with its reservation. Dropped without an end, it settles in the background.
pub struct Turn {
    app: Arc<App>,
    call: Arc<Call>,
    /// What the replica receives: what was said before, and the new input.
    pub body: Bytes,
    /// Leave of the tenant's limit.
    pub permit: Permit,
    /// The replica that it is best sent to, as the ledger sees it.
    pub placed_on: Option<PlacedReplica>,
    /// The replica that runs it.
    pub ran_at: Option<String>,
    /// When it went to that replica.
    pub sent: Option<Instant>,
    /// Whether its answer ended whole.
    is_whole: bool,
    /// Tokens handed to the caller so far.
    pub used_tokens: u64,
    /// The data of the events so far, when the turn is retained.
    output: Vec<u8>,
    is_settled: bool,
}

/// Whether the ledger has a part in this request.
fn needs_ledger(call: &Call) -> bool {
    let has_account = call.head.budget.is_some() && call.head.program.is_some();
    has_account || call.route.retain || call.head.previous_turn.is_some()
}

impl Turn {
    /// Reserves what the turn may use, and reads what was said before.
    ///
    /// # Errors
    /// When it must not run, or the ledger does not answer.
    pub async fn begin(app: &Arc<App>, call: &Arc<Call>) -> Result<Self, Refusal> {
        let mut turn = Self {
            app: Arc::clone(app),
            call: Arc::clone(call),
            body: call.body.clone(),
            permit: Permit::Missing,
            placed_on: None,
            ran_at: None,
            sent: None,
            is_whole: false,
            used_tokens: 0,
            output: Vec::new(),
            is_settled: false,
        };
        if !needs_ledger(call) {
            turn.is_settled = true;
            return Ok(turn);
        }
        let permit = permit::request_for_turn(app, call);
        let question = LedgerRequest::Reserve {
            reserve: reserve_of(call),
            placement: placement_of(app, call),
            permit: permit.clone(),
        };
        let began = Instant::now();
        let deadline = began + queue_timeout(call.left(), RESERVE_PATIENCE);
        let answer = app.ledger.request(&question, deadline).await;
        LEDGER_TIMES.observe("reserve", began.elapsed());
        log_reserved(call, &answer, began);
        // From here on the drop of `turn` settles what may have been reserved.
        match answer {
            Ok(LedgerResponse::Reserved {
                reservation,
                history,
                decision,
                is_under_way,
                permit: answer,
            }) => {
                let mut turn = turn.admit(reservation, &history)?;
                turn.permit = match permit.zip(answer) {
                    Some((request, answer)) => permit::accept(app, &request, answer, began)?,
                    None => Permit::Unlimited,
                };
                turn.place(decision, began, is_under_way).await?;
                Ok(turn)
            }
            Ok(LedgerResponse::Permit(answer)) => {
                // Refused before anything was reserved.
                turn.is_settled = true;
                if let Some(request) = &permit {
                    permit::accept(app, request, answer, began)?;
                }
                Err(Refusal::not_run(NotRunReason::LedgerUnavailable, RETRY_AFTER))
            }
            _ => Err(Refusal::not_run(NotRunReason::LedgerUnavailable, RETRY_AFTER)),
        }
    }

    /// Waits until it is decided when and where the turn runs. `first` is the decision that came
    /// with the reservation, if any; it was asked for at `asked`.
    async fn place(
        &mut self,
        first: Option<Decision>,
        asked: Instant,
        is_under_way: bool,
    ) -> Result<(), Refusal> {
        let mut asked = asked;
        let decision = match first {
            Some(Decision::Wait) => {
                asked = Instant::now();
                let decision = self.wait_for_place(is_under_way).await;
                // It was counted as sent when it was issued.
                self.permit.lapse();
                decision
            }
            decided => decided,
        };
        match decision {
            Some(Decision::Run(replica)) => self.placed_on = Some(PlacedReplica::warm(replica)),
            Some(Decision::RunCold { replica, waited_ms }) => {
                let waited = Duration::from_millis(waited_ms);
                self.placed_on = Some(PlacedReplica::cold(replica, asked, waited));
            }
            Some(Decision::Refuse(after)) => {
                return Err(Refusal::not_run(NotRunReason::ReplicasFull, after));
            }
            Some(Decision::RunAnywhere | Decision::Wait) | None => {}
        }
        Ok(())
    }

    /// Asks until it is decided; `None` when nobody leads, and the turn looks for a replica
    /// by itself.
    async fn wait_for_place(&self, is_under_way: bool) -> Option<Decision> {
        let placement = placement_of(&self.app, &self.call)?;
        let placement = PlacementRequest { is_under_way, ..placement };
        let question =
            LedgerRequest::Place { turn: self.call.scoped(&self.call.head.request_id), placement };
        let began = Instant::now();
        let deadline = self.call.deadline.min(began + PLACE_PATIENCE);
        let decision = match self.app.ledger.request(&question, deadline).await {
            Ok(LedgerResponse::Placed(decision)) => Some(decision),
            _ => None,
        };
        LEDGER_TIMES.observe("place", began.elapsed());
        log_placed(&self.call, decision.as_ref(), began);
        decision
    }

    fn admit(mut self, reservation: Reservation, history: &[u8]) -> Result<Self, Refusal> {
        match reservation {
            Reservation::Granted => {
                if self.call.route.retain && !history.is_empty() {
                    self.body = concatenated(history, &self.call.body);
                }
                Ok(self)
            }
            Reservation::BudgetSpent => {
                self.is_settled = true;
                Err(Refusal::BudgetSpent)
            }
            Reservation::NoSuchTurn => {
                self.is_settled = true;
                Err(Refusal::NoSuchTurn)
            }
            Reservation::Ended => {
                self.is_settled = true;
                Err(Refusal::not_run(NotRunReason::LedgerUnavailable, RETRY_AFTER))
            }
        }
    }

    /// Counts an event that goes to the caller.
    pub fn note_event(&mut self, data: Option<&[u8]>, tokens: u64) {
        self.used_tokens += tokens;
        if let (Some(data), true) = (data, self.call.route.retain) {
            self.output.extend_from_slice(data);
            self.output.push(b'\n');
        }
    }

    fn settlement(&self, retained: Option<RetainedTurn>) -> SettleTurn {
        SettleTurn {
            program: account_of(&self.call),
            turn: self.call.scoped(&self.call.head.request_id),
            used_tokens: self.used_tokens,
            retention_ms: millis(self.call.route.retention),
            retained,
            run: self.run().map(Box::new),
        }
    }

    /// What the replica that ran the turn has read by it.
    fn run(&self) -> Option<TurnRun> {
        let replica = self.ran_at.clone()?;
        let service = self.call.service()?;
        let engine = service.engine.as_ref()?;
        let generated = u32::try_from(self.used_tokens).unwrap_or(u32::MAX);
        let mut prompt = self.call.head.prompt.clone();
        if let Some(last) = prompt.last_mut() {
            last.tokens = last.tokens.saturating_add(generated);
        }
        let sample = self.sent.filter(|_| self.is_whole).map(|sent| RunSample {
            generated,
            time_ms: u32::try_from(millis(sent.elapsed())).unwrap_or(u32::MAX),
        });
        let service = service.name.clone();
        Some(TurnRun { replica, prompt, memory_tokens: engine.memory_tokens, service, sample })
    }

    /// Ends a turn whose answer is whole; a retained one is durable afterwards.
    ///
    /// # Errors
    /// When the ledger does not confirm it in time: the answer must not end whole.
    pub async fn complete(mut self) -> Result<(), Refusal> {
        if self.is_settled {
            return Ok(());
        }
        self.is_whole = true;
        if !self.call.route.retain {
            // The drop settles; nobody has to wait for it.
            return Ok(());
        }
        let retained = RetainedTurn {
            previous: scoped_previous(&self.call),
            input: self.call.body.to_vec(),
            output: std::mem::take(&mut self.output),
        };
        let question = LedgerRequest::Settle(self.settlement(Some(retained)));
        let began = Instant::now();
        let answer = self.app.ledger.request(&question, self.call.deadline).await;
        LEDGER_TIMES.observe("settle", began.elapsed());
        match answer {
            Ok(LedgerResponse::Settled) => {
                self.is_settled = true;
                emit!(
                    Event::TurnSettled;
                    request = self.call.head.request_id,
                    tokens = self.used_tokens,
                    after_ms = began.elapsed().as_millis(),
                );
                Ok(())
            }
            _ => Err(Refusal::Unknown),
        }
    }
}

impl Drop for Turn {
    /// A caller that left, a replica that broke: what was handed out is settled.
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let app = Arc::clone(&self.app);
        let id = self.call.head.request_id.clone();
        let question = LedgerRequest::Settle(self.settlement(None));
        // A planned stop waits for it.
        let guard = app.begin_request();
        tokio::spawn(async move {
            let _guard = guard;
            let deadline = Instant::now() + BACKGROUND_PATIENCE;
            if app.ledger.request(&question, deadline).await.is_err() {
                emit!(Event::SettlementLost; request = id);
            }
        });
    }
}

fn log_placed(call: &Call, decision: Option<&Decision>, began: Instant) {
    let outcome = decision.map_or_else(|| "no leader".to_owned(), |known| format!("{known:?}"));
    emit!(
        Event::TurnPlaced;
        request = call.head.request_id,
        outcome = outcome,
        waited_ms = began.elapsed().as_millis(),
        left_ms = call.left().as_millis(),
    );
}

fn log_reserved(call: &Call, answer: &Result<LedgerResponse, RequestError>, began: Instant) {
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
        most_tokens = call.head.most_tokens,
        budget = call.head.budget.unwrap_or_default(),
        outcome = outcome,
        history_bytes = history,
        decision = decision,
        finish_ms = call.head.finish.map_or(-1, |left| left.as_millis().cast_signed()),
        after_ms = began.elapsed().as_millis(),
    );
}

fn concatenated(history: &[u8], input: &Bytes) -> Bytes {
    let mut body = BytesMut::with_capacity(history.len() + input.len());
    body.extend_from_slice(history);
    body.extend_from_slice(input);
    body.freeze()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn reserve_of(call: &Call) -> ReserveTurn {
    ReserveTurn {
        program: account_of(call),
        turn: call.scoped(&call.head.request_id),
        most_tokens: call.head.most_tokens,
        budget: call.head.budget.unwrap_or(u64::MAX),
        previous: scoped_previous(call).filter(|_| call.route.retain),
        retention_ms: millis(call.route.retention),
    }
}

/// What the ledger needs to place a turn whose prompt is known.
fn placement_of(app: &App, call: &Call) -> Option<PlacementRequest> {
    let service = call.service()?;
    let engine = service.engine.as_ref()?;
    Some(PlacementRequest {
        service: service.name.clone(),
        zone: app.settings.zone.clone(),
        connected: app.pool.connected(),
        prompt: call.head.prompt.clone(),
        memory_tokens: engine.memory_tokens,
        left_ms: millis(call.left()),
        finish_ms: call.finish_left().map(millis),
        priority: call.priority(),
        is_under_way: false,
        homes: call.homes(),
        cold: service.cold,
    })
}

/// The program whose account is charged; a turn without a budget has none.
fn account_of(call: &Call) -> Option<String> {
    let program = call.head.program.as_deref().filter(|_| call.head.budget.is_some());
    program.map(|program| call.scoped(program))
}

/// The turn that a turn continues from.
fn scoped_previous(call: &Call) -> Option<String> {
    call.head.previous_turn.as_deref().map(|previous| call.scoped(previous))
}
