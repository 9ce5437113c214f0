//! The script engine: which functions a script can call, and the limits of a call.
//!
//! Only the packages named in [`limited_engine`] are registered. A native function counts as one step whatever it does,
//! so each of them has to take time that the limits on sizes bound; none may wait, or reach files, sockets or clocks.

use super::PluginConfig;
use rhai::packages::{
    ArithmeticPackage, BasicArrayPackage, BasicBlobPackage, BasicFnPackage, BasicIteratorPackage,
    BasicMapPackage, BasicMathPackage, BasicStringPackage, BitFieldPackage, LogicPackage, MoreStringPackage,
    Package,
};
use rhai::{Dynamic, Engine, EvalAltResult, ImmutableString, NativeCallContext};
use rustix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest processor time of one call. Checked between two steps of the script.
pub(super) const MAX_CALL_TIME: Duration = Duration::from_millis(5);
/// Upper bound of `max_size`, in elements: it bounds the time of one native function.
pub(super) const MAX_SIZE_LIMIT: usize = 4096;
/// Maximum number of lines that one call may log; further ones are dropped.
pub(super) const MAX_LINES_PER_CALL: u32 = 16;
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

/// What the call in progress has used, shared with the engine's callbacks.
pub(super) struct CallUsage {
    began: Cell<Instant>,
    /// Processor time of the thread when the call began.
    processor_time_before: Cell<Duration>,
    lines: Cell<u32>,
}

impl CallUsage {
    pub(super) fn new() -> Rc<CallUsage> {
        Rc::new(CallUsage {
            began: Cell::new(Instant::now()),
            processor_time_before: Cell::default(),
            lines: Cell::new(0),
        })
    }

    /// Notes that a call begins.
    pub(super) fn begin(&self) {
        self.began.set(Instant::now());
        self.processor_time_before.set(thread_processor_time());
        self.lines.set(0);
    }

    /// Processor time that the call has taken. Time for which the thread was not run does not count.
    pub(super) fn processor_time(&self) -> Duration {
        thread_processor_time().saturating_sub(self.processor_time_before.get())
    }

    /// Whether the call has taken more than [`MAX_CALL_TIME`]. The processor time is read only if that is possible, since
    /// reading it costs a system call.
    fn is_out_of_time(&self) -> bool {
        self.began.get().elapsed() > MAX_CALL_TIME && self.processor_time() > MAX_CALL_TIME
    }

    /// Counts a line that the script logs. Returns whether it may be logged.
    pub(super) fn count_line(&self) -> bool {
        let lines = self.lines.get();
        self.lines.set(lines.saturating_add(1));
        lines < MAX_LINES_PER_CALL
    }
}

/// Processor time that this thread has taken so far.
fn thread_processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(time).unwrap_or_default()
}

/// Creates a script engine with the configured limits.
pub(super) fn limited_engine(config: &PluginConfig, usage: &Rc<CallUsage>) -> Engine {
    let max_size = config.max_size.clamp(1, MAX_SIZE_LIMIT);
    let mut engine = Engine::new_raw();
    register_packages(&mut engine);
    engine.set_max_operations(config.max_steps.max(1));
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_variables(MAX_VARIABLES);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_FUNCTION_EXPRESSION_DEPTH);
    engine.set_max_array_size(max_size);
    engine.set_max_map_size(max_size);
    engine.set_max_string_size(max_size * STRING_BYTES_PER_ELEMENT);
    engine.disable_symbol("eval");
    let call = usage.clone();
    engine.on_progress(move |_| call.is_out_of_time().then(|| Dynamic::from("out of time")));
    let call = usage.clone();
    engine.on_print(move |text| {
        if call.count_line() {
            log::info!("plug-in: {}", truncated(text));
        }
    });
    let call = usage.clone();
    engine.on_debug(move |text, _, _| {
        if call.count_line() {
            log::debug!("plug-in: {}", truncated(text));
        }
    });
    engine
}

/// Registers the functions that a script can call. The core package of the language is left out: it has `sleep`.
fn register_packages(engine: &mut Engine) {
    ArithmeticPackage::new().register_into_engine(engine);
    LogicPackage::new().register_into_engine(engine);
    BitFieldPackage::new().register_into_engine(engine);
    BasicMathPackage::new().register_into_engine(engine);
    BasicStringPackage::new().register_into_engine(engine);
    MoreStringPackage::new().register_into_engine(engine);
    BasicIteratorPackage::new().register_into_engine(engine);
    BasicFnPackage::new().register_into_engine(engine);
    BasicArrayPackage::new().register_into_engine(engine);
    BasicBlobPackage::new().register_into_engine(engine);
    BasicMapPackage::new().register_into_engine(engine);
    // These take the place of functions of the packages.
    engine.register_fn("replace", replace_text);
    engine.register_fn("replace", replace_char);
}

/// Replaces all occurrences of a text. That of the packages checks the length of the result only afterwards, and the
/// result may be as long as the product of two lengths.
fn replace_text(
    context: NativeCallContext,
    text: &mut ImmutableString,
    find: &str,
    substitute: &str,
) -> Result<(), Box<EvalAltResult>> {
    let max_length = context.engine().max_string_size();
    let added = text.matches(find).count().saturating_mul(substitute.len().saturating_sub(find.len()));
    if text.len().saturating_add(added) > max_length {
        let position = context.call_position();
        return Err(EvalAltResult::ErrorDataTooLarge("Length of string".into(), position).into());
    }
    *text = text.replace(find, substitute).into();
    Ok(())
}

/// Replaces all occurrences of a character, as [`replace_text`].
fn replace_char(
    context: NativeCallContext,
    text: &mut ImmutableString,
    find: char,
    substitute: &str,
) -> Result<(), Box<EvalAltResult>> {
    replace_text(context, text, find.encode_utf8(&mut [0; 4]), substitute)
}

/// Truncates a text to [`MAX_LINE_CHARS`].
fn truncated(text: &str) -> String {
    text.chars().take(MAX_LINE_CHARS).collect()
}
