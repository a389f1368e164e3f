//! Disks of control instances that are full for some time.

use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CONTROL_PORT, Deployment, Target, call, config, eventually, json_call,
};
use super::harness::{READY_PORT, request_text};

/// Time for which a disk is full.
const FULL_TIME: Duration = Duration::from_secs(2);
/// Longest time from room on a disk to the acknowledgement of a change by its instance.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Sends a change to one control instance until that acknowledges it.
fn change(deployment: &mut Deployment, control: u8, key: &str) -> Duration {
    deployment.version += 1;
    let body = config(deployment.version, key);
    let sent_at = Instant::now();
    eventually("the change is acknowledged", || {
        let address = deployment.address(control, CONTROL_PORT);
        json_call(address, "PUT", "/config", &body).is_some_and(|reply| reply.status == 200)
    });
    sent_at.elapsed()
}

#[test]
fn changes_are_accepted_after_each_disk_was_full_in_turn() {
    let mut deployment = Deployment::start(46);
    deployment.configure("k0");
    for round in 0..3 {
        for full in 1..=3 {
            deployment.set_disk_full(full, true);
            change(&mut deployment, full % 3 + 1, "k1");
            thread::sleep(FULL_TIME);
            deployment.set_disk_full(full, false);
            let took = change(&mut deployment, full, "k2");
            assert!(took < MAX_CHANGE_TIME, "round {round}: {took:?}");
        }
    }
    for control in 1..=3 {
        change(&mut deployment, control, "k3");
    }
}

/// The state with the departures of targets was written again only with the next change.
#[test]
fn a_departure_is_on_disk_once_there_is_room() {
    let mut deployment = Deployment::start(47);
    deployment.configure("k1");
    let staying = Target::start(deployment.host(20), "t0", Behaviour::Answer);
    let leaving = Target::start(deployment.host(21), "t1", Behaviour::Answer);
    deployment.report("t0", &staying, "s", "ready", 1);
    deployment.report("t1", &leaving, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        deployment.set_disk_full(control, true);
    }
    let address = deployment.address(1, CONTROL_PORT);
    let reply = json_call(address, "DELETE", "/replicas/t1", "{\"born\":1}");
    assert_eq!(
        reply.map(|reply| reply.status),
        Some(503),
        "no disk has the departure"
    );
    for control in 1..=3 {
        deployment.set_disk_full(control, false);
    }
    thread::sleep(FULL_TIME);
    deployment.kill_all();
    for control in 1..=3 {
        deployment.start_control(control, false);
    }
    deployment.start_router();
    deployment.report("t0", &staying, "s", "ready", 2);
    let ready = "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
    eventually("the router is ready", || {
        call(deployment.address(9, READY_PORT), ready).is_some_and(|reply| reply.status == 200)
    });
    let before = leaving.runs();
    for number in 0..20 {
        let text = request_text("GET", "/read/1", &format!("id-{number}"), "k1");
        call(deployment.caller_address(), &text);
    }
    assert_eq!(leaving.runs(), before);
}
