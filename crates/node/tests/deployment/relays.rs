//! Routers that relay updates to other routers and take the reports of targets.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, SINGLE_RELAY_OPTIONS, Target, call,
    eventually, json_call, next_report_address, report_body, request_text,
};

const ROUTER_INDEXES: [u8; 3] = [9, 10, 11];

fn start(network: u8) -> Deployment {
    let mut deployment = Deployment::with_options(network, SINGLE_RELAY_OPTIONS);
    for index in ROUTER_INDEXES {
        deployment.start_router_at(index, &format!("router-{index}"));
    }
    deployment.configure("k1");
    for index in ROUTER_INDEXES {
        deployment.wait_ready_at(index);
    }
    deployment
}

/// Answer to a report that was accepted.
#[derive(Debug, PartialEq)]
struct AcceptedReport {
    /// Address for the next report; `None` means the same as before.
    next: Option<SocketAddr>,
}

const SAME_ADDRESS: AcceptedReport = AcceptedReport { next: None };

/// Reports a target to an address. Returns `None` when the report fails or is refused.
fn report(
    at: SocketAddr,
    name: &str,
    target: &Target,
    state: &str,
    sequence: u64,
) -> Option<AcceptedReport> {
    let body = report_body(target.address, "s", state, &sequence.to_string());
    let reply = json_call(at, "PUT", &format!("/replicas/{name}"), &body)?;
    (reply.status == 200).then(|| AcceptedReport {
        next: next_report_address(&reply.body),
    })
}

/// Reports a target to a control instance until the answer names a router for
/// further reports; returns the router's address.
fn report_until_router_named(deployment: &Deployment, name: &str, target: &Target) -> SocketAddr {
    let (mut sequence, mut router) = (0, None);
    eventually("a router is named for reports", || {
        sequence += 1;
        let taken = report(
            deployment.address(1, CONTROL_PORT),
            name,
            target,
            "ready",
            sequence,
        );
        router = taken.and_then(|taken| taken.next);
        router.is_some()
    });
    router.expect("an address")
}

fn request_status(deployment: &Deployment, router: u8, id: &str) -> u16 {
    let text = request_text("GET", "/read/1", id, "k1");
    call(deployment.address(router, CALLER_PORT), &text).map_or(0, |reply| reply.status)
}

fn wait_served_everywhere(deployment: &Deployment, what: &str) {
    for router in ROUTER_INDEXES {
        eventually(what, || request_status(deployment, router, "probe") == 200);
    }
}

#[test]
fn every_router_learns_of_new_and_of_draining_targets() {
    let deployment = start(30);
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let second = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let first_report_address = report_until_router_named(&deployment, "t1", &first);
    wait_served_everywhere(&deployment, "the first target is used");
    report_until_router_named(&deployment, "t2", &second);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        report(first_report_address, "t1", &first, "draining", 50),
        Some(SAME_ADDRESS)
    );
    thread::sleep(Duration::from_millis(500));
    let before = first.runs();
    for index in 0..30 {
        let router = ROUTER_INDEXES[index % ROUTER_INDEXES.len()];
        assert_eq!(
            request_status(&deployment, router, &format!("id-{index}")),
            200
        );
    }
    assert_eq!(first.runs(), before);
}

#[test]
fn targets_are_kept_while_they_report_to_routers() {
    let deployment = start(31);
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let second = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let at = report_until_router_named(&deployment, "t1", &first);
    report_until_router_named(&deployment, "t2", &second);
    wait_served_everywhere(&deployment, "the targets are used");
    let end = Instant::now() + Duration::from_secs(10);
    for sequence in 100.. {
        assert_eq!(
            report(at, "t1", &first, "ready", sequence),
            Some(SAME_ADDRESS)
        );
        thread::sleep(Duration::from_millis(500));
        if Instant::now() > end {
            break;
        }
    }
    let before = second.runs();
    for index in 0..30 {
        let router = ROUTER_INDEXES[index % ROUTER_INDEXES.len()];
        assert_eq!(
            request_status(&deployment, router, &format!("id-{index}")),
            200
        );
    }
    assert_eq!(second.runs(), before);
}

#[test]
fn the_loss_of_any_router_leaves_the_others_updated() {
    let mut deployment = start(32);
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let second = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let mut sequence = 100;
    report_until_router_named(&deployment, "t1", &first);
    wait_served_everywhere(&deployment, "the first target is used");
    // Each router is killed once; one of the three is the relay.
    for lost in ROUTER_INDEXES {
        let name = format!("router-{lost}");
        deployment.kill(&name);
        sequence += 1;
        let control = deployment.address(1, CONTROL_PORT);
        assert!(report(control, "t1", &first, "ready", sequence).is_some());
        assert!(report(control, "t2", &second, "ready", sequence).is_some());
        for router in ROUTER_INDEXES.into_iter().filter(|&router| router != lost) {
            let runs = second.runs();
            eventually("the second target is used", || {
                request_status(&deployment, router, "probe") == 200 && second.runs() > runs
            });
        }
        deployment.start_router_at(lost, &name);
        deployment.wait_ready_at(lost);
        eventually("a restarted router is updated", || {
            request_status(&deployment, lost, "probe") == 200
        });
    }
}

#[test]
fn a_router_without_control_instances_takes_no_reports() {
    let mut deployment = start(33);
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let at = report_until_router_named(&deployment, "t1", &first);
    assert_eq!(report(at, "t1", &first, "ready", 100), Some(SAME_ADDRESS));
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    eventually("reports are refused", || {
        report(at, "t1", &first, "ready", 101).is_none()
    });
}

#[test]
fn a_fleet_that_is_killed_as_a_whole_serves_again() {
    let mut deployment = Deployment::with_options(34, SINGLE_RELAY_OPTIONS);
    let routers: Vec<u8> = (30..42).collect();
    for &router in &routers {
        deployment.start_router_at(router, &format!("router-{router}"));
    }
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let mut at = report_until_router_named(&deployment, "t1", &first);
    let mut sequence = 100;
    for _ in 0..3 {
        for &router in &routers {
            eventually("every router serves", || {
                request_status(&deployment, router, "probe") == 200
            });
        }
        // Control instances write the soft state to disk every 3 s.
        thread::sleep(Duration::from_secs(3));
        deployment.kill_all();
        for control in 1..=3 {
            deployment.start_control(control, false);
        }
        for &router in &routers {
            deployment.start_router_at(router, &format!("router-{router}"));
        }
        for &router in &routers {
            deployment.wait_ready_at(router);
        }
        let ready_at = Instant::now();
        for &router in &routers {
            eventually("every router serves again", || {
                sequence += 1;
                let taken = report(at, "t1", &first, "ready", sequence);
                let taken = taken.or_else(|| {
                    let control = deployment.address(1, CONTROL_PORT);
                    report(control, "t1", &first, "ready", sequence)
                });
                at = taken.and_then(|taken| taken.next).unwrap_or(at);
                request_status(&deployment, router, "probe") == 200
            });
        }
        let took = ready_at.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
}

#[test]
fn a_drain_that_an_answer_announced_is_confirmed_only_by_a_control_instance() {
    let deployment = start(35);
    let leaving = Target::start(deployment.host(20), "t1", Behaviour::Leaving);
    let at = report_until_router_named(&deployment, "t1", &leaving);
    let router = ROUTER_INDEXES
        .into_iter()
        .find(|&index| at.ip() == deployment.host(index))
        .expect("a router");
    eventually("the router knows that the target leaves", || {
        request_status(&deployment, router, "id-1");
        leaving.runs() > 0
    });
    // No other router can learn of the drain now, so the target must not rely on it.
    for control in 1..=3 {
        deployment.signal(&format!("control-{control}"), Signal::STOP);
    }
    assert_eq!(report(at, "t1", &leaving, "draining", 1_000), None);
    for control in 1..=3 {
        deployment.signal(&format!("control-{control}"), Signal::CONT);
    }
    eventually("the drain is confirmed", || {
        report(at, "t1", &leaving, "draining", 1_001).is_some()
    });
}

#[test]
fn a_router_asks_again_for_the_targets_when_its_request_is_lost() {
    let mut deployment = Deployment::with_options(36, SINGLE_RELAY_OPTIONS);
    deployment.start_router();
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let mut sequence = 0;
    // Each control instance is once the one that does not answer.
    for suspended in 1..=3 {
        let name = format!("control-{suspended}");
        deployment.signal(&name, Signal::STOP);
        deployment.kill("router");
        deployment.start_router();
        eventually("the router serves", || {
            sequence += 1;
            for control in (1..=3).filter(|&control| control != suspended) {
                let at = deployment.address(control, CONTROL_PORT);
                let _taken = report(at, "t1", &target, "ready", sequence);
            }
            request_status(&deployment, 9, "probe") == 200
        });
        deployment.signal(&name, Signal::CONT);
        thread::sleep(Duration::from_secs(1));
    }
}
