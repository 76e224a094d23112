//! Command line interface.
//!
//! Exit status: 0 on success, 1 on failure, 2 for invalid settings or arguments.

mod explain;
mod log_lines;
mod losses;
mod operator;
mod serve;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bpaf::Bpaf;
use calicohoist_telemetry::{Event, LogFormat, LogSettings, emit, logging};
use calicohoist_types::Findings;
use eyre::Result;
use log::LevelFilter;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::roles;
use crate::settings::Settings;
use explain::{ExplainArguments, explain_arguments};
use losses::{LossesArguments, losses_arguments};
use serve::{ServeArguments, serve_arguments};

/// Exit status for invalid settings or arguments.
const EXIT_INVALID: u8 = 2;
/// Exit status of a forced stop.
const EXIT_FAILURE: i32 = 1;
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum duration of a stop that a second signal forces.
const FORCED_STOP_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Scheduler for agent programs.
struct Arguments {
    /// Log format: text or json
    #[bpaf(argument::<String>("FORMAT"), parse(parse_format), fallback(LogFormat::Text))]
    log_format: LogFormat,
    /// Log level: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback(LevelFilter::Info))]
    log_level: LevelFilter,
    #[bpaf(external(command))]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Run a store node
    #[bpaf(command)]
    Store {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: PathBuf,
    },
    /// Run a gateway
    #[bpaf(command)]
    Gateway {
        /// Settings file
        #[bpaf(argument("FILE"))]
        config: PathBuf,
    },
    /// Run the role defined by the node file of the platform
    #[bpaf(command)]
    Serve(#[bpaf(external(serve_arguments))] ServeArguments),
    /// Print the timeline of a request or program from log files of `serve`
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_arguments))] ExplainArguments),
    /// Count failed programs or requests by cause and second, from log files of `serve`
    #[bpaf(command)]
    Losses(#[bpaf(external(losses_arguments))] LossesArguments),
    /// Validate a settings file
    #[bpaf(command)]
    Check {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List resources
    #[bpaf(command)]
    Get {
        #[bpaf(external(target))]
        target: Target,
        /// Kind: model, engine, service or tenant
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name; all resources of the kind if omitted
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
    /// Apply the resources of a file, or report all errors in it
    #[bpaf(command)]
    Apply {
        #[bpaf(external(target))]
        target: Target,
        /// TOML file with [[resource]] tables
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Validate only
        dry_run: bool,
    },
    /// Delete a resource
    #[bpaf(command)]
    Delete {
        #[bpaf(external(target))]
        target: Target,
        /// Delete only if the resource has this version
        #[bpaf(argument("VERSION"))]
        version: Option<u64>,
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Follow changes after a revision
    #[bpaf(command)]
    Watch {
        #[bpaf(external(target))]
        target: Target,
        /// Start after this revision
        #[bpaf(argument("REVISION"), fallback(0))]
        after: u64,
        /// Exit after this many changes
        #[bpaf(argument("COUNT"))]
        count: Option<usize>,
    },
    /// Show revisions and nodes
    #[bpaf(command)]
    Status {
        #[bpaf(external(target))]
        target: Target,
    },
    /// Drain an engine or service replica, or undo the drain
    #[bpaf(command)]
    Drain {
        #[bpaf(external(target))]
        target: Target,
        /// Undo the drain
        undo: bool,
        /// Kind: engine or service
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Target {
    /// Address of a gateway
    #[bpaf(argument("ADDRESS"))]
    gateway: SocketAddr,
    /// Print JSON instead of a table
    json: bool,
}

fn parse_format(text: String) -> Result<LogFormat, String> {
    match text.as_str() {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err(format!("{text:?} is not accepted; accepted are text and json")),
    }
}

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(100);
            let is_invalid = failure.exit_code() != 0;
            return ExitCode::from(if is_invalid { EXIT_INVALID } else { 0 });
        }
    };
    let settings = LogSettings {
        format: arguments.log_format,
        level: arguments.log_level,
        node: String::new(),
    };
    let result = match arguments.command {
        Command::Serve(serve) => serve::run(serve, settings),
        command => logging::install(settings).and_then(|()| run_command(command)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

fn report_error(error: &eyre::Report) -> ExitCode {
    if let Some(findings) = error.downcast_ref::<Findings>() {
        for finding in &findings.0 {
            eprintln!("{finding}");
        }
        return ExitCode::from(EXIT_INVALID);
    }
    eprintln!("error: {error:#}");
    ExitCode::FAILURE
}

fn run_command(command: Command) -> Result<()> {
    match command {
        Command::Store { config } => run_store(&Settings::read(&config)?),
        Command::Gateway { config } => run_gateway(&Settings::read(&config)?),
        Command::Serve(_) => {
            eyre::bail!("`serve` must be dispatched before the logger is installed")
        }
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Losses(arguments) => losses::run(&arguments),
        Command::Check { file } => {
            Settings::read(&file)?;
            println!("{}: accepted", file.display());
            Ok(())
        }
        Command::Get { target, kind, name } => operator::get(&target, &kind, name.as_deref()),
        Command::Apply { target, file, dry_run } => operator::apply(&target, &file, dry_run),
        Command::Delete { target, kind, name, version } => {
            operator::delete(&target, &kind, &name, version)
        }
        Command::Watch { target, after, count } => operator::watch(&target, after, count),
        Command::Status { target } => operator::status(&target),
        Command::Drain { target, kind, name, undo } => {
            operator::drain(&target, &kind, &name, !undo)
        }
    }
}

/// Counts SIGTERM and SIGINT: the first requests a graceful stop, the second forces it.
fn count_stop_signals() -> Result<Arc<AtomicUsize>> {
    let count = Arc::new(AtomicUsize::new(0));
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let counter = count.clone();
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for _ in signals.forever() {
            counter.fetch_add(1, Ordering::SeqCst);
        }
    })?;
    Ok(count)
}

fn wait_for_signals(signals: &AtomicUsize, min_count: usize) {
    while signals.load(Ordering::SeqCst) < min_count {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
}

fn run_store(settings: &Settings) -> Result<()> {
    let signals = count_stop_signals()?;
    let (server, _health) = roles::start_store(settings)?;
    while signals.load(Ordering::SeqCst) == 0 {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
        if server.has_failed() {
            eyre::bail!("disk failure; stopping this store replica");
        }
    }
    emit!(Event::StopRequested, "store");
    server.stop_gracefully();
    emit!(Event::StopFinished, "store");
    Ok(())
}

fn run_gateway(settings: &Settings) -> Result<()> {
    let signals = count_stop_signals()?;
    let server = roles::start_gateway(settings)?;
    let stop_timeout =
        settings.gateway.as_ref().map_or(Duration::ZERO, |section| section.stop_timeout);
    wait_for_signals(&signals, 1);
    let forced_stop = signals.clone();
    let handle = server.force_stop_handle();
    std::thread::Builder::new().name("second-signal".to_owned()).spawn(move || {
        wait_for_signals(&forced_stop, 2);
        emit!(Event::StopForced, "second signal");
        handle.force();
        std::thread::sleep(FORCED_STOP_TIMEOUT);
        std::process::exit(EXIT_FAILURE);
    })?;
    let is_complete = server.stop_gracefully(stop_timeout);
    if is_complete && signals.load(Ordering::SeqCst) == 1 {
        Ok(())
    } else {
        eyre::bail!("the planned stop was forced or interrupted calls")
    }
}
