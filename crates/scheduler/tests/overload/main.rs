//! What becomes of programs while more of them come than engines can serve in time.

mod load;
mod replay;

use calicohoist_scheduler::TurnScheduler;
use load::{LONG, SHORT};
use replay::{LoadBurst, LoadScenario, ProgramEnd, ProgramOutcome, Replay};

/// Seeds whose programs are counted together.
const SEEDS: [u64; 3] = [7, 8, 9];

/// A quarter of a fleet of 44 engines. Its load is larger than a quarter by a fourth, for
/// what the replay leaves out: gateways, a leader and a network that take time of their own.
fn calm() -> LoadScenario {
    LoadScenario {
        seed: 7,
        engines: 11,
        sized_for: 14,
        kinds: vec![LONG, SHORT],
        bursts: Vec::new(),
        lost: None,
        length_s: 30.0,
    }
}

/// All of 1.8 times as much for six seconds, 2.3 times as much of the urgent kind for three.
fn burst() -> LoadScenario {
    let all = LoadBurst { from_s: 8.0, to_s: 14.0, times: 1.8, priority: None };
    let urgent = LoadBurst { from_s: 9.5, to_s: 12.5, times: 2.3, priority: Some(0) };
    LoadScenario { bursts: vec![all, urgent], ..calm() }
}

/// Share of the programs that came between two moments and ended so.
fn share(
    outcomes: &[ProgramOutcome],
    kind: Option<usize>,
    (from_s, to_s): (f64, f64),
    end: ProgramEnd,
) -> f64 {
    let is_meant = |outcome: &&ProgramOutcome| {
        (from_s..to_s).contains(&outcome.came_s) && kind.is_none_or(|kind| kind == outcome.kind)
    };
    let meant: Vec<&ProgramOutcome> = outcomes.iter().filter(is_meant).collect();
    let ended = meant.iter().filter(|outcome| outcome.end == end).count();
    ended as f64 / meant.len().max(1) as f64
}

fn in_time(outcomes: &[ProgramOutcome], kind: Option<usize>, window: (f64, f64)) -> f64 {
    share(outcomes, kind, window, ProgramEnd::InTime)
}

/// Shares of each two seconds, for a reader with `--nocapture`.
fn print(name: &str, outcomes: &[ProgramOutcome]) {
    println!("{name}: in time / refused, long and short programs");
    for window in 0..15 {
        let window = (f64::from(window) * 2.0, f64::from(window) * 2.0 + 2.0);
        let of = |kind, end| share(outcomes, Some(kind), window, end);
        println!(
            "{:4} s  all {:.2}  long {:.2} / {:.2}  short {:.2} / {:.2}",
            window.0,
            in_time(outcomes, None, window),
            of(0, ProgramEnd::InTime),
            of(0, ProgramEnd::Refused),
            of(1, ProgramEnd::InTime),
            of(1, ProgramEnd::Refused),
        );
    }
}

fn play(scenario: &LoadScenario) -> Vec<ProgramOutcome> {
    let of_seed =
        |seed| Replay::play(LoadScenario { seed, ..scenario.clone() }, TurnScheduler::default());
    SEEDS.into_iter().flat_map(of_seed).collect()
}

/// Programs with many turns and sub-agents come 1.8 and 4.1 times as often as usual. First
/// turns alone were counted: all are late, and stay so for seconds after the burst.
#[test]
fn a_burst_of_programs_with_sub_agents() {
    let outcomes = play(&burst());
    print("burst", &outcomes);
    assert!(in_time(&outcomes, None, (2.0, 8.0)) > 0.9, "calm before it");
    assert!(in_time(&outcomes, None, (10.0, 14.0)) < 0.4, "collapses");
    assert!(in_time(&outcomes, None, (14.0, 18.0)) < 0.5, "and stays down");
    let refused_ms = outcomes.iter().map(|outcome| outcome.refused_after_ms).fold(0.0, f64::max);
    assert!(refused_ms > 1_000.0, "the refused have waited for it");
}
