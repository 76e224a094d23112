//! Choice of a back end, slot requests, and the durable dispatch record.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_scheduler::{CostInputs, choose};
use calicohoist_store::commands::program::ProgramCommand;
use calicohoist_store::state::programs::{Backend, CallTarget};
use calicohoist_types::{
    AttemptId, EngineId, EngineSpec, IdempotencyKey, ModelId, Moment, NotRunReason, ServiceId,
};

use crate::core::call::{Call, Phase, Target};
use crate::core::message::{Action, EngineTask, PeerMessage, ServiceTask};
use crate::core::metrics::ATTEMPTS_SENT;
use crate::core::{Gateway, PendingRequest};

/// Delay before a call that no back end accepts is routed again.
const ROUTE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a slot request is repeated.
const ENQUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Gateway {
    /// Chooses a back end for the call.
    pub(super) fn route(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(admission) = &call.admission else {
            return;
        };
        if admission.attempt.number > self.settings.max_attempts + 1 {
            return self.close(now, id, NotRunReason::RefusedByBackend);
        }
        if !self.has_time_for_attempt(now) {
            return self.close(now, id, NotRunReason::ShuttingDown);
        }
        match admission.target.clone() {
            CallTarget::Model(model) => self.route_to_engine(now, id, &model),
            CallTarget::Service(service) => self.route_to_replica(now, id, &service),
        }
    }

    fn route_later(&mut self, now: Moment, id: u64) {
        if let Some(call) = self.calls.get_mut(&id) {
            // No other back end is available, so retry those that failed.
            call.excluded.clear();
            call.phase = Phase::Routing { retry_at: now + ROUTE_RETRY_DELAY };
        }
    }

    fn route_to_engine(&mut self, now: Moment, id: u64, model: &ModelId) {
        let Some(engine) = self.choose_engine(now, id, model) else {
            return self.route_later(now, id);
        };
        let Some(owner) = self.view.owner_of(&engine) else {
            return self.route_later(now, id);
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.phase = Phase::Queued { engine: engine.clone(), owner, retry_at: now };
        self.enqueue(now, id);
    }

    fn choose_engine(&self, now: Moment, id: u64, model: &ModelId) -> Option<EngineId> {
        if !self.view.may_start_attempts(now) {
            return None;
        }
        let call = self.calls.get(&id)?;
        let is_candidate = |(engine, spec): &(EngineId, &EngineSpec)| {
            let accepts = self.view.load(engine).is_some_and(|load| load.accepts);
            let is_excluded = call.excluded.contains(engine.as_str());
            spec.model == *model && accepts && self.view.is_schedulable(engine) && !is_excluded
        };
        let candidates = self.view.engines().filter(is_candidate);
        let own_calls = self.count_calls_by_engine();
        let prompt_tokens = call.prompt_tokens();
        let with_costs = candidates.map(|(engine, spec)| {
            let own_calls = own_calls.get(&engine).copied().unwrap_or_default();
            let inputs = self.cost_inputs(call, prompt_tokens, own_calls, &engine, spec);
            (engine, inputs)
        });
        choose(with_costs, &self.settings.weights)
    }

    /// Counts this gateway's queued and running calls per engine.
    fn count_calls_by_engine(&self) -> BTreeMap<EngineId, u32> {
        let mut counts = BTreeMap::new();
        for engine in self.calls.values().filter_map(Call::engine) {
            *counts.entry(engine).or_default() += 1;
        }
        counts
    }

    fn cost_inputs(
        &self,
        call: &Call,
        prompt_tokens: u64,
        own_calls: u32,
        engine: &EngineId,
        spec: &EngineSpec,
    ) -> CostInputs {
        let load = self.view.load(engine);
        let holdings = call.admission.iter().flat_map(|admission| &admission.holdings);
        let held = holdings.clone().find(|(holder, _)| holder == engine);
        // Reported loads lag behind, so use this gateway's own calls as the minimum.
        let running = load.map_or(0, |load| load.running);
        let waiting = load.map_or(0, |load| load.waiting);
        CostInputs {
            prompt_tokens,
            cached_tokens: held.map_or(0, |(_, tokens)| *tokens),
            running: running.max(own_calls),
            waiting,
            slots: spec.slots,
            same_zone: spec.zone == self.settings.zone,
        }
    }

    /// Sends or repeats a slot request to the engine's owner.
    pub(super) fn enqueue(&mut self, now: Moment, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Phase::Queued { engine, retry_at, .. } = &mut call.phase else {
            return;
        };
        *retry_at = now + ENQUEUE_RETRY_INTERVAL;
        let engine = engine.clone();
        let (Some(attempt), Some(admission)) = (call.attempt.clone(), &call.admission) else {
            return;
        };
        let message = PeerMessage::Enqueue {
            attempt,
            engine: engine.clone(),
            attained_tokens: admission.attained_tokens,
            prompt_tokens: call.prompt_tokens(),
        };
        if let Some(owner) = self.view.owner_of(&engine) {
            self.send_peer_message(now, owner, message);
        }
    }

    pub(in crate::core) fn on_slot_refused(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        engine: EngineId,
        overloaded: bool,
    ) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if !call.waits_for(&engine) {
            return;
        }
        if overloaded {
            call.excluded.insert(engine.as_str().to_owned());
            if self.all_engines_refused(now, id) {
                return self.close(now, id, NotRunReason::Overloaded);
            }
            return self.route(now, id);
        }
        call.phase = Phase::Routing { retry_at: now + ROUTE_RETRY_DELAY };
    }

    /// Returns whether no engine is left that has not refused the call.
    fn all_engines_refused(&self, now: Moment, id: u64) -> bool {
        let admission = self.calls.get(&id).and_then(|call| call.admission.as_ref());
        match admission.map(|admission| &admission.target) {
            Some(CallTarget::Model(model)) => self.choose_engine(now, id, model).is_none(),
            _ => false,
        }
    }

    pub(in crate::core) fn on_granted(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        engine: EngineId,
    ) {
        let id = self.by_attempt.get(&attempt).copied();
        let waits = |id: &u64| self.calls.get(id).is_some_and(|call| call.waits_for(&engine));
        let Some(id) = id.filter(waits) else {
            let is_held = id.and_then(|id| self.calls.get(&id)?.held_slot());
            if is_held.is_none_or(|(held, _)| held != engine)
                && let Some(owner) = self.view.owner_of(&engine)
            {
                self.send_peer_message(now, owner, PeerMessage::Release { attempt, engine });
            }
            return;
        };
        let address = self.view.engine(&engine).map(|spec| spec.address);
        let may_start = self.view.may_start_attempts(now) && self.view.is_schedulable(&engine);
        let usable = address.filter(|_| may_start);
        let target =
            usable.map(|address| Target { backend: Backend::Engine(engine.clone()), address });
        match target {
            Some(target) => self.dispatch(now, id, target),
            None => {
                if let Some(owner) = self.view.owner_of(&engine) {
                    self.send_peer_message(now, owner, PeerMessage::Release { attempt, engine });
                }
                self.route_later(now, id);
            }
        }
    }

    fn route_to_replica(&mut self, now: Moment, id: u64, service: &ServiceId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let replicas = self.view.replicas(service);
        let usable = replicas.into_iter().filter(|(name, spec)| {
            let busy = self.calls.values().filter(|other| other.is_at_replica(name)).count();
            !call.excluded.contains(name) && busy < spec.slots as usize
        });
        let least_busy = usable.min_by_key(|(name, spec)| {
            let busy = self.calls.values().filter(|other| other.is_at_replica(name)).count();
            (busy, spec.zone != self.settings.zone, name.clone())
        });
        match least_busy.filter(|_| self.view.may_start_attempts(now)) {
            Some((name, spec)) => {
                let target = Target { backend: Backend::Replica(name), address: spec.address };
                self.dispatch(now, id, target);
            }
            None => self.route_later(now, id),
        }
    }

    /// Records the attempt as dispatched; [`Gateway::send_attempt`] sends it once the
    /// record is durable.
    pub(super) fn dispatch(&mut self, now: Moment, id: u64, target: Target) {
        let by = self.settings.node.clone();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(attempt) = call.attempt.clone() else {
            return;
        };
        let backend = target.backend.clone();
        call.target = Some(target);
        call.phase = Phase::Dispatching;
        let program = attempt.call.program.clone();
        let resumes = call.resumes.is_some();
        let command = ProgramCommand::Dispatch { attempt, by, backend, resumes };
        self.send_command(now, PendingRequest::Call(id), &program, command);
    }

    /// Returns whether the back end of a new attempt no longer accepts work, or may not. Always
    /// false for an attempt that resumes a stream.
    fn target_may_be_leaving(&self, now: Moment, id: u64) -> bool {
        let call = self.calls.get(&id).filter(|call| call.resumes.is_none());
        let is_schedulable = match call.and_then(|call| call.target.as_ref()) {
            Some(Target { backend: Backend::Engine(engine), .. }) => {
                self.view.is_schedulable(engine)
            }
            Some(Target { backend: Backend::Replica(name), .. }) => {
                self.view.is_replica_schedulable(name)
            }
            None => return false,
        };
        !is_schedulable || !self.view.may_start_attempts(now)
    }

    /// Sends the attempt after its dispatch record became durable.
    pub(super) fn send_attempt(&mut self, now: Moment, id: u64) {
        if !self.view.has_lease(now) {
            // Without a lease the view may not show that the back end is leaving.
            return self.retry(now, id, true);
        }
        if self.target_may_be_leaving(now, id) {
            // The back end began to leave before the record became durable, or the gateway lost its
            // lease meanwhile.
            return self.retry(now, id, true);
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let kind = if call.resumes.is_some() { "resumed" } else { "new" };
        ATTEMPTS_SENT.inc(kind);
        call.phase = Phase::Running { last_progress: now };
        call.prefix_len = call.text.len();
        if let Some(task) = engine_task(call) {
            self.actions.push(Action::RunOnEngine(Box::new(task)));
        } else if let Some(task) = service_task(call, false) {
            self.actions.push(Action::RunOnService(Box::new(task)));
        }
    }
}

impl Call {
    /// Returns whether the call waits for a slot of `engine`.
    fn waits_for(&self, engine: &EngineId) -> bool {
        matches!(&self.phase, Phase::Queued { engine: queued, .. } if queued == engine)
    }

    /// Returns the engine on which the call is queued or running.
    fn engine(&self) -> Option<EngineId> {
        match &self.phase {
            Phase::Queued { engine, .. } => Some(engine.clone()),
            _ => self.held_slot().map(|(engine, _)| engine),
        }
    }

    fn is_at_replica(&self, name: &str) -> bool {
        let is_sent = matches!(
            self.phase,
            Phase::Dispatching | Phase::Running { .. } | Phase::LookingUp { .. }
        );
        let backend = self.target.as_ref().map(|target| &target.backend);
        is_sent && matches!(backend, Some(Backend::Replica(replica)) if replica == name)
    }
}

/// Builds the task for the engine to which the call is dispatched.
pub(super) fn engine_task(call: &Call) -> Option<EngineTask> {
    let (target, admission) = (call.target.as_ref()?, call.admission.as_ref()?);
    let (Backend::Engine(engine), CallTarget::Model(model)) = (&target.backend, &admission.target)
    else {
        return None;
    };
    Some(EngineTask {
        attempt: call.attempt.clone()?,
        engine: engine.clone(),
        address: target.address,
        model: model.clone(),
        prompt: admission.prompt.clone(),
        continuation: call.text.clone(),
        max_tokens: admission.max_tokens,
        priority: admission.attained_tokens,
        resume: call.resumes.clone(),
    })
}

/// Builds the task for the replica to which the call is dispatched.
pub(super) fn service_task(call: &Call, lookup_only: bool) -> Option<ServiceTask> {
    let (target, admission) = (call.target.as_ref()?, call.admission.as_ref()?);
    let CallTarget::Service(service) = &admission.target else {
        return None;
    };
    let attempt = call.attempt.clone()?;
    Some(ServiceTask {
        address: target.address,
        service: service.clone(),
        key: service_key(call, &attempt),
        input: admission.prompt.last().map(|message| message.content.clone())?,
        lookup_only,
        attempt,
    })
}

/// Returns the idempotency key that all attempts of a call share.
fn service_key(call: &Call, attempt: &AttemptId) -> IdempotencyKey {
    IdempotencyKey::new(format!("{}/{}", attempt.call, call.key))
}
