//! Targets that leave by their answers, and targets that reject requests for a time.

use std::thread;
use std::time::{Duration, Instant};

use super::harness::{Behaviour, CALLER_PORT, Deployment, Target, call, eventually, request_text};

/// Time after which no request may reach a target that has asked for none.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that may reach such a target all the same.
const MAX_REQUESTS: usize = 2;

fn read(deployment: &Deployment, id: &str) -> u16 {
    let reply = deployment.request("GET", "/read/1", id, "k1");
    reply.expect("a reply").status
}

#[test]
fn a_target_that_says_in_an_answer_that_it_leaves_gets_no_further_request() {
    let mut deployment = Deployment::start(55);
    deployment.configure("k1");
    let leaving = Target::start(deployment.host(20), "t1", Behaviour::Leaving);
    deployment.report("t1", &leaving, "s", "ready", 1);
    deployment.wait_ready();
    assert_eq!(read(&deployment, "id-1"), 200);
    // A late report that it is ready changes nothing.
    deployment.report("t1", &leaving, "s", "ready", 2);
    let asked_at = Instant::now();
    assert_eq!(read(&deployment, "id-2"), 503);
    assert!(asked_at.elapsed() < Duration::from_secs(1));
    let other = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    deployment.report("t2", &other, "s", "ready", 1);
    eventually("the other target serves", || {
        read(&deployment, "id-3") == 200
    });
    let before = other.runs();
    for index in 0..10 {
        assert_eq!(read(&deployment, &format!("id-4-{index}")), 200);
    }
    assert_eq!((leaving.runs(), other.runs() - before), (1, 10));
}

#[test]
fn a_target_that_rejects_requests_for_a_time_gets_none_until_its_end() {
    const REJECTED_FOR: Duration = Duration::from_secs(3);
    /// Longer than a target is avoided that is only full.
    const PAUSE: Duration = Duration::from_millis(150);
    let mut deployment = Deployment::start(56);
    deployment.configure("k1");
    let rejecting = Target::start(deployment.host(20), "t1", Behaviour::RejectFor("3"));
    deployment.report("t1", &rejecting, "s", "ready", 1);
    deployment.wait_ready();
    assert_eq!(read(&deployment, "id-1"), 503);
    let rejected_at = Instant::now();
    thread::sleep(SLACK);
    let before = rejecting.runs();
    for index in 0..6 {
        thread::sleep(PAUSE);
        let asked_at = Instant::now();
        assert_eq!(read(&deployment, &format!("id-2-{index}")), 503);
        assert!(asked_at.elapsed() < Duration::from_secs(1));
    }
    let other = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    deployment.report("t2", &other, "s", "ready", 1);
    eventually("the other target serves", || {
        read(&deployment, "id-3") == 200
    });
    for index in 0..6 {
        thread::sleep(PAUSE);
        assert_eq!(read(&deployment, &format!("id-4-{index}")), 200);
    }
    assert!(
        rejected_at.elapsed() < REJECTED_FOR,
        "the test was too slow"
    );
    assert!(
        rejecting.runs() - before <= MAX_REQUESTS,
        "{} requests",
        rejecting.runs() - before
    );
    eventually("the target gets requests again", || {
        read(&deployment, "id-5");
        rejecting.runs() > before
    });
}

#[test]
fn other_routers_learn_which_target_says_that_it_leaves() {
    let mut deployment = Deployment::start(58);
    deployment.start_router_at(10, "router-10");
    deployment.configure("k1");
    let leaving = Target::start(deployment.host(20), "t1", Behaviour::Leaving);
    deployment.report("t1", &leaving, "s", "ready", 1);
    deployment.wait_ready();
    deployment.wait_ready_at(10);
    assert_eq!(read(&deployment, "id-1"), 200);
    thread::sleep(Duration::from_millis(600));
    let text = request_text("GET", "/read/1", "id-2", "k1");
    let reply = call(deployment.address(10, CALLER_PORT), &text).expect("a reply");
    assert_eq!((reply.status, leaving.runs()), (503, 1));
}
