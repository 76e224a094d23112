//! `demo`: runs a workload on a fleet while an engine is drained, a machine is removed, a
//! gateway is stopped gracefully and the configuration changes, then checks the invariants.

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

use crate::caller::{Caller, CallerContext, RequestOptions};
use crate::check::{Invariants, check};
use crate::deployment::Deployment;
use crate::fleet::resources::Operator;
use crate::fleet::{EmbeddedFleet, FleetAddresses, FleetControl};
use crate::history::{
    CallInput, CallResult, ConfigProbe, DrainEvent, History, Holding, ProgramTrace,
};
use crate::workload::{ClientBehavior, ProgramPlan, Step, generate_programs};

const START_WINDOW: Duration = Duration::from_secs(15);
/// Longest wait for engines to release the cache of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);
/// Calls in flight at the gateway before it is stopped.
const MIN_IN_FLIGHT_AT_STOP: usize = 2;
/// Number of configuration changes that are made and probed.
const CONFIG_CHANGES: u64 = 3;
/// Index of the gateway that is stopped gracefully.
const STOPPED_GATEWAY: usize = 3;
const PROBE_TENANT: &str = "probe";

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Deployment that the fleet emulates.
    pub deployment: Deployment,
    /// Number of programs to run.
    pub programs: usize,
    /// Random seed of the workload.
    pub seed: u64,
    /// Whether to show a progress bar.
    pub progress: bool,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DemoReport {
    /// Deployment that the fleet emulates.
    pub deployment: Deployment,
    /// Random seed of the workload.
    pub seed: u64,
    /// Number of programs started.
    pub programs_started: usize,
    /// Number of programs whose calls were all answered, or which exhausted their budget as
    /// intended.
    pub programs_completed: usize,
    /// Number of answered calls.
    pub calls: usize,
    /// Number of answered print jobs, counted once per idempotency key.
    pub prints_requested: usize,
    /// Number of executions of these print jobs by the services.
    pub prints_executed: u32,
    /// Latency of programs, in milliseconds.
    pub program_latency_ms: Percentiles,
    /// Longest time until a configuration change was in force, in milliseconds.
    pub slowest_change_ms: u64,
    /// Results of the invariant checks.
    pub invariants: Invariants,
}

/// Percentiles of a set of values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl Percentiles {
    /// Computes the percentiles of `values`.
    pub fn of(mut values: Vec<u64>) -> Self {
        values.sort_unstable();
        let percentile = |share: f64| {
            let index = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
            values.get(index).copied().unwrap_or_default()
        };
        Self { p50: percentile(0.50), p95: percentile(0.95), p99: percentile(0.99) }
    }
}

/// Starts an embedded fleet and runs the workload on it.
///
/// # Errors
/// When the fleet cannot be started.
pub fn run(settings: &DemoSettings) -> Result<(DemoReport, History)> {
    let folder = tempfile::tempdir()?;
    let mut fleet = EmbeddedFleet::start(settings.deployment, folder.path(), settings.seed)?;
    Ok(run_on_fleet(&mut fleet, settings))
}

/// Runs the workload and the maintenance operations on a running fleet.
pub fn run_on_fleet(
    fleet: &mut impl FleetControl,
    settings: &DemoSettings,
) -> (DemoReport, History) {
    let gateways = fleet.addresses().gateways.clone();
    let context = Arc::new(CallerContext {
        in_flight: gateways.iter().map(|_| AtomicUsize::new(0)).collect(),
        gateways,
        delay: settings.deployment.client_delay(),
        model: settings.deployment.model().to_owned(),
        service: settings.deployment.service().to_owned(),
        attempts: Mutex::new(Vec::new()),
    });
    let plans =
        generate_programs(settings.deployment, settings.programs, START_WINDOW, settings.seed);
    let workload = Workload::start(plans, &context, settings.progress);
    let mut history = run_maintenance(fleet, &workload, &context);
    history.programs = workload.wait();
    let addresses = fleet.addresses();
    history.holdings = wait_for_release(addresses, &history.programs);
    history.tries = std::mem::take(&mut *context.attempts.lock());
    history.engine_records = addresses.engine_records();
    history.service_records = addresses.service_records();
    (build_report(settings, &history), history)
}

fn build_report(settings: &DemoSettings, history: &History) -> DemoReport {
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

/// Running programs, each on its own thread.
struct Workload {
    threads: Vec<std::thread::JoinHandle<Vec<ProgramTrace>>>,
    completed: Arc<AtomicUsize>,
    total: usize,
    bar: ProgressBar,
}

impl Workload {
    fn start(plans: Vec<ProgramPlan>, context: &Arc<CallerContext>, progress: bool) -> Self {
        let total = plans.len();
        let bar = if progress { ProgressBar::new(total as u64) } else { ProgressBar::hidden() };
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} programs {elapsed}") {
            bar.set_style(style);
        }
        let completed = Arc::new(AtomicUsize::new(0));
        let run_start = Instant::now();
        let threads = plans
            .into_iter()
            .enumerate()
            .map(|(index, plan)| {
                let (context, completed, bar) = (context.clone(), completed.clone(), bar.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(plan.start.saturating_sub(run_start.elapsed()));
                    let traces = run_program(&context, &plan, index);
                    completed.fetch_add(1, Ordering::SeqCst);
                    bar.inc(1);
                    traces
                })
            })
            .collect();
        Self { threads, completed, total, bar }
    }

    /// Waits until this share of the programs has ended.
    fn wait_for_completed_share(&self, share: f64) {
        let target = (self.total as f64 * share) as usize;
        while self.completed.load(Ordering::SeqCst) < target {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn is_nearly_complete(&self) -> bool {
        self.completed.load(Ordering::SeqCst) * 10 >= self.total * 9
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
    let mut runner = ProgramRunner {
        caller,
        behavior: plan.behavior,
        root: plan.id.clone(),
        traces: &mut traces,
    };
    let completed = runner.run(&plan.steps);
    let ended = runner.end_program();
    // A program that exhausts its budget is expected to end early.
    let as_planned = completed || plan.behavior == ClientBehavior::ExhaustsBudget;
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
    behavior: ClientBehavior,
    root: String,
    traces: &'a mut Vec<ProgramTrace>,
}

impl ProgramRunner<'_> {
    fn run(&mut self, steps: &[Step]) -> bool {
        let mut agent_answers = Vec::new();
        for (position, step) in steps.iter().enumerate() {
            let succeeded = match step {
                Step::Pause(pause) => {
                    std::thread::sleep(*pause);
                    true
                }
                Step::ModelCall(messages) => {
                    self.call_model(position, messages, &mut agent_answers)
                }
                Step::ServiceCall { input, repeatable, send_duplicate } => {
                    let options = RequestOptions { duplicate: *send_duplicate, disconnect: false };
                    self.caller.call_service(input.clone(), *repeatable, options).is_ok()
                }
                Step::SubAgents(agents) => {
                    agent_answers = self.run_sub_agents(position, agents);
                    agent_answers.len() == agents.len()
                }
            };
            if !succeeded {
                return false;
            }
        }
        true
    }

    fn call_model(
        &mut self,
        position: usize,
        messages: &[ChatMessage],
        agent_answers: &mut Vec<String>,
    ) -> bool {
        let results = std::mem::take(agent_answers).into_iter();
        let mut new_messages: Vec<ChatMessage> =
            results.map(|text| ChatMessage::new(Role::Tool, text)).collect();
        new_messages.extend(messages.iter().cloned());
        if self.behavior == ClientBehavior::SendsOutOfOrder && position == 0 {
            self.caller.send_out_of_order(new_messages.clone());
        }
        let options = RequestOptions {
            disconnect: self.behavior == ClientBehavior::Disconnects && position.is_multiple_of(2),
            duplicate: false,
        };
        self.caller.call_model(new_messages, options).is_ok()
    }

    /// Runs sub-agents concurrently and returns the last answer of each.
    fn run_sub_agents(&mut self, position: usize, agents: &[Vec<Step>]) -> Vec<String> {
        let mut threads = Vec::new();
        for (index, steps) in agents.iter().enumerate() {
            let key = format!("agent-{}-{position}-{index}", self.caller.program);
            let Some(agent) = self.caller.create_sub_agent(&key) else {
                continue;
            };
            let (steps, root) = (steps.clone(), self.root.clone());
            threads.push(std::thread::spawn(move || run_sub_agent(agent, &steps, &root)));
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

    fn end_program(&mut self) -> Option<Moment> {
        self.caller.end_program().then(|| self.caller.now())
    }
}

fn run_sub_agent(mut caller: Caller, steps: &[Step], root: &str) -> (ProgramTrace, Option<String>) {
    let started = caller.now();
    let mut answer = None;
    for step in steps {
        if let Step::ModelCall(messages) = step {
            match caller.call_model(messages.clone(), RequestOptions::default()) {
                Ok(text) => answer = Some(text),
                Err(_) => {
                    answer = None;
                    break;
                }
            }
        }
    }
    let ended = caller.end_program().then(|| caller.now());
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

/// Performs the maintenance operations while the programs run, and returns their records.
fn run_maintenance(
    fleet: &mut impl FleetControl,
    workload: &Workload,
    context: &CallerContext,
) -> History {
    let mut history = History::default();
    let operator = fleet.addresses().operator();
    for change in 0..CONFIG_CHANGES {
        workload.wait_for_completed_share(0.1 * change as f64);
        history.probes.extend(change_limit_and_probe(fleet, &operator, change));
    }
    workload.wait_for_completed_share(0.2);
    history.drains.extend(drain_last_engine(fleet.addresses(), &operator));
    workload.wait_for_completed_share(0.25);
    history.drains.push(announce_removal(fleet.addresses()));
    workload.wait_for_completed_share(0.35);
    wait_for_calls(workload, context);
    history.stops.extend(fleet.stop_gateway(STOPPED_GATEWAY));
    history
}

/// Waits until the gateway that is to be stopped has calls in flight, so that the stop has
/// calls to drain.
fn wait_for_calls(workload: &Workload, context: &CallerContext) {
    let in_flight = || context.in_flight[STOPPED_GATEWAY].load(Ordering::SeqCst);
    while in_flight() < MIN_IN_FLIGHT_AT_STOP && !workload.is_nearly_complete() {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Changes a tenant limit, waits until it is in force and probes whether each gateway
/// enforces it.
fn change_limit_and_probe(
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
    let gateways = fleet.addresses().gateways.iter().enumerate();
    let running = gateways.filter(|(index, _)| fleet.is_running(*index));
    running
        .map(|(gateway, address)| ConfigProbe {
            revision,
            gateway,
            accepted,
            in_force,
            held: enforces_limit(*address, limit),
        })
        .collect()
}

/// Whether a gateway accepts a budget of `limit` and rejects a larger one.
fn enforces_limit(address: std::net::SocketAddr, limit: u64) -> bool {
    let timeout = Duration::from_secs(10);
    let client =
        HttpClient::new(address, timeout, timeout).with_header(HEADER_TENANT, PROBE_TENANT);
    let create =
        |budget: u64| client.post::<_, Value>("/v1/programs", &json!({ "budget_tokens": budget }));
    let accepts = create(limit).is_ok();
    let rejects = matches!(create(limit + 1), Err(ClientError::Status { status: 400, .. }));
    accepts && rejects
}

fn drain_last_engine(addresses: &FleetAddresses, operator: &Operator) -> Option<DrainEvent> {
    let engine = addresses.engines.last()?;
    let mut spec = operator.spec("engine", &engine.name).ok()?;
    spec["drain"] = json!(true);
    operator.put("engine", &engine.name, &spec).ok()?;
    Some(DrainEvent { engine: engine.name.clone(), at: RealClock.now() })
}

fn announce_removal(addresses: &FleetAddresses) -> DrainEvent {
    let name = &addresses.engines[0].name;
    addresses.announce_removal(name);
    DrainEvent { engine: name.clone(), at: RealClock.now() }
}

/// Waits until no engine caches tokens of an ended program, and returns what is still cached
/// then or at the timeout.
fn wait_for_release(addresses: &FleetAddresses, programs: &[ProgramTrace]) -> Vec<Holding> {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let held = addresses.holdings();
        let is_ended = |holding: &Holding| {
            programs.iter().any(|program| program.id == holding.program && program.ended.is_some())
        };
        if Instant::now() >= deadline || !held.iter().any(is_ended) {
            return held;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
