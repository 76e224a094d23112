//! Finding a replica that runs a request.
//!
//! A request goes to another replica when it surely did not run, or when it may run
//! twice. A replica that states that it did not run a request is not counted as an
//! attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::{PlacedReplica, Service};
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};

use super::call::Call;
use super::failure;
use super::permit::{self, Permit};
use super::refusal::{NotRunReason, Refusal};
use crate::app::App;
use crate::fleet::{Member, WantedReplica};
use crate::upstream::{Exchange, ExchangeError, Outgoing, exchange};

static ATTEMPTS_FAILED: Counter = Counter::new(
    "calicohoist_proxy_attempts_failed_total",
    "Attempts without an answer, by error",
    "error",
);

static COLD_REQUESTS: Counter = Counter::new(
    "calicohoist_proxy_cold_requests_total",
    "Requests placed at cold replicas, and those that found only cold ones, by outcome",
    "outcome",
);

/// Replicas that are asked before a request is refused.
const MAX_REPLICAS_ASKED: usize = 4;
/// Less time than this is no offer to a replica.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// What a replica that could not be reached is avoided with, and for how long.
const UNREACHABLE_PENALTY: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_000));
/// The same for one that gave no answer.
const SILENT_PENALTY: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));
/// The same for one that was full.
const FULL_PENALTY: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(200));

/// What a request takes along to a replica.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The body, history included.
    pub body: Bytes,
    /// Continue after this event.
    pub last_event: Option<String>,
}

/// The replicas that a request was sent to.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    excluded: Vec<String>,
    /// The replica that has, or may have, begun to run the request. It is asked again
    /// before any other: its connection may have broken while it works on.
    began_at: Option<Arc<Member>>,
    /// Attempts that may have run.
    pub attempts: u32,
    refused_at: usize,
    /// The replica to begin with, while nothing speaks against it.
    placed_on: Option<PlacedReplica>,
    /// Leave of the tenant's limit for the next attempt.
    permit: Permit,
}

impl Trail {
    /// Nobody was asked yet; `placed_on` is to be asked first.
    pub fn new(placed_on: Option<PlacedReplica>, permit: Permit) -> Self {
        Self { placed_on, permit, ..Self::default() }
    }

    /// Notes where the request began to run.
    pub fn note_began(&mut self, member: &Arc<Member>) {
        self.began_at = Some(Arc::clone(member));
    }

    /// Counts an attempt that may have run; it has used up its permit.
    fn note_attempt(&mut self) {
        self.attempts += 1;
        self.permit.lapse();
    }

    /// Leaves a replica out from now on.
    pub fn exclude(&mut self, replica: &str) {
        self.excluded.push(replica.to_owned());
    }
}

/// Sends a request until a replica answers it.
///
/// # Errors
/// When it did not run, or nobody knows.
pub async fn dispatch(
    app: &Arc<App>,
    call: &Call,
    payload: &Payload,
    trail: &mut Trail,
) -> Result<Exchange, Refusal> {
    let service = call.service().ok_or_else(no_replica)?;
    let outgoing = Outgoing {
        method: &call.method,
        uri: &call.uri,
        headers: &call.headers,
        request_id: &call.head.request_id,
        body: payload.body.clone(),
        last_event: payload.last_event.as_deref(),
        tenant: call.tenant_name(),
        deadline: call.deadline,
    };
    loop {
        if call.left() < LEAST_TIME {
            return Err(out_of_time(trail));
        }
        ensure_permit(app, call, trail).await?;
        let Some((member, send_by)) = choose(app, call, service, trail) else {
            return Err(nobody_left(app, call, service, trail));
        };
        let dialect = app.dialect();
        let patience = call.attempt_deadline(trail.attempts);
        let began = Instant::now();
        log_sent(app, call, &member, trail.permit);
        let latest = send_by.into_iter().chain(trail.permit.until()).min();
        let result = exchange(&app.pool, dialect, &member, &outgoing, latest, patience).await;
        let error = match result {
            Ok(exchange) => {
                if send_by.is_some() {
                    COLD_REQUESTS.inc("sent");
                }
                trail.note_attempt();
                return Ok(exchange);
            }
            Err(error) => error,
        };
        ATTEMPTS_FAILED.inc(&error.to_string());
        emit!(
            Event::AttemptFailed;
            request = call.head.request_id,
            replica = member.replica.id,
            error = error,
            attempts = trail.attempts,
            after_ms = began.elapsed().as_millis(),
        );
        let may_still_go = send_by.is_none_or(|send_by| Instant::now() < send_by);
        if error == ExchangeError::Lapsed && may_still_go {
            // Its permit ended while a connection was opened. Nothing speaks against the replica.
            trail.permit.lapse();
            continue;
        }
        note_failed(app, call, &member, &error, trail)?;
        if trail.refused_at >= MAX_REPLICAS_ASKED {
            return Err(nobody_left(app, call, service, trail));
        }
    }
}

fn log_sent(app: &App, call: &Call, member: &Member, permit: Permit) {
    let (own_load, other_load) = member.loads();
    emit!(
        Event::RequestSent;
        request = call.head.request_id,
        replica = member.replica.id,
        own_load = own_load,
        other_load = format!("{:.1}", other_load.get()),
        list_age_ms = app.fleet.list_age().as_millis(),
        left_ms = call.left().as_millis(),
        permit_left_ms = permit.until().map_or(-1, ms_until),
    );
}

fn ms_until(then: Instant) -> i128 {
    then.saturating_duration_since(Instant::now()).as_millis().cast_signed()
}

/// Notes an attempt without an answer, at the replica and in the trail.
///
/// # Errors
/// When no other replica may be asked.
fn note_failed(
    app: &Arc<App>,
    call: &Call,
    member: &Member,
    error: &ExchangeError,
    trail: &mut Trail,
) -> Result<(), Refusal> {
    trail.exclude(&member.replica.id);
    match error {
        ExchangeError::NotSent => {
            failure::report(app, &member.replica.id);
            member.note_trouble(UNREACHABLE_PENALTY.0, UNREACHABLE_PENALTY.1);
            trail.refused_at += 1;
        }
        ExchangeError::Lapsed => COLD_REQUESTS.inc("lapsed"),
        ExchangeError::NotExecuted => {
            member.note_trouble(FULL_PENALTY.0, FULL_PENALTY.1);
            trail.refused_at += 1;
        }
        ExchangeError::Unknown => {
            failure::report(app, &member.replica.id);
            member.note_trouble(SILENT_PENALTY.0, SILENT_PENALTY.1);
            trail.note_attempt();
            let may_repeat = call.route.is_repeatable();
            if !may_repeat || trail.attempts >= call.route.max_attempts {
                return Err(Refusal::Unknown);
            }
        }
        ExchangeError::Deadline => {
            member.note_trouble(SILENT_PENALTY.0, SILENT_PENALTY.1);
            trail.note_attempt();
            if call.left() < LEAST_TIME {
                return Err(Refusal::Deadline);
            }
        }
    }
    Ok(())
}

/// Sees to it that the tenant's limit lets the next attempt run: each one that may run counts.
async fn ensure_permit(app: &App, call: &Call, trail: &mut Trail) -> Result<(), Refusal> {
    if trail.permit.holds(Instant::now()) {
        return Ok(());
    }
    match permit::obtain(app, call).await {
        Ok(permit) => {
            trail.permit = permit;
            Ok(())
        }
        // An earlier attempt may have run, so that "not run" would be a lie.
        Err(_) if trail.attempts > 0 => Err(Refusal::Unknown),
        Err(refusal) => Err(refusal),
    }
}

/// The replica to ask next, and until when the request may be sent there, if that is limited:
/// the one where the request began, then the one where it was placed, else the cheapest. Where
/// a limit holds for cold replicas, only the leader sends requests to them: a gateway does not
/// know what others send there.
fn choose(
    app: &App,
    call: &Call,
    service: &Service,
    trail: &mut Trail,
) -> Option<(Arc<Member>, Option<Instant>)> {
    let homes = call.homes();
    let leaves_out_cold = service.cold.is_some();
    let now = Instant::now();
    if let Some(began_at) = trail.began_at.take()
        && app.fleet.is_open(&began_at.replica, &homes)
        && !(leaves_out_cold && app.fleet.is_cold(&began_at.replica, now))
    {
        return Some((began_at, None));
    }
    if let Some(placed_on) = trail.placed_on.take()
        && let Some(member) = app.fleet.untroubled(&service.name, &placed_on.id, &homes)
    {
        let is_cold = leaves_out_cold && app.fleet.is_cold(&member.replica, now);
        if placed_on.is_valid(is_cold, now) {
            return Some((member, placed_on.send_by));
        }
        COLD_REQUESTS.inc("lapsed");
    }
    let wanted = WantedReplica {
        service: &service.name,
        zone: &app.settings.zone,
        homes: &homes,
        excluded: &trail.excluded,
        request: &call.head.request_id,
        affinity: call.affinity(),
        leaves_out_cold,
    };
    app.fleet.choose(&wanted, &app.weights, &app.pool).map(|member| (member, None))
}

fn no_replica() -> Refusal {
    const RETRY_AFTER: Duration = Duration::from_millis(500);
    Refusal::not_run(NotRunReason::NoReplica, RETRY_AFTER)
}

fn nobody_left(app: &App, call: &Call, service: &Service, trail: &Trail) -> Refusal {
    const RETRY_AFTER: Duration = Duration::from_millis(150);
    /// The leader lets some requests a second through to cold replicas.
    const COLD_RETRY_AFTER: Duration = Duration::from_millis(1_000);
    if trail.attempts > 0 {
        return Refusal::Unknown;
    }
    if service.cold.is_some() && app.fleet.has_only_cold(&service.name, &call.homes()) {
        COLD_REQUESTS.inc("refused");
        return Refusal::not_run(NotRunReason::ReplicasCold, COLD_RETRY_AFTER);
    }
    if trail.refused_at == 0 {
        return no_replica();
    }
    Refusal::not_run(NotRunReason::ReplicasFull, RETRY_AFTER)
}

fn out_of_time(trail: &Trail) -> Refusal {
    if trail.attempts > 0 {
        return Refusal::Deadline;
    }
    Refusal::not_run(NotRunReason::TooLate, Duration::ZERO)
}
