//! Reader for log files in JSON lines format.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::{Result, WrapErr};
use serde_json::{Map, Value};

/// Parsed log line.
pub type LogLine = Map<String, Value>;

/// Reads all log lines of `files`, or of standard input if `files` is empty.
///
/// # Errors
/// Returns an error if a file cannot be read.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read(&mut std::io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        let opened = File::open(file).wrap_err_with(|| file.display().to_string())?;
        read(&mut BufReader::new(opened), &mut lines)?;
    }
    Ok(lines)
}

/// Skips any prefix before the JSON object, as added by log collectors, and lines without one.
fn read(input: &mut impl BufRead, lines: &mut Vec<LogLine>) -> Result<()> {
    for line in input.lines() {
        let line = line?;
        let object = line.find('{').and_then(|start| serde_json::from_str(&line[start..]).ok());
        if let Some(Value::Object(object)) = object {
            lines.push(object);
        }
    }
    Ok(())
}

/// Returns the timestamp of a line, truncated to the second.
pub fn timestamp_second(line: &LogLine) -> &str {
    const SECOND_LENGTH: usize = "2026-01-01T00:00:00".len();
    let time = str_field(line, "time");
    time.get(..SECOND_LENGTH).unwrap_or(time)
}

/// Formats a value for display, with strings unquoted.
pub fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns a string field, or an empty string if there is none.
pub fn str_field<'a>(line: &'a LogLine, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}
