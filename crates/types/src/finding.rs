//! Validation errors with their location in the input, reported all at once.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Location in an input. Lines and columns are numbered from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// File name or other name of the input; empty for a request body.
    pub file: String,
    /// Line, if the input is a text file.
    pub line: Option<usize>,
    /// Column, if the input is a text file.
    pub column: Option<usize>,
    /// Path of the field, such as `store.peers[1].address`.
    pub field: String,
}

/// Validation error with a description of the accepted values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location in the input.
    pub place: Location,
    /// Description of the error.
    pub problem: String,
    /// Description of the accepted values.
    pub accepted: String,
}

impl Finding {
    /// Creates a finding for `field` of an input without line numbers.
    pub fn of_field(
        field: impl Into<String>,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        let place = Location { field: field.into(), ..Location::default() };
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

/// Error that consists of one or more findings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}", self.to_lines())]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns `Ok` if there are no findings.
    pub fn into_result(findings: Vec<Finding>) -> Result<(), Self> {
        if findings.is_empty() { Ok(()) } else { Err(Self(findings)) }
    }

    fn to_lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}
