//! Graceful shutdown of nodes and targets.

mod support;

use std::io::Write;
use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction, eventually};

/// Guards against a node that, after SIGTERM, aborts a request in progress or refuses
/// one that the balancer still sends.
#[test]
fn a_terminated_node_finishes_its_requests() {
    let mut node = Node::builder().limit("drain_ms", 400).start();
    let engine = node.add_engine(&[TargetAction::AnswerAfterMs(900)]);
    let caller = node.caller();
    let running = thread::spawn(move || caller.send_chat());
    eventually("the request runs", || engine.runs() == 1);
    node.terminate();
    eventually("the node is not ready any more", || {
        node.caller().get("/readyz").status == 503
    });
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    running
        .join()
        .expect("caller")
        .assert_outcome("answered", Code::Ok);
    assert_eq!(node.wait_for_exit_code(), Some(0));
    assert!(node.log().contains("the node has ended"));
}

/// Guards against a node that ends while a caller still sends a body: the caller would not know
/// whether the request has run.
#[test]
fn a_request_whose_body_arrives_while_the_node_ends_gets_an_answer() {
    const DRAIN: Duration = Duration::from_millis(300);
    let mut node = Node::builder().limit("drain_ms", 300).start();
    let engine = node.add_engine(&[]);
    let body = "{\"model\":\"demo-chat\",\"messages\":[]}";
    let request = node.caller().post_request("/v1/chat/completions", body);
    let (begin, end) = request.split_at(request.len() - 1);
    let mut stream = node.caller().open(begin.as_bytes());
    eventually("the node is not ready any more", || {
        node.terminate();
        node.caller().get("/readyz").status == 503
    });
    // The node takes no new requests afterwards, and ends once it has none.
    thread::sleep(DRAIN * 2);
    stream.write_all(end.as_bytes()).expect("the node takes it");
    support::read_answer(&mut stream).assert_outcome("not-run", Code::ShuttingDown);
    assert_eq!(node.wait_for_exit_code(), Some(0));
    assert_eq!(engine.runs(), 0);
}

/// Guards against new work for a draining target, and against aborting the requests
/// that it still runs.
#[test]
fn a_draining_target_gets_no_new_work() {
    let node = Node::start();
    let first = node.add_engine_named("first", &[TargetAction::AnswerAfterMs(600)]);
    let caller = node.caller();
    let running = thread::spawn(move || caller.send_chat());
    eventually("the request runs", || first.runs() == 1);
    let second = node.add_engine_named("second", &[]);
    first.drain();
    eventually("the node knows that the target is draining", || {
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

/// Guards against sending requests to a target that has left, when it was the last one
/// of its pool.
#[test]
fn a_pool_without_targets_runs_nothing() {
    let node = Node::start();
    let engine = node.add_engine(&[]);
    engine.leave();
    eventually("the target leaves", || {
        !node.status().contains(&engine.address())
    });
    let answer = node.caller().send_chat();
    answer.assert_outcome("not-run", Code::NoTarget);
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(engine.runs(), 0);
}
