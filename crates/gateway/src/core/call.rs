//! State of one active call.
//!
//! A call is a request to a model or to a tool service. It belongs to a program: the sequence of
//! dependent calls of one agent. The store admits the calls of a program in the order of their
//! sequence numbers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calicohoist_store::commands::program::Admission;
use calicohoist_store::state::programs::{Backend, StoredAnswer};
use calicohoist_types::{
    AttemptId, CallId, EngineId, IdempotencyKey, Moment, NodeId, NotRunReason, ProgramId, TenantId,
};

use super::message::{CallRequest, FailureCause, Ticket};

/// A caller that receives the answer, and its progress.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Identifies the caller's request.
    pub ticket: Ticket,
    /// Bytes of the answer that were sent.
    pub sent_bytes: usize,
    /// Whether [`CallerEvent::Admitted`](super::message::CallerEvent::Admitted) was sent.
    pub admitted_sent: bool,
}

/// Processing state of a call, by what it waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Waits for the store's response to the admission request.
    Admitting,
    /// Waits to send the admission request again, because the call cannot be admitted yet.
    WaitingForTurn {
        /// Time of the next admission request.
        retry_at: Moment,
        /// Time at which waiting ends with a failure.
        deadline: Moment,
        /// Reason for waiting.
        reason: WaitReason,
    },
    /// Waits for a back end that accepts the call.
    Routing {
        /// Time of the next routing attempt.
        retry_at: Moment,
    },
    /// Waits for a slot on an engine.
    Queued {
        /// The engine.
        engine: EngineId,
        /// The gateway that owns the engine's queue and received the slot request.
        owner: NodeId,
        /// Time at which the slot request is repeated.
        retry_at: Moment,
    },
    /// Waits until the store has recorded durably that the attempt may be sent to the back end.
    Dispatching,
    /// Runs on the back end.
    Running {
        /// Time of the last progress.
        last_progress: Moment,
    },
    /// Waits for a replica to report the result of an attempt that was sent to it earlier.
    LookingUp {
        /// Time at which the lookup was sent.
        sent_at: Moment,
    },
    /// Waits for the answer to become durable.
    Completing,
    /// Waits for the store to close the call.
    Closing(NotRunReason),
    /// Waits for the store to allow another attempt.
    Retrying,
    /// Waits for the store to transfer a call to this gateway.
    Claiming,
    /// Waits for the store to record an unknown outcome.
    GivingUp,
}

/// Reason for [`Phase::WaitingForTurn`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// A call with a lower sequence number in the program has not arrived.
    EarlierCall,
    /// A call with a lower sequence number in the program is running.
    RunningCall,
    /// Another gateway runs the same request.
    SameCall,
    /// The gateway has no lease, so its configuration may be outdated.
    Lease,
}

/// Back end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The back end: an engine for a model call, or a replica of a tool service.
    pub backend: Backend,
    /// Address of the back end.
    pub address: SocketAddr,
}

/// An active call.
#[derive(Debug)]
pub struct Call {
    /// The caller's request; `None` when a caller attached to an existing call.
    pub request: Option<CallRequest>,
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The program of the call.
    pub program: ProgramId,
    /// Idempotency key.
    pub key: IdempotencyKey,
    /// Whether the program was created for this call only.
    pub is_single_call: bool,
    /// The existing call that a caller attached to.
    pub attached_to: Option<CallId>,
    /// Callers that receive the answer.
    pub listeners: Vec<Listener>,
    /// Processing state.
    pub phase: Phase,
    /// Arrival time at this gateway.
    pub arrived_at: Moment,
    /// The store's admission, once granted.
    pub admission: Option<Box<Admission>>,
    /// The current attempt.
    pub attempt: Option<AttemptId>,
    /// Back end of the current attempt.
    pub target: Option<Target>,
    /// Earlier attempt whose stream is resumed.
    pub resumes: Option<AttemptId>,
    /// The answer so far.
    pub text: String,
    /// Length in bytes of the prefix of `text` that earlier attempts produced.
    pub prefix_len: usize,
    /// Back ends to avoid because an attempt on them failed.
    pub excluded: BTreeSet<String>,
    /// Number of back ends that received an earlier attempt and did not answer it.
    pub lost_back_ends: usize,
    /// The complete answer, while it is being stored.
    pub answer: Option<StoredAnswer>,
    /// Failure to report once the unknown outcome is recorded.
    pub failure_cause: Option<FailureCause>,
    /// Whether the program was cancelled.
    pub cancelled: bool,
}

impl Call {
    /// Creates a call with one listener.
    pub fn new(
        tenant: TenantId,
        program: ProgramId,
        key: IdempotencyKey,
        ticket: Ticket,
        now: Moment,
    ) -> Self {
        let listener = Listener { ticket, sent_bytes: 0, admitted_sent: false };
        Self {
            request: None,
            tenant,
            program,
            key,
            is_single_call: false,
            attached_to: None,
            listeners: vec![listener],
            phase: Phase::Admitting,
            arrived_at: now,
            admission: None,
            attempt: None,
            target: None,
            resumes: None,
            text: String::new(),
            prefix_len: 0,
            excluded: BTreeSet::new(),
            lost_back_ends: 0,
            answer: None,
            failure_cause: None,
            cancelled: false,
        }
    }

    /// Returns the engine slot that the call holds.
    pub fn held_slot(&self) -> Option<(EngineId, AttemptId)> {
        let has_slot =
            matches!(self.phase, Phase::Dispatching | Phase::Running { .. } | Phase::Completing);
        let target = self.target.as_ref().filter(|_| has_slot)?;
        match &target.backend {
            Backend::Engine(engine) => Some((engine.clone(), self.attempt.clone()?)),
            Backend::Replica(_) => None,
        }
    }

    /// Returns the number of prompt tokens; 0 before admission.
    pub fn prompt_tokens(&self) -> u64 {
        self.admission.as_ref().map_or(0, |admission| admission.prompt_tokens)
    }
}
