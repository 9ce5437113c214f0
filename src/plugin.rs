//! The plug-in hook: a script that observes requests and answers, and decides nothing.
//!
//! The script is bounded in steps and in the size of what it keeps. Whatever goes wrong in it is counted
//! and logged; after a row of failures it is switched off. It has no files, no sockets and no clock.

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
const MOST_FAILURES: u32 = 10;
/// Longest line that a script may log, in characters.
const LONGEST_LINE: usize = 200;

/// A script that can't be used.
#[derive(Debug, Error)]
pub enum PluginError {
    /// The file can't be read.
    #[error("plug-in {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// The text is no script.
    #[error("plug-in: {0}")]
    Malformed(#[from] rhai::ParseError),
}

/// Which script, and its bounds.
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
    failures: Cell<u32>,
    counters: Rc<Counters>,
}

impl Plugin {
    /// Loads the script that the configuration names.
    pub fn load(config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let text = std::fs::read_to_string(&config.script)
            .map_err(|e| PluginError::Unreadable(config.script.clone(), e))?;
        Plugin::new(&text, config, counters)
    }

    /// Compiles a script's text.
    pub fn new(text: &str, config: &PluginConfig, counters: Rc<Counters>) -> Result<Plugin, PluginError> {
        let mut engine = Engine::new();
        engine.set_max_operations(config.max_steps.max(1));
        engine.set_max_call_levels(8);
        engine.set_max_variables(64);
        engine.set_max_expr_depths(32, 16);
        engine.set_max_array_size(config.max_size.max(1));
        engine.set_max_map_size(config.max_size.max(1));
        engine.set_max_string_size(config.max_size.max(1) * 16);
        engine.disable_symbol("eval");
        engine
            .on_print(|text| log::info!("plug-in: {}", text.chars().take(LONGEST_LINE).collect::<String>()));
        engine.on_debug(|text, _, _| {
            log::debug!("plug-in: {}", text.chars().take(LONGEST_LINE).collect::<String>());
        });
        let script = engine.compile(text)?;
        let (state, failures) = (RefCell::new(Map::new().into()), Cell::new(0));
        Ok(Plugin { engine, script, state, failures, counters })
    }

    /// Calls one of the script's functions, if it has it; `this` is the state it keeps.
    fn call(&self, name: &str, argument: Map) {
        let known = self.script.iter_functions().any(|f| f.name == name && f.params.len() == 1);
        if !known || self.failures.get() >= MOST_FAILURES {
            return;
        }
        let state = &mut *self.state.borrow_mut();
        let options = CallFnOptions::new().eval_ast(false).bind_this_ptr(state);
        let called = self.engine.call_fn_with_options::<Dynamic>(
            options,
            &mut Scope::new(),
            &self.script,
            name,
            (argument,),
        );
        match called {
            Ok(_) => self.failures.set(0),
            Err(problem) => {
                self.counters.plugin_failures.add();
                self.failures.set(self.failures.get() + 1);
                let off = if self.failures.get() == MOST_FAILURES { ", switched off" } else { "" };
                log::warn!("plug-in: {name}: {problem}{off}");
            }
        }
    }
}

fn fields(call: &Call) -> Map {
    let mut map = Map::new();
    map.insert("class".into(), Dynamic::from(call.class.0 as i64));
    map.insert("plan".into(), Dynamic::from(call.plan.0 as i64));
    map.insert("volume".into(), format!("{:016x}", call.volume.0).into());
    map.insert("units".into(), call.units.into());
    map.insert("write".into(), (call.node_request.operation == Operation::Write).into());
    map.insert("bytes".into(), Dynamic::from(call.node_request.payload.length() as i64));
    map
}

impl Observer for Plugin {
    fn taken(&self, call: &Call) {
        self.call("on_request", fields(call));
    }

    fn answered(&self, call: &Call, answer: &Answer, after: Duration) {
        let mut map = fields(call);
        let (word, wait) = match answer {
            Answer::Served(..) => ("served", 0.0),
            Answer::Rejected { retry_after_s: wait } => ("refused", *wait),
            Answer::Failed => ("failed", 0.0),
        };
        map.insert("answer".into(), word.into());
        map.insert("wait".into(), wait.into());
        map.insert("seconds".into(), after.as_secs_f64().into());
        self.call("on_answer", map);
    }
}
