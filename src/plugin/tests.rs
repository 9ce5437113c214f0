//! Tests of the functions and limits of a script.

use super::*;

/// Memory of the head, in MiB: the least that the platform gives.
const MEMORY_MB: usize = 32;

/// The limits that `deploy/ops.toml` shows.
fn deployed_limits() -> PluginConfig {
    PluginConfig {
        script: PathBuf::new(),
        max_steps: 2000,
        max_size: 256,
        max_memory_mb: DEFAULT_MAX_MEMORY_MB,
    }
}

fn plugin(text: &str, config: &PluginConfig) -> Plugin {
    Plugin::new(text, config, Rc::new(Counters::default()), MemoryBudget::new(MEMORY_MB)).expect("compiles")
}

/// Calls a hook as often as given; returns the longest call.
fn longest_call(plugin: &Plugin, calls: usize) -> Duration {
    let call = |_| {
        let began = Instant::now();
        plugin.call(&plugin.request_hook, Map::new);
        began.elapsed()
    };
    (0..calls).map(call).max().expect("a call")
}

/// Guards against functions that come with an update of the script library: each that a script can call is listed, and
/// what is new has to be looked at for its time before it is accepted.
#[test]
fn the_functions_that_a_script_can_call_are_those_listed() {
    let engine = limited_engine(&deployed_limits(), &CallUsage::new(MIB));
    let mut signatures = engine.gen_fn_signatures(true);
    signatures.sort();
    insta::assert_snapshot!(signatures.join("\n"));
}

/// Guards against functions that wait or reach a clock, however they are called.
#[test]
fn a_script_can_not_wait() {
    for wait in ["sleep(3600)", "sleep(3600.0)", "3600.sleep()", "Fn(\"sleep\").call(3600)", "timestamp()"] {
        let plugin = plugin(&format!("fn on_request(r) {{ {wait} }}"), &deployed_limits());
        assert!(longest_call(&plugin, 1) < Duration::from_secs(1), "{wait}");
        assert_eq!(plugin.counters.plugin_failures.get(), 1, "{wait}");
    }
}

/// Guards against native functions whose time no limit on steps bounds.
#[test]
fn no_call_takes_longer_than_its_limit_however_its_time_is_spent() {
    const BODIES: [&str; 20] = [
        "loop { }",
        "let a = []; a.pad(256, 7); loop { a.sort(); a.reverse(); }",
        "let a = []; a.pad(256, 7); loop { a.sort(|x, y| y - x); }",
        "let a = []; a.pad(256, 7); loop { let b = a.filter(|x| x > 0); b.retain(|x| x > 0); }",
        "let a = []; a.pad(1000000000, 7);",
        "let s = \"\"; s.pad(1000000000, \"x\");",
        "let s = \"\"; s.pad(4000, \"x\"); loop { s.replace(\"x\", \"y\"); s.replace(\"y\", \"x\"); }",
        "let s = \"\"; s.pad(4000, \",\"); loop { s.split(\",\"); }",
        "let s = \"\"; s.pad(4000, \"x\"); loop { s.index_of(\"xxxxxxxxxxxxxxxxxxxxxxxxy\"); s.to_upper(); }",
        "let m = #{}; let n = 0; loop { m[\"k\" + n] = m; n += 1; }",
        "let a = [1]; loop { a = [a, a]; }",
        "let a = []; loop { a.push(a); a.to_string(); }",
        "let s = \"\"; s.pad(4096, \"x\"); let t = s; s.replace(\"x\", t);",
        "let s = \"\"; s.pad(4096, \"x\"); let t = s; s.replace('x', t);",
        "let s = \"\"; s.pad(4096, \"x\"); let t = s; s.replace(\"\", t);",
        "let a = []; a.pad(256, 7); let b = a; a.pad(256000, b); loop { a.append(b); }",
        "for i in range(0, 9223372036854775807) { }",
        "let x = 9; loop { x = 3 ** 40; }",
        "let b = blob(256, 7); loop { b.parse_le_int(0, 8); b += b; }",
        "loop { this.all = (this.all ?? \"\") + \"0123456789abcdef\"; let copy = this; }",
    ];
    /// So long the platform may hold a head up by its terms; a call must not do so.
    const LONGEST: Duration = Duration::from_millis(150);
    for max_size in [256, MAX_SIZE_LIMIT] {
        let config = PluginConfig { max_steps: u64::MAX, max_size, ..deployed_limits() };
        for body in BODIES {
            let body =
                body.replace("4096", &(16 * max_size).to_string()).replace("256", &max_size.to_string());
            let plugin = plugin(&format!("fn on_request(r) {{ {body} }}"), &config);
            let longest = longest_call(&plugin, 3);
            println!("{max_size} elements: {longest:?}: {body}");
            assert!(longest < LONGEST, "{longest:?}: {body}");
        }
    }
}

#[test]
fn the_longest_calls_by_the_limits_of_the_example_are_printed() {
    const BODIES: [&str; 5] = [
        "loop { }",
        "let a = []; a.pad(256, 7); loop { a.sort(); a.reverse(); }",
        "let s = \"\"; s.pad(4000, \"x\"); loop { s.replace(\"x\", \"y\"); s.replace(\"y\", \"x\"); }",
        "let s = \"\"; s.pad(4000, \",\"); loop { s.split(\",\"); }",
        "let a = []; a.pad(250, 7); loop { a.to_string(); }",
    ];
    for body in BODIES {
        let plugin = plugin(&format!("fn on_request(r) {{ {body} }}"), &deployed_limits());
        println!("{:?}: {body}", longest_call(&plugin, 5));
        assert_eq!(plugin.counters.plugin_failures.get(), 5, "stopped by a limit: {body}");
    }
}

/// Guards against the example under `deploy/` using functions that a script can't call.
#[test]
fn the_example_script_runs_within_its_limits() {
    const CALLS: u32 = 1000;
    let plugin = plugin(include_str!("../../deploy/plugin.rhai"), &deployed_limits());
    let answer = || Map::from_iter([("answer".into(), Dynamic::from("refused"))]);
    let began = Instant::now();
    for _ in 0..CALLS {
        plugin.call(&plugin.response_hook, answer);
    }
    println!("{:?} a call", began.elapsed() / CALLS);
    assert_eq!(plugin.counters.plugin_failures.get(), 0);
    assert!(!plugin.is_switched_off.get());
}

/// Guards against a hook that fails each time and stays on because the other one succeeds.
#[test]
fn a_hook_that_fails_is_switched_off_beside_one_that_does_not() {
    let plugin = plugin("fn on_request(r) { loop { } } fn on_answer(r) { }", &deployed_limits());
    for _ in 0..2 * MAX_FAILURES {
        plugin.call(&plugin.request_hook, Map::new);
        plugin.call(&plugin.response_hook, Map::new);
    }
    assert_eq!(plugin.counters.plugin_failures.get(), u64::from(MAX_FAILURES));
    assert!(!plugin.request_hook.is_on() && plugin.response_hook.is_on());
}

/// Guards against calls that each stay below the limit and take the thread's time together.
#[test]
fn a_script_whose_calls_take_too_much_time_is_switched_off() {
    let second = |count: f64| Duration::from_secs_f64(count);
    let mut budget = TimeBudget::new(Duration::ZERO);
    let mut now = 0.0;
    for _ in 0..1000 {
        now += 0.02;
        assert!(budget.take(second(0.0039), second(now)), "less than a fifth of the time");
    }
    let calls_until_empty = (0..1000).take_while(|_| {
        now += 0.005;
        budget.take(second(0.004), second(now))
    });
    assert!((30..100).contains(&calls_until_empty.count()), "0.2 s, at 0.8 of the time");
    let plugin = looping_plugin(iterations_below_the_limit());
    let began = Instant::now();
    while !plugin.is_switched_off.get() {
        plugin.call(&plugin.request_hook, Map::new);
        assert!(began.elapsed() < Duration::from_secs(10), "it takes all the time and stays on");
    }
    assert!(plugin.request_hook.is_on(), "its calls are below the limit, so that the budget alone ends them");
}

/// A script whose hook runs a loop of so many iterations.
fn looping_plugin(iterations: u32) -> Plugin {
    let config = PluginConfig { max_steps: u64::MAX, ..deployed_limits() };
    plugin(&format!("fn on_request(r) {{ for i in 0..{iterations} {{ let x = i; }} }}"), &config)
}

/// Number of iterations whose call takes well below [`MAX_CALL_TIME`] on this machine and far more than nothing: the
/// first power of two that takes a fifth of it.
fn iterations_below_the_limit() -> u32 {
    let takes_a_fifth = |iterations: &u32| {
        let plugin = looping_plugin(*iterations);
        plugin.call(&plugin.request_hook, Map::new);
        plugin.usage.processor_time() >= MAX_CALL_TIME / 5
    };
    (0..u32::BITS).map(|bit| 1 << bit).find(takes_a_fifth).expect("some loop takes a millisecond")
}

/// Guards against a panic in a function that would take a request's task with it.
#[test]
fn a_panic_switches_the_script_off() {
    let mut plugin = plugin("fn on_request(r) { fail() }", &deployed_limits());
    plugin.engine.register_fn("fail", || -> i64 { panic!("a defect of a function") });
    plugin.call(&plugin.request_hook, Map::new);
    plugin.call(&plugin.request_hook, Map::new);
    assert_eq!(plugin.counters.plugin_failures.get(), 1);
    assert!(plugin.is_switched_off.get());
}

#[test]
fn a_call_logs_so_many_lines_and_no_more() {
    let usage = CallUsage::new(MIB);
    usage.begin();
    let logged = (0..1000).filter(|_| usage.count_line()).count();
    assert_eq!(logged, call_usage::MAX_LINES_PER_CALL as usize);
}

/// The largest sizes that an operators' file can set, with any number of steps.
fn largest_limits(max_memory_mb: usize) -> PluginConfig {
    PluginConfig { max_steps: u64::MAX, max_size: MAX_SIZE_LIMIT, max_memory_mb, ..deployed_limits() }
}

/// Guards against a state that grows from call to call, each below the limits of a call.
#[test]
fn a_script_that_holds_too_much_is_switched_off_and_its_state_is_freed() {
    const GROWING: &str =
        "fn on_request(r) { this.m = #{ m: this.m ?? 0, l: [this.m ?? 0, \"0123456789abcdef0123\"] }; }";
    let plugin = plugin(GROWING, &largest_limits(1));
    let mut most_kept = 0;
    let mut calls = 0;
    while !plugin.is_switched_off.get() {
        plugin.call(&plugin.request_hook, Map::new);
        most_kept = most_kept.max(plugin.memory.usage().plugin_bytes);
        calls += 1;
        assert!(calls < 10_000, "{most_kept} bytes are kept");
    }
    println!("{most_kept} bytes at most, {calls} calls");
    assert!(plugin.usage.is_memory_exceeded(), "its memory, not its time");
    assert!(most_kept <= MIB, "{most_kept}");
    assert!(plugin.memory.usage().plugin_bytes < 64 * 1024, "{}", plugin.memory.usage().plugin_bytes);
}

/// Guards against one call that holds too much and gives it back.
#[test]
fn a_call_that_holds_too_much_ends_between_two_of_its_steps() {
    let script = "fn on_request(r) { let a = []; a.pad(4000, 1); loop { this.f(a); } }
                  fn f(a) { let b = a; let c = a; let d = a; let e = a; let f = a; let g = a; let h = a; this.g(a); }
                  fn g(a) { let b = a; let c = a; let d = a; let e = a; let f = a; let g = a; let h = a; let i = a; }";
    let plugin = plugin(script, &largest_limits(1));
    plugin.call(&plugin.request_hook, Map::new);
    assert_eq!(plugin.counters.plugin_failures.get(), 1);
    assert!(plugin.is_switched_off.get() && plugin.usage.is_memory_exceeded());
}

/// Guards against an account that counts what is freed elsewhere: arguments, log lines and errors.
#[test]
fn the_account_of_a_script_that_keeps_nothing_stays_the_same() {
    const CALLS: usize = 3000;
    let scripts = [
        include_str!("../../deploy/plugin.rhai")
            .replace("on_answer", "on_request")
            .replace("r.answer", "r.volume"),
        "fn on_request(r) { print(\"a line of some length, to be logged\"); }".to_owned(),
        "fn on_request(r) { this.n = (this.n ?? 0) + 1; if this.n % 2 == 0 { throw [r, r.volume]; } }"
            .to_owned(),
        "fn on_request(r) { this.last = r; }".to_owned(),
    ];
    let argument = || Map::from_iter([("volume".into(), Dynamic::from("00000003b4d60021".to_owned()))]);
    for script in scripts {
        let plugin = plugin(&script, &deployed_limits());
        let kept_after = |calls: usize| {
            for _ in 0..calls {
                plugin.call(&plugin.request_hook, argument);
            }
            plugin.usage.kept_bytes()
        };
        let (before, after) = (kept_after(100), kept_after(CALLS));
        assert_eq!(before, after, "{script}");
        assert!(!plugin.is_switched_off.get(), "{script}");
    }
}

/// Guards against values that the library's sizes do not count, since function pointers hold them: copies of these would
/// have any size, and be nested to any depth.
#[test]
fn function_pointers_hold_no_values() {
    let plugin =
        |body: &str| plugin(&format!("fn on_request(r) {{ {body} }} fn keep(x) {{ x }}"), &deployed_limits());
    for body in ["let f = Fn(\"keep\").curry(1);", "let f = curry(Fn(\"keep\"), 1);", "eval(\"1\")"] {
        assert!(plugin(body).is_switched_off.get(), "{body}");
    }
    let capturing = plugin("let x = 1; let f = || x; f.call();");
    capturing.call(&capturing.request_hook, Map::new);
    assert_eq!(capturing.counters.plugin_failures.get(), 1);
    let holding_none =
        plugin("let f = |x| x + 1; if f.call(1) != 2 || Fn(\"keep\").call(3) != 3 { throw 1; }");
    holding_none.call(&holding_none.request_hook, Map::new);
    assert_eq!(holding_none.counters.plugin_failures.get(), 0);
}

/// Guards against a head that does not start since its script takes more memory than it may hold.
#[test]
fn a_script_that_is_too_large_is_switched_off() {
    let line = "let x = [1, 2, 3, 4, 5, 6, 7, 8];";
    let repeated = line.repeat(2 * MIB / line.len());
    for text in [
        format!("fn on_request(r) {{ {} }}", line.repeat(4000)),
        format!("fn on_request(r) {{ {repeated} }}"),
    ] {
        let plugin = plugin(&text, &largest_limits(1));
        assert!(plugin.is_switched_off.get(), "{} bytes", text.len());
    }
}
