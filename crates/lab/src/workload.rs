//! Programs of the kinds that the two services run.

use std::time::Duration;

use calicohoist_types::{ChatMessage, Role};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::deployment::Deployment;

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A model call with new messages.
    Ask(Vec<ChatMessage>),
    /// A pause in which a tool or a person works.
    Pause(Duration),
    /// A tool service.
    Service {
        /// Its input.
        input: String,
        /// Whether it may run more than once.
        repeatable: bool,
        /// Send it a second time at once, as a nervous client does.
        twice: bool,
    },
    /// Sub-agents that run at the same time; their answers go into the next call.
    Agents(Vec<Vec<Step>>),
}

/// What a program does beyond its steps, to provoke a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Nothing special.
    Plain,
    /// Hangs up in the middle of answers and resumes them elsewhere.
    HangsUp,
    /// Sends one call too early, before the one it depends on.
    SendsTooEarly,
    /// Has a budget that does not last.
    ShortOfBudget,
}

/// One program to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramPlan {
    /// Its name.
    pub id: String,
    /// Its tenant.
    pub tenant: String,
    /// When it starts, from the start of the run.
    pub start: Duration,
    /// Tokens of its tree.
    pub budget: u64,
    /// Its steps.
    pub steps: Vec<Step>,
    /// What else it does.
    pub habit: Habit,
}

/// Budget of a program that has enough.
const AMPLE_BUDGET: u64 = 400_000;
/// Budget that lasts for a few turns only.
const SHORT_BUDGET: u64 = 700;
/// Longest pause that is drawn.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
const SUBJECTS: [&str; 6] = [
    "the river embankment",
    "a water main",
    "the old town hall",
    "route 38",
    "a family plot",
    "ward nine",
];

/// Draws `count` programs that start within `window`.
pub fn draw(deployment: Deployment, count: usize, window: Duration, seed: u64) -> Vec<ProgramPlan> {
    let mut drawer = Drawer { random: ChaCha8Rng::seed_from_u64(seed), deployment };
    (0..count).map(|index| drawer.program(index, window, seed)).collect()
}

struct Drawer {
    random: ChaCha8Rng,
    deployment: Deployment,
}

impl Drawer {
    fn program(&mut self, index: usize, window: Duration, seed: u64) -> ProgramPlan {
        let habit = match index % 8 {
            3 => Habit::HangsUp,
            5 => Habit::SendsTooEarly,
            7 => Habit::ShortOfBudget,
            _ => Habit::Plain,
        };
        let steps = match self.deployment {
            Deployment::Celje => self.counter_program(),
            Deployment::Kushiro => self.newsroom_program(),
        };
        let name = self.deployment.name();
        ProgramPlan {
            id: format!("{name}-{seed}-{index}"),
            tenant: format!("{name}-{}", index % 3),
            start: window.mul_f64(self.random.random_range(0.0..1.0)),
            budget: if habit == Habit::ShortOfBudget { SHORT_BUDGET } else { AMPLE_BUDGET },
            steps,
            habit,
        }
    }

    /// A notice with corrections that ends in a print job.
    fn counter_program(&mut self) -> Vec<Step> {
        let corrections = self.turns(2, 12);
        let mut steps = vec![self.first_ask("Draft a building notice for")];
        if self.random.random_bool(0.3) {
            steps.push(self.agents("Check the register for"));
            steps.push(self.ask("Use what the agents found."));
        }
        for _ in 0..corrections {
            steps.push(self.pause(400.0));
            steps.push(self.ask("Please correct this:"));
        }
        steps.push(self.print());
        steps
    }

    /// A reporter's session, or a subscriber's short question.
    fn newsroom_program(&mut self) -> Vec<Step> {
        if self.random.random_bool(0.4) {
            let look_up = self.look_up();
            return vec![
                self.first_ask("Answer a subscriber's question about"),
                look_up,
                self.ask("The record says so."),
            ];
        }
        let turns = self.turns(4, 16);
        let mut steps = vec![self.first_ask("Draft a notice of an outage at")];
        for turn in 0..turns {
            steps.push(self.pause(600.0));
            if turn == 1 {
                steps.push(self.agents("Collect quotes on"));
            }
            if turn % 5 == 2 {
                steps.push(self.look_up());
            }
            steps.push(self.ask("Revise for the next edition:"));
        }
        steps.push(self.print());
        steps
    }

    /// Short programs are common, long ones are not.
    fn turns(&mut self, fewest: u32, most: u32) -> u32 {
        let drawn = LogNormal::new(1.2, 0.8).map_or(2.0, |shape| shape.sample(&mut self.random));
        (drawn as u32).clamp(fewest, most)
    }

    fn pause(&mut self, median_millis: f64) -> Step {
        let drawn = LogNormal::new(median_millis.ln(), 0.7)
            .map_or(median_millis, |shape| shape.sample(&mut self.random));
        Step::Pause(Duration::from_millis(drawn as u64).min(LONGEST_PAUSE))
    }

    fn words(&mut self, count: usize) -> String {
        let words: Vec<String> =
            (0..count).map(|_| format!("w{}", self.random.random_range(0..5_000))).collect();
        words.join(" ")
    }

    fn subject(&mut self) -> &'static str {
        SUBJECTS[self.random.random_range(0..SUBJECTS.len())]
    }

    fn first_ask(&mut self, task: &str) -> Step {
        let system = format!("You work for {}. Keep to the house rules.", self.deployment.name());
        let text = format!("{task} {}. {}", self.subject(), self.words(60));
        Step::Ask(vec![ChatMessage::new(Role::System, system), ChatMessage::new(Role::User, text)])
    }

    fn ask(&mut self, task: &str) -> Step {
        let text = format!("{task} {}", self.words(20));
        Step::Ask(vec![ChatMessage::new(Role::User, text)])
    }

    fn agents(&mut self, task: &str) -> Step {
        let count = self.random.random_range(2..=3);
        let agents = (0..count).map(|_| vec![self.first_ask(task), self.ask("Sum up.")]);
        Step::Agents(agents.collect())
    }

    fn look_up(&mut self) -> Step {
        Step::Service {
            input: format!("look up {}", self.words(4)),
            repeatable: true,
            twice: false,
        }
    }

    fn print(&mut self) -> Step {
        Step::Service {
            input: format!("print {}", self.words(6)),
            repeatable: false,
            twice: self.random.random_bool(0.3),
        }
    }
}
