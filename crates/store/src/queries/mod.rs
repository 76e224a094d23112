//! Queries that read replicated state.

pub mod program;
pub mod resource;

use serde::{Deserialize, Serialize};

use crate::state::GroupState;
use program::{ProgramAnswer, ProgramQuery};
use resource::{ResourceAnswer, ResourceQuery};

/// A query for either kind of group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Query for [`RESOURCE_GROUP`](crate::state::RESOURCE_GROUP).
    Resource(ResourceQuery),
    /// Query for a program group.
    Program(ProgramQuery),
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Answer to a [`ResourceQuery`].
    Resource(ResourceAnswer),
    /// Answer to a [`ProgramQuery`].
    Program(ProgramAnswer),
    /// The group does not support the query.
    Unsupported,
}

impl GroupState {
    /// Answers a query from the applied state.
    pub fn answer(&self, query: Query) -> Answer {
        match (self, query) {
            (Self::Resources(table), Query::Resource(query)) => {
                Answer::Resource(table.answer(query))
            }
            (Self::Programs(shard), Query::Program(query)) => Answer::Program(shard.answer(query)),
            _ => Answer::Unsupported,
        }
    }
}
