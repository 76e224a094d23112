//! One call under way in a gateway.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use calicohoist_store::commands::program::Admission;
use calicohoist_store::state::programs::{Backend, StoredAnswer};
use calicohoist_types::{
    AttemptId, CallId, EngineId, IdempotencyKey, Moment, NodeId, NotRunReason, ProgramId, TenantId,
};

use super::message::{CallRequest, FailureCause, Ticket};

/// A caller that listens, and how much of the answer it has.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The caller.
    pub ticket: Ticket,
    /// Bytes of the answer sent to it.
    pub sent: usize,
    /// Whether it was told that the call is admitted.
    pub told_admitted: bool,
}

/// What a call waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// The store's answer to its admission.
    Beginning,
    /// Its turn, or the same request elsewhere; asks again at this moment.
    WaitingTurn {
        /// When to ask again.
        again_at: Moment,
        /// When to stop asking.
        until: Moment,
        /// What it waits for.
        what: Waiting,
    },
    /// A back end that takes it; looks again at this moment.
    Routing {
        /// When to look again.
        again_at: Moment,
    },
    /// A slot of an engine.
    Queued {
        /// The engine.
        engine: EngineId,
        /// The owner that was asked.
        owner: NodeId,
        /// When to ask again.
        again_at: Moment,
    },
    /// The store's word that the dispatch mark is durable.
    Dispatching,
    /// The back end.
    Running {
        /// When it last made progress.
        progress: Moment,
    },
    /// A back end's word on an earlier attempt.
    LookingUp {
        /// When it was asked.
        since: Moment,
    },
    /// The store's word that the answer is durable.
    Completing,
    /// The store's word that the call is closed.
    Closing(NotRunReason),
    /// The store's word that another attempt may start.
    Retrying,
    /// The store's word on the claim of another gateway's call.
    Claiming,
    /// The store's word that the outcome is given up.
    GivingUp,
}

/// What [`Phase::WaitingTurn`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// An earlier call that has not arrived.
    EarlierCall,
    /// An earlier call that runs.
    RunningCall,
    /// The same request in another gateway.
    SameCall,
    /// The gateway's lease, and with it the newest configuration.
    Lease,
}

/// Where an attempt was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The back end.
    pub backend: Backend,
    /// Its address.
    pub address: SocketAddr,
}

/// One call under way.
#[derive(Debug)]
pub struct Call {
    /// The caller's request; `None` for a call that was only attached to.
    pub request: Option<CallRequest>,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its program.
    pub program: ProgramId,
    /// Its key.
    pub key: IdempotencyKey,
    /// Whether the program was made for this call alone.
    pub is_alone: bool,
    /// The place a caller attached to.
    pub attached: Option<CallId>,
    /// Callers that listen.
    pub listeners: Vec<Listener>,
    /// What it waits for.
    pub phase: Phase,
    /// When it arrived here.
    pub since: Moment,
    /// What the store admitted.
    pub admission: Option<Box<Admission>>,
    /// The attempt under way.
    pub attempt: Option<AttemptId>,
    /// Where it was sent.
    pub target: Option<Target>,
    /// The earlier attempt whose stream is resumed.
    pub resumes: Option<AttemptId>,
    /// The answer so far.
    pub text: String,
    /// Text that was produced before the attempt under way.
    pub continuation: usize,
    /// Engines or replicas that failed it.
    pub excluded: BTreeSet<String>,
    /// The whole answer, while it is stored.
    pub answer: Option<StoredAnswer>,
    /// What to report when the call is given up.
    pub cause: Option<FailureCause>,
    /// Its program was cancelled.
    pub cancelled: bool,
}

impl Call {
    /// A call that has just arrived.
    pub fn new(
        tenant: TenantId,
        program: ProgramId,
        key: IdempotencyKey,
        listener: Ticket,
        now: Moment,
    ) -> Self {
        let listener = Listener { ticket: listener, sent: 0, told_admitted: false };
        Self {
            request: None,
            tenant,
            program,
            key,
            is_alone: false,
            attached: None,
            listeners: vec![listener],
            phase: Phase::Beginning,
            since: now,
            admission: None,
            attempt: None,
            target: None,
            resumes: None,
            text: String::new(),
            continuation: 0,
            excluded: BTreeSet::new(),
            answer: None,
            cause: None,
            cancelled: false,
        }
    }

    /// The slot it holds, if it does.
    pub fn held_slot(&self) -> Option<(EngineId, AttemptId)> {
        let has_slot =
            matches!(self.phase, Phase::Dispatching | Phase::Running { .. } | Phase::Completing);
        let target = self.target.as_ref().filter(|_| has_slot)?;
        match &target.backend {
            Backend::Engine(engine) => Some((engine.clone(), self.attempt.clone()?)),
            Backend::Replica(_) => None,
        }
    }

    /// Tokens of its prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.admission.as_ref().map_or(0, |admission| admission.prompt_tokens)
    }
}
