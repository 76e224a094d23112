//! Discrete-event simulation of engines and callers around the scheduler.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use calicohoist_routing::{Replica, ReplicaState};
use calicohoist_scheduler::{
    Decision, FleetView, PlacementRequest, PrefixIndex, PromptPart, RunSample, TurnRun,
    TurnScheduler,
};

use crate::load::{EngineModel, ProgramKind, ProgramPlan, ROUND_TRIP_MS, Rng, TurnPlan};

/// Request deadline, in ms.
const DEADLINE_MS: u64 = 3_000;
/// Length of the prompt part shared by all programs of a kind, in tokens.
const SHARED_TOKENS: u32 = 512;
/// Maximum retries of a refused program.
const MAX_RETRIES: u32 = 1;
const TICK_US: u64 = 20_000;

/// Multiplies arrival rates between two times.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from_s: f64,
    pub to_s: f64,
    pub factor: f64,
    /// Priority of the affected kind; `None` for all kinds.
    pub priority: Option<u8>,
}

/// Simulation parameters.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub engine: EngineModel,
    pub engines: usize,
    /// Number of engines that the arrivals are scaled to.
    pub scaled_to: usize,
    pub kinds: Vec<ProgramKind>,
    pub bursts: Vec<Burst>,
    /// Time in seconds and number of engines that fail.
    pub engine_failure: Option<(f64, usize)>,
    /// Leader time per reservation or settlement, in µs.
    pub leader_us: u64,
    pub duration_s: f64,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramEnd {
    InTime,
    Late,
    Refused,
}

/// Result of one program.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOutcome {
    pub kind: usize,
    pub arrived_s: f64,
    pub end: ProgramEnd,
    /// Longest time to a refusal, in ms.
    pub refused_after_ms: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ProgramArrival(usize),
    RequestTurn(usize),
    PlaceTurn(usize),
    Settle(usize),
    StepEnd(usize),
    ResponseReceived(usize),
    ToolEnd(usize),
    FailEngines(usize),
    Tick,
}

struct Program {
    kind: usize,
    arrived: u64,
    deadline: u64,
    retries: u32,
    has_started: bool,
    end: Option<ProgramEnd>,
    refused_after_ms: f64,
}

/// Sequence of turns of a program or sub-agent.
struct TurnSequence {
    program: usize,
    parent: Option<usize>,
    turns: VecDeque<TurnPlan>,
    /// Prompt parts inherited from the parents.
    inherited_prompt: Vec<PromptPart>,
    tokens: u32,
    agents_left: usize,
    tools_left: usize,
    requested_at: u64,
    turn: String,
    replica: String,
}

struct Run {
    sequence: usize,
    prefill_tokens: u32,
    generated_tokens: u32,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Run>,
    running: Vec<Run>,
    is_stepping: bool,
    has_failed: bool,
}

pub struct Simulation {
    scenario: Scenario,
    rng: Rng,
    start: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_id: u64,
    replicas: Vec<Replica>,
    engines: Vec<Engine>,
    prefix_caches: PrefixIndex,
    programs: Vec<Program>,
    sequences: Vec<TurnSequence>,
    waiting: HashMap<String, usize>,
    tools_waiting: VecDeque<(usize, f64)>,
    tools_running: usize,
    leader_free_at: u64,
    completed: Vec<(String, TurnRun)>,
    scheduler: TurnScheduler,
}

fn micros(ms: f64) -> u64 {
    (ms * 1_000.0) as u64
}

impl Simulation {
    pub fn run(scenario: Scenario, scheduler: TurnScheduler) -> Vec<ProgramOutcome> {
        let replica = |number: usize| Replica {
            id: format!("r{number}"),
            service: "llm".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: "z".to_owned(),
            slots: scenario.engine.slots,
            state: ReplicaState::Ready,
            version: None,
        };
        let mut simulation = Self {
            rng: Rng(scenario.seed),
            start: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            next_id: 0,
            replicas: (0..scenario.engines).map(replica).collect(),
            engines: (0..scenario.engines).map(|_| Engine::default()).collect(),
            prefix_caches: PrefixIndex::default(),
            programs: Vec::new(),
            sequences: Vec::new(),
            waiting: HashMap::new(),
            tools_waiting: VecDeque::new(),
            tools_running: 0,
            leader_free_at: 0,
            completed: Vec::new(),
            scheduler,
            scenario,
        };
        simulation.schedule_initial_events();
        simulation.process_events();
        simulation.outcomes()
    }

    fn schedule_initial_events(&mut self) {
        for kind in 0..self.scenario.kinds.len() {
            self.schedule(0, Event::ProgramArrival(kind));
        }
        if let Some((at, count)) = self.scenario.engine_failure {
            self.schedule(micros(at * 1_000.0), Event::FailEngines(count));
        }
        self.schedule(TICK_US, Event::Tick);
    }

    fn process_events(&mut self) {
        let end = micros((self.scenario.duration_s + 15.0) * 1_000.0);
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at <= end
        {
            self.now = at;
            match event {
                Event::ProgramArrival(kind) => self.arrive_program(kind),
                Event::RequestTurn(sequence) => self.queue_at_leader(Event::PlaceTurn(sequence)),
                Event::PlaceTurn(sequence) => self.place_turn(sequence),
                Event::Settle(completed) => self.settle(completed),
                Event::StepEnd(engine) => self.end_step(engine),
                Event::ResponseReceived(sequence) => self.start_tool_calls(sequence),
                Event::ToolEnd(sequence) => self.end_tool(sequence),
                Event::FailEngines(count) => self.fail_engines(count),
                Event::Tick => {
                    self.decide();
                    self.schedule(TICK_US, Event::Tick);
                }
            }
        }
    }

    fn outcomes(&self) -> Vec<ProgramOutcome> {
        let outcome = |program: &Program| ProgramOutcome {
            kind: program.kind,
            arrived_s: program.arrived as f64 / 1e6,
            end: program.end.unwrap_or(ProgramEnd::Late),
            refused_after_ms: program.refused_after_ms,
        };
        self.programs.iter().map(outcome).collect()
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.next_id += 1;
        self.events.push(Reverse((self.now + after_us, self.next_id, event)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn arrival_rate(&self, kind: usize) -> f64 {
        let kind = &self.scenario.kinds[kind];
        let now_s = self.now as f64 / 1e6;
        let is_active = |burst: &&Burst| {
            burst.from_s <= now_s
                && now_s < burst.to_s
                && burst.priority.is_none_or(|priority| priority == kind.priority)
        };
        let bursts = self.scenario.bursts.iter().filter(is_active);
        kind.arrivals_per_s
            * bursts.map(|burst| burst.factor).product::<f64>()
            * self.scenario.scaled_to as f64
            / self.scenario.engine.reference_engines
    }

    fn arrive_program(&mut self, kind: usize) {
        if self.now > micros(self.scenario.duration_s * 1_000.0) {
            return;
        }
        // Longer waits are drawn again after 50 ms, so that a burst starts on time.
        let wait_s = self.rng.exponential_s(self.arrival_rate(kind));
        if wait_s > 0.05 {
            return self.schedule(50_000, Event::ProgramArrival(kind));
        }
        self.schedule(micros(wait_s * 1_000.0), Event::ProgramArrival(kind));
        let plan = {
            let kind = &self.scenario.kinds[kind];
            ProgramPlan::draw(kind, &self.scenario.engine, &mut self.rng)
        };
        self.programs.push(Program {
            kind,
            arrived: self.now,
            deadline: self.now + micros(plan.objective_ms),
            retries: 0,
            has_started: false,
            end: None,
            refused_after_ms: 0.0,
        });
        let program = self.programs.len() - 1;
        let sequence = self.add_sequence(program, None, plan.turns, Vec::new());
        self.schedule(micros(ROUND_TRIP_MS / 2.0), Event::RequestTurn(sequence));
    }

    fn add_sequence(
        &mut self,
        program: usize,
        parent: Option<usize>,
        turns: Vec<TurnPlan>,
        inherited_prompt: Vec<PromptPart>,
    ) -> usize {
        self.sequences.push(TurnSequence {
            program,
            parent,
            turns: turns.into(),
            inherited_prompt,
            tokens: 0,
            agents_left: 0,
            tools_left: 0,
            requested_at: 0,
            turn: String::new(),
            replica: String::new(),
        });
        self.sequences.len() - 1
    }

    fn prompt(&self, sequence: usize) -> Vec<PromptPart> {
        let kind = self.programs[self.sequences[sequence].program].kind as u64;
        let shared = PromptPart { id: kind, tokens: SHARED_TOKENS };
        let own = PromptPart { id: 100 + sequence as u64, tokens: self.sequences[sequence].tokens };
        let inherited_prompt = self.sequences[sequence].inherited_prompt.iter().copied();
        std::iter::once(shared).chain(inherited_prompt).chain([own]).collect()
    }

    /// The leader processes one operation at a time.
    fn queue_at_leader(&mut self, event: Event) {
        self.leader_free_at = self.leader_free_at.max(self.now) + self.scenario.leader_us;
        self.schedule(self.leader_free_at - self.now, event);
    }

    fn place_turn(&mut self, sequence: usize) {
        self.next_id += 1;
        let turn = format!("t{}", self.next_id);
        let prompt_tokens = self.sequences[sequence].turns[0].prompt_tokens;
        let requested_at = self.now;
        let state = &mut self.sequences[sequence];
        state.turn.clone_from(&turn);
        state.requested_at = requested_at;
        let number = state.program;
        state.tokens += prompt_tokens;
        let program = &self.programs[number];
        let request = PlacementRequest {
            service: "llm".to_owned(),
            zone: "z".to_owned(),
            connected: Vec::new(),
            prompt: self.prompt(sequence),
            memory_tokens: self.scenario.engine.memory_tokens,
            left_ms: DEADLINE_MS,
            finish_ms: Some(program.deadline.saturating_sub(self.now) / 1_000),
            priority: self.scenario.kinds[program.kind].priority,
            is_under_way: program.has_started,
            homes: Default::default(),
            cold: None,
            version: None,
        };
        let now = self.instant();
        let view = FleetView::from_replicas(&self.replicas);
        let decision = self.scheduler.submit(&turn, request, &view, now);
        self.waiting.insert(turn.clone(), sequence);
        self.apply(&turn, decision);
    }

    fn decide(&mut self) {
        let now = self.instant();
        let decisions = self.scheduler.decide(&FleetView::from_replicas(&self.replicas), now);
        for (turn, decision) in decisions {
            self.apply(&turn, decision);
        }
    }

    fn apply(&mut self, turn: &str, decision: Decision) {
        let sequence = match decision {
            // A waiting turn costs the leader a second request.
            Decision::Wait => {
                self.leader_free_at = self.leader_free_at.max(self.now) + self.scenario.leader_us;
                return;
            }
            _ => self.waiting.remove(turn).expect("waiting turn"),
        };
        match decision {
            Decision::Run(replica) => self.start_turn(sequence, replica),
            Decision::Refuse(after) => self.refuse(sequence, after),
            Decision::RunCold { .. } | Decision::RunAnywhere | Decision::Wait => {
                panic!("unexpected decision for {turn}")
            }
        }
    }

    fn refuse(&mut self, sequence: usize, after: Duration) {
        let turn = self.sequences[sequence].turn.clone();
        let now = self.instant();
        self.scheduler.end_turn(&turn, None, now);
        let waited_ms = (self.now - self.sequences[sequence].requested_at) as f64 / 1_000.0;
        let prompt_tokens = self.sequences[sequence].turns[0].prompt_tokens;
        self.sequences[sequence].tokens -= prompt_tokens;
        let program = &mut self.programs[self.sequences[sequence].program];
        assert!(!program.has_started, "turn of a running program was refused");
        program.refused_after_ms = program.refused_after_ms.max(waited_ms);
        if program.retries >= MAX_RETRIES {
            program.end = Some(ProgramEnd::Refused);
            return;
        }
        program.retries += 1;
        self.schedule(
            micros(ROUND_TRIP_MS) + after.as_micros() as u64,
            Event::RequestTurn(sequence),
        );
    }

    fn start_turn(&mut self, sequence: usize, replica: String) {
        let engine = self.replicas.iter().position(|known| known.id == replica);
        let prompt = self.prompt(sequence);
        let uncached = self.prefix_caches.uncached(&replica, &prompt);
        self.prefix_caches.record(&replica, &prompt, self.scenario.engine.memory_tokens);
        let program = self.sequences[sequence].program;
        self.programs[program].has_started = true;
        self.sequences[sequence].replica = replica;
        let engine = engine.expect("a listed replica");
        let run = Run {
            sequence,
            prefill_tokens: uncached as u32,
            generated_tokens: self.sequences[sequence].turns[0].generated_tokens,
        };
        let engine = self.engine_number(engine);
        self.engines[engine].queue.push_back(run);
        self.start_step(engine);
    }

    /// Engine numbers are part of the replica ids, since positions change when engines fail.
    fn engine_number(&self, position: usize) -> usize {
        self.replicas[position].id[1..].parse().expect("a number")
    }

    fn start_step(&mut self, number: usize) {
        let model = self.scenario.engine;
        let engine = &mut self.engines[number];
        if engine.is_stepping || engine.has_failed {
            return;
        }
        while engine.running.len() < model.slots as usize
            && let Some(run) = engine.queue.pop_front()
        {
            engine.running.push(run);
        }
        if engine.running.is_empty() {
            return;
        }
        let mut step_tokens_left = model.max_step_tokens;
        for run in &mut engine.running {
            if run.prefill_tokens == 0 {
                run.generated_tokens -= 1;
                continue;
            }
            let chunk = run.prefill_tokens.min(step_tokens_left);
            step_tokens_left -= chunk;
            run.prefill_tokens -= chunk;
        }
        let contention_ms = model.step_ms_per_turn * engine.running.len() as f64;
        let prefill_ms =
            f64::from(model.max_step_tokens - step_tokens_left) / model.prefill_tokens_per_ms;
        let speed = model.speeds[number % model.speeds.len()];
        let step_ms = (model.step_ms + contention_ms + prefill_ms) / speed;
        engine.is_stepping = true;
        self.schedule(micros(step_ms), Event::StepEnd(number));
    }

    fn end_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        engine.is_stepping = false;
        if engine.has_failed {
            return;
        }
        let running = std::mem::take(&mut engine.running);
        let (ended, running): (Vec<Run>, Vec<Run>) =
            running.into_iter().partition(|run| run.generated_tokens == 0);
        engine.running = running;
        for run in ended {
            self.end_turn(run.sequence);
        }
        self.start_step(number);
    }

    fn end_turn(&mut self, sequence: usize) {
        let state = &self.sequences[sequence];
        let plan = &state.turns[0];
        let sample = RunSample {
            generated: plan.generated_tokens,
            time_ms: ((self.now - state.requested_at) / 1_000) as u32,
        };
        let (turn, replica) = (state.turn.clone(), state.replica.clone());
        let generated_tokens = plan.generated_tokens;
        self.sequences[sequence].tokens += generated_tokens;
        let run = TurnRun {
            replica: replica.clone(),
            prompt: self.prompt(sequence),
            memory_tokens: self.scenario.engine.memory_tokens,
            service: "llm".to_owned(),
            sample: Some(sample),
        };
        self.prefix_caches.record(&replica, &run.prompt, self.scenario.engine.memory_tokens);
        self.completed.push((turn, run));
        self.queue_at_leader(Event::Settle(self.completed.len() - 1));
        self.schedule(micros(ROUND_TRIP_MS / 2.0), Event::ResponseReceived(sequence));
    }

    fn settle(&mut self, completed: usize) {
        let (turn, run) = &self.completed[completed];
        let now = self.start + Duration::from_micros(self.now);
        self.scheduler.record_run(run);
        self.scheduler.end_turn(turn, Some(&run.replica), now);
        self.decide();
    }

    /// Starts the tool calls of a turn whose response has arrived.
    fn start_tool_calls(&mut self, sequence: usize) {
        let tools = self.sequences[sequence].turns[0].tools.clone();
        self.sequences[sequence].tools_left = tools.len();
        if tools.is_empty() {
            return self.continue_sequence(sequence);
        }
        for tool_ms in tools {
            self.tools_waiting.push_back((sequence, tool_ms));
        }
        self.start_tools();
    }

    fn start_tools(&mut self) {
        let tool_slots = self.scenario.scaled_to as f64 * self.scenario.engine.tool_slots;
        while self.tools_running < tool_slots as usize
            && let Some((sequence, tool_ms)) = self.tools_waiting.pop_front()
        {
            self.tools_running += 1;
            self.schedule(micros(tool_ms), Event::ToolEnd(sequence));
        }
    }

    fn end_tool(&mut self, sequence: usize) {
        self.tools_running -= 1;
        self.start_tools();
        self.sequences[sequence].tools_left -= 1;
        if self.sequences[sequence].tools_left == 0 {
            self.continue_sequence(sequence);
        }
    }

    /// Starts the sub-agents of a turn, or pauses until the next turn.
    fn continue_sequence(&mut self, sequence: usize) {
        let plan = self.sequences[sequence].turns.pop_front().expect("a turn");
        if plan.agents.is_empty() {
            return self.pause(sequence, plan.think_ms);
        }
        self.sequences[sequence].agents_left = plan.agents.len();
        let own = PromptPart { id: 100 + sequence as u64, tokens: self.sequences[sequence].tokens };
        let mut inherited_prompt = self.sequences[sequence].inherited_prompt.clone();
        inherited_prompt.push(own);
        let program = self.sequences[sequence].program;
        for turns in plan.agents {
            let agent = self.add_sequence(program, Some(sequence), turns, inherited_prompt.clone());
            self.schedule(micros(plan.think_ms + ROUND_TRIP_MS / 2.0), Event::RequestTurn(agent));
        }
    }

    fn pause(&mut self, sequence: usize, pause_ms: f64) {
        if !self.sequences[sequence].turns.is_empty() {
            return self
                .schedule(micros(pause_ms + ROUND_TRIP_MS / 2.0), Event::RequestTurn(sequence));
        }
        let state = &self.sequences[sequence];
        if let Some(parent) = state.parent {
            self.sequences[parent].agents_left -= 1;
            if self.sequences[parent].agents_left == 0 {
                self.pause(parent, 0.0);
            }
            return;
        }
        let program = &mut self.programs[state.program];
        let is_late = self.now > program.deadline;
        program.end = Some(if is_late { ProgramEnd::Late } else { ProgramEnd::InTime });
    }

    /// Removes engines; their turns are sent again.
    fn fail_engines(&mut self, count: usize) {
        for _ in 0..count {
            let failed = self.replicas.pop().expect("an engine");
            let number: usize = failed.id[1..].parse().expect("a number");
            let engine = &mut self.engines[number];
            engine.has_failed = true;
            let queue = std::mem::take(&mut engine.queue);
            let runs: Vec<Run> =
                std::mem::take(&mut engine.running).into_iter().chain(queue).collect();
            for run in runs {
                let turn = self.sequences[run.sequence].turn.clone();
                let now = self.instant();
                self.scheduler.end_turn(&turn, None, now);
                let prompt_tokens = self.sequences[run.sequence].turns[0].prompt_tokens;
                self.sequences[run.sequence].tokens -= prompt_tokens;
                self.schedule(micros(ROUND_TRIP_MS), Event::RequestTurn(run.sequence));
            }
        }
        self.scheduler.retain(&self.replicas);
    }
}
