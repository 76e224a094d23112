//! Findings: everything wrong with an input, each with its place, reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Where in an input a finding stands. Lines and columns count from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// File, or another name of the input; empty for a request body.
    pub file: String,
    /// Line, when the input is text that a person wrote.
    pub line: Option<usize>,
    /// Column, when the input is text that a person wrote.
    pub column: Option<usize>,
    /// Path of the field, such as `store.peers[1].address`.
    pub field: String,
}

/// One thing that is wrong, and what would have been accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// What would be accepted.
    pub accepted: String,
}

impl Finding {
    /// A finding about `field` of an input without lines.
    pub fn of_field(
        field: impl Into<String>,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        let place = Place { field: field.into(), ..Place::default() };
        Self { place, problem: problem.into(), accepted: accepted.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = &self.place;
        if !place.file.is_empty() {
            write!(formatter, "{}:", place.file)?;
        }
        if let Some(line) = place.line {
            write!(formatter, "{line}:")?;
        }
        if let Some(column) = place.column {
            write!(formatter, "{column}:")?;
        }
        if !place.file.is_empty() || place.line.is_some() {
            formatter.write_str(" ")?;
        }
        if !place.field.is_empty() {
            write!(formatter, "{}: ", place.field)?;
        }
        write!(formatter, "{} (accepted: {})", self.problem, self.accepted)
    }
}

/// A non-empty list of findings, as an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}", self.joined())]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// `Ok` when nothing was found.
    pub fn into_result(found: Vec<Finding>) -> Result<(), Self> {
        if found.is_empty() { Ok(()) } else { Err(Self(found)) }
    }

    fn joined(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}
