//! `calicohoist losses`: counts failed requests by cause and second, from log files.
//!
//! The outcome of a request is taken from its end event; without one, the cause is a
//! restart of its gateway or the missing event itself. A program counts at most once, if its last
//! request failed; earlier failures were recovered by a later request.

use std::collections::BTreeMap;
use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;

use super::log_lines::{LogLine, display_value, read_all, str_field, timestamp_second};

/// Arguments of `losses`.
#[derive(Clone, Debug, Bpaf)]
pub struct LossesArguments {
    /// Count requests instead of programs
    #[bpaf(long("requests"))]
    requests: bool,
    /// Print the id of one program or request per row
    #[bpaf(long("examples"))]
    examples: bool,
    /// Log files in JSON lines format; standard input if none is given
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// Outcomes that are not losses: complete answers and expected rejections.
const SUCCESS_OUTCOMES: [&str; 3] = ["200", "402", "500"];
const GATEWAY_ENDED: &str = "its gateway ended";
const NO_END_EVENT: &str = "no last line";

/// Request as reconstructed from the logs.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    program: String,
    route: String,
    node: String,
    received_at: String,
    /// `received_at`, truncated to the second.
    second: String,
    outcome: Option<String>,
}

/// Grouping key of an output row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LossKey {
    second: String,
    route: String,
    cause: String,
}

/// Prints the loss counts.
///
/// # Errors
/// Returns an error if a file cannot be read or the logs contain no request.
pub fn run(arguments: &LossesArguments) -> Result<()> {
    let lines = read_all(&arguments.files)?;
    let requests = collect_requests(&lines);
    if requests.is_empty() {
        eyre::bail!("no request found in the logs");
    }
    let counts =
        if arguments.requests { count_by_request(&requests) } else { count_by_program(&requests) };
    for (key, ids) in &counts {
        let example = ids.first().filter(|_| arguments.examples);
        let example = example.map(|id| format!("  {id}")).unwrap_or_default();
        println!("{} {:>5}  {}  {}{example}", key.second, ids.len(), key.route, key.cause);
    }
    let total: usize = counts.values().map(Vec::len).sum();
    println!("{total} of {} requests or their programs were not served", requests.len());
    Ok(())
}

fn collect_requests(lines: &[LogLine]) -> BTreeMap<String, RequestRecord> {
    let mut lines: Vec<&LogLine> = lines.iter().collect();
    lines.sort_by_key(|line| str_field(line, "time"));
    let mut requests: BTreeMap<String, RequestRecord> = BTreeMap::new();
    for line in lines {
        let id = str_field(line, "request");
        match str_field(line, "name") {
            "RequestTaken" => {
                let record = RequestRecord {
                    program: str_field(line, "program").to_owned(),
                    route: str_field(line, "route").to_owned(),
                    node: str_field(line, "node").to_owned(),
                    received_at: str_field(line, "time").to_owned(),
                    second: timestamp_second(line).to_owned(),
                    outcome: None,
                };
                requests.insert(id.to_owned(), record);
            }
            "RequestEnded" => {
                if let Some(record) = requests.get_mut(id) {
                    record.outcome =
                        Some(line.get("outcome").map(display_value).unwrap_or_default());
                }
            }
            "RoleStarted" => mark_requests_lost(str_field(line, "node"), &mut requests),
            _ => {}
        }
    }
    requests
}

/// Marks the unfinished requests of a restarted process as lost.
fn mark_requests_lost(node: &str, requests: &mut BTreeMap<String, RequestRecord>) {
    let is_unfinished =
        |record: &&mut RequestRecord| record.node == node && record.outcome.is_none();
    for record in requests.values_mut().filter(is_unfinished) {
        record.outcome = Some(GATEWAY_ENDED.to_owned());
    }
}

impl RequestRecord {
    fn is_served(&self) -> bool {
        self.outcome.as_deref().is_some_and(|outcome| SUCCESS_OUTCOMES.contains(&outcome))
    }

    fn key(&self) -> LossKey {
        let outcome = self.outcome.as_deref().unwrap_or(NO_END_EVENT);
        LossKey {
            second: self.second.clone(),
            route: self.route.clone(),
            cause: outcome.to_owned(),
        }
    }
}

type LossCounts = BTreeMap<LossKey, Vec<String>>;

fn count_by_request(requests: &BTreeMap<String, RequestRecord>) -> LossCounts {
    let mut counts = LossCounts::new();
    for (id, record) in requests.iter().filter(|(_, record)| !record.is_served()) {
        counts.entry(record.key()).or_default().push(id.clone());
    }
    counts
}

fn count_by_program(requests: &BTreeMap<String, RequestRecord>) -> LossCounts {
    let mut programs: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in requests.values().filter(|record| record.program != "-") {
        programs.entry(&record.program).or_default().push(record);
    }
    let mut counts = LossCounts::new();
    for (program, mut records) in programs {
        records.sort_by(|left, right| left.received_at.cmp(&right.received_at));
        let last = records.last().filter(|last| !last.is_served());
        if let Some(last) = last {
            counts.entry(last.key()).or_default().push(program.to_owned());
        }
    }
    counts
}
