//! Requests that must run at most once.

mod support;

use std::net::Shutdown;
use std::thread;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction, eventually};

/// Guards against a second run when a caller resends after its answer.
#[test]
fn a_resend_gets_the_stored_answer() {
    let node = Node::start();
    let records = node.records(&[]);
    let first = node.caller().key("a").records("entry");
    first.assert_outcome("answered", Code::Ok);
    let again = node.caller().key("a").records("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(again.body, first.body);
    assert_eq!(records.runs(), 1);
}

/// Guards against a second run when callers resend while the first one runs.
#[test]
fn resends_attach_to_the_running_request() {
    let node = Node::start();
    let records = node.records(&[TargetAction::Late(300)]);
    let callers: Vec<_> = (0..8)
        .map(|_| {
            let caller = node.caller().key("a");
            thread::spawn(move || caller.records("entry"))
        })
        .collect();
    for caller in callers {
        let answer = caller.join().expect("caller");
        assert_eq!(answer.outcome(), "answered", "{answer:?}");
        assert_eq!(answer.json()["run"], 1, "{answer:?}");
    }
    assert_eq!(records.runs(), 1);
}

/// Guards against waiting for a running request beyond the caller's deadline.
#[test]
fn a_resend_with_a_deadline_is_told_that_the_request_runs() {
    let node = Node::start();
    let records = node.records(&[TargetAction::Late(1500)]);
    let caller = node.caller().key("a");
    let first = thread::spawn(move || caller.records("entry"));
    eventually("the request runs", || records.runs() == 1);
    let again = node.caller().key("a").deadline_ms(200).records("entry");
    again.assert_outcome("unknown", Code::ClaimRunning);
    assert!(!again.header("retry-after").is_empty(), "{again:?}");
    first
        .join()
        .expect("caller")
        .assert_outcome("answered", Code::Ok);
    assert_eq!(records.runs(), 1);
}

/// Guards against answering a request with the answer to another one.
#[test]
fn a_key_belongs_to_one_request() {
    let node = Node::start();
    let records = node.records(&[]);
    node.caller()
        .key("a")
        .records("entry")
        .assert_outcome("answered", Code::Ok);
    let other = node.caller().key("a").records("another entry");
    other.assert_outcome("not-run", Code::KeyReused);
    assert_eq!(records.runs(), 1);
}

/// Guards against losing the answer when the first caller hangs up.
#[test]
fn a_hang_up_does_not_lose_the_answer() {
    let node = Node::start();
    let records = node.records(&[TargetAction::Late(1200)]);
    let caller = node.caller().key("a");
    let request = caller.post_text("/services/records/entries", "entry");
    let stream = caller.open(request.as_bytes());
    eventually("the request runs", || records.runs() == 1);
    stream.shutdown(Shutdown::Both).expect("shutdown");
    drop(stream);
    let again = node.caller().key("a").records("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(records.runs(), 1);
}

/// Guards against a second run after the deadline of the first one.
#[test]
fn a_request_past_its_deadline_is_not_run_again() {
    let node = Node::start();
    let records = node.records(&[TargetAction::Silence]);
    let late = node.caller().key("a").deadline_ms(300).records("entry");
    late.assert_outcome("unknown", Code::DeadlineExceeded);
    let again = node.caller().key("a").records("entry");
    again.assert_outcome("unknown", Code::ClaimUnknown);
    assert_eq!(records.runs(), 1);
}

/// Guards against telling a resend "unknown" where the first request was not
/// run: the claim must be free once that answer is out.
#[test]
fn a_key_that_was_not_run_can_be_used_at_once() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.records(&[]);
    for number in 0..10 {
        records.push_action(TargetAction::Refuse(503, true));
        let caller = node.caller().key(&number.to_string());
        caller
            .records("entry")
            .assert_outcome("not-run", Code::TargetRefused);
        caller.records("entry").assert_outcome("answered", Code::Ok);
    }
    assert_eq!(records.runs(), 20);
}

/// Guards against a second run after the process was restarted.
#[test]
fn a_restarted_node_keeps_stored_answers() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.records(&[]);
    let first = node.caller().key("a").records("entry");
    first.assert_outcome("answered", Code::Ok);
    node.crash();
    let node = Node::builder().data_in(&folder).start();
    let later = node.records(&[]);
    let again = node.caller().key("a").records("entry");
    again.assert_outcome("answered", Code::Replayed);
    assert_eq!(again.body, first.body);
    assert_eq!((records.runs(), later.runs()), (1, 0));
}

/// Guards against a second run of a request that was cut by a crash.
#[test]
fn a_request_cut_by_a_crash_is_not_run_again() {
    let folder = support::test_folder();
    let node = Node::builder().data_in(&folder).start();
    let records = node.records(&[TargetAction::Silence]);
    let caller = node.caller().key("a");
    let request = caller.post_text("/services/records/entries", "entry");
    let _stream = caller.open(request.as_bytes());
    eventually("the request runs", || records.runs() == 1);
    node.crash();
    let node = Node::builder().data_in(&folder).start();
    let later = node.records(&[]);
    let again = node.caller().key("a").records("entry");
    again.assert_outcome("unknown", Code::ClaimUnknown);
    assert_eq!((records.runs(), later.runs()), (1, 0));
}
