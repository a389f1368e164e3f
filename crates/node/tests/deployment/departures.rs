//! Departures of targets and the loss of the control instance that acknowledged them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, REPORT_PORT, Reply, Target, call, eventually,
    json_call, report_body, request_text,
};

/// Time from the acknowledgement of a departure to the last request that may reach the target.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Longer than the time after which targets that do not report count as silent.
const WATCHED: Duration = Duration::from_secs(9);
/// Pause before a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Longest time to the refusal of a call that cannot be served.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(400);
/// Time in which a request arrives that a router sent before it heard of a departure.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(50);
/// Time between two reports of a target.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Targets that report to all control instances, and a caller that sends requests all the time.
struct Traffic {
    deployment: Deployment,
    targets: Vec<Target>,
    names: Vec<String>,
    reporting: Vec<Arc<AtomicBool>>,
    done: Arc<AtomicBool>,
}

impl Traffic {
    fn start(network: u8, target_count: u8) -> Self {
        let mut deployment = Deployment::start(network);
        deployment.configure("k1");
        let mut traffic = Self {
            targets: Vec::new(),
            names: Vec::new(),
            reporting: Vec::new(),
            done: Arc::default(),
            deployment,
        };
        for index in 0..target_count {
            traffic.start_target(index);
        }
        traffic.deployment.wait_ready();
        traffic.start_caller();
        eventually("all targets get requests", || {
            traffic.targets.iter().all(|target| target.runs() > 0)
        });
        traffic
    }

    /// Starts a target that reports to the first control instance that answers.
    fn start_target(&mut self, index: u8) {
        let name: &'static str = ["t0", "t1", "t2", "t3"][usize::from(index)];
        let host = self.deployment.host(20 + index);
        let target = Target::start(host, name, Behaviour::Answer);
        self.deployment.report(name, &target, "s", "ready", 1);
        let reports = Arc::new(AtomicBool::new(true));
        let controls: Vec<_> = (1..=3)
            .map(|control| self.deployment.address(control, CONTROL_PORT))
            .collect();
        let (address, reporting, done) =
            (target.address, Arc::clone(&reports), Arc::clone(&self.done));
        thread::spawn(move || {
            for sequence in 2_u64.. {
                thread::sleep(REPORT_PERIOD);
                if done.load(Ordering::SeqCst) || !reporting.load(Ordering::SeqCst) {
                    return;
                }
                let body = report_body(address, "s", "ready", &sequence.to_string());
                let path = format!("/replicas/{name}");
                let mut controls = controls.iter();
                controls.any(|&control| {
                    json_call(control, "PUT", &path, &body).is_some_and(|r| r.status == 200)
                });
            }
        });
        self.names.push(name.to_owned());
        self.reporting.push(reports);
        self.targets.push(target);
    }

    fn start_caller(&self) {
        let callers = self.deployment.address(9, CALLER_PORT);
        let done = Arc::clone(&self.done);
        thread::spawn(move || {
            for number in 0.. {
                if done.load(Ordering::SeqCst) {
                    return;
                }
                call(
                    callers,
                    &request_text("GET", "/read/1", &format!("id-{number}"), "k1"),
                );
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Lets a target leave through this address, calling again until the departure is
    /// acknowledged, as when a disk is slow. Returns when it was acknowledged.
    fn leave(&self, target: usize, address: SocketAddr) -> Instant {
        eventually("a departure is acknowledged", || {
            let reply = self.leave_at(target, address);
            reply.is_some_and(|reply| reply.status == 200)
        });
        Instant::now()
    }

    /// Calls once for a target that leaves. It does not report that it drains before, as some
    /// targets only announce their departure.
    fn leave_at(&self, target: usize, address: SocketAddr) -> Option<Reply> {
        self.reporting[target].store(false, Ordering::SeqCst);
        let path = format!("/replicas/{}", self.names[target]);
        json_call(address, "DELETE", &path, "{\"born\":1}")
    }

    /// Kills a control instance and starts it again with an empty disk.
    fn lose_disk(&mut self, control: u8) {
        self.deployment.kill(&format!("control-{control}"));
        self.deployment.remove_data(control);
        thread::sleep(RESTART_PAUSE);
        self.deployment.start_control(control, false);
    }

    /// Returns how many requests reached a target later than it may get any.
    fn late_requests(&self, target: usize, acknowledged_at: Instant) -> usize {
        let arrived_at = self.targets[target].arrived_at.lock().expect("the times");
        let late = arrived_at
            .iter()
            .filter(|&&at| at > acknowledged_at + DRAIN_TIME);
        late.count()
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.done.store(true, Ordering::SeqCst);
    }
}

/// The second of two departures was known only to the instance that acknowledged it, so its
/// target got requests again when that instance lost its disk.
#[test]
fn an_acknowledged_departure_survives_the_loss_of_the_instance_and_its_disk() {
    for control in 1..=3 {
        let mut traffic = Traffic::start(22 + control, 3);
        let address = traffic.deployment.address(control, CONTROL_PORT);
        let acknowledged = [traffic.leave(0, address), traffic.leave(1, address)];
        traffic.lose_disk(control);
        thread::sleep(WATCHED);
        let late: Vec<usize> = (0..2)
            .map(|target| traffic.late_requests(target, acknowledged[target]))
            .collect();
        assert_eq!(late, [0, 0], "acknowledged by instance {control}");
    }
}

/// A draining target repeats its reports, but only for as long as it lives.
#[test]
fn an_acknowledged_drain_survives_the_loss_of_the_instance_and_its_disk() {
    let mut traffic = Traffic::start(26, 3);
    traffic.reporting[0].store(false, Ordering::SeqCst);
    thread::sleep(REPORT_PERIOD);
    let body = report_body(traffic.targets[0].address, "s", "draining", "1000");
    let control = traffic.deployment.address(2, CONTROL_PORT);
    eventually("the drain is acknowledged", || {
        let reply = json_call(control, "PUT", "/replicas/t0", &body);
        reply.is_some_and(|reply| reply.status == 200)
    });
    let acknowledged_at = Instant::now();
    traffic.lose_disk(2);
    thread::sleep(WATCHED);
    assert_eq!(traffic.late_requests(0, acknowledged_at), 0);
}

/// A router confirms a departure only after a control instance has, and may be lost with it.
#[test]
fn a_departure_that_a_router_acknowledged_survives_its_loss_and_that_of_an_instance() {
    for control in 1..=3 {
        let mut traffic = Traffic::start(36 + control, 3);
        let router = traffic.deployment.address(9, REPORT_PORT);
        let acknowledged_at = traffic.leave(0, router);
        traffic.deployment.kill("router");
        traffic.lose_disk(control);
        traffic.deployment.start_router();
        thread::sleep(WATCHED);
        traffic.deployment.wait_ready();
        assert_eq!(traffic.late_requests(0, acknowledged_at), 0, "{control}");
    }
}

/// The departure was written to the disk only after it had been acknowledged.
#[test]
fn an_acknowledged_departure_survives_the_end_of_all_processes() {
    let mut traffic = Traffic::start(27, 3);
    let acknowledged_at = traffic.leave(0, traffic.deployment.address(1, CONTROL_PORT));
    traffic.deployment.kill_all();
    for control in 1..=3 {
        traffic.deployment.start_control(control, false);
    }
    traffic.deployment.start_router();
    thread::sleep(WATCHED);
    traffic.deployment.wait_ready();
    assert_eq!(traffic.late_requests(0, acknowledged_at), 0);
}

/// An instance that acknowledged alone what it could not copy forgot it when it was lost.
#[test]
fn an_instance_without_peers_refuses_departures_at_once_and_accepts_them_later() {
    let mut traffic = Traffic::start(28, 2);
    let address = traffic.deployment.address(1, CONTROL_PORT);
    for control in 2..=3 {
        traffic.deployment.kill(&format!("control-{control}"));
    }
    thread::sleep(RESTART_PAUSE);
    let sent_at = Instant::now();
    let reply = traffic.leave_at(0, address);
    assert_eq!(reply.map(|reply| reply.status), Some(503));
    assert!(
        sent_at.elapsed() < MAX_REFUSAL_TIME,
        "{:?}",
        sent_at.elapsed()
    );
    thread::sleep(IN_FLIGHT_TIME);
    let runs = traffic.targets[0].runs();
    thread::sleep(RESTART_PAUSE);
    assert_eq!(
        traffic.targets[0].runs(),
        runs,
        "the target still gets requests"
    );
    traffic.deployment.start_control(2, false);
    eventually("the departure is acknowledged", || {
        let reply = traffic.leave_at(0, address);
        reply.is_some_and(|reply| reply.status == 200)
    });
}

/// Peers were not asked for copies of an obsolete departure, whose call waited for them in vain.
#[test]
fn the_departure_of_an_earlier_start_is_acknowledged_at_once() {
    let traffic = Traffic::start(49, 2);
    let address = traffic.deployment.address(1, CONTROL_PORT);
    let born = |body: String, start: u64| body.replace("\"born\":1", &format!("\"born\":{start}"));
    let later = born(
        report_body(traffic.targets[0].address, "s", "ready", "1"),
        2,
    );
    traffic.reporting[0].store(false, Ordering::SeqCst);
    traffic.deployment.send_report("t0", &later);
    let reply = traffic.leave_at(0, address);
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    // Only the later start is left.
    traffic.leave(1, address);
    let runs = traffic.targets[0].runs();
    eventually("the later start gets requests", || {
        traffic.targets[0].runs() > runs + 10
    });
}

/// Instances that had forgotten a target since a restart acknowledged its departure and recorded
/// nothing, while the routers still knew the target.
#[test]
fn a_departure_is_known_to_routers_though_the_instances_have_forgotten_the_target() {
    let mut traffic = Traffic::start(48, 2);
    // New targets are written to the disk at most every three seconds.
    traffic.start_target(2);
    traffic.start_target(3);
    eventually("the last target gets requests", || {
        traffic.targets[3].runs() > 0
    });
    traffic.reporting[3].store(false, Ordering::SeqCst);
    for control in 1..=3 {
        traffic.deployment.kill(&format!("control-{control}"));
    }
    for control in 1..=3 {
        traffic.deployment.start_control(control, false);
    }
    let acknowledged_at = traffic.leave(3, traffic.deployment.address(1, CONTROL_PORT));
    thread::sleep(WATCHED);
    assert_eq!(traffic.late_requests(3, acknowledged_at), 0);
}
