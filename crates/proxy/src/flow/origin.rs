//! Origins of resumable streams.
//!
//! A client may resume a stream at any gateway, and replicas do not check which software began it.
//! The gateway that begins a stream therefore records its origin in the ledger, where all gateways
//! find it. The first event is forwarded once the record is stored, so that the loss of the gateway
//! leaves no client with events of unknown origin.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use calicohoist_ledger::commands::{ORIGIN_CONFLICT, Reservation, read_origin, store_origin};
use calicohoist_ledger::{LedgerRequest, LedgerResponse};
use calicohoist_routing::{Incarnation, Replica, SoftwareRequirement, StreamOrigin};
use calicohoist_scheduler::queue_timeout;
use calicohoist_telemetry::metrics::Counter;
use calicohoist_telemetry::{Event, emit};
use calicohoist_wire::{decode, encode};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::call::{Call, Continuation};
use super::error::{GatewayError, NotExecutedReason};
use super::turn::{LEDGER_TIMES, RESERVE_TIMEOUT, RETRY_AFTER};
use super::unless_stale;
use crate::app::App;
use crate::upstream::{StartCheck, check_start, check_start_anew};

/// Timeout for recording an origin. Covers a long absence of a leader.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which the first event of a stream waits for the record. Covers a leader election.
const RECORD_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum length of the id of a stream, in bytes. No client can name a stream with a longer one.
const MAX_ID_BYTES: usize = 255;
/// Delay before an origin is looked up again that may still be on its way to the ledger.
const SECOND_LOOKUP_DELAY: Duration = Duration::from_millis(50);
/// Delays before a replica is asked again which process serves a stream that has begun.
const IDENTIFICATION_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(2_000),
];
/// Retry delay if no replica has the required software. About the interval between readings of the
/// replica list.
const REPLICA_RETRY_AFTER: Duration = Duration::from_millis(500);

static STREAMS_RESUMED: Counter = Counter::new(
    "calicohoist_proxy_streams_resumed_total",
    "Streams that clients resumed, by what is known of their origin",
    "origin",
);
static ORIGINS_RECORDED: Counter = Counter::new(
    "calicohoist_proxy_stream_origins_total",
    "Streams that began on resumable routes, by what became of the record of their origin",
    "outcome",
);

/// Stored form of an origin. New variants are added at the end.
#[derive(Debug, Serialize, Deserialize)]
enum OriginRecord {
    V1(StreamOrigin),
}

/// An origin that is being recorded.
pub struct PendingRecord {
    /// Closed without a message if the origin cannot be recorded.
    stored: oneshot::Receiver<()>,
}

impl PendingRecord {
    /// Waits until the origin is recorded or cannot be. Without a leader the stream goes on after
    /// [`RECORD_WAIT`], and at once if there has been none for longer: its client can resume it
    /// once the record is stored, which this gateway goes on trying.
    pub async fn wait(self, app: &App, call: &Call) {
        if !app.is_current(Instant::now()) {
            return;
        }
        let limit = queue_timeout(call.time_left(), RECORD_WAIT);
        if tokio::time::timeout(limit, self.stored).await.is_err() {
            ORIGINS_RECORDED.inc("late");
        }
    }
}

/// A stream as named in log lines and in the ledger.
struct StreamName {
    request: String,
    scoped: String,
}

impl StreamName {
    fn of(call: &Call) -> Self {
        let request = call.head.request_id.clone();
        Self { scoped: call.scoped(&request), request }
    }
}

/// Origin of a stream whose replica is asked while the stream runs which process serves it.
#[derive(Clone, Default)]
pub struct LateOrigin {
    origin: Arc<OnceLock<StreamOrigin>>,
}

impl LateOrigin {
    /// Returns the origin, once it is known.
    pub fn get(&self) -> Option<&StreamOrigin> {
        self.origin.get()
    }
}

/// Records the origin of the stream that `call` begins, in the background.
pub fn record(app: &Arc<App>, call: &Call, origin: StreamOrigin) -> PendingRecord {
    let (sender, stored) = oneshot::channel();
    let name = StreamName::of(call);
    let app = Arc::clone(app);
    let guard = app.begin_task();
    tokio::spawn(async move {
        let _guard = guard;
        if store(&app, &name, origin).await {
            // The stream may have ended, or may not have waited.
            let _ = sender.send(());
        }
    });
    PendingRecord { stored }
}

/// Finds out which process of `replica` serves the stream that `call` begins, which is on a connection
/// that was opened since the replica was listed, and records the origin, in the background. The first
/// event waits for the first answer only.
pub fn record_once_identified(
    app: &Arc<App>,
    call: &Call,
    replica: &Replica,
) -> (LateOrigin, PendingRecord) {
    let (sender, stored) = oneshot::channel();
    let late = LateOrigin::default();
    let (found, name) = (late.clone(), StreamName::of(call));
    let (app, replica) = (Arc::clone(app), replica.clone());
    tokio::spawn(async move {
        let mut sender = Some(sender);
        for delay in IDENTIFICATION_DELAYS {
            tokio::time::sleep(delay).await;
            match check_start_anew(&app.pool, app.dialect(), &replica).await {
                StartCheck::Listed => {
                    let _guard = app.begin_task();
                    let origin = found.origin.get_or_init(|| StreamOrigin::confirmed_at(&replica));
                    if store(&app, &name, origin.clone()).await
                        && let Some(sender) = sender
                    {
                        let _ = sender.send(());
                    }
                    return;
                }
                // The process that serves the stream may be this one, the listed one or another.
                StartCheck::Restarted(_) => break,
                StartCheck::NoAnswer => sender = None,
            }
        }
        record_loss(&name, "the replica did not identify the process");
    });
    (late, PendingRecord { stored })
}

/// Stores a record; returns whether it is durable.
async fn store(app: &App, name: &StreamName, origin: StreamOrigin) -> bool {
    if name.request.len() > MAX_ID_BYTES {
        record_loss(name, "its id is too long");
        return false;
    }
    let record = match encode(&OriginRecord::V1(origin)) {
        Ok(record) => record,
        Err(error) => {
            record_loss(name, &error.to_string());
            return false;
        }
    };
    let question = LedgerRequest::Settle(store_origin(&name.scoped, record));
    let asked_at = Instant::now();
    let answer = app.ledger.request(&question, asked_at + RECORD_TIMEOUT).await;
    LEDGER_TIMES.observe("origin", asked_at.elapsed());
    match answer {
        Ok(LedgerResponse::Settled) => {
            ORIGINS_RECORDED.inc("recorded");
            let took_ms = asked_at.elapsed().as_millis();
            emit!(Event::StreamOriginRecorded; request = name.request, took_ms = took_ms);
            return true;
        }
        Ok(_) => record_loss(name, "the ledger has no room for it"),
        Err(error) => record_loss(name, &error.to_string()),
    }
    false
}

fn record_loss(name: &StreamName, reason: &str) {
    ORIGINS_RECORDED.inc("lost");
    let shown = name.request.get(..MAX_ID_BYTES).unwrap_or(&name.request);
    emit!(Event::StreamOriginLost; request = shown, reason = reason);
}

/// Determines where the stream that `call` resumes may continue, if it resumes one.
///
/// # Errors
/// Returns an error if the origin is unknown, if no replica can continue the stream, or if its route does
/// not allow that.
pub async fn resolve(app: &App, call: &Call) -> Result<(), GatewayError> {
    let result = if call.resumes_without_permission() {
        // The route may have been resumable when the stream began, and replicas continue any stream.
        Err(unless_stale(app, GatewayError::NotResumable))
    } else if call.resumes_stream() {
        find_continuation(app, call).await
    } else {
        return Ok(());
    };
    STREAMS_RESUMED.inc(match &result {
        Ok(()) => "recorded",
        Err(GatewayError::UnknownStream) => "unknown",
        Err(GatewayError::NotResumable) => "not_resumable",
        Err(GatewayError::NotExecuted {
            reason: NotExecutedReason::NoReplicaOfVersion, ..
        }) => "no_replica",
        Err(GatewayError::NotExecuted { reason: NotExecutedReason::PendingRecord, .. }) => {
            "pending"
        }
        Err(_) => "unavailable",
    });
    result
}

/// Finds where the stream may continue. A missing record says nothing about the software that began
/// the stream, whatever the replicas run now.
async fn find_continuation(app: &App, call: &Call) -> Result<(), GatewayError> {
    // What the client has of a retained turn is part of it, and is not stored anywhere.
    if call.route.retain {
        return Err(GatewayError::UnknownStream);
    }
    let first = call.head.resumes.as_deref().ok_or(GatewayError::UnknownStream)?;
    let origin = find_twice(app, call, first).await?.ok_or_else(|| missing_record(app))?;
    let mut continuation = Continuation::from(origin);
    add_listed_version(app, &mut continuation);
    let Continuation { service, software, began_at } = &continuation;
    emit!(
        Event::StreamResumed;
        request = call.head.request_id,
        resumes = first,
        service = service,
        software = software,
        began_at = began_at.as_deref().unwrap_or("-"),
    );
    if !call.route.sends_to(service) {
        return Err(GatewayError::UnknownStream);
    }
    check_beginning(app, &continuation).await?;
    if !app.fleet.has_eligible(service, &call.homes(), software) {
        let reason = NotExecutedReason::NoReplicaOfVersion;
        return Err(GatewayError::not_executed(reason, REPLICA_RETRY_AFTER));
    }
    call.continue_at(continuation);
    Ok(())
}

/// Checks that no other software than recorded can have begun the stream: a replica that has restarted
/// under its identity may have begun it before the list showed that.
///
/// # Errors
/// Returns an error if the replica has restarted with other software, or with software that the list
/// does not show yet.
pub async fn check_beginning(app: &App, continuation: &Continuation) -> Result<(), GatewayError> {
    let Continuation { service, software, began_at } = continuation;
    let Some(began_at) = began_at else {
        return Ok(());
    };
    let Some(current) = app.fleet.current_incarnation(service, began_at) else {
        return Ok(());
    };
    if is_later_start(began_at, &current.replica.id) {
        return Err(uncertain_version());
    }
    if current.replica.id != *began_at {
        let has_same_software = software.admits(&current.replica);
        return if has_same_software { Ok(()) } else { Err(GatewayError::UnknownStream) };
    }
    match check_start(&app.pool, app.dialect(), &current.replica).await {
        StartCheck::Listed => Ok(()),
        StartCheck::Restarted(_) | StartCheck::NoAnswer => Err(uncertain_version()),
    }
}

/// Adds the version of the process that began a stream, if the list shows it by now.
pub fn add_listed_version(app: &App, continuation: &mut Continuation) {
    let SoftwareRequirement::Replica(id) = &continuation.software else {
        return;
    };
    // Without a start time, the listed process may be another one.
    if Incarnation::from(id.as_str()).start.is_none() {
        return;
    }
    let current = app.fleet.current_incarnation(&continuation.service, id);
    let version = current.filter(|current| current.replica.id == *id);
    if let Some(version) = version.and_then(|current| current.replica.version.clone()) {
        continuation.software = SoftwareRequirement::Version(version);
        continuation.began_at = None;
    }
}

/// Returns whether `id` is a later start of the replica than the `listed` one.
fn is_later_start(id: &str, listed: &str) -> bool {
    Incarnation::from(id).start > Incarnation::from(listed).start
}

fn uncertain_version() -> GatewayError {
    GatewayError::not_executed(NotExecutedReason::UncertainVersion, REPLICA_RETRY_AFTER)
}

/// Returns the error for a stream of which the ledger has no record. Another gateway writes it late if
/// there was no leader.
fn missing_record(app: &App) -> GatewayError {
    if app.may_have_pending_writes(Instant::now()) {
        return pending_record();
    }
    GatewayError::UnknownStream
}

fn pending_record() -> GatewayError {
    GatewayError::not_executed(NotExecutedReason::PendingRecord, RETRY_AFTER)
}

async fn find_twice(
    app: &App,
    call: &Call,
    first: &str,
) -> Result<Option<StreamOrigin>, GatewayError> {
    if let Some(origin) = find(app, call, first).await? {
        return Ok(Some(origin));
    }
    tokio::time::sleep(SECOND_LOOKUP_DELAY).await;
    find(app, call, first).await
}

/// Looks up the origin of the stream that the request `first` began. Returns `None` if the ledger
/// has none.
///
/// # Errors
/// Returns an error if there is no leader, if another gateway that is cut off from it may still write the
/// record, or if the record names no single origin.
async fn find(app: &App, call: &Call, first: &str) -> Result<Option<StreamOrigin>, GatewayError> {
    let reserve = read_origin(&call.scoped(first), &call.scoped(&call.head.request_id));
    let question = LedgerRequest::Reserve { reserve, placement: None, permit: None };
    let deadline = Instant::now() + queue_timeout(call.time_left(), RESERVE_TIMEOUT);
    match app.ledger.request(&question, deadline).await {
        Ok(LedgerResponse::Reserved { reservation: Reservation::Granted, history, .. }) => {
            read_record(&call.head.request_id, &history).map(Some)
        }
        Ok(LedgerResponse::Reserved { reservation: Reservation::NoSuchTurn, .. }) => Ok(None),
        Ok(LedgerResponse::Noted) => Err(pending_record()),
        _ => Err(GatewayError::not_executed(NotExecutedReason::LedgerUnavailable, RETRY_AFTER)),
    }
}

/// Decodes a record.
///
/// # Errors
/// Returns an error for a record that a later build wrote, and for a request id that has begun streams of
/// different origins.
fn read_record(request: &str, record: &[u8]) -> Result<StreamOrigin, GatewayError> {
    if record == ORIGIN_CONFLICT {
        let reason = "its request id has begun several streams";
        emit!(Event::StreamOriginLost; request = request, reason = reason);
        return Err(GatewayError::UnknownStream);
    }
    match decode(record) {
        Ok(OriginRecord::V1(origin)) => Ok(origin),
        Err(error) => {
            emit!(Event::StreamOriginLost; request = request, reason = error);
            Err(GatewayError::UnknownStream)
        }
    }
}
