//! The tool's child processes: orders in, replies out, one JSON object a line. A child ends with what holds it.

use super::args::Role;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{ChildStdin, Command};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest wait for a child's reply: at the full size a process may be busy for seconds.
const LONGEST_REPLY: Duration = Duration::from_secs(60);
/// Longest wait for a program to say where it listens.
const LONGEST_START: Duration = Duration::from_secs(20);

/// Why a child can't be used.
#[derive(Debug, Error)]
pub enum ChildError {
    /// A program that is needed is not there.
    #[error("{name}: no program at {}; build it, or name it with --{option}", path.display())]
    Missing {
        /// What it is.
        name: &'static str,
        /// Where it was looked for.
        path: PathBuf,
        /// The option that names it.
        option: &'static str,
    },
    /// It can't be started.
    #[error("{0} can't be started: {1}")]
    Start(String, io::Error),
    /// It has ended, or its pipe has.
    #[error("{0} has ended; its last words: {1}")]
    Ended(String, String),
    /// It does not reply.
    #[error("{0} has not replied within {LONGEST_REPLY:?}")]
    Mute(String),
    /// Its reply is another than that asked for.
    #[error("{0}: an unexpected reply")]
    Unexpected(String),
    /// An order can't be put into words.
    #[error("order: {0}")]
    Order(#[from] serde_json::Error),
}

/// The program of a name: as given, or else beside the tool's own.
///
/// # Errors
///
/// There is no file at the path.
pub fn program(
    given: Option<&Path>,
    name: &'static str,
    option: &'static str,
) -> Result<PathBuf, ChildError> {
    let own = std::env::current_exe().unwrap_or_default();
    let path = given.map_or_else(|| own.with_file_name(name), Path::to_path_buf);
    if path.is_file() { Ok(path) } else { Err(ChildError::Missing { name, path, option }) }
}

/// A child of the tool's own program.
pub struct Child<Reply> {
    name: String,
    process: tokio::process::Child,
    orders: ChildStdin,
    replies: mpsc::UnboundedReceiver<Reply>,
}

impl<Reply: DeserializeOwned + 'static> Child<Reply> {
    /// Starts one. What `unasked` takes is no reply to an order.
    ///
    /// # Errors
    ///
    /// The process can't be started, or it has no pipes.
    pub fn start(
        role: Role,
        name: String,
        mut unasked: impl FnMut(Reply) -> Option<Reply> + 'static,
    ) -> Result<Child<Reply>, ChildError> {
        let failed = |problem| ChildError::Start(name.clone(), problem);
        let word = clap::ValueEnum::to_possible_value(&role).map(|value| value.get_name().to_string());
        let mut command = Command::new(std::env::current_exe().map_err(failed)?);
        command.arg("scale-child").arg(word.unwrap_or_default()).kill_on_drop(true);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut process = command.spawn().map_err(failed)?;
        let missing = || failed(io::ErrorKind::BrokenPipe.into());
        let orders = process.stdin.take().ok_or_else(missing)?;
        let output = process.stdout.take().ok_or_else(missing)?;
        let (to, replies) = mpsc::unbounded_channel();
        spawn_local(async move {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str(&line) {
                    Ok(reply) => match unasked(reply).map(|reply| to.send(reply)) {
                        None | Some(Ok(())) => {}
                        Some(Err(_)) => return,
                    },
                    Err(problem) => eprintln!("flaxgap-lab: a reply that can't be read: {problem}"),
                }
            }
        });
        Ok(Child { name, process, orders, replies })
    }

    /// Its process.
    pub fn id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Gives an order that has no reply.
    ///
    /// # Errors
    ///
    /// The order can't be written as JSON, or the process has closed its input.
    pub async fn tell(&mut self, order: &impl Serialize) -> Result<(), ChildError> {
        let mut line = serde_json::to_vec(order)?;
        line.push(b'\n');
        let written = async {
            self.orders.write_all(&line).await?;
            self.orders.flush().await
        };
        written.await.map_err(|problem| ChildError::Ended(self.name.clone(), problem.to_string()))
    }

    /// Waits for the next reply.
    ///
    /// # Errors
    ///
    /// The process has closed its output, or does not reply within the longest time for it.
    pub async fn reply(&mut self) -> Result<Reply, ChildError> {
        match timeout(LONGEST_REPLY, self.replies.recv()).await {
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => Err(ChildError::Ended(self.name.clone(), "its output is closed".into())),
            Err(_) => Err(ChildError::Mute(self.name.clone())),
        }
    }

    /// Gives an order and waits for its reply.
    ///
    /// # Errors
    ///
    /// The order can't be given, or no reply comes, as for [`Child::tell`] and [`Child::reply`].
    pub async fn ask(&mut self, order: &impl Serialize) -> Result<Reply, ChildError> {
        self.tell(order).await?;
        self.reply().await
    }

    /// The error of a reply that does not fit.
    pub fn unexpected(&self) -> ChildError {
        ChildError::Unexpected(self.name.clone())
    }

    /// Ends it and waits for its end.
    pub async fn end(&mut self) {
        // One that has ended by itself can't be killed, and need not be.
        _ = self.process.kill().await;
    }
}

/// A program of the project's that logs where it listens.
pub struct Server {
    name: String,
    process: tokio::process::Child,
    /// Where it listens.
    pub address: std::net::SocketAddr,
}

impl Server {
    /// Starts a program and waits until a line of its log ends `mark` with its address.
    ///
    /// # Errors
    ///
    /// The program can't be started, or it ends or logs no address within the longest time for a start.
    pub async fn start(name: String, mut command: Command, mark: &str) -> Result<Server, ChildError> {
        command.kill_on_drop(true).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let failed = |problem| ChildError::Start(name.clone(), problem);
        let mut process = command.env("RUST_LOG", "info").spawn().map_err(failed)?;
        let log = process.stderr.take().ok_or_else(|| failed(io::ErrorKind::BrokenPipe.into()))?;
        let mut lines = BufReader::new(log).lines();
        let listening = async {
            let mut last = String::new();
            while let Ok(Some(line)) = lines.next_line().await {
                let address = line.split_once(mark).and_then(|(_, address)| address.trim().parse().ok());
                if let Some(address) = address {
                    return Ok(address);
                }
                last = line;
            }
            Err(last)
        };
        let listening = timeout(LONGEST_START, listening).await;
        let listening = listening.unwrap_or_else(|_| Err(format!("nothing within {LONGEST_START:?}")));
        let address = listening.map_err(|last| ChildError::Ended(name.clone(), last))?;
        // Read on, so that it never waits for room in the pipe.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Server { name, process, address })
    }

    /// Its process.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn id(&self) -> Result<u32, ChildError> {
        let ended = || ChildError::Ended(self.name.clone(), "its process is gone".into());
        self.process.id().ok_or_else(ended)
    }

    /// Ends it at once, without a farewell, and waits for its end.
    pub async fn end(&mut self) {
        _ = self.process.kill().await;
    }
}
