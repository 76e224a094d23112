//! `calicohoist explain`: the story of one request or program, from log files.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;

use super::log_lines::{LogLine, read_all, second_of, shown_value, text};

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainArguments {
    /// Leave out what the processes came to believe meanwhile
    #[bpaf(long("only"))]
    only: bool,
    /// Identity of a request, turn or program
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files in JSON lines; standard input without any
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// What a process came to believe, by name of the event.
const BELIEFS: [&str; 9] = [
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

/// Prints the story.
///
/// # Errors
/// When a file cannot be read, or nothing is found.
pub fn run(arguments: &ExplainArguments) -> Result<()> {
    let lines = read_all(&arguments.files)?;
    let told = story(&lines, &arguments.id, !arguments.only);
    if told.is_empty() {
        eyre::bail!("no line names {:?}", arguments.id);
    }
    for line in told {
        println!("{line}");
    }
    Ok(())
}

/// The lines about `id` in order of time, and with `beliefs` what the processes that
/// dealt with it came to believe in those seconds.
fn story(lines: &[LogLine], id: &str, beliefs: bool) -> Vec<String> {
    let names = |line: &&LogLine| line.values().any(|value| value.as_str() == Some(id));
    let about: Vec<&LogLine> = lines.iter().filter(names).collect();
    let times = || about.iter().map(|line| second_of(line));
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let nodes: Vec<&str> = about.iter().map(|line| text(line, "node")).collect();
    let is_belief = |line: &&LogLine| {
        let second = second_of(line);
        let is_meanwhile = second >= first && second <= last;
        let is_leadership = text(line, "name").contains("Leader");
        let is_there = nodes.contains(&text(line, "node")) || is_leadership;
        beliefs && is_meanwhile && is_there && BELIEFS.contains(&text(line, "name"))
    };
    let mut told: Vec<&LogLine> = about.clone();
    told.extend(lines.iter().filter(is_belief));
    told.sort_by_key(|line| text(line, "time"));
    told.into_iter().map(shown).collect()
}

fn shown(line: &LogLine) -> String {
    const FIXED: [&str; 5] = ["time", "node", "name", "event", "level"];
    let fields = line.iter().filter(|(key, _)| !FIXED.contains(&key.as_str()));
    let fields: Vec<String> =
        fields.map(|(key, value)| format!("{key}={}", shown_value(value))).collect();
    let (time, node, name) = (text(line, "time"), text(line, "node"), text(line, "name"));
    format!("{time} {node} {name} {}", fields.join(" "))
}
