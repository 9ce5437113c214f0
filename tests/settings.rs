//! Validation of the settings at start: unusual but valid values are accepted, and an invalid value ends the process
//! with the path of the offending field in the log.

mod peers;
use peers::*;
use std::process::{Command, Stdio};

/// Returns the configuration of the scenario tests with the value at `path` replaced, or removed if `value` is `None`.
fn config_with(path: &str, value: Option<&str>) -> String {
    let discovery = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut config: serde_json::Value =
        serde_json::from_str(&config_at(discovery, 1024, "null")).expect("a value");
    let pointer = format!("/{}", path.replace(['.', '['], "/").replace(']', ""));
    let (parent, name) = pointer.rsplit_once('/').expect("a path");
    let parent = config.pointer_mut(parent).expect("a parent");
    match (value.map(|text| serde_json::from_str(text).expect("a value")), name.parse::<usize>()) {
        (Some(value), Ok(index)) => parent[index] = value,
        (Some(value), Err(_)) => parent[name] = value,
        (None, _) => _ = parent.as_object_mut().expect("an object").remove(name),
    }
    config.to_string()
}

/// Each invalid value makes the process exit with an error that names the path of the field.
#[test]
fn an_invalid_value_ends_the_start_with_its_path() {
    let invalid_values = [
        ("listen", Some("7")),
        ("seed", Some("\"no hex\"")),
        ("limits.sockets", Some("-1")),
        ("limits.memory_mb", None),
        ("settings.classes", Some("[]")),
        ("settings.classes[1].deadline", Some("0")),
        ("settings.classes[0].aim", Some("\"soon\"")),
        ("settings.classes[0].idempotency", Some("\"often\"")),
        ("settings.classes[1].group", Some("\"street\"")),
        ("settings.classes[1].repeat_window", Some("-1")),
        ("settings.membership_mode", Some("\"shout\"")),
        ("settings.n_instances", Some("0")),
        ("settings.period", Some("-0.1")),
        ("settings.bounds.max_attempts", Some("0")),
        ("settings.bounds.connect_timeout", Some("0")),
        ("settings.bounds.conn_idle", Some("-3")),
        ("settings.domain.unit_mean", Some("-1")),
        ("settings.domain.cold_units", Some("-1")),
        ("settings.guarantees.drain_grace", Some("-0.25")),
        ("settings.guarantees.fall", Some("null")),
        ("settings.guarantees.warm_within", Some("-2")),
        ("settings.service_levels[1].weight", Some("-1")),
        ("settings.service_levels[0].limit_burst", Some("-1")),
        ("settings.service_levels[0].reserve", Some("true")),
    ];
    for (path, value) in invalid_values {
        let folder = std::env::temp_dir().join(format!("flaxgap-bad-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("config.json"), config_with(path, value)).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxgap"));
        command.env("LB_CONFIG", folder.join("config.json")).env("TMPDIR", &folder).stderr(Stdio::piped());
        let output = command.spawn().expect("it starts").wait_with_output().expect("it ends");
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{path}: {log}");
        // For a missing field, the parser's error names only the enclosing object.
        let (parent, _) = path.rsplit_once('.').unwrap_or((path, ""));
        let expected = if value.is_none() { parent } else { path };
        assert!(log.contains(expected), "{path}: {log}");
        std::fs::remove_dir_all(folder).expect("removed");
    }
}

/// With each unusual but valid value, a head starts, serves a read and a write, and shuts down cleanly.
#[test]
fn an_unusual_value_is_accepted() {
    let unusual_values = [
        ("settings.period", Some("0")),
        ("settings.period", Some("0.05")),
        ("settings.classes[1].repeat_window", Some("0")),
        ("settings.classes[1].repeat_window", Some("1e300")),
        ("settings.classes[1].repeat_window", None),
        ("settings.classes[1].group", None),
        ("settings.classes[0].deadline", Some("0.15")),
        ("settings.classes[0].deadline", Some("1e300")),
        ("settings.classes[0].aim", Some("90")),
        ("settings.classes[0].worth", Some("0")),
        ("settings.bounds.conn_idle", Some("0.001")),
        ("settings.bounds.connect_timeout", Some("900")),
        ("settings.bounds.max_attempts", Some("1")),
        ("settings.bounds.cancel", Some("false")),
        ("settings.bounds.second_copies", Some("true")),
        ("settings.guarantees.drain_grace", Some("0")),
        ("settings.guarantees.drain_grace", Some("30")),
        ("settings.guarantees.cold_from", Some("1")),
        ("settings.n_instances", Some("1024")),
        ("settings.zones", Some("[]")),
        ("settings.report", Some("{\"names\":[],\"source\":\"none\"}")),
        ("settings.membership_mode", Some("\"ask\"")),
        ("settings.domain.use_period", Some("0")),
        ("settings.service_levels[1].reserve", Some("0")),
        ("settings.service_levels[1].weight", Some("0")),
        ("settings.something_new", Some("{\"of\":[1,2]}")),
    ];
    for (path, value) in unusual_values {
        let node = Brick::start(|_, _| Step::Serve(b"served".to_vec()));
        let discovery = Discovery::start(&[entry("s-1", node.address, 0, "ready")]);
        let text = config_with(path, value).replace("127.0.0.1:9\"", &format!("{}\"", discovery.address));
        let mut head = Head::start_text(&text, None, &[]);
        let mut client = Client::new(head.http);
        let read = Client::request("play-fetch", "network", 1, 2.0, 0);
        assert_eq!(client.ask(&read, b"").body, b"served", "{path}: {value:?}");
        let write = Client::request("episode-save", "network", 1, 2.0, 3);
        assert_eq!(client.ask(&write, b"abc").body, b"served", "{path}: {value:?}");
        drop(client);
        head.signal("-TERM");
        assert!(head.ended(), "{path}: {value:?}");
    }
}
