//! The format of the exclusions file, `flaxgap-NAME.bans`. It must not change: during an upgrade, older and newer processes
//! read each other's files.

use flaxgap::exclusions::Exclusions;
use std::path::PathBuf;

/// An exclusions file as written by the release of December 2026.
const STORED: &str = r#"{"out":["s-1","s-4"],"back":{"s-2":1764667000.5}}"#;

/// Creates a folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("flaxgap-exclusions-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_stored_file_is_read() {
    let folder = folder("read");
    std::fs::write(folder.join("flaxgap-n0.bans"), STORED).expect("written");
    let exclusions = Exclusions::load(Some(&folder), "n0");
    assert!(exclusions.contains("s-1") && exclusions.contains("s-4"));
    assert!(!exclusions.contains("s-2"));
    assert_eq!(exclusions.readmitted_at("s-2"), Some(1_764_667_000.5));
    assert_eq!(exclusions.readmitted_at("s-1"), None);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_written_file_has_the_stored_format() {
    let folder = folder("written");
    let exclusions = Exclusions::load(Some(&folder), "n0");
    let now = 1_764_667_000.5;
    for name in ["s-4", "s-2", "s-1"] {
        exclusions.exclude(name, now).expect("saved");
    }
    exclusions.readmit("s-2", now).expect("saved");
    let written = std::fs::read_to_string(folder.join("flaxgap-n0.bans")).expect("a file");
    assert_eq!(written, STORED);
    std::fs::remove_dir_all(folder).expect("removed");
}
