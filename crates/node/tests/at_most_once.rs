//! Requests that must run at most once, sent through one node.

mod support;

use std::net::Shutdown;
use std::thread;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction, eventually};

/// Guards against a second run when a caller resends a request after its answer.
#[test]
fn a_resend_gets_the_stored_answer() {
    let node = Node::start();
    let records = node.add_records(&[]);
    let first = node.caller().with_key("a").post_record("entry");
    first.assert_outcome("answered", Code::Ok);
    let again = node.caller().with_key("a").post_record("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(again.body, first.body);
    assert_eq!(records.runs(), 1);
}

/// Guards against a second run when callers resend a request while it runs.
#[test]
fn resends_wait_for_the_running_request() {
    let node = Node::start();
    let records = node.add_records(&[TargetAction::AnswerAfterMs(300)]);
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let caller = node.caller().with_key("a");
            thread::spawn(move || caller.post_record("entry"))
        })
        .collect();
    for caller in callers {
        let answer = caller.join().expect("caller");
        assert_eq!(answer.outcome(), "answered", "{answer:?}");
        assert_eq!(answer.json()["run"], 1, "{answer:?}");
    }
    assert_eq!(records.runs(), 1);
}

/// Guards against a resend that waits for the running request past its own deadline.
#[test]
fn a_resend_with_a_deadline_is_told_that_the_request_runs() {
    let node = Node::start();
    let records = node.add_records(&[TargetAction::AnswerAfterMs(1500)]);
    let caller = node.caller().with_key("a");
    let first = thread::spawn(move || caller.post_record("entry"));
    eventually("the request runs", || records.runs() == 1);
    let again = node
        .caller()
        .with_key("a")
        .with_deadline_ms(200)
        .post_record("entry");
    again.assert_outcome("unknown", Code::ClaimRunning);
    assert!(!again.header("retry-after").is_empty(), "{again:?}");
    first
        .join()
        .expect("caller")
        .assert_outcome("answered", Code::Ok);
    assert_eq!(records.runs(), 1);
}

/// Guards against answering a request with the answer to another request that used
/// the same key.
#[test]
fn a_key_belongs_to_one_request() {
    let node = Node::start();
    let records = node.add_records(&[]);
    node.caller()
        .with_key("a")
        .post_record("entry")
        .assert_outcome("answered", Code::Ok);
    let other = node.caller().with_key("a").post_record("another entry");
    other.assert_outcome("not-run", Code::KeyReused);
    assert_eq!(records.runs(), 1);
}

/// Guards against losing the answer when the caller closes its connection.
#[test]
fn a_disconnect_does_not_lose_the_answer() {
    let node = Node::start();
    let records = node.add_records(&[TargetAction::AnswerAfterMs(1200)]);
    let caller = node.caller().with_key("a");
    let request = caller.post_request("/services/records/entries", "entry");
    let stream = caller.open(request.as_bytes());
    eventually("the request runs", || records.runs() == 1);
    stream.shutdown(Shutdown::Both).expect("shutdown");
    drop(stream);
    let again = node.caller().with_key("a").post_record("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(records.runs(), 1);
}

/// Guards against a second run after the deadline of the first run has passed.
#[test]
fn a_request_past_its_deadline_is_not_run_again() {
    let node = Node::start();
    let records = node.add_records(&[TargetAction::NoAnswer]);
    let late = node
        .caller()
        .with_key("a")
        .with_deadline_ms(300)
        .post_record("entry");
    late.assert_outcome("unknown", Code::DeadlineExceeded);
    let again = node.caller().with_key("a").post_record("entry");
    again.assert_outcome("unknown", Code::ClaimUnknown);
    assert_eq!(records.runs(), 1);
}

/// Guards against the outcome "unknown" for a resend after the request was refused as
/// not run: the claim must be released before that answer is sent.
#[test]
fn a_key_can_be_used_again_at_once_after_not_run() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.add_records(&[]);
    for number in 0..10 {
        records.push_action(TargetAction::Refuse(503, true));
        let caller = node.caller().with_key(&number.to_string());
        caller
            .post_record("entry")
            .assert_outcome("not-run", Code::TargetRefused);
        caller
            .post_record("entry")
            .assert_outcome("answered", Code::Ok);
    }
    assert_eq!(records.runs(), 20);
}

/// Guards against a second run after a crash and restart of the node.
#[test]
fn a_restarted_node_keeps_stored_answers() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.add_records(&[]);
    let first = node.caller().with_key("a").post_record("entry");
    first.assert_outcome("answered", Code::Ok);
    node.crash();
    let node = Node::builder().data_in(&folder).start();
    let later = node.add_records(&[]);
    let again = node.caller().with_key("a").post_record("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(again.body, first.body);
    assert_eq!((records.runs(), later.runs()), (1, 0));
}

/// Guards against a second run of a request during which the node crashed.
#[test]
fn a_request_interrupted_by_a_crash_is_not_run_again() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.add_records(&[TargetAction::NoAnswer]);
    let caller = node.caller().with_key("a");
    let request = caller.post_request("/services/records/entries", "entry");
    let _stream = caller.open(request.as_bytes());
    eventually("the request runs", || records.runs() == 1);
    node.crash();
    let node = Node::builder().data_in(&folder).start();
    let later = node.add_records(&[]);
    let again = node.caller().with_key("a").post_record("entry");
    again.assert_outcome("unknown", Code::ClaimUnknown);
    assert_eq!((records.runs(), later.runs()), (1, 0));
}
