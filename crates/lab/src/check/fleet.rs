//! Promises about engines, gateways and the configuration.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Verdict;
use crate::history::{History, TryEnd};

/// A leaving back end may get new work for this long: the platform's lag, one
/// reading of its list, and one probe.
pub const DRAIN_GRACE: Duration = Duration::from_secs(4);

pub(super) fn cache_release(history: &History) -> Verdict {
    let ended = history.programs.iter().filter(|program| program.ended.is_some());
    let ended: BTreeSet<&str> = ended.map(|program| program.id.as_str()).collect();
    let ran: BTreeSet<(&str, &str)> = history
        .engine_records
        .iter()
        .map(|record| (record.program.as_str(), record.engine.as_str()))
        .filter(|(program, _)| ended.contains(program))
        .collect();
    let mut verdict = Verdict::default();
    for (program, engine) in ran {
        let held = history
            .holdings
            .iter()
            .find(|holding| holding.program == program && holding.engine == engine);
        verdict.look(held.is_none(), || format!("{engine} still holds memory of {program}"));
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
        verdict.look(late.is_empty(), || {
            format!("{} got {late:?} after it was taken out of service", drain.engine)
        });
    }
    verdict
}

pub(super) fn graceful_shutdown(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for stop in &history.stops {
        verdict.look(stop.complete, || format!("gateway {} stopped by force", stop.gateway));
        let at_gateway = history.tries.iter().filter(|call| call.gateway == stop.gateway);
        for call in at_gateway.filter(|call| call.sent < stop.began && call.ended > stop.began) {
            verdict.look(call.end != TryEnd::Cut, || {
                format!("{}/{} was cut by a planned stop", call.program, call.sequence)
            });
        }
    }
    verdict
}

pub(super) fn config_convergence(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for probe in &history.probes {
        verdict.look(probe.held, || {
            format!(
                "revision {} was in force, and gateway {} did not act on it",
                probe.revision, probe.gateway
            )
        });
    }
    for winners in &history.races {
        verdict.look(*winners == 1, || {
            format!("{winners} of two changes with the same version were accepted")
        });
    }
    verdict
}
