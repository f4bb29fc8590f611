//! Randomized fault tests of controllers that run as real processes on loopback, started by the command of the deploy
//! file. Workers, users, the cloud and the state service are the stand-ins of `copperhaven-testbed`. Each run prints its
//! seed and its schedule of faults, and is repeated by its seed.

#![warn(missing_docs)]

mod gateways;
mod injection;
mod processes;
mod run;
mod schedule;
mod violations;

use clap::Parser;
use injection::Injection;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Plays random faults on real controllers and checks the rules by what workers and users observe. Run it from the
/// repository's root after `cargo build --release`.
#[derive(Parser, Debug)]
#[command(version)]
struct Args {
    /// Number of seeds to play, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Seconds during which faults begin.
    #[arg(long, default_value_t = 40)]
    duration: u64,
    /// Number of controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    controllers: u8,
    /// Number of workers at the start; by default drawn for each seed.
    #[arg(long)]
    workers: Option<usize>,
    /// The deploy file whose command starts a controller.
    #[arg(long, default_value = "deploy/service.toml")]
    deploy: PathBuf,
    /// Write the controllers' logs into this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Break a rule on purpose, to show that it is noticed.
    #[arg(long, value_enum)]
    inject: Option<Injection>,
}

impl Args {
    /// Returns what a seed is played with.
    fn parameters(&self, seed: u64, command: &[String]) -> Parameters {
        Parameters {
            seed,
            duration: Duration::from_secs(self.duration),
            controllers: usize::from(self.controllers),
            workers: self.workers,
            command: command.to_vec(),
            logs: self.logs.clone(),
            inject: self.inject,
        }
    }
}

/// Exit code after a signal.
const INTERRUPTED: u8 = 130;

/// What one seed is played with.
#[derive(Debug, Clone)]
pub(crate) struct Parameters {
    seed: u64,
    duration: Duration,
    controllers: usize,
    workers: Option<usize>,
    command: Vec<String>,
    logs: Option<PathBuf>,
    inject: Option<Injection>,
}

/// Returns the command of the deploy file, as words.
fn run_command(deploy: &std::path::Path) -> Result<Vec<String>, String> {
    #[derive(serde::Deserialize)]
    struct Deploy {
        run: String,
    }
    let text = std::fs::read_to_string(deploy).map_err(|e| format!("{}: {e}", deploy.display()))?;
    let deploy: Deploy = toml::from_str(&text).map_err(|e| e.to_string())?;
    Ok(deploy.run.split_whitespace().map(Into::into).collect())
}

/// Waits for a signal that asks this process to end.
async fn ended_from_outside() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = hang_up.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

/// Plays one seed, on a runtime of its own: whatever the run leaves behind ends with it. Returns the broken rules, or
/// `None` if this process was asked to end.
fn play_seed(parameters: Parameters) -> Option<Vec<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        tokio::select! {
            violations = run::play(parameters) => Some(violations),
            _ = ended_from_outside() => None,
        }
    })
}

fn main() -> ExitCode {
    let args = Args::parse();
    let command = match run_command(&args.deploy) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("copperhaven-soak: {e}; run it from the repository's root");
            return ExitCode::from(2);
        }
    };
    violations::install_hook();
    let mut failed = 0;
    for seed in args.first_seed..args.first_seed + args.seeds {
        let Some(violations) = play_seed(args.parameters(seed, &command)) else {
            return ExitCode::from(INTERRUPTED);
        };
        for violation in &violations {
            println!("seed {seed}: VIOLATION {violation}");
        }
        failed += u64::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", args.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
