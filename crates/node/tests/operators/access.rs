//! Who may do what.

use bamboospur_settings::KeyHash;
use bamboospur_types::ResultCode;

use crate::ctl::{Ctl, DENIED, assert_not_printed};
use crate::fleet::Fleet;
use crate::support::{Caller, Node};

const PATHS: [(&str, &str); 12] = [
    ("GET", "/control/tree"),
    ("GET", "/control/tree?path=fleet&secrets=true"),
    ("POST", "/control/change"),
    ("POST", "/control/apply"),
    ("GET", "/control/history"),
    ("POST", "/control/rollback"),
    ("GET", "/control/status"),
    ("GET", "/control/members"),
    ("POST", "/control/members"),
    ("POST", "/control/drain"),
    ("GET", "/control/in-force"),
    ("GET", "/status"),
];

fn send(caller: &Caller, method: &str, path: &str) -> crate::support::Answer {
    match method {
        "GET" => caller.get(path),
        _ => caller.post(path, "{}"),
    }
}

fn add(ctl: &Ctl, name: &str, token: &str, role: &str) {
    let value = format!(
        "{{ token_hash = \"{}\", role = \"{role}\" }}",
        KeyHash::from_secret(token)
    );
    ctl.done(&["set", &format!("fleet.operators.{name}"), &value]);
}

/// Guards against a path that answers a stranger, or one with a wrong token.
#[test]
fn strangers_read_nothing() {
    let fleet = Fleet::start(1, 0);
    let operators = fleet.control[0].operators;
    let stranger = Caller::new(operators).with_header("authorization", "");
    let wrong = Caller::new(operators).with_header("authorization", "Bearer wrong");
    for (method, path) in PATHS {
        for caller in [&stranger, &wrong] {
            let answer = send(caller, method, path);
            assert_eq!(answer.status, 401, "{method} {path}: {}", answer.body);
            let code = ResultCode::Unauthenticated.number();
            assert_eq!(answer.json()["code"], code, "{method} {path}");
            let fields = answer.json().as_object().expect("object").len();
            assert_eq!(fields, 3, "{method} {path}: {}", answer.body);
        }
    }
    assert_eq!(stranger.get("/healthz").status, 200);
    assert_eq!(stranger.get("/readyz").status, 200);
    let run = Ctl::new(operators, "wrong").ends(DENIED, &["get", "fleet"]);
    let code = ResultCode::Unauthenticated.number();
    assert_eq!(run.json()["code"], code, "{run:?}");
}

/// Guards against a first token that stays an admin beside real operators, and
/// against roles that are not checked.
#[test]
fn roles_bound_what_operators_do() {
    let node = Node::start();
    let first = Ctl::new(node.operators, "demo");
    add(&first, "ada", "token-of-ada", "admin");
    let entry = &Ctl::new(node.operators, "token-of-ada").done(&["history"])["entries"][0];
    assert_eq!(entry["operator"], "bootstrap");
    first.ends(DENIED, &["get", "fleet"]);

    let admin = Ctl::new(node.operators, "token-of-ada");
    add(&admin, "vera", "token-of-vera", "viewer");
    add(&admin, "edith", "token-of-edith", "editor");
    let viewer = Ctl::new(node.operators, "token-of-vera");
    let editor = Ctl::new(node.operators, "token-of-edith");
    viewer.done(&["get", "teams.demo"]);
    viewer.ends(DENIED, &["set", "teams.demo.priority", "3"]);
    viewer.ends(DENIED, &["drain", "node-01"]);
    viewer.ends(DENIED, &["export"]);
    editor.done(&["set", "teams.demo.priority", "3"]);
    editor.ends(DENIED, &["set", "fleet.balancer_drain_ms", "1"]);
    editor.ends(DENIED, &["members", "remove", "node-01"]);
    admin.done(&["set", "fleet.balancer_drain_ms", "1"]);

    viewer.done(&["get", "fleet"]);
    viewer.done(&["history"]);
    for secret in ["token-of-ada", "token-of-vera", "token-of-edith"] {
        assert_not_printed(secret);
        assert_not_printed(&KeyHash::from_secret(secret).to_string());
        assert!(!node.log().contains(secret), "{}", node.log());
        let hash = KeyHash::from_secret(secret).to_string();
        assert!(!node.log().contains(&hash), "{}", node.log());
    }
}
