//! The settings file and the command line.

mod support;

use std::fs;
use std::process::{Command, Output};
use std::time::Duration;

use bamboospur_node::file;

const BAD: &str = "name = 7\nextra = 1\n\n[limits]\nconnections = 0\ndrain_ms = \"x\"\n\
                   [addresses]\ncallers = \"nowhere\"\n";

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboospur"));
    command.args(arguments).output().expect("the binary runs")
}

/// Guards against a check that reports only the first invalid key.
#[test]
fn every_bad_key_is_named_with_its_line() {
    let problems = file::read(BAD).expect_err("bad settings");
    let named: Vec<_> = problems.iter().map(|p| (p.line, p.key.as_str())).collect();
    let expected = [
        (1, "name"),
        (2, "extra"),
        (5, "limits.connections"),
        (6, "limits.drain_ms"),
        (8, "addresses.callers"),
    ];
    assert_eq!(named, expected);
}

#[test]
fn text_that_is_not_toml_is_named_with_its_line() {
    let problems = file::read("name = \"a\"\nseeds = [\n").expect_err("bad settings");
    assert!(problems.iter().any(|p| p.line >= 2), "{problems:?}");
}

#[test]
fn valid_settings_are_read() {
    let text = "name = \"a\"\n[limits]\ndrain_ms = 1500\n[addresses]\ncallers = \"[::1]:80\"\n";
    let settings = file::read(text).expect("valid settings");
    assert_eq!(settings.name, "a");
    assert_eq!(settings.limits.drain, Duration::from_millis(1500));
    assert!(settings.addresses.callers.is_ipv6());
}

/// Guards against treating all seeds as instances of the node's own data centre.
#[test]
fn seeds_can_be_in_other_data_centres() {
    let text = "fleet_secret_file = \"s\"\nseeds = [\"10.0.0.1:1\", \
                { address = \"10.0.0.2:1\", data_centre = \"other\" }]\n";
    let settings = file::read(text).expect("valid settings");
    let seeds = settings.seeds.iter().map(|seed| seed.data_centre.clone());
    let seeds: Vec<_> = seeds.collect();
    assert_eq!(seeds, [None, Some("other".to_owned())]);
    let bad = text.replace("data_centre", "zone");
    let problems = file::read(&bad).expect_err("bad settings");
    assert_eq!(problems[0].key, "seeds", "{problems:?}");
}

/// Guards against lists of control instances that make members form separate groups or
/// no group.
#[test]
fn bad_lists_of_control_instances_are_named() {
    let a = r#"{ name = "a", address = "10.0.0.1:1" }"#;
    let own = "name = \"a\"\ndata_folder = \"d\"\nfleet_secret_file = \"s\"\n";
    let address = "[addresses]\nfleet = \"10.0.0.1:1\"\n";
    let valid = format!("{own}control = [{a}]\n{address}");
    let settings = file::read(&valid).expect("valid settings");
    assert_eq!(settings.control.len(), 1);
    let no_folder = valid.replace("data_folder = \"d\"\n", "");
    let no_secret = valid.replace("fleet_secret_file = \"s\"\n", "");
    let bad = [
        no_folder,
        no_secret,
        format!("{own}control = [{a}]\n"),
        format!("{own}control = [{a}, {a}]\n{address}"),
        format!("{own}control = [\"10.0.0.1:1\"]\n{address}"),
    ];
    for text in bad {
        let problems = file::read(&text).expect_err(&text);
        assert_eq!(problems.len(), 1, "{problems:?}");
        assert_eq!(problems[0].key, "control", "{problems:?}");
    }
}

/// Guards against a `--check` that starts a node, writes files or misses problems.
#[test]
fn check_reports_and_changes_nothing() {
    let folder = support::test_folder();
    let bad = folder.join("bad.toml");
    fs::write(&bad, BAD).expect("write");
    let output = run(&["--check", "--config", bad.to_str().expect("path")]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).expect("UTF-8");
    for part in ["line 1: name", "line 6: limits.drain_ms"] {
        assert!(errors.contains(part), "{errors}");
    }
    let good = folder.join("good.toml");
    let data = folder.join("data");
    let text = format!("data_folder = {:?}\n", data.to_str().expect("path"));
    fs::write(&good, text).expect("write");
    let output = run(&["--check", "--config", good.to_str().expect("path")]);
    assert_eq!(output.status.code(), Some(0));
    assert!(!data.exists());
}

#[test]
fn help_and_version_are_printed() {
    let help = run(&["--help"]);
    let text = String::from_utf8(help.stdout).expect("UTF-8");
    assert!(
        text.contains("--config") && text.contains("--check"),
        "{text}"
    );
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("bamboospur "));
    assert_eq!(run(&[]).status.code(), Some(1));
}

/// Guards against settings that let the node panic at its start or at its first request.
#[test]
fn extreme_limits_are_refused() {
    for (key, value) in [
        ("connections", "9223372036854775807"),
        ("requests", "18446744073709551615"),
        ("deadline_ms", "18446744073709551615"),
        ("drain_ms", "86400001"),
        ("stall_ms", "9223372036854775807"),
    ] {
        let problems = file::read(&format!("[limits]\n{key} = {value}\n"));
        let problems = problems.expect_err("bad settings");
        assert_eq!(problems[0].line, 2, "{key}: {problems:?}");
    }
    let longest = file::read("[limits]\ndeadline_ms = 86400000\n").expect("valid settings");
    assert_eq!(longest.limits.deadline, Duration::from_hours(24));
}
