//! What was acknowledged survives the loss of its sender; a row of docs/acknowledgements.md each.
//! Departures have tests of their own (departures.rs).

use std::thread;
use std::time::Duration;

use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, Target, call, config, eventually, json_call,
    report_body, request_text,
};

/// Time in which the group replaces a voter that has lost its disk, before the next loss.
const REPLACE_TIME: Duration = Duration::from_secs(10);

/// Kills a control instance and starts it again with an empty disk.
fn lose_disk(deployment: &mut Deployment, control: u8) {
    deployment.kill(&format!("control-{control}"));
    deployment.remove_data(control);
    deployment.start_control(control, false);
}

fn newest_key_is_read_back(deployment: &Deployment, key: &str) {
    for control in 1..=3 {
        eventually("the newest configuration is read back", || {
            let address = deployment.address(control, CONTROL_PORT);
            let reply = json_call(address, "GET", "/config", "");
            reply.is_some_and(|reply| reply.status == 200 && reply.body.contains(key))
        });
    }
}

/// A change is on the disks of a quorum when any instance acknowledges it.
#[test]
fn a_change_survives_the_loss_of_any_disk_right_after_its_acknowledgement() {
    let mut deployment = Deployment::without_router(93);
    deployment.configure("k0");
    // The instance that acknowledged is lost, or another one: the leader is one of them.
    for (via, lost) in [(1, 1), (2, 3), (3, 2)] {
        deployment.version += 1;
        let key = format!("key-{via}");
        let body = config(deployment.version, &key);
        eventually("the change is acknowledged", || {
            let address = deployment.address(via, CONTROL_PORT);
            json_call(address, "PUT", "/config", &body).is_some_and(|reply| reply.status == 200)
        });
        lose_disk(&mut deployment, lost);
        newest_key_is_read_back(&deployment, &key);
        thread::sleep(REPLACE_TIME);
    }
}

/// The order to evacuate a data centre is agreed on like a change.
#[test]
fn an_evacuation_survives_the_loss_of_the_instance_and_its_disk() {
    let mut deployment = Deployment::start(94);
    deployment.configure("k1");
    let north = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let south = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    let report = |deployment: &Deployment, sequence: u64| {
        deployment.report("t1", &north, "s", "ready", sequence);
        let body = report_body(south.address, "s", "ready", &sequence.to_string());
        deployment.send_report("t2", &body.replace("north", "south"));
    };
    report(&deployment, 1);
    deployment.wait_ready();
    let address = deployment.address(2, CONTROL_PORT);
    eventually("the order is acknowledged", || {
        let reply = json_call(address, "POST", "/evacuate/north", "");
        reply.is_some_and(|reply| reply.status == 200)
    });
    lose_disk(&mut deployment, 2);
    deployment.kill("router");
    deployment.start_router();
    deployment.wait_ready();
    report(&deployment, 2);
    thread::sleep(Duration::from_secs(1));
    let before = north.runs();
    for number in 0..20 {
        let text = request_text("GET", "/read/1", &format!("id-{number}"), "k1");
        let reply = call(deployment.address(9, CALLER_PORT), &text).expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    assert_eq!(north.runs(), before);
}

/// The acknowledgement of a ready target promises nothing: its next report, to any instance, is
/// enough.
#[test]
fn a_ready_target_is_used_after_its_next_report_whoever_is_lost() {
    let mut deployment = Deployment::start(95);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let body = |sequence: &str| report_body(target.address, "s", "ready", sequence);
    let report = |deployment: &Deployment, control: u8, sequence: &str| {
        eventually("a report is acknowledged", || {
            let address = deployment.address(control, CONTROL_PORT);
            let reply = json_call(address, "PUT", "/replicas/t1", &body(sequence));
            reply.is_some_and(|reply| reply.status == 200)
        });
    };
    report(&deployment, 1, "1");
    lose_disk(&mut deployment, 1);
    report(&deployment, 2, "2");
    deployment.wait_ready();
    eventually("the target is used", || {
        let reply = deployment.request("GET", "/read/1", "id", "k1");
        reply.is_some_and(|reply| reply.status == 200)
    });
    assert!(target.runs() > 0);
}
