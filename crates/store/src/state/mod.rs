//! Replicated state of the Raft groups.

pub mod programs;
pub mod resources;

use calicohoist_replication::{GroupId, StateMachine};
use calicohoist_types::ProgramId;
use calicohoist_wire::{decode, encode};
use serde::{Deserialize, Serialize};

use crate::commands::{Command, Output, TimestampedCommand};
use programs::ProgramShard;
use resources::ResourceTable;

/// The group that stores resources; its leader also manages node leases.
pub const RESOURCE_GROUP: GroupId = GroupId(0);

/// Assigns programs to groups by a hash of the root program's id, so that a program and all
/// its sub-agents are stored in the same group and can share one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMap {
    program_groups: u32,
}

impl GroupMap {
    /// Creates a map over `program_groups` groups, at least one.
    pub fn new(program_groups: u32) -> Self {
        Self { program_groups: program_groups.max(1) }
    }

    /// Returns the group that stores `program`.
    pub fn group_of(&self, program: &ProgramId) -> GroupId {
        let hash = blake3::hash(programs::root_of(program).as_str().as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hash.as_bytes()[..4]);
        GroupId(u32::from_le_bytes(first) % self.program_groups + 1)
    }

    /// Returns all groups that store programs.
    pub fn program_groups(&self) -> impl Iterator<Item = GroupId> + use<> {
        (1..=self.program_groups).map(GroupId)
    }

    /// Returns all groups, including [`RESOURCE_GROUP`].
    pub fn all(&self) -> Vec<GroupId> {
        std::iter::once(RESOURCE_GROUP).chain(self.program_groups()).collect()
    }
}

/// State of one group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupState {
    /// State of [`RESOURCE_GROUP`].
    Resources(ResourceTable),
    /// State of any other group.
    Programs(ProgramShard),
}

impl StateMachine for GroupState {
    type Output = Output;

    fn new(group: GroupId) -> Self {
        if group == RESOURCE_GROUP {
            Self::Resources(ResourceTable::default())
        } else {
            Self::Programs(ProgramShard::default())
        }
    }

    fn apply(&mut self, command: &[u8]) -> Output {
        let Ok(stamped) = decode::<TimestampedCommand>(command) else {
            return Output::Unsupported;
        };
        match (self, stamped.command) {
            (Self::Resources(table), Command::Resource(command)) => {
                Output::Resource(table.apply(stamped.at, command))
            }
            (Self::Programs(shard), Command::Program(command)) => {
                Output::Program(shard.apply(stamped.at, command))
            }
            _ => Output::Unsupported,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self).unwrap_or_default()
    }

    fn restore(&mut self, data: &[u8]) -> bool {
        match decode(data) {
            Ok(state) => {
                *self = state;
                true
            }
            Err(_) => false,
        }
    }
}
