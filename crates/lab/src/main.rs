//! The `calicohoist-lab` command.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use calicohoist_lab::bench::{self, BenchSettings};
use calicohoist_lab::demo::{self, DemoReport, DemoSettings};
use calicohoist_lab::deployment::Deployment;
use calicohoist_lab::fleet::FleetControl;
use calicohoist_lab::fleet::backends::{Backends, FleetSize};
use calicohoist_lab::fleet::files::{self, ProcessFleet};
use calicohoist_lab::report;
use calicohoist_lab::scale;
use calicohoist_lab::scale::capacity::{self, DESIGN};
use calicohoist_lab::sim::{Scenario, SeedRange, SimReport, run_many};
use calicohoist_telemetry::{LogFormat, LogSettings, logging};
use eyre::Result;
use log::LevelFilter;

/// The slopes that the repository records, from its root.
const RECORDED_SLOPES: &str = "docs/capacity/scale.json";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Fleets, load and proof for calicohoist.
struct Arguments {
    /// Least severe level that is logged
    #[bpaf(argument("LEVEL"), fallback(LevelFilter::Error))]
    log_level: LevelFilter,
    #[bpaf(external(command))]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Run programs on a fleet inside this process, and judge what happened
    #[bpaf(command)]
    Demo {
        /// celje or kushiro
        #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
        deployment: Deployment,
        /// Programs to run
        #[bpaf(argument("COUNT"), fallback(40))]
        programs: usize,
        /// Seed of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Write the report here, too
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Write everything that was recorded here
        #[bpaf(argument("FILE"))]
        history: Option<PathBuf>,
    },
    /// Measure what the path adds to a call, and the rate one gateway holds
    #[bpaf(command)]
    Bench {
        /// Calls of each kind for the added latency
        #[bpaf(argument("COUNT"), fallback(300))]
        calls: usize,
        /// Seconds of each step of the rate
        #[bpaf(argument("SECONDS"), fallback(4))]
        seconds: u64,
        /// Write the report here, too
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Run whole fleets in virtual time under faults, and judge what happened
    #[bpaf(command)]
    Sim(#[bpaf(external(sim_arguments))] SimArguments),
    /// Measure costs at a ladder of sizes, and their slopes
    #[bpaf(command)]
    Scale {
        /// Most hollow gateways
        #[bpaf(argument("COUNT"), fallback(390))]
        largest: usize,
        /// Write the report here
        #[bpaf(argument("FILE"))]
        json: PathBuf,
    },
    /// Work out the design size from measured slopes, as a table
    #[bpaf(command)]
    Capacity {
        /// Report of `scale`
        #[bpaf(argument("FILE"), fallback(PathBuf::from(RECORDED_SLOPES)))]
        slopes: PathBuf,
    },
    /// Run the stand-ins of a fleet of processes and write its settings files
    #[bpaf(command)]
    Backends {
        /// celje or kushiro
        #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
        deployment: Deployment,
        /// Folder for the files
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Seed of the stand-ins
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// End by itself after this many seconds
        #[bpaf(argument("SECONDS"), fallback(600))]
        seconds: u64,
    },
    /// Run programs on a fleet of processes, and judge what happened
    #[bpaf(command)]
    Fleet {
        /// Folder with the fleet's files
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Programs to run
        #[bpaf(argument("COUNT"), fallback(40))]
        programs: usize,
        /// Seed of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Write the report here, too
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct SimArguments {
    /// Print the names of all scenarios
    list: bool,
    /// Scenario to run; all of them when left out
    #[bpaf(argument("NAME"))]
    scenario: Option<Scenario>,
    /// celje or kushiro
    #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
    deployment: Deployment,
    /// Everything that happens follows from this
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Run many seeds on all cores, A up to but without B
    #[bpaf(argument("A..B"))]
    seeds: Option<SeedRange>,
    /// Threads of many runs
    #[bpaf(argument("COUNT"), fallback(default_threads()))]
    threads: usize,
    /// Write the report here, too
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
}

fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings =
        LogSettings { format: LogFormat::Text, level: arguments.log_level, node: String::new() };
    match logging::install(settings).and_then(|()| perform(arguments.command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn perform(command: Command) -> Result<ExitCode> {
    match command {
        Command::Demo { deployment, programs, seed, json, history } => {
            let settings = DemoSettings {
                deployment,
                programs,
                seed,
                progress: std::io::stderr().is_terminal(),
            };
            let (outcome, recorded) = demo::run(&settings)?;
            if let Some(file) = history {
                std::fs::write(file, serde_json::to_vec(&recorded)?)?;
            }
            conclude(&outcome, json.as_deref())
        }
        Command::Bench { calls, seconds, json } => {
            let settings = BenchSettings { calls, step: Duration::from_secs(seconds) };
            let text = serde_json::to_string_pretty(&bench::run(settings)?)?;
            println!("{text}");
            if let Some(file) = json {
                std::fs::write(file, text)?;
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Sim(arguments) => simulate(&arguments),
        Command::Scale { largest, json } => {
            let report = scale::run(largest, |step| eprintln!("measuring {step}"));
            std::fs::write(json, serde_json::to_vec_pretty(&report)?)?;
            println!("{}", capacity::table(&report, &DESIGN));
            Ok(ExitCode::SUCCESS)
        }
        Command::Capacity { slopes } => {
            let report = serde_json::from_slice(&std::fs::read(slopes)?)?;
            println!("{}", capacity::table(&report, &DESIGN));
            Ok(ExitCode::SUCCESS)
        }
        Command::Backends { deployment, folder, seed, seconds } => {
            let size = FleetSize::of(deployment);
            let backends = Backends::start(deployment, size, seed)?;
            files::write(&folder, deployment, size, &backends)?;
            println!("ready");
            std::thread::sleep(Duration::from_secs(seconds));
            Ok(ExitCode::SUCCESS)
        }
        Command::Fleet { folder, programs, seed, json } => {
            let mut fleet = ProcessFleet::open(&folder)?;
            let settings = DemoSettings {
                deployment: fleet.map().deployment,
                programs,
                seed,
                progress: std::io::stderr().is_terminal(),
            };
            let (outcome, _) = demo::run_on(&mut fleet, &settings);
            conclude(&outcome, json.as_deref())
        }
    }
}

fn simulate(arguments: &SimArguments) -> Result<ExitCode> {
    if arguments.list {
        Scenario::ALL.iter().for_each(|scenario| println!("{}", scenario.name()));
        return Ok(ExitCode::SUCCESS);
    }
    let scenarios = match arguments.scenario {
        Some(scenario) => vec![scenario],
        None => Scenario::ALL.to_vec(),
    };
    let seeds = arguments
        .seeds
        .as_ref()
        .map_or(arguments.seed..arguments.seed + 1, |range| range.seeds.clone());
    let mut all = Vec::new();
    for scenario in scenarios {
        let begin = std::time::Instant::now();
        let reports = run_many(scenario, arguments.deployment, seeds.clone(), arguments.threads);
        println!("{}", report::sim_line(&reports, begin.elapsed()));
        for report in reports.iter().filter(|report| !report.is_good()) {
            println!("{}", report.describe());
        }
        all.extend(reports);
    }
    if let Some(file) = &arguments.json {
        let json = match all.as_slice() {
            [only] => serde_json::to_vec_pretty(only)?,
            many => serde_json::to_vec_pretty(many)?,
        };
        std::fs::write(file, json)?;
    }
    let is_good = all.iter().all(SimReport::is_good);
    Ok(if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints and stores a report; the status says whether everything held.
fn conclude(outcome: &DemoReport, json: Option<&Path>) -> Result<ExitCode> {
    println!("{}", report::text(outcome));
    if let Some(file) = json {
        std::fs::write(file, serde_json::to_vec_pretty(outcome)?)?;
    }
    let failed = outcome.invariants.violations() > 0
        || outcome.programs_completed < outcome.programs_started;
    Ok(if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
