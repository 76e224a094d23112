//! Invariants of engines, gateways and the configuration.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Verdict;
use crate::history::{CallResult, History};

/// Time after a drain during which an engine may still receive new work: covers the delay of the
/// platform, one read of its list and one probe.
pub const DRAIN_GRACE: Duration = Duration::from_secs(4);

pub(super) fn cache_release(history: &History) -> Verdict {
    let ended = history.programs.iter().filter(|program| program.ended.is_some());
    let ended: BTreeSet<&str> = ended.map(|program| program.id.as_str()).collect();
    let executed: BTreeSet<(&str, &str)> = history
        .engine_records
        .iter()
        .map(|record| (record.program.as_str(), record.engine.as_str()))
        .filter(|(program, _)| ended.contains(program))
        .collect();
    let mut verdict = Verdict::default();
    for (program, engine) in executed {
        let held = history
            .holdings
            .iter()
            .find(|holding| holding.program == program && holding.engine == engine);
        verdict.record(held.is_none(), || {
            format!("{engine} still holds cache of the ended program {program}")
        });
    }
    verdict
}

pub(super) fn backend_drain(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for drain in &history.drains {
        let deadline = drain.at + DRAIN_GRACE;
        let of_engine =
            history.engine_records.iter().filter(|record| record.engine == drain.engine);
        let late: Vec<String> = of_engine
            .filter(|record| record.arrived > deadline)
            .map(|record| record.attempt.to_string())
            .collect();
        verdict.record(late.is_empty(), || {
            format!("{} received attempts {late:?} after its drain grace period", drain.engine)
        });
    }
    verdict
}

pub(super) fn graceful_shutdown(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for stop in &history.stops {
        verdict.record(stop.complete, || {
            format!("gateway {} stopped with unfinished calls", stop.gateway)
        });
        let at_gateway = history.tries.iter().filter(|call| call.gateway == stop.gateway);
        for call in at_gateway.filter(|call| call.sent < stop.began && call.ended > stop.began) {
            verdict.record(call.end != CallResult::Cut, || {
                format!("{}/{} was interrupted by a graceful shutdown", call.program, call.sequence)
            });
        }
    }
    verdict
}

pub(super) fn config_convergence(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for probe in &history.probes {
        verdict.record(probe.held, || {
            format!(
                "revision {} was in force, but gateway {} did not apply it",
                probe.revision, probe.gateway
            )
        });
    }
    for accepted in &history.races {
        verdict.record(*accepted == 1, || {
            format!("{accepted} of two changes based on the same version were accepted")
        });
    }
    verdict
}
