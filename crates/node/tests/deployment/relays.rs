//! Routers that relay to others and take the reports of targets.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::world::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, RELAYED, Target, call, eventually, json_call,
    next_reports, report_body, request_text,
};

const ROUTERS: [u8; 3] = [9, 10, 11];

fn start(network: u8) -> Deployment {
    let mut deployment = Deployment::with_options(network, RELAYED);
    for index in ROUTERS {
        deployment.start_router_at(index, &format!("router-{index}"));
    }
    deployment.configure("k1");
    for index in ROUTERS {
        deployment.wait_ready_at(index);
    }
    deployment
}

/// Answer to a report that was taken.
#[derive(Debug, PartialEq)]
struct Taken {
    /// Address for the next report, when it is another one.
    next: Option<SocketAddr>,
}

const HERE: Taken = Taken { next: None };

/// Reports a target to an address.
fn report(
    at: SocketAddr,
    name: &str,
    target: &Target,
    state: &str,
    sequence: u64,
) -> Option<Taken> {
    let body = report_body(target.address, "s", state, &sequence.to_string());
    let reply = json_call(at, "PUT", &format!("/replicas/{name}"), &body)?;
    (reply.status == 200).then(|| Taken {
        next: next_reports(&reply.body),
    })
}

/// Reports a target to a control instance until that names a router.
fn hand_over(deployment: &Deployment, name: &str, target: &Target) -> SocketAddr {
    let (mut sequence, mut router) = (0, None);
    eventually("a router is named for reports", || {
        sequence += 1;
        let taken = report(
            deployment.at(1, CONTROL_PORT),
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

fn status(deployment: &Deployment, router: u8, id: &str) -> u16 {
    let text = request_text("GET", "/read/1", id, "k1");
    call(deployment.at(router, CALLER_PORT), &text).map_or(0, |reply| reply.status)
}

fn wait_served_everywhere(deployment: &Deployment, what: &str) {
    for router in ROUTERS {
        eventually(what, || status(deployment, router, "probe") == 200);
    }
}

#[test]
fn every_router_hears_of_targets_and_of_their_departure() {
    let deployment = start(30);
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let two = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let reports_of_one = hand_over(&deployment, "t1", &one);
    wait_served_everywhere(&deployment, "the first target is used");
    hand_over(&deployment, "t2", &two);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        report(reports_of_one, "t1", &one, "draining", 50),
        Some(HERE)
    );
    thread::sleep(Duration::from_millis(500));
    let before = one.runs();
    for index in 0..30 {
        let router = ROUTERS[index % ROUTERS.len()];
        assert_eq!(status(&deployment, router, &format!("id-{index}")), 200);
    }
    assert_eq!(one.runs(), before);
}

#[test]
fn targets_that_report_to_routers_stay_and_silent_ones_go() {
    let deployment = start(31);
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let two = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let at = hand_over(&deployment, "t1", &one);
    hand_over(&deployment, "t2", &two);
    wait_served_everywhere(&deployment, "the targets are used");
    let end = Instant::now() + Duration::from_secs(10);
    for sequence in 100.. {
        assert_eq!(report(at, "t1", &one, "ready", sequence), Some(HERE));
        thread::sleep(Duration::from_millis(500));
        if Instant::now() > end {
            break;
        }
    }
    let before = two.runs();
    for index in 0..30 {
        let router = ROUTERS[index % ROUTERS.len()];
        assert_eq!(status(&deployment, router, &format!("id-{index}")), 200);
    }
    assert_eq!(two.runs(), before);
}

#[test]
fn the_loss_of_any_router_leaves_the_others_served_and_told() {
    let mut deployment = start(32);
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let two = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let mut sequence = 100;
    hand_over(&deployment, "t1", &one);
    wait_served_everywhere(&deployment, "the first target is used");
    // One of the three is the relay.
    for lost in ROUTERS {
        let name = format!("router-{lost}");
        deployment.kill(&name);
        sequence += 1;
        let control = deployment.at(1, CONTROL_PORT);
        assert!(report(control, "t1", &one, "ready", sequence).is_some());
        assert!(report(control, "t2", &two, "ready", sequence).is_some());
        for router in ROUTERS.into_iter().filter(|&router| router != lost) {
            let runs = two.runs();
            eventually("the second target is used", || {
                status(&deployment, router, "probe") == 200 && two.runs() > runs
            });
        }
        deployment.start_router_at(lost, &name);
        deployment.wait_ready_at(lost);
        eventually("a router that returns is told", || {
            status(&deployment, lost, "probe") == 200
        });
    }
}

#[test]
fn a_router_without_control_instances_takes_no_reports() {
    let mut deployment = start(33);
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let at = hand_over(&deployment, "t1", &one);
    assert_eq!(report(at, "t1", &one, "ready", 100), Some(HERE));
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    eventually("reports are refused", || {
        report(at, "t1", &one, "ready", 101).is_none()
    });
}

#[test]
fn a_fleet_that_is_killed_as_a_whole_serves_again() {
    let mut deployment = Deployment::with_options(34, RELAYED);
    let routers: Vec<u8> = (30..42).collect();
    for &router in &routers {
        deployment.start_router_at(router, &format!("router-{router}"));
    }
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let mut at = hand_over(&deployment, "t1", &one);
    let mut sequence = 100;
    for _ in 0..3 {
        for &router in &routers {
            eventually("every router serves", || {
                status(&deployment, router, "probe") == 200
            });
        }
        // The soft state is written every 3 s.
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
                let taken = report(at, "t1", &one, "ready", sequence);
                let taken = taken.or_else(|| {
                    let control = deployment.at(1, CONTROL_PORT);
                    report(control, "t1", &one, "ready", sequence)
                });
                at = taken.and_then(|taken| taken.next).unwrap_or(at);
                status(&deployment, router, "probe") == 200
            });
        }
        let took = ready_at.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
}
