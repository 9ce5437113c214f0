//! The plug-in: a Rhai script that observes requests and responses but can't change how they are handled.
//!
//! The script runs on the head's only thread, so nothing that it does may hold that up: steps, time and lines of a call
//! and the size of values are limited, and only functions that neither wait nor reach files, sockets or clocks can be
//! called ([`engine`]). Failed calls are counted and logged. A hook is switched off after [`MAX_FAILURES`] consecutive
//! failures, and the whole script once its calls take too much time together ([`TimeBudget`]), it holds too much memory
//! ([`CallUsage`]) or a function panics.

mod call_usage;
mod engine;
mod time_budget;

#[cfg(test)]
mod tests;

use crate::core::{Answer, Call, Observer, Operation};
use crate::metrics::counters::Counters;
use crate::resources::memory::MemoryBudget;
use crate::resources::repeat::read_text_file;
use call_usage::{CallUsage, MAX_CALL_TIME};
use engine::{DISABLED_SYMBOLS, MAX_SIZE_LIMIT, disable_symbols, limited_engine, truncated};
use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use time_budget::TimeBudget;

/// Consecutive failed calls after which a hook is switched off.
const MAX_FAILURES: u32 = 10;
/// Bytes of a MiB.
const MIB: usize = 1 << 20;
/// `max_memory_mb` if the operators' file does not say.
const DEFAULT_MAX_MEMORY_MB: usize = 4;
/// Divisor of the memory for peers that gives the part that a script may hold at most.
const MEMORY_DIVISOR: usize = 3;

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    /// The script exceeded a limit or has an error.
    #[error("{0}")]
    Script(ScriptError),
    /// The call ended, but took too long.
    #[error("took {} us, {} at most", .0.as_micros(), MAX_CALL_TIME.as_micros())]
    Slow(Duration),
    /// A function that the script called panicked.
    #[error("a function panicked")]
    Panicked,
}

/// An error of the script, without the values of the script that the library's error may hold.
#[derive(Debug, Error)]
#[error("{message}")]
struct ScriptError {
    /// The beginning of the library's message.
    message: String,
}

/// A function of the script that the head calls, if the script defines it.
struct Hook {
    name: &'static str,
    is_defined: bool,
    consecutive_failures: Cell<u32>,
}

impl Hook {
    fn find(name: &'static str, script: &AST) -> Hook {
        let is_defined =
            script.iter_functions().any(|function| function.name == name && function.params.len() == 1);
        Hook { name, is_defined, consecutive_failures: Cell::new(0) }
    }

    fn is_on(&self) -> bool {
        self.is_defined && self.consecutive_failures.get() < MAX_FAILURES
    }
}

/// A script that can't be loaded.
#[derive(Debug, Error)]
pub enum PluginError {
    /// The file can't be read.
    #[error("plug-in {path}: {source}")]
    Unreadable {
        /// Path of the script.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The script has a syntax error or exceeds a limit of the parser.
    #[error("plug-in: {0}")]
    Malformed(#[from] rhai::ParseError),
}

/// Why a script that can be compiled is not run. It does not keep the head from starting, since earlier versions may have
/// run it.
#[derive(Debug, Error)]
enum Refusal {
    /// It uses a word that scripts may not use.
    #[error("it uses a word that scripts may not use, {DISABLED_SYMBOLS:?}: {0}")]
    DisabledSymbol(rhai::ParseError),
    /// It is larger than all that it may hold.
    #[error("it is too large, bytes={bytes} max_bytes={max_bytes}")]
    TooLarge { bytes: usize, max_bytes: usize },
}

/// Compiles a script, whose memory counts as held by it.
///
/// # Errors
///
/// The error of the compiler if the text is no script, and otherwise, within the result, why the script is not run.
fn compile(
    engine: &mut Engine,
    text: &str,
    usage: &CallUsage,
) -> Result<Result<AST, Refusal>, rhai::ParseError> {
    let max_bytes = usage.max_bytes();
    if text.len() > max_bytes {
        return Ok(Err(Refusal::TooLarge { bytes: text.len(), max_bytes }));
    }
    engine.compile(text)?;
    disable_symbols(engine);
    let script = match usage.count_memory(|| engine.compile(text)) {
        Ok(script) => script,
        Err(error) => return Ok(Err(Refusal::DisabledSymbol(error))),
    };
    if usage.is_memory_exceeded() {
        return Ok(Err(Refusal::TooLarge { bytes: usage.kept_bytes(), max_bytes }));
    }
    Ok(Ok(script))
}

/// Settings of the plug-in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginConfig {
    /// Path of the script.
    pub script: PathBuf,
    /// Maximum number of steps (Rhai operations) of one call.
    pub max_steps: u64,
    /// Maximum number of elements of an array or map, 4,096 at most. Strings may have 16 bytes for each of them.
    pub max_size: usize,
    /// Maximum memory that the script may hold, in MiB: the compiled script, the state that it keeps and the values of a call;
    /// a third of the memory for peers at most.
    #[serde(default = "default_max_memory_mb")]
    pub max_memory_mb: usize,
}

fn default_max_memory_mb() -> usize {
    DEFAULT_MAX_MEMORY_MB
}

impl PluginConfig {
    /// Bytes that the script may hold.
    fn max_bytes(&self, memory: &MemoryBudget) -> usize {
        let configured_bytes = self.max_memory_mb.saturating_mul(MIB);
        let max_bytes = configured_bytes.min(memory.head_limit_bytes() / MEMORY_DIVISOR);
        if max_bytes < configured_bytes {
            let configured = self.max_memory_mb;
            log::warn!(
                "plug-in: max_memory_mb is too large, max_memory_mb={configured}, used={max_bytes} bytes"
            );
        }
        max_bytes
    }
}

/// A compiled script and the state that it keeps between calls.
pub struct Plugin {
    engine: Engine,
    script: AST,
    state: RefCell<Dynamic>,
    /// Called for each accepted request.
    request_hook: Hook,
    /// Called for each response.
    response_hook: Hook,
    usage: Rc<CallUsage>,
    started_at: Instant,
    time_budget: RefCell<TimeBudget>,
    is_switched_off: Cell<bool>,
    counters: Rc<Counters>,
    /// Accounts for what the script holds.
    memory: Rc<MemoryBudget>,
}

impl Plugin {
    /// Reads and compiles the configured script.
    ///
    /// # Errors
    ///
    /// [`PluginError`] if the file can't be read or compiled.
    pub fn load(
        config: &PluginConfig,
        counters: Rc<Counters>,
        memory: Rc<MemoryBudget>,
    ) -> Result<Plugin, PluginError> {
        let text = read_text_file(&config.script)
            .map_err(|source| PluginError::Unreadable { path: config.script.clone(), source })?;
        Plugin::new(&text, config, counters, memory)
    }

    /// Compiles a script from its text. One that uses a word that scripts may not use, or
    /// is too large, is switched off.
    ///
    /// # Errors
    ///
    /// [`PluginError::Malformed`] if the text can't be compiled.
    pub fn new(
        text: &str,
        config: &PluginConfig,
        counters: Rc<Counters>,
        memory: Rc<MemoryBudget>,
    ) -> Result<Plugin, PluginError> {
        if config.max_size > MAX_SIZE_LIMIT {
            log::warn!("plug-in: max_size is too large, max_size={}, used={MAX_SIZE_LIMIT}", config.max_size);
        }
        let max_bytes = config.max_bytes(&memory);
        let usage = CallUsage::new(max_bytes);
        let mut engine = limited_engine(config, &usage);
        let (script, refusal) = match compile(&mut engine, text, &usage)? {
            Ok(script) => (script, None),
            Err(refusal) => (AST::empty(), Some(refusal)),
        };
        memory.set_plugin_bytes(usage.kept_bytes());
        let plugin = Plugin {
            request_hook: Hook::find("on_request", &script),
            response_hook: Hook::find("on_answer", &script),
            engine,
            script,
            state: RefCell::new(Map::new().into()),
            usage,
            started_at: Instant::now(),
            time_budget: RefCell::new(TimeBudget::new(Duration::ZERO)),
            is_switched_off: Cell::new(false),
            counters,
            memory,
        };
        if let Some(refusal) = refusal {
            plugin.switch_off(&refusal.to_string());
        }
        Ok(plugin)
    }

    /// Calls a function of the script, with the script's state as `this`. Does nothing if the script does not define the
    /// function, or it is switched off.
    fn call(&self, hook: &Hook, argument: impl FnOnce() -> Map) {
        if self.is_switched_off.get() || !hook.is_on() {
            return;
        }
        self.usage.begin();
        // The argument is freed by the call, so it is allocated within the count.
        let result =
            catch_unwind(AssertUnwindSafe(|| self.usage.count_memory(|| self.run(hook, argument()))));
        let time = self.usage.processor_time();
        match result {
            Ok(Ok(())) if time > MAX_CALL_TIME => self.record_failure(hook, &CallError::Slow(time)),
            Ok(Ok(())) => hook.consecutive_failures.set(0),
            Ok(Err(error)) => self.record_failure(hook, &CallError::Script(error)),
            Err(_) => {
                self.record_failure(hook, &CallError::Panicked);
                self.switch_off("a function panicked");
            }
        }
        if self.usage.is_memory_exceeded() {
            let max_bytes = self.usage.max_bytes();
            self.switch_off(&format!("it holds too much memory, max_bytes={max_bytes}"));
        }
        if !self.time_budget.borrow_mut().take(time, self.started_at.elapsed()) {
            self.switch_off("its calls take too much time");
        }
        self.memory.set_plugin_bytes(self.usage.kept_bytes());
    }

    fn run(&self, hook: &Hook, argument: Map) -> Result<(), ScriptError> {
        let state = &mut *self.state.borrow_mut();
        let options = CallFnOptions::new().eval_ast(false).bind_this_ptr(state);
        let scope = &mut Scope::new();
        let called =
            self.engine.call_fn_with_options::<Dynamic>(options, scope, &self.script, hook.name, (argument,));
        match called {
            Ok(_) => Ok(()),
            // The error may hold values of the script, which are freed here, within the count.
            Err(error) => {
                let message = self.usage.exclude_memory(|| truncated(&error.to_string()));
                Err(ScriptError { message })
            }
        }
    }

    fn record_failure(&self, hook: &Hook, error: &CallError) {
        self.counters.plugin_failures.add();
        let failures = hook.consecutive_failures.get() + 1;
        hook.consecutive_failures.set(failures);
        let switched_off = if failures == MAX_FAILURES { ", switched off" } else { "" };
        log::warn!("plug-in: {}: {error}{switched_off}", hook.name);
    }

    /// Switches the whole script off and frees the state that it keeps.
    fn switch_off(&self, reason: &str) {
        if !self.is_switched_off.replace(true) {
            log::error!("plug-in: switched off: {reason}");
            self.usage.count_memory(|| drop(self.state.replace(Dynamic::UNIT)));
        }
    }
}

/// The properties of a request that are passed to the script. Scripts depend on the keys.
fn request_fields(call: &Call) -> Map {
    let is_write = call.node_request.operation == Operation::Write;
    let mut fields = Map::new();
    fields.insert("class".into(), Dynamic::from(call.class.0 as i64));
    fields.insert("plan".into(), Dynamic::from(call.plan.0 as i64));
    fields.insert("volume".into(), format!("{:016x}", call.volume.0).into());
    fields.insert("units".into(), call.units.into());
    fields.insert("write".into(), is_write.into());
    fields.insert("bytes".into(), Dynamic::from(call.node_request.payload.length() as i64));
    fields
}

/// The properties of a response that are passed to the script. Scripts depend on the keys and on the names of outcomes.
fn response_fields(call: &Call, answer: &Answer, latency: Duration) -> Map {
    let (outcome, retry_after_s) = match answer {
        Answer::Served(..) => ("served", 0.0),
        Answer::Rejected { retry_after_s } => ("refused", *retry_after_s),
        Answer::Failed => ("failed", 0.0),
    };
    let mut fields = request_fields(call);
    fields.insert("answer".into(), outcome.into());
    fields.insert("wait".into(), retry_after_s.into());
    fields.insert("seconds".into(), latency.as_secs_f64().into());
    fields
}

impl Observer for Plugin {
    fn request_accepted(&self, call: &Call) {
        self.call(&self.request_hook, || request_fields(call));
    }

    fn request_answered(&self, call: &Call, answer: &Answer, latency: Duration) {
        self.call(&self.response_hook, || response_fields(call, answer, latency));
    }
}
