//! Admission control: order, queueing, refusals and load limits.

use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_scheduler::{
    Decision, FleetView, PlacementRequest, PromptPart, RunSample, TurnRun, TurnScheduler,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 4;
/// Capacity for new programs of a replica with [`SLOTS`] slots and no speed estimate.
const CAPACITY: usize = SLOTS as usize;

fn replicas(count: usize) -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("r{number}"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: SLOTS,
        state: ReplicaState::Ready,
        version: None,
    };
    (0..count).map(replica).collect()
}

fn request(finish_ms: u64) -> PlacementRequest {
    PlacementRequest {
        connected: Vec::new(),
        service: "llm".to_owned(),
        zone: "z".to_owned(),
        prompt: vec![PromptPart { id: 1, tokens: 10 }],
        memory_tokens: 10_000,
        left_ms: 4_000,
        finish_ms: Some(finish_ms),
        priority: 1,
        is_under_way: false,
        homes: Default::default(),
        cold: None,
        version: None,
    }
}

fn running_program_request() -> PlacementRequest {
    PlacementRequest { is_under_way: true, ..request(2_000) }
}

/// Creates a scheduler whose only replica has no capacity for new programs.
fn busy_scheduler(replicas: &[Replica], now: Instant) -> TurnScheduler {
    let mut scheduler = TurnScheduler::default();
    for turn in 0..CAPACITY {
        let decision = scheduler.submit(
            &format!("busy{turn}"),
            request(9_000),
            &FleetView::from_replicas(replicas),
            now,
        );
        assert!(matches!(decision, Decision::Run(_)));
    }
    scheduler
}

fn turn_ids(decisions: &[(String, Decision)]) -> Vec<&str> {
    decisions.iter().map(|(turn, _)| turn.as_str()).collect()
}

#[test]
fn new_programs_wait_while_replicas_are_busy() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = busy_scheduler(&replicas, now);
    assert_eq!(
        scheduler.submit("n", request(2_000), &FleetView::from_replicas(&replicas), now),
        Decision::Wait
    );
    assert_eq!(scheduler.decide(&FleetView::from_replicas(&replicas), now), []);
    scheduler.end_turn("busy0", Some("r0"), now);
    let decisions = scheduler.decide(&FleetView::from_replicas(&replicas), now);
    assert_eq!(decisions, [("n".to_owned(), Decision::Run("r0".to_owned()))]);
    assert_eq!(scheduler.waiting(), 0);
}

#[test]
fn turns_of_running_programs_do_not_wait() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = busy_scheduler(&replicas, now);
    scheduler.submit("n", request(2_000), &FleetView::from_replicas(&replicas), now);
    let decision =
        scheduler.submit("u", running_program_request(), &FleetView::from_replicas(&replicas), now);
    assert_eq!(decision, Decision::Run("r0".to_owned()));
}

#[test]
fn turns_that_can_meet_their_deadline_go_first() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = busy_scheduler(&replicas, now);
    scheduler.submit("late", request(0), &FleetView::from_replicas(&replicas), now);
    scheduler.submit("soon", request(2_000), &FleetView::from_replicas(&replicas), now);
    scheduler.submit("sooner", request(1_000), &FleetView::from_replicas(&replicas), now);
    let urgent = PlacementRequest { priority: 0, ..request(3_000) };
    scheduler.submit("urgent", urgent, &FleetView::from_replicas(&replicas), now);
    let mut order = Vec::new();
    for turn in 0..CAPACITY {
        scheduler.end_turn(&format!("busy{turn}"), Some("r0"), now);
        order.extend(scheduler.decide(&FleetView::from_replicas(&replicas), now));
    }
    assert_eq!(turn_ids(&order), ["urgent", "sooner", "soon", "late"]);
}

#[test]
fn a_turn_that_waits_too_long_is_refused_with_a_retry_delay() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = busy_scheduler(&replicas, now);
    scheduler.submit("n", request(2_000), &FleetView::from_replicas(&replicas), now);
    let later = now + Duration::from_millis(1_900);
    let decisions = scheduler.decide(&FleetView::from_replicas(&replicas), later);
    assert_eq!(turn_ids(&decisions), ["n"]);
    assert!(matches!(decisions[0].1, Decision::Refuse(after) if !after.is_zero()));
    assert!(later < now + Duration::from_millis(4_000) / 2, "refused well before the deadline");
}

#[test]
fn a_full_queue_refuses_at_once() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = busy_scheduler(&replicas, now);
    let decisions: Vec<Decision> = (0..2_000)
        .map(|turn| {
            scheduler.submit(
                &format!("n{turn}"),
                request(2_000),
                &FleetView::from_replicas(&replicas),
                now,
            )
        })
        .collect();
    assert!(scheduler.waiting() <= 1_000);
    assert!(matches!(decisions.last(), Some(Decision::Refuse(_))));
}

#[test]
fn a_new_leader_waits_for_load_reports() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = TurnScheduler::default();
    scheduler.begin_term(now);
    assert_eq!(
        scheduler.submit("n", request(2_000), &FleetView::from_replicas(&replicas), now),
        Decision::Wait
    );
    scheduler.add_inherited_load(&[("r0".to_owned(), SLOTS)], now);
    let reports_received = now + Duration::from_millis(100);
    assert_eq!(
        scheduler.decide(&FleetView::from_replicas(&replicas), reports_received),
        [],
        "inherited turns take all slots"
    );
    scheduler.end_turn("of another leader", Some("r0"), reports_received);
    assert_eq!(
        turn_ids(&scheduler.decide(&FleetView::from_replicas(&replicas), reports_received)),
        ["n"]
    );
}

#[test]
fn engines_that_slow_down_get_fewer_new_programs() {
    let (replicas, now) = (replicas(1), Instant::now());
    let mut scheduler = TurnScheduler::default();
    let run = |time_ms| TurnRun {
        replica: "r0".to_owned(),
        prompt: Vec::new(),
        memory_tokens: 10_000,
        service: "llm".to_owned(),
        sample: Some(RunSample { generated: 100, time_ms }),
    };
    for _ in 0..100 {
        scheduler.record_run(&run(100));
    }
    // With three concurrent turns, each takes six times as long as alone.
    for round in 0..100 {
        for turn in 0..3 {
            scheduler.submit(
                &format!("{round}-{turn}"),
                running_program_request(),
                &FleetView::from_replicas(&replicas),
                now,
            );
        }
        for turn in 0..3 {
            scheduler.end_turn(&format!("{round}-{turn}"), Some("r0"), now);
            scheduler.record_run(&run(600));
        }
    }
    let first = scheduler.submit("a", request(2_000), &FleetView::from_replicas(&replicas), now);
    assert_eq!(first, Decision::Run("r0".to_owned()), "at least one turn is admitted");
    assert_eq!(
        scheduler.submit("b", request(2_000), &FleetView::from_replicas(&replicas), now),
        Decision::Wait
    );
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { is_under_way: bool, finish_ms: u64, priority: u8 },
    End,
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<bool>(), 0u64..4_000, 0u8..3).prop_map(|(is_under_way, finish_ms, priority)| {
            Step::Arrive { is_under_way, finish_ms, priority }
        }),
        Just(Step::End),
        (0u64..400).prop_map(|ms| Step::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Every turn gets exactly one decision within the maximum wait, and no turn waits while all
    /// replicas are idle.
    #[test]
    fn every_turn_gets_one_decision(steps in proptest::collection::vec(step(), 1..300)) {
        let replicas = replicas(2);
        let mut now = Instant::now();
        let mut scheduler = TurnScheduler::default();
        let mut running: Vec<(String, String)> = Vec::new();
        let mut waiting: Vec<(String, Instant)> = Vec::new();
        for (number, step) in steps.iter().enumerate() {
            let turn = format!("t{number}");
            match step {
                Step::Arrive { is_under_way, finish_ms, priority } => {
                    let request = PlacementRequest {
                        is_under_way: *is_under_way,
                        priority: *priority,
                        ..request(*finish_ms)
                    };
                    match scheduler.submit(&turn, request, &FleetView::from_replicas(&replicas), now) {
                        Decision::Run(replica) => running.push((turn, replica)),
                        Decision::Wait => waiting.push((turn, now)),
                        decision => prop_assert!(false, "{decision:?}"),
                    }
                }
                Step::End if running.is_empty() => {}
                Step::End => {
                    let (turn, replica) = running.remove(0);
                    scheduler.end_turn(&turn, Some(&replica), now);
                }
                Step::Advance { ms } => now += Duration::from_millis(*ms),
            }
            for (turn, decision) in scheduler.decide(&FleetView::from_replicas(&replicas), now) {
                let position = waiting.iter().position(|(waiting, _)| *waiting == turn);
                prop_assert!(position.is_some(), "{turn} got two decisions");
                waiting.swap_remove(position.unwrap_or_default());
                if let Decision::Run(replica) = decision {
                    running.push((turn, replica));
                }
            }
            prop_assert_eq!(scheduler.waiting(), waiting.len());
            let bound = Duration::from_millis(1_800);
            prop_assert!(waiting.iter().all(|(_, since)| now < *since + bound));
            // The scheduler also expires turns by itself, so only idle replicas are known to have
            // capacity.
            let is_idle = running.is_empty() && !waiting.is_empty();
            prop_assert!(!is_idle, "{} turns wait for idle replicas", waiting.len());
        }
    }
}
