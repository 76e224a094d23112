//! Decides which requests ended without a complete answer for no reason outside the node that
//! took them.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::arrivals::{Arrival, ArrivalLog, Outcome};
use crate::attempts::{Attempt, AttemptLog, Cut, Ending};
use crate::timeline::{Machine, SignalKind, Timeline};

/// Time after its last byte in which a request may cross the close of its connection.
pub const CROSSING_SLACK: Duration = Duration::from_millis(200);
/// How long before a request a disruption still matters.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time that a stopping node has.
pub const GRACE: Duration = Duration::from_secs(8);
/// How long after its grace a stop still matters.
pub const STOP_MARGIN: Duration = Duration::from_secs(1);
/// Time in which a configuration or a reload takes effect.
pub const APPLY_TIME: Duration = Duration::from_secs(2);
/// How long after taking effect a configuration still matters.
pub const CONFIGURATION_MARGIN: Duration = Duration::from_secs(1);
/// Requests sent later than this after a stop began must be finished whatever their replica does.
pub const EARLY_IN_STOP: Duration = Duration::from_secs(3);
/// Part of the grace after which a working replica excuses a cut.
pub const WORK_SHARE: (u32, u32) = (5, 6);
/// Number of losses on kept connections away from stops and reloads that a run may have.
pub const MAX_KEPT_LOSSES: usize = 3;
/// Number of losses of a kind that are described.
const MAX_DESCRIBED: u64 = 2;

/// What was done to the node meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Occasion {
    Stop,
    Reload,
    Configuration,
    Calm,
}

/// A request that ended without a complete answer, and should not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    pub occasion: Occasion,
    pub was_passed_on: bool,
    /// Whether part of the answer arrived.
    pub was_begun: bool,
    pub cut: Cut,
    /// Whether it was sent on a connection with earlier requests.
    pub is_kept: bool,
}

/// Why a request may end without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    NotConnected,
    NotSent,
    CallerLeft,
    CallerTimedOut,
    TimeLimitReached,
    NodeDisrupted,
    ReplicaDisrupted,
    ReplicaBrokeOff,
    /// Sent behind a request whose answer announced the close of the connection.
    BehindClose,
    /// The request crossed the close of its connection, and was not passed on.
    Crossed,
    /// Likewise, as the first request of its connection.
    CrossedFirst,
    /// The replica worked on it until shortly before the end of the grace.
    GraceEnded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Answered,
    Excused(Excuse),
    Lost(Loss),
}

/// Decides about a request that was passed on as `arrivals` tell.
pub fn judge(attempt: &Attempt, arrivals: &[Arrival], timeline: &Timeline) -> Verdict {
    let (cut, was_begun) = match attempt.ending {
        Ending::Complete(_) => return Verdict::Answered,
        Ending::Unconnected => return Verdict::Excused(Excuse::NotConnected),
        Ending::Unsent => return Verdict::Excused(Excuse::NotSent),
        Ending::Incomplete(_, cut) => (cut, true),
        Ending::Unanswered(cut) => (cut, false),
    };
    if let Some(excuse) = find_excuse(attempt, cut, arrivals, timeline) {
        return Verdict::Excused(excuse);
    }
    Verdict::Lost(Loss {
        occasion: occasion(attempt, timeline),
        was_passed_on: !arrivals.is_empty(),
        was_begun,
        cut,
        is_kept: attempt.position > 1,
    })
}

fn find_excuse(
    attempt: &Attempt,
    cut: Cut,
    arrivals: &[Arrival],
    timeline: &Timeline,
) -> Option<Excuse> {
    match cut {
        Cut::Left => return Some(Excuse::CallerLeft),
        Cut::TimedOut => return Some(Excuse::CallerTimedOut),
        Cut::Closed | Cut::Reset => {}
    }
    if attempt.ended >= attempt.started + attempt.time_limit {
        return Some(Excuse::TimeLimitReached);
    }
    let is_disrupted = |machine| {
        let from = attempt.started.checked_sub(CONTACT_TIME).unwrap_or(attempt.started);
        timeline.is_disrupted(&machine, from, attempt.ended)
    };
    if is_disrupted(Machine::Node(attempt.node)) {
        return Some(Excuse::NodeDisrupted);
    }
    if let Some(last) = arrivals.last() {
        if last.outcome == Outcome::BrokenOff {
            return Some(Excuse::ReplicaBrokeOff);
        }
        if is_disrupted(Machine::Replica(last.replica.clone())) {
            return Some(Excuse::ReplicaDisrupted);
        }
        if ends_with_grace(attempt, last, timeline) {
            return Some(Excuse::GraceEnded);
        }
        return None;
    }
    if attempt.is_behind_close {
        return Some(Excuse::BehindClose);
    }
    let Some(sent) = attempt.sent else {
        return Some(Excuse::NotSent);
    };
    let crossed = if attempt.position > 1 { Excuse::Crossed } else { Excuse::CrossedFirst };
    (attempt.ended <= sent + CROSSING_SLACK).then_some(crossed)
}

/// Returns whether the replica was still at work near the end of the grace of a stop.
fn ends_with_grace(attempt: &Attempt, arrival: &Arrival, timeline: &Timeline) -> bool {
    let (numerator, denominator) = WORK_SHARE;
    timeline.signals.iter().any(|signal| {
        let last_part = signal.at + GRACE * numerator / denominator;
        signal.kind == SignalKind::Stop
            && signal.node == attempt.node
            && attempt.started <= signal.at + EARLY_IN_STOP
            && attempt.ended >= last_part
            && attempt.ended <= signal.at + GRACE + STOP_MARGIN
            && arrival.finished.is_none_or(|finished| finished >= last_part)
    })
}

fn occasion(attempt: &Attempt, timeline: &Timeline) -> Occasion {
    let has_signal = |kind, is_near: &dyn Fn(Instant) -> bool| {
        timeline
            .signals
            .iter()
            .any(|signal| signal.kind == kind && signal.node == attempt.node && is_near(signal.at))
    };
    let is_in_stop =
        |at: Instant| at <= attempt.ended && attempt.started <= at + GRACE + STOP_MARGIN;
    let is_in_reload = |at: Instant| at <= attempt.ended && attempt.started <= at + APPLY_TIME;
    let is_in_configuration = timeline.configurations.iter().any(|configuration| {
        configuration.sent <= attempt.ended
            && configuration.acknowledged.is_none_or(|acknowledged| {
                attempt.started <= acknowledged + APPLY_TIME + CONFIGURATION_MARGIN
            })
    });
    match () {
        () if has_signal(SignalKind::Stop, &is_in_stop) => Occasion::Stop,
        () if has_signal(SignalKind::Reload, &is_in_reload) => Occasion::Reload,
        () if is_in_configuration => Occasion::Configuration,
        () => Occasion::Calm,
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { occasion, was_passed_on, was_begun, cut, is_kept } = self;
        let passed_on = if *was_passed_on { "passed on" } else { "not passed on" };
        let begun = if *was_begun { "incomplete" } else { "unanswered" };
        let connection = if *is_kept { "kept" } else { "new" };
        write!(formatter, "{occasion:?}, {cut:?}, {begun}, {passed_on}, {connection} connection")
    }
}

/// What was found about all attempts of a run.
#[derive(Debug, Default)]
pub struct Findings {
    pub endings: BTreeMap<(Ending, String), u64>,
    /// Excused requests by reason and caller.
    pub excuses: BTreeMap<(Excuse, String), u64>,
    /// Losses by kind and caller.
    pub losses: BTreeMap<(Loss, String), u64>,
    pub descriptions: Vec<String>,
}

impl Findings {
    /// Returns whether there are more losses than a run may have.
    ///
    /// Near a stop or a reload, none is tolerated. At other times, requests may be lost on kept
    /// connections up to [`MAX_KEPT_LOSSES`].
    pub fn is_violation(&self) -> bool {
        let mut kept = 0;
        for ((loss, _), count) in &self.losses {
            let is_planned = matches!(loss.occasion, Occasion::Stop | Occasion::Reload);
            if is_planned || !loss.is_kept {
                return true;
            }
            kept += usize::try_from(*count).unwrap_or(usize::MAX);
        }
        kept > MAX_KEPT_LOSSES
    }
}

/// Formats counts by reason and caller as one entry for each reason.
fn by_reason<Reason: fmt::Debug + Ord>(counts: &BTreeMap<(Reason, String), u64>) -> String {
    let mut entries: BTreeMap<&Reason, Vec<String>> = BTreeMap::new();
    for ((reason, caller), count) in counts {
        entries.entry(reason).or_default().push(format!("{count} {caller}"));
    }
    let texts =
        entries.iter().map(|(reason, callers)| format!("{reason:?} ({})", callers.join(", ")));
    texts.collect::<Vec<_>>().join(", ")
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.endings.values().sum();
        let lost: u64 = self.losses.values().sum();
        write!(
            formatter,
            "{lost} of {total} requests lost; endings {}; excused {}",
            by_reason(&self.endings),
            by_reason(&self.excuses)
        )?;
        for ((loss, caller), count) in &self.losses {
            write!(formatter, "\n  {count} of {caller}: {loss}")?;
        }
        Ok(())
    }
}

/// Judges all attempts of a run that began at `start`.
pub fn judge_all(
    attempts: &AttemptLog,
    arrivals: &ArrivalLog,
    timeline: &Timeline,
    start: Instant,
) -> Findings {
    let mut findings = Findings { endings: attempts.endings(), ..Findings::default() };
    for attempt in attempts.unfinished() {
        let passed_on = arrivals.of(&attempt.id);
        let caller = attempt.caller_kind();
        match judge(&attempt, &passed_on, timeline) {
            Verdict::Answered => {}
            Verdict::Excused(excuse) => {
                *findings.excuses.entry((excuse, caller)).or_default() += 1;
            }
            Verdict::Lost(loss) => {
                let count = findings.losses.entry((loss, caller)).or_default();
                *count += 1;
                if *count <= MAX_DESCRIBED {
                    let text = describe(&attempt, &passed_on, timeline, start);
                    findings.descriptions.push(format!("{loss}: {text}"));
                }
            }
        }
    }
    findings
}

/// Describes a request in milliseconds since `start`.
fn describe(
    attempt: &Attempt,
    arrivals: &[Arrival],
    timeline: &Timeline,
    start: Instant,
) -> String {
    let millis = |at: Instant| at.saturating_duration_since(start).as_millis();
    let Attempt { id, node, position, ending, .. } = attempt;
    let passed_on: Vec<String> = arrivals
        .iter()
        .map(|Arrival { replica, at, outcome, finished }| {
            format!("{replica} {outcome:?} {}..{:?}", millis(*at), finished.map(millis))
        })
        .collect();
    let signals: Vec<String> = timeline
        .signals
        .iter()
        .filter(|signal| signal.node == *node && signal.at <= attempt.ended)
        .map(|signal| {
            format!("{:?} {}..{:?}", signal.kind, millis(signal.at), signal.exited.map(millis))
        })
        .collect();
    let disruptions: Vec<String> = timeline
        .disruptions_between(attempt.started, attempt.ended)
        .map(|disruption| format!("{:?} {:?}", disruption.machine, disruption.kind))
        .collect();
    format!(
        "{id} at {node}, request {position} of its connection, started {}, sent {:?}, received \
         {:?}..{:?}, ended {}: {ending:?}; passed on to {passed_on:?}; signals {:?}; \
         disruptions elsewhere {disruptions:?}",
        millis(attempt.started),
        attempt.sent.map(millis),
        attempt.first_received.map(millis),
        attempt.last_received.map(millis),
        millis(attempt.ended),
        &signals[signals.len().saturating_sub(3)..],
    )
}
