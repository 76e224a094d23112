//! Log files in JSON lines.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use eyre::{Result, WrapErr};
use serde_json::{Map, Value};

/// One line of a log.
pub type LogLine = Map<String, Value>;

/// Reads the lines of files; those of standard input without any.
///
/// # Errors
/// When a file cannot be read.
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

/// Lines may carry something before the object, as collectors of logs add it.
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

/// The time of a line up to the second.
pub fn second_of(line: &LogLine) -> &str {
    const SECOND_LENGTH: usize = "2026-01-01T00:00:00".len();
    let time = text(line, "time");
    time.get(..SECOND_LENGTH).unwrap_or(time)
}

/// A value as a person reads it: text without quotes.
pub fn shown_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// A field that is text; empty when there is none.
pub fn text<'a>(line: &'a LogLine, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}
