//! Commands that change replicated state, and their results.

pub mod program;
pub mod resource;

use serde::{Deserialize, Serialize};

use program::{ProgramCommand, ProgramOutput};
use resource::{ResourceCommand, ResourceOutput};

/// A command for either kind of group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Command for [`RESOURCE_GROUP`](crate::state::RESOURCE_GROUP).
    Resource(ResourceCommand),
    /// Command for a program group.
    Program(ProgramCommand),
}

/// A command with the time at which the leader proposed it. State machines use this
/// timestamp as their only clock, which keeps replicas deterministic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Proposal time in Unix milliseconds, in groups of programs by the clock of the group.
    pub at: u64,
    /// The command.
    pub command: Command,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Result of a [`ResourceCommand`].
    Resource(ResourceOutput),
    /// Result of a [`ProgramCommand`].
    Program(ProgramOutput),
    /// The command cannot be decoded, or the group does not support it.
    Unsupported,
}
