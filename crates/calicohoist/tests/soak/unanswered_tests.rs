//! The judgement of unanswered requests, fed with hand-made records.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use crate::arrivals::{Arrival, Outcome};
use crate::attempts::{Attempt, Cut, Ending};
use crate::timeline::{
    Disruption, DisruptionKind, Machine, PlannedSignal, SentConfiguration, SignalKind, Timeline,
};
use crate::unanswered::{Excuse, Findings, Loss, Occasion, Verdict, judge};

const NODE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21));
const OTHER_NODE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 22));
const REPLICA: &str = "m-1";
const UNANSWERED: Ending = Ending::Unanswered(Cut::Closed);
const INCOMPLETE: Ending = Ending::Incomplete(200, Cut::Closed);

/// A request whose moments are milliseconds since the start of a run.
struct Case {
    start: Instant,
    attempt: Attempt,
    arrivals: Vec<Arrival>,
    timeline: Timeline,
}

impl Case {
    /// A request on a kept connection, sent at 20,000 and ended at `ended`.
    fn new(ending: Ending, ended: u64) -> Self {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let attempt = Attempt {
            id: "r".to_owned(),
            node: NODE,
            time_limit: Duration::from_secs(10),
            started: at(20_000),
            sent: Some(at(20_000)),
            first_received: None,
            last_received: None,
            ended: at(ended),
            ending,
            position: 2,
            is_behind_close: false,
        };
        Self { start, attempt, arrivals: Vec::new(), timeline: Timeline::default() }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn passed_on(mut self, outcome: Outcome, finished: u64) -> Self {
        let arrival = Arrival {
            replica: REPLICA.to_owned(),
            at: self.at(20_001),
            outcome,
            finished: Some(self.at(finished)),
        };
        self.arrivals.push(arrival);
        self
    }

    fn signal(mut self, node: IpAddr, kind: SignalKind, at: u64) -> Self {
        let signal = PlannedSignal { node, kind, at: self.at(at), exited: None };
        self.timeline.signals.push(signal);
        self
    }

    fn disruption(mut self, machine: Machine, from: u64, until: u64) -> Self {
        let (from, until) = (self.at(from), Some(self.at(until)));
        let kind = DisruptionKind::Paused;
        self.timeline.disruptions.push(Disruption { machine, kind, from, until });
        self
    }

    fn configuration(mut self, sent: u64, acknowledged: u64) -> Self {
        let acknowledged = Some(self.at(acknowledged));
        let configuration = SentConfiguration { sent: self.at(sent), acknowledged };
        self.timeline.configurations.push(configuration);
        self
    }

    fn verdict(&self) -> Verdict {
        judge(&self.attempt, &self.arrivals, &self.timeline)
    }

    fn loss(&self) -> Option<Loss> {
        match self.verdict() {
            Verdict::Lost(loss) => Some(loss),
            Verdict::Answered | Verdict::Excused(_) => None,
        }
    }

    fn occasion(&self) -> Option<Occasion> {
        self.loss().map(|loss| loss.occasion)
    }
}

fn excused(excuse: Excuse) -> Verdict {
    Verdict::Excused(excuse)
}

fn replica() -> Machine {
    Machine::Replica(REPLICA.to_owned())
}

#[test]
fn answer_cut_by_a_stop_is_lost() {
    let case = Case::new(INCOMPLETE, 21_000).passed_on(Outcome::Whole, 20_100).signal(
        NODE,
        SignalKind::Stop,
        20_500,
    );
    let loss = case.loss().expect("lost");
    assert_eq!(loss.occasion, Occasion::Stop);
    assert!(loss.was_passed_on && loss.was_begun && loss.is_kept);
}

#[test]
fn request_passed_on_and_closed_at_once_is_lost() {
    let case = Case::new(UNANSWERED, 20_002).passed_on(Outcome::Whole, 20_003);
    assert_eq!(case.occasion(), Some(Occasion::Calm));
}

#[test]
fn request_not_passed_on_is_lost_after_the_slack() {
    let stopped = |ended| Case::new(UNANSWERED, ended).signal(NODE, SignalKind::Stop, 19_000);
    assert_eq!(stopped(20_200).verdict(), excused(Excuse::Crossed));
    let loss = stopped(20_201).loss().expect("lost");
    assert!(loss.occasion == Occasion::Stop && !loss.was_passed_on);
}

#[test]
fn reset_connection_is_lost_like_a_closed_one() {
    let case = Case::new(Ending::Unanswered(Cut::Reset), 20_300);
    assert_eq!(case.loss().map(|loss| loss.cut), Some(Cut::Reset));
}

#[test]
fn occasion_ends_a_second_after_the_grace() {
    let stopped = |at| {
        let case = Case::new(UNANSWERED, 20_300).passed_on(Outcome::Whole, 20_010);
        case.signal(NODE, SignalKind::Stop, at).occasion()
    };
    assert_eq!(stopped(11_000), Some(Occasion::Stop));
    assert_eq!(stopped(10_999), Some(Occasion::Calm));
    assert_eq!(stopped(20_301), Some(Occasion::Calm));
}

#[test]
fn reload_and_configuration_are_occasions_while_they_take_effect() {
    let case = || Case::new(UNANSWERED, 20_300).passed_on(Outcome::Whole, 20_010);
    let reloaded = |at| case().signal(NODE, SignalKind::Reload, at).occasion();
    assert_eq!(reloaded(18_000), Some(Occasion::Reload));
    assert_eq!(reloaded(17_999), Some(Occasion::Calm));
    assert_eq!(case().configuration(1, 17_000).occasion(), Some(Occasion::Configuration));
    assert_eq!(case().configuration(1, 16_999).occasion(), Some(Occasion::Calm));
}

#[test]
fn signals_to_other_nodes_are_no_occasion() {
    let case = Case::new(UNANSWERED, 20_300).signal(OTHER_NODE, SignalKind::Stop, 20_000);
    assert_eq!(case.occasion(), Some(Occasion::Calm));
}

#[test]
fn only_disruptions_of_the_node_or_its_replica_excuse() {
    let case = || Case::new(UNANSWERED, 20_300).passed_on(Outcome::Whole, 20_010);
    let node = case().disruption(Machine::Node(NODE), 16_000, 17_000);
    assert_eq!(node.verdict(), excused(Excuse::NodeDisrupted));
    let earlier = case().disruption(Machine::Node(NODE), 16_000, 16_999);
    assert!(earlier.loss().is_some());
    let other = case().disruption(Machine::Node(OTHER_NODE), 20_000, 20_300);
    assert!(other.loss().is_some());
    let own_replica = case().disruption(replica(), 20_300, 20_300);
    assert_eq!(own_replica.verdict(), excused(Excuse::ReplicaDisrupted));
    let other_replica = case().disruption(Machine::Replica("m-2".to_owned()), 20_000, 20_300);
    assert!(other_replica.loss().is_some());
    let store = case().disruption(Machine::StoreLinks(OTHER_NODE), 20_000, 20_300);
    assert!(store.loss().is_some());
}

#[test]
fn disrupted_replica_excuses_no_request_that_did_not_reach_it() {
    let case = Case::new(UNANSWERED, 20_300).disruption(replica(), 20_000, 20_300);
    assert!(case.loss().is_some());
}

#[test]
fn replica_that_breaks_off_excuses_and_one_that_rejects_does_not() {
    let broken_off = Case::new(INCOMPLETE, 20_300).passed_on(Outcome::BrokenOff, 20_100);
    assert_eq!(broken_off.verdict(), excused(Excuse::ReplicaBrokeOff));
    assert!(Case::new(UNANSWERED, 20_010).passed_on(Outcome::Rejected, 20_005).loss().is_some());
    let tried_again = Case::new(UNANSWERED, 20_300)
        .passed_on(Outcome::BrokenOff, 20_005)
        .passed_on(Outcome::Whole, 20_010);
    assert!(tried_again.loss().is_some());
}

#[test]
fn silent_replica_excuses_only_once_the_time_limit_is_reached() {
    let ended = |at| Case::new(UNANSWERED, at).passed_on(Outcome::Working, 40_000);
    assert!(ended(29_999).loss().is_some());
    assert_eq!(ended(30_000).verdict(), excused(Excuse::TimeLimitReached));
}

#[test]
fn replica_at_work_near_the_end_of_the_grace_excuses_early_requests_only() {
    let stopped = |stop, finished| {
        let mut case = Case::new(UNANSWERED, stop + 7_900)
            .passed_on(Outcome::Whole, finished)
            .signal(NODE, SignalKind::Stop, stop);
        case.attempt.time_limit = Duration::from_secs(60);
        case
    };
    assert_eq!(stopped(17_000, 24_000).verdict(), excused(Excuse::GraceEnded));
    assert!(stopped(16_999, 24_000).loss().is_some(), "sent too late");
    assert!(stopped(17_000, 23_000).loss().is_some(), "the replica was done early");
}

#[test]
fn callers_that_leave_or_never_sent_the_request_lose_nothing() {
    let case = |ending| Case::new(ending, 20_300).verdict();
    assert_eq!(case(Ending::Incomplete(200, Cut::Left)), excused(Excuse::CallerLeft));
    assert_eq!(case(Ending::Unconnected), excused(Excuse::NotConnected));
    assert_eq!(case(Ending::Unsent), excused(Excuse::NotSent));
    assert_eq!(case(Ending::Complete(502)), Verdict::Answered);
    let mut partly_sent = Case::new(INCOMPLETE, 20_300);
    partly_sent.attempt.sent = None;
    assert_eq!(partly_sent.verdict(), excused(Excuse::NotSent));
}

#[test]
fn request_behind_an_announced_close_is_lost_only_if_it_was_passed_on() {
    let mut case = Case::new(UNANSWERED, 21_000);
    case.attempt.is_behind_close = true;
    assert_eq!(case.verdict(), excused(Excuse::BehindClose));
    assert!(case.passed_on(Outcome::Whole, 20_900).loss().is_some());
}

#[test]
fn few_losses_on_kept_connections_are_tolerated_away_from_stops() {
    let loss = |occasion, is_kept| Loss {
        occasion,
        was_passed_on: true,
        was_begun: false,
        cut: Cut::Closed,
        is_kept,
    };
    let is_violation = |loss, count| {
        let losses = [((loss, "caller".to_owned()), count)].into();
        Findings { losses, ..Findings::default() }.is_violation()
    };
    assert!(!is_violation(loss(Occasion::Calm, true), 3));
    assert!(is_violation(loss(Occasion::Configuration, true), 4));
    assert!(is_violation(loss(Occasion::Calm, false), 1));
    assert!(is_violation(loss(Occasion::Stop, true), 1));
}
