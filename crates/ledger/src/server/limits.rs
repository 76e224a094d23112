//! Permits at the leader, and what every machine knows of those that others have issued.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_limiter::{
    IssueOutcome, IssuedPermits, LimitTolerance, PermitAnswer, PermitIssuer, PermitPurpose,
    PermitRequest, TenantUsage,
};
use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::replica::{ReplicaHandle, Request, Response};
use crate::commands::{Command, Output};
use crate::state::{KEPT_MS, PermitNote, PermitNotes};

/// Time between two notes in the log, unless a tenant may get no more before one: short
/// against a window of seconds, and ten entries a second beside hundreds of turns.
const NOTE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports on tenants that press on their limits.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Tenants that are named in one report, those with the least left.
const MOST_REPORTED: usize = 5;
/// Share of a limit from which on its use is reported.
const REPORTED_SHARE: f64 = 0.75;

/// Issues permits in one term after the other.
pub struct LimitDesk {
    tolerance: LimitTolerance,
    state: Mutex<DeskState>,
    /// There is something to note.
    work: Notify,
    /// Somebody waits for it.
    hurry: Notify,
}

struct DeskState {
    /// The term in which it issues.
    term: u64,
    issuer: PermitIssuer,
    /// When it noted last in this term.
    noted: Option<Instant>,
    /// Notes of all leaders, oldest first.
    known: VecDeque<PermitNote>,
    /// The clock of the notes when the newest one was read here, and when that was.
    clock: (u64, Instant),
}

/// What is to be noted.
struct UnnotedPermits {
    term: u64,
    issued: Vec<IssuedPermits>,
    elapsed: Duration,
}

impl LimitDesk {
    /// Keeps limits as exactly as `tolerance` says.
    pub fn new(tolerance: LimitTolerance) -> Self {
        let state = DeskState {
            term: 0,
            issuer: PermitIssuer::new(tolerance),
            noted: None,
            known: VecDeque::new(),
            clock: (0, Instant::now()),
        };
        Self { tolerance, state: Mutex::new(state), work: Notify::new(), hurry: Notify::new() }
    }

    /// What becomes of a request. `term` is that in which this machine leads now, with a
    /// quorum behind it.
    pub fn issue(
        &self,
        term: u64,
        request: &PermitRequest,
        purpose: PermitPurpose<'_>,
    ) -> IssueOutcome {
        let (issued, is_urgent) = self.within(term, |issuer, now| {
            let issued = issuer.issue(request, purpose, now);
            (issued, issuer.needs_logging(&request.tenant))
        });
        if !matches!(issued, IssueOutcome::Answer(PermitAnswer::OverLimit(_))) {
            self.work.notify_one();
        }
        if is_urgent {
            self.hurry.notify_one();
        }
        issued
    }

    /// The refusal of a request that no purpose could save; nothing has to be written for it.
    pub fn refuse_early(&self, term: u64, request: &PermitRequest) -> Option<PermitAnswer> {
        let issued = self.within(term, |issuer, now| {
            let is_exhausted = issuer.is_exhausted(request, now);
            is_exhausted.then(|| issuer.issue(request, PermitPurpose::NoProgram, now))
        });
        match issued {
            Some(IssueOutcome::Answer(answer)) => Some(answer),
            Some(IssueOutcome::Delayed(..) | IssueOutcome::LogBacklog) | None => None,
        }
    }

    /// Learns what the log says of permits.
    pub fn learn(&self, notes: &PermitNotes) {
        let mut state = self.state.lock();
        state.clock = (notes.clock_ms(), Instant::now());
        let newest = state.known.back().map_or(0, |note| note.number);
        state.known.extend(notes.after(newest).cloned());
        let oldest = notes.clock_ms().saturating_sub(KEPT_MS);
        while state.known.front().is_some_and(|note| note.at_ms < oldest) {
            state.known.pop_front();
        }
    }

    /// What tenants use of their limits.
    pub fn uses(&self) -> Vec<TenantUsage> {
        self.state.lock().issuer.usage(Instant::now())
    }

    fn within<T>(&self, term: u64, act: impl FnOnce(&mut PermitIssuer, Instant) -> T) -> T {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.term != term {
            state.term = term;
            state.noted = None;
            state.issuer = PermitIssuer::new(self.tolerance);
            state.inherit();
        }
        act(&mut state.issuer, now)
    }

    fn take_unnoted(&self) -> UnnotedPermits {
        let now = Instant::now();
        let mut state = self.state.lock();
        let elapsed = state.noted.map_or(Duration::ZERO, |noted| now - noted);
        state.noted = Some(now);
        UnnotedPermits { term: state.term, issued: state.issuer.take_unlogged(), elapsed }
    }

    /// Logs which tenants press on their limits.
    fn tell_pressed(&self) {
        for used in self.uses().into_iter().take(MOST_REPORTED) {
            let issuable = self.tolerance.issuable(used.limit);
            if used.issued as f64 >= issuable * REPORTED_SHARE {
                emit!(
                    Event::LimitPressed;
                    tenant = used.tenant,
                    limit = used.limit,
                    issued = used.issued,
                    issuable = issuable as u64,
                    programs = used.programs,
                );
            }
        }
    }

    /// Counts what was taken as noted, or as still to be noted.
    fn end_note(&self, term: u64, issued: &[IssuedPermits], is_noted: bool) {
        let mut state = self.state.lock();
        if state.term != term {
            return;
        }
        if is_noted {
            state.issuer.confirm_logged(issued);
        } else {
            state.issuer.return_unlogged(issued);
        }
    }

    /// Notes in the log what is issued, for as long as the process runs.
    pub async fn keep_notes(self: Arc<Self>, replica: ReplicaHandle) {
        let mut told = Instant::now();
        loop {
            self.work.notified().await;
            if told.elapsed() >= REPORT_INTERVAL {
                told = Instant::now();
                self.tell_pressed();
            }
            let UnnotedPermits { term, issued, elapsed } = self.take_unnoted();
            if issued.is_empty() {
                continue;
            }
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or_default();
            let note = Command::NotePermits { issued: issued.clone(), elapsed_ms };
            let response = replica.call(Request::Change(note)).await;
            let is_noted = matches!(response, Response::Changed(Output::Done));
            self.end_note(term, &issued, is_noted);
            if !is_noted {
                self.work.notify_one();
            }
            let _ = tokio::time::timeout(NOTE_INTERVAL, self.hurry.notified()).await;
        }
    }
}

impl DeskState {
    /// Takes over what earlier leaders have noted. The time since the newest note was read
    /// here is counted, that between two leaders is not, so that permits seem younger than
    /// they are.
    fn inherit(&mut self) {
        let (clock_ms, read) = self.clock;
        let issued = self.known.iter().flat_map(|note| &note.issued);
        emit!(
            Event::PermitsInherited;
            term = self.term,
            newest_note = self.known.back().map_or(0, |note| note.number),
            permits = issued.map(|issued| u64::from(issued.count)).sum::<u64>(),
        );
        for note in &self.known {
            let age = Duration::from_millis(clock_ms.saturating_sub(note.at_ms));
            let Some(at) = read.checked_sub(age) else {
                continue;
            };
            for issued in &note.issued {
                self.issuer.restore(issued, at);
            }
        }
    }
}
