//! Compares rate-limiting schemes on the same traffic.
//!
//! `cargo test -p calicohoist-limiter --test ways -- --nocapture` prints the results as a table.

mod support;

use std::time::Duration;

use calicohoist_routing::RateLimit;
use support::{InjectedBug, Outcome, Request, Scheme, Simulation, TenantLoad, max_excess, traffic};

const SECONDS: f64 = 30.0;
/// Share of tool calls among all requests.
const TOOL_SHARE: f64 = 2.0 / 3.0;

/// One hot tenant at twice its limit, and others below half of theirs.
fn loads() -> Vec<TenantLoad> {
    let load = |rate: f64, programs_per_s: f64| TenantLoad {
        limit: RateLimit { per_second: rate, burst: rate },
        programs_per_s,
    };
    let mut loads = vec![load(400.0, 40.0)];
    loads.extend((0..20).map(|_| load(60.0, 1.4)));
    loads.extend((0..20).map(|_| load(14.0, 0.35)));
    loads
}

/// Start of the traffic, some time after the election of the leader.
const TRAFFIC_START: Duration = Duration::from_secs(5);

struct Row {
    /// Outcome of the hot tenant.
    hot: Outcome,
    excess: f64,
    /// Outcome of all tenants below their limits.
    below: Outcome,
}

fn run_scheme(scheme: Scheme, gateways: usize) -> Row {
    let loads = loads();
    let shifted = |request: &Request| Request { at: request.at + TRAFFIC_START, ..*request };
    let traffic: Vec<Request> = traffic(&loads, gateways, SECONDS, 5).iter().map(shifted).collect();
    let run_tenants = |is_hot: bool| {
        let requests: Vec<Request> =
            traffic.iter().copied().filter(|request| (request.tenant == 0) == is_hot).collect();
        Simulation::new(scheme, InjectedBug::None, &loads, gateways).run(&requests, &[])
    };
    let hot = run_tenants(true);
    let excess = max_excess(&hot.send_times[&0], loads[0].limit, Duration::ZERO);
    Row { hot, excess, below: run_tenants(false) }
}

#[test]
fn leased_permits_enforce_the_limit_and_rarely_refuse_tenants_below_it() {
    println!(
        "| scheme | gateways | hot: excess | completed | aborted | delayed | below: refused | permit requests | tool calls with a round trip |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for gateways in [69, 255] {
        let mut rows = Vec::new();
        let spares = [1, 2, 6].map(|spare| Scheme::Leased { spare });
        let schemes = [Scheme::EqualShares, Scheme::Bucket, Scheme::AskEach, Scheme::LeasedLearned];
        for scheme in schemes.into_iter().chain(spares) {
            let Row { hot, excess, below } = run_scheme(scheme, gateways);
            println!(
                "| {scheme:?} | {gateways} | {excess:.0} | {} | {} | {} | {} of {} | {:.2} per request | {:.2} |",
                hot.programs_completed,
                hot.programs_aborted,
                hot.delayed,
                below.refused,
                below.requests,
                below.permit_requests as f64 / below.requests as f64,
                below.extra_round_trips as f64 / (below.requests as f64 * TOOL_SHARE),
            );
            rows.push((scheme, Row { hot, excess, below }));
        }
        let row =
            |scheme: Scheme| &rows.iter().find(|(other, _)| *other == scheme).expect("a row").1;
        let equal_shares = row(Scheme::EqualShares);
        let leased_learned = row(Scheme::LeasedLearned);
        let ask_each = row(Scheme::AskEach);
        assert!(leased_learned.excess <= 0.0);
        let bucket = row(Scheme::Bucket);
        assert!(
            leased_learned.below.refused * 2 < bucket.below.refused,
            "{}",
            leased_learned.below.refused
        );
        assert!(equal_shares.below.refused > 100, "{}", equal_shares.below.refused);
        assert!(leased_learned.below.permit_requests * 3 < ask_each.below.permit_requests * 2);
        assert!(leased_learned.hot.programs_aborted * 4 < leased_learned.hot.programs_completed);
    }
}
