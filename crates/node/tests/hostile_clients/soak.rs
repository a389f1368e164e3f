//! Crowds of clients that do not behave, at random doors of a deployment, beside ordinary callers
//! and random faults.
//!
//! Callers keep their connections until the router is gone. Crowds, signals, restarts and changes
//! of the configuration come in series and overlap. Each process must live until the soak ends it,
//! within the limits of its settings; no answer may be that of another request; and afterwards each
//! process answers. `HOSTILE_SOAK_SEED`, `HOSTILE_SOAK_SECONDS`, `HOSTILE_SOAK_ROUTERS`,
//! `HOSTILE_SOAK_CONNECTIONS`, `HOSTILE_SOAK_MEMORY_MB` and `HOSTILE_SOAK_MAX_FDS` change the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bamboospur_types::Rng;
use rustix::process::Signal;

use super::caller::KeptConnection;
use super::crowd::{Client, Crowd};
use super::harness::{
    CALLER_PORT, CONTROL_PORT, Deployment, DeploymentSettings, FIRST_ROUTER_INDEX, LINK_PORT,
    ProcessLimits, READY_PORT, REPORT_PORT, comes_true, config, env_number, json_call, report_body,
    request_text, router_name,
};
use super::roles::{CALLER_HEAD, CONFIG_HEAD, METRICS_OPTIONS, METRICS_PORT, REPORT_HEAD};
use super::run_alone;
use super::target::{Behaviour, Target};
use super::usage::{Peak, Watch, process_state};

/// First of the bytes of the loopback addresses of runs, and their number.
const FIRST_NETWORK: u64 = 236;
const NETWORKS: u64 = 20;
const CONTROLS: u8 = 3;
const CALLERS: u64 = 8;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time of one crowd.
const MAX_CROWD_TIME: Duration = Duration::from_secs(5);
/// Longest pause between two events.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Longest time for which a process is suspended.
const MAX_SUSPENSION: Duration = Duration::from_millis(1_500);
/// Time after SIGTERM until a process is killed, longer than its grace.
const STOP_LIMIT: Duration = Duration::from_secs(10);
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of one run.
struct Settings {
    seed: u64,
    network: u8,
    duration: Duration,
    routers: u8,
    /// Most connections of one crowd.
    connections: usize,
    limits: ProcessLimits,
}

impl Settings {
    fn from_environment() -> Self {
        let number = |name: &str, default| env_number(name).unwrap_or(default);
        let seed = number("HOSTILE_SOAK_SEED", 1);
        // Runs with other seeds can go on beside this one.
        let network = FIRST_NETWORK + seed % NETWORKS;
        Self {
            seed,
            network: u8::try_from(network).expect("a byte"),
            duration: Duration::from_secs(number("HOSTILE_SOAK_SECONDS", 25)),
            routers: u8::try_from(number("HOSTILE_SOAK_ROUTERS", 2)).expect("few routers"),
            connections: usize::try_from(number("HOSTILE_SOAK_CONNECTIONS", 800))
                .expect("a number of connections"),
            limits: ProcessLimits {
                memory_mb: number("HOSTILE_SOAK_MEMORY_MB", 100),
                max_fds: number("HOSTILE_SOAK_MAX_FDS", 1_500),
            },
        }
    }
}

/// What happens to a process of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// Suspended until this time.
    Suspended(Instant),
    /// Asked to stop, and killed at this time.
    Stopping(Instant),
}

struct Process {
    name: String,
    /// Index of its address.
    index: u8,
    phase: Phase,
    watch: Option<Watch>,
}

impl Process {
    const fn is_control(&self) -> bool {
        self.index <= CONTROLS
    }
}

struct Soak {
    settings: Settings,
    rng: Rng,
    deployment: Deployment,
    processes: Vec<Process>,
    crowds: Vec<(Crowd, Instant)>,
    /// Faults that were found.
    findings: Vec<String>,
    events: BTreeMap<&'static str, u64>,
}

impl Soak {
    fn start(settings: Settings) -> Self {
        let deployment_settings = DeploymentSettings {
            control_options: METRICS_OPTIONS,
            router_options: METRICS_OPTIONS,
            limits: settings.limits,
        };
        let mut deployment = Deployment::with_settings(settings.network, deployment_settings);
        deployment.configure("k1");
        let controls = (1..=CONTROLS).map(|index| (format!("control-{index}"), index));
        let routers = (0..settings.routers).map(|number| {
            let index = FIRST_ROUTER_INDEX + number;
            (router_name(index), index)
        });
        let processes: Vec<_> = controls
            .chain(routers)
            .map(|(name, index)| Process {
                name,
                index,
                phase: Phase::Running,
                watch: None,
            })
            .collect();
        for process in processes.iter().filter(|process| !process.is_control()) {
            deployment.start_router_at(process.index, &process.name);
        }
        let mut soak = Self {
            rng: Rng::new(settings.seed),
            settings,
            deployment,
            processes,
            crowds: Vec::new(),
            findings: Vec::new(),
            events: BTreeMap::new(),
        };
        for at in 0..soak.processes.len() {
            soak.watch(at);
        }
        soak
    }

    fn watch(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let host = self.deployment.host(process.index);
        let id = self.deployment.processes[&process.name].id();
        process.watch = Some(Watch::start(id, move |address| *address.ip() == host));
    }

    /// Ends the watch of a process and checks what it held.
    fn check_peak(&mut self, at: usize) {
        let limits = self.settings.limits;
        let Some(watch) = self.processes[at].watch.take() else {
            return;
        };
        let peak: Peak = watch.peak();
        if peak.total_mb >= limits.memory_mb || peak.descriptors >= limits.max_fds {
            let name = &self.processes[at].name;
            self.findings.push(format!("{name} held {peak:?}"));
        }
    }

    fn count(&mut self, event: &'static str) {
        *self.events.entry(event).or_default() += 1;
    }

    /// Records processes that ended by themselves, and ends what is due.
    fn advance(&mut self, now: Instant) {
        self.crowds.retain(|&(_, end)| now < end);
        for at in 0..self.processes.len() {
            let (name, phase) = (self.processes[at].name.clone(), self.processes[at].phase);
            let child = self.deployment.processes.get_mut(&name).expect("a process");
            let has_ended = child.try_wait().expect("its state").is_some();
            match phase {
                Phase::Running | Phase::Suspended(_) if has_ended => {
                    self.findings.push(format!("{name} ended by itself"));
                    self.restart(at);
                }
                Phase::Suspended(until) if now >= until => {
                    self.deployment.signal(&name, Signal::CONT);
                    self.processes[at].phase = Phase::Running;
                }
                Phase::Stopping(until) if has_ended || now >= until => self.restart(at),
                Phase::Running | Phase::Suspended(_) | Phase::Stopping(_) => {}
            }
        }
    }

    fn restart(&mut self, at: usize) {
        self.check_peak(at);
        let (name, index) = (self.processes[at].name.clone(), self.processes[at].index);
        self.deployment.kill(&name);
        if self.processes[at].is_control() {
            self.deployment.start_control(index, false);
        } else {
            self.deployment.start_router_at(index, &name);
        }
        self.processes[at].phase = Phase::Running;
        self.watch(at);
    }

    /// Does something to a random process that is running.
    fn disturb(&mut self, now: Instant) {
        let at = self.rng.index(self.processes.len());
        let process = &self.processes[at];
        if process.phase != Phase::Running {
            return;
        }
        // A control group without a majority answers nothing.
        let away = self.processes.iter().filter(|other| other.is_control());
        let away = away.filter(|other| other.phase != Phase::Running).count();
        if process.is_control() && away > 0 {
            return;
        }
        let name = process.name.clone();
        match self.rng.below(6) {
            0 | 1 => {
                self.count("suspended");
                self.deployment.signal(&name, Signal::STOP);
                let until = now + self.rng.duration_up_to(MAX_SUSPENSION);
                self.processes[at].phase = Phase::Suspended(until);
            }
            2 => {
                self.count("stopped");
                self.deployment.signal(&name, Signal::TERM);
                self.processes[at].phase = Phase::Stopping(now + STOP_LIMIT);
            }
            3 => {
                self.count("killed");
                self.restart(at);
            }
            4 => {
                self.count("reloaded");
                self.deployment.signal(&name, Signal::HUP);
            }
            _ => self.change_config(),
        }
    }

    fn change_config(&mut self) {
        self.count("changed");
        self.deployment.version += 1;
        let body = config(self.deployment.version, "k1");
        let addresses: Vec<_> = (1..=CONTROLS)
            .map(|control| self.deployment.address(control, CONTROL_PORT))
            .collect();
        // The change may not be taken beside a crowd; the next one has a higher version.
        thread::spawn(move || {
            addresses
                .iter()
                .any(|&address| json_call(address, "PUT", "/config", &body).is_some())
        });
    }

    /// Sends a random crowd to a random door.
    fn add_crowd(&mut self, now: Instant) {
        self.count("crowds");
        let at = self.rng.index(self.processes.len());
        let process = &self.processes[at];
        let ports: &[u16] = if process.is_control() {
            &[CONTROL_PORT, CONTROL_PORT, LINK_PORT, METRICS_PORT]
        } else {
            &[
                CALLER_PORT,
                CALLER_PORT,
                CALLER_PORT,
                READY_PORT,
                REPORT_PORT,
                LINK_PORT,
                METRICS_PORT,
            ]
        };
        let port = ports[self.rng.index(ports.len())];
        let address = self.deployment.address(process.index, port);
        let client = random_client(&mut self.rng, port);
        let connections = self.rng.index(self.settings.connections) + 1;
        let crowd = Crowd::start(address, connections, client);
        let end = now + self.rng.duration_up_to(MAX_CROWD_TIME);
        self.crowds.push((crowd, end));
    }

    fn run(&mut self) {
        let end = Instant::now() + self.settings.duration;
        let mut next_at = Instant::now();
        loop {
            let now = Instant::now();
            if now >= end {
                return;
            }
            self.advance(now);
            if now >= next_at {
                next_at = now + self.rng.duration_up_to(MAX_PAUSE);
                if self.rng.below(2) == 0 {
                    self.add_crowd(now);
                } else {
                    self.disturb(now);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Ends the crowds and faults, and checks that each process answers.
    fn settle(&mut self) {
        self.crowds.clear();
        let far = Instant::now() + STOP_LIMIT + MAX_SUSPENSION;
        while self.processes.iter().any(|p| p.phase != Phase::Running) && Instant::now() < far {
            self.advance(Instant::now());
            thread::sleep(Duration::from_millis(50));
        }
        for at in 0..self.processes.len() {
            let address = |port| self.deployment.address(self.processes[at].index, port);
            let (address, text) = if self.processes[at].is_control() {
                let text = "GET /config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
                (address(CONTROL_PORT), text.to_owned())
            } else {
                let text = request_text("GET", "/read/1", "afterwards", "k1");
                (address(CALLER_PORT), text)
            };
            let is_answered = comes_true(|| {
                super::harness::call(address, &text).is_some_and(|reply| reply.status == 200)
            });
            if !is_answered {
                let name = &self.processes[at].name;
                let state = process_state(self.deployment.processes[name].id());
                self.findings
                    .push(format!("{name} answers nothing afterwards; {state}"));
            }
        }
        self.advance(Instant::now());
        for at in 0..self.processes.len() {
            self.check_peak(at);
        }
    }
}

fn random_client(rng: &mut Rng, port: u16) -> Client {
    let head = match port {
        CONTROL_PORT => CONFIG_HEAD,
        REPORT_PORT => REPORT_HEAD,
        _ => CALLER_HEAD,
    };
    let body_bytes = rng.index(LARGE_BODY_BYTES) + 64 * 1024;
    match rng.below(9) {
        0 | 1 => Client::chunked(head, 1, body_bytes),
        2 => Client::chunked(head, 64 * 1024, body_bytes),
        3 => Client::with_length(head, body_bytes, 1),
        4 => Client::with_length(head, 16 * LARGE_BODY_BYTES, 1),
        5 => Client::with_length(head, 16 * 1024, 1),
        6 => Client::repeating(head, "X-A: b\r\n", LARGE_BODY_BYTES),
        7 => Client::repeating("\0\x40\0\0", "x", body_bytes),
        _ => Client::only(""),
    }
}

/// Reports a target to each control instance until `done`.
fn spawn_reporter(
    controls: Vec<SocketAddr>,
    target: SocketAddr,
    done: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for sequence in 1_u64.. {
            if done.load(Ordering::SeqCst) {
                return;
            }
            let body = report_body(target, "s", "ready", &sequence.to_string());
            // Without a control instance, the next round reports the target.
            let _taken = controls.iter().any(|&control| {
                let reply = json_call(control, "PUT", "/replicas/t1", &body);
                reply.is_some_and(|reply| reply.status == 200)
            });
            thread::sleep(REPORT_INTERVAL);
        }
    })
}

/// What ordinary callers got.
#[derive(Default)]
struct Outcomes {
    answered: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
    /// Answers that belong to no request of their connection.
    foreign: Mutex<Vec<String>>,
}

/// Sends requests to random routers, on the open connection to each, until `done`.
fn spawn_caller(
    caller: u64,
    mut rng: Rng,
    routers: Vec<SocketAddr>,
    outcomes: Arc<Outcomes>,
    done: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut kept: BTreeMap<SocketAddr, KeptConnection> = BTreeMap::new();
        for number in 0_u64.. {
            if done.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(rng.duration_up_to(Duration::from_millis(100)));
            let router = routers[rng.index(routers.len())];
            kept.retain(|_, connection| connection.is_open());
            let connection = match kept.remove(&router) {
                Some(connection) => Some(connection),
                None => KeptConnection::open(router),
            };
            let Some(mut connection) = connection else {
                outcomes.unanswered.fetch_add(1, Ordering::SeqCst);
                continue;
            };
            let id = format!("caller-{caller}-{number}");
            let text = request_text("GET", "/read/1", &id, "k1");
            let text = text.replace("Connection: close\r\n", "");
            match connection.send(&text, b"") {
                Some(reply) if reply.status == 200 => {
                    outcomes.answered.fetch_add(1, Ordering::SeqCst);
                    if reply.body != "ok" || !reply.head.contains(&id) {
                        let mut foreign = outcomes.foreign.lock().expect("outcomes");
                        foreign.push(format!("{id}: {reply:?}"));
                    }
                }
                Some(_) => {
                    outcomes.refused.fetch_add(1, Ordering::SeqCst);
                }
                None => {
                    outcomes.unanswered.fetch_add(1, Ordering::SeqCst);
                }
            }
            kept.insert(router, connection);
        }
    })
}

#[test]
fn crowds_and_faults_at_random_leave_each_process_within_its_limits() {
    let _alone = run_alone();
    let mut soak = Soak::start(Settings::from_environment());
    let target = Target::start(soak.deployment.host(21), "t1", Behaviour::Answer);
    let done = Arc::new(AtomicBool::new(false));
    let controls = (1..=CONTROLS)
        .map(|control| soak.deployment.address(control, CONTROL_PORT))
        .collect();
    let mut threads = vec![spawn_reporter(controls, target.address, Arc::clone(&done))];
    let routers: Vec<SocketAddr> = soak
        .processes
        .iter()
        .filter(|process| !process.is_control())
        .map(|process| soak.deployment.address(process.index, CALLER_PORT))
        .collect();
    let outcomes = Arc::new(Outcomes::default());
    for caller in 0..CALLERS {
        let rng = Rng::new(soak.settings.seed ^ (caller + 1) << 32);
        threads.push(spawn_caller(
            caller,
            rng,
            routers.clone(),
            Arc::clone(&outcomes),
            Arc::clone(&done),
        ));
    }
    soak.run();
    soak.settle();
    done.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("a caller");
    }
    let counts = [&outcomes.answered, &outcomes.refused, &outcomes.unanswered]
        .map(|count| count.load(Ordering::SeqCst));
    println!(
        "seed {}: {:?}; answered, refused, unanswered: {counts:?}",
        soak.settings.seed, soak.events
    );
    assert!(soak.findings.is_empty(), "{:?}", soak.findings);
    let foreign = outcomes.foreign.lock().expect("outcomes");
    assert!(foreign.is_empty(), "{foreign:?}");
    assert!(counts[0] > 0, "no ordinary request was answered");
}
