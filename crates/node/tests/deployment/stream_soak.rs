//! Streams over engines of changing software versions under random faults.
//!
//! Engines are replaced one after the other by ones of the next version, so that two serve
//! side by side, and most break off their streams. Routers and control instances are killed,
//! terminated and suspended. Callers keep their connections open until the router is gone,
//! and resume broken streams through other routers. No stream may hold events of two
//! versions, and resumed streams must go on at least half as often as new ones begin. `STREAM_SOAK_SEED`, `STREAM_SOAK_SECONDS` and
//! `STREAM_SOAK_ROUTERS` change the seed, length and size of the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bamboospur_types::Rng;
use rustix::process::Signal;

use super::caller::{KeptConnection, StreamRead};
use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, FIRST_ROUTER_INDEX, SINGLE_RELAY_OPTIONS,
    Target, env_number, json_call, report_body, request_text,
};

const CALLER_COUNT: u64 = 30;
const ENGINE_COUNT: usize = 6;
/// Attempts of a caller to go on with one stream.
const MAX_RESUMES: usize = 3;
/// Time from the drain of an engine to its departure.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time after its start in which an engine is reported to all routers.
const START_TIME: Duration = Duration::from_secs(1);
/// Time without a fault of routers or control instances after which resumed streams count.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Resumed streams from which on their share is judged.
const MIN_RESUMED: u64 = 12;
/// Version of an engine, part of its name: `v3-7` is the seventh engine, with version v3.
type Version = String;

/// What callers found.
#[derive(Default)]
struct Observations {
    violations: Mutex<Vec<String>>,
    /// New streams that were asked for, and those that began.
    new: AtomicU64,
    begun: AtomicU64,
    /// Streams that were resumed while nothing was disturbed and two engines of their
    /// version served, and those that went on.
    resumed: AtomicU64,
    continued: AtomicU64,
    done: AtomicBool,
}

/// An engine that reports until it leaves.
#[derive(Clone)]
struct Engine {
    name: String,
    version: Version,
    address: SocketAddr,
    serves_since: Instant,
    drains: bool,
    leaves_at: Option<Instant>,
    sequence: u64,
}

struct World {
    deployment: Deployment,
    routers: Vec<u8>,
    engines: Arc<Mutex<Vec<Engine>>>,
    disturbed_at: Arc<Mutex<Instant>>,
}

fn version_of(name: &str) -> &str {
    name.split_once('-').map_or(name, |(version, _)| version)
}

/// Returns the behaviour of an engine: two thirds break off their streams.
fn behaviour(number: u64) -> Behaviour {
    if number.is_multiple_of(3) {
        Behaviour::Stream
    } else {
        Behaviour::BreakOff
    }
}

fn start_engine(world: &World, release: u64, number: u64) {
    let name: &'static str = Box::leak(format!("v{release}-{number}").into_boxed_str());
    let target = Target::start(world.deployment.host(20), name, behaviour(number));
    world.engines.lock().expect("engines").push(Engine {
        name: name.to_owned(),
        version: version_of(name).to_owned(),
        address: target.address,
        serves_since: Instant::now() + START_TIME,
        drains: false,
        leaves_at: None,
        sequence: 0,
    });
}

/// Reports all engines every 300 ms, and the departure of those whose time has come.
fn spawn_reporter(
    controls: Vec<SocketAddr>,
    engines: Arc<Mutex<Vec<Engine>>>,
    observations: Arc<Observations>,
) {
    thread::spawn(move || {
        while !observations.done.load(Ordering::SeqCst) {
            let now = Instant::now();
            let mut known = engines.lock().expect("engines");
            let is_gone = |engine: &Engine| engine.leaves_at.is_some_and(|at| now >= at);
            let (gone, live): (Vec<_>, Vec<_>) = known.drain(..).partition(is_gone);
            *known = live;
            for engine in known.iter_mut() {
                engine.sequence += 1;
            }
            let live = known.clone();
            drop(known);
            for engine in gone {
                let path = format!("/replicas/{}", engine.name);
                let delete = |&at: &SocketAddr| json_call(at, "DELETE", &path, "{\"born\":1}");
                let _answer = controls.iter().find_map(delete);
            }
            for engine in live {
                let state = if engine.drains { "draining" } else { "ready" };
                let sequence = engine.sequence.to_string();
                let body = report_body(engine.address, "engine", state, &sequence);
                let version = format!("{{\"version\":\"{}\",", engine.version);
                let body = body.replacen('{', &version, 1);
                let path = format!("/replicas/{}", engine.name);
                let put = |&at: &SocketAddr| {
                    json_call(at, "PUT", &path, &body).filter(|reply| reply.status == 200)
                };
                let _taken = controls.iter().find_map(put);
            }
            thread::sleep(Duration::from_millis(300));
        }
    });
}

/// A caller and its connections, which it keeps until they end.
struct Caller {
    rng: Rng,
    routers: Vec<SocketAddr>,
    kept: BTreeMap<SocketAddr, KeptConnection>,
    engines: Arc<Mutex<Vec<Engine>>>,
    disturbed_at: Arc<Mutex<Instant>>,
    observations: Arc<Observations>,
}

impl Caller {
    /// Sends a request to a random router, on the connection that is open to it if there is
    /// one, and reads the answer.
    fn ask(&mut self, text: &str) -> StreamRead {
        let router = self.routers[self.rng.index(self.routers.len())];
        let kept = self.kept.remove(&router);
        let Some(mut connection) = kept.or_else(|| KeptConnection::open(router)) else {
            return StreamRead::default();
        };
        let read = connection.read_stream(text);
        if connection.is_open() {
            self.kept.insert(router, connection);
        }
        read
    }

    /// Whether nothing was disturbed lately and two engines of a version serve.
    fn should_go_on(&self, version: &str) -> bool {
        let disturbed_at = *self.disturbed_at.lock().expect("a time");
        let engines = self.engines.lock().expect("engines");
        let now = Instant::now();
        let serves = |e: &&Engine| e.leaves_at.is_none() && now >= e.serves_since;
        let serving = engines.iter().filter(serves);
        let serving = serving.filter(|engine| engine.version == version);
        let is_calm = now.saturating_duration_since(disturbed_at) > CALM_TIME;
        is_calm && serving.count() >= 2
    }

    /// Asks for a stream and resumes it until it is whole or the attempts are used up.
    fn run_stream(&mut self, id: &str) {
        self.observations.new.fetch_add(1, Ordering::SeqCst);
        let text = request_text("POST", "/talk/1", id, "k1").replace("Connection: close\r\n", "");
        let mut read = self.ask(&text);
        if read.events.is_empty() {
            return;
        }
        self.observations.begun.fetch_add(1, Ordering::SeqCst);
        let mut events = std::mem::take(&mut read.events);
        for attempt in 0..MAX_RESUMES {
            if read.is_whole {
                break;
            }
            let version = version_of(&events[0].1).to_owned();
            let counts = self.should_go_on(&version);
            let last = events.last().map_or(0, |event| event.0);
            let fields = format!("Resumes: {id}\r\nLast-Event-Id: {last}\r\nContent-Length");
            let text = text.replacen("Content-Length", &fields, 1).replacen(
                id,
                &format!("{id}-{attempt}"),
                1,
            );
            read = self.ask(&text);
            if counts && self.should_go_on(&version) {
                self.observations.resumed.fetch_add(1, Ordering::SeqCst);
                let went_on = u64::from(!read.events.is_empty());
                self.observations
                    .continued
                    .fetch_add(went_on, Ordering::SeqCst);
            }
            events.append(&mut read.events);
        }
        self.check(id, &events);
    }

    /// Checks that no event is missing or comes twice, and that one version wrote all.
    fn check(&self, id: &str, events: &[(u64, String)]) {
        let ids: Vec<u64> = events.iter().map(|event| event.0).collect();
        let in_order: Vec<u64> = (1..).take(ids.len()).collect();
        let first = version_of(&events[0].1);
        let same_version = events.iter().all(|(_, name)| version_of(name) == first);
        if ids != in_order || !same_version {
            let mut violations = self.observations.violations.lock().expect("violations");
            violations.push(format!("{id}: {events:?}"));
        }
    }
}

/// Replaces an engine by one of the newest version, or of the next one if there is none of an
/// older version. The old one drains, with or without saying so in its reports.
fn release(world: &World, rng: &mut Rng, newest: &mut u64, number: u64) {
    let current = format!("v{newest}");
    let mut engines = world.engines.lock().expect("engines");
    let serving = |engine: &&mut Engine| engine.leaves_at.is_none();
    let old = engines.iter_mut().filter(serving);
    let old = old.min_by_key(|engine| (engine.version == current, rng.next_u64()));
    if let Some(old) = old {
        if old.version == current {
            *newest += 1;
        }
        old.drains = true;
        old.leaves_at = Some(Instant::now() + DRAIN_TIME);
    }
    drop(engines);
    start_engine(world, *newest, number);
}

/// Disturbs one or several processes.
fn disturb(world: &mut World, rng: &mut Rng) {
    // Until the end of the disturbance, all time counts as disturbed.
    *world.disturbed_at.lock().expect("a time") = Instant::now() + Duration::from_hours(1);
    let router = world.routers[rng.index(world.routers.len())];
    let name = format!("router-{router}");
    let control = u8::try_from(rng.below(3)).expect("small") + 1;
    let deployment = &mut world.deployment;
    match rng.below(7) {
        0 | 1 => {
            deployment.kill(&name);
            deployment.start_router_at(router, &name);
        }
        2 => {
            deployment.signal(&name, Signal::TERM);
            assert!(
                deployment.wait_for_exit(&name),
                "{name} fails when terminated"
            );
            deployment.start_router_at(router, &name);
        }
        3 => {
            deployment.signal(&name, Signal::STOP);
            thread::sleep(Duration::from_millis(rng.below(3_000)));
            deployment.signal(&name, Signal::CONT);
        }
        4 => {
            for router in &world.routers {
                deployment.kill(&format!("router-{router}"));
            }
            for &router in &world.routers {
                deployment.start_router_at(router, &format!("router-{router}"));
            }
        }
        5 => {
            // The signals overlap: a router is suspended while it stops.
            deployment.signal(&name, Signal::TERM);
            deployment.signal(&name, Signal::STOP);
            thread::sleep(Duration::from_millis(rng.below(1_000)));
            deployment.signal(&name, Signal::CONT);
            assert!(
                deployment.wait_for_exit(&name),
                "{name} fails when terminated"
            );
            deployment.start_router_at(router, &name);
        }
        _ => {
            let control_name = format!("control-{control}");
            deployment.kill(&control_name);
            deployment.kill(&name);
            deployment.start_control(control, false);
            deployment.start_router_at(router, &name);
        }
    }
    *world.disturbed_at.lock().expect("a time") = Instant::now();
}

fn start_world(seed: u64, network: u8) -> World {
    let options = if seed.is_multiple_of(2) {
        SINGLE_RELAY_OPTIONS
    } else {
        &[]
    };
    let routers = env_number("STREAM_SOAK_ROUTERS").unwrap_or(3);
    let routers = u8::try_from(routers).expect("at most 200 routers");
    let mut deployment = Deployment::with_options(network, options);
    let routers: Vec<u8> = (FIRST_ROUTER_INDEX..).take(routers.into()).collect();
    for &index in &routers {
        deployment.start_router_at(index, &format!("router-{index}"));
    }
    deployment.configure("k1");
    for &index in &routers {
        deployment.wait_ready_at(index);
    }
    World {
        deployment,
        routers,
        engines: Arc::default(),
        disturbed_at: Arc::new(Mutex::new(Instant::now())),
    }
}

fn spawn_callers(
    world: &World,
    seed: u64,
    observations: &Arc<Observations>,
) -> Vec<thread::JoinHandle<()>> {
    let routers = world.routers.iter();
    let routers: Vec<SocketAddr> = routers
        .map(|&index| world.deployment.address(index, CALLER_PORT))
        .collect();
    let callers = (0..CALLER_COUNT).map(|index| {
        let mut caller = Caller {
            rng: Rng::new(seed * 1_000 + index),
            routers: routers.clone(),
            kept: BTreeMap::new(),
            engines: Arc::clone(&world.engines),
            disturbed_at: Arc::clone(&world.disturbed_at),
            observations: Arc::clone(observations),
        };
        thread::spawn(move || {
            let mut number = 0;
            while !caller.observations.done.load(Ordering::SeqCst) {
                number += 1;
                caller.run_stream(&format!("{index}-{number}"));
                thread::sleep(Duration::from_millis(caller.rng.below(30)));
            }
        })
    });
    callers.collect()
}

fn soak(seed: u64, network: u8, time: Duration) {
    let mut world = start_world(seed, network);
    let observations = Arc::new(Observations::default());
    let controls: Vec<SocketAddr> = (1..=3)
        .map(|control| world.deployment.address(control, CONTROL_PORT))
        .collect();
    let mut number = 0;
    for _ in 0..ENGINE_COUNT {
        number += 1;
        start_engine(&world, 1, number);
    }
    spawn_reporter(
        controls,
        Arc::clone(&world.engines),
        Arc::clone(&observations),
    );
    thread::sleep(Duration::from_secs(1));
    let callers = spawn_callers(&world, seed, &observations);
    let mut rng = Rng::new(seed);
    let mut newest = 1;
    let end = Instant::now() + time;
    let mut next_release_at = Instant::now();
    let mut next_disturbance_at = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next_release_at {
            number += 1;
            release(&world, &mut rng, &mut newest, number);
            next_release_at = Instant::now() + Duration::from_millis(500 + rng.below(1_500));
        }
        if Instant::now() >= next_disturbance_at {
            disturb(&mut world, &mut rng);
            // Some disturbances follow at once, and some after a calm time.
            let pause = [0, 300, 8_000][rng.index(3)];
            next_disturbance_at = Instant::now() + Duration::from_millis(pause + rng.below(700));
        }
        thread::sleep(Duration::from_millis(20));
    }
    observations.done.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let (new, begun) = (count(&observations.new), count(&observations.begun));
    let (resumed, continued) = (count(&observations.resumed), count(&observations.continued));
    println!(
        "seed {seed}: {new} streams, {begun} begun, {resumed} resumed in calm, {continued} went on"
    );
    let violations = observations.violations.lock().expect("violations");
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(begun > 0, "seed {seed}: no stream began");
    assert!(
        resumed < MIN_RESUMED || 2 * continued * new >= resumed * begun,
        "seed {seed}: resumed streams go on less than half as often as new ones begin"
    );
}

#[test]
fn streams_keep_their_software_version_under_faults() {
    let seed = env_number("STREAM_SOAK_SEED").unwrap_or(1);
    let seconds = env_number("STREAM_SOAK_SECONDS").unwrap_or(25);
    let network = u8::try_from(150 + seed % 100).expect("a small number");
    soak(seed, network, Duration::from_secs(seconds));
}
