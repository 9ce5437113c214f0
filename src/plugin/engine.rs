//! The script engine: which functions a script can call, and the limits of a call.
//!
//! Only the packages named in [`register_packages`] are registered. A native function counts as one step whatever it does,
//! so each of them has to take time that the limits on sizes bound; none may wait, or reach files, sockets or clocks.
//!
//! The library's sizes bound one value: the elements of lists and maps and the length of texts within it. So they bound
//! what one function allocates and how deep values are nested, as long as no value holds others that the library does not
//! count. Therefore function pointers hold none, neither by `curry` nor as closures (the library's feature `no_closure`).
//! What a script holds in all is counted by [`CallUsage`], whatever holds it, and checked at each step.

use super::PluginConfig;
use super::call_usage::CallUsage;
use rhai::packages::{
    ArithmeticPackage, BasicArrayPackage, BasicBlobPackage, BasicFnPackage, BasicIteratorPackage,
    BasicMapPackage, BasicMathPackage, BasicStringPackage, BitFieldPackage, LogicPackage, MoreStringPackage,
    Package,
};
use rhai::{Dynamic, Engine, EvalAltResult, ImmutableString, NativeCallContext};
use std::rc::Rc;

/// Upper bound of `max_size`, in elements: it bounds the time of one native function.
pub(super) const MAX_SIZE_LIMIT: usize = 4096;
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

/// Words of the language that scripts may not use: they run text as code, or bind values to function pointers.
pub(super) const DISABLED_SYMBOLS: [&str; 2] = ["curry", "eval"];

/// Makes the engine refuse scripts that use [`DISABLED_SYMBOLS`].
pub(super) fn disable_symbols(engine: &mut Engine) {
    for symbol in DISABLED_SYMBOLS {
        engine.disable_symbol(symbol);
    }
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
    let call = usage.clone();
    engine.on_progress(move |_| call.check().err().map(|exceeded| Dynamic::from(exceeded.to_string())));
    let call = usage.clone();
    engine.on_print(move |text| {
        if call.count_line() {
            call.exclude_memory(|| log::info!("plug-in: {}", truncated(text)));
        }
    });
    let call = usage.clone();
    engine.on_debug(move |text, _, _| {
        if call.count_line() {
            call.exclude_memory(|| log::debug!("plug-in: {}", truncated(text)));
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
pub(super) fn truncated(text: &str) -> String {
    text.chars().take(MAX_LINE_CHARS).collect()
}
