//! Commands: everything that changes replicated state, each with its result.

pub mod program;
pub mod resource;

use serde::{Deserialize, Serialize};

use program::{ProgramCommand, ProgramOutput};
use resource::{ResourceCommand, ResourceOutput};

/// A command for either kind of group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// For group 0.
    Resource(ResourceCommand),
    /// For a group of programs.
    Program(ProgramCommand),
}

/// A command with the time at which its leader proposed it. State machines have
/// no other clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped {
    /// Milliseconds of Unix time.
    pub at: u64,
    /// The command.
    pub command: Command,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Of a [`ResourceCommand`].
    Resource(ResourceOutput),
    /// Of a [`ProgramCommand`].
    Program(ProgramOutput),
    /// The group does not take this command.
    Unsupported,
}
