//! Authentication and roles of operators.

use bamboospur_settings::KeyHash;
use bamboospur_types::ResultCode;

use crate::ctl::{Ctl, EXIT_DENIED, assert_not_printed};
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

fn add_operator(ctl: &Ctl, name: &str, token: &str, role: &str) {
    let value = format!(
        "{{ token_hash = \"{}\", role = \"{role}\" }}",
        KeyHash::from_secret(token)
    );
    ctl.expect_success(&["set", &format!("fleet.operators.{name}"), &value]);
}

/// Guards against a path that answers a request without a token or with a wrong one.
#[test]
fn requests_without_a_valid_token_are_refused() {
    let fleet = Fleet::start(1, 0);
    let operators = fleet.control[0].operators;
    let unauthenticated = Caller::new(operators).with_header("authorization", "");
    let wrong = Caller::new(operators).with_header("authorization", "Bearer wrong");
    for (method, path) in PATHS {
        for caller in [&unauthenticated, &wrong] {
            let answer = send(caller, method, path);
            assert_eq!(answer.status, 401, "{method} {path}: {}", answer.body);
            let code = ResultCode::Unauthenticated.number();
            assert_eq!(answer.json()["code"], code, "{method} {path}");
            let fields = answer.json().as_object().expect("object").len();
            assert_eq!(fields, 3, "{method} {path}: {}", answer.body);
        }
    }
    assert_eq!(unauthenticated.get("/healthz").status, 200);
    assert_eq!(unauthenticated.get("/readyz").status, 200);
    let run = Ctl::new(operators, "wrong").expect_exit(EXIT_DENIED, &["get", "fleet"]);
    let code = ResultCode::Unauthenticated.number();
    assert_eq!(run.json()["code"], code, "{run:?}");
}

/// Guards against a bootstrap token that stays valid once operators are defined, and
/// against roles that are not checked.
#[test]
fn roles_limit_the_rights_of_operators() {
    let node = Node::start();
    let bootstrap = Ctl::new(node.operators, "demo");
    add_operator(&bootstrap, "ada", "token-of-ada", "admin");
    let entry =
        &Ctl::new(node.operators, "token-of-ada").expect_success(&["history"])["entries"][0];
    assert_eq!(entry["operator"], "bootstrap");
    bootstrap.expect_exit(EXIT_DENIED, &["get", "fleet"]);

    let admin = Ctl::new(node.operators, "token-of-ada");
    add_operator(&admin, "vera", "token-of-vera", "viewer");
    add_operator(&admin, "edith", "token-of-edith", "editor");
    let viewer = Ctl::new(node.operators, "token-of-vera");
    let editor = Ctl::new(node.operators, "token-of-edith");
    viewer.expect_success(&["get", "teams.demo"]);
    viewer.expect_exit(EXIT_DENIED, &["set", "teams.demo.priority", "3"]);
    viewer.expect_exit(EXIT_DENIED, &["drain", "node-01"]);
    viewer.expect_exit(EXIT_DENIED, &["export"]);
    editor.expect_success(&["set", "teams.demo.priority", "3"]);
    editor.expect_exit(EXIT_DENIED, &["set", "fleet.balancer_drain_ms", "1"]);
    editor.expect_exit(EXIT_DENIED, &["members", "remove", "node-01"]);
    admin.expect_success(&["set", "fleet.balancer_drain_ms", "1"]);

    viewer.expect_success(&["get", "fleet"]);
    viewer.expect_success(&["history"]);
    for secret in ["token-of-ada", "token-of-vera", "token-of-edith"] {
        assert_not_printed(secret);
        assert_not_printed(&KeyHash::from_secret(secret).to_string());
        assert!(!node.log().contains(secret), "{}", node.log());
        let hash = KeyHash::from_secret(secret).to_string();
        assert!(!node.log().contains(&hash), "{}", node.log());
    }
}
