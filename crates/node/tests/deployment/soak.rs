//! Real processes under random faults from outside them.
//!
//! Processes are killed, stopped, paused and restarted, control instances lose their
//! disks, and connections to targets are delayed, cut one way, held and closed. The
//! promises are checked from what callers and targets see. With even seeds one
//! router relays to the others, and targets report to routers. `SOAK_SEED`,
//! `SOAK_SECONDS` and `SOAK_ROUTERS` choose a longer or larger run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_types::Rng;
use rustix::process::Signal;

use super::proxy::{Mode, Proxy};
use super::world::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, RELAYED, Target, call, config, eventually,
    json_call, next_reports, report_body, request_text,
};

const CALLERS: u64 = 6;
/// Index of the first router; others follow.
const FIRST_ROUTER: u8 = 30;
/// Time between two lost disks. By then a group of three has replaced the voter, so
/// that it bears the next loss.
const DISK_RECOVERY: Duration = Duration::from_secs(10);
/// Time without faults after which everything is served again.
const RECOVERY: Duration = Duration::from_secs(6);
/// Statuses that promise that the request did not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What callers saw of their requests.
#[derive(Default)]
struct Seen {
    /// Status by request id; 0 without an answer.
    statuses: Mutex<BTreeMap<String, u16>>,
    faults: Mutex<Vec<String>>,
    served: AtomicU64,
    done: AtomicBool,
}

impl Seen {
    fn fault(&self, text: String) {
        self.faults.lock().expect("the faults").push(text);
    }
}

struct Site {
    deployment: Deployment,
    /// Indexes of the routers.
    routers: Vec<u8>,
    disk_lost_at: Option<Instant>,
    targets: Vec<(&'static str, &'static str, Target, Proxy)>,
}

fn router_name(index: u8) -> String {
    format!("router-{index}")
}

fn start(network: u8, routers: u8, control_options: &'static [&'static str]) -> Site {
    let mut deployment = Deployment::with_options(network, control_options);
    let routers: Vec<u8> = (FIRST_ROUTER..).take(routers.into()).collect();
    for &index in &routers {
        deployment.start_router_at(index, &router_name(index));
    }
    deployment.configure("k1");
    let kinds = [
        ("t1", "s", Behaviour::Answer),
        ("t2", "s", Behaviour::Answer),
        ("t3", "lossy", Behaviour::Answer),
        ("t4", "lossy", Behaviour::Answer),
        ("t5", "engine", Behaviour::Stream),
    ];
    let targets = kinds.map(|(name, service, behaviour)| {
        let target = Target::start(deployment.host(20), name, behaviour);
        let proxy = Proxy::start(deployment.host(21), target.address);
        (name, service, target, proxy)
    });
    Site {
        deployment,
        routers,
        disk_lost_at: None,
        targets: targets.into(),
    }
}

/// Reports all targets every half second, as they would themselves: to the address
/// that the last answer named, and to the control instances when that fails.
fn report(controls: Vec<SocketAddr>, bodies: Vec<(String, String)>, seen: Arc<Seen>) {
    thread::spawn(move || {
        let mut sequence = 0;
        let mut named: BTreeMap<String, SocketAddr> = BTreeMap::new();
        while !seen.done.load(Ordering::SeqCst) {
            sequence += 1;
            for (path, body) in &bodies {
                let body = body.replace("SEQUENCE", &sequence.to_string());
                let put = |address| {
                    let reply = json_call(address, "PUT", path, &body)?;
                    (reply.status == 200).then(|| (address, next_reports(&reply.body)))
                };
                let addresses = named.remove(path).into_iter().chain(controls.clone());
                let taken = addresses.into_iter().find_map(put);
                if let Some((address, next)) = taken {
                    let is_router = !controls.contains(&address);
                    let next = next.or_else(|| is_router.then_some(address));
                    named.extend(next.map(|next| (path.clone(), next)));
                }
            }
            thread::sleep(Duration::from_millis(500));
        }
    });
}

/// Sends requests one after the other to random routers.
fn request(first_seed: u64, caller: u64, entries: Vec<SocketAddr>, seen: Arc<Seen>) {
    thread::spawn(move || {
        let mut rng = Rng::new(first_seed * 1_000 + caller);
        let mut number = 0;
        while !seen.done.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("{caller}-{number}");
            let (method, path) = [
                ("GET", "/read/1"),
                ("POST", "/submit/1"),
                ("POST", "/chat/1"),
            ][rng.index(if caller == 0 { 3 } else { 2 })];
            let router = entries[rng.index(entries.len())];
            let reply = call(router, &request_text(method, path, &id, "k1"));
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            seen.statuses
                .lock()
                .expect("statuses")
                .insert(id.clone(), status);
            if let Some(reply) = reply.filter(|reply| reply.status == 200) {
                seen.served.fetch_add(1, Ordering::SeqCst);
                if !reply
                    .head
                    .contains(&format!("X-Bamboospur-Request-Id: {id}\r\n"))
                {
                    seen.fault(format!(
                        "{id}: the answer to another request: {}",
                        reply.head
                    ));
                }
                check_body(&seen, &id, path, &reply.body);
            }
            thread::sleep(Duration::from_millis(rng.below(40)));
        }
    });
}

fn check_body(seen: &Seen, id: &str, path: &str, body: &str) {
    if !path.starts_with("/chat") {
        if body != "ok" {
            seen.fault(format!("{id}: not the target's body: {body:?}"));
        }
        return;
    }
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u32> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    let in_order: Vec<u32> = (1..).take(ids.len()).collect();
    let looks_whole = body.ends_with("0\r\n\r\n");
    if ids != in_order || (looks_whole && ids.len() != 10) {
        seen.fault(format!("{id}: events {ids:?}, looks whole: {looks_whole}"));
    }
}

/// Changes and reads the configuration; what was accepted is read back.
fn operate(
    first_seed: u64,
    controls: Vec<SocketAddr>,
    first: u64,
    seen: Arc<Seen>,
) -> Arc<AtomicU64> {
    let accepted = Arc::new(AtomicU64::new(first));
    let newest = Arc::clone(&accepted);
    thread::spawn(move || {
        let mut rng = Rng::new(first_seed);
        let mut version = first;
        while !seen.done.load(Ordering::SeqCst) {
            version += 1 + rng.below(3);
            let put = json_call(
                controls[rng.index(3)],
                "PUT",
                "/config",
                &config(version, "k1"),
            );
            match put.map(|reply| reply.status) {
                Some(200) => {
                    newest.fetch_max(version, Ordering::SeqCst);
                }
                Some(status) if status < 500 => {
                    seen.fault(format!("valid configuration {version} refused: {status}"));
                }
                _ => {}
            }
            let before = newest.load(Ordering::SeqCst);
            let read = json_call(controls[rng.index(3)], "GET", "/config", "");
            if let Some(reply) = read.filter(|reply| reply.status == 200) {
                let read = version_of(&reply.body);
                if read < before {
                    seen.fault(format!("read {read} after {before} was accepted"));
                }
            }
            thread::sleep(Duration::from_millis(100 + rng.below(400)));
        }
    });
    accepted
}

fn version_of(body: &str) -> u64 {
    let text = body.trim_start_matches("{\"version\":");
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Injects one fault.
fn inject_fault(site: &mut Site, rng: &mut Rng) {
    match rng.below(10) {
        kind @ 0..=3 => harm_control(site, rng, kind),
        kind @ 4..=7 => harm_router(site, rng, kind),
        _ => harm_target(site, rng),
    }
    thread::sleep(Duration::from_millis(rng.below(700)));
}

/// Harms a control instance. These faults never overlap, so that a quorum is only
/// lost when all are killed at once.
fn harm_control(site: &mut Site, rng: &mut Rng, kind: u64) {
    let control = u8::try_from(rng.below(3)).expect("small") + 1;
    let name = format!("control-{control}");
    let pause = Duration::from_millis(rng.below(1_500));
    let deployment = &mut site.deployment;
    match kind {
        0 => {
            deployment.signal(&name, Signal::STOP);
            thread::sleep(pause);
            deployment.signal(&name, Signal::CONT);
        }
        1 => {
            for control in 1..=3 {
                deployment.kill(&format!("control-{control}"));
            }
            for control in 1..=3 {
                deployment.start_control(control, false);
            }
        }
        2 if site
            .disk_lost_at
            .is_none_or(|at| at.elapsed() > DISK_RECOVERY) =>
        {
            deployment.kill(&name);
            deployment.lose_disk(control);
            deployment.start_control(control, false);
            site.disk_lost_at = Some(Instant::now());
        }
        _ => {
            deployment.kill(&name);
            thread::sleep(pause);
            deployment.start_control(control, false);
        }
    }
}

fn harm_router(site: &mut Site, rng: &mut Rng, kind: u64) {
    let router = site.routers[rng.index(site.routers.len())];
    let name = &router_name(router);
    let deployment = &mut site.deployment;
    match kind {
        4 => {
            deployment.kill(name);
            deployment.start_router_at(router, name);
        }
        5 => {
            deployment.signal(name, Signal::STOP);
            thread::sleep(Duration::from_millis(rng.below(6_000)));
            deployment.signal(name, Signal::CONT);
        }
        6 => {
            deployment.signal(name, Signal::TERM);
            assert!(deployment.wait(name), "a stopped router fails");
            deployment.start_router_at(router, name);
        }
        _ => deployment.signal(name, Signal::HUP),
    }
}

/// Harms the connections to a target.
fn harm_target(site: &Site, rng: &mut Rng) {
    let modes = [
        Mode::Reset,
        Mode::Hold,
        Mode::HoldAnswers,
        Mode::Delay(Duration::from_millis(80)),
    ];
    let proxy = &site.targets[rng.index(site.targets.len())].3;
    proxy.set(modes[rng.index(modes.len())]);
    thread::sleep(Duration::from_millis(rng.below(1_500)));
    proxy.set(Mode::Pass);
}

/// Returns what was found to be wrong.
fn check(site: &Site, seen: &Seen) -> Vec<String> {
    let mut faults = std::mem::take(&mut *seen.faults.lock().expect("the faults"));
    let statuses = seen.statuses.lock().expect("statuses");
    let mut runs: BTreeMap<String, (u32, bool)> = BTreeMap::new();
    for (_, service, target, _) in &site.targets {
        for (id, count) in target.ids.lock().expect("ids").iter() {
            let entry = runs.entry(id.clone()).or_insert((0, *service == "s"));
            entry.0 += count;
        }
    }
    for (id, &(count, repeatable)) in &runs {
        match statuses.get(id) {
            None => faults.push(format!("{id}: ran, but nobody sent it")),
            Some(status) if NOT_RUN.contains(status) && !repeatable => {
                faults.push(format!("{id}: told {status}, but it ran"));
            }
            Some(_) if count > 1 && !repeatable => {
                faults.push(format!("{id}: not repeatable, ran {count} times"));
            }
            Some(_) => {}
        }
    }
    faults
}

fn soak(seed: u64, network: u8, time: Duration) {
    let options = if seed.is_multiple_of(2) { RELAYED } else { &[] };
    let routers = variable("SOAK_ROUTERS").unwrap_or(2);
    let routers = u8::try_from(routers).expect("at most 200 routers");
    let mut site = start(network, routers, options);
    let record = Arc::new(Seen::default());
    let controls: Vec<SocketAddr> = (1..=3)
        .map(|control| site.deployment.at(control, CONTROL_PORT))
        .collect();
    let routers = site.routers.iter();
    let routers: Vec<SocketAddr> = routers
        .map(|&index| site.deployment.at(index, CALLER_PORT))
        .collect();
    let bodies = site.targets.iter().map(|(name, service, _, proxy)| {
        let body = report_body(proxy.address, service, "ready", "SEQUENCE");
        (format!("/replicas/{name}"), body)
    });
    report(controls.clone(), bodies.collect(), Arc::clone(&record));
    let version = site.deployment.version;
    let accepted = operate(seed, controls.clone(), version, Arc::clone(&record));
    for caller in 0..CALLERS {
        request(seed, caller, routers.clone(), Arc::clone(&record));
    }
    let mut rng = Rng::new(seed);
    let end = Instant::now() + time;
    let mut faults_injected = 0;
    while Instant::now() < end {
        inject_fault(&mut site, &mut rng);
        faults_injected += 1;
    }
    thread::sleep(RECOVERY);
    let before = record.served.load(Ordering::SeqCst);
    eventually("requests are served after the faults", || {
        record.served.load(Ordering::SeqCst) > before + 20
    });
    let newest = accepted.load(Ordering::SeqCst);
    eventually("the newest configuration is read back", || {
        let read = json_call(controls[0], "GET", "/config", "");
        read.is_some_and(|reply| reply.status == 200 && version_of(&reply.body) >= newest)
    });
    record.done.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(8));
    let faults = check(&site, &record);
    let sent = record.statuses.lock().expect("statuses").len();
    let served = record.served.load(Ordering::SeqCst);
    println!(
        "seed {seed}: {faults_injected} faults, {sent} requests, {served} served, version {newest}"
    );
    assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn promises_hold_under_faults_with_relays() {
    soak(2, 98, Duration::from_secs(12));
}

#[test]
fn promises_hold_under_faults() {
    let seed = variable("SOAK_SEED").unwrap_or(1);
    let seconds = variable("SOAK_SECONDS").unwrap_or(12);
    let network = u8::try_from(100 + seed % 100).expect("a small number");
    soak(seed, network, Duration::from_secs(seconds));
}
