//! Tests of the validation of the `[http2]` table.

use super::*;

#[test]
fn errors_name_the_line_and_the_key() {
    let listen = "listen = \"127.0.0.1:0\"\n";
    let defaults = Http2::parse(listen).expect("valid");
    assert_eq!(
        (defaults.max_streams_per_connection, defaults.stream_window_bytes, defaults.connection_window_bytes),
        (128, 65_536, 131_072)
    );
    let bad = [
        ("streams_each = 0", "streams_each", "1 to 10000"),
        ("streams_each = 500\nstreams_all = 400", "streams_all", "500 to"),
        ("stream_window_kib = 256\nconnection_window_kib = 64", "connection_window_kib", "256 to"),
        ("pings_a_second = -1.0", "pings_a_second", "0.1 to"),
        ("idle_s = nan", "idle_s", "is not from"),
        ("windows = 3", "", "unknown field"),
    ];
    for (text, key, problem) in bad {
        let error = Http2::parse(&format!("{listen}{text}")).expect_err(text);
        assert!(error.key == key && error.problem.contains(problem) && error.line >= 2, "{error}");
    }
    assert!(Http2::parse("").is_err(), "`listen` is required");
}
