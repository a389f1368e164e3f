//! Requests that must run at most once, sent to more than one node.

use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;

use crate::fleet::Fleet;
use crate::process::try_send;
use crate::support::{Target, TargetAction, eventually};

fn join(fleet: &Fleet, via: usize, acts: &[TargetAction]) -> Target {
    let operators = fleet.all().nth(via).expect("node").operators;
    let target = Target::start("records", "records", "service", acts, operators);
    for process in fleet.all() {
        eventually("the target is known", || {
            process.status()["pools"]
                .to_string()
                .contains(&target.address())
        });
    }
    target
}

/// Guards against a second run when a caller resends through another node, after
/// the answer and while the first one runs.
#[test]
fn a_resend_through_another_node_does_not_run_again() {
    let fleet = Fleet::start(3, 2);
    let records = join(&fleet, 0, &[TargetAction::Answer, TargetAction::Late(500)]);
    let first = fleet.routers[0].caller().key("a").records("entry");
    first.assert_outcome("answered", Code::Ok);
    for process in fleet.all() {
        let again = process.caller().key("a").records("entry");
        again.assert_outcome("answered", Code::Replayed);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(records.runs(), 1);
    let caller = fleet.routers[0].caller().key("b");
    let first = thread::spawn(move || caller.records("entry"));
    eventually("the request runs", || records.runs() == 2);
    let again: Vec<_> = fleet
        .all()
        .map(|process| {
            let caller = process.caller().key("b");
            thread::spawn(move || caller.records("entry"))
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
    fleet.check();
}

/// Guards against a second run when the node that took the request is killed at
/// any moment: before, while and after the request runs.
#[test]
fn a_resend_after_a_crash_does_not_run_again() {
    let mut fleet = Fleet::start(3, 2);
    let records = join(&fleet, 0, &[]);
    for (round, pause_ms) in [0, 2, 5, 10, 20, 40, 80, 160].into_iter().enumerate() {
        let key = format!("key-{round}");
        records.push_action(TargetAction::Late(30));
        let before = records.runs();
        let caller = fleet.routers[0].caller().key(&key).deadline_ms(3000);
        let (to, request) = (
            fleet.routers[0].callers,
            caller.post_text("/services/records/entries", &key),
        );
        let sent = thread::spawn(move || try_send(to, &request, Duration::from_secs(10)));
        thread::sleep(Duration::from_millis(pause_ms));
        fleet.routers[0].kill();
        let cut = sent.join().expect("caller");
        for process in fleet.control.iter().chain(&fleet.routers[1..]) {
            let again = process.caller().key(&key).deadline_ms(3000).records(&key);
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
    fleet.check();
}
