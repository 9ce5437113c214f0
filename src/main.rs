//! The storage head as a program: reads the environment and the files that it names, and runs the daemon.

use flaxgap::config::Config;
use flaxgap::config::operators_file::OperatorsFile;
use flaxgap::daemon::{Daemon, Signals};
use flaxgap::metrics::event_loop::MeasuredTurns;
use std::path::PathBuf;
use std::process::ExitCode;

/// Names the configuration file; required.
const CONFIG_FILE: &str = "LB_CONFIG";
/// The admin server's address, where the configuration names none.
const ADMIN_ADDRESS: &str = "LB_OPS";
/// Names the operators' file.
const OPERATORS_FILE: &str = "FLAXGAP_OPS";
/// Names the block frontend's file.
const BLOCK_FILE: &str = "FLAXGAP_BLOCK";
/// The folder that the processes of one head share.
const STATE_FOLDER: &str = "TMPDIR";

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter).format_timestamp_micros().init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            log::error!("flaxgap: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let signals = local.block_on(&runtime, async { Signals::install() })?;
    let daemon = configure()?;
    let counters = daemon.counters();
    runtime.block_on(MeasuredTurns::new(local.run_until(daemon.run(signals)), counters))?;
    Ok(())
}

/// The daemon with the configuration that the environment names.
fn configure() -> Result<Daemon, Box<dyn std::error::Error>> {
    let config_path =
        std::env::var(CONFIG_FILE).map_err(|_| format!("{CONFIG_FILE} names no configuration"))?;
    let mut config = Config::load(&config_path)?;
    if let (None, Some(address)) = (config.admin_address, variable(ADMIN_ADDRESS)) {
        let parsed = address.parse().map_err(|problem| format!("{ADMIN_ADDRESS}: {address}: {problem}"))?;
        config.admin_address = Some(parsed);
    }
    log::info!("daemon: {} starts, discovery at {}", config.name, config.discovery);
    let operators_file = match variable(OPERATORS_FILE) {
        Some(path) => OperatorsFile::load(&path)?,
        None => OperatorsFile::default(),
    };
    let state_folder = variable(STATE_FOLDER).map(PathBuf::from);
    Ok(Daemon::new(config_path, config, variable(BLOCK_FILE), operators_file, state_folder))
}

/// An environment variable's value; one that is not set, or empty, leaves its part off.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
