//! Graceful ends of nodes and targets.

mod support;

use std::thread;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction, eventually};

/// Guards against cutting a request, or refusing one that the balancer still
/// sends, when the process is asked to end.
#[test]
fn a_node_that_ends_finishes_its_requests() {
    let mut node = Node::builder().limit("drain_ms", 400).start();
    let engine = node.engine(&[TargetAction::Late(900)]);
    let caller = node.caller();
    let running = thread::spawn(move || caller.send_chat());
    eventually("the request runs", || engine.runs() == 1);
    node.terminate();
    eventually("the node leaves the balancer", || {
        node.caller().get("/readyz").status == 503
    });
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    running
        .join()
        .expect("caller")
        .assert_outcome("answered", Code::Ok);
    assert_eq!(node.exit_code(), Some(0));
    assert!(node.log().contains("the node has ended"));
}

/// Guards against new work for a target that is leaving, and against cutting
/// the work that it still has.
#[test]
fn a_draining_target_gets_no_new_work() {
    let node = Node::start();
    let first = node.engine_named("first", &[TargetAction::Late(600)]);
    let caller = node.caller();
    let running = thread::spawn(move || caller.send_chat());
    eventually("the request runs", || first.runs() == 1);
    let second = node.engine_named("second", &[]);
    first.drain();
    eventually("the node knows", || {
        node.status().contains("\"state\":\"draining\"")
    });
    for _ in 0..10 {
        node.caller()
            .send_chat()
            .assert_outcome("answered", Code::Ok);
    }
    running
        .join()
        .expect("caller")
        .assert_outcome("answered", Code::Ok);
    assert_eq!((first.runs(), second.runs()), (1, 10));
}

/// Guards against sending work to a pool that has no target left.
#[test]
fn without_targets_nothing_is_run() {
    let node = Node::start();
    let engine = node.engine(&[]);
    engine.leave();
    eventually("the target leaves", || {
        !node.status().contains(&engine.address())
    });
    let answer = node.caller().send_chat();
    answer.assert_outcome("not-run", Code::NoTarget);
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(engine.runs(), 0);
}
