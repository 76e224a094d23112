//! `demo`: the embedded fleet under a load of programs, with a drain, a leaving
//! machine, a planned stop and changes of the configuration, judged at the end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use calicohoist_emulator::RealClock;
use calicohoist_http::{ClientError, HttpClient};
use calicohoist_types::openai::HEADER_TENANT;
use calicohoist_types::{ChatMessage, Moment, Role};
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::caller::{Caller, CallerContext, Manner};
use crate::check::{Invariants, check};
use crate::deployment::Deployment;
use crate::fleet::resources::Operator;
use crate::fleet::{EmbeddedFleet, FleetControl, FleetMap};
use crate::history::{
    CallInput, CallResult, ConfigProbe, DrainEvent, History, Holding, ProgramTrace,
};
use crate::workload::{Habit, ProgramPlan, Step, draw};

/// Programs start within this time.
const START_WINDOW: Duration = Duration::from_secs(15);
/// Longest wait for engines to have released everything.
const RELEASE_PATIENCE: Duration = Duration::from_secs(20);
/// Calls that the gateway to be stopped should have under way.
const CALLS_AT_STOP: usize = 2;
/// Changes of the configuration that are probed.
const CONFIG_CHANGES: u64 = 3;
/// The gateway that is stopped as planned.
const STOPPED_GATEWAY: usize = 3;
const PROBE_TENANT: &str = "probe";

/// What to run.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// The service.
    pub deployment: Deployment,
    /// Programs to run.
    pub programs: usize,
    /// Seed of the load.
    pub seed: u64,
    /// Whether to show a progress bar.
    pub progress: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemoReport {
    /// The service.
    pub deployment: Deployment,
    /// Seed of the load.
    pub seed: u64,
    /// Programs started.
    pub programs_started: usize,
    /// Programs whose every call was answered, or which ended as planned.
    pub programs_completed: usize,
    /// Calls that were answered.
    pub calls: usize,
    /// Prints that were asked for, each key once.
    pub prints_requested: usize,
    /// Prints that services executed.
    pub prints_executed: u32,
    /// Program latency, in milliseconds.
    pub program_latency_ms: Percentiles,
    /// Time until a change was in force, in milliseconds, longest seen.
    pub slowest_change_ms: u64,
    /// The ten promises.
    pub invariants: Invariants,
}

/// Three percentiles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95 in 100.
    pub p95: u64,
    /// 99 in 100.
    pub p99: u64,
}

impl Percentiles {
    /// Percentiles of `values`.
    pub fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let at = |share: f64| {
            let position = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
            values.get(position).copied().unwrap_or_default()
        };
        Self { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
    }
}

/// Runs the demonstration.
///
/// # Errors
/// When the fleet cannot be started.
pub fn run(settings: &DemoSettings) -> Result<(DemoReport, History)> {
    let folder = tempfile::tempdir()?;
    let mut fleet = EmbeddedFleet::start(settings.deployment, folder.path(), settings.seed)?;
    Ok(run_on(&mut fleet, settings))
}

/// Runs the load and the disturbances on a fleet that is ready.
pub fn run_on(fleet: &mut impl FleetControl, settings: &DemoSettings) -> (DemoReport, History) {
    let gateways = fleet.map().gateways.clone();
    let context = Arc::new(CallerContext {
        under_way: gateways.iter().map(|_| AtomicUsize::new(0)).collect(),
        gateways,
        delay: settings.deployment.client_delay(),
        model: settings.deployment.model().to_owned(),
        service: settings.deployment.service().to_owned(),
        tries: Mutex::new(Vec::new()),
    });
    let plans = draw(settings.deployment, settings.programs, START_WINDOW, settings.seed);
    let load = Load::start(plans, &context, settings.progress);
    let mut history = disturb(fleet, &load, &context);
    history.programs = load.wait();
    let map = fleet.map();
    history.holdings = wait_for_release(map, &history.programs);
    history.tries = std::mem::take(&mut *context.tries.lock());
    history.engine_records = map.engine_records();
    history.service_records = map.service_records();
    (report(settings, &history), history)
}

fn report(settings: &DemoSettings, history: &History) -> DemoReport {
    let roots: Vec<&ProgramTrace> =
        history.programs.iter().filter(|program| program.id == program.root).collect();
    let answered = |end: &CallResult| matches!(end, CallResult::Answered { .. });
    let prints: std::collections::BTreeSet<String> = history
        .tries
        .iter()
        .filter(|call| !call.repeatable && matches!(call.asked, CallInput::Service { .. }))
        .filter(|call| answered(&call.end))
        .map(|call| format!("{}/{}/{}", call.program, call.sequence, call.key))
        .collect();
    let executed = history.service_records.iter().filter(|record| prints.contains(&record.key));
    let latency = |program: &&&ProgramTrace| {
        let ended = program.ended?;
        Some(ended.since(program.started).as_millis() as u64)
    };
    let answers: std::collections::BTreeSet<(&str, u64)> = history
        .tries
        .iter()
        .filter(|call| answered(&call.end))
        .map(|call| (call.program.as_str(), call.sequence))
        .collect();
    let slowest = history.probes.iter().map(|probe| probe.in_force.since(probe.accepted));
    DemoReport {
        deployment: settings.deployment,
        seed: settings.seed,
        programs_started: roots.len(),
        programs_completed: roots.iter().filter(|program| program.completed).count(),
        calls: answers.len(),
        prints_requested: prints.len(),
        prints_executed: executed.map(|record| record.executions).sum(),
        program_latency_ms: Percentiles::of(
            roots.iter().filter_map(|root| latency(&root)).collect(),
        ),
        slowest_change_ms: slowest.max().unwrap_or_default().as_millis() as u64,
        invariants: check(history),
    }
}

/// Programs that run on threads of their own.
struct Load {
    threads: Vec<std::thread::JoinHandle<Vec<ProgramTrace>>>,
    done: Arc<AtomicUsize>,
    total: usize,
    bar: ProgressBar,
}

impl Load {
    fn start(plans: Vec<ProgramPlan>, context: &Arc<CallerContext>, progress: bool) -> Self {
        let total = plans.len();
        let bar = if progress { ProgressBar::new(total as u64) } else { ProgressBar::hidden() };
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} programs {elapsed}") {
            bar.set_style(style);
        }
        let done = Arc::new(AtomicUsize::new(0));
        let begin = Instant::now();
        let threads = plans
            .into_iter()
            .enumerate()
            .map(|(index, plan)| {
                let (context, done, bar) = (context.clone(), done.clone(), bar.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(plan.start.saturating_sub(begin.elapsed()));
                    let traces = run_program(&context, &plan, index);
                    done.fetch_add(1, Ordering::SeqCst);
                    bar.inc(1);
                    traces
                })
            })
            .collect();
        Self { threads, done, total, bar }
    }

    /// Waits until `share` of the programs are done.
    fn wait_for_share(&self, share: f64) {
        let wanted = (self.total as f64 * share) as usize;
        while self.done.load(Ordering::SeqCst) < wanted {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_nearly_done(&self) -> bool {
        self.done.load(Ordering::SeqCst) * 10 >= self.total * 9
    }

    fn wait(self) -> Vec<ProgramTrace> {
        let traces = self.threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default());
        let traces = traces.collect();
        self.bar.finish_and_clear();
        traces
    }
}

fn run_program(
    context: &Arc<CallerContext>,
    plan: &ProgramPlan,
    index: usize,
) -> Vec<ProgramTrace> {
    let mut caller = Caller::new(context.clone(), &plan.id, &plan.tenant, index);
    let started = caller.now();
    if !caller.create_program(plan.budget) {
        return Vec::new();
    }
    let mut traces = Vec::new();
    let mut runner =
        ProgramRunner { caller, habit: plan.habit, root: plan.id.clone(), traces: &mut traces };
    let completed = runner.run(&plan.steps);
    let ended = runner.end();
    // A program that is short of budget is over when the budget is.
    let as_planned = completed || plan.habit == Habit::ShortOfBudget;
    traces.push(ProgramTrace {
        id: plan.id.clone(),
        root: plan.id.clone(),
        budget: plan.budget,
        started,
        ended,
        completed: as_planned && ended.is_some(),
    });
    traces
}

struct ProgramRunner<'a> {
    caller: Caller,
    habit: Habit,
    root: String,
    traces: &'a mut Vec<ProgramTrace>,
}

impl ProgramRunner<'_> {
    fn run(&mut self, steps: &[Step]) -> bool {
        let mut from_agents = Vec::new();
        for (position, step) in steps.iter().enumerate() {
            let went_well = match step {
                Step::Pause(pause) => {
                    std::thread::sleep(*pause);
                    true
                }
                Step::Ask(messages) => self.ask(position, messages, &mut from_agents),
                Step::Service { input, repeatable, twice } => {
                    let manner = Manner { twice: *twice, hang_up: false };
                    self.caller.use_service(input.clone(), *repeatable, manner).is_ok()
                }
                Step::Agents(agents) => {
                    from_agents = self.run_agents(position, agents);
                    from_agents.len() == agents.len()
                }
            };
            if !went_well {
                return false;
            }
        }
        true
    }

    fn ask(
        &mut self,
        position: usize,
        messages: &[ChatMessage],
        from_agents: &mut Vec<String>,
    ) -> bool {
        let results = std::mem::take(from_agents).into_iter();
        let mut all: Vec<ChatMessage> =
            results.map(|text| ChatMessage::new(Role::Tool, text)).collect();
        all.extend(messages.iter().cloned());
        if self.habit == Habit::SendsTooEarly && position == 0 {
            self.caller.send_too_early(all.clone());
        }
        let manner = Manner {
            hang_up: self.habit == Habit::HangsUp && position.is_multiple_of(2),
            twice: false,
        };
        self.caller.ask(all, manner).is_ok()
    }

    /// Runs sub-agents at the same time; returns the last answer of each.
    fn run_agents(&mut self, position: usize, agents: &[Vec<Step>]) -> Vec<String> {
        let mut threads = Vec::new();
        for (index, steps) in agents.iter().enumerate() {
            let key = format!("agent-{}-{position}-{index}", self.caller.program);
            let Some(agent) = self.caller.start_agent(&key) else {
                continue;
            };
            let (steps, root) = (steps.clone(), self.root.clone());
            threads.push(std::thread::spawn(move || run_agent(agent, &steps, &root)));
        }
        let mut answers = Vec::new();
        for thread in threads {
            if let Ok((trace, answer)) = thread.join() {
                self.traces.push(trace);
                answers.extend(answer);
            }
        }
        answers
    }

    fn end(&mut self) -> Option<Moment> {
        self.caller.end().then(|| self.caller.now())
    }
}

fn run_agent(mut caller: Caller, steps: &[Step], root: &str) -> (ProgramTrace, Option<String>) {
    let started = caller.now();
    let mut answer = None;
    for step in steps {
        if let Step::Ask(messages) = step {
            match caller.ask(messages.clone(), Manner::default()) {
                Ok(text) => answer = Some(text),
                Err(_) => {
                    answer = None;
                    break;
                }
            }
        }
    }
    let ended = caller.end().then(|| caller.now());
    let trace = ProgramTrace {
        id: caller.program.clone(),
        root: root.to_owned(),
        budget: 0,
        started,
        ended,
        completed: answer.is_some(),
    };
    (trace, answer)
}

/// What happens to the fleet while the programs run.
fn disturb(fleet: &mut impl FleetControl, load: &Load, context: &CallerContext) -> History {
    let mut history = History::default();
    let operator = fleet.map().operator();
    for change in 0..CONFIG_CHANGES {
        load.wait_for_share(0.1 * change as f64);
        history.probes.extend(change_and_probe(fleet, &operator, change));
    }
    load.wait_for_share(0.2);
    history.drains.extend(drain_one(fleet.map(), &operator));
    load.wait_for_share(0.25);
    history.drains.push(announce_leaving(fleet.map()));
    load.wait_for_share(0.35);
    wait_for_calls(load, context);
    history.stops.extend(fleet.stop_gateway(STOPPED_GATEWAY));
    history
}

/// Waits until the gateway that is to be stopped has calls under way, so that
/// the stop has something to cut.
fn wait_for_calls(load: &Load, context: &CallerContext) {
    let under_way = || context.under_way[STOPPED_GATEWAY].load(Ordering::SeqCst);
    while under_way() < CALLS_AT_STOP && !load.is_nearly_done() {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Changes a limit, waits until it is in force, and sees whether each gateway keeps it.
fn change_and_probe(
    fleet: &impl FleetControl,
    operator: &Operator,
    change: u64,
) -> Vec<ConfigProbe> {
    let limit = 1_000 * (change + 1);
    let spec = json!({
        "default_program_tokens": limit,
        "max_program_tokens": limit,
        "max_calls": 10,
    });
    let Ok(revision) = operator.put("tenant", PROBE_TENANT, &spec) else {
        return Vec::new();
    };
    let accepted = RealClock.now();
    if !operator.wait_in_force(revision) {
        return Vec::new();
    }
    let in_force = RealClock.now();
    let gateways = fleet.map().gateways.iter().enumerate();
    let running = gateways.filter(|(index, _)| fleet.is_running(*index));
    running
        .map(|(gateway, address)| ConfigProbe {
            revision,
            gateway,
            accepted,
            in_force,
            held: keeps_limit(*address, limit),
        })
        .collect()
}

/// Whether a gateway takes a budget of `limit` and refuses one beyond it.
fn keeps_limit(address: std::net::SocketAddr, limit: u64) -> bool {
    let timeout = Duration::from_secs(10);
    let client =
        HttpClient::new(address, timeout, timeout).with_header(HEADER_TENANT, PROBE_TENANT);
    let create =
        |budget: u64| client.post::<_, Value>("/v1/programs", &json!({ "budget_tokens": budget }));
    let takes = create(limit).is_ok();
    let refuses = matches!(create(limit + 1), Err(ClientError::Status { status: 400, .. }));
    takes && refuses
}

fn drain_one(map: &FleetMap, operator: &Operator) -> Option<DrainEvent> {
    let engine = map.engines.last()?;
    let mut spec = operator.spec("engine", &engine.name).ok()?;
    spec["drain"] = json!(true);
    operator.put("engine", &engine.name, &spec).ok()?;
    Some(DrainEvent { engine: engine.name.clone(), at: RealClock.now() })
}

fn announce_leaving(map: &FleetMap) -> DrainEvent {
    let name = &map.engines[0].name;
    map.announce_leaving(name);
    DrainEvent { engine: name.clone(), at: RealClock.now() }
}

/// Waits until no engine holds memory of an ended program, or patience runs out.
fn wait_for_release(map: &FleetMap, programs: &[ProgramTrace]) -> Vec<Holding> {
    let deadline = Instant::now() + RELEASE_PATIENCE;
    loop {
        let held = map.holdings();
        let is_ended = |holding: &Holding| {
            programs.iter().any(|program| program.id == holding.program && program.ended.is_some())
        };
        if Instant::now() >= deadline || !held.iter().any(is_ended) {
            return held;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
