//! The storage head as a program.

use flaxgap::config::Config;
use flaxgap::config::operators_file::OperatorsFile;
use flaxgap::daemon::{Daemon, Signals};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            log::error!("flaxgap: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let signals = local.block_on(&runtime, async { Signals::take() })?;
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG names no configuration")?;
    let mut config = Config::load(&path)?;
    if let (None, Some(address)) = (config.ops, named("LB_OPS")) {
        config.ops = Some(address.parse().map_err(|e| format!("LB_OPS: {address}: {e}"))?);
    }
    log::info!("daemon: {} starts, discovery at {}", config.name, config.discovery);
    let ops = named("FLAXGAP_OPS").map(|path| OperatorsFile::load(&path)).transpose()?.unwrap_or_default();
    let daemon = Daemon::new(path, config, named("FLAXGAP_BLOCK"), ops, named("TMPDIR").map(Into::into));
    Ok(local.block_on(&runtime, daemon.run(signals))?)
}

/// The file that a variable names; a variable that is not set, or empty, leaves its part off.
fn named(variable: &str) -> Option<String> {
    std::env::var(variable).ok().filter(|path| !path.is_empty())
}
