//! The literal form of the file of exclusions, `flaxgap-NAME.bans`: an older process reads what a newer one writes,
//! and the other way round.

use flaxgap::exclusions::Exclusions;
use std::path::PathBuf;

/// A file as the revision of December 2026 wrote it.
const STORED: &str = r#"{"out":["s-1","s-4"],"back":{"s-2":1764667000.5}}"#;

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
fn what_is_written_has_the_stored_form() {
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
