//! Draining of targets and instances.

use serde_json::json;

use crate::ctl::{Ctl, EXIT_REFUSED};
use crate::support::{Caller, Node, eventually};

/// Guards against new work for a drained target, and against a drain that a heartbeat
/// with the state `ready` ends.
#[test]
fn a_drained_target_gets_no_new_work() {
    let node = Node::start();
    let names = ["engine-a", "engine-b"];
    let engines = names.map(|name| node.add_engine_named(name, &[]));
    // All requests of a chat go to the same engine while that engine takes work.
    assert_eq!(node.caller().send_chat().status, 200);
    let drained_index = engines
        .iter()
        .position(|engine| engine.received_requests().len() == 1);
    let drained_index = drained_index.expect("an engine ran the chat");
    let ctl = Ctl::new(node.operators, "demo");
    let drained = ctl.expect_success(&["drain", names[drained_index]]);
    assert_eq!(drained["kind"], "target", "{drained}");
    eventually("the drain is in force", || {
        node.status().contains("\"state\":\"draining\"")
    });
    send_ready_heartbeat(&node, names[drained_index]);
    for _ in 0..20 {
        assert_eq!(node.caller().send_chat().status, 200);
    }
    assert_eq!(engines[drained_index].received_requests().len(), 1);
    let setting = format!("fleet.drained.{}", names[drained_index]);
    ctl.expect_success(&["unset", &setting, "--wait"]);
    // The first chat stays at the other engine, so other chats have to be sent.
    let mut number = 0;
    eventually("another chat comes to the target", || {
        number += 1;
        let chat = format!("chat-{number}");
        node.caller()
            .with_header("bamboospur-chat", &chat)
            .send_chat();
        engines[drained_index].received_requests().len() > 1
    });
    ctl.expect_exit(EXIT_REFUSED, &["drain", "nobody"]);
}

/// Sends heartbeats that report a target as ready, in addition to those of the target,
/// until the node accepts one.
fn send_ready_heartbeat(node: &Node, name: &str) {
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

/// Guards against a drained instance that exits with an error.
#[test]
fn a_drained_instance_exits_with_success() {
    let mut node = Node::start();
    let ctl = Ctl::new(node.operators, "demo");
    let drained = ctl.expect_success(&["drain", "node-01"]);
    assert_eq!(drained["kind"], "instance", "{drained}");
    assert_eq!(node.wait_for_exit_code(), Some(0));
}
