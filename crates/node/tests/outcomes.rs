//! Faults of targets: what the caller is told and how often the request ran.

mod support;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction};

const FIRST_BYTE_MS: u64 = 400;

fn node() -> Node {
    let node = Node::builder().limit("first_byte_ms", FIRST_BYTE_MS);
    node.limit("stall_ms", 400).start()
}

/// Guards against a fault of one target reaching the caller of a request that
/// may be repeated.
#[test]
fn a_repeatable_request_is_answered_after_one_fault() {
    let faults = [
        TargetAction::Silence,
        TargetAction::CutHead,
        TargetAction::CutBody,
        TargetAction::NoLastChunk,
        TargetAction::Unframed,
        TargetAction::Crossed,
        TargetAction::Refuse(429, true),
        TargetAction::Refuse(503, true),
        TargetAction::Refuse(503, false),
    ];
    for fault in faults {
        let node = node();
        let engine = node.engine(&[fault]);
        let answer = node.caller().send_chat();
        answer.assert_outcome("answered", Code::Ok);
        assert_eq!(engine.runs(), 2, "{fault:?}");
    }
}

/// Guards against "not run" without proof, and against a second run of a
/// request that must run at most once.
#[test]
fn a_request_that_must_run_once_gets_the_outcome_that_is_proved() {
    let cases = [
        (TargetAction::Silence, "unknown", Code::TargetFailed),
        (TargetAction::CutHead, "unknown", Code::TargetFailed),
        (TargetAction::CutBody, "unknown", Code::Truncated),
        (TargetAction::NoLastChunk, "unknown", Code::Truncated),
        (TargetAction::Unframed, "unknown", Code::Truncated),
        (TargetAction::Crossed, "unknown", Code::WrongAnswer),
        (
            TargetAction::Refuse(503, false),
            "unknown",
            Code::TargetFailed,
        ),
        (
            TargetAction::Refuse(503, true),
            "not-run",
            Code::TargetRefused,
        ),
        (
            TargetAction::Refuse(429, true),
            "not-run",
            Code::TargetRefused,
        ),
        (TargetAction::Late(100), "answered", Code::Ok),
        (TargetAction::Twice, "answered", Code::Ok),
    ];
    for (fault, outcome, code) in cases {
        let node = node();
        let records = node.records(&[fault]);
        let answer = node.caller().key("one").records("entry");
        answer.assert_outcome(outcome, code);
        assert_eq!(records.runs(), 1, "{fault:?}");
        let again = node.caller().key("one").records("entry");
        let runs = if outcome == "not-run" { 2 } else { 1 };
        assert_eq!(records.runs(), runs, "{fault:?}: {again:?}");
        if outcome == "unknown" {
            again.assert_outcome("unknown", Code::ClaimUnknown);
        }
    }
}

/// Guards against giving up a request that must run once while another target
/// could still run it: both refuse it with proof, so both were asked.
#[test]
fn a_request_proved_not_run_goes_to_another_target() {
    let node = node();
    let refuse = [TargetAction::Refuse(503, true)];
    let targets = ["one", "two"].map(|name| node.records_named(name, &refuse));
    let answer = node.caller().key("once").records("entry");
    answer.assert_outcome("not-run", Code::TargetRefused);
    for target in &targets {
        assert_eq!(target.received_requests().len(), 1);
    }
    let again = node.caller().key("once").records("entry");
    again.assert_outcome("answered", Code::Ok);
    assert_eq!(
        targets[0].received_requests().len() + targets[1].received_requests().len(),
        3
    );
}

/// Guards against calling a refused connection "unknown": nothing was sent.
#[test]
fn a_refused_connection_is_not_run() {
    let node = node();
    let records = node.records(&[]);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = closed.local_addr().expect("address");
    drop(closed);
    records.leave();
    let record = serde_json::json!({
        "name": "closed", "incarnation": 1, "address": address.to_string(),
        "data_centre": "dev", "pool": "records", "kind": "service", "offers": [],
        "capacity_tokens": 100, "capacity_requests": 8, "checks_fencing": false,
    });
    let operators = support::Caller::new(node.operators);
    operators.post("/targets/announce", &record.to_string());
    let answer = node.caller().key("one").records("entry");
    answer.assert_outcome("not-run", Code::ConnectFailed);
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(records.runs(), 0);
}

/// Guards against holding a final answer back, or against a late answer that
/// reaches the next request.
#[test]
fn a_late_answer_reaches_nobody() {
    let node = node();
    let engine = node.engine(&[TargetAction::Late(900)]);
    let late = node.caller().deadline_ms(300).send_chat();
    late.assert_outcome("unknown", Code::DeadlineExceeded);
    assert!(!late.header("retry-after").is_empty(), "{late:?}");
    for _ in 0..5 {
        let answer = node.caller().send_chat();
        answer.assert_outcome("answered", Code::Ok);
    }
    assert!(engine.runs() >= 6);
}

/// Guards against an answer sent twice being taken for the next request's.
#[test]
fn a_duplicate_answer_reaches_nobody() {
    let node = node();
    let _records = node.records(&[
        TargetAction::Twice,
        TargetAction::Twice,
        TargetAction::Answer,
    ]);
    for run in 1..=3 {
        let answer = node.caller().get(&format!("/services/records/{run}"));
        answer.assert_outcome("answered", Code::Ok);
        let seen = answer.json()["seen"].as_str().map(str::to_owned);
        assert_eq!(seen, Some(format!("GET /{run} HTTP/1.1")));
    }
}

/// Guards against taking a late answer for the next one where the target does
/// not repeat the request's id: such a connection must not be used again.
#[test]
fn connections_without_the_id_are_not_reused() {
    let node = node();
    let records = node.records(&[
        TargetAction::NoEcho,
        TargetAction::NoEcho,
        TargetAction::Answer,
        TargetAction::Answer,
    ]);
    for _ in 0..4 {
        let answer = node.caller().get("/services/records/x");
        answer.assert_outcome("answered", Code::Ok);
    }
    assert_eq!((records.runs(), records.connections()), (4, 3));
}

/// Guards against blaming a target for a pooled connection that went silent.
#[test]
fn a_silent_pooled_connection_is_replaced_by_a_fresh_one() {
    let node = node();
    let engine = node.engine(&[TargetAction::Answer, TargetAction::Silence]);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.connections(), 1);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.connections(), 2);
    let status = node.status();
    assert!(status.contains("\"breaker\":\"closed\""), "{status}");
}

/// Guards against a retry storm: a pool that fails every time sees no more
/// than the attempts of one request.
#[test]
fn retries_end_with_an_honest_answer() {
    let node = node();
    let acts = [TargetAction::CutHead; 40];
    let engine = node.engine(&acts);
    for _ in 0..8 {
        let before = engine.runs();
        let answer = node.caller().send_chat();
        assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
        let ran = engine.runs() - before;
        // An open breaker refuses without a run.
        let outcome = if ran == 0 { "not-run" } else { "unknown" };
        assert_eq!(answer.outcome(), outcome, "{answer:?}");
        assert!(ran <= 3, "{ran} runs of one request");
    }
    assert!(engine.runs() <= 12, "{}", engine.runs());
}
