//! Plug-ins that take as much memory as they can, in a head with the least memory that the platform gives.
//!
//! They guard against a head that counts only some of the values that a script can hold, or does not count what it keeps
//! from call to call, and so goes over its memory limit and is killed with all requests that it has taken.

mod peers;

use peers::peak_memory::PeakMemory;
use peers::usual_clients::UsualClients;
use peers::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// The least memory that the platform gives a head, in MiB.
const MEMORY_MB: usize = 32;
/// Bytes of a MiB.
const MIB: u64 = 1 << 20;
/// Well-behaved clients, each with some 15 requests a second.
const CLIENTS: usize = 16;
/// How long they send requests.
const TIME: Duration = Duration::from_secs(4);
/// Heads at a time.
const HEADS: usize = 4;

/// The limits of a call.
#[derive(Clone, Copy, Debug)]
struct Limits {
    max_steps: u64,
    max_size: usize,
    max_memory_mb: u64,
}

/// Those that `deploy/ops.toml` shows.
const DEPLOYED: Limits = Limits { max_steps: 2000, max_size: 256, max_memory_mb: 4 };
/// The largest that an operators' file can set.
const LARGEST: Limits = Limits { max_steps: u64::MAX >> 1, max_size: 4096, max_memory_mb: 4 };

/// Plays scripts, some at a time. The head stays within its memory and answers all requests, and what a script keeps stays
/// within its limit.
fn play(scripts: &[(&str, Limits)]) {
    for group in scripts.chunks(HEADS) {
        thread::scope(|scope| {
            for (script, limits) in group {
                scope.spawn(|| play_script(script, *limits));
            }
        });
    }
}

/// Plays a script. Returns why it was switched off, if it was.
fn play_script(script: &str, limits: Limits) -> Option<String> {
    let node = Brick::start(|_, _| Step::Serve(b"short".to_vec()));
    let discovery = Discovery::start(&[entry("s-0", node.address, 0, "ready")]);
    let text =
        config(&discovery, 1024, "null").replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let (script_file, operators_file) = write_files(script, limits);
    let operators = operators_file.to_str().expect("a path");
    let mut head = Head::start_text(&text, None, &[("FLAXGAP_OPS", operators)]);
    let memory = PeakMemory::watch(head.pid());
    let clients = UsualClients::start(head.http, CLIENTS);
    thread::sleep(TIME);
    let outcomes = clients.stop();
    let peak_mib = memory.stop_mib();
    let kept = head.counter("memory_plugin");
    let switched_off = head.logged("plug-in: switched off");
    println!("{peak_mib} MiB, {kept} bytes kept, {switched_off:?}, {outcomes:?}, {limits:?}: {script}");
    assert!(peak_mib <= MEMORY_MB, "{peak_mib} MiB: {script}");
    assert_eq!((outcomes.lost, outcomes.shut), (0, 0), "{outcomes:?}: {script}");
    assert!(outcomes.served > 0, "{outcomes:?}: {script}");
    assert!(kept <= limits.max_memory_mb * MIB, "{kept} bytes kept: {script}");
    head.signal("-TERM");
    assert!(head.ended(), "{script}");
    for file in [script_file, operators_file] {
        std::fs::remove_file(file).expect("removed");
    }
    switched_off
}

/// Writes a script and an operators' file that names it.
fn write_files(script: &str, limits: Limits) -> (PathBuf, PathBuf) {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let name = format!("flaxgap-hostile-{}-{number}", std::process::id());
    let script_file = std::env::temp_dir().join(format!("{name}.rhai"));
    let operators_file = std::env::temp_dir().join(format!("{name}.toml"));
    std::fs::write(&script_file, script).expect("written");
    let Limits { max_steps, max_size, max_memory_mb } = limits;
    let operators = format!(
        "[plugin]\nscript = {script_file:?}\nmax_steps = {max_steps}\nmax_size = {max_size}\nmax_memory_mb = {max_memory_mb}\n"
    );
    std::fs::write(&operators_file, operators).expect("written");
    (script_file, operators_file)
}

/// What a script does to keep ever more: bound to function pointers, captured by closures, in lists, maps, blobs and texts
/// within each other, or nested ever deeper.
const KEEPS: [&str; 10] = [
    "this.n = (this.n ?? 0) + 1; let t = \"x\"; t.pad(4000, 'y'); if !(\"a\" in this) { this.a = []; this.all = []; }
     for i in 0..50 { this.a.push(Fn(\"keep\").curry(t + i)); }
     if this.a.len() >= 150 { this.all.push(Fn(\"keep\").curry(this.a)); this.a = []; }
     if this.all.len() >= 150 { this.all = [Fn(\"keep\").curry(this.all)]; }",
    "if !(\"a\" in this) { this.a = []; } let t = \"x\"; t.pad(4000, 'y');
     for i in 0..50 { let s = t + i; this.a.push(|| s); } if this.a.len() >= 150 { let a = this.a; this.a = [|| a]; }",
    "for i in 0..100 { let c = this.f ?? 0; this.f = || c; }",
    "this.f = Fn(\"keep\").curry(this.f ?? 0, \"0123456789abcdef0123456789abcdef\" + this.n); this.n = (this.n ?? 0) + 1;",
    "let m = #{}; for i in 0..200 { m[\"k\" + i] = \"0123456789\" + i; } this.n = (this.n ?? 0) + 1; this[\"m\" + this.n] = m;",
    "this.n = (this.n ?? 0) + 1; let b = []; for i in 0..10 { b.push(blob(20, i)); } this[\"m\" + this.n] = #{ b: b };",
    "this.n = (this.n ?? 0) + 1; let t = \"x\"; t.pad(4000, 'y'); this[\"t\" + this.n] = t + this.n;",
    "this.a = [this.a ?? 0];",
    "this.m = #{ m: this.m ?? 0, l: [this.m ?? 0] };",
    "this.n = (this.n ?? 0) + 1; let x = #{}; let y = || x; x = y; this[\"c\" + this.n] = x;",
];

/// What a script does to take much within one call, between two steps or over many, and gives back.
const GROWS: [&str; 10] = [
    "this.n = this.n ?? 0; this.m = this.m ?? #{}; for i in 0..100 { this.m[\"k\" + this.n] = \"0123456789\" + i; this.n += 1; }
     let a = this.m; let b = #{}; let c = [a, a, a, a]; let d = c; let e = c; let f = c; let g = c; let h = c; let i = c; let j = c;
     let k = c; let l = c; let m = c; let n = c; let o = c; let p = c; let q = c; let s = c; let t = c; let u = c; let v = c;",
    "let f = 0; let t = \"x\"; t.pad(4000, 'y'); let n = 0; loop { f = Fn(\"keep\").curry(f, t + n); n += 1; }",
    "let t = \"x\"; t.pad(4000, 'y'); let a = []; for i in 0..200 { a.push(Fn(\"keep\").curry(t + i)); }
     let f = Fn(\"keep\").curry(a); let b = []; b.pad(250, f); let g = Fn(\"keep\").curry(b); let c = []; c.pad(250, g);",
    "let a = []; let t = \"x\"; t.pad(4000, 'y'); loop { let s = t + a.len(); a.push(|| s); let b = a; let f = || b; }",
    "let m = #{}; let n = 0; loop { m[\"k\" + n] = #{ m: m }; n += 1; }",
    "if !(\"a\" in this) { let t = \"x\"; t.pad(4000, 'y'); this.t = t; this.n = 0; this.a = #{}; }
     for i in 0..100 { this.a[\"k\" + this.n] = [this.t]; this.n += 1; } let s = this.a.to_string(); print(this);",
    "if !(\"a\" in this) { let t = \"x\"; t.pad(4000, 'y'); this.t = t; this.n = 0; this.a = #{}; }
     for i in 0..100 { this.a[\"k\" + this.n] = [this.t]; this.n += 1; } throw this;",
    "if !(\"a\" in this) { let t = \"x\"; t.pad(4000, 'y'); this.t = t; this.n = 0; this.a = #{}; }
     for i in 0..100 { this.a[\"k\" + this.n] = [this.t]; this.n += 1; } let s = `${this}`; let u = \"\" + this.a;",
    "let t = \"x\"; t.pad(4000, 'y'); let l = []; for i in 0..16 { l.push(t + i); print(t); debug(l); } loop { let m = l.split(1); }",
    "let t = \"\"; t.pad(4000, ','); loop { let p = t.split(','); let q = t.to_blob(); let c = t.chars(); }",
];

/// The scripts that have each of the bodies in this hook.
fn scripts(hook: &str, bodies: &[&str]) -> Vec<String> {
    bodies
        .iter()
        .map(|body| format!("fn {hook}(r) {{ {body} }}\nfn keep(x, y) {{}}\nfn keep(x) {{}}"))
        .collect()
}

#[test]
fn what_a_script_keeps_from_call_to_call_passes_no_memory_limit() {
    let requests = scripts("on_request", &KEEPS);
    let answers = scripts("on_answer", &KEEPS[..4]);
    let scripts: Vec<(&str, Limits)> = requests
        .iter()
        .flat_map(|script| [(script.as_str(), DEPLOYED), (script.as_str(), LARGEST)])
        .chain(answers.iter().map(|script| (script.as_str(), DEPLOYED)))
        .collect();
    play(&scripts);
}

#[test]
fn what_a_script_takes_within_a_call_passes_no_memory_limit() {
    let scripts = scripts("on_request", &GROWS);
    let scripts: Vec<(&str, Limits)> =
        scripts.iter().flat_map(|script| [(script.as_str(), DEPLOYED), (script.as_str(), LARGEST)]).collect();
    play(&scripts);
}

/// Guards against a script whose values are each within the limits of a call and together take more than it may hold.
#[test]
fn a_script_that_holds_more_than_it_may_is_switched_off_while_requests_go_on() {
    let script = "fn on_request(r) { this.m = #{ m: this.m ?? 0, l: [this.m ?? 0, \"0123456789abcdef\"] }; }";
    let switched_off = play_script(script, Limits { max_memory_mb: 1, ..LARGEST });
    assert!(switched_off.is_some_and(|line| line.contains("it holds too much memory")));
}
