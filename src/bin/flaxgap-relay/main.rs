//! A relay of the node list: it follows one source and serves the list to any number of heads, in the same protocol.

mod body;
mod counters;
mod http;
mod link;
mod relay;
mod session;
mod settings;

use clap::Parser;
use relay::Relay;
use settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;

/// Connections that the system holds until they are accepted: heads that lose a relay call another together.
const BACKLOG: u32 = 1024;

/// Follows a source of the node list and serves it to heads.
#[derive(Debug, Parser)]
#[command(
    name = "flaxgap-relay",
    version,
    after_help = "Example:\n  flaxgap-relay deploy/relay.toml\n\nSIGTERM ends it, SIGUSR1 logs its counters. \
                  The level of the log is set by RUST_LOG."
)]
struct Arguments {
    /// The configuration, a TOML file; deploy/relay.toml explains every setting.
    config: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            log::error!("flaxgap-relay: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::load(&arguments.config)?;
    raise_descriptor_limit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = listen(&settings)?;
        log::info!("relay: listening on {}", listener.local_addr()?);
        log::info!("relay: {} follows {}", settings.name, settings.upstream);
        Ok(Relay::new(settings).run(listener).await?)
    })
}

fn listen(settings: &Settings) -> Result<TcpListener, String> {
    let address = settings.listen;
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|problem: std::io::Error| format!("listen on {address}: {problem}"))
}

/// Every watcher takes a descriptor, and the system's usual limit is 1,024.
fn raise_descriptor_limit() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(problem) = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit) {
        log::warn!("relay: the limit on descriptors stays: {problem}");
    }
}
