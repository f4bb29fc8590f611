//! Reads the settings and wires the parts together.

use clap::Parser;
use copperhaven::{cluster, front, leadership, node::Node, settings};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// A cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// The operators' own settings (YAML).
    #[arg(long, env = "COPPERHAVEN_TUNING")]
    tuning: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .init();
    let settings = match settings::load(&args.config, args.tuning.as_deref()) {
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
            r = cluster::run(node.clone()) => r,
            () = leadership::run(node.clone()) => Ok(()),
        }
    });
    if let Err(e) = ended {
        eprintln!("copperhaven: {e}");
    }
    ExitCode::FAILURE
}
