//! Streams over targets of two software versions: a stream goes on only at the version
//! that began it, in one answer and over the attempts of its caller.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, Reply, Target, call, config, eventually,
    json_call, request_text,
};
use super::target::EVENTS;

/// Time after which all routers know of a target that reported, and where a stream began.
pub const SPREAD_TIME: Duration = Duration::from_millis(600);
/// Time after its start in which a process has heard of all targets, which report every 1.2 s.
const KNOWS_TARGETS_AFTER: Duration = Duration::from_secs(4);
/// Longest time for a rejection that needs no target.
const MAX_REJECTION_TIME: Duration = Duration::from_secs(1);

/// Starts a deployment with two routers.
pub fn start(network: u8) -> Deployment {
    let mut deployment = Deployment::without_router(network);
    deployment.start_router_at(9, "router-9");
    deployment.start_router_at(10, "router-10");
    deployment.configure("k1");
    deployment
}

pub fn wait_ready(deployment: &Deployment) {
    deployment.wait_ready_at(9);
    deployment.wait_ready_at(10);
    thread::sleep(SPREAD_TIME);
}

pub fn engine(
    deployment: &Deployment,
    index: u8,
    name: &'static str,
    software: &str,
    behaviour: Behaviour,
) -> Target {
    let target = Target::start(deployment.host(index), name, behaviour);
    deployment.report_engine(name, &target, software);
    target
}

/// Returns a request that takes up the stream of `resumed` after an event.
fn resume_text(id: &str, resumed: &str, last_event: u64) -> String {
    let fields = format!("Resumes: {resumed}\r\nLast-Event-Id: {last_event}\r\nContent-Length");
    request_text("POST", "/talk/1", id, "k1").replacen("Content-Length", &fields, 1)
}

pub fn resume(deployment: &Deployment, id: &str, resumed: &str, last_event: u64) -> Reply {
    let router = deployment.address(10, CALLER_PORT);
    call(router, &resume_text(id, resumed, last_event)).expect("a reply")
}

/// Sends a request to the first router and reads its stream up to an event.
pub fn begin(deployment: &Deployment, id: &str, last_event: u64) -> (TcpStream, String) {
    let mut caller = TcpStream::connect(deployment.address(9, CALLER_PORT)).expect("a connection");
    let text = request_text("POST", "/talk/1", id, "k1");
    caller.write_all(text.as_bytes()).expect("it is sent");
    let mut read = String::new();
    let mut buffer = [0; 1024];
    let wanted = format!("id: {last_event}\n");
    while !read.contains(&wanted) {
        let count = caller.read(&mut buffer).expect("events");
        assert!(count > 0, "the stream ended early: {read}");
        read.push_str(std::str::from_utf8(&buffer[..count]).expect("text"));
    }
    (caller, read)
}

/// Returns the targets that wrote the events of an answer.
pub fn writers(body: &str) -> Vec<&str> {
    let lines = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .map(str::trim_end);
    lines.collect()
}

#[test]
fn a_stream_that_a_router_resumes_keeps_the_software_version_that_began_it() {
    let deployment = start(61);
    let breaking = engine(&deployment, 20, "t1", "v1", Behaviour::BreakOff);
    wait_ready(&deployment);
    let (mut caller, mut body) = begin(&deployment, "id-1", 1);
    let other = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    // The stream breaks after its third event, with only the other version left.
    let _broken = caller.read_to_string(&mut body);
    assert_eq!(writers(&body), ["t1"; 3], "{body}");
    assert_eq!((breaking.runs(), other.runs()), (1, 0));
}

#[test]
fn a_stream_that_a_router_resumes_goes_on_at_another_target_of_its_version() {
    let deployment = start(57);
    let breaking = engine(&deployment, 20, "t1", "v1", Behaviour::BreakOff);
    wait_ready(&deployment);
    let gate = breaking.end_gate.lock().expect("the gate");
    let (mut caller, mut body) = begin(&deployment, "id-1", 1);
    let others = [(21, "t2", "v2"), (22, "t3", "v1"), (23, "t4", "v2")];
    let others = others.map(|(index, name, software)| {
        engine(&deployment, index, name, software, Behaviour::Stream)
    });
    thread::sleep(SPREAD_TIME);
    drop(gate);
    let _closed = caller.read_to_string(&mut body);
    let mut expected = vec!["t1"; 3];
    expected.extend(["t3"; 7]);
    assert_eq!(writers(&body), expected, "{body}");
    assert_eq!(others.map(|target| target.runs()), [0, 1, 0]);
}

#[test]
fn a_stream_that_a_caller_resumes_keeps_the_software_version_that_began_it() {
    const STREAMS: usize = 8;
    let mut deployment = start(51);
    let names = [("t1", "v1"), ("t2", "v1"), ("t3", "v2"), ("t4", "v2")];
    let targets: Vec<Target> = (20..)
        .zip(names)
        .map(|(index, (name, software))| {
            engine(&deployment, index, name, software, Behaviour::Stream)
        })
        .collect();
    wait_ready(&deployment);
    let ids: Vec<String> = (0..STREAMS).map(|index| format!("id-{index}")).collect();
    let begun: Vec<_> = ids.iter().map(|id| begin(&deployment, id, 1)).collect();
    thread::sleep(SPREAD_TIME);
    deployment.kill("router-9");
    let version = |name: &str| names.iter().find(|known| known.0 == name).map(|n| n.1);
    // All at once, as targets that report only once count as silent after six seconds.
    let replies: Vec<Reply> = thread::scope(|scope| {
        let deployment = &deployment;
        let resume = |id: &String| resume(deployment, &format!("{id}-again"), id, 1);
        let threads = ids.iter().map(|id| scope.spawn(move || resume(id)));
        let threads: Vec<_> = threads.collect();
        let replies = threads.into_iter().map(thread::ScopedJoinHandle::join);
        replies.map(|reply| reply.expect("a reply")).collect()
    });
    for ((id, (_, body)), reply) in ids.iter().zip(&begun).zip(&replies) {
        let first = writers(body)[0];
        assert_eq!(reply.status, 200, "{id}: {}", reply.body);
        let rest = writers(&reply.body);
        assert_eq!(rest.len() as u64, EVENTS - 1, "{id}: {}", reply.body);
        assert!(
            rest.iter().all(|name| version(name) == version(first)),
            "{id}: began at {first} and went on at {rest:?}"
        );
    }
    assert!(targets.iter().map(Target::runs).sum::<usize>() >= 2 * STREAMS);
}

#[test]
fn a_stream_whose_software_version_has_left_is_rejected_at_once() {
    let mut deployment = start(52);
    let first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    let begun = begin(&deployment, "id-1", 1);
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    deployment.report("t1", &first, "engine", "draining", 2);
    thread::sleep(SPREAD_TIME);
    deployment.kill("router-9");
    drop(begun);
    let asked_at = Instant::now();
    let reply = resume(&deployment, "id-2", "id-1", 1);
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(asked_at.elapsed() < MAX_REJECTION_TIME);
    // Nobody knows where this stream began, and two versions have served lately.
    let reply = resume(&deployment, "id-3", "id-unknown", 1);
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!((first.runs(), second.runs()), (1, 0));
}

#[test]
fn a_stream_that_no_router_remembers_goes_on_while_all_targets_have_one_version() {
    let deployment = start(53);
    thread::sleep(KNOWS_TARGETS_AFTER);
    let _first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    let reply = resume(&deployment, "id-2", "id-unknown", 4);
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(writers(&reply.body).len() as u64, EVENTS - 4);
}

#[test]
fn a_stream_that_began_before_the_second_version_started_is_known_to_other_routers() {
    let mut deployment = start(54);
    let _first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    let begun = begin(&deployment, "id-1", 1);
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    thread::sleep(SPREAD_TIME);
    deployment.kill("router-9");
    drop(begun);
    eventually("the stream goes on", || {
        let reply = resume(&deployment, "id-2", "id-1", 1);
        reply.status == 200 && writers(&reply.body) == ["t1"; 9]
    });
    assert_eq!(second.runs(), 0);
}

#[test]
fn a_stream_is_known_after_all_control_instances_have_restarted() {
    let mut deployment = start(59);
    let _first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    wait_ready(&deployment);
    let begun = begin(&deployment, "id-1", 1);
    let began_at = writers(&begun.1)[0].to_owned();
    thread::sleep(SPREAD_TIME);
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    for control in 1..=3 {
        deployment.start_control(control, false);
    }
    thread::sleep(SPREAD_TIME * 2);
    deployment.kill("router-9");
    drop(begun);
    let before = second.runs();
    let reply = resume(&deployment, "id-2", "id-1", 1);
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(writers(&reply.body), [began_at.as_str(); 9]);
    assert_eq!(second.runs() - before, usize::from(began_at == "t2"));
}

#[test]
fn processes_that_have_just_started_do_not_guess_where_a_stream_began() {
    let mut deployment = start(60);
    let first = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    // The control instances store what they know of targets every three seconds, and the
    // second engine starts just before they are killed.
    thread::sleep(Duration::from_millis(3_500));
    let second = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    for name in ["control-1", "control-2", "control-3", "router-10"] {
        deployment.kill(name);
    }
    for control in 1..=3 {
        deployment.start_control(control, false);
    }
    deployment.start_router_at(10, "router-10");
    deployment.wait_ready_at(10);
    deployment.report_engine("t1", &first, "v1");
    let reply = resume(&deployment, "id-2", "id-1", 1);
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert_eq!((first.runs(), second.runs()), (0, 0));
}

/// Guards against a router that stood still while a release replaced all targets, and then joins
/// a stream of the new version with the old one.
#[test]
fn a_router_that_stood_still_during_a_release_joins_no_other_version() {
    let mut deployment = start(8);
    let old = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    wait_ready(&deployment);
    deployment.signal("router-10", Signal::STOP);
    let new = engine(&deployment, 21, "t2", "v2", Behaviour::Stream);
    deployment.report("t1", &old, "engine", "draining", 2);
    thread::sleep(SPREAD_TIME);
    let (named, _) = begin(&deployment, "id-1", 1);
    let (unnamed, _) = begin(&deployment, "id-2", 1);
    deployment.kill("router-9");
    drop((named, unnamed));
    let before = old.runs();
    deployment.signal("router-10", Signal::CONT);
    // The first requests arrive before the router has heard of anything.
    for attempt in 0..8 {
        let reply = resume(&deployment, &format!("id-1-{attempt}"), "id-1", 1);
        let joined = writers(&reply.body);
        assert!(joined.iter().all(|name| *name == "t2"), "{}", reply.body);
        let text = request_text("POST", "/talk/1", &format!("id-2-{attempt}"), "k1");
        let text = text.replacen("Content-Length", "Last-Event-Id: 1\r\nContent-Length", 1);
        let reply = call(deployment.address(10, CALLER_PORT), &text).expect("a reply");
        let joined = writers(&reply.body);
        assert!(joined.iter().all(|name| *name == "t2"), "{}", reply.body);
    }
    assert_eq!((old.runs(), new.runs() >= 2), (before, true));
}

/// Guards against a stream that goes on at another service because its route has moved there, and
/// the router that began it is gone.
#[test]
fn a_stream_whose_route_has_moved_is_not_joined_at_the_new_service() {
    let mut deployment = start(21);
    let old = engine(&deployment, 20, "t1", "v1", Behaviour::Stream);
    let new = Target::start(deployment.host(21), "t2", Behaviour::Stream);
    deployment.report("t2", &new, "s", "ready", 1);
    wait_ready(&deployment);
    let begun = begin(&deployment, "id-1", 1);
    deployment.version += 1;
    let moved = config(deployment.version, "k1");
    let (before, talk) = moved.split_once("\"name\":\"talk\"").expect("the route");
    let talk = talk.replacen("\"service\":\"engine\"", "\"service\":\"s\"", 1);
    let moved = format!("{before}\"name\":\"talk\"{talk}");
    eventually("the route moves", || {
        let address = deployment.address(1, CONTROL_PORT);
        json_call(address, "PUT", "/config", &moved).is_some_and(|reply| reply.status == 200)
    });
    thread::sleep(SPREAD_TIME);
    deployment.kill("router-9");
    drop(begun);
    let named = resume(&deployment, "id-2", "id-1", 1);
    let unnamed = resume_text("id-3", "id-1", 1).replacen("Resumes: id-1\r\n", "", 1);
    let unnamed = call(deployment.address(10, CALLER_PORT), &unnamed).expect("a reply");
    assert_eq!(
        (named.status, unnamed.status),
        (503, 503),
        "{}",
        unnamed.body
    );
    assert_eq!((old.runs(), new.runs()), (1, 0));
    // A new stream begins at the new service.
    let text = request_text("POST", "/talk/1", "id-4", "k1");
    let fresh = call(deployment.address(10, CALLER_PORT), &text).expect("a reply");
    assert_eq!((fresh.status, new.runs()), (200, 1), "{}", fresh.body);
}
