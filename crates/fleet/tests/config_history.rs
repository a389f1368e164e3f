//! Routers that hold a recent configuration get the difference to the newest one.

use bamboospur_fleet::ConfigHistory;
use bamboospur_group::{Change, Document};
use bamboospur_types::mix64;

/// Returns a version of a large configuration; versions differ in one line.
fn document(version: u64) -> Document {
    let mut lines: Vec<String> = (0..1_000)
        .map(|line| format!("route {} to {}", mix64(line), mix64(line + 5_000)))
        .collect();
    lines[usize::try_from(version % 1_000).expect("a small number")] = format!("v{version}");
    Document::new(version, lines.join("\n").as_bytes())
}

fn history(versions: impl Iterator<Item = u64>) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    for version in versions {
        history.push(document(version), None);
    }
    history
}

#[test]
fn a_router_behind_by_some_versions_gets_a_small_change() {
    let mut sender = history(1..=20);
    for held in 14..20 {
        let mut receiver = history(1..=held);
        let change = sender.change_from(held).expect("a change");
        assert!(change.size_bytes() < 1_000, "{} bytes", change.size_bytes());
        let document = receiver.document_after(&change).expect("a document");
        receiver.push(document, Some(&change));
        assert_eq!(receiver.version(), 20);
    }
}

#[test]
fn a_router_without_a_known_version_gets_the_whole() {
    let mut sender = history(1..=20);
    for held in [0, 3] {
        let change = sender.change_from(held).expect("a change");
        assert!(matches!(change, Change::Whole(_)));
        let receiver = history(held..=held);
        assert_eq!(receiver.document_after(&change), Some(document(20)));
    }
    assert_eq!(sender.change_from(20), None);
    assert_eq!(sender.change_from(21), None);
    assert_eq!(ConfigHistory::default().change_from(0), None);
}

#[test]
fn a_version_never_goes_back_and_a_patch_needs_its_base() {
    let mut sender = history(1..=5);
    let patch = sender.change_from(4).expect("a change");
    let mut receiver = history(1..=3);
    assert_eq!(receiver.document_after(&patch), None);
    receiver.push(document(7), None);
    assert_eq!(receiver.document_after(&patch), None);
    receiver.push(document(6), None);
    assert_eq!(receiver.version(), 7);
}
