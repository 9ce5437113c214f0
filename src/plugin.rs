//! The plug-in hook: a script that observes requests and responses, and decides nothing.
//!
//! The script is limited in steps and in the size of what it keeps. Whatever goes wrong in it is counted and logged;
//! after several failures in a row it is switched off. It has no files, no sockets and no clock.

use crate::core::{Answer, Call, Observer, Operation};
use crate::metrics::counters::Counters;
use rhai::{AST, CallFnOptions, Dynamic, Engine, Map, Scope};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Failures in a row after which the script is switched off.
const MAX_FAILURES: u32 = 10;
/// Longest line that a script may log, in characters.
const MAX_LINE_CHARS: usize = 200;
/// Deepest nesting of calls in a script.
const MAX_CALL_DEPTH: usize = 8;
/// Most variables in a script's scope.
const MAX_VARIABLES: usize = 64;
/// Deepest nesting of an expression outside functions.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Deepest nesting of an expression inside functions.
const MAX_FUNCTION_EXPRESSION_DEPTH: usize = 16;
/// Characters of a text for each element that a list or map may have.
const CHARS_PER_ELEMENT: usize = 16;

/// The script's function that is called at each request.
const REQUEST_HOOK: &str = "on_request";
/// The script's function that is called at each response.
const RESPONSE_HOOK: &str = "on_answer";

/// A script that can't be used: a mistake of whoever configured it.
#[derive(Debug, Error)]
pub enum PluginError {
    /// The file can't be read.
    #[error("plug-in {path}: {source}")]
    Unreadable {
        /// The script's file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no script.
    #[error("plug-in: {0}")]
    Malformed(#[from] rhai::ParseError),
}

/// Which script, and its limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginConfig {
    /// The script's file.
    pub script: PathBuf,
    /// Most steps of one call.
    pub max_steps: u64,
    /// Most elements of a list or map, and, times 16, characters of a text.
    pub max_size: usize,
}

/// A script with the state that it keeps between calls.
pub struct Plugin {
    engine: Engine,
    script: AST,
    state: RefCell<Dynamic>,
    failures_in_a_row: Cell<u32>,
    counters: Rc<Counters>,
}

impl Plugin {
    /// Loads the script that the configuration names.
    ///
    /// # Errors
    /// The file can't be read, or is no script.
    pub fn load(config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let text = std::fs::read_to_string(&config.script)
            .map_err(|source| PluginError::Unreadable { path: config.script.clone(), source })?;
        Plugin::new(&text, config, counters)
    }

    /// Compiles a script's text.
    ///
    /// # Errors
    /// The text is no script.
    pub fn new(text: &str, config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let engine = limited_engine(config);
        let script = engine.compile(text)?;
        Ok(Plugin {
            engine,
            script,
            state: RefCell::new(Map::new().into()),
            failures_in_a_row: Cell::new(0),
            counters,
        })
    }

    /// Calls one of the script's functions, if it has it and is not switched off; `this` is the state it keeps.
    fn call(&self, hook: &str, argument: Map) {
        if !self.has_hook(hook) || self.failures_in_a_row.get() >= MAX_FAILURES {
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
            Ok(_) => self.failures_in_a_row.set(0),
            Err(error) => self.record_failure(hook, &error),
        }
    }

    fn has_hook(&self, hook: &str) -> bool {
        self.script.iter_functions().any(|function| function.name == hook && function.params.len() == 1)
    }

    fn record_failure(&self, hook: &str, error: &rhai::EvalAltResult) {
        self.counters.plugin_failures.add();
        let failures = self.failures_in_a_row.get() + 1;
        self.failures_in_a_row.set(failures);
        let switched_off = if failures == MAX_FAILURES { ", switched off" } else { "" };
        log::warn!("plug-in: {hook}: {error}{switched_off}");
    }
}

/// An engine with the limits of the configuration.
fn limited_engine(config: &PluginConfig) -> Engine {
    let max_size = config.max_size.max(1);
    let mut engine = Engine::new();
    engine.set_max_operations(config.max_steps.max(1));
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_variables(MAX_VARIABLES);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_FUNCTION_EXPRESSION_DEPTH);
    engine.set_max_array_size(max_size);
    engine.set_max_map_size(max_size);
    engine.set_max_string_size(max_size * CHARS_PER_ELEMENT);
    engine.disable_symbol("eval");
    engine.on_print(|text| log::info!("plug-in: {}", shortened(text)));
    engine.on_debug(|text, _, _| log::debug!("plug-in: {}", shortened(text)));
    engine
}

/// What fits on a log line of a text.
fn shortened(text: &str) -> String {
    text.chars().take(MAX_LINE_CHARS).collect()
}

/// What a script is told of a request. The keys are the script's interface.
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

/// What a script is told of a response. The keys and words are the script's interface.
fn response_fields(call: &Call, answer: &Answer, after: Duration) -> Map {
    let (outcome, retry_after_s) = match answer {
        Answer::Served(..) => ("served", 0.0),
        Answer::Rejected { retry_after_s } => ("refused", *retry_after_s),
        Answer::Failed => ("failed", 0.0),
    };
    let mut fields = request_fields(call);
    fields.insert("answer".into(), outcome.into());
    fields.insert("wait".into(), retry_after_s.into());
    fields.insert("seconds".into(), after.as_secs_f64().into());
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
