//! Sends a request to replicas until one responds.
//!
//! Another replica is tried if the request certainly did not run, or if it is safe to run it
//! twice. A replica that reports that it did not run the request does not count as an attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::{PlacedReplica, Replica, Service, SoftwareRequirement, SoftwareVersion};
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};

use super::call::Call;
use super::crash::{ClosedConnection, CrashMonitor};
use super::error::{GatewayError, NotExecutedReason};
use super::failure;
use super::late;
use super::permit::{self, Permit};
use crate::app::App;
use crate::fleet::{Member, ReplicaCriteria};
use crate::upstream::{Exchange, ExchangeError, OutgoingRequest, ProcessCheck, exchange};

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

/// Number of replicas that may reject a request before it fails.
const MAX_REJECTIONS: usize = 4;
/// Number of replicas that may be unreachable before a request fails. Covers the loss of a rack.
const MAX_UNREACHABLE: usize = 64;
/// Minimum remaining time with which a request is sent to a replica.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Cost penalty and its duration for a replica that could not be reached.
const UNREACHABLE_PENALTY: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_000));
/// Cost penalty and its duration for a replica that did not respond.
const NO_RESPONSE_PENALTY: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(2_000));
/// Cost penalty and its duration for a replica at capacity.
const AT_CAPACITY_PENALTY: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(200));

/// Body and resume position of a request.
#[derive(Clone, Debug)]
pub struct Payload {
    /// Body, including the history.
    pub body: Bytes,
    /// Id of the event after which a stream is resumed.
    pub last_event_id: Option<String>,
}

/// State of a request across its attempts.
#[derive(Default)]
pub struct AttemptState {
    excluded: Vec<String>,
    /// Replica that may have started the request. It is tried again before any other, since it may
    /// still run the request although the connection broke.
    started_on: Option<Arc<Member>>,
    /// Number of attempts that may have run.
    pub attempts: u32,
    rejections: usize,
    unreachable: usize,
    /// Software that may run the request.
    software: SoftwareRequirement,
    /// Placement by the leader, used for the first attempt if it is still valid.
    placement: Option<PlacedReplica>,
    /// Permit for the next attempt under the tenant's rate limit.
    permit: Permit,
    /// Replicas that closed the connection of an attempt.
    pub crashes: CrashMonitor,
}

impl AttemptState {
    /// Creates the state of a request that has not been sent; `placement` is tried first.
    pub fn new(placement: Option<PlacedReplica>, permit: Permit) -> Self {
        Self { placement, permit, ..Self::default() }
    }

    /// Restricts further attempts to this software.
    pub fn require(&mut self, software: SoftwareRequirement) {
        self.software = software;
    }

    /// Records the replica on which the request started.
    pub fn record_started(&mut self, member: &Arc<Member>) {
        self.started_on = Some(Arc::clone(member));
    }

    /// Counts an attempt that may have run, which uses up its permit.
    fn record_attempt(&mut self) {
        self.attempts += 1;
        self.permit.invalidate();
    }

    /// Excludes a replica from further attempts.
    pub fn exclude(&mut self, replica: &str) {
        self.excluded.push(replica.to_owned());
    }
}

/// Sends a request to replicas until one responds.
///
/// # Errors
/// Returns an error if the request did not run, or if that is unknown.
pub async fn dispatch(
    app: &Arc<App>,
    call: &Arc<Call>,
    payload: &Payload,
    attempt_state: &mut AttemptState,
) -> Result<Exchange, GatewayError> {
    let service = call.service().ok_or_else(no_replica)?;
    let mut outgoing = OutgoingRequest {
        method: &call.method,
        uri: &call.uri,
        headers: &call.headers,
        request_id: &call.head.request_id,
        body: payload.body.clone(),
        last_event_id: payload.last_event_id.as_deref(),
        process_check: match attempt_state.software {
            SoftwareRequirement::Any if call.route.resumable => ProcessCheck::Identify,
            SoftwareRequirement::Any => ProcessCheck::None,
            _ => ProcessCheck::RequireListed,
        },
        is_suspect: false,
        tenant: call.tenant_name(),
        deadline: call.deadline(),
        progress: Arc::default(),
    };
    loop {
        if call.time_left() < MIN_TIME_LEFT {
            return Err(out_of_time(attempt_state));
        }
        if attempt_state.attempts == 0 {
            late::check(app, call)?;
        }
        if let Err(error) = attempt_state.crashes.admit(app, call).await {
            // An earlier attempt may have run, so the request must not be reported as not executed.
            return Err(if attempt_state.attempts > 0 { GatewayError::Unknown } else { error });
        }
        ensure_permit(app, call, attempt_state).await?;
        outgoing.is_suspect = attempt_state.crashes.is_suspect(app, call);
        let is_suspect = outgoing.is_suspect;
        let choice = choose_replica(app, call, service, attempt_state, is_suspect);
        let Some((member, send_by)) = choice else {
            return Err(no_replica_left(app, call, service, attempt_state));
        };
        outgoing.progress = match attempt_state.crashes.begin(app, call, &member.replica).await {
            Ok(progress) => progress,
            Err(_) if attempt_state.attempts > 0 => return Err(GatewayError::Unknown),
            Err(error) => return Err(error),
        };
        let dialect = app.dialect();
        let response_deadline = call.attempt_deadline(attempt_state.attempts);
        outgoing.deadline = call.deadline();
        call.begin_send(&outgoing.progress);
        let started_at = Instant::now();
        log_sent(app, call, &member, attempt_state.permit);
        let send_deadline = send_by.into_iter().chain(attempt_state.permit.expires_at()).min();
        let result =
            exchange(&app.pool, dialect, &member, &outgoing, send_deadline, response_deadline)
                .await;
        let error = match result {
            Ok(exchange) => {
                if send_by.is_some() {
                    COLD_REQUESTS.inc("sent");
                }
                attempt_state.record_attempt();
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
            attempts = attempt_state.attempts,
            after_ms = started_at.elapsed().as_millis(),
        );
        if error.is_not_executed() {
            call.withdraw_send(&outgoing.progress);
        }
        record_outcome(&error, &mut attempt_state.crashes);
        let may_still_send = send_by.is_none_or(|send_by| Instant::now() < send_by);
        if error == ExchangeError::SendTimeout && may_still_send {
            // The permit expired while a connection was opened. The replica is not at fault.
            attempt_state.permit.invalidate();
            continue;
        }
        record_failure(app, call, &member, &error, attempt_state)?;
        let AttemptState { rejections, unreachable, .. } = *attempt_state;
        if rejections >= MAX_REJECTIONS || unreachable >= MAX_UNREACHABLE {
            return Err(no_replica_left(app, call, service, attempt_state));
        }
    }
}

/// Returns the software version of a replica for log lines.
pub fn version_label(replica: &Replica) -> &str {
    replica.version.as_ref().map_or("-", SoftwareVersion::as_str)
}

fn log_sent(app: &App, call: &Call, member: &Member, permit: Permit) {
    let (own_load, other_load) = member.loads();
    emit!(
        Event::RequestSent;
        request = call.head.request_id,
        replica = member.replica.id,
        version = version_label(&member.replica),
        own_load = own_load,
        other_load = format!("{:.1}", other_load.get()),
        list_age_ms = app.fleet.list_age().as_millis(),
        left_ms = call.time_left().as_millis(),
        permit_left_ms = permit.expires_at().map_or(-1, ms_until),
    );
}

fn ms_until(then: Instant) -> i128 {
    then.saturating_duration_since(Instant::now()).as_millis().cast_signed()
}

/// Records what a failed attempt shows of the replica's process.
fn record_outcome(error: &ExchangeError, crashes: &mut CrashMonitor) {
    match error {
        ExchangeError::NotSent
        | ExchangeError::Restarted
        | ExchangeError::SendTimeout
        | ExchangeError::NotExecuted
        | ExchangeError::Unacknowledged => crashes.record_not_executed(),
        ExchangeError::Closed { was_idle: true } => {
            crashes.record_closed(ClosedConnection::WasIdle);
        }
        ExchangeError::Closed { was_idle: false } => {
            crashes.record_closed(ClosedConnection::WasInUse);
        }
        ExchangeError::Unknown | ExchangeError::HeadTooLong | ExchangeError::Deadline => {
            crashes.record_given_up();
        }
    }
}

/// Records a failed attempt in the replica's and the request's state.
///
/// # Errors
/// Returns an error if no other replica may be tried.
fn record_failure(
    app: &Arc<App>,
    call: &Arc<Call>,
    member: &Member,
    error: &ExchangeError,
    attempt_state: &mut AttemptState,
) -> Result<(), GatewayError> {
    attempt_state.exclude(&member.replica.id);
    match error {
        ExchangeError::NotSent => {
            failure::report(app, &member.replica.id);
            member.penalize(UNREACHABLE_PENALTY.0, UNREACHABLE_PENALTY.1);
            attempt_state.unreachable += 1;
        }
        ExchangeError::Restarted => attempt_state.rejections += 1,
        ExchangeError::SendTimeout => COLD_REQUESTS.inc("lapsed"),
        ExchangeError::NotExecuted => {
            member.penalize(AT_CAPACITY_PENALTY.0, AT_CAPACITY_PENALTY.1);
            attempt_state.rejections += 1;
        }
        ExchangeError::Unknown
        | ExchangeError::HeadTooLong
        | ExchangeError::Unacknowledged
        | ExchangeError::Closed { .. } => {
            failure::report(app, &member.replica.id);
            member.penalize(NO_RESPONSE_PENALTY.0, NO_RESPONSE_PENALTY.1);
            attempt_state.record_attempt();
            let may_retry = call.route.is_repeatable();
            if !may_retry || attempt_state.attempts >= call.route.max_attempts {
                return Err(GatewayError::Unknown);
            }
        }
        ExchangeError::Deadline => {
            member.penalize(NO_RESPONSE_PENALTY.0, NO_RESPONSE_PENALTY.1);
            attempt_state.record_attempt();
            if call.time_left() < MIN_TIME_LEFT {
                return Err(GatewayError::Deadline);
            }
        }
    }
    Ok(())
}

/// Ensures that there is a permit for the next attempt. Each attempt that may run needs one.
async fn ensure_permit(
    app: &App,
    call: &Call,
    attempt_state: &mut AttemptState,
) -> Result<(), GatewayError> {
    if attempt_state.permit.is_valid(Instant::now()) {
        return Ok(());
    }
    match permit::acquire(app, call).await {
        Ok(permit) => {
            attempt_state.permit = permit;
            Ok(())
        }
        // An earlier attempt may have run, so the request must not be reported as not executed.
        Err(_) if attempt_state.attempts > 0 => Err(GatewayError::Unknown),
        Err(error) => Err(error),
    }
}

/// Selects the replica for the next attempt, and the deadline for sending, if any. Prefers the
/// replica on which the request started, then the one chosen by the leader, then the one with the
/// least cost. If the service limits requests to cold replicas, only the leader places requests on
/// them, since a gateway does not know what other gateways send.
fn choose_replica(
    app: &App,
    call: &Call,
    service: &Service,
    attempt_state: &mut AttemptState,
    is_suspect: bool,
) -> Option<(Arc<Member>, Option<Instant>)> {
    let homes = call.homes();
    let exclude_cold = service.cold.is_some();
    let now = Instant::now();
    let started_on = attempt_state.started_on.take();
    let software = &attempt_state.software;
    if let Some(Member { replica, .. }) = started_on.as_deref()
        && let Some(member) =
            app.fleet.find_eligible(&replica.service, &replica.id, &homes, software)
        && !(exclude_cold && app.fleet.is_cold(&member.replica, now))
    {
        return Some((member, None));
    }
    if let Some(placement) = attempt_state.placement.take()
        && let Some(member) = app.fleet.find_healthy(&service.name, &placement.id, &homes, software)
    {
        let is_cold = exclude_cold && app.fleet.is_cold(&member.replica, now);
        if placement.is_valid(is_cold, now) {
            return Some((member, placement.send_by));
        }
        COLD_REQUESTS.inc("lapsed");
    }
    let criteria = ReplicaCriteria {
        service: &service.name,
        zone: &app.settings.zone,
        homes: &homes,
        software,
        excluded: &attempt_state.excluded,
        request: &call.head.request_id,
        affinity: call.affinity(),
        exclude_cold,
        is_suspect,
    };
    app.fleet.choose(&criteria, &app.weights, &app.pool).map(|member| (member, None))
}

fn no_replica() -> GatewayError {
    const RETRY_AFTER: Duration = Duration::from_millis(500);
    GatewayError::not_executed(NotExecutedReason::NoReplica, RETRY_AFTER)
}

fn no_replica_left(
    app: &App,
    call: &Call,
    service: &Service,
    attempt_state: &AttemptState,
) -> GatewayError {
    const RETRY_AFTER: Duration = Duration::from_millis(150);
    /// The leader admits some requests per second to cold replicas.
    const COLD_RETRY_AFTER: Duration = Duration::from_millis(1_000);
    if attempt_state.attempts > 0 {
        return GatewayError::Unknown;
    }
    if service.cold.is_some() && app.fleet.has_only_cold(&service.name, &call.homes()) {
        COLD_REQUESTS.inc("refused");
        return GatewayError::not_executed(NotExecutedReason::ReplicasCold, COLD_RETRY_AFTER);
    }
    if attempt_state.rejections == 0 && attempt_state.unreachable == 0 {
        return no_replica();
    }
    GatewayError::not_executed(NotExecutedReason::ReplicasFull, RETRY_AFTER)
}

fn out_of_time(attempt_state: &AttemptState) -> GatewayError {
    if attempt_state.attempts > 0 {
        return GatewayError::Deadline;
    }
    GatewayError::not_executed(NotExecutedReason::TooLittleTime, Duration::ZERO)
}
