//! A node that is cut off from the control group.

use bamboospur_types::Outcome;

use crate::fleet::Fleet;
use crate::service::Service;
use crate::support::eventually;

/// Guards against a cut-off node that refuses requests which need no claim, runs a
/// request without a claim, or doesn't report that its settings may be outdated.
#[test]
fn a_cut_off_node_serves_requests_without_claims_and_reports_its_state() {
    let mut fleet = Fleet::start(3, 2);
    let operators: Vec<_> = fleet.routers.iter().map(|p| p.operators).collect();
    let service = Service::start("records", 1, &operators);
    for router in &fleet.routers {
        eventually("the target is known", || {
            let pools = router.status()["pools"].to_string();
            pools.contains(&service.address.to_string())
        });
        assert!(!router.is_cut_off());
    }
    for member in &mut fleet.control {
        member.kill();
    }
    for router in &fleet.routers {
        eventually("the node reports that it is cut off", || {
            router.is_cut_off()
        });
        let answer = router.caller().get("/services/records/x");
        assert_eq!((answer.status, answer.outcome()), (200, "answered"));
        let served = service.served();
        let refused = router.caller().with_key("a").post_record("entry");
        assert_eq!(
            refused.outcome(),
            Outcome::NotRun.to_string(),
            "{refused:?}"
        );
        assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
        assert_eq!(service.served(), served);
    }
    for member in &mut fleet.control {
        member.restart();
    }
    for router in &fleet.routers {
        eventually("the node is connected again", || !router.is_cut_off());
        let answer = router.caller().with_key("a").post_record("entry");
        assert_eq!(answer.outcome(), "answered", "{answer:?}");
    }
    fleet.assert_no_violations();
}

/// Guards against 401 and 404 for a key or pool that a cut-off node has not heard of.
#[test]
fn a_cut_off_node_refuses_nothing_for_good() {
    let mut fleet = Fleet::start(3, 1);
    let unknown = |fleet: &Fleet| {
        let caller = fleet.routers[0].caller();
        let key = caller.clone().with_header("authorization", "Bearer other");
        let answers = [
            key.get("/services/records/x"),
            caller.get("/services/none/x"),
        ];
        answers.map(|answer| answer.status)
    };
    assert_eq!(unknown(&fleet), [401, 404]);
    for member in &mut fleet.control {
        member.kill();
    }
    let router = &fleet.routers[0];
    eventually("the node reports that it is cut off", || {
        router.is_cut_off()
    });
    assert_eq!(unknown(&fleet), [503, 503]);
    for member in &mut fleet.control {
        member.restart();
    }
    let router = &fleet.routers[0];
    eventually("the node is connected again", || !router.is_cut_off());
    assert_eq!(unknown(&fleet), [401, 404]);
}

/// Guards against a minority that accepts changes or claims, and against members that
/// do not catch up after a restart.
#[test]
fn a_minority_accepts_nothing() {
    let mut fleet = Fleet::start(3, 1);
    let leader = fleet.leader();
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for other in &others {
        fleet.control[*other].kill();
    }
    eventually("the last member does not lead alone", || {
        fleet.control[leader].is_cut_off()
    });
    let refused = fleet.control[leader]
        .caller()
        .with_key("a")
        .post_record("entry");
    assert_ne!(refused.outcome(), "answered", "{refused:?}");
    for other in &others {
        fleet.control[*other].restart();
    }
    let revision = fleet.add_team(leader, "after");
    fleet.wait_for_revision(revision);
    fleet.assert_no_violations();
}
