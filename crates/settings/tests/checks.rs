//! Guards against invalid settings that are accepted, and against refusals that
//! lack path, value or remedy or show a secret.

mod common;

use bamboospur_settings::{Accepted, AuditQuery, Edit, KeyHash, Refusal, Settings, Value};
use bamboospur_types::ResultCode;
use common::{at, change};

/// Sets a TOML value, based on the current version of its branch.
fn set(settings: &mut Settings, path: &str, toml: &str) -> Result<Accepted, Refusal> {
    let table = Value::parse_toml(&format!("v = {toml}")).expect("test values are valid");
    let Value::Table(mut table) = table else {
        unreachable!("a document is a table")
    };
    let value = table.remove("v").expect("the document has one value");
    let id = format!("set-{}", settings.tree().revision());
    let mut change = change(&id, path, 0, Edit::Set(value));
    change.base_version = settings.tree().version(&change.path.branch);
    settings.apply(&change, at(1000))
}

const FLEET: &str = r#"{
    pools = { gpu = { kind = "engine" }, records = { kind = "service", not_repeatable = ["POST /*"] } },
    models = { chat = { pool = "gpu", versions = { "1.2" = { replicas = 2, adapters = ["legal"] }, "1.3" = {} } } },
    operators = { ada = { token_hash = "1111111111111111111111111111111111111111111111111111111111111111", role = "admin" } },
}"#;

fn fleet() -> Settings {
    let mut settings = Settings::default();
    set(&mut settings, "fleet", FLEET).expect("the test fleet is valid");
    settings
}

const HASH: &str = "\"2222222222222222222222222222222222222222222222222222222222222222\"";

/// Path, value, and texts that the refusal has to contain.
const REFUSED: &[(&str, &str, [&str; 3])] = &[
    (
        "teams.demo.share.requests",
        "0",
        ["teams.demo.share.requests", "= 0", "from 1"],
    ),
    (
        "teams.demo.share.requests",
        "\"x\"",
        ["teams.demo.share.requests", "\"x\"", "u32"],
    ),
    (
        "teams.demo.share.request",
        "5",
        ["teams.demo.share", "request = 5", "expected one of"],
    ),
    (
        "teams.demo.priority",
        "12",
        ["teams.demo.priority", "= 12", "0 to 9"],
    ),
    (
        "teams.demo.priority.high",
        "1",
        ["teams.demo.priority", "= 0", "no names below it"],
    ),
    (
        "teams.demo.without_key",
        "\"maybe\"",
        ["teams.demo.without_key", "maybe", "run-once"],
    ),
    (
        "teams.demo.not_repeatable",
        "[\"POST x\"]",
        ["teams.demo.not_repeatable", "POST x", "METHOD /path"],
    ),
    (
        "teams.demo.models.sing",
        "{}",
        ["teams.demo.models.sing", "= sing", "fleet.models"],
    ),
    (
        "teams.demo.models.chat",
        "{ versions = [\"9\"] }",
        [
            "teams.demo.models.chat.versions",
            "= 9",
            "version of the model",
        ],
    ),
    (
        "teams.demo.models.chat",
        "{ versions = [\"1.3\"], adapters = [\"legal\"] }",
        ["models.chat.adapters", "= legal", "adapter"],
    ),
    (
        "teams.demo.keys.web",
        "\"plain-secret\"",
        ["teams.demo.keys.web", "(redacted)", "64 hexadecimal"],
    ),
    (
        "teams.\"a b\"",
        "{}",
        ["teams", "\"a b\"", "1 to 64 letters"],
    ),
    (
        "fleet.pools.gpu.load_bound_percent",
        "100",
        ["fleet.pools.gpu.load_bound_percent", "= 100", "from 101"],
    ),
    (
        "fleet.pools.gpu.kind",
        "\"car\"",
        ["fleet.pools.gpu.kind", "car", "engine"],
    ),
    (
        "fleet.models.chat.pool",
        "\"records\"",
        ["fleet.models.chat.pool", "= records", "kind \"engine\""],
    ),
    (
        "fleet.models.chat.pool",
        "\"none\"",
        ["fleet.models.chat.pool", "= none", "exists"],
    ),
    (
        "fleet.models.chat.versions.\"1.2\".replicas",
        "-1",
        ["fleet.models.chat.versions.\"1.2\".replicas", "= -1", "u32"],
    ),
    (
        "fleet.operators.ada.role",
        "\"viewer\"",
        ["fleet.operators", "no admin", "keep one operator"],
    ),
    (
        "fleet.retry.backoff_cap_ms",
        "1",
        ["fleet.retry.backoff_cap_ms", "= 1", "from 50"],
    ),
];

#[test]
fn refusals_name_path_value_and_remedy() {
    for (path, value, named) in REFUSED {
        let mut settings = fleet();
        let before = settings.tree().clone();
        let refusal = set(&mut settings, path, value).expect_err(path);
        assert_eq!(refusal.code, ResultCode::InvalidChange, "{path}");
        for part in named {
            let message = &refusal.message;
            assert!(
                message.contains(part),
                "{path} = {value}: {message:?} lacks {part:?}"
            );
        }
        assert_eq!(
            settings.tree(),
            &before,
            "{path} = {value} changed the tree"
        );
    }
}

#[test]
fn a_long_wrong_value_does_not_hide_the_remedy() {
    let mut settings = fleet();
    let value = format!("\"{}\"", "x".repeat(5000));
    let refusal = set(&mut settings, "teams.demo.share.requests", &value).expect_err("no number");
    assert!(refusal.message.contains("u32"), "{}", refusal.message);
    assert!(refusal.message.len() < 400);
}

#[test]
fn a_misplaced_secret_is_not_shown() {
    let mut settings = fleet();
    let paths = [
        "teams.demo",
        "teams.demo.keys",
        "teams.demo.keys.web",
        "fleet.operators.ada",
    ];
    for path in paths {
        for value in ["\"plain-secret\"", "[\"plain-secret\"]"] {
            let refusal = set(&mut settings, path, value).expect_err("no such type");
            let text = format!("{refusal:?}");
            assert!(!text.contains("plain-secret"), "{text}");
        }
    }
}

#[test]
fn a_version_in_use_cannot_be_removed() {
    let mut settings = fleet();
    set(
        &mut settings,
        "teams.demo.models.chat.versions",
        "[\"1.3\"]",
    )
    .expect("valid");
    let path = "fleet.models.chat.versions.\"1.3\"";
    let refusal = settings.apply(&change("x", path, 1, Edit::Unset), at(2000));
    let message = refusal.expect_err("team demo uses it").message;
    assert!(
        message.contains("teams.demo.models.chat.versions = 1.3"),
        "{message}"
    );
}

#[test]
fn a_key_belongs_to_one_team() {
    let mut settings = fleet();
    set(&mut settings, "teams.a.keys.web", HASH).expect("valid");
    let message = set(&mut settings, "teams.b.keys.api", HASH)
        .expect_err("another team has the key")
        .message;
    assert!(
        message.contains("teams.b.keys.api") && message.contains("team a"),
        "{message}"
    );
    let hash: KeyHash = HASH.trim_matches('"').parse().expect("a hash");
    let owner = settings.tree().team_by_key(&hash).map(|(name, _)| name);
    assert_eq!(owner, Some("a"));
    let unset = change("y", "teams.a", 2, Edit::Unset);
    settings.apply(&unset, at(2000)).expect("valid");
    assert!(settings.tree().team_by_key(&hash).is_none());
    set(&mut settings, "teams.b.keys.api", HASH).expect("the key is free again");
}

#[test]
fn hashes_are_shown_only_when_asked_for() {
    let mut settings = fleet();
    set(
        &mut settings,
        "teams.demo",
        &format!("{{ keys = {{ web = {HASH} }} }}"),
    )
    .expect("valid");
    set(
        &mut settings,
        "teams.demo.keys.web",
        &HASH.replace('2', "3"),
    )
    .expect("valid");
    let path = "teams.demo".parse().expect("a path");
    let shown = settings
        .tree()
        .value_at(&path, false)
        .expect("set")
        .to_toml_text();
    let full = settings
        .tree()
        .value_at(&path, true)
        .expect("set")
        .to_toml_text();
    assert!(
        !shown.contains("3333") && full.contains("3333"),
        "{shown} {full}"
    );
    let fleet = "fleet.operators.ada".parse().expect("a path");
    let shown = settings
        .tree()
        .value_at(&fleet, false)
        .expect("set")
        .to_toml_text();
    assert!(!shown.contains("1111"), "{shown}");
    for entry in settings.audit(&AuditQuery::default()) {
        let text = format!("{entry:?}");
        let secret = ["1111", "2222", "3333"]
            .iter()
            .any(|part| text.contains(part));
        assert!(!secret, "{text}");
    }
}

#[test]
fn a_change_id_is_not_reused_for_another_change() {
    let mut settings = fleet();
    let set_to = |value| Edit::Set(Value::Integer(value));
    let first = change("id", "teams.demo.priority", 0, set_to(1));
    settings.apply(&first, at(1)).expect("valid");
    let other = change("id", "teams.demo.priority", 2, set_to(2));
    let refusal = settings.apply(&other, at(2)).expect_err("another change");
    assert!(refusal.message.contains("new id"), "{refusal:?}");
    let mut other_operator = first.clone();
    other_operator.operator = "eve".to_owned();
    settings
        .apply(&other_operator, at(3))
        .expect_err("another operator");
    assert_eq!(settings.tree().revision(), 2);
}

#[test]
fn history_and_answers_stay_bounded() {
    let mut settings = Settings::default();
    let mut version = 0;
    for number in 0..10_000 {
        let edit = Edit::Set(Value::Integer(number % 9));
        let step = change(&format!("c{number}"), "teams.demo.priority", version, edit);
        version = settings.apply(&step, at(1)).expect("valid").revision;
    }
    let audit = settings.audit(&AuditQuery::default());
    assert_eq!(audit.len(), bamboospur_settings::MAX_HISTORY_ENTRIES);
    assert!(settings.changes_since(version - 1024).branches.len() == 1);
    assert!(settings.changes_since(version - 1025).full);
    let late = change(
        "c9999",
        "teams.demo.priority",
        version - 1,
        Edit::Set(Value::Integer(0)),
    );
    assert_eq!(
        settings.apply(&late, at(2)).expect("remembered").revision,
        version
    );
    let forgotten = change("c0", "teams.demo.priority", 0, Edit::Set(Value::Integer(0)));
    let refusal = settings
        .apply(&forgotten, at(3))
        .expect_err("its version is gone");
    assert_eq!(refusal.code, ResultCode::VersionConflict);
}
