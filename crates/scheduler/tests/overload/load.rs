//! Random programs: turns, pauses, sub-agents and time objectives.

/// Seeded random number generator (splitmix64).
pub struct Rng(pub u64);

impl Rng {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Draws from the uniform distribution on [0, 1).
    pub fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws the time to the next arrival of a Poisson process, in seconds.
    pub fn exponential_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.uniform()).ln() / rate_per_s
    }

    /// Draws from a log-normal distribution with this mean, truncated at `max`.
    fn log_normal(&mut self, mean: f64, spread: f64, max: f64) -> f64 {
        let angle = std::f64::consts::TAU * self.uniform();
        let normal = (-2.0 * (1.0 - self.uniform()).ln()).sqrt() * angle.cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(max)
    }
}

/// Performance model of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    pub slots: u32,
    pub memory_tokens: u64,
    /// Maximum prompt tokens per step.
    pub max_step_tokens: u32,
    /// Duration of a step, fixed and per running turn, in ms.
    pub step_ms: f64,
    pub step_ms_per_turn: f64,
    /// Prompt tokens prefilled per ms.
    pub prefill_tokens_per_ms: f64,
    /// Number of engines that the arrival rates of the program kinds refer to.
    pub reference_engines: f64,
    /// Relative speeds, assigned to the engines in turn.
    pub speeds: &'static [f64],
    /// Concurrent tool calls per engine.
    pub tool_slots: f64,
}

/// Engines with enough slots for a burst of twice the load.
pub const LIGHTLY_LOADED: EngineModel = EngineModel {
    slots: 8,
    memory_tokens: 74_180,
    max_step_tokens: 1_024,
    step_ms: 2.53,
    step_ms_per_turn: 0.0595,
    prefill_tokens_per_ms: 84.9,
    reference_engines: 44.0,
    speeds: &[1.0],
    tool_slots: 6.0,
};
/// Engines with three quarters of their slots taken at normal load.
pub const CROWDED: EngineModel = EngineModel {
    slots: 6,
    memory_tokens: 46_002,
    max_step_tokens: 4_096,
    step_ms: 3.13,
    step_ms_per_turn: 0.0179,
    prefill_tokens_per_ms: 78.6,
    reference_engines: 48.0,
    speeds: &[1.0],
    tool_slots: 3.125,
};

/// Engines of two builds: one in three is 2.4 times as fast as the others.
pub const UNEVEN: EngineModel = EngineModel {
    slots: 6,
    memory_tokens: 48_759,
    max_step_tokens: 1_024,
    step_ms: 2.73,
    step_ms_per_turn: 0.00603,
    prefill_tokens_per_ms: 77.4,
    reference_engines: 44.0,
    speeds: &[0.7, 0.7, 1.7],
    tool_slots: 6.0,
};

/// Parameters of a kind of program.
#[derive(Clone, Copy, Debug)]
pub struct ProgramKind {
    pub priority: u8,
    pub arrivals_per_s: f64,
    pub mean_turns: f64,
    pub mean_prompt_tokens: f64,
    pub mean_think_ms: f64,
    /// Fraction of turns that start sub-agents.
    pub fan_out: f64,
    /// Time objective as a multiple of the program's duration on idle engines.
    pub objective_factor: f64,
    /// Constant part of the time objective, in ms.
    pub objective_ms: f64,
}

/// Many turns and many sub-agents, urgent.
pub const LONG: ProgramKind = ProgramKind {
    priority: 0,
    arrivals_per_s: 21.0,
    mean_turns: 11.0,
    mean_prompt_tokens: 327.0,
    mean_think_ms: 20.0,
    fan_out: 0.15,
    objective_factor: 1.5,
    objective_ms: 250.0,
};
/// Few turns and few sub-agents, less urgent.
pub const SHORT: ProgramKind = ProgramKind {
    priority: 1,
    arrivals_per_s: 43.6,
    mean_turns: 4.0,
    mean_prompt_tokens: 654.0,
    mean_think_ms: 150.0,
    fan_out: 0.05,
    objective_factor: 1.4,
    objective_ms: 250.0,
};

/// Few turns with a tight objective, urgent; for crowded engines.
pub const DRAFT: ProgramKind = ProgramKind {
    priority: 0,
    arrivals_per_s: 53.7,
    mean_turns: 3.0,
    mean_prompt_tokens: 654.0,
    mean_think_ms: 60.0,
    fan_out: 0.05,
    objective_factor: 1.2,
    objective_ms: 250.0,
};
/// Many turns with a tight objective, less urgent; for crowded engines.
pub const CHAT: ProgramKind = ProgramKind {
    priority: 2,
    arrivals_per_s: 33.0,
    mean_turns: 9.0,
    mean_prompt_tokens: 327.0,
    mean_think_ms: 20.0,
    fan_out: 0.08,
    objective_factor: 1.4,
    objective_ms: 500.0,
};

/// Few turns with a tight objective, less urgent; for heterogeneous engines.
pub const QUESTION: ProgramKind = ProgramKind {
    priority: 1,
    arrivals_per_s: 65.7,
    mean_turns: 3.0,
    mean_prompt_tokens: 654.0,
    mean_think_ms: 60.0,
    fan_out: 0.05,
    objective_factor: 1.3,
    objective_ms: 250.0,
};
/// Many turns with a tight objective, urgent; for heterogeneous engines.
pub const SESSION: ProgramKind = ProgramKind {
    priority: 0,
    arrivals_per_s: 22.8,
    mean_turns: 9.0,
    mean_prompt_tokens: 327.0,
    mean_think_ms: 20.0,
    fan_out: 0.08,
    objective_factor: 1.4,
    objective_ms: 250.0,
};

/// Network round trip between caller and engine, in ms.
pub const ROUND_TRIP_MS: f64 = 46.0;
/// Delay before an engine starts a turn, in ms.
const START_DELAY_MS: f64 = 11.0;
/// Tools: fraction of turns that call each and mean duration in ms.
const TOOLS: [(f64, f64); 3] = [(0.7, 52.0), (0.4, 208.0), (0.2, 139.0)];

/// Turn with the tool calls and sub-agents that follow it.
#[derive(Clone, Debug)]
pub struct TurnPlan {
    pub prompt_tokens: u32,
    pub generated_tokens: u32,
    /// Pause between the end of the tool calls and the next turn, in ms.
    pub think_ms: f64,
    /// Durations of the tool calls, which run in parallel, in ms.
    pub tools: Vec<f64>,
    /// Turns of each sub-agent started after this turn.
    pub agents: Vec<Vec<TurnPlan>>,
}

impl TurnPlan {
    fn draw(kind: &ProgramKind, rng: &mut Rng) -> Self {
        let mut tools = Vec::new();
        for (share, mean) in TOOLS {
            if rng.uniform() < share {
                tools.push(rng.log_normal(mean, 1.0, mean * 5.0));
            }
        }
        let prompt_tokens =
            rng.log_normal(kind.mean_prompt_tokens, 0.7, kind.mean_prompt_tokens * 5.0);
        Self {
            prompt_tokens: prompt_tokens as u32 + 1,
            generated_tokens: rng.log_normal(73.0, 0.8, 290.0) as u32 + 1,
            think_ms: rng.log_normal(kind.mean_think_ms, 0.6, kind.mean_think_ms * 4.0),
            tools,
            agents: Vec::new(),
        }
    }

    /// Duration on idle engines, in ms.
    fn idle_ms(&self, engine: &EngineModel) -> f64 {
        let token_ms = engine.step_ms + engine.step_ms_per_turn;
        let prefill_ms = f64::from(self.prompt_tokens) / engine.prefill_tokens_per_ms;
        let turn_ms = f64::from(self.generated_tokens) * token_ms + prefill_ms;
        let agents = self.agents.iter().map(|turns| sequence_ms(turns, engine));
        let tool_ms = self.tools.iter().copied().fold(0.0, f64::max);
        ROUND_TRIP_MS
            + START_DELAY_MS
            + turn_ms
            + tool_ms
            + self.think_ms
            + agents.fold(0.0, f64::max)
    }
}

fn sequence_ms(turns: &[TurnPlan], engine: &EngineModel) -> f64 {
    turns.iter().map(|turn| turn.idle_ms(engine)).sum()
}

/// Random program.
#[derive(Clone, Debug)]
pub struct ProgramPlan {
    pub turns: Vec<TurnPlan>,
    /// Time objective, in ms.
    pub objective_ms: f64,
}

impl ProgramPlan {
    pub fn draw(kind: &ProgramKind, engine: &EngineModel, rng: &mut Rng) -> Self {
        let count =
            rng.log_normal(kind.mean_turns, 0.4, kind.mean_turns * 2.0).round().max(1.0) as usize;
        let mut turns: Vec<TurnPlan> = (0..count).map(|_| TurnPlan::draw(kind, rng)).collect();
        for turn in &mut turns {
            if rng.uniform() < kind.fan_out {
                let width = rng.log_normal(5.0, 0.3, 10.0).round().max(1.0) as usize;
                let agent = |rng: &mut Rng| (0..2).map(|_| TurnPlan::draw(kind, rng)).collect();
                turn.agents = (0..width).map(|_| agent(rng)).collect();
            }
        }
        let objective_ms = sequence_ms(&turns, engine) * kind.objective_factor + kind.objective_ms;
        Self { turns, objective_ms }
    }
}
