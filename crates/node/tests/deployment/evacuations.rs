//! Evacuation of a data centre: an accepted order holds on all routers, over restarts, until
//! it is taken back.

use std::cell::Cell;
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, Reply, Target, call, eventually, json_call,
    report_body, request_text,
};

/// Time within which no router may send to an evacuated data centre any more.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

struct Scene {
    deployment: Deployment,
    north: Target,
    south: Target,
    /// Sequence number of the last reports.
    sequence: Cell<u64>,
}

impl Scene {
    fn start(network: u8) -> Self {
        let mut deployment = Deployment::without_router(network);
        deployment.start_router_at(9, "router-9");
        deployment.start_router_at(10, "router-10");
        deployment.configure("k1");
        let north = Target::start(deployment.host(20), "t1", Behaviour::Answer);
        let south = Target::start(deployment.host(21), "t2", Behaviour::Answer);
        let scene = Self {
            deployment,
            north,
            south,
            sequence: Cell::new(0),
        };
        scene.report();
        scene.wait_ready();
        scene
    }

    /// Reports both targets; a target that reports nothing new for six seconds is silent.
    fn report(&self) {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        self.deployment
            .report("t1", &self.north, "s", "ready", sequence);
        let body = report_body(self.south.address, "s", "ready", &sequence.to_string());
        self.deployment
            .send_report("t2", &body.replace("north", "south"));
    }

    fn wait_ready(&self) {
        self.deployment.wait_ready_at(9);
        self.deployment.wait_ready_at(10);
    }

    /// Sends an order to a control instance.
    fn order(&self, control: u8, method: &str, path: &str, body: &str) -> Option<Reply> {
        let address = self.deployment.address(control, CONTROL_PORT);
        json_call(address, method, path, body)
    }

    fn order_anywhere(&self, method: &str) {
        eventually("the order is accepted", || {
            (1..=3).any(|control| {
                let reply = self.order(control, method, "/evacuate/north", "");
                reply.is_some_and(|reply| reply.status == 200)
            })
        });
    }

    /// Sends requests through both routers and returns how many reached the north.
    fn runs_in_north(&self, label: &str) -> usize {
        let before = self.north.runs();
        for index in 0..20 {
            let router = self.deployment.address(9 + index % 2, CALLER_PORT);
            let text = request_text("GET", "/read/1", &format!("{label}-{index}"), "k1");
            let reply = call(router, &text).expect("a reply");
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
        self.north.runs() - before
    }

    fn kill_and_start_all(&mut self) {
        self.deployment.kill_all();
        for control in 1..=3 {
            self.deployment.start_control(control, false);
        }
        self.deployment.start_router_at(9, "router-9");
        self.deployment.start_router_at(10, "router-10");
        self.wait_ready();
        self.report();
    }
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_until_it_is_taken_back() {
    let mut scene = Scene::start(68);
    eventually("the data centre gets requests", || {
        scene.runs_in_north("before") > 0
    });
    scene.order_anywhere("POST");
    // A repetition is answered alike.
    scene.order_anywhere("POST");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(scene.runs_in_north("evacuated"), 0);
    scene.kill_and_start_all();
    assert_eq!(scene.runs_in_north("restarted"), 0);
    scene.order_anywhere("DELETE");
    eventually("the data centre gets requests again", || {
        scene.runs_in_north("after") > 0
    });
    // An order reaches the leader from any instance.
    for control in 1..=3 {
        eventually("any instance takes the order", || {
            let reply = scene.order(control, "POST", "/evacuate/north", "");
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}

#[test]
fn an_evacuation_is_accepted_while_the_leader_is_lost_and_holds() {
    let mut scene = Scene::start(69);
    for control in 1..=3 {
        let name = format!("control-{control}");
        let method = if control % 2 == 1 { "POST" } else { "DELETE" };
        // One of the three instances leads.
        scene.deployment.kill(&name);
        let asked_at = Instant::now();
        scene.order_anywhere(method);
        assert!(asked_at.elapsed() < EVACUATION_LIMIT);
        // Targets report again and again.
        scene.report();
        thread::sleep(Duration::from_millis(500));
        if control % 2 == 1 {
            assert_eq!(scene.runs_in_north(&name), 0);
        }
        scene.deployment.start_control(control, false);
        thread::sleep(Duration::from_secs(2));
    }
}

#[test]
fn orders_that_are_wrong_for_good_are_refused() {
    let scene = Scene::start(63);
    let status = |method, path, body| {
        let reply = scene.order(1, method, path, body);
        reply.map(|reply| reply.status)
    };
    assert_eq!(status("POST", "/evacuate/nowhere", ""), Some(404));
    assert_eq!(status("DELETE", "/evacuate/nowhere", ""), Some(404));
    assert_eq!(status("POST", "/evacuate/", ""), Some(404));
    assert_eq!(status("POST", "/evacuate/north", "{}"), Some(400));
    assert_eq!(status("PUT", "/evacuate/north", ""), Some(404));
    assert_eq!(scene.runs_in_north("after"), 20);
}
