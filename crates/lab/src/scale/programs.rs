//! What calls cost a store machine, and what programs and tenants occupy.

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
use crate::workload::{Habit, ProgramPlan, Step};

/// Tokens that each turn adds, for each rung of call costs.
const TOKENS_PER_TURN: [usize; 4] = [50, 200, 500, 1_000];
const TURNS: usize = 12;
const CALL_PROGRAMS: usize = 12;
const CALL_RUN: Duration = Duration::from_secs(40);
const START_UP: Duration = Duration::from_secs(5);
/// Programs of each rung of memory, and the turns of each.
const MEMORY_PROGRAMS: usize = 1_000;
const MEMORY_TURNS: [usize; 4] = [2, 10, 25, 50];
/// Words of a question and of an answer in the rungs of memory.
const QUESTION_WORDS: usize = 40;
const ANSWER_WORDS: usize = 40;
/// Tenants of each rung.
const TENANTS: [usize; 3] = [5_000, 15_000, 43_000];
const BUDGET: u64 = 100_000_000;

/// Costs of one call on the busiest store machine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CallPoint {
    /// Tokens of the prompt, on average.
    pub prompt_tokens: f64,
    /// Calls that were answered.
    pub calls: usize,
    /// Microseconds of processor time.
    pub store_micros: f64,
    /// Bytes sent and received.
    pub store_bytes: f64,
    /// Messages sent and received.
    pub store_messages: f64,
    /// Microseconds of processor time of the gateway.
    pub gateway_micros: f64,
}

/// Memory that grew with something.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct MemoryPoint {
    /// How much there was of it: tokens of history of one program, or tenants.
    pub size: f64,
    /// Resident bytes: of one program, or of all tenants.
    pub bytes: f64,
}

/// Runs programs whose histories grow by more and more.
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
    world.run_for(START_UP);
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(START_UP);
    let idle = costs(&world).map(|cost| per_second(cost, START_UP));
    for number in 0..CALL_PROGRAMS {
        world.add_program(plan(number, tokens_per_turn), TURNS as u64 + 1);
    }
    world.cost_tracker = Some(CostTracker::default());
    world.run_for(CALL_RUN);
    let total = costs(&world).map(|cost| per_second(cost, CALL_RUN));
    let (calls, prompt_tokens) = world.answered_model_calls();
    let seconds = CALL_RUN.as_secs_f64();
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

/// Costs in one second.
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

/// Costs of the busiest store machine, and of all gateways.
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

fn plan(number: usize, tokens_per_turn: usize) -> ProgramPlan {
    let ask = |turn: usize| {
        let text = words(tokens_per_turn, number * 1_000 + turn);
        Step::Ask(vec![ChatMessage::new(Role::User, text)])
    };
    ProgramPlan {
        id: format!("scale-{number}"),
        tenant: "scale".to_owned(),
        start: Duration::from_millis(number as u64 * 50),
        budget: BUDGET,
        steps: (0..TURNS).map(ask).collect(),
        habit: Habit::Plain,
    }
}

/// A text of `count` words, each one token.
fn words(count: usize, seed: usize) -> String {
    let words = (0..count).map(|index| format!("w{}", (seed * 31 + index * 7) % 10_000));
    words.collect::<Vec<String>>().join(" ")
}

/// Fills groups with programs of growing histories, and sees what they occupy.
pub fn measure_memory() -> Vec<MemoryPoint> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for turns in MEMORY_TURNS {
        let before = resident_bytes();
        let (state, tokens) = filled(turns);
        let bytes = resident_bytes() - before;
        points.push(MemoryPoint {
            size: tokens as f64 / MEMORY_PROGRAMS as f64,
            bytes: bytes / MEMORY_PROGRAMS as f64,
        });
        // Freed memory would be taken for that of the next rung.
        kept.push(state);
    }
    points
}

/// Declares tenants, and sees what they occupy.
pub fn measure_tenants() -> Vec<MemoryPoint> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for tenants in TENANTS {
        let before = resident_bytes();
        let mut state = GroupState::new(RESOURCE_GROUP);
        (0..tenants).for_each(|number| declare_tenant(&mut state, number));
        points.push(MemoryPoint { size: tenants as f64, bytes: resident_bytes() - before });
        kept.push(state);
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

fn filled(turns: usize) -> (GroupState, u64) {
    let mut state = GroupState::new(GroupId(1));
    let mut tokens = 0;
    for number in 0..MEMORY_PROGRAMS {
        tokens += fill(&mut state, number, turns);
    }
    (state, tokens)
}

fn fill(state: &mut GroupState, number: usize, turns: usize) -> u64 {
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
        for command in turn_commands(&program, &tenant, turn as u64 + 1, question, answer) {
            apply(state, Command::Program(command));
        }
    }
    tokens
}

fn turn_commands(
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

/// Encoded bytes of one engine's load, as every gateway gets it when it changed.
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

/// Resident memory of this process.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * rustix::param::page_size() as f64
}
