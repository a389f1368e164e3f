//! Changes of the settings with `bamboospurctl`.

use std::fs;
use std::thread;

use serde_json::json;

use crate::ctl::{Ctl, EXIT_CONFLICT, EXIT_DIFFERENT, EXIT_REFUSED, EXIT_SUCCESS};
use crate::support::{Node, test_folder};

fn ctl(node: &Node) -> Ctl {
    Ctl::new(node.operators, "demo")
}

/// Guards against a command line that does not fit the API of the node.
#[test]
fn settings_are_read_changed_compared_and_restored() {
    let node = Node::start();
    let ctl = ctl(&node);
    let set = ctl.expect_success(&["set", "teams.demo.share.requests", "7", "--wait"]);
    assert_eq!(set["in_force"]["in_force"], 1, "{set}");
    let first = set["revision"].as_u64().expect("revision");
    assert_eq!(ctl.value("teams.demo.share.requests"), 7);

    let file = test_folder().join("branches.toml");
    fs::write(&file, "[teams.other]\npriority = 4\n").expect("file");
    let file = file.display().to_string();
    let diff = ctl.expect_exit(EXIT_DIFFERENT, &["diff", &file]).json();
    let changes = diff["changes"].as_array().expect("changes");
    assert!(
        changes
            .iter()
            .any(|change| change["path"] == "teams.other.priority"),
        "{diff}"
    );
    ctl.expect_success(&["apply", &file, "--wait"]);
    ctl.expect_success(&["diff", &file]);
    assert_eq!(ctl.value("teams.other.priority"), 4);

    ctl.expect_success(&["set", "teams.demo.share.requests", "8"]);
    ctl.expect_success(&["rollback", "teams.demo", &first.to_string(), "--wait"]);
    assert_eq!(ctl.value("teams.demo.share.requests"), 7);
    let history = ctl.expect_success(&["history", "teams.demo"]);
    let entries = history["entries"].as_array().expect("entries");
    assert!(entries.len() >= 3, "{history}");
    assert_eq!(entries[0]["operator"], "bootstrap");

    ctl.expect_exit(EXIT_REFUSED, &["set", "teams.demo.share.requests", "many"]);
    ctl.expect_exit(EXIT_REFUSED, &["get", "teams.nobody"]);
    let status = ctl.expect_success(&["status"]);
    assert_eq!(status["role"], "leader", "{status}");
    assert_eq!(status["violations"], 0, "{status}");
    let members = ctl.expect_success(&["members"]);
    assert_eq!(members["members"][0]["instance"], "node-01", "{members}");
}

/// Guards against two accepted changes with the same base version, and against a
/// conflict message that doesn't name the present version.
#[test]
fn of_two_changes_with_the_same_base_version_one_is_accepted() {
    let node = Node::start();
    let ctl = ctl(&node);
    let version = ctl.expect_success(&["get", "teams.demo"])["version"].to_string();
    for round in 0..5 {
        let race = |value: &str| {
            let base = if round == 0 {
                version.clone()
            } else {
                ctl.expect_success(&["get", "teams.demo"])["version"].to_string()
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
        assert_eq!(
            codes,
            [EXIT_SUCCESS, EXIT_CONFLICT],
            "round {round}: {runs:?}"
        );
        let winner = runs.iter().position(|run| run.code == EXIT_SUCCESS);
        let winner = winner.expect("winner");
        assert_eq!(ctl.value("teams.demo.priority"), json!(winner + 1));
        let present = ctl.expect_success(&["get", "teams.demo"])["version"].to_string();
        let loser = &runs[1 - winner];
        assert!(loser.stderr.contains(&present), "{loser:?}");
    }
}

/// Guards against a resent change that is applied again, also after a crash of the
/// node.
#[test]
fn a_resent_change_gets_its_first_answer() {
    let data = test_folder();
    let node = Node::builder().data_in(&data).start();
    let again = ["set", "teams.demo.priority", "3", "--change-id", "change-1"];
    let first = ctl(&node).expect_success(&again);
    ctl(&node).expect_success(&["set", "teams.demo.priority", "5"]);
    assert_eq!(
        ctl(&node).expect_success(&again)["revision"],
        first["revision"]
    );
    node.crash();

    let node = Node::builder().data_in(&data).start();
    let ctl = ctl(&node);
    assert_eq!(ctl.expect_success(&again)["revision"], first["revision"]);
    assert_eq!(ctl.value("teams.demo.priority"), 5);
    ctl.expect_exit(
        EXIT_REFUSED,
        &["set", "teams.demo.priority", "4", "--change-id", "change-1"],
    );
}
