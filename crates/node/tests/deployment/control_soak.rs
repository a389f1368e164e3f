//! Control instances under faults that overlap.
//!
//! Several instances at a time are killed and started again at once or after a pause, terminated,
//! or stand still; the faults of one instance come in series. No disk is lost, so whatever was
//! acknowledged must stay. Operators keep their connections until the process is gone, change the
//! configuration through any instance and read it back; one evacuates a data centre and takes
//! that back, and a caller shows which of both is in force.
//! `CONTROL_SOAK_SEED`, `CONTROL_SOAK_SECONDS`, `CONTROL_SOAK_ROUTERS` and
//! `CONTROL_SOAK_OPERATORS` change the seed, length and size of the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bamboospur_types::Rng;
use rustix::process::Signal;

use super::caller::KeptConnection;
use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, FIRST_ROUTER_INDEX, Reply, Target, call,
    comes_true, config, env_number, eventually, json_call, report_body, request_text, router_name,
    version_of,
};

const CONTROLS: u8 = 3;
/// Key of the caller in all configurations.
const CALLER_KEY: &str = "k1";
/// Faults that can be in progress at the same time.
const INJECTORS: u64 = 2;
/// Most further routes of a configuration. A large one takes long enough to be forwarded and
/// stored that a fault can come in between.
const MAX_ADDED_ROUTES: u64 = 350;
/// Time within which no router may send to an evacuated data centre any more.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time without faults after which the newest configuration is read back.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// What operators were told and found.
struct Observations {
    /// Version of the newest configuration that was sent.
    sent: AtomicU64,
    /// Newest version that was acknowledged.
    accepted: AtomicU64,
    /// Changes that were acknowledged, and reads that were answered.
    accepted_count: AtomicU64,
    read_count: AtomicU64,
    /// Evacuations whose effect was checked.
    evacuation_count: AtomicU64,
    violations: Mutex<Vec<String>>,
    done: AtomicBool,
}

impl Observations {
    fn new(version: u64) -> Self {
        Self {
            sent: AtomicU64::new(version),
            accepted: AtomicU64::new(version),
            accepted_count: AtomicU64::new(0),
            read_count: AtomicU64::new(0),
            evacuation_count: AtomicU64::new(0),
            violations: Mutex::default(),
            done: AtomicBool::new(false),
        }
    }

    fn add_violation(&self, text: String) {
        self.violations.lock().expect("the violations").push(text);
    }

    fn is_done(&self) -> bool {
        self.done.load(Ordering::SeqCst)
    }

    fn wait(&self, time: Duration) {
        let end = Instant::now() + time;
        while !self.is_done() && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Connections of an operator, each kept until its process is gone.
#[derive(Default)]
struct Connections(BTreeMap<SocketAddr, KeptConnection>);

impl Connections {
    fn call(&mut self, to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
        let mut connection = match self.0.remove(&to) {
            Some(connection) => connection,
            None => KeptConnection::open(to)?,
        };
        let length = body.len();
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {length}\r\n\r\n");
        let reply = connection.send(&head, body.as_bytes());
        if connection.is_open() {
            self.0.insert(to, connection);
        }
        reply
    }
}

/// Returns the name of a route that only this version has.
fn route_of(version: u64) -> String {
    format!("\"name\":\"version-{version}\"")
}

/// Returns a configuration whose content shows its version, with further routes.
fn document(version: u64, added_routes: u64) -> String {
    let route = |name: &str, number: u64| {
        format!(
            "{{{name},\"host\":\"b.example\",\"pathPrefix\":\"/{number}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":1000,\"sloMs\":100,\"service\":\"s\",\
             \"maxAttempts\":2}},"
        )
    };
    let mut routes = format!("\"routes\":[{}", route(&route_of(version), 0));
    for number in 1..=added_routes {
        routes.push_str(&route(&format!("\"name\":\"r{number}\""), number));
    }
    config(version, CALLER_KEY).replacen("\"routes\":[", &routes, 1)
}

/// Checks what was read of the configuration, after `accepted` had been acknowledged.
fn check_read(observations: &Observations, body: &str, accepted: u64) {
    let read = version_of(body);
    if read < accepted {
        observations.add_violation(format!("read {read} after {accepted} was acknowledged"));
    }
    if !body.contains(&route_of(read)) {
        observations.add_violation(format!("read {read} with the content of another version"));
    }
    observations.read_count.fetch_add(1, Ordering::SeqCst);
}

/// Starts an operator that changes the configuration and reads it back.
fn spawn_operator(
    seed: u64,
    controls: Vec<SocketAddr>,
    observations: Arc<Observations>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut rng = Rng::new(seed);
        let mut connections = Connections::default();
        while !observations.is_done() {
            let version = observations.sent.fetch_add(1, Ordering::SeqCst) + 1;
            let added_routes = [0, MAX_ADDED_ROUTES][rng.index(2)];
            let body = document(version, added_routes);
            let to = controls[rng.index(controls.len())];
            let put = connections.call(to, "PUT", "/config", &body);
            match put.map(|reply| reply.status) {
                Some(200) => {
                    observations.accepted.fetch_max(version, Ordering::SeqCst);
                    observations.accepted_count.fetch_add(1, Ordering::SeqCst);
                }
                Some(status) if status < 500 => observations
                    .add_violation(format!("valid configuration {version} refused: {status}")),
                _ => {}
            }
            let accepted = observations.accepted.load(Ordering::SeqCst);
            let from = controls[rng.index(controls.len())];
            let read = connections.call(from, "GET", "/config", "");
            if let Some(reply) = read.filter(|reply| reply.status == 200) {
                check_read(&observations, &reply.body, accepted);
            }
            thread::sleep(Duration::from_millis(rng.below(60)));
        }
    })
}

/// Starts an operator that evacuates the data centre of the router and takes that back, in turn. Each order is sent
/// until it is acknowledged; then no other one is sent before its effect was checked.
fn spawn_evacuator(
    scene: &Arc<Scene>,
    seed: u64,
    observations: Arc<Observations>,
) -> JoinHandle<()> {
    let scene = Arc::clone(scene);
    thread::spawn(move || {
        let mut rng = Rng::new(seed ^ 0xe7ac);
        let mut connections = Connections::default();
        for round in 0_u64.. {
            let method = ["POST", "DELETE"][usize::from(round % 2 == 1)];
            let is_acknowledged = |connections: &mut Connections, rng: &mut Rng| {
                let to = scene.controls[rng.index(scene.controls.len())];
                let reply = connections.call(to, method, "/evacuate/north", "");
                reply.is_some_and(|reply| reply.status == 200)
            };
            while !is_acknowledged(&mut connections, &mut rng) {
                if observations.is_done() {
                    return;
                }
                thread::sleep(Duration::from_millis(rng.below(100)));
            }
            observations.wait(EVACUATION_LIMIT);
            if observations.is_done() {
                return;
            }
            check_evacuation(&scene, round, &observations);
        }
    })
}

/// Checks the effect of the order of this round, the first of which evacuates the north. While
/// nothing is served, there is nothing to check.
fn check_evacuation(scene: &Scene, round: u64, observations: &Observations) {
    let before = [&scene.south, &scene.north].map(Target::runs);
    let runs = || {
        let now = [&scene.south, &scene.north].map(Target::runs);
        [now[0] - before[0], now[1] - before[1]]
    };
    let send = |number: u64| {
        let id = format!("e-{round}-{number}");
        // An answer is not needed: the targets count what reaches them.
        let _reply = call(
            scene.router,
            &request_text("GET", "/read/1", &id, CALLER_KEY),
        );
    };
    if round.is_multiple_of(2) {
        (0..10).for_each(send);
        if runs()[1] > 0 {
            observations.add_violation(format!(
                "round {round}: a request reached the evacuated data centre"
            ));
        }
    } else {
        let mut number = 0;
        let is_used = comes_true(|| {
            send(number);
            number += 1;
            runs()[1] > 0 || observations.is_done()
        });
        if !is_used && runs()[0] > 0 {
            observations.add_violation(format!(
                "round {round}: no request reached the data centre after the evacuation was \
                 taken back"
            ));
        }
    }
    if runs() != [0, 0] {
        observations.evacuation_count.fetch_add(1, Ordering::SeqCst);
    }
}

struct Scene {
    deployment: Mutex<Deployment>,
    /// Held while a fault of the control instance is in progress, by index.
    busy: [Mutex<()>; CONTROLS as usize],
    controls: Vec<SocketAddr>,
    /// Address of the router that takes requests.
    router: SocketAddr,
    north: Target,
    south: Target,
}

impl Scene {
    fn start(network: u8, routers: u8) -> Self {
        let mut deployment = Deployment::without_router(network);
        for index in (FIRST_ROUTER_INDEX..).take(routers.into()) {
            deployment.start_router_at(index, &router_name(index));
        }
        deployment.version = 1;
        let first = document(1, 0);
        eventually("the first configuration is accepted", || {
            let to = deployment.address(1, CONTROL_PORT);
            json_call(to, "PUT", "/config", &first).is_some_and(|reply| reply.status == 200)
        });
        let controls = 1..=CONTROLS;
        let controls = controls.map(|control| deployment.address(control, CONTROL_PORT));
        Self {
            controls: controls.collect(),
            router: deployment.address(FIRST_ROUTER_INDEX, CALLER_PORT),
            north: Target::start(deployment.host(20), "north", Behaviour::Answer),
            south: Target::start(deployment.host(21), "south", Behaviour::Answer),
            deployment: Mutex::new(deployment),
            busy: Default::default(),
        }
    }

    fn deployment(&self) -> MutexGuard<'_, Deployment> {
        self.deployment.lock().expect("the deployment")
    }

    /// Reports both targets to any instance that takes the report.
    fn report(&self, sequence: u64) {
        for (name, target) in [("north", &self.north), ("south", &self.south)] {
            let body = report_body(target.address, "s", "ready", &sequence.to_string());
            let body = body.replace("\"north\"", &format!("\"{name}\""));
            let mut controls = self.controls.iter();
            controls.any(|&control| {
                let reply = json_call(control, "PUT", &format!("/replicas/{name}"), &body);
                reply.is_some_and(|reply| reply.status == 200)
            });
        }
    }

    /// Stops a process of a control instance in one way or another, and starts it again.
    fn inject_fault(&self, rng: &mut Rng) {
        let control = u8::try_from(rng.below(CONTROLS.into())).expect("small") + 1;
        let Ok(_busy) = self.busy[usize::from(control) - 1].try_lock() else {
            return;
        };
        let name = format!("control-{control}");
        let pause = Duration::from_millis(rng.below(1_200));
        let short_pause = Duration::from_millis(rng.below(300));
        match rng.below(8) {
            0 | 1 => {
                self.deployment().signal(&name, Signal::STOP);
                thread::sleep([short_pause, pause][rng.index(2)]);
                self.deployment().signal(&name, Signal::CONT);
            }
            2 => {
                self.deployment().signal(&name, Signal::TERM);
                let child = self.deployment().processes.remove(&name);
                child.expect("a process").wait().expect("it ends");
                self.deployment().start_control(control, false);
            }
            3 => {
                self.deployment().kill(&name);
                thread::sleep(pause);
                self.deployment().start_control(control, false);
            }
            4 | 5 => {
                for _ in 0..=rng.below(3) {
                    self.restart_at_once(control);
                    thread::sleep(Duration::from_millis(rng.below(250)));
                }
            }
            _ => self.restart_beside_standstill(control, short_pause),
        }
    }

    fn restart_at_once(&self, control: u8) {
        let mut deployment = self.deployment();
        deployment.kill(&format!("control-{control}"));
        deployment.start_control(control, false);
    }

    /// Restarts a control instance twice, the second time while all others stand still, so that
    /// the first orders which it has forwarded are accepted when its next process runs.
    fn restart_beside_standstill(&self, control: u8, pause: Duration) {
        let others: Vec<u8> = (1..=CONTROLS).filter(|&other| other != control).collect();
        let busy = others
            .iter()
            .map(|&other| &self.busy[usize::from(other) - 1]);
        let busy: Vec<_> = busy.filter_map(|other| other.try_lock().ok()).collect();
        if busy.len() < others.len() {
            return;
        }
        let signal_others = |signal| {
            for other in &others {
                self.deployment()
                    .signal(&format!("control-{other}"), signal);
            }
        };
        self.restart_at_once(control);
        thread::sleep(Duration::from_millis(100) + pause / 2);
        signal_others(Signal::STOP);
        thread::sleep(pause / 8);
        self.restart_at_once(control);
        thread::sleep(pause);
        signal_others(Signal::CONT);
    }
}

fn spawn_reporter(scene: &Arc<Scene>, observations: Arc<Observations>) -> JoinHandle<()> {
    let scene = Arc::clone(scene);
    thread::spawn(move || {
        for sequence in 1.. {
            scene.report(sequence);
            observations.wait(Duration::from_millis(500));
            if observations.is_done() {
                return;
            }
        }
    })
}

fn soak(seed: u64, network: u8, time: Duration) {
    let routers = env_number("CONTROL_SOAK_ROUTERS").unwrap_or(1);
    let operators = env_number("CONTROL_SOAK_OPERATORS").unwrap_or(1 + seed % 4);
    let routers = u8::try_from(routers).expect("at most 200 routers");
    let scene = Arc::new(Scene::start(network, routers));
    let observations = Arc::new(Observations::new(1));
    let mut threads = vec![spawn_reporter(&scene, Arc::clone(&observations))];
    for operator in 0..operators {
        let (controls, seed) = (scene.controls.clone(), seed * 1_000 + operator);
        threads.push(spawn_operator(seed, controls, Arc::clone(&observations)));
    }
    threads.push(spawn_evacuator(&scene, seed, Arc::clone(&observations)));
    let end = Instant::now() + time;
    let injectors = (0..INJECTORS).map(|injector| {
        let scene = Arc::clone(&scene);
        thread::spawn(move || {
            let mut rng = Rng::new(seed * 1_000 + 500 + injector);
            let mut faults: u64 = 0;
            while Instant::now() < end {
                scene.inject_fault(&mut rng);
                faults += 1;
                thread::sleep(Duration::from_millis(rng.below(600)));
            }
            faults
        })
    });
    let injectors: Vec<_> = injectors.collect();
    let faults = injectors.into_iter().map(|i| i.join().expect("it ends"));
    let faults: u64 = faults.sum();
    thread::sleep(RECOVERY_TIME);
    let accepted = observations.accepted.load(Ordering::SeqCst);
    for &control in &scene.controls {
        let is_read = comes_true(|| {
            let read = json_call(control, "GET", "/config", "");
            let body = read.filter(|reply| reply.status == 200).map(|r| r.body);
            body.is_some_and(|body| {
                check_read(&observations, &body, accepted);
                true
            })
        });
        if !is_read {
            observations.add_violation(format!("no configuration is read back from {control}"));
        }
    }
    observations.done.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("the thread ends");
    }
    let counts = [
        &observations.accepted_count,
        &observations.read_count,
        &observations.evacuation_count,
    ];
    let [changes, reads, evacuations] = counts.map(|count| count.load(Ordering::SeqCst));
    println!(
        "seed {seed}: {faults} faults, {changes} changes acknowledged, {reads} reads, \
         {evacuations} evacuations checked"
    );
    let violations = observations.violations.lock().expect("the violations");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(changes > 0 && reads > 0, "seed {seed}: nothing was checked");
}

/// Guards against acknowledged configurations and evacuations that no instance has, and reads of
/// older ones, while instances restart beside a change of the leader.
#[test]
fn what_is_acknowledged_holds_under_overlapping_faults_of_control_instances() {
    let seed = env_number("CONTROL_SOAK_SEED").unwrap_or(1);
    let seconds = env_number("CONTROL_SOAK_SECONDS").unwrap_or(40);
    let network = u8::try_from(110 + seed % 40).expect("a small number");
    soak(seed, network, Duration::from_secs(seconds));
}
