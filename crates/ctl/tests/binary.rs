//! Runs the real binary against fake servers. Checks that exit codes are right, that a
//! change is made once when answers are lost, and that tokens are not printed.

#[path = "../../node/tests/support/broken_heads.rs"]
mod broken_heads;
mod common;

use std::fs;
use std::path::PathBuf;
use std::thread;

use bamboospur_ctl::Exit;
use broken_heads::{INVALID_STATUSES, invalid_field_lines};
use common::{Broken, FakeGroup, SharedGroup, run, start_server};
use strum::IntoEnumIterator;

/// Address on which nothing listens: port 1 is reserved.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn start_group() -> (SharedGroup, String) {
    let group = SharedGroup::default();
    let server = start_server(&group);
    (group, server)
}

fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder for tests can be written");
    path.display().to_string()
}

fn demo_priority(group: &SharedGroup) -> Option<u8> {
    let group = group.lock().expect("no panic");
    group.settings.tree().team("demo").map(|team| team.priority)
}

#[test]
fn exit_codes_are_distinct() {
    let numbers: std::collections::BTreeSet<u8> = Exit::iter().map(Exit::code).collect();
    assert_eq!(numbers.len(), Exit::iter().count());
}

#[test]
fn set_get_unset_and_history() {
    let (group, server) = start_group();
    let set = run(&[&server], &["set", "teams.demo.priority", "7"]);
    assert_eq!(
        (set.code, set.out.trim()),
        (0, "teams.demo.priority: accepted as revision 1")
    );
    let text = run(&[&server], &["set", "teams.demo.without_key", "run-once"]);
    assert_eq!(text.code, 0, "{}", text.err);
    let get = run(&[&server], &["get", "teams.demo.priority"]);
    assert_eq!((get.code, get.out.trim()), (0, "7"));
    let json = run(&[&server], &["--json", "get", "teams.demo.priority"]);
    let answer: serde_json::Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(
        (&answer["value"], &answer["code"], &answer["version"]),
        (&7.into(), &0.into(), &2.into())
    );
    let unset = run(&[&server], &["unset", "teams.demo"]);
    assert_eq!((unset.code, demo_priority(&group)), (0, None));
    let rollback = run(&[&server], &["rollback", "teams.demo", "2"]);
    assert_eq!(
        (rollback.code, demo_priority(&group)),
        (0, Some(7)),
        "{}",
        rollback.err
    );
    let history = run(&[&server], &["history"]);
    let audit = run(&[&server], &["audit"]);
    assert_eq!(history.out, audit.out);
    let first = "1 1970-01-01T00:00:00Z ada teams.demo.priority: unset -> 7 (ctl-";
    assert!(history.out.contains(first), "{}", history.out);
}

#[test]
fn a_change_is_sent_again_after_a_lost_answer_and_made_once() {
    let (group, server) = start_group();
    group.lock().expect("no panic").answers_to_lose = 2;
    let set = run(&[&server], &["set", "teams.demo.priority", "7"]);
    assert_eq!(set.code, 0, "{}", set.err);
    let group = group.lock().expect("no panic");
    assert_eq!(
        (group.changes_received, group.settings.tree().revision()),
        (3, 1)
    );
}

#[test]
fn a_change_without_any_answer_has_an_unknown_outcome_and_can_be_repeated() {
    let (group, server) = start_group();
    group.lock().expect("no panic").answers_to_lose = 1000;
    let set = run(&[&server], &["set", "teams.demo.priority", "7"]);
    assert_eq!(set.code, i32::from(Exit::Doubt.code()), "{}", set.err);
    let (_, rest) = set.err.split_once("--change-id ").expect("the id is named");
    let id = rest.split([',', ' ']).next().expect("an id").to_owned();
    group.lock().expect("no panic").answers_to_lose = 0;
    let again = run(
        &[&server],
        &["set", "teams.demo.priority", "7", "--change-id", &id],
    );
    assert!(
        again.out.contains("revision 1"),
        "{} {}",
        again.out,
        again.err
    );
    assert_eq!(
        group.lock().expect("no panic").settings.tree().revision(),
        1
    );
}

#[test]
fn servers_are_tried_in_turn() {
    let (group, server) = start_group();
    let leaderless = SharedGroup::default();
    leaderless.lock().expect("no panic").leaderless = true;
    let other = start_server(&leaderless);
    let set = run(
        &[CLOSED_ADDRESS, &other, &server],
        &["set", "teams.demo.priority", "3"],
    );
    assert_eq!(
        (set.code, demo_priority(&group)),
        (0, Some(3)),
        "{}",
        set.err
    );
    let none = run(
        &[CLOSED_ADDRESS, &other],
        &["set", "teams.demo.priority", "4", "--base-version", "1"],
    );
    assert_eq!(
        none.code,
        i32::from(Exit::Unreachable.code()),
        "{}",
        none.err
    );
    assert!(none.err.contains("the change was not made"), "{}", none.err);
}

#[test]
fn refusals_have_their_exit_codes() {
    let (_group, server) = start_group();
    run(&[&server], &["set", "teams.demo.priority", "1"]);
    let cases: &[(&[&str], Exit, &str)] = &[
        (
            &["set", "teams.demo.priority", "12"],
            Exit::Refused,
            "teams.demo.priority = 12",
        ),
        (
            &["set", "teams.demo.priority", "2", "--base-version", "9"],
            Exit::Conflict,
            "version 1",
        ),
        (&["get", "teams.none"], Exit::Refused, "teams.none"),
        (&["set", "nowhere", "1"], Exit::Usage, "nowhere"),
        (
            &["set", "teams.demo.priority"],
            Exit::Usage,
            "--secret-file",
        ),
        (&["fly"], Exit::Usage, "fly"),
        (
            &["--token-file", "/nonexistent", "status"],
            Exit::Usage,
            "/nonexistent",
        ),
    ];
    for (arguments, exit, named) in cases {
        let run = run(&[&server], arguments);
        assert_eq!(
            run.code,
            i32::from(exit.code()),
            "{arguments:?}: {}",
            run.err
        );
        assert!(run.err.contains(named), "{arguments:?}: {}", run.err);
    }
    let wrong = write_file("wrong-token", "another-token\n");
    let denied = run(&[&server], &["--token-file", &wrong, "get", "fleet"]);
    assert_eq!(
        denied.code,
        i32::from(Exit::Denied.code()),
        "{}",
        denied.err
    );
    assert!(!denied.err.contains("another-token"));
}

#[test]
fn wait_names_routers_that_lag_or_are_cut_off() {
    let (group, server) = start_group();
    group.lock().expect("no panic").not_in_force_answers = 3;
    let set = run(&[&server], &["set", "teams.demo.priority", "1", "--wait"]);
    assert_eq!(set.code, 0, "{}", set.err);
    assert!(set.out.contains("5 of 5 live") && set.out.contains("router-far is cut off"));
    assert!(!set.out.contains("router-slow"), "{}", set.out);
    group.lock().expect("no panic").not_in_force_answers = 1000;
    let late = run(
        &[&server],
        &[
            "set",
            "teams.demo.priority",
            "2",
            "--wait",
            "--wait-ms",
            "300",
        ],
    );
    assert_eq!(late.code, i32::from(Exit::NotInForce.code()));
    assert!(late.out.contains("4 of 5 live") && late.out.contains("router-slow lags"));
}

#[test]
fn export_diff_and_apply_use_the_same_format() {
    let (group, server) = start_group();
    let secret = write_file("secret", "a-secret-of-a-team-123\n");
    let args = ["set", "teams.demo.keys.web", "--secret-file", &secret];
    assert_eq!(run(&[&server], &args).code, 0);
    run(&[&server], &["set", "fleet.retry.attempts", "2"]);
    let export = run(&[&server], &["export"]);
    let whole = write_file("export.toml", &export.out);
    assert_eq!(run(&[&server], &["diff", &whole]).code, 0);
    let same = run(&[&server], &["apply", &whole]);
    assert_eq!(
        same.out, "fleet: unchanged\nteams.demo: unchanged\n",
        "{}",
        same.err
    );
    let changed = write_file(
        "changed.toml",
        &export.out.replace("attempts = 2", "attempts = 4"),
    );
    let diff = run(&[&server], &["diff", &changed]);
    assert_eq!(diff.code, i32::from(Exit::Different.code()), "{}", diff.err);
    assert_eq!(
        diff.out,
        "- fleet.retry.attempts = 2\n+ fleet.retry.attempts = 4\n"
    );
    let apply = run(&[&server], &["apply", &changed]);
    assert_eq!(
        apply.out, "fleet: accepted as revision 3\nteams.demo: unchanged\n",
        "{}",
        apply.err
    );
    let short = write_file("short.toml", "[fleet.retry]\nattempts = 4\n");
    let diff = run(&[&server], &["diff", &short]);
    assert_eq!(
        (diff.code, diff.out.as_str()),
        (0, ""),
        "defaults are no difference"
    );
    let redacted = run(&[&server], &["export", "teams.demo", "--redacted"]);
    assert!(redacted.out.contains("(redacted)"), "{}", redacted.out);
    let FakeGroup { settings, .. } = &*group.lock().expect("no panic");
    assert_eq!(settings.tree().fleet().retry.attempts, 4);
}

/// Answers that are no whole HTTP responses, made from the body of a whole one.
fn broken_answers() -> Vec<Broken> {
    let mut broken: Vec<Broken> = Vec::new();
    for status in INVALID_STATUSES {
        broken.push(Box::new(move |body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status} Trouble\r\nContent-Length: {length}\r\n\r\n{body}")
        }));
    }
    for line in invalid_field_lines() {
        broken.push(Box::new(move |body: &str| {
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{line}\r\n\r\n{body}")
        }));
    }
    broken.push(Box::new(|body| {
        let (length, part) = (body.len(), &body[..body.len() - 1]);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{part}")
    }));
    broken.push(Box::new(|body| {
        format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
            &body[..body.len() - 1]
        )
    }));
    broken.push(Box::new(|body| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n")
    }));
    broken
}

/// Runs a command against servers with each broken answer; returns those that it did not end with
/// `exit`.
fn runs_without(exit: Exit, arguments: &[&str]) -> Vec<String> {
    let mut failed = Vec::new();
    thread::scope(|scope| {
        let runs = broken_answers().into_iter().map(|broken| {
            let answer = broken("{\"result\":\"ok\"}");
            let run = scope.spawn(move || {
                let (group, server) = start_group();
                group.lock().expect("no panic").broken = Some(broken);
                run(&[&server], arguments)
            });
            (answer, run)
        });
        let runs: Vec<_> = runs.collect();
        for (answer, run) in runs {
            let run = run.join().expect("a run");
            if run.code != i32::from(exit.code()) || !run.out.is_empty() {
                failed.push(format!("{answer:?}: {} {} {}", run.code, run.out, run.err));
            }
        }
    });
    failed
}

/// Guards against a change that is reported as made by an answer that is none.
#[test]
fn a_change_with_a_broken_answer_has_an_unknown_outcome() {
    let arguments = ["set", "teams.demo.priority", "7", "--base-version", "0"];
    let failed = runs_without(Exit::Doubt, &arguments);
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn nothing_of_a_broken_answer_is_printed() {
    let failed = runs_without(Exit::Unreachable, &["history"]);
    assert!(failed.is_empty(), "{failed:#?}");
}
