//! The example settings of two sites in `examples/`.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::SystemTime;

use bamboospur_node::file;
use bamboospur_settings::{BranchName, Change, Edit, Path as TreePath, Settings, Value};
use bamboospur_types::TargetKind;

fn site(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("examples").join(name)
}

fn node_files(name: &str) -> Vec<PathBuf> {
    let folder = fs::read_dir(site(name).join("nodes")).expect("folder");
    let mut files: Vec<_> = folder.map(|entry| entry.expect("entry").path()).collect();
    files.sort();
    files
}

/// Applies all branches of the site's settings files, `fleet.toml` first.
fn apply_files(name: &str) -> Settings {
    let mut settings = Settings::default();
    for file in ["fleet.toml", "teams.toml"] {
        let text = fs::read_to_string(site(name).join(file)).expect("file");
        let Value::Table(tables) = Value::parse_toml(&text).expect("TOML") else {
            panic!("{file} is a table");
        };
        for (table, value) in tables {
            let branches = match (table.as_str(), value) {
                ("fleet", value) => vec![(BranchName::Fleet, value)],
                ("teams", Value::Table(teams)) => {
                    let teams = teams.into_iter();
                    teams.map(|(n, v)| (BranchName::Team(n), v)).collect()
                }
                (other, _) => panic!("{other} is neither fleet nor teams"),
            };
            for (branch, value) in branches {
                apply(&mut settings, branch, value);
            }
        }
    }
    settings
}

fn apply(settings: &mut Settings, branch: BranchName, value: Value) {
    let change = Change {
        id: format!("example-{}", settings.tree().revision()),
        operator: "test".to_owned(),
        path: TreePath::from_branch(branch),
        base_version: 0,
        edit: Edit::Set(value),
    };
    let answer = settings.apply(&change, SystemTime::UNIX_EPOCH);
    answer.unwrap_or_else(|refusal| panic!("{refusal:?}"));
}

/// Guards against example files that the program refuses, and against contradictions
/// between the files of one site.
#[test]
fn node_files_of_both_sites_are_valid() {
    let data_centres = [
        ("rangmahal", ["dha-hall", "gulberg-hall", "johar-hall"]),
        ("texas", ["austin-east", "austin-north", "round-rock"]),
    ];
    for (name, expected) in data_centres {
        let files = node_files(name);
        assert_eq!(files.len(), 7, "{name}");
        let mut settings = Vec::new();
        for file in &files {
            let mut command = Command::new(env!("CARGO_BIN_EXE_bamboospur"));
            let output = command.arg("--config").arg(file).arg("--check").output();
            let output = output.expect("the binary runs");
            assert!(output.status.success(), "{}: {output:?}", file.display());
            let text = fs::read_to_string(file).expect("file");
            settings.push(file::read(&text).expect("valid"));
        }
        let found: BTreeSet<_> = settings.iter().map(|s| s.data_centre.as_str()).collect();
        assert_eq!(found, BTreeSet::from(expected));
        let control: BTreeSet<_> = settings
            .iter()
            .map(|s| format!("{:?}", s.control))
            .collect();
        assert_eq!(control.len(), 1, "{name} lists one control group");
        for node in &settings {
            let mut listed = node.control.iter();
            let listed = listed.any(|member| member.name == node.name);
            assert_eq!(listed, node.data_folder.is_some(), "{}", node.name);
            assert_eq!(node.control.len(), 3);
        }
        let fleet = settings.iter().map(|s| (s.addresses.fleet, &s.data_centre));
        let fleet: BTreeMap<_, _> = fleet.collect();
        assert_eq!(fleet.len(), 7, "{name} has an address for each node");
        for node in &settings {
            let mut joined = BTreeSet::new();
            for seed in &node.seeds {
                let named = seed.data_centre.as_ref().unwrap_or(&node.data_centre);
                assert_eq!(fleet.get(&seed.address), Some(&named), "{}", node.name);
                joined.insert(named.as_str());
            }
            assert_eq!(joined, BTreeSet::from(expected), "{}", node.name);
        }
    }
}

/// Guards against example branches that a fleet refuses, and against examples that let
/// requests be retried which must run at most once.
#[test]
fn branches_of_both_sites_are_valid() {
    let rangmahal = apply_files("rangmahal");
    let fleet = rangmahal.tree().fleet();
    assert_eq!(fleet.pools["description"].kind, TargetKind::Engine);
    let desk = &fleet.pools["script-desk"].not_repeatable;
    assert!(desk.iter().any(|rule| rule.matches("POST", "/scripts")));
    assert!(!desk.iter().any(|rule| rule.matches("GET", "/scripts")));
    assert_eq!(rangmahal.tree().teams().count(), 10);

    let texas = apply_files("texas");
    let fleet = texas.tree().fleet();
    assert_eq!(fleet.pools["language"].kind, TargetKind::Engine);
    let records = &fleet.pools["records"].not_repeatable;
    for method in ["GET", "POST", "PUT", "DELETE"] {
        assert!(records.iter().any(|rule| rule.matches(method, "/a/b")));
    }
    assert_eq!(texas.tree().teams().count(), 10);
}
