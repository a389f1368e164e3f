//! Changes of the settings from the command line.

use std::fs;
use std::thread;

use serde_json::json;

use crate::ctl::{CONFLICT, Ctl, DIFFERENT, DONE, REFUSED};
use crate::support::{Node, test_folder};

fn ctl(node: &Node) -> Ctl {
    Ctl::new(node.operators, "demo")
}

/// Guards against commands and node that differ about the API.
#[test]
fn settings_are_read_changed_compared_and_restored() {
    let node = Node::start();
    let ctl = ctl(&node);
    let set = ctl.done(&["set", "teams.demo.share.requests", "7", "--wait"]);
    assert_eq!(set["in_force"]["in_force"], 1, "{set}");
    let first = set["revision"].as_u64().expect("revision");
    assert_eq!(ctl.value("teams.demo.share.requests"), 7);

    let file = test_folder().join("branches.toml");
    fs::write(&file, "[teams.other]\npriority = 4\n").expect("file");
    let file = file.display().to_string();
    let diff = ctl.ends(DIFFERENT, &["diff", &file]).json();
    let changes = diff["changes"].as_array().expect("changes");
    assert!(
        changes
            .iter()
            .any(|change| change["path"] == "teams.other.priority"),
        "{diff}"
    );
    ctl.done(&["apply", &file, "--wait"]);
    ctl.done(&["diff", &file]);
    assert_eq!(ctl.value("teams.other.priority"), 4);

    ctl.done(&["set", "teams.demo.share.requests", "8"]);
    ctl.done(&["rollback", "teams.demo", &first.to_string(), "--wait"]);
    assert_eq!(ctl.value("teams.demo.share.requests"), 7);
    let history = ctl.done(&["history", "teams.demo"]);
    let entries = history["entries"].as_array().expect("entries");
    assert!(entries.len() >= 3, "{history}");
    assert_eq!(entries[0]["operator"], "bootstrap");

    ctl.ends(REFUSED, &["set", "teams.demo.share.requests", "many"]);
    ctl.ends(REFUSED, &["get", "teams.nobody"]);
    let status = ctl.done(&["status"]);
    assert_eq!(status["role"], "leader", "{status}");
    assert_eq!(status["violations"], 0, "{status}");
    let members = ctl.done(&["members"]);
    assert_eq!(members["members"][0]["instance"], "node-01", "{members}");
}

/// Guards against two winners with one version, and an unclear conflict.
#[test]
fn of_two_changes_with_one_version_one_wins() {
    let node = Node::start();
    let ctl = ctl(&node);
    let version = ctl.done(&["get", "teams.demo"])["version"].to_string();
    for round in 0..5 {
        let race = |value: &str| {
            let base = if round == 0 {
                version.clone()
            } else {
                ctl.done(&["get", "teams.demo"])["version"].to_string()
            };
            (base, value.to_owned())
        };
        let (base, first) = race("1");
        let second = "2".to_owned();
        let runs = thread::scope(|scope| {
            let runs = [first, second].map(|value| {
                let (ctl, base) = (&ctl, base.clone());
                let path = "teams.demo.priority";
                scope.spawn(move || ctl.run(&["set", path, &value, "--base-version", &base]))
            });
            runs.map(|run| run.join().expect("run"))
        });
        let mut codes = runs.each_ref().map(|run| run.code);
        codes.sort_unstable();
        assert_eq!(codes, [DONE, CONFLICT], "round {round}: {runs:?}");
        let winner = runs.iter().position(|run| run.code == DONE);
        let winner = winner.expect("winner");
        assert_eq!(ctl.value("teams.demo.priority"), json!(winner + 1));
        let present = ctl.done(&["get", "teams.demo"])["version"].to_string();
        let loser = &runs[1 - winner];
        assert!(loser.err.contains(&present), "{loser:?}");
    }
}

/// Guards against a resent change that is made again, also by a node that was
/// killed in between.
#[test]
fn a_resent_change_gets_its_first_answer() {
    let data = test_folder();
    let node = Node::builder().data_in(&data).start();
    let again = ["set", "teams.demo.priority", "3", "--change-id", "change-1"];
    let first = ctl(&node).done(&again);
    ctl(&node).done(&["set", "teams.demo.priority", "5"]);
    assert_eq!(ctl(&node).done(&again)["revision"], first["revision"]);
    node.crash();

    let node = Node::builder().data_in(&data).start();
    let ctl = ctl(&node);
    assert_eq!(ctl.done(&again)["revision"], first["revision"]);
    assert_eq!(ctl.value("teams.demo.priority"), 5);
    ctl.ends(
        REFUSED,
        &["set", "teams.demo.priority", "4", "--change-id", "change-1"],
    );
}
