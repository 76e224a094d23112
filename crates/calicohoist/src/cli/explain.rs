//! `calicohoist explain`: timeline of one request or program, from log files.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;

use super::log_lines::{LogLine, display_value, read_all, str_field, timestamp_second};

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainArguments {
    /// Omit the state changes of the processes involved
    #[bpaf(long("only"))]
    exclude_state_changes: bool,
    /// Id of a request, turn or program
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files in JSON lines format; standard input if none is given
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// Names of events that report a state change of a process.
const STATE_EVENTS: [&str; 9] = [
    "BecameLeader",
    "LostLeadership",
    "ConfigurationApplied",
    "ListApplied",
    "LedgerConnected",
    "LedgerLost",
    "PlatformUnreachable",
    "StopRequested",
    "RoleStarted",
];

/// Prints the timeline.
///
/// # Errors
/// Returns an error if a file cannot be read or no line mentions the id.
pub fn run(arguments: &ExplainArguments) -> Result<()> {
    let lines = read_all(&arguments.files)?;
    let timeline_lines = timeline(&lines, &arguments.id, !arguments.exclude_state_changes);
    if timeline_lines.is_empty() {
        eyre::bail!("no log line mentions {:?}", arguments.id);
    }
    for line in timeline_lines {
        println!("{line}");
    }
    Ok(())
}

/// Returns the lines that mention `id` in chronological order.
///
/// With `include_state_changes`, adds leadership changes and the state changes of the nodes
/// involved between the first and the last of these lines, to the second.
fn timeline(lines: &[LogLine], id: &str, include_state_changes: bool) -> Vec<String> {
    let mentions_id = |line: &&LogLine| line.values().any(|value| value.as_str() == Some(id));
    let matching: Vec<&LogLine> = lines.iter().filter(mentions_id).collect();
    let times = || matching.iter().map(|line| timestamp_second(line));
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let nodes: Vec<&str> = matching.iter().map(|line| str_field(line, "node")).collect();
    let is_state_change = |line: &&LogLine| {
        let second = timestamp_second(line);
        let is_in_range = second >= first && second <= last;
        let is_leadership = str_field(line, "name").contains("Leader");
        let is_involved = nodes.contains(&str_field(line, "node")) || is_leadership;
        include_state_changes
            && is_in_range
            && is_involved
            && STATE_EVENTS.contains(&str_field(line, "name"))
    };
    let mut timeline_lines: Vec<&LogLine> = matching.clone();
    timeline_lines.extend(lines.iter().filter(is_state_change));
    timeline_lines.sort_by_key(|line| str_field(line, "time"));
    timeline_lines.into_iter().map(format_line).collect()
}

fn format_line(line: &LogLine) -> String {
    const HEADER_KEYS: [&str; 5] = ["time", "node", "name", "event", "level"];
    let fields = line.iter().filter(|(key, _)| !HEADER_KEYS.contains(&key.as_str()));
    let fields: Vec<String> =
        fields.map(|(key, value)| format!("{key}={}", display_value(value))).collect();
    let (time, node, name) =
        (str_field(line, "time"), str_field(line, "node"), str_field(line, "name"));
    format!("{time} {node} {name} {}", fields.join(" "))
}
