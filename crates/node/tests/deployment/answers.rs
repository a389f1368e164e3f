//! What targets write where it is not expected.
//!
//! A caller gets its own answer whole, or an error that says what is true; never bytes of
//! another answer.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bamboospur_types::Rng;

use super::harness::{Deployment, Reply, read_reply, report_body, request_text};
use super::raw_target::{self, RawConnection, RawRequest, answer, without_id};

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";
const NOT_RUN: &str = "X-Bamboospur-Not-Executed: 1\r\n";
/// Longer than a target is avoided that is only full.
const FULL_TIME: Duration = Duration::from_millis(200);
/// Time until a target has read what was sent before, and less than a router waits.
const PAUSE: Duration = Duration::from_millis(100);

/// Fuzzed targets of a service; a router avoids those that have just rejected or failed.
const TARGETS: u32 = 8;

type Serve = fn(&mut RawConnection) -> Option<()>;

/// Starts a deployment with these targets of a service.
fn deployment_with(network: u8, service: &str, targets: &[Serve]) -> Deployment {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    for (index, serve) in targets.iter().enumerate() {
        let address = raw_target::start(deployment.host(20), *serve);
        let report = report_body(address, service, "ready", "1");
        deployment.send_report(&format!("t{index}"), &report);
    }
    deployment.wait_ready();
    thread::sleep(super::versions::SPREAD_TIME);
    deployment
}

/// Streams three events and closes the connection.
fn break_off(connection: &mut RawConnection, request: &RawRequest) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {}\r\nX-Bamboospur-Replica-Stamp: t\r\n\
         {EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n",
        request.id()
    );
    connection.write(&head)?;
    for event in 1..=3 {
        let event = format!("id: {event}\ndata: own\n\n");
        connection.write(&format!("{:x}\r\n{event}\r\n", event.len()))?;
    }
    None
}

/// Whether the caller got events alone, and no end of the stream.
fn is_broken_off(reply: &Reply) -> bool {
    let events = reply.body.matches("data: own").count();
    let chunks = reply.body.matches("\r\n").count();
    // A chunk has two line ends besides those of its content, which has none of this kind.
    events == 3 && chunks.is_multiple_of(2) && !reply.body.ends_with("0\r\n\r\n")
}

/// Guards against the head and body of another target's answer in the middle of a stream.
#[test]
fn an_answer_that_is_no_stream_does_not_go_into_one_that_has_begun() {
    fn serve(connection: &mut RawConnection, status: &str) -> Option<()> {
        let request = connection.read_request()?;
        if request.field("last-event-id").is_none() {
            return break_off(connection, &request);
        }
        connection.write(&answer(request.id(), status, "", "another answer"))
    }
    let kinds: [(u8, &str, Serve); 2] = [
        (81, "404", |c| serve(c, "404 Not Found")),
        (82, "200", |c| serve(c, "200 OK")),
    ];
    for (network, status, serve) in kinds {
        let deployment = deployment_with(network, "engine", &[serve, serve]);
        let reply = deployment.request("POST", "/talk/1", "id-1", "k1");
        let reply = reply.expect("a reply");
        assert_eq!(reply.status, 200, "{}", reply.head);
        assert!(
            !reply.body.contains("another") && !reply.body.contains("HTTP/1.1"),
            "{status}: {}",
            reply.body
        );
        assert!(is_broken_off(&reply), "{status}: {}", reply.body);
    }
}

/// Guards against a stream that ends as if it were whole because the target that should go on
/// closed the connection before any event.
#[test]
fn a_continuation_without_events_that_is_closed_does_not_end_a_stream() {
    let serve: Serve = |connection| {
        let request = connection.read_request()?;
        if request.field("last-event-id").is_none() {
            return break_off(connection, &request);
        }
        let head = answer(request.id(), "200 OK", EVENT_STREAM, "");
        connection.write(&head.replace("Content-Length: 0\r\n", ""))?;
        None
    };
    let deployment = deployment_with(83, "engine", &[serve, serve]);
    let reply = deployment.request("POST", "/talk/1", "id-1", "k1");
    let reply = reply.expect("a reply");
    assert!(is_broken_off(&reply), "{}", reply.body);
}

/// Guards against an answer that ends inside its head or body and looks whole.
#[test]
fn an_answer_that_is_cut_at_any_byte_does_not_look_whole() {
    fn serve(connection: &mut RawConnection, whole: impl Fn(&str) -> String) -> Option<()> {
        let request = connection.read_request()?;
        let whole = whole(request.id());
        let (_, cut) = request.id().rsplit_once('-')?;
        let cut = cut.parse().ok().filter(|&cut| cut < whole.len())?;
        connection.write(&whole[..cut])?;
        None
    }
    fn plain(id: &str) -> String {
        answer(id, "200 OK", "", "a whole body")
    }
    fn events(id: &str) -> String {
        let head = answer(id, "200 OK", EVENT_STREAM, "");
        let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let events = (1..=3).map(|event| format!("id: {event}\ndata: own\n\n"));
        let chunks = events.map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
        head + &chunks.collect::<String>() + "0\r\n\r\n"
    }
    let kinds: [(u8, &str, &str, Serve, usize); 2] = [
        (
            9,
            "lossy",
            "/submit/1",
            |c| serve(c, plain),
            plain("cut-000").len(),
        ),
        (
            10,
            "engine",
            "/chat/1",
            |c| serve(c, events),
            events("cut-000").len(),
        ),
    ];
    for (network, service, path, serve, length) in kinds {
        let deployment = deployment_with(network, service, &[serve]);
        for cut in 0..length {
            let reply = deployment.request("POST", path, &format!("cut-{cut:03}"), "k1");
            let Some(reply) = reply else { continue };
            let is_whole = match service {
                "engine" => reply.status == 200 && reply.body.ends_with("0\r\n\r\n"),
                _ => reply.status == 200,
            };
            assert!(
                !is_whole,
                "{path} cut at {cut}: {}\r\n\r\n{}",
                reply.head, reply.body
            );
            let may_have_run = !matches!(reply.status, 408 | 421 | 429 | 503);
            assert!(may_have_run, "{path} cut at {cut}: {}", reply.head);
        }
    }
}

/// Guards against bytes of a further answer that a caller gets as an event of its stream.
#[test]
fn a_further_answer_is_no_event_of_a_stream() {
    let serve: Serve = |connection| {
        let request = connection.read_request()?;
        let head = answer(request.id(), "200 OK", EVENT_STREAM, "");
        connection.write(&head.replace("Content-Length: 0\r\n", ""))?;
        connection.write("id: 1\ndata: own\n\nid: 2\ndata: ow")?;
        connection.write(&answer(request.id(), "200 OK", "", "another answer"))?;
        None
    };
    let deployment = deployment_with(84, "engine", &[serve]);
    let reply = deployment.request("POST", "/talk/1", "id-1", "k1");
    if let Some(reply) = reply {
        assert!(
            !reply.body.contains("another") && !reply.body.contains("HTTP/1.1"),
            "{}",
            reply.body
        );
        assert!(!reply.body.ends_with("0\r\n\r\n"), "{}", reply.body);
    }
}

/// Guards against "not run" for a request that runs: a target wrote the refusal of the request
/// before it once more, without an id.
#[test]
fn an_earlier_refusal_that_comes_again_without_an_id_refuses_no_other_request() {
    fn serve(connection: &mut RawConnection, again: &str) -> Option<()> {
        let refused = connection.read_request()?;
        let refusal = answer(refused.id(), "503 Service Unavailable", NOT_RUN, "");
        connection.write(&refusal)?;
        let request = connection.read_request()?;
        connection.write(&without_id(&answer("", again, NOT_RUN, "")))?;
        thread::sleep(PAUSE);
        connection.write(&answer(request.id(), "200 OK", "", "own"))
    }
    let kinds: [(u8, Serve); 2] = [
        (85, |c| serve(c, "503 Service Unavailable")),
        (86, |c| serve(c, "421 Misdirected Request")),
    ];
    for (network, kind) in kinds {
        let deployment = deployment_with(network, "lossy", &[kind]);
        let first = deployment.request("POST", "/submit/1", "id-1", "k1");
        assert_eq!(first.expect("a reply").status, 503);
        thread::sleep(FULL_TIME);
        let second = deployment.request("POST", "/submit/1", "id-2", "k1");
        let second = second.expect("a reply");
        assert_eq!(
            (second.status, second.body.as_str()),
            (200, "own"),
            "{}",
            second.head
        );
    }
}

/// Guards against a body that is never sent to its end, and a connection on which the target
/// takes the next request for the rest of it.
#[test]
fn a_long_body_is_sent_on_after_a_late_answer_to_an_earlier_request() {
    const BODY_BYTES: usize = 3_000_000;
    let serve: Serve = |connection| {
        let first = connection.read_request()?;
        let first_answer = answer(first.id(), "200 OK", "", "first");
        connection.write(&first_answer)?;
        let mut request = connection.read_request()?;
        connection.write(&first_answer)?;
        thread::sleep(PAUSE);
        connection.read_body(&mut request)?;
        let own = request.body.iter().all(|&byte| byte == b'x');
        let body = format!("{} {own}", request.body.len());
        connection.write(&answer(request.id(), "200 OK", "", &body))
    };
    let deployment = deployment_with(87, "lossy", &[serve]);
    let first = deployment.request("POST", "/submit/1", "id-1", "k1");
    assert_eq!(first.expect("a reply").body, "first");
    let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
    let text = request_text("POST", "/submit/1", "id-2", "k1");
    let text = text.replace("Length: 0", &format!("Length: {BODY_BYTES}"));
    stream.write_all(text.as_bytes()).expect("a head is sent");
    let body = vec![b'x'; BODY_BYTES];
    stream.write_all(&body).expect("a body is sent");
    let reply = read_reply(&mut stream).expect("a reply");
    let expected = format!("{BODY_BYTES} true");
    assert_eq!(
        (reply.status, reply.body),
        (200, expected),
        "{}",
        reply.head
    );
}

/// Requests that each fuzzed target has run, by id.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Body of the answer to a request; its length differs between requests.
pub fn body_of(id: &str) -> String {
    let length = id.bytes().map(usize::from).sum::<usize>() % 300;
    format!("answer to {id} {}", "x".repeat(length))
}

pub fn events_of(id: &str) -> [String; 5] {
    [1, 2, 3, 4, 5].map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
}

/// Writes an answer in up to three parts.
fn write_in_parts(connection: &mut RawConnection, choices: &mut Rng, text: &str) -> Option<()> {
    let mut rest = text;
    for _ in 0..choices.below(3) {
        let (part, after) = rest.split_at(rest.len() / 2);
        connection.write(part)?;
        thread::sleep(Duration::from_millis(choices.below(4)));
        rest = after;
    }
    connection.write(rest)
}

/// Serves a connection with faults that the choices pick: answers that come again, with or
/// without their id, refusals, lost and truncated answers.
fn serve_with_faults(connection: &mut RawConnection, choices: &mut Rng, runs: &Runs) -> Option<()> {
    let mut earlier: Vec<String> = Vec::new();
    loop {
        let mut request = connection.read_request()?;
        let id = request.id().to_owned();
        if !earlier.is_empty() && choices.below(2) == 0 {
            let index = choices.index(earlier.len());
            let stray = match choices.below(3) {
                0 => without_id(&earlier[index]),
                1 => earlier[index].clone(),
                _ => without_id(&answer("", "503 Service Unavailable", NOT_RUN, "")),
            };
            write_in_parts(connection, choices, &stray)?;
        }
        connection.read_body(&mut request)?;
        if choices.below(6) == 0 {
            let refusal = answer(&id, "503 Service Unavailable", NOT_RUN, "");
            write_in_parts(connection, choices, &refusal)?;
            earlier.push(refusal);
            continue;
        }
        *runs.lock().ok()?.entry(id.clone()).or_default() += 1;
        let own = if request.head.contains(" /talk/") {
            let last = request
                .field("last-event-id")
                .and_then(|id| id.parse().ok());
            let events = events_of(&id).into_iter().skip(last.unwrap_or(0));
            let events: String = events.collect();
            answer(&id, "200 OK", EVENT_STREAM, &events)
        } else {
            answer(&id, "200 OK", "", &body_of(&id))
        };
        match choices.below(8) {
            0 => return None,
            1 => {
                connection.write(&own[..own.len() - 5])?;
                return None;
            }
            2 => write_in_parts(connection, choices, &format!("{own}{own}"))?,
            3 => {
                write_in_parts(connection, choices, &own)?;
                thread::sleep(Duration::from_millis(choices.below(10)));
                connection.write(&without_id(&own))?;
            }
            _ => write_in_parts(connection, choices, &own)?,
        }
        earlier.push(own);
    }
}

/// Checks the answer to one request; `runs` is how often targets ran it.
pub fn check_answer(path: &str, id: &str, reply: Option<&Reply>, runs: u32) {
    let at_most = if path.starts_with("/submit") { 1 } else { 2 };
    assert!(runs <= at_most, "{id} ran {runs} times");
    let Some(reply) = reply else {
        return;
    };
    let answer = || format!("{path} {id}: {}\n{}", reply.head, reply.body);
    if matches!(reply.status, 408 | 421 | 429 | 503) {
        assert_eq!(runs, 0, "{}", answer());
    }
    if reply.status != 200 {
        return;
    }
    if !path.starts_with("/talk") {
        assert_eq!(reply.body, body_of(id), "{}", answer());
        return;
    }
    let lines = reply.body.split("\r\n");
    let content: String = lines.filter(|line| line.contains("data: ")).collect();
    let whole: String = events_of(id).concat();
    assert!(whole.starts_with(&content), "{}", answer());
    if reply.body.ends_with("0\r\n\r\n") {
        assert_eq!(content, whole, "{}", answer());
    }
}

/// Guards against any answer that is not the caller's own or not whole, whatever targets write
/// after or between their answers. `ANSWERS_SEED` and `ANSWERS_REQUESTS` change the run.
#[test]
fn callers_get_their_own_answers_from_targets_that_answer_twice() {
    let number = |name: &str, default| {
        let value = std::env::var(name).ok();
        value.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (seed, requests) = (number("ANSWERS_SEED", 1), number("ANSWERS_REQUESTS", 300));
    println!("seed {seed}, {requests} requests");
    let mut deployment = Deployment::start(88);
    deployment.configure("k1");
    let runs = Runs::default();
    let connections = Arc::new(Mutex::new(Rng::new(seed)));
    for service in ["s", "lossy", "engine"] {
        for index in 0..TARGETS {
            let (runs, connections) = (Arc::clone(&runs), Arc::clone(&connections));
            let address = raw_target::start(deployment.host(20), move |connection| {
                let seed = connections.lock().ok()?.next_u64();
                serve_with_faults(connection, &mut Rng::new(seed), &runs)
            });
            let report = report_body(address, service, "ready", "1");
            deployment.send_report(&format!("{service}-{index}"), &report);
        }
    }
    deployment.wait_ready();
    thread::sleep(super::versions::SPREAD_TIME);
    let mut replies = BTreeMap::new();
    for index in 0..requests {
        let (method, path) = [
            ("GET", "/read/1"),
            ("POST", "/submit/1"),
            ("POST", "/talk/1"),
        ][usize::try_from(index % 3).unwrap_or(0)];
        let id = format!("id-{index}");
        let reply = deployment.request(method, path, &id, "k1");
        replies.insert(id, (path, reply));
    }
    // A request that was refused must not run later either.
    thread::sleep(PAUSE);
    let runs = runs.lock().expect("the runs");
    let mut answered = 0;
    for (id, (path, reply)) in &replies {
        answered += u64::from(reply.as_ref().is_some_and(|reply| reply.status == 200));
        check_answer(path, id, reply.as_ref(), runs.get(id).copied().unwrap_or(0));
    }
    assert!(answered * 2 > requests, "{answered} of {requests} answered");
}
