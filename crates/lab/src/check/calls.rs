//! Invariants of calls and programs.

use std::collections::{BTreeMap, BTreeSet};

use calicohoist_emulator::answer::answer_text;
use calicohoist_emulator::service::job_output;
use calicohoist_emulator::{EngineRecord, ServiceRecord};
use calicohoist_types::{ModelId, Moment, Outcome};

use super::Verdict;
use super::transcript::Transcripts;
use crate::history::{CallInput, CallResult, CallTry, History};

/// Earliest start and end of the executions of one call.
#[derive(Clone, Copy, Default)]
struct Execution {
    first_start: Option<Moment>,
    first_end: Option<Moment>,
}

/// Returns the program and the sequence number in a service key, `PROGRAM/SEQUENCE/KEY`.
fn call_id_of(record: &ServiceRecord) -> Option<(String, u64)> {
    let mut parts = record.key.split('/');
    let program = parts.next()?.to_owned();
    Some((program, parts.next()?.parse().ok()?))
}

pub(super) fn call_order(history: &History) -> Verdict {
    let mut executions: BTreeMap<(String, u64), Execution> = BTreeMap::new();
    for record in &history.engine_records {
        let call = &record.attempt.call;
        let call_id = (call.program.to_string(), call.sequence);
        let execution = executions.entry(call_id).or_default();
        execution.first_start = earliest(execution.first_start, Some(record.arrived));
        execution.first_end = earliest(execution.first_end, record.finished);
    }
    for record in &history.service_records {
        if let Some(call_id) = call_id_of(record) {
            let execution = executions.entry(call_id).or_default();
            execution.first_start = earliest(execution.first_start, Some(record.first));
            execution.first_end = earliest(execution.first_end, Some(record.first));
        }
    }
    let mut verdict = Verdict::default();
    let mut previous: Option<(&(String, u64), &Execution)> = None;
    for (call_id, execution) in &executions {
        if let Some((previous_id, previous_execution)) = previous
            && previous_id.0 == call_id.0
        {
            let holds = match (previous_execution.first_end, execution.first_start) {
                (Some(end), Some(start)) => end <= start,
                _ => false,
            };
            verdict
                .record(holds, || format!("{call_id:?} started before {previous_id:?} had ended"));
        }
        previous = Some((call_id, execution));
    }
    verdict
}

fn earliest(known: Option<Moment>, new: Option<Moment>) -> Option<Moment> {
    match (known, new) {
        (Some(known), Some(new)) => Some(known.min(new)),
        (known, new) => known.or(new),
    }
}

pub(super) fn history_integrity(history: &History, transcripts: &Transcripts) -> Verdict {
    let mut verdict = Verdict::default();
    for record in &history.engine_records {
        let call = &record.attempt.call;
        let holds = transcripts.was_requested(call.program.as_str(), call.sequence, &record.prompt);
        verdict.record(holds, || {
            format!(
                "{} ran with a prompt that does not match the requests of its caller",
                record.attempt
            )
        });
    }
    verdict
}

pub(super) fn budget_limit(history: &History) -> Verdict {
    let roots: BTreeMap<&str, &str> = history
        .programs
        .iter()
        .map(|program| (program.id.as_str(), program.root.as_str()))
        .collect();
    let mut spent: BTreeMap<&str, u64> = BTreeMap::new();
    for record in &history.engine_records {
        if let Some(root) = roots.get(record.program.as_str()) {
            *spent.entry(root).or_default() += record.usage.total();
        }
    }
    let mut verdict = Verdict::default();
    for program in history.programs.iter().filter(|program| program.id == program.root) {
        let used = spent.get(program.id.as_str()).copied().unwrap_or_default();
        let holds = used <= program.budget;
        verdict.record(holds, || {
            format!("{} used {used} tokens of a budget of {}", program.id, program.budget)
        });
    }
    verdict
}

pub(super) fn response_integrity(history: &History, transcripts: &Transcripts) -> Verdict {
    let mut verdict = Verdict::default();
    for call in &history.tries {
        let CallResult::Answered { text, finish_reason, usage } = &call.end else {
            continue;
        };
        let expected = match &call.asked {
            CallInput::Service { service, input } => job_output(service, input),
            CallInput::Model { model, messages } => {
                let prompt = transcripts.prompt(&call.program, call.sequence, messages);
                let is_truncated = finish_reason == "length";
                let limit = if is_truncated { usage.completion_tokens } else { u64::MAX };
                answer_text(&ModelId::new(model), &prompt, limit)
            }
        };
        verdict.record(expected == *text, || {
            format!("{}/{} received {text:?} instead of {expected:?}", call.program, call.sequence)
        });
    }
    verdict
}

pub(super) fn refused_not_executed(history: &History) -> Verdict {
    let mut verdict = Verdict::default();
    for refused in history.tries.iter().filter(|call| is_not_run(call)) {
        let executed = match &refused.asked {
            CallInput::Service { .. } => service_executed(history, refused),
            CallInput::Model { .. } => engine_executed_without_cause(history, refused),
        };
        verdict.record(!executed, || {
            format!(
                "{}/{} was refused as not run, but was executed",
                refused.program, refused.sequence
            )
        });
    }
    verdict
}

fn is_not_run(call: &CallTry) -> bool {
    let refused = CallResult::Refused { outcome: Outcome::NotRun, code: String::new() };
    std::mem::discriminant(&call.end) == std::mem::discriminant(&refused)
        && matches!(&call.end, CallResult::Refused { outcome: Outcome::NotRun, .. })
}

fn service_executed(history: &History, refused: &CallTry) -> bool {
    let key = format!("{}/{}/{}", refused.program, refused.sequence, refused.key);
    history.service_records.iter().any(|record| record.key == key)
}

/// Returns whether an engine executed the call before any request for it that was not refused had
/// been sent.
fn engine_executed_without_cause(history: &History, refused: &CallTry) -> bool {
    let is_same =
        |call: &CallTry| call.program == refused.program && call.sequence == refused.sequence;
    let accepted = history.tries.iter().filter(|call| is_same(call) && !is_not_run(call));
    let first_accepted = accepted.map(|call| call.sent).min();
    let ran = |record: &&EngineRecord| {
        let call = &record.attempt.call;
        call.program.as_str() == refused.program && call.sequence == refused.sequence
    };
    let mut executions = history.engine_records.iter().filter(ran);
    executions.any(|record| first_accepted.is_none_or(|sent| record.arrived < sent))
}

pub(super) fn at_most_once(history: &History) -> Verdict {
    let non_repeatable = history.tries.iter().filter(|call| !call.repeatable);
    let keys: BTreeSet<String> = non_repeatable
        .map(|call| format!("{}/{}/{}", call.program, call.sequence, call.key))
        .collect();
    let mut verdict = Verdict::default();
    for key in keys {
        let of_key = history.service_records.iter().filter(|record| record.key == key);
        let executions: u32 = of_key.map(|record| record.executions).sum();
        verdict.record(executions <= 1, || {
            format!("non-repeatable call {key} was executed {executions} times")
        });
    }
    verdict
}
