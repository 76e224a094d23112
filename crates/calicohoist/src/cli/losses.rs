//! `calicohoist losses`: what was not served, by cause and second, from log files.
//!
//! A request counts by its last line; one without any counts by what became of its process.
//! A program counts once, by its last request that was not served after the last one that
//! was: whatever failed before that was made good.

use std::collections::BTreeMap;
use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;

use super::log_lines::{LogLine, read_all, second_of, shown_value, text};

/// Arguments of `losses`.
#[derive(Clone, Debug, Bpaf)]
pub struct LossesArguments {
    /// Count requests instead of programs
    #[bpaf(long("requests"))]
    requests: bool,
    /// Name a program or request of each row
    #[bpaf(long("examples"))]
    examples: bool,
    /// Log files in JSON lines; standard input without any
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// Outcomes that need no row: a whole answer, and refusals that are right.
const SERVED: [&str; 3] = ["200", "402", "500"];
const PROCESS_ENDED: &str = "its gateway ended";
const NO_LAST_LINE: &str = "no last line";

/// A request, as the logs tell of it.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    program: String,
    route: String,
    node: String,
    taken_at: String,
    /// `taken_at` up to the second.
    second: String,
    outcome: Option<String>,
}

/// What a row counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    second: String,
    route: String,
    cause: String,
}

/// Prints the rows.
///
/// # Errors
/// When a file cannot be read, or holds no request.
pub fn run(arguments: &LossesArguments) -> Result<()> {
    let lines = read_all(&arguments.files)?;
    let requests = requests(&lines);
    if requests.is_empty() {
        eyre::bail!("no line tells of a request");
    }
    let counted = if arguments.requests { by_request(&requests) } else { by_program(&requests) };
    for (key, ids) in &counted {
        let example = ids.first().filter(|_| arguments.examples);
        let example = example.map(|id| format!("  {id}")).unwrap_or_default();
        println!("{} {:>5}  {}  {}{example}", key.second, ids.len(), key.route, key.cause);
    }
    let total: usize = counted.values().map(Vec::len).sum();
    println!("{total} of {} requests or their programs were not served", requests.len());
    Ok(())
}

fn requests(lines: &[LogLine]) -> BTreeMap<String, RequestRecord> {
    let mut lines: Vec<&LogLine> = lines.iter().collect();
    lines.sort_by_key(|line| text(line, "time"));
    let mut requests: BTreeMap<String, RequestRecord> = BTreeMap::new();
    for line in lines {
        let id = text(line, "request");
        match text(line, "name") {
            "RequestTaken" => {
                let record = RequestRecord {
                    program: text(line, "program").to_owned(),
                    route: text(line, "route").to_owned(),
                    node: text(line, "node").to_owned(),
                    taken_at: text(line, "time").to_owned(),
                    second: second_of(line).to_owned(),
                    outcome: None,
                };
                requests.insert(id.to_owned(), record);
            }
            "RequestEnded" => {
                if let Some(record) = requests.get_mut(id) {
                    record.outcome = Some(line.get("outcome").map(shown_value).unwrap_or_default());
                }
            }
            "RoleStarted" => end_requests_of(text(line, "node"), &mut requests),
            _ => {}
        }
    }
    requests
}

/// A process that starts anew has lost what it had.
fn end_requests_of(node: &str, requests: &mut BTreeMap<String, RequestRecord>) {
    let of_node = |record: &&mut RequestRecord| record.node == node && record.outcome.is_none();
    for record in requests.values_mut().filter(of_node) {
        record.outcome = Some(PROCESS_ENDED.to_owned());
    }
}

impl RequestRecord {
    fn is_served(&self) -> bool {
        self.outcome.as_deref().is_some_and(|outcome| SERVED.contains(&outcome))
    }

    fn key(&self) -> LossKey {
        let outcome = self.outcome.as_deref().unwrap_or(NO_LAST_LINE);
        LossKey {
            second: self.second.clone(),
            route: self.route.clone(),
            cause: outcome.to_owned(),
        }
    }
}

type Counted = BTreeMap<LossKey, Vec<String>>;

fn by_request(requests: &BTreeMap<String, RequestRecord>) -> Counted {
    let mut counted = Counted::new();
    for (id, record) in requests.iter().filter(|(_, record)| !record.is_served()) {
        counted.entry(record.key()).or_default().push(id.clone());
    }
    counted
}

fn by_program(requests: &BTreeMap<String, RequestRecord>) -> Counted {
    let mut programs: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in requests.values().filter(|record| record.program != "-") {
        programs.entry(&record.program).or_default().push(record);
    }
    let mut counted = Counted::new();
    for (program, mut records) in programs {
        records.sort_by(|one, other| one.taken_at.cmp(&other.taken_at));
        let last = records.last().filter(|last| !last.is_served());
        if let Some(last) = last {
            counted.entry(last.key()).or_default().push(program.to_owned());
        }
    }
    counted
}
