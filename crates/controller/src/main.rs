//! The `copperhaven` command: parses arguments, reads the settings and starts the controller.

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use copperhaven::{api, cli, leadership, node::Node, peers};
use copperhaven_core::settings::{self, Settings};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Environment variable with the path of the operators' settings file, used without `--tuning`.
const TUNING: &str = "COPPERHAVEN_TUNING";

/// A cluster scheduler. `copperhaven --config FILE` is short for `copperhaven serve --config FILE`.
#[derive(Parser)]
#[command(version, about, subcommand_negates_reqs = true)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (YAML).
    #[arg(long)]
    tuning: Option<PathBuf>,
    /// Check the settings and exit, as `check` does.
    #[arg(long)]
    check: bool,
    /// How log lines are written to standard error; LOG_LEVEL says which.
    #[arg(long, global = true, value_enum, default_value = "text", env = "COPPERHAVEN_LOG_FORMAT")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings file (TOML); deploy/sample-platform.toml is one.
    #[arg(long, required = true)]
    config: PathBuf,
    /// The operators' own settings (YAML); deploy/sample-operators.yaml is one.
    #[arg(long, env = TUNING)]
    tuning: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller.
    Serve(Files),
    /// Check the settings and exit: 0 they are valid, 2 they are not, and why.
    Check(Files),
    /// Show what a job does and why it waits, or cancel it. Exit codes: 0 answered, 2 bad
    /// arguments, 3 unknown job, 4 no answer.
    Job {
        /// The job's id.
        id: String,
        /// What to do.
        #[arg(value_enum, default_value = "show")]
        action: Action,
        /// Address of a controller, IP:PORT.
        #[arg(long)]
        server: String,
    },
    /// Show how far changes of the stored state are and what they wait for. Exit codes: 0 answered, 2 bad
    /// settings, 4 no answer.
    Stages(Files),
    /// Tell the program's version and the release that it speaks to other controllers.
    Version,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Action {
    Show,
    Cancel,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum LogFormat {
    /// Level and message.
    Text,
    /// One JSON object a line, with the time.
    Json,
}

/// Sets up logging to standard error at the level of LOG_LEVEL (default: info).
fn log_to_stderr(format: LogFormat) {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok());
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level.unwrap_or(tracing::Level::INFO));
    match format {
        LogFormat::Text => log.without_time().init(),
        LogFormat::Json => log.json().flatten_event(true).with_current_span(false).init(),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, ExitCode> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| {
        eprintln!("copperhaven: cannot start: {e}");
        ExitCode::FAILURE
    })
}

fn load(files: &Files) -> Result<Settings, ExitCode> {
    settings::load(&files.config, files.tuning.as_deref()).map_err(|e| {
        eprintln!("copperhaven: {e}");
        ExitCode::from(cli::EXIT_USAGE)
    })
}

fn check(files: &Files) -> Result<(), ExitCode> {
    let settings = load(files)?;
    if let Some(warning) = settings.warnings() {
        println!("{warning}");
    }
    println!("settings of {} are valid", settings.member);
    Ok(())
}

fn job(id: &str, server: &str, cancel: bool) -> Result<(), ExitCode> {
    print_outcome(runtime()?.block_on(cli::job_command(id, server, cancel)))
}

/// Prints the text of a command to standard output, or to standard error if the command failed.
fn print_outcome((text, code): (String, u8)) -> Result<(), ExitCode> {
    if code == cli::EXIT_OK {
        println!("{text}");
        return Ok(());
    }
    eprintln!("copperhaven: {text}");
    Err(ExitCode::from(code))
}

fn stages(files: &Files) -> Result<(), ExitCode> {
    let settings = load(files)?;
    print_outcome(runtime()?.block_on(cli::stages_command(&settings)))
}

/// Runs a controller. Returns only on failure: invalid settings, or one of its parts has ended.
fn serve(files: &Files, format: LogFormat) -> Result<(), ExitCode> {
    log_to_stderr(format);
    let settings = load(files)?;
    if let Some(warning) = settings.warnings() {
        tracing::warn!("{warning}");
    }
    let runtime = runtime()?;
    let node = Arc::new(Node::new(settings));
    let result = runtime.block_on(async {
        tokio::select! {
            r = api::run(node.clone()) => r.map_err(|e| e.to_string()),
            r = peers::run(node.clone()) => r.map_err(|e| e.to_string()),
            () = leadership::run(node.clone()) => Ok(()),
        }
    });
    if let Err(e) = result {
        eprintln!("copperhaven: {e}");
    }
    Err(ExitCode::FAILURE)
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.command.is_some() && (args.config.is_some() || args.tuning.is_some() || args.check) {
        let message = "--config, --tuning and --check go behind the subcommand, or without one";
        Args::command().error(clap::error::ErrorKind::ArgumentConflict, message).exit();
    }
    // Without a subcommand, the environment variable applies as it does with one.
    let tuning = || args.tuning.clone().or_else(|| std::env::var_os(TUNING).map(PathBuf::from));
    let files = args.config.clone().map(|config| Files { config, tuning: tuning() });
    let result = match (&args.command, &files) {
        (Some(Command::Serve(files)), _) => serve(files, args.log_format),
        (Some(Command::Check(files)), _) => check(files),
        (Some(Command::Job { id, action, server }), _) => {
            job(id, server, *action == Action::Cancel)
        }
        (Some(Command::Stages(files)), _) => stages(files),
        (Some(Command::Version), _) => {
            let release = copperhaven::cluster::frames::RELEASE;
            println!("copperhaven {}, release {release}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        (None, Some(files)) if args.check => check(files),
        (None, Some(files)) => serve(files, args.log_format),
        (None, None) => Err(ExitCode::from(cli::EXIT_USAGE)),
    };
    result.err().unwrap_or(ExitCode::SUCCESS)
}
