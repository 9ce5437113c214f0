//! Export of counters to Graphite and collectd, the plug-in, and the files under deploy/, against test servers.

mod peers;
use flaxgap::metrics::counters::Counters;
use flaxgap::metrics::export::{collectd_lines, graphite_lines};
use peers::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::os::unix::net::UnixListener;

fn write_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("flaxgap-ops-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

fn start_head(node: &Brick, name: &str, text: &str) -> (Discovery, Head) {
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let path = write_file(name, text);
    let head = Head::start(&discovery, None, &[("FLAXGAP_OPS", path.to_str().expect("a path"))]);
    std::fs::remove_file(path).expect("removed");
    (discovery, head)
}

fn read_status(head: &Head) -> u16 {
    Client::new(head.http).ask(&Client::request("play-fetch", "network", 1, 2.0, 0), b"").status()
}

#[test]
fn the_formats_are_those_of_the_collectors() {
    let counters = Counters::default();
    counters.taken.add();
    insta::assert_snapshot!(format!(
        "{}{}",
        graphite_lines(&counters, "half-way-tree.n0", 1_700_000_000),
        collectd_lines(&counters, "n0", 10.0).concat()
    ));
}

#[test]
fn graphite_gets_the_counters_again_after_its_connection_broke() {
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    let graphite = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = graphite.local_addr().expect("an address");
    let text = format!("[graphite]\naddress = \"{address}\"\nprefix = \"p.n0\"\ninterval = 0.1\n");
    let (_discovery, head) = start_head(&node, "graphite", &text);
    assert_eq!(read_status(&head), 200);
    for _ in 0..2 {
        let (stream, _) = graphite.accept().expect("the head comes");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        assert!(
            lines.any(|line| line.starts_with("p.n0.served 1 ")),
            "the counters arrive, and then the test closes the connection"
        );
    }
}

#[test]
fn collectd_gets_a_putval_for_each_counter_and_its_errors_are_logged() {
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    let socket = std::env::temp_dir().join(format!("flaxgap-collectd-{}", std::process::id()));
    let collectd = UnixListener::bind(&socket).expect("a socket");
    let text = format!("[collectd]\nsocket = {socket:?}\nhost = \"n0\"\ninterval = 0.1\n");
    let (_discovery, head) = start_head(&node, "collectd", &text);
    let (stream, _) = collectd.accept().expect("the head comes");
    let mut out = stream.try_clone().expect("a handle");
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    assert_eq!(lines.next().as_deref(), Some("PUTVAL \"n0/flaxgap/derive-taken\" interval=0.1 N:0"));
    out.write_all(b"0 Success: 1 value has been dispatched.\n").expect("written");
    assert!(lines.next().expect("the next value").contains("derive-served"));
    out.write_all(b"-1 No such type.\n").expect("written");
    assert!(lines.next().is_none(), "the export ends after an error");
    wait(|| head.logged("value rejected: -1 No such type."));
    std::fs::remove_file(socket).expect("removed");
}

#[test]
fn a_script_sees_requests_and_answers_and_can_neither_decide_nor_run_without_end() {
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    let script = write_file(
        "script",
        "fn on_request(r) { if r.class == 0 { print(`seen ${r.volume} ${r.units}`) } loop { } }
         fn on_answer(r) { this.count = (this.count ?? 0) + 1; print(`answer ${this.count} ${r.answer}`); \"refuse\" }",
    );
    let text = format!("[plugin]\nscript = {script:?}\nmax_steps = 500\nmax_size = 64\n");
    let (_discovery, head) = start_head(&node, "plugin", &text);
    for _ in 0..2 {
        assert_eq!(read_status(&head), 200);
    }
    wait(|| head.logged("seen 00000000000000b2 1.0"));
    wait(|| head.logged("answer 2 served"));
    assert_eq!(head.counter("plugin_failures"), 2, "the loop was stopped each time");
    let greedy =
        write_file("greedy", "fn on_request(r) { this.all = \"\"; loop { this.all += \"0123456789\"; } }");
    let text = format!("[plugin]\nscript = {greedy:?}\nmax_steps = 100000\nmax_size = 64\n");
    let (_discovery, head) = start_head(&node, "plugin-greedy", &text);
    for _ in 0..12 {
        assert_eq!(read_status(&head), 200);
    }
    assert_eq!(head.counter("plugin_failures"), 10, "the plug-in is switched off after 10 failures");
    wait(|| head.logged("switched off"));
    for path in [script, greedy] {
        std::fs::remove_file(path).expect("removed");
    }
}

/// Guards against shipping configuration files that the program rejects, and against unclear error messages.
#[test]
fn the_files_under_deploy_are_served_and_bad_ones_are_named() {
    use flaxgap::config::operators_file::OperatorsFile;
    use flaxgap::frontend::block::config::Target;
    use flaxgap::resources::memory::MemoryBudget;
    use flaxgap::{config, plugin};
    let (settings, wire_settings) = config::read(SETTINGS.as_bytes()).expect("settings");
    let block = include_str!("../deploy/block.toml");
    assert_eq!(Target::parse(block, &settings, &wire_settings).expect("served").luns.len(), 2);
    let ops = OperatorsFile::load("deploy/ops.toml").expect("served");
    assert!(
        ops.graphite.is_none() && ops.collectd.is_none() && ops.plugin.is_none(),
        "the exports and the plug-in are off by default"
    );
    let script = "deploy/plugin.rhai".into();
    let bounds = plugin::PluginConfig { script, max_steps: 2000, max_size: 256, max_memory_mb: 4 };
    plugin::Plugin::load(&bounds, Default::default(), MemoryBudget::new(32)).expect("compiles");
    let bad = [
        ("block_size = 512", "block_size = 500"),
        ("unit_bytes = 8192", "unit_bytes = 1"),
        ("queue_depth = 32", "queue_depth = 0"),
        ("\"iqn.", "\"x."),
        ("\"network\"", "\"gold\""),
        ("lun = 1", "lun = 0"),
        ("count = 8192", "count = 18446744073709551615"),
        ("count = 8192", "count = 0"),
        ("\"00000003b4d60022\"", "\"volume\""),
        ("hosts = 1", "host = 1"),
    ];
    let problems = bad.map(|(from, to)| {
        assert!(block.contains(from), "{from}");
        let problem =
            Target::parse(&block.replace(from, to), &settings, &wire_settings).expect_err("turned down");
        problem.to_string().lines().last().unwrap_or_default().to_string()
    });
    insta::assert_debug_snapshot!(problems);
}

/// A head whose standard error nobody reads any more once it is ready.
struct UnreadHead {
    child: std::process::Child,
    http: std::net::SocketAddr,
    folder: std::path::PathBuf,
    _log: std::io::BufReader<std::process::ChildStderr>,
}

impl UnreadHead {
    fn start(discovery: &Discovery, name: &str, operators_file: Option<&std::path::Path>) -> UnreadHead {
        use std::io::BufRead;
        let folder = std::env::temp_dir().join(format!("flaxgap-unread-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("config.json"), config(discovery, 1024, "null")).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_flaxgap"));
        command.env("LB_CONFIG", folder.join("config.json")).env("RUST_LOG", "debug").env("TMPDIR", &folder);
        command.env_remove("FLAXGAP_BLOCK").env_remove("LB_OPS").env_remove("FLAXGAP_OPS");
        if let Some(path) = operators_file {
            command.env("FLAXGAP_OPS", path);
        }
        let mut child = command.stderr(std::process::Stdio::piped()).spawn().expect("the head starts");
        let mut log = std::io::BufReader::new(child.stderr.take().expect("piped"));
        let mut http = None;
        let mut line = String::new();
        while !line.contains("daemon: Ready") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "the head ended");
            if line.contains("http: listening on ") {
                http = line.trim_end().rsplit(' ').next().and_then(|address| address.parse().ok());
            }
        }
        UnreadHead { child, http: http.expect("an address"), folder, _log: log }
    }
}

impl Drop for UnreadHead {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a head that stands still in the write of a log line, with a plug-in that logs much or without one,
/// because nobody reads its standard error.
#[test]
fn a_head_whose_log_nobody_reads_answers_every_request() {
    const REQUESTS: usize = 600;
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
    let script = write_file("chatty", "fn on_request(r) { loop { print(`${r}${r}`); } }");
    let text = format!("[plugin]\nscript = {script:?}\nmax_steps = 2000\nmax_size = 256\n");
    let with_plugin = write_file("chatty-ops", &text);
    for (name, operators_file) in [("plain", None), ("plugin", Some(with_plugin.as_path()))] {
        let mut head = UnreadHead::start(&discovery, name, operators_file);
        let mut client = Client::new(head.http);
        for number in 0..REQUESTS {
            let request = Client::request("play-fetch", "network", 1, 2.0, 0);
            assert_eq!(client.ask(&request, b"").status(), 200, "{name}: request {number}");
        }
        let pid = head.child.id().to_string();
        assert!(std::process::Command::new("kill").arg(&pid).status().expect("kill").success());
        let is_clean = wait(|| head.child.try_wait().expect("a child")).success();
        assert!(is_clean, "{name}: it ends by SIGTERM");
    }
    for path in [script, with_plugin] {
        std::fs::remove_file(path).expect("removed");
    }
}

/// Guards against a plug-in that waits on the head's only thread: no call may cost a request its answer.
#[test]
fn a_script_that_sleeps_costs_no_request_its_answer() {
    let node = Brick::start(|_, _| Step::Serve(vec![]));
    for hook in ["on_request", "on_answer"] {
        let script = write_file(&format!("sleep-{hook}"), &format!("fn {hook}(r) {{ sleep(3600); }}"));
        let text = format!("[plugin]\nscript = {script:?}\nmax_steps = 2000\nmax_size = 256\n");
        let (_discovery, mut head) = start_head(&node, &format!("plugin-sleep-{hook}"), &text);
        for _ in 0..12 {
            assert_eq!(read_status(&head), 200, "{hook}");
        }
        assert_eq!(head.counter("plugin_failures"), 10, "{hook}: it is switched off after 10 failures");
        head.signal("-TERM");
        assert!(head.ended(), "{hook}: it ends by SIGTERM");
        std::fs::remove_file(script).expect("removed");
    }
}
