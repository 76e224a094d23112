//! Simulated engines and service replicas.

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

use super::frame::{Actor, Frame, Generation};
use super::world::{SimEvent, World};
use crate::deployment::Deployment;

/// Model that only configuration probes use.
pub const PROBE_MODEL: &str = "probe";
/// Minimum duration of a job.
const MIN_JOB_DURATION: Duration = Duration::from_millis(60);

/// A gateway that receives the output of an attempt.
#[derive(Clone, Debug)]
struct Subscriber {
    gateway: usize,
    generation: Generation,
    /// Attempt id used in events for this gateway; differs from the original after a resume.
    reported_as: AttemptId,
    sent: usize,
}

/// Output of an attempt and its subscribers.
#[derive(Clone, Debug, Default)]
struct Stream {
    text: String,
    end: Option<(&'static str, Usage)>,
    subscribers: Vec<Subscriber>,
}

/// A simulated engine.
pub struct SimEngine {
    pub(super) name: EngineId,
    pub(super) address: SocketAddr,
    pub(super) model_name: ModelId,
    model: Option<EngineModel>,
    profile: EngineProfile,
    pub(super) generation: Generation,
    pub(super) hung: bool,
    streams: BTreeMap<AttemptId, Stream>,
    earlier_records: Vec<EngineRecord>,
    step_scheduled: bool,
}

/// A simulated service replica.
pub struct SimReplica {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    model: ServiceModel,
    pub(super) is_up: bool,
    pub(super) generation: Generation,
    pub(super) hung: bool,
}

/// Creates engines for the deployment's model and one for configuration probes.
pub fn engines(deployment: Deployment, count: usize, random: &mut ChaCha8Rng) -> Vec<SimEngine> {
    let model_of = |index: usize| if index < count { deployment.model() } else { PROBE_MODEL };
    (0..=count)
        .map(|index| {
            let name = EngineId::new(format!("engine-{index}"));
            let model_name = ModelId::new(model_of(index));
            let profile = EngineProfile::default();
            let seed = random.random();
            let model = EngineModel::new(name.as_str(), profile.clone(), model_name.clone(), seed);
            SimEngine {
                name,
                address: ([127, 0, 0, 1], 10_000 + index as u16).into(),
                model_name,
                model: Some(model),
                profile,
                generation: 1,
                hung: false,
                streams: BTreeMap::new(),
                earlier_records: Vec::new(),
                step_scheduled: false,
            }
        })
        .collect()
}

/// Creates replicas of the deployment's service.
pub fn replicas(deployment: Deployment, count: usize, random: &mut ChaCha8Rng) -> Vec<SimReplica> {
    (0..count)
        .map(|index| {
            let name = format!("{}-{index}", deployment.service());
            SimReplica {
                model: ServiceModel::new(&name, MIN_JOB_DURATION, random.random()),
                name,
                address: ([127, 0, 0, 1], 20_000 + index as u16).into(),
                is_up: true,
                generation: 1,
                hung: false,
            }
        })
        .collect()
}

impl SimEngine {
    /// Returns the records of all requests, including those before restarts.
    pub fn records(&self) -> Vec<EngineRecord> {
        let current = self.model.iter().flat_map(EngineModel::records);
        self.earlier_records.iter().chain(current).cloned().collect()
    }

    /// Returns the programs in its cache and their tokens.
    pub fn holdings(&self) -> Vec<(ProgramId, u64)> {
        self.model.as_ref().map(EngineModel::cached_programs).unwrap_or_default()
    }

    /// Stops accepting new requests.
    pub fn leave(&mut self) {
        if let Some(model) = &mut self.model {
            model.leave();
        }
    }
}

impl SimReplica {
    /// Returns the records of all executed keys.
    pub fn records(&self) -> Vec<ServiceRecord> {
        self.model.records().cloned().collect()
    }
}

impl World {
    pub(super) fn engine_input(&mut self, index: usize, frame: Frame) {
        let is_up = self.engines[index].model.is_some();
        match frame {
            Frame::EngineRun { gateway, generation, order } if is_up => {
                self.run_on_engine(index, gateway, generation, &order);
            }
            Frame::EngineRun { gateway, generation, order } => {
                let failure = BackendFailure::NotStarted;
                self.send_engine_event(
                    index,
                    gateway,
                    generation,
                    order.attempt,
                    BackendEvent::Failed(failure),
                );
            }
            Frame::EngineCancel(attempt) => {
                let engine = &mut self.engines[index];
                if let Some(model) = &mut engine.model {
                    model.cancel(&attempt);
                }
                engine.streams.remove(&attempt);
            }
            Frame::EngineRelease { gateway, generation, program } => {
                let now = self.now;
                let engine = &mut self.engines[index];
                let confirmed =
                    engine.model.as_mut().map(|model| model.release(now, &program)).is_some();
                let running = engine.streams.iter().filter(|(attempt, stream)| {
                    attempt.call.program == program && stream.end.is_none()
                });
                let attempts: Vec<AttemptId> =
                    running.map(|(attempt, _)| attempt.clone()).collect();
                for attempt in attempts {
                    self.fail_stream(index, &attempt);
                }
                let frame = Frame::Released { generation, engine: index, program, confirmed };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            Frame::EngineList { gateway, generation } if is_up => {
                let cached = self.engines[index].holdings();
                let programs = cached.into_iter().map(|(program, _)| program).collect();
                let frame = Frame::Listing { generation, engine: index, programs };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            Frame::EngineProbe { gateway, generation } => {
                let now = self.now;
                let engine = &mut self.engines[index];
                let report = engine
                    .model
                    .as_mut()
                    .filter(|_| !engine.hung)
                    .map(|model| EngineReport { leaving: model.load(now).leaving });
                let frame = Frame::Report { generation, engine: index, report };
                self.send(Actor::Engine(index), Actor::Gateway(gateway), frame);
            }
            _ => {}
        }
    }

    fn run_on_engine(
        &mut self,
        index: usize,
        gateway: usize,
        generation: Generation,
        order: &EngineTask,
    ) {
        let now = self.now;
        let engine = &mut self.engines[index];
        let subscriber = |sent: usize| Subscriber {
            gateway,
            generation,
            reported_as: order.attempt.clone(),
            sent,
        };
        if let Some(earlier) = &order.resume {
            return match engine.streams.get_mut(earlier) {
                Some(stream) => {
                    stream.subscribers.push(subscriber(0));
                    let earlier = earlier.clone();
                    self.publish(index, &earlier);
                }
                None => {
                    let failure = BackendEvent::Failed(BackendFailure::NothingToResume);
                    self.send_engine_event(
                        index,
                        gateway,
                        generation,
                        order.attempt.clone(),
                        failure,
                    );
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
        let submitted = engine.model.as_mut().map(|model| model.submit(now, submission));
        if submitted != Some(Ok(())) {
            let failure = BackendEvent::Failed(BackendFailure::NotStarted);
            return self.send_engine_event(
                index,
                gateway,
                generation,
                order.attempt.clone(),
                failure,
            );
        }
        let sent = order.continuation.len();
        let stream = Stream {
            text: order.continuation.clone(),
            end: None,
            subscribers: vec![subscriber(sent)],
        };
        engine.streams.insert(order.attempt.clone(), stream);
        self.schedule_step(index);
    }

    fn schedule_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let end = engine.model.as_ref().and_then(EngineModel::next_step_end);
        let Some(end) = end.filter(|_| !engine.step_scheduled && !engine.hung) else {
            return;
        };
        engine.step_scheduled = true;
        let (generation, at) = (engine.generation, end.max(self.now));
        self.schedule(at, SimEvent::EngineStep(index, generation));
    }

    pub(super) fn engine_step(&mut self, index: usize, generation: Generation) {
        let now = self.now;
        let engine = &mut self.engines[index];
        if engine.generation != generation {
            return;
        }
        engine.step_scheduled = false;
        if engine.hung {
            return;
        }
        let outputs = engine.model.as_mut().map(|model| model.advance(now)).unwrap_or_default();
        let mut changed = Vec::new();
        for output in outputs {
            let attempt = match &output {
                EngineOutput::Text { attempt, .. } | EngineOutput::Done { attempt, .. } => {
                    attempt.clone()
                }
            };
            if let Some(stream) = engine.streams.get_mut(&attempt) {
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
        self.schedule_step(index);
    }

    /// Sends the subscribers of an attempt the output they have not received yet.
    fn publish(&mut self, index: usize, attempt: &AttemptId) {
        let Some(stream) = self.engines[index].streams.get_mut(attempt) else {
            return;
        };
        let (text, end) = (stream.text.clone(), stream.end);
        let subscribers = std::mem::take(&mut stream.subscribers);
        let mut remaining = Vec::new();
        for mut subscriber in subscribers {
            let unsent = text.get(subscriber.sent..).unwrap_or_default().to_owned();
            let mut events = Vec::new();
            if !unsent.is_empty() {
                events.push(BackendEvent::Text { offset: subscriber.sent, text: unsent });
                subscriber.sent = text.len();
            }
            if let Some((reason, usage)) = end {
                events.push(BackendEvent::Done { finish_reason: reason.to_owned(), usage });
            }
            let sent = events.into_iter().all(|event| {
                let frame = Frame::Backend {
                    generation: subscriber.generation,
                    attempt: subscriber.reported_as.clone(),
                    event,
                };
                self.send_ordered(Actor::Engine(index), Actor::Gateway(subscriber.gateway), frame)
            });
            // An ordered connection that lost a frame delivers nothing more.
            if sent && end.is_none() {
                remaining.push(subscriber);
            }
        }
        if let Some(stream) = self.engines[index].streams.get_mut(attempt) {
            stream.subscribers = remaining;
        }
    }

    fn fail_stream(&mut self, index: usize, attempt: &AttemptId) {
        let Some(stream) = self.engines[index].streams.remove(attempt) else {
            return;
        };
        for subscriber in stream.subscribers {
            let event = BackendEvent::Failed(BackendFailure::Broken);
            let Subscriber { gateway, generation, reported_as, .. } = subscriber;
            self.send_engine_event(index, gateway, generation, reported_as, event);
        }
    }

    fn send_engine_event(
        &mut self,
        index: usize,
        gateway: usize,
        generation: Generation,
        attempt: AttemptId,
        event: BackendEvent,
    ) {
        let frame = Frame::Backend { generation, attempt, event };
        self.send_ordered(Actor::Engine(index), Actor::Gateway(gateway), frame);
    }

    /// Kills an engine; its cache is lost.
    pub(super) fn kill_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.generation += 1;
        engine.step_scheduled = false;
        if let Some(model) = engine.model.take() {
            engine.earlier_records.extend(model.records().cloned());
        }
        let attempts: Vec<AttemptId> = engine.streams.keys().cloned().collect();
        for attempt in attempts {
            self.fail_stream(index, &attempt);
        }
    }

    /// Restarts a killed engine with an empty cache.
    pub(super) fn start_engine(&mut self, index: usize) {
        let seed = self.random.random();
        let engine = &mut self.engines[index];
        if engine.model.is_none() {
            let name = engine.name.as_str();
            let model =
                EngineModel::new(name, engine.profile.clone(), engine.model_name.clone(), seed);
            engine.model = Some(model);
        }
    }

    /// Suspends or resumes token generation of an engine.
    pub(super) fn hang_engine(&mut self, index: usize, hung: bool) {
        self.engines[index].hung = hung;
        if !hung {
            self.schedule_step(index);
        }
    }

    pub(super) fn replica_input(&mut self, index: usize, frame: Frame) {
        let Frame::ServiceRun { gateway, generation, order } = frame else {
            return;
        };
        let replica = &mut self.replicas[index];
        if !replica.is_up {
            let failure = BackendEvent::Failed(BackendFailure::NotStarted);
            return self.send_replica_events(index, gateway, generation, &order, vec![failure]);
        }
        if order.lookup_only {
            let found = replica.model.look_up(order.key.as_str());
            let events = match found {
                Some(result) => completion_events(result.output),
                None => vec![BackendEvent::Failed(BackendFailure::NotSeen)],
            };
            return self.send_replica_events(index, gateway, generation, &order, events);
        }
        let duration = replica.model.draw_duration();
        let replica_generation = replica.generation;
        let frame = Frame::ServiceRun { gateway, generation, order };
        self.schedule_in(duration, SimEvent::JobDone(index, replica_generation, Box::new(frame)));
    }

    pub(super) fn job_done(&mut self, index: usize, replica_generation: Generation, frame: Frame) {
        let Frame::ServiceRun { gateway, generation, order } = frame else {
            return;
        };
        let now = self.now;
        let replica = &mut self.replicas[index];
        if replica.generation != replica_generation {
            let failure = BackendEvent::Failed(BackendFailure::Broken);
            return self.send_replica_events(index, gateway, generation, &order, vec![failure]);
        }
        let job = JobRequest {
            key: order.key.as_str().to_owned(),
            service: order.service.as_str().to_owned(),
            input: order.input.clone(),
        };
        let result = replica.model.execute(now, &job);
        if !replica.hung {
            self.send_replica_events(
                index,
                gateway,
                generation,
                &order,
                completion_events(result.output),
            );
        }
    }

    fn send_replica_events(
        &mut self,
        index: usize,
        gateway: usize,
        generation: Generation,
        order: &ServiceTask,
        events: Vec<BackendEvent>,
    ) {
        for event in events {
            let frame = Frame::Backend { generation, attempt: order.attempt.clone(), event };
            self.send_ordered(Actor::Replica(index), Actor::Gateway(gateway), frame);
        }
    }
}

fn completion_events(output: String) -> Vec<BackendEvent> {
    vec![
        BackendEvent::Text { offset: 0, text: output },
        BackendEvent::Done { finish_reason: "stop".to_owned(), usage: Usage::default() },
    ]
}
