//! Targets with broken answers under random faults of routers and control instances.
//!
//! Targets write heads that are no HTTP, reset or close connections inside their answers, and
//! answer uploads early. Callers keep their connections until the router is gone; signals,
//! restarts and changes of the configuration come in series and overlap. Each answer that a caller
//! takes for whole must be that of its own request. `BROKEN_SOAK_SEED`, `BROKEN_SOAK_SECONDS` and
//! `BROKEN_SOAK_ROUTERS` change the seed, length and size of the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_types::Rng;
use rustix::process::Signal;

use super::answers::{Runs, body_of, check_answer, events_of};
use super::broken_heads::{INVALID_STATUSES, invalid_field_lines};
use super::caller::KeptConnection;
use super::harness::{
    CALLER_PORT, CONTROL_PORT, Deployment, FIRST_ROUTER_INDEX, Reply, env_number, json_call,
    report_body, request_text, router_name,
};
use super::raw_target::{self, RawConnection, RawRequest, answer, without_length};

const CALLER_COUNT: u64 = 24;
const TARGETS: u32 = 6;
/// Lengths of request bodies; the longest one is not buffered as a whole by a connection.
const BODY_BYTES: [usize; 6] = [0, 0, 0, 3_000, 200_000, 4 * 1024 * 1024];
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last fault for requests in progress.
const SETTLE_TIME: Duration = Duration::from_secs(8);

const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// What callers got, by request id.
type Replies = Arc<Mutex<BTreeMap<String, (&'static str, Option<Reply>)>>>;

/// Returns the text of the whole answer to a request.
fn own_answer(request: &RawRequest) -> String {
    let id = request.id();
    if !request.head.contains(" /talk/") {
        return answer(id, "200 OK", "", &body_of(id));
    }
    let last = request.field("last-event-id");
    let last = last.and_then(|id| id.parse().ok()).unwrap_or(0);
    let events: String = events_of(id).into_iter().skip(last).collect();
    answer(id, "200 OK", EVENT_STREAM, &events)
}

/// Serves one request with a fault that the choices pick, or none.
fn serve(connection: &mut RawConnection, choices: &Mutex<Rng>, runs: &Runs) -> Option<()> {
    let mut request = connection.read_request()?;
    let id = request.id().to_owned();
    *runs.lock().ok()?.entry(id).or_default() += 1;
    let mut choices = Rng::new(choices.lock().ok()?.next_u64());
    let own = own_answer(&request);
    let cut = choices.index(own.len());
    let (head, body) = own.split_at(own.find("\r\n\r\n")? + 4);
    let part = &body[..choices.index(body.len() + 1)];
    thread::sleep(Duration::from_millis(choices.below(60)));
    match choices.below(14) {
        0 | 1 => {
            connection.write(&(without_length(head) + part))?;
            connection.reset_at_end()?;
            return None;
        }
        2 => {
            connection.write(&own[..cut])?;
            connection.reset_at_end()?;
            return None;
        }
        3 => {
            connection.write(&own[..cut])?;
            return None;
        }
        4 => {
            let status = INVALID_STATUSES[choices.index(INVALID_STATUSES.len())];
            connection.write(&own.replacen("200 OK", status, 1))?;
            return None;
        }
        5 => {
            let lines = invalid_field_lines();
            let line = &lines[choices.index(lines.len())];
            connection.write(&own.replacen("OK\r\n", &format!("OK\r\n{line}\r\n"), 1))?;
            return None;
        }
        6 => {
            let status = INVALID_STATUSES[choices.index(INVALID_STATUSES.len())];
            let late = answer("earlier", "200 OK", "", "late");
            connection.write(&(late + &own.replacen("200 OK", status, 1)))?;
            return None;
        }
        7 => connection.write("HTTP/1.1 103 Early Hints\r\n\r\n")?,
        _ => {}
    }
    connection.read_body(&mut request)?;
    connection.write(&own)
}

/// Reports all targets until `done`.
fn spawn_reporter(
    controls: Vec<SocketAddr>,
    targets: Vec<(String, SocketAddr, &'static str)>,
    done: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        for sequence in 1_u64.. {
            if done.load(Ordering::SeqCst) {
                return;
            }
            for (name, address, service) in &targets {
                let body = report_body(*address, service, "ready", &sequence.to_string());
                let put = |&control: &SocketAddr| {
                    let reply = json_call(control, "PUT", &format!("/replicas/{name}"), &body)?;
                    (reply.status == 200).then_some(())
                };
                // Without a control instance, the next round reports them.
                let _taken = controls.iter().find_map(put);
            }
            thread::sleep(REPORT_INTERVAL);
        }
    });
}

/// Sends requests to random routers, on the open connection to each, until `done`.
fn run_caller(
    caller: u64,
    mut rng: Rng,
    routers: &[SocketAddr],
    replies: &Replies,
    done: &AtomicBool,
) {
    let mut kept: BTreeMap<SocketAddr, KeptConnection> = BTreeMap::new();
    for number in 0.. {
        if done.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{caller}-{number}");
        let kinds = [
            ("GET", "/read/1"),
            ("POST", "/submit/1"),
            ("POST", "/talk/1"),
        ];
        let (method, path) = kinds[rng.index(kinds.len())];
        let length = match method {
            "GET" => 0,
            _ => BODY_BYTES[rng.index(BODY_BYTES.len())],
        };
        let text = request_text(method, path, &id, "k1")
            .replace("Connection: close\r\n", "")
            .replace("Length: 0", &format!("Length: {length}"));
        let router = routers[rng.index(routers.len())];
        let connection = kept.remove(&router);
        if let Some(mut connection) = connection.or_else(|| KeptConnection::open(router)) {
            let reply = connection.send(&text, &vec![b'x'; length]);
            if connection.is_open() {
                kept.insert(router, connection);
            }
            replies.lock().expect("replies").insert(id, (path, reply));
        }
        thread::sleep(Duration::from_millis(rng.below(30)));
    }
}

fn restart(deployment: &mut Deployment, router: u8) {
    deployment.start_router_at(router, &router_name(router));
}

/// Disturbs a router, a control instance or both, or changes the configuration.
fn disturb(deployment: &mut Deployment, routers: &[u8], rng: &mut Rng) {
    let router = routers[rng.index(routers.len())];
    let name = router_name(router);
    match rng.below(9) {
        0..=3 => {
            // Answers and resets arrive together at suspended routers.
            for &router in routers {
                deployment.signal(&router_name(router), Signal::STOP);
            }
            thread::sleep(Duration::from_millis(20 + rng.below(200)));
            for &router in routers {
                deployment.signal(&router_name(router), Signal::CONT);
            }
        }
        4 => {
            deployment.kill(&name);
            restart(deployment, router);
        }
        5 => {
            // The router is suspended while it stops.
            deployment.signal(&name, Signal::TERM);
            deployment.signal(&name, Signal::STOP);
            thread::sleep(Duration::from_millis(rng.below(500)));
            deployment.signal(&name, Signal::CONT);
            assert!(
                deployment.wait_for_exit(&name),
                "{name} exits with a failure"
            );
            restart(deployment, router);
        }
        6 => {
            deployment.signal(&name, Signal::HUP);
            deployment.signal(&name, Signal::STOP);
            thread::sleep(Duration::from_millis(rng.below(1_000)));
            deployment.signal(&name, Signal::CONT);
        }
        7 => {
            let control = u8::try_from(rng.below(3)).expect("small") + 1;
            deployment.kill(&format!("control-{control}"));
            deployment.signal(&name, Signal::HUP);
            deployment.start_control(control, false);
        }
        _ => deployment.configure("k1"),
    }
}

fn start(network: u8, routers: &[u8]) -> Deployment {
    let mut deployment = Deployment::without_router(network);
    for &router in routers {
        restart(&mut deployment, router);
    }
    deployment.configure("k1");
    for &router in routers {
        deployment.wait_ready_at(router);
    }
    deployment
}

fn start_targets(
    deployment: &Deployment,
    seed: u64,
    runs: &Runs,
) -> Vec<(String, SocketAddr, &'static str)> {
    let choices = Arc::new(Mutex::new(Rng::new(seed ^ 0xb40c)));
    let services = ["s", "lossy", "engine"].into_iter();
    let kinds = services.flat_map(|service| (0..TARGETS).map(move |index| (service, index)));
    let targets = kinds.map(|(service, index)| {
        let (choices, runs) = (Arc::clone(&choices), Arc::clone(runs));
        let serve = move |connection: &mut RawConnection| serve(connection, &choices, &runs);
        let address = raw_target::start(deployment.host(20), serve);
        (format!("{service}-{index}"), address, service)
    });
    targets.collect()
}

/// Checks all answers; returns how many requests were answered with 200.
fn check(replies: &Replies, runs: &Runs) -> usize {
    let replies = replies.lock().expect("replies");
    let runs = runs.lock().expect("runs");
    for (id, (path, reply)) in replies.iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        check_answer(path, id, reply.as_ref(), count);
        if let Some(reply) = reply {
            let is_known = matches!(reply.status, 200 | 429 | 502 | 503 | 504);
            assert!(is_known, "{path} {id}: {}\n\n{}", reply.head, reply.body);
        }
    }
    let answered =
        |reply: &&(&str, Option<Reply>)| reply.1.as_ref().is_some_and(|r| r.status == 200);
    replies.values().filter(answered).count()
}

fn soak(seed: u64, network: u8, time: Duration, routers: u8) {
    let routers: Vec<u8> = (FIRST_ROUTER_INDEX..).take(routers.into()).collect();
    let mut deployment = start(network, &routers);
    let (replies, runs, done) = (
        Replies::default(),
        Runs::default(),
        Arc::<AtomicBool>::default(),
    );
    let controls = (1..=3).map(|control| deployment.address(control, CONTROL_PORT));
    let targets = start_targets(&deployment, seed, &runs);
    spawn_reporter(controls.collect(), targets, Arc::clone(&done));
    thread::sleep(super::versions::SPREAD_TIME);
    let entries = routers.iter();
    let entries: Vec<SocketAddr> = entries
        .map(|&router| deployment.address(router, CALLER_PORT))
        .collect();
    let callers = (0..CALLER_COUNT).map(|caller| {
        let (entries, replies, done) = (entries.clone(), Arc::clone(&replies), Arc::clone(&done));
        let rng = Rng::new(seed * 1_000 + caller);
        thread::spawn(move || run_caller(caller, rng, &entries, &replies, &done))
    });
    let callers: Vec<_> = callers.collect();
    let mut rng = Rng::new(seed);
    let mut faults = 0;
    let end = Instant::now() + time;
    while Instant::now() < end {
        disturb(&mut deployment, &routers, &mut rng);
        faults += 1;
        // Some disturbances follow at once.
        let pause = [0, 0, 300, 1_500][rng.index(4)];
        thread::sleep(Duration::from_millis(rng.below(pause + 50)));
    }
    done.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    // A request that was refused must not run later either.
    thread::sleep(SETTLE_TIME);
    let answered = check(&replies, &runs);
    let sent = replies.lock().expect("replies").len();
    println!("seed {seed}: {faults} faults, {sent} requests, {answered} answered with 200");
    assert!(answered > 0, "seed {seed}: no request was served");
}

#[test]
fn callers_get_whole_answers_from_targets_with_broken_ones() {
    let seed = env_number("BROKEN_SOAK_SEED").unwrap_or(1);
    let seconds = env_number("BROKEN_SOAK_SECONDS").unwrap_or(25);
    let routers = env_number("BROKEN_SOAK_ROUTERS").unwrap_or(3);
    let routers = u8::try_from(routers).expect("at most 200 routers");
    let network = u8::try_from(200 + seed % 55).expect("a small number");
    soak(seed, network, Duration::from_secs(seconds), routers);
}
