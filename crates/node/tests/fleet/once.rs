//! Requests that must run at most once, sent through more than one node.

use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;

use crate::fleet::Fleet;
use crate::process::try_send;
use crate::support::{Target, TargetAction, eventually};

fn start_records(fleet: &Fleet, via: usize, actions: &[TargetAction]) -> Target {
    let operators = fleet.all().nth(via).expect("node").operators;
    let target = Target::start("records", "records", "service", actions, operators);
    for process in fleet.all() {
        eventually("the target is known", || {
            process.status()["pools"]
                .to_string()
                .contains(&target.address())
        });
    }
    target
}

/// Guards against a second run when a caller resends a request through another node,
/// either after the answer or while the request runs.
#[test]
fn a_resend_through_another_node_does_not_run_again() {
    let fleet = Fleet::start(3, 2);
    let records = start_records(
        &fleet,
        0,
        &[TargetAction::Answer, TargetAction::AnswerAfterMs(500)],
    );
    let first = fleet.routers[0].caller().with_key("a").post_record("entry");
    first.assert_outcome("answered", Code::Ok);
    for process in fleet.all() {
        let again = process.caller().with_key("a").post_record("entry");
        again.assert_outcome("answered", Code::Replayed);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(records.runs(), 1);
    let caller = fleet.routers[0].caller().with_key("b");
    let first = thread::spawn(move || caller.post_record("entry"));
    eventually("the request runs", || records.runs() == 2);
    let again: Vec<_> = fleet
        .all()
        .map(|process| {
            let caller = process.caller().with_key("b");
            thread::spawn(move || caller.post_record("entry"))
        })
        .collect();
    let first = first.join().expect("caller");
    first.assert_outcome("answered", Code::Ok);
    for again in again {
        let again = again.join().expect("caller");
        assert_eq!(again.outcome(), "answered", "{again:?}");
        assert_eq!(again.body, first.body);
    }
    assert_eq!(records.runs(), 2);
    fleet.assert_no_violations();
}

/// Guards against a second run when the node that took the request is killed before,
/// while or after the request runs.
#[test]
fn a_resend_after_a_crash_does_not_run_again() {
    let mut fleet = Fleet::start(3, 2);
    let records = start_records(&fleet, 0, &[]);
    for (round, pause_ms) in [0, 2, 5, 10, 20, 40, 80, 160].into_iter().enumerate() {
        let key = format!("key-{round}");
        records.push_action(TargetAction::AnswerAfterMs(30));
        let before = records.runs();
        let caller = fleet.routers[0]
            .caller()
            .with_key(&key)
            .with_deadline_ms(3000);
        let (to, request) = (
            fleet.routers[0].callers,
            caller.post_request("/services/records/entries", &key),
        );
        let sent = thread::spawn(move || try_send(to, &request, Duration::from_secs(10)));
        thread::sleep(Duration::from_millis(pause_ms));
        fleet.routers[0].kill();
        let cut = sent.join().expect("caller");
        for process in fleet.control.iter().chain(&fleet.routers[1..]) {
            let again = process
                .caller()
                .with_key(&key)
                .with_deadline_ms(3000)
                .post_record(&key);
            if let Some(cut) = cut.as_ref().filter(|cut| cut.outcome() == "answered")
                && again.outcome() == "answered"
            {
                assert_eq!(again.body, cut.body);
            }
        }
        let runs = records.runs() - before;
        assert!(runs <= 1, "round {round}: the request ran {runs} times");
        fleet.routers[0].restart();
        eventually("the target is known again", || {
            let pools = fleet.routers[0].status()["pools"].to_string();
            pools.contains(&records.address())
        });
    }
    fleet.assert_no_violations();
}
