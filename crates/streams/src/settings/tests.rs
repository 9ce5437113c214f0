//! Tests of this module's private parts.

use super::*;

#[test]
fn mistakes_are_told_with_line_and_key() {
    let listen = "listen = \"127.0.0.1:0\"\n";
    let usual = Http2::parse(listen).expect("usual");
    assert_eq!((usual.streams_each, usual.stream_window, usual.connection_window), (128, 65_536, 131_072));
    let bad = [
        ("streams_each = 0", "streams_each", "1 to 10000"),
        ("streams_each = 500\nstreams_all = 400", "streams_all", "500 to"),
        ("stream_window_kib = 256\nconnection_window_kib = 64", "connection_window_kib", "256 to"),
        ("pings_a_second = -1.0", "pings_a_second", "0.1 to"),
        ("idle_s = nan", "idle_s", "is not from"),
        ("windows = 3", "", "unknown field"),
    ];
    for (text, key, problem) in bad {
        let told = Http2::parse(&format!("{listen}{text}")).expect_err(text);
        assert!(told.key == key && told.problem.contains(problem) && told.line >= 2, "{told}");
    }
    assert!(Http2::parse("").is_err(), "it has to listen somewhere");
}
