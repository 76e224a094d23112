//! Times at which a process that stops ends its work.

use std::time::{Duration, Instant};

use calicohoist_connections::{Drain, StopSchedule};

const GRACES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(8),
    Duration::from_secs(60),
];

/// Replicas that work until then are waited for.
#[test]
fn requests_are_answered_in_the_last_sixth_of_the_grace_period_and_before_the_exit() {
    let start = Instant::now();
    for grace in GRACES {
        let schedule = StopSchedule::new(start, grace);
        assert!(schedule.answer_by() >= start + grace * 5 / 6, "{grace:?}");
        assert!(schedule.answer_by() < schedule.exit_by(), "{grace:?}");
        assert!(schedule.exit_by() < start + grace, "{grace:?}");
    }
}

#[tokio::test]
async fn answers_are_due_only_after_an_announced_stop() {
    const GRACE: Duration = Duration::from_millis(100);
    let drain = Drain::default();
    let deadline = Instant::now() + Duration::from_secs(100);
    let due = tokio::spawn({
        let drain = drain.clone();
        async move { drain.answers_due().await }
    });
    tokio::task::yield_now().await;
    assert!(!due.is_finished());
    assert_eq!(drain.limit(deadline), deadline);
    let schedule = StopSchedule::new(Instant::now(), GRACE);
    drain.announce(schedule);
    let earlier = schedule.answer_by() - Duration::from_millis(1);
    assert_eq!(drain.limit(deadline), schedule.answer_by());
    assert_eq!(drain.limit(earlier), earlier);
    due.await.expect("the answers are due");
    assert!(Instant::now() >= schedule.answer_by());
}

#[test]
fn schedule_of_the_first_stop_counts() {
    let start = Instant::now();
    let drain = Drain::default();
    let first = StopSchedule::new(start, Duration::from_secs(1));
    drain.announce(first);
    drain.announce(StopSchedule::new(start, Duration::from_secs(8)));
    assert_eq!(drain.answer_by(), Some(first.answer_by()));
}

#[test]
fn connections_are_cut_later_only_by_a_process_that_stood_still() {
    let start = Instant::now();
    for grace in GRACES {
        let schedule = StopSchedule::new(start, grace);
        let exit_by = schedule.exit_by();
        assert_eq!(schedule.cut_by(schedule.answer_by()), exit_by, "{grace:?}");
        assert!(schedule.cut_by(exit_by) > exit_by, "{grace:?}");
        assert!(schedule.cut_by(start + grace) > start + grace, "{grace:?}");
    }
}

/// A process that stood still until its exit still exits before it is terminated.
#[test]
fn late_responses_are_delivered_within_the_grace_period() {
    let start = Instant::now();
    for grace in GRACES.into_iter().filter(|grace| *grace >= Duration::from_secs(1)) {
        let schedule = StopSchedule::new(start, grace);
        assert!(schedule.cut_by(schedule.exit_by()) < start + grace, "{grace:?}");
    }
}
