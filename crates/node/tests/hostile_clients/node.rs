//! Crowds at the doors of a node.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::crowd::{Client, Crowd};
use super::harness::comes_true;
use super::run_alone;
use super::support::{Caller, Node};
use super::usage::Watch;

/// Connections of a crowd.
const CROWD: usize = 2_500;
/// Memory that a node may use.
const MEMORY_MB: u64 = 260;
/// Descriptors that a node may open.
const MAX_FDS: u64 = 4_100;
/// Time for which a crowd sends.
const SENDING_TIME: Duration = Duration::from_secs(6);
/// Size of a large body within the limits.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;

const CALLER_HEAD: &str = "POST /services/records/1 HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: crowd\r\n\
     Authorization: Bearer demo\r\n";
const ANNOUNCE_HEAD: &str = "POST /targets/announce HTTP/1.1\r\nHost: a.example\r\n";

#[derive(Clone, Copy)]
enum Door {
    Callers,
    Operators,
}

fn is_answered(address: SocketAddr) -> bool {
    let caller = Caller::new(address);
    let request = caller.request_head("GET", "/services/records/1") + "\r\n";
    try_send(address, &request) == Some(200)
}

fn try_send(address: SocketAddr, request: &str) -> Option<u16> {
    let timeout = Duration::from_secs(8);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).ok()?;
    std::str::from_utf8(&status_line[9..]).ok()?.parse().ok()
}

/// Sends a crowd to a door of a node, and checks that ordinary callers and operators are answered
/// beside it and behind it, and that the node keeps its limits.
fn send_to_node(node: &Node, door: Door, connections: usize, client: Client) {
    let ports = [node.callers.port(), node.operators.port()];
    let watch = Watch::start(node.id(), move |address| ports.contains(&address.port()));
    let address = match door {
        Door::Callers => node.callers,
        Door::Operators => node.operators,
    };
    let mut unanswered = Vec::new();
    let mut expect_answers = |when: &'static str| {
        if !comes_true(|| is_answered(node.callers)) {
            unanswered.push(("caller", when));
        }
        let request = Caller::new(node.operators).request_head("GET", "/status") + "\r\n";
        if !comes_true(|| try_send(node.operators, &request) == Some(200)) {
            unanswered.push(("operator", when));
        }
    };
    let crowd = Crowd::start(address, connections, client);
    thread::sleep(SENDING_TIME);
    expect_answers("beside the crowd");
    crowd.fall_silent();
    expect_answers("beside the open connections of the crowd");
    println!("{} connections open", crowd.open());
    drop(crowd);
    expect_answers("after the crowd");
    let peak = watch.peak();
    println!("node: {peak:?}, no answer: {unanswered:?}");
    assert!(unanswered.is_empty(), "{unanswered:?}");
    assert!(peak.total_mb < MEMORY_MB, "{peak:?}");
    assert!(peak.descriptors < MAX_FDS, "{peak:?}");
}

fn send(door: Door, client: Client) {
    let _alone = run_alone();
    let node = Node::start();
    let _records = node.add_records(&[]);
    send_to_node(&node, door, CROWD, client);
}

#[test]
fn callers_with_bodies_in_small_chunks_leave_memory_and_answers_for_others() {
    send(
        Door::Callers,
        Client::chunked(CALLER_HEAD, 1, LARGE_BODY_BYTES),
    );
}

#[test]
fn callers_with_large_bodies_leave_memory_and_answers_for_others() {
    send(
        Door::Callers,
        Client::with_length(CALLER_HEAD, LARGE_BODY_BYTES, 1),
    );
}

/// Bodies that do not end held all requests of the instance until their time was over.
#[test]
fn callers_with_unfinished_bodies_leave_requests_for_others() {
    let _alone = run_alone();
    let node = Node::builder().limit("requests", 20).start();
    let _records = node.add_records(&[]);
    let client = Client::with_length(CALLER_HEAD, 16 * 1024, 1);
    send_to_node(&node, Door::Callers, 150, client);
}

#[test]
fn callers_without_requests_leave_connections_for_others() {
    let _alone = run_alone();
    let node = Node::builder().limit("connections", 200).start();
    let _records = node.add_records(&[]);
    send_to_node(&node, Door::Callers, 1_000, Client::only("GET /"));
}

#[test]
fn operators_with_bodies_in_small_chunks_leave_memory_and_answers_for_others() {
    send(
        Door::Operators,
        Client::chunked(ANNOUNCE_HEAD, 1, LARGE_BODY_BYTES),
    );
}

/// More connections than descriptors.
#[test]
fn operators_without_requests_leave_descriptors_for_others() {
    let _alone = run_alone();
    let node = Node::start();
    let _records = node.add_records(&[]);
    send_to_node(&node, Door::Operators, 6_000, Client::only("GET /"));
}
