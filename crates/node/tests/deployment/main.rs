//! Control instances and routers as real processes on loopback addresses.

mod acknowledgements;
mod answers;
mod broken;
#[path = "../support/broken_heads.rs"]
mod broken_heads;
mod broken_soak;
mod caller;
mod callers;
mod control_soak;
mod crashing;
mod crashing_engine;
mod departures;
#[path = "../support/disk.rs"]
mod disk;
mod disks;
mod endless;
mod evacuations;
mod extremes;
mod foreign;
mod harness;
mod late_answers;
mod limited;
mod memory;
#[path = "../support/memory.rs"]
mod memory_probe;
mod prompts;
mod proxy;
mod raw_target;
mod rejected;
mod rejoined;
mod relays;
mod soak;
mod stand_in;
mod stopping;
mod stream_soak;
mod target;
mod unframed;
mod versions;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, Target, call, config, eventually, json_call,
    read_reply, request_text,
};

#[test]
fn requests_are_forwarded_and_draining_targets_get_none() {
    let mut deployment = Deployment::start(1);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let second = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    let reply = deployment
        .request("GET", "/read/1?q", "id-1", "k1")
        .expect("a reply");
    assert_eq!(
        (reply.status, reply.body.as_str()),
        (200, "ok"),
        "{}",
        reply.head
    );
    assert!(
        reply.head.contains("X-Bamboospur-Replica-Stamp: t1"),
        "{}",
        reply.head
    );
    let heads = first.heads.lock().expect("the heads");
    assert!(
        heads[0].starts_with("GET /read/1?q HTTP/1.1\r\n"),
        "{}",
        heads[0]
    );
    assert!(
        heads[0].contains("X-Bamboospur-Tenant: red"),
        "{}",
        heads[0]
    );
    assert!(!heads[0].contains("k1"), "{}", heads[0]);
    drop(heads);

    let denied = deployment
        .request("GET", "/read/1", "id-2", "other")
        .expect("a reply");
    assert_eq!(denied.status, 401);
    let unknown = deployment
        .request("GET", "/none/1", "id-3", "k1")
        .expect("a reply");
    assert_eq!(unknown.status, 404);

    deployment.report("t2", &second, "s", "ready", 1);
    deployment.report("t1", &first, "s", "draining", 2);
    thread::sleep(Duration::from_millis(500));
    let before = first.runs();
    for index in 0..10 {
        let id = format!("id-d{index}");
        let reply = deployment
            .request("GET", "/read/1", &id, "k1")
            .expect("a reply");
        assert_eq!(reply.status, 200);
    }
    assert_eq!((first.runs(), second.runs()), (before, 10));
}

#[test]
fn a_request_that_is_not_repeatable_runs_once_when_its_answer_is_lost() {
    let mut deployment = Deployment::start(2);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::CloseWithoutAnswer);
    let second = Target::start(deployment.host(21), "t2", Behaviour::CloseWithoutAnswer);
    deployment.report("t1", &first, "lossy", "ready", 1);
    deployment.report("t2", &second, "lossy", "ready", 1);
    deployment.wait_ready();
    // A router can be ready before it hears of targets that a control instance acknowledged.
    thread::sleep(versions::SPREAD_TIME);
    let reply = deployment
        .request("POST", "/submit/1", "id-1", "k1")
        .expect("a reply");
    assert_eq!(reply.status, 502, "{}", reply.head);
    assert_eq!(first.runs() + second.runs(), 1);
}

#[test]
fn a_change_survives_the_loss_of_any_control_instance() {
    let mut deployment = Deployment::start(3);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        let name = format!("control-{control}");
        deployment.kill(&name);
        let key = format!("key-{control}");
        deployment.configure(&key);
        // A target that reports nothing new for six seconds is silent.
        deployment.report("t1", &first, "s", "ready", u64::from(control) + 1);
        eventually("the new key works", || {
            let reply = deployment.request("GET", "/read/1", "id", &key);
            reply.is_some_and(|r| r.status == 200)
        });
        deployment.start_control(control, false);
        eventually("the newest configuration is read back", || {
            let reply = json_call(
                deployment.address(control, CONTROL_PORT),
                "GET",
                "/config",
                "",
            );
            reply.is_some_and(|r| r.status == 200 && r.body.contains(&key))
        });
    }
}

#[test]
fn routers_find_control_instances_that_their_seeds_do_not_name() {
    let mut deployment = Deployment::start(6);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    // Two more instances join and replace two of the seeds, one after the other.
    // Afterwards the router's settings name only one instance of the group.
    for (joining, leaving) in [(4, 2), (5, 3)] {
        deployment.start_control(joining, false);
        thread::sleep(Duration::from_secs(4));
        deployment.kill(&format!("control-{leaving}"));
        thread::sleep(Duration::from_secs(5));
    }
    let key = "k2";
    deployment.version += 1;
    let body = config(deployment.version, key);
    eventually("the configuration is accepted", || {
        [1, 4, 5].iter().any(|&control| {
            let address = deployment.address(control, CONTROL_PORT);
            json_call(address, "PUT", "/config", &body).is_some_and(|r| r.status == 200)
        })
    });
    deployment.report("t1", &first, "s", "ready", 2);
    eventually("the new key works", || {
        let reply = deployment.request("GET", "/read/1", "id", key);
        reply.is_some_and(|r| r.status == 200)
    });
    // Without the last seed, the router follows only instances that it learnt of.
    deployment.kill("control-1");
    thread::sleep(Duration::from_secs(6));
    // A target that sends nothing for six seconds gets no more work.
    deployment.report("t1", &first, "s", "ready", 3);
    thread::sleep(Duration::from_millis(500));
    let reply = deployment
        .request("GET", "/read/1", "id", key)
        .expect("a reply");
    assert_eq!(reply.status, 200, "{}", reply.head);
}

#[test]
fn keys_fail_closed_on_a_router_without_control_instances() {
    let mut deployment = Deployment::start(4);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    thread::sleep(Duration::from_secs(5));
    let reply = deployment
        .request("GET", "/read/1", "id-1", "k1")
        .expect("a reply");
    assert_eq!(reply.status, 503, "{}", reply.head);
    assert!(reply.head.contains("Retry-After: "), "{}", reply.head);
    assert_eq!(first.runs(), 0);
}

/// Guards against 404 and 401 for a route or key that a router has not heard of yet: the last
/// confirmation of its configuration is older than changes may take.
#[test]
fn a_router_that_may_have_missed_a_change_refuses_nothing_for_good() {
    let mut deployment = Deployment::start(89);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    assert_eq!(status(&deployment, "/none/1", "k1"), 404);
    assert_eq!(status(&deployment, "/read/1", "other"), 401);
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(status(&deployment, "/read/1", "k1"), 200);
    assert_eq!(status(&deployment, "/none/1", "k1"), 503);
    assert_eq!(status(&deployment, "/read/1", "other"), 503);
}

/// Guards against routers that forget all control instances in a long loss, the seeds of their
/// settings too, and that nothing but a restart brings back.
#[test]
fn a_router_comes_back_after_a_long_loss_of_the_control_group() {
    /// Longer than a control instance that nothing names is remembered.
    const LOSS: Duration = Duration::from_secs(33);
    let mut deployment = Deployment::start(20);
    deployment.start_router_at(10, "router-10");
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    // One router starts without the group, and the other one has known it.
    deployment.kill("router-10");
    deployment.start_router_at(10, "router-10");
    thread::sleep(LOSS);
    for control in 1..=3 {
        deployment.start_control(control, false);
    }
    deployment.report("t1", &first, "s", "ready", 2);
    for index in [9, 10] {
        deployment.wait_ready_at(index);
        eventually("a request is served", || {
            let text = request_text("GET", "/read/1", "id-1", "k1");
            let reply = call(deployment.address(index, CALLER_PORT), &text);
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}

fn status(deployment: &Deployment, path: &str, key: &str) -> u16 {
    let reply = deployment.request("GET", path, "id-1", key);
    reply.expect("a reply").status
}

#[test]
fn a_stopped_router_finishes_streams_and_exits_in_time() {
    let mut deployment = Deployment::start(5);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Stream);
    deployment.report("t1", &first, "engine", "ready", 1);
    deployment.wait_ready();
    let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
    let text = request_text("POST", "/chat/1", "id-1", "k1");
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    eventually("the stream has begun", || first.runs() == 1);
    let mut router = deployment.processes.remove("router").expect("the router");
    let id = i32::try_from(router.id()).expect("a process id");
    let stopped_at = Instant::now();
    kill_process(Pid::from_raw(id).expect("a process id"), Signal::TERM).expect("a signal");
    let reply = read_reply(&mut stream).expect("a whole reply");
    assert_eq!(reply.body.matches("id: ").count(), 10, "{}", reply.body);
    assert!(reply.body.ends_with("0\r\n\r\n"), "{}", reply.body);
    let status = router.wait().expect("it ends");
    assert!(status.success(), "{status}");
    assert!(stopped_at.elapsed() < Duration::from_secs(8));
}

/// Guards against reads of the configuration that take the leader's network link: each read at
/// another instance sent the whole document over it, though all instances have it.
#[test]
fn reads_at_any_control_instance_send_no_document_between_them() {
    const METRICS_PORT: u16 = 9121;
    let mut deployment = Deployment::with_options(22, &["--metrics", "9121"]);
    deployment.configure("k1");
    let metrics = |deployment: &Deployment, control: u8| {
        let address = deployment.address(control, METRICS_PORT);
        json_call(address, "GET", "/metrics", "").map_or_else(String::new, |reply| reply.body)
    };
    // An instance that started later than the others catches up first.
    for control in 1..=3 {
        eventually("the first configuration is in force", || {
            metrics(&deployment, control).contains("bamboospur_config_version 1\n")
        });
    }
    let read = |deployment: &Deployment, control: u8| {
        let address = deployment.address(control, CONTROL_PORT);
        json_call(address, "GET", "/config", "").filter(|reply| reply.status == 200)
    };
    for round in 0..5 {
        deployment.configure(&format!("k-{round}"));
        for control in 1..=3 {
            eventually("the newest configuration is read", || {
                read(&deployment, control).is_some_and(|r| r.body.contains(&format!("k-{round}")))
            });
        }
    }
    for control in 1..=3 {
        for _ in 0..20 {
            assert!(read(&deployment, control).is_some(), "control-{control}");
        }
    }
    let sent = (1..=3).map(|control| {
        let metrics = metrics(&deployment, control);
        let mut lines = metrics
            .lines()
            .filter(|line| line.contains("kind=\"get-done\""));
        let bytes = lines
            .next()
            .and_then(|line| line.rsplit_once(' '))
            .map_or("0", |(_, v)| v);
        bytes.parse::<f64>().expect("a number")
    });
    // An instance that has not applied a change yet may need its document.
    let sent: f64 = sent.sum();
    assert!(sent < 5_000.0, "{sent} bytes");
}
