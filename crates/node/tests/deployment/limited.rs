//! Targets that state how many requests per second they take from all routers together.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CALLER_PORT, Deployment, SINGLE_RELAY_OPTIONS, Target, call, eventually,
    request_text,
};

const CALLERS: usize = 12;
/// Pause of a caller between two requests; all callers send 60 requests per second.
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// Time between two reports of a target.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time in which all routers learn of a limit.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Span in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which targets state a limit.
const LIMITED_TIME: Duration = Duration::from_secs(12);
/// Least part of a limit that is used while there are enough requests.
const MIN_USED_SHARE: f64 = 0.5;
/// Requests that reach the targets soon after the end of their limits; with the limits, it
/// would take them most of a minute.
const AFTERWARDS: usize = 300;
const MIN_SERVED_SHARE: f64 = 0.98;

/// Routers, limited targets, and a target that states no limit.
struct Scene {
    deployment: Mutex<Deployment>,
    /// Addresses of the routers for callers.
    routers: Vec<SocketAddr>,
    limited: Vec<Target>,
    free: Target,
    sent: AtomicUsize,
    served: AtomicUsize,
}

/// Sets the flag when it is dropped, also when the test fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

impl Scene {
    fn start(mut deployment: Deployment, routers: u8) -> Self {
        let routers: Vec<u8> = (9..9 + routers).collect();
        for router in &routers {
            deployment.start_router_at(*router, &format!("router-{router}"));
        }
        deployment.configure("k1");
        let target = |index| {
            Target::start(
                deployment.host(index),
                NAMES[usize::from(index - 40)],
                Behaviour::Answer,
            )
        };
        let limited: Vec<Target> = (40..43).map(target).collect();
        let free = target(43);
        for &router in &routers {
            deployment.wait_ready_at(router);
        }
        let address = |&router: &u8| deployment.address(router, CALLER_PORT);
        let scene = Self {
            routers: routers.iter().map(address).collect(),
            deployment: Mutex::new(deployment),
            limited,
            free,
            sent: AtomicUsize::default(),
            served: AtomicUsize::default(),
        };
        scene.report(1);
        for &router in &scene.routers {
            eventually("a router serves", || send(router, "probe"));
        }
        scene
    }

    /// Reports all targets.
    fn report(&self, sequence: u64) {
        let deployment = self.deployment.lock().expect("the deployment");
        for (target, name) in self.limited.iter().chain([&self.free]).zip(NAMES) {
            deployment.report(name, target, "s", "ready", sequence);
        }
    }

    /// Lets the target without a limit drain.
    fn drain_free(&self) {
        let deployment = self.deployment.lock().expect("the deployment");
        deployment.report(NAMES[3], &self.free, "s", "draining", u64::from(u32::MAX));
    }

    /// Runs `act` while callers send requests to all routers and targets report.
    fn with_callers(&self, act: impl FnOnce()) {
        let done = AtomicBool::new(false);
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let done = &done;
                scope.spawn(move || {
                    for number in 0.. {
                        if done.load(Ordering::SeqCst) {
                            return;
                        }
                        let router = self.routers[(caller + number) % self.routers.len()];
                        let served = send(router, &format!("c{caller}-{number}"));
                        self.sent.fetch_add(1, Ordering::SeqCst);
                        self.served.fetch_add(usize::from(served), Ordering::SeqCst);
                        thread::sleep(CALLER_PAUSE);
                    }
                });
            }
            scope.spawn(|| {
                for sequence in 2.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    self.report(sequence);
                    thread::sleep(REPORT_PERIOD);
                }
            });
            let _done = SetOnDrop(&done);
            act();
        });
    }

    fn state_limits(&self, per_second: Option<&str>) {
        for target in &self.limited {
            target.state_limit(per_second);
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a test sends few requests")]
    fn served_share(&self) -> f64 {
        let (served, sent) = (&self.served, &self.sent);
        served.load(Ordering::SeqCst) as f64 / sent.load(Ordering::SeqCst).max(1) as f64
    }
}

/// Sends a request to a router; returns whether it was served.
fn send(router: SocketAddr, id: &str) -> bool {
    let reply = call(router, &request_text("GET", "/read/1", id, "k1"));
    reply.is_some_and(|reply| reply.status == 200)
}

/// Names of the limited targets and of the other one.
const NAMES: [&str; 4] = ["t0", "t1", "t2", "t3"];

/// Returns the arrivals in a span of time.
fn arrivals(target: &Target, from: Instant, to: Instant) -> Vec<Instant> {
    let arrived_at = target.arrived_at.lock().expect("the arrivals");
    let arrived_at = arrived_at.iter().copied();
    arrived_at.filter(|&at| from <= at && at < to).collect()
}

/// Returns the most arrivals in any [`WINDOW`].
fn most_in_window(arrived_at: &[Instant]) -> usize {
    let ends = arrived_at.iter();
    let in_window = |&end: &Instant| {
        let window = arrived_at.iter();
        window.filter(|&&at| at <= end && at + WINDOW > end).count()
    };
    ends.map(in_window).max().unwrap_or(0)
}

/// Lets targets state a limit for a time, during which `act` runs, and checks that all routers
/// together keep it, use it, and notice its end. Returns the served share of the requests
/// until then.
fn check_limit(scene: &Scene, per_second: &str, act: impl FnOnce()) -> f64 {
    let limit: f64 = per_second.parse().expect("a number");
    let mut served = 0.0;
    scene.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        scene.state_limits(Some(per_second));
        let from = Instant::now() + SPREAD_TIME;
        let to = from + LIMITED_TIME;
        thread::sleep(SPREAD_TIME);
        act();
        thread::sleep(to.saturating_duration_since(Instant::now()));
        scene.state_limits(None);
        for target in &scene.limited {
            let arrived_at = arrivals(target, from, to);
            let (most, all) = (most_in_window(&arrived_at), arrived_at.len());
            println!("{all} requests, {most} at most in a window");
            let (most, all) = (count(most), count(all));
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            assert!(most <= allowed, "{most} of {allowed} at {}", target.address);
            let offered = limit * LIMITED_TIME.as_secs_f64();
            let used = (MIN_USED_SHARE * offered).floor();
            assert!(all >= used, "{all} of {offered} at {}", target.address);
        }
        served = scene.served_share();
        // Without the other target, requests are served only once the end of the limits is
        // noticed.
        scene.drain_free();
        let runs = || scene.limited.iter().map(Target::runs).sum::<usize>();
        let before = runs();
        eventually("targets without a limit are used", || {
            runs() >= before + AFTERWARDS
        });
    });
    served
}

fn count(requests: usize) -> f64 {
    f64::from(u32::try_from(requests).expect("a count"))
}

/// Targets got as many requests as before from all routers when they stated a limit.
#[test]
fn all_routers_together_keep_the_limit_that_a_target_states() {
    let scene = Scene::start(Deployment::without_router(73), 3);
    let served = check_limit(&scene, "2.5", || {});
    assert!(served >= MIN_SERVED_SHARE, "{served}");
}

/// An equal part of a limit below one request per second would allow each of many routers a
/// request once in a long time only, and no target would be used.
#[test]
fn a_limit_of_less_than_a_request_per_router_is_kept_and_used() {
    let scene = Scene::start(Deployment::without_router(74), 8);
    let served = check_limit(&scene, "0.5", || {});
    assert!(served >= MIN_SERVED_SHARE, "{served}");
}

/// Routers that start know no limits, and those that hear of limits through a relay lose it.
#[test]
fn a_limit_is_kept_while_routers_restart_and_the_relay_is_replaced() {
    let deployment = Deployment::with_options(75, SINGLE_RELAY_OPTIONS);
    let scene = Scene::start(deployment, 4);
    check_limit(&scene, "2", || {
        for router in 9..13 {
            let name = format!("router-{router}");
            let mut deployment = scene.deployment.lock().expect("the deployment");
            deployment.kill(&name);
            deployment.start_router_at(router, &name);
            drop(deployment);
            thread::sleep(Duration::from_secs(2));
        }
    });
}
