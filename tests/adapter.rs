//! Tests of the `flaxgap-simhost` binary: frames on its standard input, frames on its standard output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on `input` until it exits.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_flaxgap-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

/// Encodes batch 7 with these records, at 1.5 s.
fn batch(records: &[u8]) -> Vec<u8> {
    let mut frame = 7u32.to_le_bytes().to_vec();
    frame.extend((16 + records.len() as u32).to_le_bytes());
    frame.extend(1.5f64.to_le_bytes());
    frame.extend(records);
    frame
}

/// Encodes the record that starts a head with `settings`.
fn launch(settings: &str) -> Vec<u8> {
    let mut record = vec![10, 0, 0, 0, 0];
    record.extend(99u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

const SETTINGS: &str = r#"{"bounds": {"cancel": true, "max_attempts": 3}, "unheard_of": [1],
 "classes": [{"aim": 0.2, "deadline": 1.0, "idempotency": "safe", "worth": 2.0}],
 "domain": {"cold_units": 14.0, "idle_worth": 0.1, "unit_mean": 2.0, "units_top": 8, "within_share": 0.3},
 "guarantees": {"cold_from": 0.2, "fall": 2.0, "warm_within": 14.0}, "membership_mode": "push",
 "n_instances": 3, "period": 0.002, "report": {"names": ["odd"], "source": "none"}, "service_levels": []}"#;

/// Asserts that the adapter exits with an error that contains `expected`, without a panic and without output.
fn assert_fails_with(input: &[u8], expected: &str) {
    let output = run(input);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{message}");
    assert!(message.contains(expected) && !message.contains("panicked"), "{message}");
    assert!(output.stdout.is_empty());
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_clean() {
    let output = run(&batch(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [7, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0]);
    assert!(run(&[]).status.success());
}

#[test]
fn a_request_is_sent_to_the_listed_node() {
    let mut records = launch(SETTINGS);
    records.extend([110, 3, 0, 0, 0, 1, 0, 0, 0]);
    records.extend([0; 12]);
    records.extend(1.0f32.to_le_bytes());
    records.extend([10, 18, 74, 7, 43, 35, 0, 0, 1]);
    records.extend([20, 0, 0, 0, 0, 1, 0, 0, 0, 2, 3, 0, 0, 0]);
    records.extend([30, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    records.extend(77u64.to_le_bytes());
    records.extend(1.0f64.to_le_bytes());
    records.extend(3u64.to_le_bytes());
    for value in [2.0f32, 0.0, 1.0] {
        records.extend(value.to_le_bytes());
    }
    records.push(0);
    let output = run(&batch(&records));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let reply = &output.stdout[12..];
    assert_eq!(reply[..9], [10, 0, 0, 0, 0, 5, 0, 0, 0]);
    assert_eq!(reply[9..17], 2.5f64.to_le_bytes(), "dropped when the client leaves");
    assert_eq!(reply[17..23], [10, 18, 74, 7, 43, 35]);
}

#[test]
fn malformed_frames_end_with_an_error_message() {
    assert_fails_with(&[1, 2, 3], "header");
    assert_fails_with(&batch(&[])[..15], "header");
    let mut short = batch(&[]);
    short[4] = 200;
    assert_fails_with(&short, "cut short");
    short[4..8].copy_from_slice(&5u32.to_le_bytes());
    assert_fails_with(&short, "impossible length");
    short[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails_with(&short, "impossible length");
    assert_fails_with(&batch(&[200, 0, 0, 0, 0]), "unknown event code 200");
    assert_fails_with(&batch(&[60, 0, 0]), "cut short");
    assert_fails_with(&batch(&[20, 0, 0, 0, 0, 1, 0, 0, 0, 2, 3, 0, 0, 0]), "not defined");
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    assert_fails_with(&batch(&launch("no json")), "settings");
    assert_fails_with(&batch(&launch(&SETTINGS.replace("\"period\": 0.002, ", ""))), "period");
    assert_fails_with(&batch(&launch(&SETTINGS.replace("\"deadline\": 1.0", "\"deadline\": 0"))), "deadline");
    assert_fails_with(&batch(&launch(&SETTINGS.replace("\"safe\"", "\"often\""))), "idempotency");
}
