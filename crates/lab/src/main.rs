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
use calicohoist_lab::fleet::backends::{EmulatedBackends, FleetSize};
use calicohoist_lab::fleet::processes::{self, ProcessFleet};
use calicohoist_lab::report;
use calicohoist_lab::scale;
use calicohoist_lab::scale::capacity::{self, DESIGN_SIZE};
use calicohoist_lab::sim::{Scenario, SeedRange, SimReport, run_many};
use calicohoist_telemetry::{LogFormat, LogSettings, logging};
use eyre::Result;
use log::LevelFilter;

/// Default path of the recorded slopes, relative to the repository root.
const RECORDED_SLOPES: &str = "docs/capacity/scale.json";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Test fleets, load generator, benchmarks and simulator for calicohoist.
struct Arguments {
    /// Lowest severity of messages to log
    #[bpaf(argument("LEVEL"), fallback(LevelFilter::Error))]
    log_level: LevelFilter,
    #[bpaf(external(command))]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Run programs on a fleet inside this process and check the invariants
    #[bpaf(command)]
    Demo {
        /// Deployment to emulate: celje or kushiro
        #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
        deployment: Deployment,
        /// Number of programs to run
        #[bpaf(argument("COUNT"), fallback(40))]
        programs: usize,
        /// Random seed of the workload
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Also write the report to this file as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Write the recorded history to this file as JSON
        #[bpaf(argument("FILE"))]
        history: Option<PathBuf>,
    },
    /// Measure the latency that the gateway adds and the throughput of one gateway
    #[bpaf(command)]
    Bench {
        /// Number of direct and of proxied calls for the latency measurement
        #[bpaf(argument("COUNT"), fallback(300))]
        calls: usize,
        /// Seconds to measure at each concurrency level
        #[bpaf(argument("SECONDS"), fallback(4))]
        seconds: u64,
        /// Also write the report to this file as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
    /// Simulate fleets with faults in virtual time and check the invariants
    #[bpaf(command)]
    Sim(#[bpaf(external(sim_arguments))] SimArguments),
    /// Measure costs at several fleet sizes and fit their slopes
    #[bpaf(command)]
    Scale {
        /// Largest number of simulated gateways
        #[bpaf(argument("COUNT"), fallback(390))]
        largest: usize,
        /// Write the report to this file as JSON
        #[bpaf(argument("FILE"))]
        json: PathBuf,
    },
    /// Print a table of costs at the design size, extrapolated from measured slopes
    #[bpaf(command)]
    Capacity {
        /// Report written by `scale`
        #[bpaf(argument("FILE"), fallback(PathBuf::from(RECORDED_SLOPES)))]
        slopes: PathBuf,
    },
    /// Run the emulated back ends of a multi-process fleet and write its settings files
    #[bpaf(command)]
    Backends {
        /// Deployment to emulate: celje or kushiro
        #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
        deployment: Deployment,
        /// Folder for the settings files
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Random seed of the emulated back ends
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Exit after this many seconds
        #[bpaf(argument("SECONDS"), fallback(600))]
        seconds: u64,
    },
    /// Run programs on a multi-process fleet and check the invariants
    #[bpaf(command)]
    Fleet {
        /// Folder with the fleet's settings files
        #[bpaf(argument("FOLDER"))]
        folder: PathBuf,
        /// Number of programs to run
        #[bpaf(argument("COUNT"), fallback(40))]
        programs: usize,
        /// Random seed of the workload
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Also write the report to this file as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct SimArguments {
    /// Print the names of all scenarios and exit
    list: bool,
    /// Scenario to run; all scenarios by default
    #[bpaf(argument("NAME"))]
    scenario: Option<Scenario>,
    /// Deployment to emulate: celje or kushiro
    #[bpaf(argument("NAME"), fallback(Deployment::Celje))]
    deployment: Deployment,
    /// Random seed of the simulation
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Run the seeds from A up to but excluding B
    #[bpaf(argument("A..B"))]
    seeds: Option<SeedRange>,
    /// Number of threads that run seeds in parallel
    #[bpaf(argument("COUNT"), fallback(default_threads()))]
    threads: usize,
    /// Also write the report to this file as JSON
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
    match logging::install(settings).and_then(|()| run(arguments.command)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<ExitCode> {
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
            print_report(&outcome, json.as_deref())
        }
        Command::Bench { calls, seconds, json } => {
            let settings = BenchSettings { calls, step_duration: Duration::from_secs(seconds) };
            let text = serde_json::to_string_pretty(&bench::run(settings)?)?;
            println!("{text}");
            if let Some(file) = json {
                std::fs::write(file, text)?;
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Sim(arguments) => simulate(&arguments),
        Command::Scale { largest, json } => {
            let report = scale::run(largest, |stage| eprintln!("measuring {stage}"));
            std::fs::write(json, serde_json::to_vec_pretty(&report)?)?;
            println!("{}", capacity::table(&report, &DESIGN_SIZE));
            Ok(ExitCode::SUCCESS)
        }
        Command::Capacity { slopes } => {
            let report = serde_json::from_slice(&std::fs::read(slopes)?)?;
            println!("{}", capacity::table(&report, &DESIGN_SIZE));
            Ok(ExitCode::SUCCESS)
        }
        Command::Backends { deployment, folder, seed, seconds } => {
            let size = FleetSize::for_deployment(deployment);
            let backends = EmulatedBackends::start(deployment, size, seed)?;
            processes::write_settings(&folder, deployment, size, &backends)?;
            println!("ready");
            std::thread::sleep(Duration::from_secs(seconds));
            Ok(ExitCode::SUCCESS)
        }
        Command::Fleet { folder, programs, seed, json } => {
            let mut fleet = ProcessFleet::open(&folder)?;
            let settings = DemoSettings {
                deployment: fleet.addresses().deployment,
                programs,
                seed,
                progress: std::io::stderr().is_terminal(),
            };
            let (outcome, _) = demo::run_on_fleet(&mut fleet, &settings);
            print_report(&outcome, json.as_deref())
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
    let mut all_reports = Vec::new();
    for scenario in scenarios {
        let started = std::time::Instant::now();
        let reports = run_many(scenario, arguments.deployment, seeds.clone(), arguments.threads);
        println!("{}", report::format_sim_summary(&reports, started.elapsed()));
        for report in reports.iter().filter(|report| !report.is_good()) {
            println!("{}", report.describe());
        }
        all_reports.extend(reports);
    }
    if let Some(file) = &arguments.json {
        let json = match all_reports.as_slice() {
            [only] => serde_json::to_vec_pretty(only)?,
            many => serde_json::to_vec_pretty(many)?,
        };
        std::fs::write(file, json)?;
    }
    let is_good = all_reports.iter().all(SimReport::is_good);
    Ok(if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Prints the report, writes it to `json` if given, and returns failure if an invariant was
/// violated or a program did not complete.
fn print_report(outcome: &DemoReport, json: Option<&Path>) -> Result<ExitCode> {
    println!("{}", report::format_demo(outcome));
    if let Some(file) = json {
        std::fs::write(file, serde_json::to_vec_pretty(outcome)?)?;
    }
    let failed = outcome.invariants.violations() > 0
        || outcome.programs_completed < outcome.programs_started;
    Ok(if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
