//! The storage head's executable: reads the environment variables and the files that they name, and runs the daemon.

use env_logger::TimestampPrecision;
use flaxgap::config::Config;
use flaxgap::config::operators_file::OperatorsFile;
use flaxgap::daemon::{self, Daemon};
use flaxgap::logging;
use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable with the path of the configuration file; required.
const CONFIG_FILE: &str = "LB_CONFIG";
/// Environment variable with the listening address of the admin server, used if the configuration has none.
const ADMIN_ADDRESS: &str = "LB_OPS";
/// Environment variable with the path of the operators' file.
const OPERATORS_FILE: &str = "FLAXGAP_OPS";
/// Environment variable with the path of the block frontend's file.
const BLOCK_FILE: &str = "FLAXGAP_BLOCK";
/// Environment variable with the folder in which the processes of one head share state.
const STATE_FOLDER: &str = "TMPDIR";

fn main() -> ExitCode {
    logging::init(TimestampPrecision::Micros);
    let exit_code = match daemon::run_event_loop(configure) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("flaxgap: {error}");
            ExitCode::FAILURE
        }
    };
    logging::flush();
    exit_code
}

/// Creates the daemon from the files named in the environment.
fn configure() -> Result<Daemon, Box<dyn std::error::Error>> {
    let config_path = std::env::var(CONFIG_FILE)
        .map_err(|_| format!("environment variable {CONFIG_FILE} must name the configuration file"))?;
    let mut config = Config::load(&config_path)?;
    if let (None, Some(address)) = (config.admin_address, environment_variable(ADMIN_ADDRESS)) {
        let parsed = address.parse().map_err(|error| format!("{ADMIN_ADDRESS}: {address}: {error}"))?;
        config.admin_address = Some(parsed);
    }
    log::info!("daemon: {} starts, discovery at {}", config.name, config.discovery);
    let operators_file = match environment_variable(OPERATORS_FILE) {
        Some(path) => OperatorsFile::load(&path)?,
        None => OperatorsFile::default(),
    };
    let state_folder = environment_variable(STATE_FOLDER).map(PathBuf::from);
    Ok(Daemon::new(config_path, config, environment_variable(BLOCK_FILE), operators_file, state_folder))
}

/// Returns the value of an environment variable; `None` if it is unset or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
