//! A relay of the endpoint list: it watches one upstream and serves the list to any number of heads over the same
//! protocol (list and watch).

mod connection;
mod counters;
mod http;
mod open_connections;
mod relay;
mod response_body;
mod server;
mod session;
mod session_handle;
mod session_registry;
mod settings;
mod snapshot_queue;
mod status;
mod upstream;

use clap::Parser;
use env_logger::TimestampPrecision;
use flaxgap::logging;
use server::StartError;
use settings::RelaySettings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Watches a source of the endpoint list and serves the list to heads.
#[derive(Debug, Parser)]
#[command(
    name = "flaxgap-relay",
    version,
    after_help = "Example:\n  flaxgap-relay deploy/relay.toml\n\nSIGTERM stops the relay, SIGUSR1 logs its \
                  counters. RUST_LOG sets the log level."
)]
struct Arguments {
    /// The configuration file, in TOML; deploy/relay.toml documents every setting.
    config: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logging::init(TimestampPrecision::Seconds);
    let exit_code = match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("flaxgap-relay: {error}");
            ExitCode::FAILURE
        }
    };
    logging::flush();
    exit_code
}

fn start(arguments: &Arguments) -> Result<(), StartError> {
    let settings = RelaySettings::load(&arguments.config)?;
    server::run(settings)
}
