//! Simulation of many gateways that balance the load of one service. Each knows its own requests
//! exactly, and those of the others from delayed reports.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use calicohoist_routing::{
    Candidate, CostWeights, Distance, MeanLoad, expected_queue_length, spread, stable_hash,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GATEWAYS: usize = 60;
const REPLICAS: usize = 24;
const ZONES: usize = 3;
const SLOTS: u32 = 6;
/// Mean service time of a request, in ms.
const REQUEST_MS: f64 = 46.0;
/// Interval of load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Mean share of occupied slots.
const UTILIZATION: f64 = 0.75;
const DURATION_US: u64 = 20_000_000;

/// Deterministic random number, uniformly distributed between 0 and 1.
fn draw(index: u64, purpose: &str) -> f64 {
    stable_hash(&[purpose.as_bytes(), &index.to_le_bytes()]) as f64 / u64::MAX as f64
}

struct ServiceReplica {
    id: String,
    running: u32,
    waiting: VecDeque<(usize, u64)>,
}

/// Load of the replicas, as seen by one gateway.
struct GatewayView {
    zone: usize,
    own: Vec<u32>,
    others: Vec<MeanLoad>,
    last_used: Vec<u64>,
    ranks: Vec<u64>,
}

impl GatewayView {
    fn choose(&self, replicas: &[ServiceReplica], request: u64) -> usize {
        let candidate = |(index, replica)| -> Candidate<'_> {
            let replica: &ServiceReplica = replica;
            Candidate {
                id: &replica.id,
                slots: SLOTS,
                own_load: self.own[index],
                other_load: self.others[index],
                distance: if index % ZONES == self.zone {
                    Distance::SameZone
                } else {
                    Distance::SameRegion
                },
                is_connected: true,
                rank: self.ranks[index],
                last_used: self.last_used[index],
                penalty: Duration::ZERO,
            }
        };
        let candidates: Vec<_> = replicas.iter().enumerate().map(candidate).collect();
        spread(&candidates, draw(request, "spread"), &CostWeights::default()).expect("some")
    }
}

/// Simulation event.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(u64),
    Completion { replica: usize, gateway: usize },
    Report,
}

/// Result of a simulation.
struct Outcome {
    /// Mean wait for a slot, in ms.
    mean_wait_ms: f64,
    /// Requests of the busiest replica relative to the mean.
    busiest: f64,
    /// Share of requests that were sent to another zone.
    crossed: f64,
}

/// Returns the gateway at which a request arrives, given the zones' shares of all requests.
fn pick_gateway(request: u64, shares: [f64; ZONES]) -> usize {
    let mut remaining = draw(request, "zone");
    let mut zone = 0;
    while zone + 1 < ZONES && remaining >= shares[zone] {
        remaining -= shares[zone];
        zone += 1;
    }
    let in_zone = (draw(request, "gateway") * (GATEWAYS / ZONES) as f64) as usize;
    in_zone * ZONES + zone
}

/// Runs the simulation, given the zones' shares of all requests.
fn simulate(shares: [f64; ZONES]) -> Outcome {
    let id = |index: usize| format!("r{index}");
    let replica = |index| ServiceReplica { id: id(index), running: 0, waiting: VecDeque::new() };
    let mut replicas: Vec<ServiceReplica> = (0..REPLICAS).map(replica).collect();
    let rank = |gateway: usize, number: usize| {
        stable_hash(&[&gateway.to_le_bytes(), id(number).as_bytes()])
    };
    let view = |gateway| GatewayView {
        zone: gateway % ZONES,
        own: vec![0; REPLICAS],
        others: vec![MeanLoad::default(); REPLICAS],
        last_used: vec![0; REPLICAS],
        ranks: (0..REPLICAS).map(|index| rank(gateway, index)).collect(),
    };
    let mut views: Vec<GatewayView> = (0..GATEWAYS).map(view).collect();
    let mut served = [0u32; REPLICAS];
    let (mut total_wait_us, mut crossed) = (0u64, 0u32);
    let mean_gap_us = REQUEST_MS * 1_000.0 / (REPLICAS as f64 * f64::from(SLOTS) * UTILIZATION);
    let mut events = BinaryHeap::from([Reverse((0, Event::Arrival(0)))]);
    events.push(Reverse((0, Event::Report)));
    while let Some(Reverse((now, event))) = events.pop()
        && now < DURATION_US
    {
        let service_time_us =
            |index: u64| (-(1.0 - draw(index, "takes")).ln() * REQUEST_MS * 1e3) as u64;
        match event {
            Event::Arrival(index) => {
                let gap = -(1.0 - draw(index, "gap")).ln() * mean_gap_us;
                events.push(Reverse((now + gap as u64, Event::Arrival(index + 1))));
                let gateway = pick_gateway(index, shares);
                let view = &mut views[gateway];
                let chosen = view.choose(&replicas, index);
                view.own[chosen] += 1;
                view.last_used[chosen] = index + 1;
                crossed += u32::from(chosen % ZONES != view.zone);
                served[chosen] += 1;
                let replica = &mut replicas[chosen];
                if replica.running < SLOTS {
                    replica.running += 1;
                    let end = Event::Completion { replica: chosen, gateway };
                    events.push(Reverse((now + service_time_us(index), end)));
                } else {
                    replica.waiting.push_back((gateway, now));
                }
            }
            Event::Completion { replica: index, gateway } => {
                views[gateway].own[index] -= 1;
                let replica = &mut replicas[index];
                replica.running -= 1;
                if let Some((gateway, since)) = replica.waiting.pop_front() {
                    replica.running += 1;
                    total_wait_us += now - since;
                    let end = Event::Completion { replica: index, gateway };
                    events.push(Reverse((now + service_time_us(now ^ 0x5eed), end)));
                }
            }
            Event::Report => {
                events.push(Reverse((now + REPORT_INTERVAL.as_micros() as u64, Event::Report)));
                let loads: Vec<u32> = (0..REPLICAS)
                    .map(|index| views.iter().map(|view| view.own[index]).sum())
                    .collect();
                for view in &mut views {
                    for (index, mean) in view.others.iter_mut().enumerate() {
                        *mean = mean.updated(loads[index] - view.own[index], Some(REPORT_INTERVAL));
                    }
                }
            }
        }
    }
    let all: u32 = served.iter().sum();
    let busiest = served.iter().max().copied().unwrap_or_default();
    let busiest = f64::from(busiest) * REPLICAS as f64 / f64::from(all);
    let crossed = f64::from(crossed) / f64::from(all);
    let outcome =
        Outcome { mean_wait_ms: total_wait_us as f64 / 1e3 / f64::from(all), busiest, crossed };
    println!(
        "waited {:.1} ms, busiest {busiest:.2} of the mean, crossed {crossed:.2}",
        outcome.mean_wait_ms
    );
    outcome
}

/// With three quarters of the slots occupied, random selection leads to a mean wait of a third of
/// the service time. Selection with stale reports must not be worse.
#[test]
fn stale_reports_do_not_concentrate_load_on_one_replica() {
    let outcome = simulate([1.0 / 3.0; ZONES]);
    assert!(outcome.mean_wait_ms < REQUEST_MS / 3.0, "waited {:.1} ms", outcome.mean_wait_ms);
    assert!(outcome.busiest < 1.1, "busiest {:.2}", outcome.busiest);
    assert!(outcome.crossed < 0.2, "crossed {:.2}", outcome.crossed);
}

/// One zone receives half of all requests, but has only a third of the replicas.
#[test]
fn an_overloaded_zone_sends_requests_to_other_zones() {
    let outcome = simulate([0.5, 0.3, 0.2]);
    assert!(outcome.mean_wait_ms < REQUEST_MS, "waited {:.1} ms", outcome.mean_wait_ms);
    assert!(outcome.busiest < 1.3, "busiest {:.2}", outcome.busiest);
}

/// Computes the expected queue length by summation over the distribution.
fn queue_length_by_sum(own: u32, mean: f64, slots: u32) -> f64 {
    let mut probability = (-mean).exp();
    let mut queue_length = 0.0;
    for count in 0..400u32 {
        queue_length += probability * f64::from((own + count + 1).saturating_sub(slots));
        probability *= mean / f64::from(count + 1);
    }
    queue_length
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_expected_queue_length_matches_the_sum(
        own in 0..40u32,
        others in 0..60u32,
        slots in 1..32u32,
    ) {
        let mean = MeanLoad::default().updated(others, None);
        let expected = expected_queue_length(own, mean, slots);
        let sum = queue_length_by_sum(own, f64::from(others), slots);
        prop_assert!((expected - sum).abs() < 1e-6, "{expected} against {sum}");
    }
}
