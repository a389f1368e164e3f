//! Requests with a part in their prompts that crashes each engine which begins to answer it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::crashing_engine::{CRASHING_PART, CrashingEngine, Records, WhileDown};
use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, Target, call, eventually, request_text,
};

const ROUTERS: [u8; 3] = [9, 10, 11];
const ENGINES: u8 = 8;
const ENGINE_PORT: u16 = 9200;
/// Callers of sound requests that send one after the other.
const SOUND_CALLERS: usize = 12;
const SOUND_PAUSE: Duration = Duration::from_millis(100);
/// Documents that sound requests share.
const DOCUMENTS: usize = 4;
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
/// Crashes after which further requests with the part are counted.
const COUNTED_CRASHES: usize = 5;
/// Time in which all routers learn of the part.
const SPREAD_TIME: Duration = Duration::from_secs(1);
const MAX_LATE_REQUESTS: usize = 3;
const MIN_SERVED_SHARE: f64 = 0.9;
/// Engines have started again this long after the last crash.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// A deployment with engines and callers.
struct Scene {
    deployment: Deployment,
    engines: Vec<CrashingEngine>,
    records: Arc<Mutex<Records>>,
    /// When each sound request was sent, and whether its whole answer came.
    sound: Mutex<Vec<(Instant, bool)>>,
    /// Answers to requests with the crashing part: status and head.
    rejected: Mutex<Vec<(u16, String)>>,
}

impl Scene {
    fn start(network: u8) -> Self {
        Self::start_with(network, WhileDown::Refuse)
    }

    fn start_with(network: u8, while_down: WhileDown) -> Self {
        let mut deployment = Deployment::without_router(network);
        for router in ROUTERS {
            deployment.start_router_at(router, &format!("router-{router}"));
        }
        deployment.configure("k1");
        let controls: Vec<SocketAddr> = (1..=3)
            .map(|control| deployment.address(control, CONTROL_PORT))
            .collect();
        let records = Arc::default();
        let engines = (0..ENGINES).map(|index| {
            let address = deployment.address(20 + index, ENGINE_PORT);
            let name = format!("e{index}");
            CrashingEngine::start(address, &name, controls.clone(), &records, while_down)
        });
        let engines = engines.collect();
        for router in ROUTERS {
            deployment.wait_ready_at(router);
        }
        let scene = Self {
            deployment,
            engines,
            records,
            sound: Mutex::default(),
            rejected: Mutex::default(),
        };
        eventually("all routers serve", || {
            let mut routers = ROUTERS.iter();
            routers.all(|&router| scene.send(router, "a1:400,ffff:10", "id-0"))
        });
        scene
    }

    /// Sends a prompt to a router; returns whether the whole answer came.
    fn send(&self, router: u8, prompt: &str, id: &str) -> bool {
        let reply = call(
            self.deployment.address(router, CALLER_PORT),
            &prompt_text(prompt, id),
        );
        reply.is_some_and(|reply| reply.status == 200 && reply.body.ends_with("0\r\n\r\n"))
    }

    /// Sends sound requests that share their first part and a document until `done`.
    fn send_sound(&self, caller: usize, done: &AtomicBool) {
        for number in 0.. {
            if done.load(Ordering::SeqCst) {
                return;
            }
            let document = 0xd0 + (caller + number) % DOCUMENTS;
            let session = 0x1000 + caller;
            let prompt = format!("a1:400,{document:x}:300,{session:x}:100");
            let router = ROUTERS[(caller + number) % ROUTERS.len()];
            let sent_at = Instant::now();
            let served = self.send(router, &prompt, &format!("s{caller}-{number}"));
            self.sound.lock().expect("results").push((sent_at, served));
            thread::sleep(SOUND_PAUSE);
        }
    }

    /// Sends requests with the crashing part, no two alike, until `done`.
    fn send_crashing(&self, done: &AtomicBool) {
        for number in 0.. {
            if done.load(Ordering::SeqCst) {
                return;
            }
            let document = 0xd0 + number % DOCUMENTS;
            let own = 0x8000 + number;
            let prompt = format!("a1:400,{document:x}:300,{CRASHING_PART}:200,{own:x}:50");
            let router = ROUTERS[number % ROUTERS.len()];
            let address = self.deployment.address(router, CALLER_PORT);
            let reply = call(address, &prompt_text(&prompt, &format!("c{number}")));
            if let Some(reply) = reply {
                let mut rejected = self.rejected.lock().expect("results");
                rejected.push((reply.status, reply.head));
            }
            thread::sleep(CRASHING_PAUSE);
        }
    }

    /// Runs `act` while callers send requests.
    fn with_callers(&self, act: impl FnOnce()) {
        let done = AtomicBool::new(false);
        thread::scope(|scope| {
            for caller in 0..SOUND_CALLERS {
                let done = &done;
                scope.spawn(move || self.send_sound(caller, done));
            }
            act();
            done.store(true, Ordering::SeqCst);
        });
    }

    /// Returns the share of the sound requests sent from then on that were served.
    fn served_share(&self, from: Instant) -> f64 {
        let sound = self.sound.lock().expect("results");
        let later = sound.iter().filter(|(sent_at, _)| *sent_at >= from);
        let served: Vec<f64> = later
            .map(|&(_, served)| f64::from(u8::from(served)))
            .collect();
        assert!(served.len() >= 20, "{} sound requests", served.len());
        served.iter().sum::<f64>() / f64::from(u32::try_from(served.len()).expect("a count"))
    }

    /// Returns the requests with the crashing part that reached engines later than the
    /// spread time after the crash with this number.
    fn late_arrivals(&self, crash: usize) -> usize {
        let records = self.records.lock().expect("records");
        let Some(&crashed_at) = records.crashes.get(crash - 1) else {
            return 0;
        };
        let arrivals = records.crashing_arrivals.iter();
        arrivals
            .filter(|&&at| at > crashed_at + SPREAD_TIME)
            .count()
    }

    fn crashes(&self) -> Vec<Instant> {
        self.records.lock().expect("records").crashes.clone()
    }
}

fn prompt_text(prompt: &str, id: &str) -> String {
    let field = format!("X-Bamboospur-Prefix-Hash: {prompt}\r\nConnection: close");
    request_text("POST", "/chat/1", id, "k1").replace("Connection: close", &field)
}

/// Routers placed requests like any other after several engines had crashed on a part that
/// they share, until most engines were down.
#[test]
fn requests_with_a_part_that_crashes_engines_are_rejected_and_others_are_served() {
    check_crashing_requests(&Scene::start(70));
}

/// An engine whose proxy took and reset connections while it was down counted as running, and
/// no part was ever blocked.
#[test]
fn requests_that_crash_engines_behind_proxies_are_rejected_and_others_are_served() {
    check_crashing_requests(&Scene::start_with(76, WhileDown::Reset));
}

/// Sends requests that crash engines beside sound ones; checks which are rejected.
fn check_crashing_requests(scene: &Scene) {
    let done = AtomicBool::new(false);
    scene.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        thread::scope(|scope| {
            scope.spawn(|| scene.send_crashing(&done));
            thread::sleep(Duration::from_secs(12));
            done.store(true, Ordering::SeqCst);
        });
    });
    let crashes = scene.crashes();
    let late = scene.late_arrivals(COUNTED_CRASHES);
    let recovered_at = crashes[crashes.len().min(COUNTED_CRASHES) - 1] + RECOVERY_TIME;
    let served = scene.served_share(recovered_at);
    println!("{} crashes, {late} late, {served:.3} served", crashes.len());
    assert!(late <= MAX_LATE_REQUESTS, "{late} of {}", crashes.len());
    assert!(served >= MIN_SERVED_SHARE, "{served}");
    let rejected = scene.rejected.lock().expect("results");
    let (status, head) = rejected.last().expect("answers");
    assert_eq!(*status, 503, "{head}");
    assert!(head.contains("Retry-After: "), "{head}");
}

/// Routers that start, and control instances that lose their memory, would have to see more
/// engines end.
#[test]
fn routers_and_control_instances_that_start_learn_which_requests_crash_engines() {
    let mut scene = Scene::start(72);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| scene.send_crashing(&done));
        thread::sleep(Duration::from_secs(3));
        done.store(true, Ordering::SeqCst);
    });
    let crashes = scene.crashes().len();
    assert!((3..=COUNTED_CRASHES).contains(&crashes), "{crashes}");
    scene.deployment.start_router_at(12, "router-12");
    scene.deployment.wait_ready_at(12);
    let is_rejected = |scene: &Scene, router: u8| {
        let text = prompt_text(&format!("{CRASHING_PART}:200,f0{router}:50"), "id-1");
        let reply = call(scene.deployment.address(router, CALLER_PORT), &text).expect("a reply");
        reply.status == 503 && reply.body.contains("crashes-targets")
    };
    assert!(is_rejected(&scene, 12));
    for control in 1..=3 {
        scene.deployment.kill(&format!("control-{control}"));
    }
    for control in 1..=3 {
        scene.deployment.start_control(control, false);
    }
    thread::sleep(SPREAD_TIME);
    scene.deployment.start_router_at(13, "router-13");
    scene.deployment.wait_ready_at(13);
    assert!(is_rejected(&scene, 13));
    eventually("sound requests are served", || {
        scene.send(13, "a1:400,ffff:10", "id-2")
    });
    assert_eq!(scene.crashes().len(), crashes);
}

/// Engines that end one after the other, or several at once, under requests that share parts
/// with all others: no part is to blame.
#[test]
fn engines_that_end_by_themselves_reject_no_request() {
    let scene = Scene::start(71);
    let mut measured_from = None;
    scene.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        for group in scene.engines.chunks(2) {
            for engine in group {
                engine.crash();
            }
            thread::sleep(Duration::from_millis(700));
        }
        for engine in &scene.engines[..5] {
            engine.crash();
        }
        thread::sleep(RECOVERY_TIME);
        measured_from = Some(Instant::now());
        thread::sleep(Duration::from_secs(2));
    });
    let served = scene.served_share(measured_from.expect("it is set"));
    assert!(served >= MIN_SERVED_SHARE, "{served}");
}

/// A target that resets single requests still runs: their parts are not to blame.
#[test]
fn targets_that_reset_requests_and_go_on_block_no_part() {
    let mut deployment = Deployment::start(77);
    deployment.configure("k1");
    let targets = ["r0", "r1", "r2", "r3", "r4", "r5"];
    let started = targets.iter().zip(20..).map(|(name, host)| {
        let host = deployment.host(host);
        (
            *name,
            Target::start(host, name, Behaviour::CloseWithoutAnswer),
        )
    });
    let started: Vec<(&str, Target)> = started.collect();
    for (name, target) in &started {
        deployment.report(name, target, "engine", "ready", 1);
    }
    deployment.wait_ready();
    for number in 0..12 {
        let prompt = format!("a1:400,{number:x}:10");
        let text = prompt_text(&prompt, &format!("id-{number}"));
        let reply = call(deployment.caller_address(), &text).expect("a reply");
        assert!(!reply.body.contains("crashes-targets"), "{}", reply.body);
        thread::sleep(Duration::from_millis(200));
    }
    let runs: usize = started.iter().map(|(_, target)| target.runs()).sum();
    assert!(runs >= 12, "{runs}");
}
