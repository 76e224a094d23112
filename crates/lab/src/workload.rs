//! Random programs that resemble the workloads of the two deployments.

use std::time::Duration;

use calicohoist_types::{ChatMessage, Role};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::deployment::Deployment;

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Model call that adds these messages to the conversation.
    ModelCall(Vec<ChatMessage>),
    /// Pause between calls, for a local tool or the user.
    Pause(Duration),
    /// Call of the tool service.
    ServiceCall {
        /// Input of the call.
        input: String,
        /// Whether the call may be executed more than once.
        repeatable: bool,
        /// Whether a duplicate of the request is sent concurrently.
        send_duplicate: bool,
    },
    /// Sub-agents that run concurrently; the next model call receives their answers.
    SubAgents(Vec<Vec<Step>>),
}

/// Client behavior that exercises a particular invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Follows the protocol without faults.
    Normal,
    /// Disconnects while an answer is streamed and resumes it at another gateway.
    Disconnects,
    /// Sends one call before the call that it depends on.
    SendsOutOfOrder,
    /// Runs out of its token budget.
    ExhaustsBudget,
}

/// Program to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramPlan {
    /// Program ID.
    pub id: String,
    /// Tenant of the program.
    pub tenant: String,
    /// Start time, relative to the start of the run.
    pub start: Duration,
    /// Token budget, shared with its sub-agents.
    pub budget: u64,
    /// Steps, in order.
    pub steps: Vec<Step>,
    /// Behavior of its client.
    pub behavior: ClientBehavior,
}

const DEFAULT_BUDGET: u64 = 400_000;
/// Budget that is exhausted after a few turns.
const INSUFFICIENT_BUDGET: u64 = 700;
const MAX_PAUSE: Duration = Duration::from_secs(4);
const SUBJECTS: [&str; 6] = [
    "the river embankment",
    "a water main",
    "the old town hall",
    "route 38",
    "a family plot",
    "ward nine",
];

/// Generates `count` programs that start within `window`.
pub fn generate_programs(
    deployment: Deployment,
    count: usize,
    window: Duration,
    seed: u64,
) -> Vec<ProgramPlan> {
    let mut generator = ProgramGenerator { rng: ChaCha8Rng::seed_from_u64(seed), deployment };
    (0..count).map(|index| generator.program(index, window, seed)).collect()
}

struct ProgramGenerator {
    rng: ChaCha8Rng,
    deployment: Deployment,
}

impl ProgramGenerator {
    fn program(&mut self, index: usize, window: Duration, seed: u64) -> ProgramPlan {
        let behavior = match index % 8 {
            3 => ClientBehavior::Disconnects,
            5 => ClientBehavior::SendsOutOfOrder,
            7 => ClientBehavior::ExhaustsBudget,
            _ => ClientBehavior::Normal,
        };
        let steps = match self.deployment {
            Deployment::Celje => self.print_order_program(),
            Deployment::Kushiro => self.newsroom_program(),
        };
        let name = self.deployment.name();
        ProgramPlan {
            id: format!("{name}-{seed}-{index}"),
            tenant: format!("{name}-{}", index % 3),
            start: window.mul_f64(self.rng.random_range(0.0..1.0)),
            budget: if behavior == ClientBehavior::ExhaustsBudget {
                INSUFFICIENT_BUDGET
            } else {
                DEFAULT_BUDGET
            },
            steps,
            behavior,
        }
    }

    /// Returns the steps of a notice with corrections that ends in a print job.
    fn print_order_program(&mut self) -> Vec<Step> {
        let corrections = self.turn_count(2, 12);
        let mut steps = vec![self.initial_call("Draft a building notice for")];
        if self.rng.random_bool(0.3) {
            steps.push(self.sub_agents("Check the register for"));
            steps.push(self.follow_up_call("Use what the agents found."));
        }
        for _ in 0..corrections {
            steps.push(self.pause(400.0));
            steps.push(self.follow_up_call("Please correct this:"));
        }
        steps.push(self.print_call());
        steps
    }

    /// Returns the steps of a reporter's session or of a subscriber's short question.
    fn newsroom_program(&mut self) -> Vec<Step> {
        if self.rng.random_bool(0.4) {
            let lookup = self.lookup_call();
            return vec![
                self.initial_call("Answer a subscriber's question about"),
                lookup,
                self.follow_up_call("The record says so."),
            ];
        }
        let turns = self.turn_count(4, 16);
        let mut steps = vec![self.initial_call("Draft a notice of an outage at")];
        for turn in 0..turns {
            steps.push(self.pause(600.0));
            if turn == 1 {
                steps.push(self.sub_agents("Collect quotes on"));
            }
            if turn % 5 == 2 {
                steps.push(self.lookup_call());
            }
            steps.push(self.follow_up_call("Revise for the next edition:"));
        }
        steps.push(self.print_call());
        steps
    }

    /// Draws a number of turns from a log-normal distribution.
    fn turn_count(&mut self, min: u32, max: u32) -> u32 {
        let sample =
            LogNormal::new(1.2, 0.8).map_or(2.0, |distribution| distribution.sample(&mut self.rng));
        (sample as u32).clamp(min, max)
    }

    fn pause(&mut self, median_millis: f64) -> Step {
        let sample = LogNormal::new(median_millis.ln(), 0.7)
            .map_or(median_millis, |distribution| distribution.sample(&mut self.rng));
        Step::Pause(Duration::from_millis(sample as u64).min(MAX_PAUSE))
    }

    fn words(&mut self, count: usize) -> String {
        let words: Vec<String> =
            (0..count).map(|_| format!("w{}", self.rng.random_range(0..5_000))).collect();
        words.join(" ")
    }

    fn subject(&mut self) -> &'static str {
        SUBJECTS[self.rng.random_range(0..SUBJECTS.len())]
    }

    fn initial_call(&mut self, task: &str) -> Step {
        let system = format!("You work for {}. Keep to the house rules.", self.deployment.name());
        let text = format!("{task} {}. {}", self.subject(), self.words(60));
        Step::ModelCall(vec![
            ChatMessage::new(Role::System, system),
            ChatMessage::new(Role::User, text),
        ])
    }

    fn follow_up_call(&mut self, task: &str) -> Step {
        let text = format!("{task} {}", self.words(20));
        Step::ModelCall(vec![ChatMessage::new(Role::User, text)])
    }

    fn sub_agents(&mut self, task: &str) -> Step {
        let count = self.rng.random_range(2..=3);
        let agents =
            (0..count).map(|_| vec![self.initial_call(task), self.follow_up_call("Sum up.")]);
        Step::SubAgents(agents.collect())
    }

    fn lookup_call(&mut self) -> Step {
        Step::ServiceCall {
            input: format!("look up {}", self.words(4)),
            repeatable: true,
            send_duplicate: false,
        }
    }

    fn print_call(&mut self) -> Step {
        Step::ServiceCall {
            input: format!("print {}", self.words(6)),
            repeatable: false,
            send_duplicate: self.rng.random_bool(0.3),
        }
    }
}
