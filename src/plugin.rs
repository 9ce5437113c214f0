//! The plug-in: a Rhai script that observes requests and responses but can't change how they are handled.
//!
//! The number of steps of a call and the size of values are limited, and the script has no access to files, sockets or
//! clocks. Failed calls are counted and logged; after [`MAX_FAILURES`] consecutive failures the script is switched off.

use crate::core::{Answer, Call, Observer, Operation};
use crate::metrics::counters::Counters;
use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Consecutive failed calls after which the script is switched off.
const MAX_FAILURES: u32 = 10;
/// Maximum length of a line logged by a script, in characters; longer lines are truncated.
const MAX_LINE_CHARS: usize = 200;
/// Maximum depth of nested function calls in a script.
const MAX_CALL_DEPTH: usize = 8;
/// Maximum number of variables in scope.
const MAX_VARIABLES: usize = 64;
/// Maximum depth of an expression outside functions.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Maximum depth of an expression inside functions.
const MAX_FUNCTION_EXPRESSION_DEPTH: usize = 16;
/// Maximum string length, as a multiple of the configured maximum number of elements.
const STRING_BYTES_PER_ELEMENT: usize = 16;

/// Name of the script's function that is called for each accepted request.
const REQUEST_HOOK: &str = "on_request";
/// Name of the script's function that is called for each response.
const RESPONSE_HOOK: &str = "on_answer";

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

/// Settings of the plug-in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginConfig {
    /// Path of the script.
    pub script: PathBuf,
    /// Maximum number of steps (Rhai operations) of one call.
    pub max_steps: u64,
    /// Maximum number of elements of an array or map. Strings may have 16 bytes for each of them.
    pub max_size: usize,
}

/// A compiled script and the state that it keeps between calls.
pub struct Plugin {
    engine: Engine,
    script: AST,
    state: RefCell<Dynamic>,
    consecutive_failures: Cell<u32>,
    counters: Rc<Counters>,
}

impl Plugin {
    /// Reads and compiles the configured script.
    ///
    /// # Errors
    ///
    /// [`PluginError`] if the file can't be read or compiled.
    pub fn load(config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let text = std::fs::read_to_string(&config.script)
            .map_err(|source| PluginError::Unreadable { path: config.script.clone(), source })?;
        Plugin::new(&text, config, counters)
    }

    /// Compiles a script from its text.
    ///
    /// # Errors
    ///
    /// [`PluginError::Malformed`] if the text can't be compiled.
    pub fn new(text: &str, config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let engine = limited_engine(config);
        let script = engine.compile(text)?;
        Ok(Plugin {
            engine,
            script,
            state: RefCell::new(Map::new().into()),
            consecutive_failures: Cell::new(0),
            counters,
        })
    }

    /// Calls a function of the script, with the script's state as `this`. Does nothing if the script does not define the
    /// function or is switched off.
    fn call(&self, hook: &str, argument: Map) {
        if !self.has_hook(hook) || self.consecutive_failures.get() >= MAX_FAILURES {
            return;
        }
        let state = &mut *self.state.borrow_mut();
        let options = CallFnOptions::new().eval_ast(false).bind_this_ptr(state);
        let result = self.engine.call_fn_with_options::<Dynamic>(
            options,
            &mut Scope::new(),
            &self.script,
            hook,
            (argument,),
        );
        match result {
            Ok(_) => self.consecutive_failures.set(0),
            Err(error) => self.record_failure(hook, &error),
        }
    }

    fn has_hook(&self, hook: &str) -> bool {
        self.script.iter_functions().any(|function| function.name == hook && function.params.len() == 1)
    }

    fn record_failure(&self, hook: &str, error: &rhai::EvalAltResult) {
        self.counters.plugin_failures.add();
        let failures = self.consecutive_failures.get() + 1;
        self.consecutive_failures.set(failures);
        let switched_off = if failures == MAX_FAILURES { ", switched off" } else { "" };
        log::warn!("plug-in: {hook}: {error}{switched_off}");
    }
}

/// Creates a script engine with the configured limits.
fn limited_engine(config: &PluginConfig) -> Engine {
    let max_size = config.max_size.max(1);
    let mut engine = Engine::new();
    engine.set_max_operations(config.max_steps.max(1));
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_variables(MAX_VARIABLES);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_FUNCTION_EXPRESSION_DEPTH);
    engine.set_max_array_size(max_size);
    engine.set_max_map_size(max_size);
    engine.set_max_string_size(max_size * STRING_BYTES_PER_ELEMENT);
    engine.disable_symbol("eval");
    engine.on_print(|text| log::info!("plug-in: {}", truncated(text)));
    engine.on_debug(|text, _, _| log::debug!("plug-in: {}", truncated(text)));
    engine
}

/// Truncates a text to [`MAX_LINE_CHARS`].
fn truncated(text: &str) -> String {
    text.chars().take(MAX_LINE_CHARS).collect()
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
        self.call(REQUEST_HOOK, request_fields(call));
    }

    fn request_answered(&self, call: &Call, answer: &Answer, latency: Duration) {
        self.call(RESPONSE_HOOK, response_fields(call, answer, latency));
    }
}
