//! Processing of calls, from admission to the final answer.
//!
//! - [`admit`]: admission, waiting for earlier calls, takeover;
//! - [`route`]: choice of a back end, slot requests and dispatch;
//! - [`run`]: back-end events, retries and recovery of attempts;
//! - [`finish`]: storing answers, closing calls and sending results;
//! - [`timers`]: timeouts and periodic retries.

mod admit;
mod finish;
mod route;
mod run;
mod timers;

use calicohoist_store::commands::program::{BeginOutcome, ProgramError, ProgramOutput};
use calicohoist_types::Moment;

use super::Gateway;
use super::call::Phase;
use super::message::FailureCause;

impl Gateway {
    /// Handles the store's reply to a step of a call.
    pub(super) fn on_call_answer(&mut self, now: Moment, id: u64, output: Option<ProgramOutput>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let phase = call.phase.clone();
        match (phase, output) {
            (_, None) => self.fail_unknown(now, id, FailureCause::StoreUnavailable),
            (_, Some(ProgramOutput::Begin(outcome))) => self.on_begin(now, id, outcome),
            (Phase::Dispatching, Some(ProgramOutput::Done)) => self.send_attempt(now, id),
            (Phase::Completing, Some(ProgramOutput::Done)) => self.finish(now, id),
            (Phase::Closing(reason), Some(ProgramOutput::Done)) => {
                self.fail_not_run(now, id, reason);
            }
            (Phase::GivingUp, Some(ProgramOutput::Done)) => self.fail_given_up(now, id),
            (Phase::Retrying, Some(ProgramOutput::Retry(next))) => {
                self.start_retry(now, id, next);
            }
            (Phase::Retrying, Some(ProgramOutput::Refused(ProgramError::NotRepeatable)))
            | (Phase::Dispatching, Some(ProgramOutput::Refused(ProgramError::BudgetExhausted)))
            | (Phase::Closing(_), Some(ProgramOutput::Refused(ProgramError::MayHaveRun))) => {
                self.give_up(now, id, FailureCause::BackendLost);
            }
            (Phase::Admitting, Some(ProgramOutput::Refused(error))) => {
                self.fail_refused(now, id, &error);
            }
            // Another gateway or caller changed the record: report the recorded outcome.
            (_, Some(ProgramOutput::Refused(_))) => self.report_recorded_outcome(now, id),
            (_, Some(_)) => {}
        }
    }

    fn on_begin(&mut self, now: Moment, id: u64, outcome: BeginOutcome) {
        match outcome {
            BeginOutcome::Admitted(admission) => self.on_admitted(now, id, admission),
            BeginOutcome::Answered(attempt, answer) => {
                self.finish_stored(now, id, attempt, answer);
            }
            BeginOutcome::NotRun(call, reason) => {
                self.record_call_id(id, call);
                self.fail_not_run(now, id, reason);
            }
            BeginOutcome::Unknown(attempt) => self.claim(now, id, attempt),
            BeginOutcome::Running { attempt, by } => {
                self.on_already_running(now, id, attempt, &by);
            }
            BeginOutcome::NotYet { expected: _, is_running } => {
                self.wait_for_turn(now, id, is_running)
            }
        }
    }
}
