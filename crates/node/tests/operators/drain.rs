//! Draining of targets and instances.

use serde_json::json;

use crate::ctl::{Ctl, REFUSED};
use crate::support::{Caller, Node, eventually};

/// Guards against new work at a drained target, and against a drain that a
/// heartbeat undoes.
#[test]
fn a_drained_target_gets_no_new_work() {
    let node = Node::start();
    let names = ["engine-a", "engine-b"];
    let engines = names.map(|name| node.engine_named(name, &[]));
    // One chat stays at one engine while that engine takes work.
    assert_eq!(node.caller().send_chat().status, 200);
    let own = engines
        .iter()
        .position(|engine| engine.received_requests().len() == 1);
    let own = own.expect("an engine ran the chat");
    let ctl = Ctl::new(node.operators, "demo");
    let drained = ctl.done(&["drain", names[own]]);
    assert_eq!(drained["kind"], "target", "{drained}");
    eventually("the drain is in force", || {
        node.status().contains("\"state\":\"draining\"")
    });
    report_load(&node, names[own]);
    for _ in 0..20 {
        assert_eq!(node.caller().send_chat().status, 200);
    }
    assert_eq!(engines[own].received_requests().len(), 1);
    let setting = format!("fleet.drained.{}", names[own]);
    ctl.done(&["unset", &setting, "--wait"]);
    // The router remembers where the first chat went, so that others return.
    let mut number = 0;
    eventually("another chat comes to the target", || {
        number += 1;
        let chat = format!("chat-{number}");
        node.caller()
            .with_header("bamboospur-chat", &chat)
            .send_chat();
        engines[own].received_requests().len() > 1
    });
    ctl.ends(REFUSED, &["drain", "nobody"]);
}

/// Sends heartbeats of a target that is ready, beside its own ones, until one
/// is taken.
fn report_load(node: &Node, name: &str) {
    let mut sequence = 0;
    eventually("a report of load is taken", || {
        sequence += 3;
        let body = json!({
            "name": name, "incarnation": 1, "sequence": sequence,
            "load_tokens": 0, "load_requests": 7, "state": "ready",
        });
        let operators = Caller::new(node.operators);
        operators.post("/targets/heartbeat", &body.to_string());
        node.status().contains("\"load_requests\":7")
    });
}

/// Guards against a drained instance that ends with a failure.
#[test]
fn a_drained_instance_ends_gracefully() {
    let mut node = Node::start();
    let ctl = Ctl::new(node.operators, "demo");
    let drained = ctl.done(&["drain", "node-01"]);
    assert_eq!(drained["kind"], "instance", "{drained}");
    assert_eq!(node.exit_code(), Some(0));
}
