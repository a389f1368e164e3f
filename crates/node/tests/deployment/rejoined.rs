//! Streams that callers resume after a loss of processes that may also have lost what they
//! knew of software versions: a stream never goes on at a version that did not begin it.

use std::fs;
use std::thread;
use std::time::Duration;

use super::harness::{Behaviour, Deployment, Reply, Target, eventually, report_body};
use super::versions::{SPREAD_TIME, begin, engine, resume, start, wait_ready, writers};

/// Time in which control instances store what they know of targets and processes that have
/// started hear of all of them.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);

/// Asserts that no answer continues the stream of `first` at a target of another name.
fn assert_not_joined(first: &str, reply: &Reply) {
    let rest = writers(&reply.body);
    assert!(
        rest.iter().all(|&writer| writer == first),
        "began at {first}, answered {} and went on at {rest:?}",
        reply.status
    );
}

/// Kills all processes and starts them again.
fn restart_all(deployment: &mut Deployment, before_start: impl FnOnce(&Deployment)) {
    deployment.kill_all();
    before_start(deployment);
    for control in 1..=3 {
        deployment.start_control(control, false);
    }
    deployment.start_router_at(9, "router-9");
    deployment.start_router_at(10, "router-10");
    wait_ready(deployment);
}

/// Reports another start of a target with the software `v2`.
fn report_second_start(deployment: &Deployment, name: &str, target: &Target) {
    let body = report_body(target.address, "engine", "ready", "1");
    let body = body.replacen('{', "{\"version\":\"v2\",", 1);
    let body = body.replace("\"born\":1", "\"born\":2");
    deployment.send_report(name, &body);
}

#[test]
fn a_target_that_was_upgraded_under_its_name_does_not_continue_earlier_streams() {
    let mut deployment = start(65);
    let first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    thread::sleep(SETTLE_TIME);
    let (_caller, body) = begin(&deployment, "id-1", 1);
    assert_eq!(writers(&body)[0], "t1");
    let second = Target::start(deployment.host(21), "t1", Behaviour::Stream);
    report_second_start(&deployment, "t1", &second);
    deployment.kill("router-9");
    thread::sleep(SPREAD_TIME);
    let reply = resume(&deployment, "id-2", "id-1", 1);
    assert_eq!((first.runs(), second.runs()), (1, 0), "{}", reply.body);
}

#[test]
fn an_empty_memory_of_targets_does_not_count_as_knowing_their_versions() {
    let mut deployment = start(66);
    let first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    let (_caller, body) = begin(&deployment, "id-1", 1);
    assert_eq!(writers(&body)[0], "t1");
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    deployment.report("t1", &first, "engine", "draining", 2);
    thread::sleep(SETTLE_TIME);
    // As if a release of this program could not read the file of the one before.
    restart_all(&mut deployment, |deployment| {
        for control in 1..=3 {
            let folder = deployment.folder.join(format!("data-{control}"));
            fs::remove_file(folder.join("store-soft")).expect("the soft state is removed");
        }
    });
    deployment.report_engine("t2", &second, "v2");
    thread::sleep(SETTLE_TIME);
    deployment.report_engine("t2", &second, "v2");
    let reply = resume(&deployment, "id-2", "id-1", 1);
    assert_not_joined("t1", &reply);
}

#[test]
fn a_version_that_started_just_before_a_loss_of_power_is_remembered() {
    let mut deployment = start(67);
    let first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    thread::sleep(SETTLE_TIME);
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    // The caller whose stream begins at the newer version.
    let mut stream = None;
    eventually("a stream begins at the second version", || {
        let id = format!("id-{}", first.runs() + second.runs());
        let (caller, body) = begin(&deployment, &id, 1);
        stream = (writers(&body)[0] == "t2").then_some((caller, id));
        stream.is_some()
    });
    let (_caller, id) = stream.expect("a stream");
    drop(second);
    restart_all(&mut deployment, |_| {});
    deployment.report_engine("t1", &first, "v1");
    thread::sleep(SETTLE_TIME);
    deployment.report_engine("t1", &first, "v1");
    let reply = resume(&deployment, "id-again", &id, 1);
    assert_not_joined("t2", &reply);
}
