//! Engines, services and the platform in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use calicohoist_emulator::engine::model::EngineProfile;
use calicohoist_emulator::{
    EngineModel, EngineOutput, EngineRecord, ServiceModel, ServiceRecord, Submission,
};
use calicohoist_gateway::core::message::{
    BackendEvent, BackendFailure, EngineReport, EngineTask, ServiceTask,
};
use calicohoist_types::backend_api::JobRequest;
use calicohoist_types::{AttemptId, EngineId, ModelId, ProgramId, Usage};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::frame::{Actor, Frame, Start};
use super::world::{Happening, World};
use crate::deployment::Deployment;

/// The model that only probes of the configuration use.
pub const PROBE_MODEL: &str = "probe";
/// Time of the fastest job.
const FASTEST_JOB: Duration = Duration::from_millis(60);

/// Who listens to an attempt on an engine.
#[derive(Clone, Debug)]
struct Subscriber {
    gateway: usize,
    start: Start,
    /// The attempt as the gateway calls it; another one after a resume.
    known_as: AttemptId,
    sent: usize,
}

/// What an engine said in an attempt.
#[derive(Clone, Debug, Default)]
struct Stream {
    text: String,
    end: Option<(&'static str, Usage)>,
    subscribers: Vec<Subscriber>,
}

/// An engine.
pub struct EnginePart {
    pub(super) name: EngineId,
    pub(super) address: SocketAddr,
    pub(super) model_name: ModelId,
    model: Option<EngineModel>,
    profile: EngineProfile,
    pub(super) start: Start,
    pub(super) hung: bool,
    streams: BTreeMap<AttemptId, Stream>,
    past_records: Vec<EngineRecord>,
    step_planned: bool,
}

/// A service replica.
pub struct ReplicaPart {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    model: ServiceModel,
    pub(super) is_up: bool,
    pub(super) start: Start,
    pub(super) hung: bool,
}

/// Engines for the deployment's model, and one for probes.
pub fn engines(deployment: Deployment, count: usize, random: &mut ChaCha8Rng) -> Vec<EnginePart> {
    let model_of = |index: usize| if index < count { deployment.model() } else { PROBE_MODEL };
    (0..=count)
        .map(|index| {
            let name = EngineId::new(format!("engine-{index}"));
            let model_name = ModelId::new(model_of(index));
            let profile = EngineProfile::default();
            let seed = random.random();
            let model = EngineModel::new(name.as_str(), profile.clone(), model_name.clone(), seed);
            EnginePart {
                name,
                address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
                model_name,
                model: Some(model),
                profile,
                start: 1,
                hung: false,
                streams: BTreeMap::new(),
                past_records: Vec::new(),
                step_planned: false,
            }
        })
        .collect()
}

/// Replicas of the deployment's service.
pub fn replicas(deployment: Deployment, count: usize, random: &mut ChaCha8Rng) -> Vec<ReplicaPart> {
    (0..count)
        .map(|index| {
            let name = format!("{}-{index}", deployment.service());
            ReplicaPart {
                model: ServiceModel::new(&name, FASTEST_JOB, random.random()),
                name,
                address: ([127, 0, 0, 1], 20_000 + index as u16).into(),
                is_up: true,
                start: 1,
                hung: false,
            }
        })
        .collect()
}

impl EnginePart {
    /// Everything it was asked to do, in all its lives.
    pub fn records(&self) -> Vec<EngineRecord> {
        let present = self.model.iter().flat_map(EngineModel::records);
        self.past_records.iter().chain(present).cloned().collect()
    }

    /// Programs it holds memory of.
    pub fn holdings(&self) -> Vec<(ProgramId, u64)> {
        self.model.as_ref().map(EngineModel::cached_programs).unwrap_or_default()
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        if let Some(model) = &mut self.model {
            model.leave();
        }
    }
}

impl ReplicaPart {
    /// Every key it executed.
    pub fn records(&self) -> Vec<ServiceRecord> {
        self.model.records().cloned().collect()
    }
}

impl World {
    pub(super) fn engine_input(&mut self, index: usize, frame: Frame) {
        let is_up = self.engines[index].model.is_some();
        match frame {
            Frame::EngineRun { gateway, start, order } if is_up => {
                self.run_on_engine(index, gateway, start, &order);
            }
            Frame::EngineRun { gateway, start, order } => {
                let failure = BackendFailure::NotStarted;
                self.tell_gateway(
                    index,
                    gateway,
                    start,
                    order.attempt,
                    BackendEvent::Failed(failure),
                );
            }
            Frame::EngineCancel(attempt) => {
                let part = &mut self.engines[index];
                if let Some(model) = &mut part.model {
                    model.cancel(&attempt);
                }
                part.streams.remove(&attempt);
            }
            Frame::EngineRelease { gateway, start, program } => {
                let now = self.now;
                let part = &mut self.engines[index];
                let confirmed =
                    part.model.as_mut().map(|model| model.release(now, &program)).is_some();
                let running = part.streams.iter().filter(|(attempt, stream)| {
                    attempt.call.program == program && stream.end.is_none()
                });
                let cut: Vec<AttemptId> = running.map(|(attempt, _)| attempt.clone()).collect();
                for attempt in cut {
                    self.break_stream(index, &attempt);
                }
                let frame = Frame::Released { start, engine: index, program, confirmed };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            Frame::EngineList { gateway, start } if is_up => {
                let held = self.engines[index].holdings();
                let programs = held.into_iter().map(|(program, _)| program).collect();
                let frame = Frame::Listing { start, engine: index, programs };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            Frame::EngineProbe { gateway, start } => {
                let now = self.now;
                let part = &mut self.engines[index];
                let report = part
                    .model
                    .as_mut()
                    .filter(|_| !part.hung)
                    .map(|model| EngineReport { leaving: model.load(now).leaving });
                let frame = Frame::Report { start, engine: index, report };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            _ => {}
        }
    }

    fn run_on_engine(&mut self, index: usize, gateway: usize, start: Start, order: &EngineTask) {
        let now = self.now;
        let part = &mut self.engines[index];
        let subscriber =
            |sent: usize| Subscriber { gateway, start, known_as: order.attempt.clone(), sent };
        if let Some(earlier) = &order.resume {
            return match part.streams.get_mut(earlier) {
                Some(stream) => {
                    stream.subscribers.push(subscriber(0));
                    let earlier = earlier.clone();
                    self.publish(index, &earlier);
                }
                None => {
                    let failure = BackendEvent::Failed(BackendFailure::NothingToResume);
                    self.tell_gateway(index, gateway, start, order.attempt.clone(), failure);
                }
            };
        }
        let submission = Submission {
            attempt: order.attempt.clone(),
            program: order.attempt.call.program.clone(),
            model: order.model.clone(),
            prompt: order.prompt.clone(),
            continuation: order.continuation.clone(),
            max_tokens: order.max_tokens,
            priority: order.priority,
        };
        let submitted = part.model.as_mut().map(|model| model.submit(now, submission));
        if submitted != Some(Ok(())) {
            let failure = BackendEvent::Failed(BackendFailure::NotStarted);
            return self.tell_gateway(index, gateway, start, order.attempt.clone(), failure);
        }
        let sent = order.continuation.len();
        let stream = Stream {
            text: order.continuation.clone(),
            end: None,
            subscribers: vec![subscriber(sent)],
        };
        part.streams.insert(order.attempt.clone(), stream);
        self.plan_step(index);
    }

    fn plan_step(&mut self, index: usize) {
        let part = &mut self.engines[index];
        let end = part.model.as_ref().and_then(EngineModel::next_step_end);
        let Some(end) = end.filter(|_| !part.step_planned && !part.hung) else {
            return;
        };
        part.step_planned = true;
        let (start, at) = (part.start, end.max(self.now));
        self.plan(at, Happening::EngineStep(index, start));
    }

    pub(super) fn engine_step(&mut self, index: usize, start: Start) {
        let now = self.now;
        let part = &mut self.engines[index];
        if part.start != start {
            return;
        }
        part.step_planned = false;
        if part.hung {
            return;
        }
        let outputs = part.model.as_mut().map(|model| model.advance(now)).unwrap_or_default();
        let mut changed = Vec::new();
        for output in outputs {
            let attempt = match &output {
                EngineOutput::Text { attempt, .. } | EngineOutput::Done { attempt, .. } => {
                    attempt.clone()
                }
            };
            if let Some(stream) = part.streams.get_mut(&attempt) {
                match output {
                    EngineOutput::Text { text, .. } => stream.text.push_str(&text),
                    EngineOutput::Done { finish_reason, usage, .. } => {
                        stream.end = Some((finish_reason, usage));
                    }
                }
            }
            changed.push(attempt);
        }
        changed.dedup();
        for attempt in changed {
            self.publish(index, &attempt);
        }
        self.plan_step(index);
    }

    /// Sends the listeners of an attempt what they lack.
    fn publish(&mut self, index: usize, attempt: &AttemptId) {
        let Some(stream) = self.engines[index].streams.get_mut(attempt) else {
            return;
        };
        let (text, end) = (stream.text.clone(), stream.end);
        let subscribers = std::mem::take(&mut stream.subscribers);
        let mut kept = Vec::new();
        for mut subscriber in subscribers {
            let missing = text.get(subscriber.sent..).unwrap_or_default().to_owned();
            let mut events = Vec::new();
            if !missing.is_empty() {
                events.push(BackendEvent::Text { offset: subscriber.sent, text: missing });
                subscriber.sent = text.len();
            }
            if let Some((reason, usage)) = end {
                events.push(BackendEvent::Done { finish_reason: reason.to_owned(), usage });
            }
            let sent = events.into_iter().all(|event| {
                let frame = Frame::Backend {
                    start: subscriber.start,
                    attempt: subscriber.known_as.clone(),
                    event,
                };
                self.send_ordered(Actor::Engine(index), Actor::Gateway(subscriber.gateway), frame)
            });
            // A connection that lost something carries nothing any more.
            if sent && end.is_none() {
                kept.push(subscriber);
            }
        }
        if let Some(stream) = self.engines[index].streams.get_mut(attempt) {
            stream.subscribers = kept;
        }
    }

    fn break_stream(&mut self, index: usize, attempt: &AttemptId) {
        let Some(stream) = self.engines[index].streams.remove(attempt) else {
            return;
        };
        for subscriber in stream.subscribers {
            let event = BackendEvent::Failed(BackendFailure::Broken);
            let Subscriber { gateway, start, known_as, .. } = subscriber;
            self.tell_gateway(index, gateway, start, known_as, event);
        }
    }

    fn tell_gateway(
        &mut self,
        index: usize,
        gateway: usize,
        start: Start,
        attempt: AttemptId,
        event: BackendEvent,
    ) {
        let frame = Frame::Backend { start, attempt, event };
        self.send_ordered(Actor::Engine(index), Actor::Gateway(gateway), frame);
    }

    /// The engine dies with its memory.
    pub(super) fn kill_engine(&mut self, index: usize) {
        let part = &mut self.engines[index];
        part.start += 1;
        part.step_planned = false;
        if let Some(model) = part.model.take() {
            part.past_records.extend(model.records().cloned());
        }
        let attempts: Vec<AttemptId> = part.streams.keys().cloned().collect();
        for attempt in attempts {
            self.break_stream(index, &attempt);
        }
    }

    /// The engine comes back, empty.
    pub(super) fn start_engine(&mut self, index: usize) {
        let seed = self.random.random();
        let part = &mut self.engines[index];
        if part.model.is_none() {
            let name = part.name.as_str();
            let model = EngineModel::new(name, part.profile.clone(), part.model_name.clone(), seed);
            part.model = Some(model);
        }
    }

    /// The engine stops generating, or goes on.
    pub(super) fn hang_engine(&mut self, index: usize, hung: bool) {
        self.engines[index].hung = hung;
        if !hung {
            self.plan_step(index);
        }
    }

    pub(super) fn replica_input(&mut self, index: usize, frame: Frame) {
        let Frame::ServiceRun { gateway, start, order } = frame else {
            return;
        };
        let part = &mut self.replicas[index];
        if !part.is_up {
            let failure = BackendEvent::Failed(BackendFailure::NotStarted);
            return self.tell_from_replica(index, gateway, start, &order, vec![failure]);
        }
        if order.lookup_only {
            let found = part.model.look_up(order.key.as_str());
            let events = match found {
                Some(result) => answered(result.output),
                None => vec![BackendEvent::Failed(BackendFailure::NotSeen)],
            };
            return self.tell_from_replica(index, gateway, start, &order, events);
        }
        let duration = part.model.draw_duration();
        let own_start = part.start;
        let frame = Frame::ServiceRun { gateway, start, order };
        self.plan_in(duration, Happening::JobDone(index, own_start, Box::new(frame)));
    }

    pub(super) fn job_done(&mut self, index: usize, own_start: Start, frame: Frame) {
        let Frame::ServiceRun { gateway, start, order } = frame else {
            return;
        };
        let now = self.now;
        let part = &mut self.replicas[index];
        if part.start != own_start {
            let failure = BackendEvent::Failed(BackendFailure::Broken);
            return self.tell_from_replica(index, gateway, start, &order, vec![failure]);
        }
        let job = JobRequest {
            key: order.key.as_str().to_owned(),
            service: order.service.as_str().to_owned(),
            input: order.input.clone(),
        };
        let result = part.model.execute(now, &job);
        if !part.hung {
            self.tell_from_replica(index, gateway, start, &order, answered(result.output));
        }
    }

    fn tell_from_replica(
        &mut self,
        index: usize,
        gateway: usize,
        start: Start,
        order: &ServiceTask,
        events: Vec<BackendEvent>,
    ) {
        for event in events {
            let frame = Frame::Backend { start, attempt: order.attempt.clone(), event };
            self.send_ordered(Actor::Replica(index), Actor::Gateway(gateway), frame);
        }
    }
}

fn answered(output: String) -> Vec<BackendEvent> {
    vec![
        BackendEvent::Text { offset: 0, text: output },
        BackendEvent::Done { finish_reason: "stop".to_owned(), usage: Usage::default() },
    ]
}
