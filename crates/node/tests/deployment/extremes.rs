//! Numbers at the ends of their ranges, from targets, operators and callers.
//!
//! Whatever number arrives, it is rejected or limited, and the processes go on and answer.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CONTROL_PORT, Deployment, Target, call, config, eventually, json_call, read_reply,
    report_body, request_text,
};
use super::raw_target::{self, RawConnection, answer};
use super::versions::SPREAD_TIME;

const SMALL: [&str; 6] = ["0", "-0.0", "-1", "-1e22", "1e-300", "0.5"];
pub const LARGE: [&str; 9] = [
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "1e20",
    "9.3e21",
    "1e22",
    "1e30",
    "1e300",
];
/// Time after which a target serves again whatever one answer of it said.
const MAX_OUT_OF_SERVICE: Duration = Duration::from_secs(6);

pub fn all_numbers() -> impl Iterator<Item = &'static str> {
    SMALL.into_iter().chain(LARGE)
}

/// Fails if a process of the deployment has ended by itself.
fn assert_all_run(deployment: &mut Deployment, after: &str) {
    for (name, process) in &mut deployment.processes {
        let ended = process.try_wait().expect("the state of a process");
        assert!(ended.is_none(), "{name} ended after {after}: {ended:?}");
    }
}

fn control_call(deployment: &Deployment, index: u8, request: (&str, &str, &str)) -> u16 {
    let (method, path, body) = request;
    let address = deployment.address(index, CONTROL_PORT);
    json_call(address, method, path, body).map_or(0, |reply| reply.status)
}

/// Guards against control instances that go on after a report and answer nothing any more: the
/// sum of its time and the present overflowed.
#[test]
fn reports_with_extreme_numbers_stop_no_control_instance() {
    let mut deployment = Deployment::start(11);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for field in ["coldLeftMs", "seq", "slots", "born"] {
        for (index, number) in all_numbers().enumerate() {
            let fields = [
                ("seq", "1"),
                ("slots", "4"),
                ("born", "1"),
                ("coldLeftMs", "0"),
            ];
            let fields = fields.map(|(name, usual)| {
                let value = if name == field { number } else { usual };
                format!("\"{name}\":{value}")
            });
            let body = format!(
                "{{\"service\":\"unused\",\"address\":\"127.0.0.1:9\",\"zone\":\"north\",\
                 \"state\":\"ready\",{}}}",
                fields.join(",")
            );
            for control in 1..=3 {
                let path = format!("/replicas/{field}-{index}");
                let status = control_call(&deployment, control, ("PUT", &path, &body));
                assert!(matches!(status, 200 | 400), "{field} {number}: {status}");
            }
        }
        for control in 1..=3 {
            let status = control_call(&deployment, control, ("GET", "/config", ""));
            assert_eq!(status, 200, "control-{control} after {field}");
        }
    }
    deployment.configure("k2");
    deployment.report("t1", &first, "s", "ready", 2);
    eventually("the new key works", || {
        let reply = deployment.request("GET", "/read/1", "id", "k2");
        reply.is_some_and(|reply| reply.status == 200)
    });
    assert_all_run(&mut deployment, "the reports");
}

/// Returns a configuration with another number in one of its fields.
pub fn config_with(version: u64, key: &str, field: &str, number: &str) -> String {
    let usual = config(version, key);
    let limits = [
        ("maxHeaderBytes", "16384"),
        ("maxBodyBytes", "4194304"),
        ("headerTimeoutMs", "3000"),
        ("idleTimeoutMs", "15000"),
    ];
    let limits = limits.map(|(name, usual)| {
        let value = if name == field { number } else { usual };
        format!("\"{name}\":{value}")
    });
    let with_limits = usual.replacen('{', &format!("{{\"limits\":{{{}}},", limits.join(",")), 1);
    let set = |name: &str, value: &str| {
        let usual = format!("\"{name}\":{value}");
        with_limits.replace(&usual, &format!("\"{name}\":{number}"))
    };
    match field {
        "timeoutMs" => set("timeoutMs", "6000"),
        "sloMs" | "itlTargetMs" => set(field, "1000"),
        "maxAttempts" => set("maxAttempts", "2"),
        "priority" => with_limits.replace("\"maxAttempts\"", &format!("\"priority\":{number},\"maxAttempts\"")),
        "weight" => with_limits.replace(
            "\"service\":\"s\"",
            &format!("\"split\":[{{\"service\":\"s\",\"weight\":{number}}},{{\"service\":\"s\",\"weight\":{number}}}]"),
        ),
        "maxConns" | "coldPerS" => {
            with_limits.replace("{\"name\":\"s\"}", &format!("{{\"name\":\"s\",\"{field}\":{number}}}"))
        }
        "slots" => with_limits.replace(
            "{\"name\":\"engine\"}",
            &format!("{{\"name\":\"engine\",\"engine\":{{\"slots\":{number},\"kvCapacity\":1000}}}}"),
        ),
        "kvCapacity" => with_limits.replace(
            "{\"name\":\"engine\"}",
            &format!("{{\"name\":\"engine\",\"engine\":{{\"slots\":4,\"kvCapacity\":{number}}}}}"),
        ),
        _ => with_limits,
    }
}

/// Streams two events at once.
fn serve_stream(connection: &mut RawConnection) -> Option<()> {
    let request = connection.read_request()?;
    let lines = "Content-Type: text/event-stream\r\n";
    let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    connection.write(&answer(request.id(), "200 OK", lines, body))
}

/// Guards against configurations that are acknowledged and let routers panic at each request:
/// a time or its multiple overflowed.
#[test]
fn accepted_configurations_with_extreme_numbers_are_served() {
    const FIELDS: [&str; 14] = [
        "timeoutMs",
        "sloMs",
        "itlTargetMs",
        "maxAttempts",
        "priority",
        "weight",
        "maxHeaderBytes",
        "maxBodyBytes",
        "headerTimeoutMs",
        "idleTimeoutMs",
        "maxConns",
        "coldPerS",
        "slots",
        "kvCapacity",
    ];
    let mut deployment = Deployment::start(12);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let engine = raw_target::start(deployment.host(20), serve_stream);
    let engine = report_body(engine, "engine", "ready", "1");
    let mut sequence = 1;
    deployment.send_report("t2", &engine);
    deployment.report("t1", &first, "s", "ready", sequence);
    deployment.wait_ready();
    let mut accepted = 0;
    for field in FIELDS {
        for number in LARGE {
            deployment.version += 1;
            let key = format!("k-{}", deployment.version);
            let body = config_with(deployment.version, &key, field, number);
            let status = control_call(&deployment, 1, ("PUT", "/config", &body));
            assert!(matches!(status, 200 | 400), "{field} {number}: {status}");
            if status != 200 {
                continue;
            }
            accepted += 1;
            sequence += 1;
            deployment.report("t1", &first, "s", "ready", sequence);
            deployment.send_report(
                "t2",
                &engine.replace("\"seq\":1", &format!("\"seq\":{sequence}")),
            );
            for (method, path) in [("GET", "/read/1"), ("POST", "/talk/1")] {
                eventually(&format!("{path} is served with {field} {number}"), || {
                    let reply = deployment.request(method, path, "id", &key);
                    reply.is_some_and(|reply| reply.status == 200)
                });
            }
        }
    }
    assert!(
        accepted > 20,
        "only {accepted} configurations were accepted"
    );
    assert_all_run(&mut deployment, "the configurations");
}

/// Guards against attempts that are given up at once because a route states no objective.
#[test]
fn a_route_without_objectives_waits_for_its_targets() {
    let mut deployment = Deployment::start(13);
    deployment.version += 1;
    let body = config(deployment.version, "k1");
    let body = body
        .replace("\"sloMs\":1000,", "")
        .replace("\"itlTargetMs\":1000,", "");
    eventually("the configuration is accepted", || {
        control_call(&deployment, 1, ("PUT", "/config", &body)) == 200
    });
    let runs = Arc::new(AtomicU32::new(0));
    for name in ["t1", "t2"] {
        let runs = Arc::clone(&runs);
        let target = raw_target::start(deployment.host(20), move |connection| {
            let request = connection.read_request()?;
            runs.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(300));
            connection.write(&answer(request.id(), "200 OK", "", "ok"))
        });
        let report = report_body(target, "s", "ready", "1");
        deployment.send_report(name, &report);
    }
    deployment.wait_ready();
    thread::sleep(SPREAD_TIME);
    let reply = deployment.request("GET", "/read/1", "id-1", "k1");
    assert_eq!(reply.expect("a reply").status, 200);
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

/// Guards against callers whose connection is closed without an answer because of a number in
/// their request.
#[test]
fn callers_with_extreme_numbers_get_an_answer() {
    let mut deployment = Deployment::start(14);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let engine = raw_target::start(deployment.host(20), serve_stream);
    let engine = report_body(engine, "engine", "ready", "1");
    deployment.send_report("t2", &engine);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for number in all_numbers() {
        let text = request_text("GET", "/read/1", "id", "k1");
        let text = text.replace("Deadline-Ms: 6000", &format!("Deadline-Ms: {number}"));
        let reply = call(deployment.caller_address(), &text);
        assert!(reply.is_some(), "deadline {number}");
        let lines = format!(
            "Last-Event-Id: {number}\r\nX-Bamboospur-Prefix-Hash: 1:{number}\r\nContent-Length: 0"
        );
        let text = request_text("POST", "/talk/1", "id", "k1");
        let text = text.replace("Content-Length: 0", &lines);
        let reply = call(deployment.caller_address(), &text);
        assert!(reply.is_some(), "last event {number}");
        let text = request_text("POST", "/submit/1", "id", "k1");
        let text = text.replace("Length: 0", &format!("Length: {number}"));
        let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
        stream.write_all(text.as_bytes()).expect("the head is sent");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the end is sent");
        let status = read_reply(&mut stream).map(|reply| reply.status);
        // A request that is cut off gets no answer.
        let is_cut = number
            .parse()
            .is_ok_and(|length| (1..=4 << 20).contains(&length));
        assert!(status.is_some() || is_cut, "length {number}");
    }
    assert_all_run(&mut deployment, "the requests");
}

/// Guards against a target that one answer takes out of service for minutes.
#[test]
fn one_answer_takes_a_target_out_of_service_for_seconds_only() {
    const ANSWERS: [(&str, &str); 9] = [
        ("503 x", "X-Bamboospur-Not-Executed: 1\r\nRetry-After: 3600"),
        ("503 x", "X-Bamboospur-Not-Executed: 1\r\nRetry-After: 1e22"),
        (
            "503 x",
            "X-Bamboospur-Not-Executed: 1\r\nRetry-After: -1e22",
        ),
        ("200 OK", "Server-Limit: 0"),
        ("200 OK", "Server-Limit: 1e-300"),
        ("200 OK", "Server-Limit: 1e300"),
        (
            "200 OK",
            "X-Bamboospur-Replica-Load: 4294967295,4294967295,4294967295",
        ),
        ("200 OK", "Keep-Alive: timeout=18446744073709551615"),
        ("500 x", "Retry-After: 3600"),
    ];
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut deployment = Deployment::start(15);
    deployment.configure("k1");
    let target = raw_target::start(deployment.host(20), |connection| {
        let request = connection.read_request()?;
        let wanted = request
            .id()
            .strip_prefix("odd-")
            .and_then(|n| n.parse::<usize>().ok());
        let (status, line) = wanted.map_or(("200 OK", "X: 1"), |index| ANSWERS[index]);
        connection.write(&answer(request.id(), status, &format!("{line}\r\n"), "ok"))
    });
    let mut sequence = 0;
    let mut report = |deployment: &Deployment| {
        sequence += 1;
        let report = report_body(target, "s", "ready", &sequence.to_string());
        deployment.send_report("t1", &report);
    };
    report(&deployment);
    deployment.wait_ready();
    thread::sleep(SPREAD_TIME);
    for (index, (_, line)) in ANSWERS.iter().enumerate() {
        report(&deployment);
        let odd = deployment.request("GET", "/read/1", &format!("odd-{index}"), "k1");
        assert!(odd.is_some(), "{line}");
        let answered_at = Instant::now();
        loop {
            let number = NEXT.fetch_add(1, Ordering::SeqCst);
            let reply = deployment.request("GET", "/read/1", &format!("id-{number}"), "k1");
            if reply.is_some_and(|reply| reply.status == 200) {
                break;
            }
            let waited = answered_at.elapsed();
            assert!(
                waited < MAX_OUT_OF_SERVICE,
                "{line}: out of service for {waited:?}"
            );
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Guards against requests that reach a target although it has asked for none, again and again.
#[test]
fn a_target_that_keeps_rejecting_gets_two_requests_at_most() {
    /// The target asks for no requests for a minute.
    const WATCHED: Duration = Duration::from_secs(14);
    const SLACK: Duration = Duration::from_millis(500);
    let mut deployment = Deployment::start(16);
    deployment.configure("k1");
    let rejecting = Target::start(deployment.host(20), "t1", Behaviour::RejectFor("60"));
    deployment.report("t1", &rejecting, "s", "ready", 1);
    deployment.wait_ready();
    let first = deployment.request("GET", "/read/1", "id-0", "k1");
    assert_eq!(first.expect("a reply").status, 503);
    thread::sleep(SLACK);
    let before = rejecting.runs();
    let end = Instant::now() + WATCHED;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        if number % 20 == 0 {
            deployment.report("t1", &rejecting, "s", "ready", 1 + number / 20);
        }
        let addresses = [deployment.caller_address(); 4];
        let callers = addresses.into_iter().enumerate().map(|(caller, address)| {
            let text = request_text("GET", "/read/1", &format!("id-{number}-{caller}"), "k1");
            thread::spawn(move || call(address, &text))
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            let reply = caller.join().expect("a caller").expect("a reply");
            assert_eq!(reply.status, 503, "{}", reply.head);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let requests = rejecting.runs() - before;
    assert!(requests <= 2, "{requests} requests");
}
