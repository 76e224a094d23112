//! Work of a leader for the turns that wait, under the load of 255 gateways.
//!
//! Guards against a leader that falls further behind the more turns wait.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use calicohoist_ledger::commands::SettleTurn;
use calicohoist_ledger::protocol::ListDigest;
use calicohoist_ledger::server::list::{DiscoverySnapshot, FleetSnapshot};
use calicohoist_ledger::server::turns::TurnDispatcher;
use calicohoist_routing::{Replica, ReplicaList, ReplicaState};
use calicohoist_scheduler::{Decision, PlacementRequest, PromptPart};

const GATEWAYS: usize = 255;
const REPLICAS: usize = 102;
const SLOTS: u32 = 6;
/// First turns that the replicas admit while their speed is not known.
const ADMITTED: usize = REPLICAS * SLOTS as usize;
const WAITING: usize = 600;
const TERM: u64 = 3;
/// Longer than a new leader waits for load reports.
const TERM_START: Duration = Duration::from_millis(100);

fn fleet() -> FleetSnapshot {
    let replica = |number: usize| Replica {
        id: format!("r{number}"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: format!("z{}", number % 6),
        slots: SLOTS,
        state: ReplicaState::Ready,
        version: None,
    };
    let list = ReplicaList { version: 1, replicas: (0..REPLICAS).map(replica).collect() };
    let mark = ListDigest::of(&list.replicas);
    let discovery = DiscoverySnapshot { mark, list: Arc::new(list), ..Default::default() };
    FleetSnapshot { discovery, ..Default::default() }
}

fn first_turn(number: usize) -> PlacementRequest {
    PlacementRequest {
        connected: Vec::new(),
        service: "llm".to_owned(),
        zone: format!("z{}", number % 6),
        prompt: vec![PromptPart { id: number as u64 % 8, tokens: 512 }],
        memory_tokens: 60_000,
        left_ms: 60_000,
        finish_ms: Some(60_000),
        priority: 1,
        is_under_way: false,
        homes: Default::default(),
        cold: None,
        version: None,
    }
}

fn settlement(turn: String) -> SettleTurn {
    SettleTurn {
        program: Some("p".to_owned()),
        turn,
        used_tokens: 0,
        retention_ms: 1_000,
        retained: None,
        run: None,
    }
}

/// Returns a leader whose replicas are full while further turns wait.
fn overloaded_leader(fleet: &FleetSnapshot) -> TurnDispatcher {
    let dispatcher = TurnDispatcher::default();
    dispatcher.record_report(TERM, "g0", &[]);
    thread::sleep(TERM_START);
    let arrive = |number| dispatcher.arrive(TERM, &format!("t{number}"), first_turn(number), fleet);
    for number in 0..ADMITTED {
        assert!(matches!(arrive(number), Decision::Run(_)));
    }
    for number in ADMITTED..ADMITTED + WAITING {
        assert_eq!(arrive(number), Decision::Wait);
    }
    dispatcher
}

/// All gateways send settlements again that the leader has handled before, which frees no replica.
#[test]
fn settlements_do_not_search_replicas_for_the_turns_that_wait() {
    const SETTLEMENTS_PER_GATEWAY: usize = 20;
    let fleet = fleet();
    let leader = overloaded_leader(&fleet);
    let before = leader.work();
    for number in 0..GATEWAYS * SETTLEMENTS_PER_GATEWAY {
        leader.end(&settlement(format!("ended{number}")), &fleet);
    }
    assert_eq!(leader.work(), before);
}

/// However many replicas are freed, the waiting turns are ranked once.
#[test]
fn waiting_turns_are_ranked_once_for_all_that_can_run() {
    let fleet = fleet();
    let leader = overloaded_leader(&fleet);
    let before = leader.work();
    for number in 0..GATEWAYS {
        leader.end(&settlement(format!("t{number}")), &fleet);
    }
    leader.decide(&fleet);
    let after = leader.work();
    assert!(after.ranked - before.ranked <= WAITING as u64, "{before:?} {after:?}");
    let placed = GATEWAYS as u64;
    assert!(after.searches - before.searches <= placed + 1, "{before:?} {after:?}");
}
