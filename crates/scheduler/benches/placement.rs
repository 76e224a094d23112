//! Time of one placement by the number of replicas of the service.
//!
//! Run with `cargo bench -p calicohoist-scheduler`.

#![expect(missing_docs, reason = "criterion generates undocumented functions")]

use std::hint::black_box;
use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_scheduler::{
    ConcurrencyLimit, FleetView, PlacementRequest, PlacementWeights, Placer, PromptPart,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Turns under way during the measurement.
const UNDER_WAY: usize = 100;

fn fleet(count: usize) -> Vec<Replica> {
    let replica = |number: usize| Replica {
        id: format!("i-{number:08x}@1700000000000"),
        service: "llm".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 6,
        state: ReplicaState::Ready,
        version: None,
    };
    (0..count).map(replica).collect()
}

fn request(turn: u64) -> PlacementRequest {
    PlacementRequest {
        service: "llm".to_owned(),
        zone: ZONES[turn as usize % ZONES.len()].to_owned(),
        connected: Vec::new(),
        prompt: vec![
            PromptPart { id: turn % 16, tokens: 512 },
            PromptPart { id: 1_000 + turn / 4, tokens: 400 },
        ],
        memory_tokens: 72_725,
        left_ms: 4_000,
        finish_ms: None,
        priority: 0,
        is_under_way: true,
        homes: Default::default(),
        cold: None,
        version: None,
    }
}

fn place_one_turn(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place one turn");
    for count in [100, 500, 1_000, 10_000, 100_000] {
        let replicas = fleet(count);
        let view = FleetView::from_replicas(&replicas);
        let mut placer = Placer::new(PlacementWeights::default());
        placer.retain(&replicas);
        let mut now = Instant::now();
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                turn += 1;
                now += Duration::from_millis(2);
                let id = turn.to_string();
                let limit = ConcurrencyLimit::Unlimited;
                black_box(placer.place(&id, &request(turn), &view, limit, now));
                let ended = (turn as usize).saturating_sub(UNDER_WAY).to_string();
                placer.end_turn(&ended, None, now);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place_one_turn);
criterion_main!(benches);
