//! Requests with a streamed response of server-sent events.
//!
//! Each event is forwarded once it is complete. If a replica fails, a resumable stream continues
//! on another replica after the last forwarded event. Otherwise the response is aborted, so that
//! the client sees that it is incomplete.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_routing::SoftwareRequirement;
use calicohoist_telemetry::{Event, emit};
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;

use super::buffered;
use super::call::{Call, Continuation};
use super::crash::ClosedConnection;
use super::dispatch::{AttemptState, Payload, dispatch, version_label};
use super::error::GatewayError;
use super::failure;
use super::headers::remove_hop_by_hop_headers;
use super::origin::{self, LateOrigin, PendingRecord};
use super::response::{BodyPart, ResponseBody};
use super::response_failure::{FailureReason, ResponseFailure};
use super::turn::Turn;
use super::turn_output::OutputTooLong;
use crate::app::App;
use crate::events::{EventSplitter, EventTooLong, ServerEvent};
use crate::memory::{MemoryLimitReached, MemoryReservation};
use crate::upstream::{Exchange, is_closed_by_peer, is_malformed};

/// Bytes that a queued event uses beside its own: an entry of the queue, the owner that releases the
/// memory, and what the allocator adds to both and to the event.
const EVENT_OVERHEAD_BYTES: usize = 256;
/// Number of received bytes that are split into events at a time.
const PART_BYTES: usize = 4 << 10;

/// Serves a request on a stream route.
///
/// # Errors
/// Returns an error if no replica started a response.
pub async fn serve(
    app: &Arc<App>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, GatewayError> {
    let mut turn = Turn::begin(app, call).await?;
    let payload =
        Payload { body: turn.body.clone(), last_event_id: call.head.last_event_id.clone() };
    let mut attempt_state = AttemptState::new(turn.placement.take(), turn.permit);
    if let Some(continuation) = call.continuation() {
        attempt_state.require(continuation.software.clone());
    }
    let sent_at = Instant::now();
    let exchange = match dispatch(app, call, &payload, &mut attempt_state).await {
        Ok(exchange) => exchange,
        Err(error) => {
            attempt_state.crashes.finish_before_retry(call).await;
            return Err(error);
        }
    };
    turn.sent_at = Some(sent_at);
    turn.replica_id = Some(exchange.member.replica.id.clone());
    if !is_event_stream(&exchange) {
        let deadline = call.deadline();
        let request = &call.head.request_id;
        let response =
            buffered::collect_response(app, request, deadline, exchange, &mut attempt_state)
                .await?;
        buffered::log_end(call, "-", &response, &attempt_state);
        return Ok(response.map(ResponseBody::buffered));
    }
    let mut relay = Relay::new(app, call, turn, payload, attempt_state, exchange);
    // The head is sent only after the first event, so that another replica can still be used until
    // then.
    let lane = relay.exchange.lane();
    let first = match lane.charge_polls(relay.next_event()).await {
        Ok(first) => first,
        Err(error) => {
            relay.attempt_state.crashes.finish_before_retry(call).await;
            return Err(error);
        }
    };
    let record = if first.is_some() { relay.bind_stream().await } else { None };
    let headers = relay.headers();
    let (sender, chunks) = mpsc::unbounded_channel();
    // The replica's response is read meanwhile: neither its slot nor the time of its turn depends on
    // how long the ledger takes.
    tokio::spawn(relay.run(first, sender));
    if let Some(record) = record {
        record.wait(app, call).await;
    }
    let mut response = Response::new(ResponseBody::streamed(chunks));
    *response.headers_mut() = headers;
    Ok(response)
}

fn is_event_stream(exchange: &Exchange) -> bool {
    let content = exchange.response.headers().get(CONTENT_TYPE);
    let content = content.and_then(|value| value.to_str().ok()).unwrap_or_default();
    exchange.response.status() == StatusCode::OK && content.starts_with("text/event-stream")
}

/// Forwards the events of a response, possibly from several replicas in turn.
struct Relay {
    app: Arc<App>,
    call: Arc<Call>,
    turn: Turn,
    payload: Payload,
    attempt_state: AttemptState,
    exchange: Exchange,
    /// Received bytes that were not passed to the splitter yet.
    unsplit: Bytes,
    splitter: EventSplitter,
    /// Memory for the buffer of the splitter and for the output of the turn.
    held: MemoryReservation,
    /// How the stream continues if it is interrupted; `None` if it cannot be resumed.
    continuation: Option<Continuation>,
    /// What began the stream, if its replica did not say so before.
    late_origin: LateOrigin,
    /// Headers of the first replica's response, which are sent to the client.
    headers: HeaderMap,
    last_event_id: Option<u64>,
    /// Whether an event with data had no number, after which no replica can continue.
    has_unnumbered_data: bool,
    /// Replica that was asked again and has not sent a new event since.
    retried: Option<String>,
    events: u64,
    /// Number of bytes that were read from the current replica.
    bytes_read: usize,
}

/// Reason for which no further event could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadError {
    /// The response ended early because the replica closed the connection.
    Closed,
    /// The connection failed in another way, for example because the replica's host is silent.
    ConnectionFailed,
    /// The response is malformed.
    Malformed,
    /// An event exceeds its size limit.
    EventTooLong,
    /// The response exceeds what its request may generate.
    OutputTooLong,
    /// The deadline passed.
    Deadline,
    /// What is held of the response exceeds the memory limit, and others wait for memory.
    GaveWay,
}

impl Relay {
    fn new(
        app: &Arc<App>,
        call: &Arc<Call>,
        turn: Turn,
        payload: Payload,
        attempt_state: AttemptState,
        exchange: Exchange,
    ) -> Self {
        let mut headers = exchange.response.headers().clone();
        remove_hop_by_hop_headers(app.dialect(), &mut headers);
        let last_event_id = payload.last_event_id.as_deref().and_then(|id| id.parse().ok());
        Self {
            app: Arc::clone(app),
            call: Arc::clone(call),
            continuation: call.continuation().cloned(),
            late_origin: LateOrigin::default(),
            turn,
            payload,
            attempt_state,
            exchange,
            unsplit: Bytes::new(),
            splitter: EventSplitter::default(),
            held: app.memory.reserve_nothing(),
            headers,
            last_event_id,
            has_unnumbered_data: false,
            retried: None,
            events: 0,
            bytes_read: 0,
        }
    }

    /// Binds a new stream of a resumable route to the software of the replica that sends its first
    /// event, and records that as its origin.
    async fn bind_stream(&mut self) -> Option<PendingRecord> {
        if self.continuation.is_some() || !self.call.route.resumable {
            return None;
        }
        let identify = self.exchange.identify_process(&self.app.pool, self.app.dialect());
        // A process that is not identified by then is unknown.
        let _ = before(self.call.deadline(), identify).await;
        let Some(origin) = self.exchange.stream_origin() else {
            self.attempt_state.require(SoftwareRequirement::Unknown);
            let replica = &self.exchange.member.replica;
            let (late, record) = origin::record_once_identified(&self.app, &self.call, replica);
            self.late_origin = late;
            return Some(record);
        };
        self.attempt_state.require(origin.software());
        self.continuation = Some(Continuation::from(origin.clone()));
        let is_resumed_by_clients = !self.call.route.retain;
        is_resumed_by_clients.then(|| origin::record(&self.app, &self.call, origin))
    }

    fn headers(&self) -> HeaderMap {
        self.headers.clone()
    }

    /// Forwards the response until it ends, or until the gateway stops, which aborts it.
    async fn run(mut self, first: Option<ServerEvent>, chunks: mpsc::UnboundedSender<BodyPart>) {
        let drain = self.app.drain.clone();
        let end = tokio::select! {
            biased;
            end = self.forward_all(first, &chunks) => end,
            () = drain.answers_due() => Err(GatewayError::Interrupted.to_string()),
        };
        match end {
            // Waits for the ledger until the connections are cut: the replica has done its work.
            Ok(()) => self.complete(chunks).await,
            Err(outcome) => self.log_end(&outcome),
        }
    }

    /// Forwards events until the response ends.
    ///
    /// # Errors
    /// Returns the outcome of the request if the client has left or the stream cannot go on.
    async fn forward_all(
        &mut self,
        first: Option<ServerEvent>,
        chunks: &mpsc::UnboundedSender<BodyPart>,
    ) -> Result<(), String> {
        let mut next = first;
        while let Some(event) = next {
            let lane = self.exchange.lane();
            next = lane.charge_polls(self.forward(event, chunks)).await?;
        }
        Ok(())
    }

    /// Forwards an event, and returns the following one; `None` at the end of the response.
    ///
    /// # Errors
    /// Returns the outcome of the request if the client has left or the stream cannot go on.
    async fn forward(
        &mut self,
        event: ServerEvent,
        chunks: &mpsc::UnboundedSender<BodyPart>,
    ) -> Result<Option<ServerEvent>, String> {
        const CALLER_LEFT: &str = "caller left";
        self.events += 1;
        if chunks.send(BodyPart::Chunk(event.into_bytes())).is_err() {
            return Err(CALLER_LEFT.to_owned());
        }
        let following = tokio::select! {
            biased;
            () = chunks.closed() => return Err(CALLER_LEFT.to_owned()),
            following = self.next_event() => following,
        };
        match following {
            Ok(following) => Ok(following),
            Err(error) => {
                self.attempt_state.crashes.finish_before_retry(&self.call).await;
                Err(error.to_string())
            }
        }
    }

    /// Completes the turn after a complete response, then ends the response to the client.
    async fn complete(mut self, chunks: mpsc::UnboundedSender<BodyPart>) {
        self.log_end("200");
        self.app.response_times.record(&self.call.route, self.call.received_at.elapsed());
        self.attempt_state.crashes.record_answered();
        let Self { call, turn, exchange, app, .. } = self;
        exchange.finish(&app.pool);
        match turn.complete().await {
            Ok(retained) => {
                let has_client_left = chunks.send(BodyPart::End).is_err();
                if let Some(turn) = retained.filter(|_| !has_client_left) {
                    turn.keep_in_background();
                }
            }
            Err(_) => emit!(Event::SettlementLost; request = call.head.request_id),
        }
    }

    fn log_failure(&self, reason: FailureReason) {
        let failure = ResponseFailure { reason, bytes_read: self.bytes_read };
        failure.log(&self.call.head.request_id, &self.exchange.member.replica.id);
    }

    fn log_end(&self, outcome: &str) {
        super::record_end(outcome, self.call.received_at.elapsed());
        emit!(
            Event::RequestEnded;
            request = self.call.head.request_id,
            route = self.call.route.name,
            replica = self.exchange.member.replica.id,
            outcome = outcome,
            events = self.events,
            attempts = self.attempt_state.attempts,
            after_ms = self.call.received_at.elapsed().as_millis(),
        );
    }

    /// Returns the next event, resuming the stream on another replica if necessary and allowed;
    /// `None` at the end of the response.
    async fn next_event(&mut self) -> Result<Option<ServerEvent>, GatewayError> {
        loop {
            match self.read_new_event().await {
                Ok(event) => return Ok(event),
                Err(error) => self.recover(error).await?,
            }
        }
    }

    /// Reads an event that the client has not received yet, and adds it to the output of the turn.
    async fn read_new_event(&mut self) -> Result<Option<ServerEvent>, ReadError> {
        while let Some(event) = self.read_event().await? {
            if self.is_new(&event) {
                self.record_event(&event).await?;
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Adds an event to the output of the turn, once there is memory for it.
    async fn record_event(&mut self, event: &ServerEvent) -> Result<(), ReadError> {
        let data = event.data.as_deref();
        let capacity = self.turn.output.capacity_with(data);
        let capacity = capacity.map_err(|OutputTooLong| ReadError::OutputTooLong)?;
        self.hold(self.splitter.capacity() + capacity).await?;
        self.turn.output.append(data, capacity);
        Ok(())
    }

    /// Reserves memory for at least `bytes` bytes.
    async fn hold(&mut self, bytes: usize) -> Result<(), ReadError> {
        let grown = before(self.call.deadline(), self.held.grow_to(bytes)).await?;
        grown.map_err(|MemoryLimitReached| ReadError::GaveWay)
    }

    /// Releases the memory that is no longer used.
    fn release_unused(&mut self) {
        self.held.shrink_to(self.splitter.capacity() + self.turn.output.capacity());
    }

    /// Continues the stream after its response has ended early, if that is allowed.
    async fn recover(&mut self, error: ReadError) -> Result<(), GatewayError> {
        self.log_read_error(error);
        // Others may wait for this memory.
        self.discard_received();
        // No two replicas may work on a stream, and the next one may need long for its head.
        self.exchange.lane().closing().close().await;
        let crashes = &mut self.attempt_state.crashes;
        match error {
            ReadError::Closed => crashes.record_closed(ClosedConnection::WasInUse),
            _ => crashes.record_given_up(),
        }
        match error {
            ReadError::Deadline => return Err(GatewayError::Deadline),
            ReadError::GaveWay => return Err(GatewayError::Unknown),
            ReadError::Closed | ReadError::ConnectionFailed => self.prefer_same_replica(),
            ReadError::OutputTooLong => {
                self.report_broken();
                return Err(GatewayError::Unknown);
            }
            // The replica would send the same again.
            ReadError::Malformed | ReadError::EventTooLong => self.exclude_replica(),
        }
        self.resume().await
    }

    /// Tries the same replica first, since it may still run the request although the connection
    /// broke. Without a new event, that is done only once.
    fn prefer_same_replica(&mut self) {
        let member = &self.exchange.member;
        if self.retried.as_deref() == Some(member.replica.id.as_str()) {
            return self.exclude_replica();
        }
        self.retried = Some(member.replica.id.clone());
        self.attempt_state.record_started(member);
    }

    fn exclude_replica(&mut self) {
        self.attempt_state.exclude(&self.exchange.member.replica.id);
    }

    fn discard_received(&mut self) {
        self.unsplit = Bytes::new();
        self.splitter = EventSplitter::default();
        self.release_unused();
    }

    fn log_read_error(&self, error: ReadError) {
        match error {
            ReadError::Deadline => self.log_failure(FailureReason::Deadline),
            ReadError::GaveWay => self.log_failure(FailureReason::NoMemory),
            ReadError::EventTooLong => self.log_failure(FailureReason::TooLarge),
            ReadError::OutputTooLong => self.log_failure(FailureReason::MoreThanRequested),
            // Logged as a broken stream.
            ReadError::Closed | ReadError::ConnectionFailed | ReadError::Malformed => {}
        }
    }

    /// Returns whether the client has not received this event yet. A resumed run may repeat
    /// events.
    fn is_new(&mut self, event: &ServerEvent) -> bool {
        let Some(id) = event.id.as_deref().and_then(|id| id.parse::<u64>().ok()) else {
            self.has_unnumbered_data |= event.data.is_some();
            return true;
        };
        let is_new = self.last_event_id.is_none_or(|last| id > last);
        if is_new {
            self.last_event_id = Some(id);
            self.retried = None;
        }
        is_new
    }

    async fn read_event(&mut self) -> Result<Option<ServerEvent>, ReadError> {
        loop {
            match self.splitter.event_bytes() {
                Ok(Some(bytes)) => return self.take_event(bytes).await.map(Some),
                Ok(None) => {}
                Err(EventTooLong) => return Err(ReadError::EventTooLong),
            }
            if !self.unsplit.is_empty() {
                self.split_part().await?;
                continue;
            }
            match self.read_frame().await? {
                Some(frame) => {
                    self.unsplit = frame.into_data().unwrap_or_default();
                    self.bytes_read += self.unsplit.len();
                }
                None if self.splitter.has_partial_event() => return Err(ReadError::Closed),
                None => return Ok(None),
            }
        }
    }

    async fn read_frame(&mut self) -> Result<Option<Frame<Bytes>>, ReadError> {
        let frame = tokio::select! {
            biased;
            () = self.held.revoked() => return Err(ReadError::GaveWay),
            frame = before(self.call.deadline(), self.exchange.response.body_mut().frame()) => frame?,
        };
        match frame {
            Some(Err(error)) if is_closed_by_peer(&error) => Err(ReadError::Closed),
            Some(Err(error)) if is_malformed(&error) => Err(ReadError::Malformed),
            Some(Err(_)) => Err(ReadError::ConnectionFailed),
            Some(Ok(frame)) => Ok(Some(frame)),
            None => Ok(None),
        }
    }

    /// Takes a complete event from the splitter. Events are read as they arrive, so that a slow
    /// client does not occupy a slot of the replica; the replica has to wait only when the memory
    /// limit is reached.
    async fn take_event(&mut self, bytes: usize) -> Result<ServerEvent, ReadError> {
        let reservation = self.held.reserve_beside(bytes + EVENT_OVERHEAD_BYTES);
        let reservation = before(self.call.deadline(), reservation).await?;
        let event = self.splitter.take_event(bytes);
        self.release_unused();
        Ok(ServerEvent::parse(reservation.attach_to(event)))
    }

    /// Passes a part of the received bytes to the splitter, once there is memory for it.
    async fn split_part(&mut self) -> Result<(), ReadError> {
        let part = self.unsplit.split_to(PART_BYTES.min(self.unsplit.len()));
        let capacity = self.splitter.capacity_with(part.len());
        self.hold(capacity + self.turn.output.capacity()).await?;
        self.splitter.push(&part);
        // Many small events can arrive at once, and other requests must not wait for all of them.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// Records that the replica has broken the stream, so that others are preferred.
    fn report_broken(&self) {
        const PENALTY: Duration = Duration::from_millis(100);
        const PENALTY_DURATION: Duration = Duration::from_millis(2_000);
        let failed = &self.exchange.member;
        failed.penalize(PENALTY, PENALTY_DURATION);
        failure::report(&self.app, &failed.replica.id);
        emit!(
            Event::StreamBroken;
            request = self.call.head.request_id,
            replica = failed.replica.id,
            version = version_label(&failed.replica),
            events = self.events,
            resumable = self.call.route.resumable,
        );
    }

    /// Resumes the stream on another replica after the last event.
    async fn resume(&mut self) -> Result<(), GatewayError> {
        self.report_broken();
        if !self.call.route.resumable || self.has_unnumbered_data {
            return Err(GatewayError::Unknown);
        }
        if self.continuation.is_none() {
            self.continuation = self.late_origin.get().cloned().map(Continuation::from);
        }
        if let Some(continuation) = &mut self.continuation {
            origin::add_listed_version(&self.app, continuation);
            self.attempt_state.require(continuation.software.clone());
            if origin::check_beginning(&self.app, continuation).await.is_err() {
                return Err(GatewayError::Unknown);
            }
        }
        // Until then, the client has what it had when it resumed the stream.
        if let Some(id) = self.last_event_id {
            self.payload.last_event_id = Some(id.to_string());
        }
        let exchange =
            dispatch(&self.app, &self.call, &self.payload, &mut self.attempt_state).await?;
        if !is_event_stream(&exchange) {
            return Err(GatewayError::Unknown);
        }
        // The timing of a resumed run says nothing about the replica's speed.
        self.turn.sent_at = None;
        self.turn.replica_id = Some(exchange.member.replica.id.clone());
        self.exchange = exchange;
        self.bytes_read = 0;
        Ok(())
    }
}

/// Waits for a result until a deadline.
async fn before<T>(deadline: Instant, result: impl Future<Output = T>) -> Result<T, ReadError> {
    tokio::time::timeout_at(deadline.into(), result).await.map_err(|_| ReadError::Deadline)
}
