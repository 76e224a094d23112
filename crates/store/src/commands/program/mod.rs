//! Commands that change programs and their calls.
//!
//! The states of a call are `Admitted → Dispatched → Completed`; before dispatch it can also
//! be closed as *not run*, and a dispatched call whose answer is lost becomes *unknown*.
//! Every transition carries its attempt and gateway, so that commands of a gateway whose call
//! was taken over are rejected as stale.

mod admission;
mod attempts;
mod creation;
mod ending;

use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, HistoryDigest, IdempotencyKey, NotRunReason,
    ProgramId, RequestId, TenantId,
};
use serde::{Deserialize, Serialize};

use crate::protocol::NodeRef;
use crate::state::programs::{
    Backend, CHILD_SEPARATOR, CallTarget, ProgramRecord, ProgramShard, ProgramState, StoredAnswer,
    root_of,
};

/// Retention period of ended programs, in milliseconds.
pub const RETENTION_MILLIS: u64 = 10 * 60 * 1_000;
/// Maximum number of programs that one housekeeping command cancels, and that it removes.
const HOUSEKEEPING_BATCH: usize = 256;

/// Parameters of a new program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewProgram {
    /// Id of a root program; ignored for sub-agents, whose ids are derived from the parent's.
    pub id: ProgramId,
    /// The program that starts this one, if it is a sub-agent.
    pub parent: Option<ProgramId>,
    /// Request id, used to deduplicate resends.
    pub request: RequestId,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Token budget of the whole tree; ignored for sub-agents.
    pub budget_tokens: u64,
    /// Maximum number of calls.
    pub max_calls: u64,
    /// Time after creation at which the program is cancelled, in milliseconds.
    pub lifetime_millis: Option<u64>,
}

/// Request to admit a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Program to create first if it does not exist.
    pub create: Option<NewProgram>,
    /// The caller's tenant; programs of other tenants are reported as missing.
    pub tenant: TenantId,
    /// Sequence number; `None` selects the call with the same key or else the next number.
    pub sequence: Option<u64>,
    /// Idempotency key supplied by the caller or generated for this request.
    pub key: IdempotencyKey,
    /// Target of the call.
    pub target: CallTarget,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Messages to append to the history.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Maximum prompt length of the model, in tokens.
    pub max_prompt_tokens: u64,
    /// The gateway that will run the call.
    pub by: NodeRef,
}

/// Commands for a program group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramCommand {
    /// Creates a program.
    Create(NewProgram),
    /// Admits a call.
    Begin(Box<BeginCall>),
    /// Marks an attempt as possibly sent. Must be committed before the first byte is sent.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Backend that the attempt will be sent to.
        backend: Backend,
        /// Whether the attempt resumes the response of an earlier one on the same backend.
        resumes: bool,
    },
    /// Starts a new attempt after a failed one.
    Retry {
        /// The failed attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Whether the failed attempt is known not to have reached its backend.
        never_sent: bool,
    },
    /// Takes over a call from a gateway that has failed.
    Claim {
        /// The attempt of the failed gateway.
        attempt: AttemptId,
        /// The gateway that takes over the call.
        by: NodeRef,
    },
    /// Completes a call and stores its answer.
    Complete {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// The answer.
        answer: StoredAnswer,
        /// Whether to end the program as well.
        ends_program: bool,
    },
    /// Closes a call that was not dispatched as not run.
    Close {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
        /// Reason why the call is not run.
        reason: NotRunReason,
    },
    /// Closes the key of a call that was not admitted, so that it can no longer run.
    Refuse {
        /// The call.
        call: CallId,
        /// The caller's tenant.
        tenant: TenantId,
        /// The idempotency key.
        key: IdempotencyKey,
        /// Reason why the call is not run.
        reason: NotRunReason,
    },
    /// Marks a call as unknown because the outcome of an attempt cannot be determined.
    GiveUp {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
    },
    /// Ends a program that has no running call, and cancels its sub-agents.
    End {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Cancels a program, its sub-agents and their running calls.
    Cancel {
        /// The program.
        program: ProgramId,
        /// The caller's tenant.
        tenant: TenantId,
    },
    /// Records that an engine has released the memory of a program.
    Released {
        /// The engine.
        engine: EngineId,
        /// The program.
        program: ProgramId,
    },
    /// Cancels programs past their deadline and removes those past the retention period.
    Housekeeping,
}

/// Parameters for running an admitted call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// The attempt to run.
    pub attempt: AttemptId,
    /// Target of the call.
    pub target: CallTarget,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Full prompt: for models, the history followed by the call's messages.
    pub prompt: Vec<ChatMessage>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Digest of the history followed by the call's messages.
    pub digest: HistoryDigest,
    /// Maximum number of tokens to generate, limited by the available budget.
    pub max_tokens: u64,
    /// Engines that may cache the history, with the number of tokens last recorded there.
    pub holdings: Vec<(EngineId, u64)>,
    /// Tokens computed for the program so far (attained service).
    pub attained_tokens: u64,
    /// Backend that the taken-over attempt had been dispatched to.
    pub previous: Option<Backend>,
}

/// Outcome of [`ProgramCommand::Begin`], [`ProgramCommand::Claim`] and
/// [`ProgramCommand::Refuse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BeginOutcome {
    /// The call was admitted and can run.
    Admitted(Box<Admission>),
    /// The call has already completed.
    Answered(AttemptId, StoredAnswer),
    /// The call was closed and will not run.
    NotRun(CallId, NotRunReason),
    /// The call may have run; its outcome is unknown.
    Unknown(AttemptId),
    /// The call is already running for another request.
    Running {
        /// The attempt.
        attempt: AttemptId,
        /// Gateway of the attempt.
        by: NodeRef,
    },
    /// An earlier call has not arrived or not finished; the request should be retried.
    NotYet {
        /// Sequence number of the next call to run.
        expected: u64,
        /// Whether a call of the program is running.
        is_running: bool,
    },
}

/// Reason why a command was rejected. Calls and budgets remain unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramError {
    /// The program or call does not exist for this tenant.
    Missing,
    /// The id is in use by a program that another request created.
    Exists,
    /// The program has ended or was cancelled.
    NotActive(ProgramState),
    /// The call with this sequence number is running.
    Busy(u64),
    /// The sequence number was used with a different idempotency key.
    KeyMismatch,
    /// The attempt is not current or not in the required state.
    Stale,
    /// The call may have run and must not be retried.
    NotRepeatable,
    /// The budget does not cover another attempt.
    BudgetExhausted,
    /// An earlier attempt may have run, so the call cannot be closed as not run.
    MayHaveRun,
    /// Sub-agents are nested too deeply.
    TooDeep,
    /// The program has started too many sub-agents.
    TooManyChildren,
    /// The prompt exceeds the model's maximum length; holds its length in tokens.
    PromptTooLong(u64),
}

/// Result of a [`ProgramCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramOutput {
    /// The program exists under this id.
    Created(ProgramId),
    /// Outcome of admitting, claiming or refusing a call.
    Begin(BeginOutcome),
    /// The new attempt.
    Retry(AttemptId),
    /// The command succeeded.
    Done,
    /// The program was cancelled; holds the attempts that were running and their gateways.
    Cancelled(Vec<(AttemptId, NodeRef)>),
    /// The command was rejected.
    Refused(ProgramError),
}

type CommandResult = Result<ProgramOutput, ProgramError>;

impl ProgramShard {
    /// Applies a command that was proposed at `at`, in Unix milliseconds.
    pub(crate) fn apply(&mut self, at: u64, command: ProgramCommand) -> ProgramOutput {
        self.clock = self.clock.max(at);
        let result = match command {
            ProgramCommand::Create(new) => self.create(new).map(ProgramOutput::Created),
            ProgramCommand::Begin(begin) => self.begin(*begin).map(ProgramOutput::Begin),
            ProgramCommand::Dispatch { attempt, by, backend, resumes } => {
                self.dispatch(&attempt, &by, backend, resumes)
            }
            ProgramCommand::Retry { attempt, by, never_sent } => {
                self.retry(&attempt, &by, never_sent)
            }
            ProgramCommand::Claim { attempt, by } => self.claim(&attempt, by),
            ProgramCommand::Complete { attempt, by, answer, ends_program } => {
                self.complete(&attempt, &by, answer, ends_program)
            }
            ProgramCommand::Close { attempt, by, reason } => self.close(&attempt, &by, reason),
            ProgramCommand::Refuse { call, tenant, key, reason } => {
                self.refuse(call, &tenant, key, reason)
            }
            ProgramCommand::GiveUp { attempt, by } => self.give_up(&attempt, &by),
            ProgramCommand::End { program, tenant } => self.end(&program, &tenant),
            ProgramCommand::Cancel { program, tenant } => self.cancel(&program, &tenant),
            ProgramCommand::Released { engine, program } => {
                self.confirm_release(&engine, &program);
                Ok(ProgramOutput::Done)
            }
            ProgramCommand::Housekeeping => {
                self.housekeeping();
                Ok(ProgramOutput::Done)
            }
        };
        result.unwrap_or_else(ProgramOutput::Refused)
    }

    fn visible_record_mut(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let record = self.programs.get_mut(program);
        let visible = record.filter(|record| record.tenant == *tenant);
        visible.ok_or(ProgramError::Missing)
    }

    fn active_record_mut(
        &mut self,
        program: &ProgramId,
        tenant: &TenantId,
    ) -> Result<&mut ProgramRecord, ProgramError> {
        let record = self.visible_record_mut(program, tenant)?;
        match record.state {
            ProgramState::Active => Ok(record),
            state => Err(ProgramError::NotActive(state)),
        }
    }
}

/// Returns whether callers may use `program` as the id of a root program.
pub fn is_root_name(program: &ProgramId) -> bool {
    !program.as_str().contains(CHILD_SEPARATOR) && root_of(program) == *program
}
