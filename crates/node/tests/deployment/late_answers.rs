//! Answers that reach another process than the one that asked: an instance that has restarted
//! keeps its id and its address.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_fleet::clock::BootTime;
use bamboospur_fleet::link::{Frame, Ticket};
use bamboospur_group::{Change, Document, FleetChange};
use rustix::process::Signal;

use super::harness::{CONTROL_PORT, Deployment, Reply, config, eventually, json_call};
use super::stand_in::{ReceivedFrames, StandIn, send};

const METRICS_PORT: u16 = 9121;
/// Tickets that a process gives to its first requests, if it counts from 1.
const FIRST_TICKETS: std::ops::RangeInclusive<Ticket> = 1..=16;
/// Time for which an instance without a leader keeps a request.
const REQUEST_TIME: Duration = Duration::from_millis(850);

/// Sends a call to a control instance that has just started and knows no leader. Meanwhile a
/// peer sends it answers to the first requests of the process before. Returns the reply.
fn call_beside_late_answers(
    network: u8,
    method: &'static str,
    path: &'static str,
    body: String,
    answer: impl Fn(Ticket) -> Frame,
) -> Reply {
    let mut deployment = Deployment::without_router(network);
    deployment.configure("k1");
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    deployment.start_control(1, false);
    let address = deployment.address(1, CONTROL_PORT);
    eventually("the instance listens", || {
        TcpStream::connect(address).is_ok()
    });
    let link = StandIn::new(&deployment, 2).open_link(&deployment, 1);
    let caller = thread::spawn(move || json_call(address, method, path, &body));
    let end = Instant::now() + REQUEST_TIME;
    while Instant::now() < end {
        for ticket in FIRST_TICKETS {
            send(&link, &answer(ticket));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let reply = caller.join().expect("the caller ends");
    reply.expect("a reply")
}

fn accepted(ticket: Ticket) -> Frame {
    let accepted = true;
    Frame::PutDone { ticket, accepted }
}

/// Guards against 200 for a configuration that no instance has: the answer to an order of the
/// process before acknowledged one that waited for a leader.
#[test]
fn a_late_answer_acknowledges_no_configuration_of_the_next_process() {
    let body = config(2, "k2");
    let reply = call_beside_late_answers(190, "PUT", "/config", body, accepted);
    assert_eq!(reply.status, 503, "{}", reply.body);
}

/// Guards against 200 for an evacuation that no instance has heard of.
#[test]
fn a_late_answer_acknowledges_no_evacuation_of_the_next_process() {
    let body = String::new();
    let reply = call_beside_late_answers(191, "POST", "/evacuate/north", body, accepted);
    assert_eq!(reply.status, 503, "{}", reply.body);
}

/// Guards against an older document as the answer to a newer read.
#[test]
fn a_late_answer_ends_no_read_of_the_next_process() {
    let answer = |ticket| Frame::GetDone {
        ticket,
        document: Some(Document::new(1, config(1, "k0").as_bytes())),
    };
    let reply = call_beside_late_answers(192, "GET", "/config", String::new(), answer);
    assert_eq!(reply.status, 503, "{}", reply.body);
}

/// Whether a frame that fits arrives within [`REQUEST_TIME`].
fn arrives(received: &ReceivedFrames, fits: impl Fn(&Frame) -> bool) -> bool {
    let end = Instant::now() + REQUEST_TIME;
    while Instant::now() < end {
        if received.lock().expect("the frames").iter().any(&fits) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Guards against an order that takes effect after its operator was told that its result is not
/// known, and after others that were acknowledged since: each change of the leader kept it for
/// another [`REQUEST_TIME`].
#[test]
fn an_order_is_not_submitted_after_its_operator_was_answered() {
    let mut deployment = Deployment::without_router(193);
    deployment.configure("k1");
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    let leaders = [2, 3].map(|index| {
        let stand_in = StandIn::new(&deployment, index);
        let received = stand_in.listen(|_| Vec::new());
        (stand_in, received)
    });
    deployment.start_control(1, false);
    for (_, received) in &leaders {
        eventually("the instance dials its peers", || {
            arrives(received, |frame| matches!(frame, Frame::Alive(_)))
        });
    }
    let address = deployment.address(1, CONTROL_PORT);
    let caller = thread::spawn(move || json_call(address, "POST", "/evacuate/north", ""));
    let is_order = |frame: &Frame| {
        let Frame::ChangeFleet { change, .. } = frame else {
            return false;
        };
        matches!(change, FleetChange::Evacuate { .. })
    };
    thread::sleep(Duration::from_millis(600));
    let [(first, first_received), (second, second_received)] = leaders;
    let link = first.open_link(&deployment, 1);
    send(&link, &first.heartbeat(&deployment, 1, 1_000));
    assert!(arrives(&first_received, is_order), "the order is forwarded");
    let reply = caller.join().expect("the caller ends").expect("a reply");
    assert_eq!(reply.status, 503, "{}", reply.body);
    let link = second.open_link(&deployment, 1);
    send(&link, &second.heartbeat(&deployment, 1, 2_000));
    assert!(!arrives(&second_received, is_order));
}

/// How the process that sent an order ends, as the leader sees it.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Its link is closed.
    Killed,
    /// Its machine lost power: the link stays open until the leader takes it for silent.
    PowerLost,
}

/// Returns the control instance that leads, one of 1 and 3.
fn leader(deployment: &Deployment) -> Option<u8> {
    let leads = |&control: &u8| {
        let address = deployment.address(control, METRICS_PORT);
        let reply = json_call(address, "GET", "/metrics", "");
        reply.is_some_and(|reply| reply.body.contains("bamboospur_leads 1\n"))
    };
    [1, 3].into_iter().find(leads)
}

/// Sends an order through a process that ends before a quorum has accepted it, and returns what
/// the leader sent to the next process of that instance.
fn frames_to_the_next_process(network: u8, end: End) -> Vec<Frame> {
    let mut deployment = Deployment::with_options(network, &["--metrics", "9121"]);
    deployment.configure("k1");
    deployment.kill("control-2");
    let stand_in = StandIn::new(&deployment, 2);
    let received = stand_in.listen(|_| Vec::new());
    let mut found = None;
    eventually("an instance leads", || {
        found = leader(&deployment);
        found.is_some()
    });
    let leader = found.expect("a leader");
    let first = stand_in.open_link(&deployment, leader);
    eventually("the leader dials the instance", || {
        let frames = received.lock().expect("the frames");
        frames.iter().any(|frame| matches!(frame, Frame::Alive(_)))
    });
    let other = format!("control-{}", 4 - leader);
    deployment.signal(&other, Signal::STOP);
    let order = Frame::Put {
        ticket: 1,
        document: Document::new(2, config(2, "k2").as_bytes()),
    };
    send(&first, &order);
    thread::sleep(Duration::from_millis(50));
    let first = match end {
        End::Killed => None,
        End::PowerLost => Some(first),
    };
    let second = stand_in.open_link(&deployment, leader);
    thread::sleep(Duration::from_millis(50));
    received.lock().expect("the frames").clear();
    deployment.signal(&other, Signal::CONT);
    eventually("the order is accepted", || {
        let address = deployment.address(leader, CONTROL_PORT);
        let reply = json_call(address, "GET", "/config", "");
        reply.is_some_and(|reply| reply.status == 200 && reply.body.contains("k2"))
    });
    thread::sleep(Duration::from_millis(200));
    drop((first, second));
    received.lock().expect("the frames").clone()
}

fn is_answer(frame: &Frame) -> bool {
    matches!(frame, Frame::PutDone { .. })
}

/// Guards against answers to a process that did not ask, which builds that count tickets from 1
/// take for the answer to a request of their own.
#[test]
fn a_leader_does_not_answer_the_process_after_one_that_was_killed() {
    let frames = frames_to_the_next_process(194, End::Killed);
    assert!(!frames.iter().any(is_answer), "{frames:?}");
}

/// As above; the leader has not noticed that the first process is gone.
#[test]
fn a_leader_does_not_answer_the_process_after_one_that_lost_power() {
    let frames = frames_to_the_next_process(195, End::PowerLost);
    assert!(!frames.iter().any(is_answer), "{frames:?}");
}

/// Guards against a lease that an answer to another query extends, such as one that names a time
/// and was sent to the process before.
#[test]
fn a_router_trusts_a_version_only_as_the_answer_to_its_query() {
    let mut deployment = Deployment::without_router(196);
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    let answers_queries = Arc::new(AtomicBool::new(false));
    let answers = Arc::clone(&answers_queries);
    StandIn::new(&deployment, 1).listen(move |frame| match frame {
        Frame::RequestTargets { .. } => vec![Frame::AllTargets(Vec::new())],
        Frame::RequestConfig(_) => {
            let document = Document::new(1, config(1, "k1").as_bytes());
            vec![Frame::Config(Change::Whole(document))]
        }
        Frame::Ask(ticket) => {
            let asked = if answers.load(Ordering::SeqCst) {
                *ticket
            } else {
                BootTime::now().0
            };
            let in_force = Frame::InForce {
                asked,
                version: 1,
                routers: 1,
                fleet: 0,
            };
            let document = Document::new(1, config(1, "k1").as_bytes());
            vec![Frame::Config(Change::Whole(document)), in_force]
        }
        _ => Vec::new(),
    });
    deployment.start_router();
    let status = || {
        let reply = deployment.request("GET", "/none/1", "id-1", "k1");
        reply.map(|reply| reply.status)
    };
    thread::sleep(Duration::from_secs(3));
    // Whether there is such a route is not known without a confirmed configuration.
    assert_eq!(status(), Some(503));
    answers_queries.store(true, Ordering::SeqCst);
    eventually("the configuration is confirmed", || status() == Some(404));
}
