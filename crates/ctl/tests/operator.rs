//! Checks what each operator role may do, that ambiguous requests are refused, and that
//! answers carry the right result codes.

use std::time::UNIX_EPOCH;

use bamboospur_control::operator::{
    Action, ApplyRequest, AuthorizationError, ChangeRequest, MembersRequest, authorize,
    change_response, read_tree,
};
use bamboospur_control::{MemberError, Reply, Response};
use bamboospur_settings::{BranchName, Change, Edit, KeyHash, Settings, Value};
use bamboospur_types::{Outcome, ResultCode};

fn settings() -> Settings {
    let operator = |name: &str| {
        let hash = KeyHash::from_secret(&format!("{name}-token"));
        format!("[operators.{name}]\ntoken_hash = \"{hash}\"\nrole = \"{name}\"\n")
    };
    let text = ["viewer", "editor", "admin"].map(operator).concat();
    let mut settings = Settings::default();
    let change = Change {
        id: "first".to_owned(),
        operator: "initial".to_owned(),
        path: "fleet".parse().expect("a path"),
        base_version: 0,
        edit: Edit::Set(Value::parse_toml(&text).expect("TOML")),
    };
    settings.apply(&change, UNIX_EPOCH).expect("valid");
    settings
}

#[test]
fn roles_limit_what_operators_may_do() {
    let settings = settings();
    let team = Action::Change(BranchName::Team("demo".to_owned()));
    let fleet = Action::Change(BranchName::Fleet);
    let cases = [
        (Action::Read, [true, true, true]),
        (team, [false, true, true]),
        (Action::Drain, [false, true, true]),
        (Action::ReadSecrets, [false, false, true]),
        (fleet, [false, false, true]),
        (Action::Members, [false, false, true]),
    ];
    for (action, allowed) in cases {
        for (name, allowed) in ["viewer", "editor", "admin"].into_iter().zip(allowed) {
            let token = KeyHash::from_secret(&format!("{name}-token"));
            let access = authorize(settings.tree(), &token, None, &action);
            assert_eq!(access.is_ok(), allowed, "{name} {action:?}");
        }
    }
}

#[test]
fn the_initial_token_works_only_without_operators() {
    let token = KeyHash::from_secret("initial");
    let empty = Settings::default();
    let access = authorize(empty.tree(), &token, Some(&token), &Action::Members);
    assert_eq!(access.expect("an admin").operator, "bootstrap");
    assert!(authorize(empty.tree(), &token, None, &Action::Read).is_err());
    let later = authorize(settings().tree(), &token, Some(&token), &Action::Read);
    assert_eq!(later, Err(AuthorizationError::UnknownToken));
}

#[test]
fn a_change_needs_a_value_or_unset() {
    let request = |text: &str| serde_json::from_str::<ChangeRequest>(text);
    let start = r#"{"change_id":"c","path":"teams.demo.priority","base_version":0"#;
    for (rest, valid) in [
        (r#","value":3}"#, true),
        (r#","unset":true}"#, true),
        ("}", false),
        (r#","value":3,"unset":true}"#, false),
    ] {
        let request = request(&format!("{start}{rest}")).expect("JSON");
        assert_eq!(request.into_change("ada").is_ok(), valid, "{rest}");
    }
    request(&format!("{start},\"values\":3}}")).expect_err("an unknown field");
    request(&format!("{start},\"value\":1.5}}")).expect_err("a fraction");
    let part = ApplyRequest {
        change_id: "c".to_owned(),
        path: "teams.demo.share".to_owned(),
        base_version: 0,
        toml: String::new(),
    };
    part.into_change("ada").expect_err("not a whole branch");
    let add = serde_json::from_str::<MembersRequest>(r#"{"action":"add","instance":"i"}"#);
    add.expect("JSON").to_change().expect_err("no disk");
}

#[test]
fn answers_carry_result_codes_and_outcomes() {
    let tree = settings();
    let found = read_tree(tree.tree(), "fleet.operators", false);
    let text = serde_json::to_string(&found).expect("JSON");
    let head = r#"{"code":0,"result":"ok","version":1,"revision":1,"value":{"admin":"#;
    assert!(
        text.starts_with(head) && text.contains("(redacted)"),
        "{text}"
    );
    let missing = read_tree(tree.tree(), "teams.demo", false);
    assert_eq!((missing.head.code, missing.version), (805, 0));
    assert_eq!(
        read_tree(tree.tree(), "no.path", false).head.result,
        ResultCode::BadRequest
    );
    let unknown = change_response("c", &Err(MemberError::OutcomeUnknown));
    assert_eq!(
        unknown.head.result.outcome(),
        Outcome::Unknown,
        "an unknown outcome is reported as not run"
    );
    let skipped = change_response("c", &Ok(Response::Applied(Reply::Skipped)));
    assert_eq!(skipped.head.result, ResultCode::Internal);
}
