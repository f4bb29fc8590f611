//! Reads the settings and wires the parts together.

use clap::{Parser, Subcommand, ValueEnum};
use copperhaven::{client, front, leadership, node::Node, peers};
use copperhaven_core::settings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// A cluster scheduler.
#[derive(Parser)]
#[command(version, about, subcommand_negates_reqs = true, args_conflicts_with_subcommands = true)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (YAML).
    #[arg(long, env = "COPPERHAVEN_TUNING")]
    tuning: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
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
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Action {
    Show,
    Cancel,
}

fn ask(id: &str, server: &str, cancel: bool) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("copperhaven: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    let (text, code) = runtime.block_on(client::job(id, server, cancel));
    if code == client::DONE {
        println!("{text}");
    } else {
        eprintln!("copperhaven: {text}");
    }
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Some(Command::Job { id, action, server }) = &args.command {
        return ask(id, server, *action == Action::Cancel);
    }
    let Some(config) = &args.config else { return ExitCode::from(client::USAGE) };
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .init();
    let settings = match settings::load(config, args.tuning.as_deref()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("copperhaven: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings of {} are valid", settings.member);
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("copperhaven: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    let node = Arc::new(Node::new(settings));
    let ended = runtime.block_on(async {
        tokio::select! {
            r = front::run(node.clone()) => r,
            r = peers::run(node.clone()) => r,
            () = leadership::run(node.clone()) => Ok(()),
        }
    });
    if let Err(e) = ended {
        eprintln!("copperhaven: {e}");
    }
    ExitCode::FAILURE
}
