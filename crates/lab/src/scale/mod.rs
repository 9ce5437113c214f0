//! `scale`: what control costs a fleet of a given size, before it is bought.
//!
//! Thousands of hollow heads, which run the real code for control and serve no clients, share a few processes; a few
//! real heads stand beside them, so that the hollow figures can be held against theirs. Discovery and the control
//! machines are stand-ins of this tool, or the real relay program. The tool starts itself as its own children.
//!
//! [`run`] plays one size, [`grid`] many of them.

pub mod args;
pub mod chart;
pub mod children;
pub mod discovery;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod grid;
pub mod hollow;
pub mod http;
pub mod limits;
pub mod message;
pub mod nodes;
pub mod real;
pub mod relays;
pub mod report;
pub mod run;
pub mod settings;
pub mod storage;
pub mod usage;
pub mod worker;

use args::{RoleArgs, ScaleArgs};
use std::time::Duration;
use thiserror::Error;

/// Why a run came to no result.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The machine's limits are too low for the fleet.
    #[error(transparent)]
    Limits(#[from] limits::LimitsError),
    /// A child process failed.
    #[error(transparent)]
    Child(#[from] children::ChildError),
    /// A call over HTTP failed.
    #[error(transparent)]
    Http(#[from] http::HttpError),
    /// What a process uses can't be read.
    #[error(transparent)]
    Usage(#[from] usage::UsageError),
    /// A file or a pipe can't be used.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A message can't be read.
    #[error("message: {0}")]
    Message(#[from] serde_json::Error),
    /// The settings given to the heads can't be served.
    #[error("settings: {0}")]
    Settings(String),
    /// A figure can't be fitted.
    #[error("fit: {0}")]
    Fit(#[from] linregress::Error),
    /// The chart can't be drawn.
    #[error("chart: {0}")]
    Chart(String),
    /// The fleet did not come up.
    #[error("{0} within {1:?}")]
    NotInTime(&'static str, Duration),
    /// The run's time was over.
    #[error("the time limit of {0:?} is over; what was started has ended")]
    TimeLimit(Duration),
    /// The operator ended the run.
    #[error("interrupted; what was started has ended")]
    Interrupted,
}

/// A runtime as all processes of the tool use: one thread.
fn runtime() -> Result<tokio::runtime::Runtime, ScaleError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(|problem| ScaleError::Io("runtime".into(), problem))
}

/// The command as an operator gives it.
///
/// # Errors
///
/// The run fails, takes longer than its time limit, or is interrupted.
pub fn main(args: &ScaleArgs) -> Result<(), ScaleError> {
    let limit = Duration::from_secs(args.time_limit);
    tokio::task::LocalSet::new().block_on(&runtime()?, async {
        tokio::select! {
            ended = run::command(args) => ended,
            () = tokio::time::sleep(limit) => Err(ScaleError::TimeLimit(limit)),
            problem = interrupted() => problem,
        }
    })
}

/// A child process of the tool, which takes orders on its standard input until that ends.
///
/// # Errors
///
/// The runtime can't be built, or an order can't be read or carried out.
pub fn child(args: &RoleArgs) -> Result<(), ScaleError> {
    let local = tokio::task::LocalSet::new();
    match args.role {
        args::Role::Hollow => local.block_on(&runtime()?, worker::run()),
        args::Role::Discovery => local.block_on(&runtime()?, discovery::run()),
    }
}

async fn interrupted() -> Result<(), ScaleError> {
    let take =
        |kind| tokio::signal::unix::signal(kind).map_err(|problem| ScaleError::Io("signals".into(), problem));
    let mut interrupt = take(tokio::signal::unix::SignalKind::interrupt())?;
    let mut terminate = take(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Err(ScaleError::Interrupted)
}
