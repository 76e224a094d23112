//! Tests of the invariant checks: for each invariant a history that violates it.

use calicohoist_emulator::answer::answer_text;
use calicohoist_emulator::service::job_output;
use calicohoist_emulator::{EngineRecord, ServiceRecord};
use calicohoist_lab::check::check;
use calicohoist_lab::history::{
    CallInput, CallResult, CallTry, ConfigProbe, DrainEvent, History, Holding, ProgramTrace,
    StopEvent,
};
use calicohoist_types::{
    AttemptId, CallId, ChatMessage, ModelId, Moment, Outcome, ProgramId, Role, Usage,
};

const MODEL: &str = "model";
const SERVICE: &str = "print";

fn at(second: u64) -> Moment {
    Moment::from_micros(second * 1_000_000)
}

fn user(text: &str) -> ChatMessage {
    ChatMessage::new(Role::User, text)
}

fn usage(prompt: &[ChatMessage], text: &str) -> Usage {
    Usage {
        prompt_tokens: prompt.iter().map(ChatMessage::tokens).sum(),
        completion_tokens: text.split(' ').count() as u64,
        cached_tokens: 0,
    }
}

/// Returns the history of a program with two model calls and a service call, without violations.
fn valid_history() -> History {
    let mut history = History::default();
    let mut prompt = Vec::new();
    for sequence in 1..=2 {
        let message = user(&format!("question {sequence}"));
        prompt.push(message.clone());
        let text = answer_text(&ModelId::new(MODEL), &prompt, u64::MAX);
        history.tries.push(CallTry {
            program: "p".into(),
            sequence,
            key: format!("k{sequence}"),
            asked: CallInput::Model { model: MODEL.into(), messages: vec![message] },
            repeatable: true,
            gateway: 0,
            sent: at(sequence * 10),
            ended: at(sequence * 10 + 5),
            end: CallResult::Answered {
                text: text.clone(),
                finish_reason: "stop".into(),
                usage: usage(&prompt, &text),
            },
        });
        history.engine_records.push(EngineRecord {
            engine: "e".into(),
            attempt: AttemptId {
                call: CallId { program: ProgramId::new("p"), sequence },
                number: 1,
            },
            program: ProgramId::new("p"),
            prompt: prompt.clone(),
            arrived: at(sequence * 10 + 1),
            finished: Some(at(sequence * 10 + 4)),
            usage: usage(&prompt, &text),
        });
        prompt.push(ChatMessage::new(Role::Assistant, text));
    }
    history.tries.push(CallTry {
        program: "p".into(),
        sequence: 3,
        key: "k3".into(),
        asked: CallInput::Service { service: SERVICE.into(), input: "a page".into() },
        repeatable: false,
        gateway: 0,
        sent: at(30),
        ended: at(35),
        end: CallResult::Answered {
            text: job_output(SERVICE, "a page"),
            finish_reason: "stop".into(),
            usage: Usage::default(),
        },
    });
    history.service_records.push(ServiceRecord {
        replica: "r".into(),
        key: "p/3/k3".into(),
        executions: 1,
        first: at(32),
        output: job_output(SERVICE, "a page"),
    });
    history.programs.push(ProgramTrace {
        id: "p".into(),
        root: "p".into(),
        budget: 10_000,
        started: at(10),
        ended: Some(at(40)),
        completed: true,
    });
    history.drains.push(DrainEvent { engine: "e".into(), at: at(25) });
    history.stops.push(StopEvent { gateway: 0, began: at(33), ended: at(36), complete: true });
    history.probes.push(ConfigProbe {
        revision: 1,
        gateway: 0,
        accepted: at(1),
        in_force: at(2),
        held: true,
    });
    history
}

fn refuse(history: &mut History, index: usize) {
    history.tries[index].end =
        CallResult::Refused { outcome: Outcome::NotRun, code: "overloaded".into() };
}

#[test]
fn a_valid_history_passes_and_checks_every_invariant_except_refusal() {
    let invariants = check(&valid_history());
    assert_eq!(invariants.violations(), 0, "{invariants:?}");
    for (name, verdict) in invariants.named() {
        assert_eq!(verdict.checked > 0, name != "refused_not_executed", "{name}");
    }
}

#[test]
fn an_empty_history_checks_nothing() {
    let invariants = check(&History::default());
    assert!(invariants.named().iter().all(|(_, verdict)| verdict.checked == 0));
}

#[test]
fn a_call_that_starts_before_its_predecessor_ended_violates_call_order() {
    let mut history = valid_history();
    history.engine_records[1].arrived = at(12);
    assert_eq!(check(&history).call_order.violations, 1);
}

#[test]
fn a_job_before_the_preceding_call_violates_call_order() {
    let mut history = valid_history();
    history.service_records[0].first = at(22);
    assert_eq!(check(&history).call_order.violations, 1);
}

#[test]
fn a_missing_message_violates_history_integrity() {
    let mut history = valid_history();
    history.engine_records[1].prompt.remove(0);
    assert_eq!(check(&history).history_integrity.violations, 1);
}

#[test]
fn a_message_of_another_program_violates_history_integrity() {
    let mut history = valid_history();
    history.engine_records[1].prompt[0] = user("somebody else's question");
    assert_eq!(check(&history).history_integrity.violations, 1);
}

#[test]
fn exceeding_the_budget_by_one_token_is_detected() {
    let mut history = valid_history();
    let spent: u64 = history.engine_records.iter().map(|record| record.usage.total()).sum();
    history.programs[0].budget = spent;
    assert_eq!(check(&history).budget_limit.violations, 0);
    history.programs[0].budget = spent - 1;
    assert_eq!(check(&history).budget_limit.violations, 1);
}

#[test]
fn tokens_of_a_sub_agent_count_towards_the_budget_of_its_root() {
    let mut history = valid_history();
    history.programs[0].budget = 0;
    history.programs[0].id = "root".into();
    history.programs[0].root = "root".into();
    history.programs.push(ProgramTrace {
        id: "p".into(),
        root: "root".into(),
        budget: 0,
        ..history.programs[0].clone()
    });
    assert_eq!(check(&history).budget_limit.violations, 1);
}

#[test]
fn cache_of_an_ended_program_violates_cache_release() {
    let mut history = valid_history();
    history.holdings.push(Holding { engine: "e".into(), program: "p".into(), tokens: 16 });
    assert_eq!(check(&history).cache_release.violations, 1);
}

#[test]
fn a_truncated_answer_violates_response_integrity() {
    let mut history = valid_history();
    if let CallResult::Answered { text, .. } = &mut history.tries[0].end {
        text.pop();
    }
    let invariants = check(&history);
    assert!(invariants.response_integrity.violations >= 1);
}

#[test]
fn the_answer_of_another_call_violates_response_integrity() {
    let mut history = valid_history();
    let first = history.tries[0].end.clone();
    history.tries[1].end = first;
    assert!(check(&history).response_integrity.violations >= 1);
}

#[test]
fn an_executed_job_refused_as_not_run_is_detected() {
    let mut history = valid_history();
    refuse(&mut history, 2);
    assert_eq!(check(&history).refused_not_executed.violations, 1);
}

#[test]
fn an_executed_model_call_refused_as_not_run_is_detected() {
    let mut history = valid_history();
    refuse(&mut history, 1);
    assert_eq!(check(&history).refused_not_executed.violations, 1);
}

#[test]
fn a_refusal_is_valid_if_another_request_of_the_call_ran() {
    let mut history = valid_history();
    let mut earlier = history.tries[1].clone();
    earlier.sent = at(16);
    earlier.ended = at(17);
    earlier.end = CallResult::Refused { outcome: Outcome::NotRun, code: "overloaded".into() };
    history.tries.push(earlier);
    let verdict = check(&history).refused_not_executed;
    assert_eq!((verdict.checked, verdict.violations), (1, 0));
}

#[test]
fn a_non_repeatable_job_executed_twice_is_detected() {
    let mut history = valid_history();
    history.service_records[0].executions = 2;
    assert_eq!(check(&history).at_most_once.violations, 1);
}

#[test]
fn a_non_repeatable_job_executed_on_two_replicas_is_detected() {
    let mut history = valid_history();
    let mut duplicate = history.service_records[0].clone();
    duplicate.replica = "r2".into();
    history.service_records.push(duplicate);
    assert_eq!(check(&history).at_most_once.violations, 1);
}

#[test]
fn work_on_a_drained_engine_is_detected() {
    let mut history = valid_history();
    history.drains[0].at = at(10);
    assert_eq!(check(&history).backend_drain.violations, 1);
}

#[test]
fn a_call_interrupted_by_a_graceful_shutdown_is_detected() {
    let mut history = valid_history();
    history.tries[2].end = CallResult::Cut;
    assert_eq!(check(&history).graceful_shutdown.violations, 1);
}

#[test]
fn an_incomplete_shutdown_is_detected() {
    let mut history = valid_history();
    history.stops[0].complete = false;
    assert_eq!(check(&history).graceful_shutdown.violations, 1);
}

#[test]
fn a_gateway_that_ignores_a_change_in_force_is_detected() {
    let mut history = valid_history();
    history.probes[0].held = false;
    assert_eq!(check(&history).config_convergence.violations, 1);
}

#[test]
fn conflicting_writes_must_have_exactly_one_accepted() {
    let mut history = valid_history();
    history.races.push(1);
    assert_eq!(check(&history).violations(), 0);
    history.races.push(2);
    assert_eq!(check(&history).config_convergence.violations, 1);
    history.races[1] = 0;
    assert_eq!(check(&history).config_convergence.violations, 1);
}

#[test]
fn interrupted_attempts_count_towards_the_budget() {
    let mut history = valid_history();
    let mut interrupted = history.engine_records[0].clone();
    interrupted.finished = None;
    interrupted.usage.prompt_tokens = 1_000_000_000;
    history.engine_records.push(interrupted);
    assert_eq!(check(&history).budget_limit.violations, 1);
}
