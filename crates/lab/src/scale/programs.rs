//! Cost of calls on a store machine, and memory of programs and tenants.

use std::time::Duration;

use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_store::commands::TimestampedCommand;
use calicohoist_store::commands::program::{BeginCall, NewProgram, ProgramCommand};
use calicohoist_store::commands::resource::ResourceCommand;
use calicohoist_store::state::RESOURCE_GROUP;
use calicohoist_store::state::programs::{Backend, CallTarget, StoredAnswer};
use calicohoist_store::{Command, EngineLoad, GroupState, NodeRef};
use calicohoist_types::{
    AttemptId, CallId, ChatMessage, EngineId, IdempotencyKey, ModelId, ProgramId, RequestId,
    ResourceKey, ResourceKind, ResourceSpec, Role, TenantId, TenantSpec, Usage,
};
use calicohoist_wire::encode;
use serde::{Deserialize, Serialize};

use super::ENTRIES_PER_SNAPSHOT;
use crate::deployment::Deployment;
use crate::sim::cost::{Cost, CostTracker};
use crate::sim::frame::Actor;
use crate::sim::world::{World, WorldSize};
use crate::workload::{ClientBehavior, ProgramPlan, Step};

/// Tokens that each turn adds to the history, one measurement each.
const TOKENS_PER_TURN: [usize; 4] = [50, 200, 500, 1_000];
const TURNS: usize = 12;
const PROGRAM_COUNT: usize = 12;
const RUN_DURATION: Duration = Duration::from_secs(40);
const STARTUP_DURATION: Duration = Duration::from_secs(5);
/// Programs per memory measurement.
const MEMORY_PROGRAMS: usize = 1_000;
/// Turns of each program, one memory measurement each.
const MEMORY_TURNS: [usize; 4] = [2, 10, 25, 50];
const QUESTION_WORDS: usize = 40;
const ANSWER_WORDS: usize = 40;
const TENANT_COUNTS: [usize; 3] = [5_000, 15_000, 43_000];
const BUDGET: u64 = 100_000_000;

/// Mean cost of a call at one prompt length.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CallPoint {
    /// Mean number of prompt tokens.
    pub prompt_tokens: f64,
    /// Number of answered calls.
    pub calls: usize,
    /// Busy time of the busiest store machine, in microseconds.
    pub store_micros: f64,
    /// Bytes sent and received by the busiest store machine.
    pub store_bytes: f64,
    /// Messages sent and received by the busiest store machine.
    pub store_messages: f64,
    /// Busy time of the gateways, in microseconds.
    pub gateway_micros: f64,
}

/// Memory use at one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct MemoryPoint {
    /// Tokens of history per program, or number of tenants.
    pub size: f64,
    /// Resident bytes per program, or of all tenants.
    pub bytes: f64,
}

/// Measures the cost of calls at each prompt length.
pub fn measure_calls() -> Vec<CallPoint> {
    TOKENS_PER_TURN.iter().map(|tokens| measure_call(*tokens)).collect()
}

fn measure_call(tokens_per_turn: usize) -> CallPoint {
    let size = WorldSize {
        stores: 3,
        gateways: 2,
        engines: 6,
        replicas: 2,
        entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
    };
    let mut world = World::new(Deployment::Celje, size, 1);
    world.declare_fleet();
    world.run_for(STARTUP_DURATION);
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(STARTUP_DURATION);
    let idle = costs(&world).map(|cost| per_second(cost, STARTUP_DURATION));
    for number in 0..PROGRAM_COUNT {
        world.add_program(program_plan(number, tokens_per_turn), TURNS as u64 + 1);
    }
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(RUN_DURATION);
    let total = costs(&world).map(|cost| per_second(cost, RUN_DURATION));
    let (calls, prompt_tokens) = world.answered_model_calls();
    let seconds = RUN_DURATION.as_secs_f64();
    let per_call = |part: usize, value: fn(&Rate) -> f64| {
        (value(&total[part]) - value(&idle[part])).max(0.0) * seconds / calls.max(1) as f64
    };
    CallPoint {
        prompt_tokens,
        calls,
        store_micros: per_call(0, |rate| rate.micros),
        store_bytes: per_call(0, |rate| rate.bytes),
        store_messages: per_call(0, |rate| rate.messages),
        gateway_micros: per_call(1, |rate| rate.micros),
    }
}

/// Costs per second.
struct Rate {
    messages: f64,
    bytes: f64,
    micros: f64,
}

fn per_second(cost: Cost, time: Duration) -> Rate {
    let seconds = time.as_secs_f64();
    Rate {
        messages: cost.messages as f64 / seconds,
        bytes: cost.bytes as f64 / seconds,
        micros: cost.busy.as_secs_f64() * 1e6 / seconds,
    }
}

/// Returns the costs of the busiest store machine and of all gateways together.
fn costs(world: &World) -> [Cost; 2] {
    let cost_tracker = world.cost_tracker.clone().unwrap_or_default();
    let busiest = cost_tracker.busiest_store();
    let gateways = (0..2).map(|index| cost_tracker.cost(Actor::Gateway(index)));
    let all = gateways.fold(Cost::default(), |sum, cost| Cost {
        messages: sum.messages + cost.messages,
        bytes: sum.bytes + cost.bytes,
        busy: sum.busy + cost.busy,
    });
    [busiest, all]
}

fn program_plan(number: usize, tokens_per_turn: usize) -> ProgramPlan {
    let model_call = |turn: usize| {
        let text = words(tokens_per_turn, number * 1_000 + turn);
        Step::ModelCall(vec![ChatMessage::new(Role::User, text)])
    };
    ProgramPlan {
        id: format!("scale-{number}"),
        tenant: "scale".to_owned(),
        start: Duration::from_millis(number as u64 * 50),
        budget: BUDGET,
        steps: (0..TURNS).map(model_call).collect(),
        behavior: ClientBehavior::Normal,
    }
}

/// Returns a text of `count` words, each one token.
fn words(count: usize, seed: usize) -> String {
    let words = (0..count).map(|index| format!("w{}", (seed * 31 + index * 7) % 10_000));
    words.collect::<Vec<String>>().join(" ")
}

/// Measures the resident memory of programs at each length of history.
pub fn measure_memory() -> Vec<MemoryPoint> {
    let mut retained_states = Vec::new();
    let mut points = Vec::new();
    for turns in MEMORY_TURNS {
        let before = resident_bytes();
        let (state, tokens) = state_with_programs(turns);
        let bytes = resident_bytes() - before;
        points.push(MemoryPoint {
            size: tokens as f64 / MEMORY_PROGRAMS as f64,
            bytes: bytes / MEMORY_PROGRAMS as f64,
        });
        // Freed memory would be reused and hide the growth of the next measurement.
        retained_states.push(state);
    }
    points
}

/// Measures the resident memory of declared tenants at each number of tenants.
pub fn measure_tenants() -> Vec<MemoryPoint> {
    let mut retained_states = Vec::new();
    let mut points = Vec::new();
    for tenants in TENANT_COUNTS {
        let before = resident_bytes();
        let mut state = GroupState::new(RESOURCE_GROUP);
        (0..tenants).for_each(|number| declare_tenant(&mut state, number));
        points.push(MemoryPoint { size: tenants as f64, bytes: resident_bytes() - before });
        retained_states.push(state);
    }
    points
}

fn declare_tenant(state: &mut GroupState, number: usize) {
    let spec = TenantSpec {
        default_program_tokens: 100_000,
        max_program_tokens: 1_000_000,
        max_calls: 600,
    };
    let command = Command::Resource(ResourceCommand {
        key: ResourceKey { kind: ResourceKind::Tenant, name: format!("tenant-{number}") },
        spec: Some(ResourceSpec::Tenant(spec)),
        expected: None,
        request: RequestId::new(format!("declare-{number}")),
        actor: "operator".to_owned(),
    });
    apply(state, command);
}

fn apply(state: &mut GroupState, command: Command) {
    if let Ok(bytes) = encode(&TimestampedCommand { at: 1, command }) {
        state.apply(&bytes);
    }
}

fn state_with_programs(turns: usize) -> (GroupState, u64) {
    let mut state = GroupState::new(GroupId(1));
    let mut tokens = 0;
    for number in 0..MEMORY_PROGRAMS {
        tokens += add_program(&mut state, number, turns);
    }
    (state, tokens)
}

fn add_program(state: &mut GroupState, number: usize, turns: usize) -> u64 {
    let program = ProgramId::new(format!("program-{number}"));
    let tenant = TenantId::new("tenant");
    let new = NewProgram {
        id: program.clone(),
        parent: None,
        request: RequestId::new("create"),
        tenant: tenant.clone(),
        budget_tokens: BUDGET,
        max_calls: 1_000,
        lifetime_millis: None,
    };
    apply(state, Command::Program(ProgramCommand::Create(new)));
    let mut tokens = 0;
    for turn in 0..turns {
        let question = ChatMessage::new(Role::User, words(QUESTION_WORDS, number + turn));
        let answer = words(ANSWER_WORDS, number * 7 + turn);
        tokens += question.tokens() + ChatMessage::new(Role::Assistant, &answer).tokens();
        for command in commands_of_turn(&program, &tenant, turn as u64 + 1, question, answer) {
            apply(state, Command::Program(command));
        }
    }
    tokens
}

fn commands_of_turn(
    program: &ProgramId,
    tenant: &TenantId,
    sequence: u64,
    question: ChatMessage,
    answer: String,
) -> [ProgramCommand; 3] {
    let by = NodeRef::unassigned();
    let backend = Backend::Engine(EngineId::new("engine-1"));
    let attempt = AttemptId { call: CallId { program: program.clone(), sequence }, number: 1 };
    let begin = BeginCall {
        program: program.clone(),
        create: None,
        tenant: tenant.clone(),
        sequence: Some(sequence),
        key: IdempotencyKey::new(format!("key-{sequence}")),
        target: CallTarget::Model(ModelId::new("model")),
        repeatable: true,
        messages: vec![question],
        max_tokens: 100,
        max_prompt_tokens: 100_000,
        by: by.clone(),
    };
    let stored = StoredAnswer {
        text: answer,
        finish_reason: "stop".to_owned(),
        usage: Usage { prompt_tokens: 10, completion_tokens: 10, cached_tokens: 0 },
        backend: backend.clone(),
    };
    [
        ProgramCommand::Begin(Box::new(begin)),
        ProgramCommand::Dispatch {
            attempt: attempt.clone(),
            by: by.clone(),
            backend,
            resumes: false,
        },
        ProgramCommand::Complete { attempt, by, answer: stored, ends_program: false },
    ]
}

/// Size of an encoded engine load report, in bytes.
pub fn load_bytes() -> f64 {
    let load = EngineLoad {
        engine: EngineId::new("engine-599"),
        running: 8,
        waiting: 4,
        waiting_tokens: 16_000,
        accepts: true,
    };
    encode(&load).map_or(0.0, |bytes| bytes.len() as f64)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * rustix::param::page_size() as f64
}
