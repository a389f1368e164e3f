//! Crowds at the doors of routers and control instances.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use super::crowd::{Client, Crowd};
use super::harness::{
    Behaviour, CALLER_PORT, CONTROL_PORT, Deployment, DeploymentSettings, LINK_PORT, ProcessLimits,
    READY_PORT, REPORT_PORT, Target, comes_true, json_call, report_body,
};
use super::usage::{Peak, Watch};
use super::{NETWORK, run_alone};

/// Connections of a crowd, fewer than the descriptors of the process.
const CROWD: usize = 1_000;
/// Limits of the processes, low so that a small crowd exceeds them.
const LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: 100,
    max_fds: 1_500,
};
pub const METRICS_PORT: u16 = 9104;
pub const METRICS_OPTIONS: &[&str] = &["--metrics", "9104"];
/// Time for which a crowd sends.
const SENDING_TIME: Duration = Duration::from_secs(6);
/// Size of a large body within the limits.
pub const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;

pub const CALLER_HEAD: &str = "POST /read/1 HTTP/1.1\r\nHost: a.example\r\n\
                           X-Bamboospur-Request-Id: crowd\r\nAuthorization: Bearer k1\r\n";
pub const CONFIG_HEAD: &str = "PUT /config HTTP/1.1\r\nHost: c\r\n";
pub const REPORT_HEAD: &str = "PUT /replicas/crowd HTTP/1.1\r\nHost: c\r\n";

/// Deployment with a target that reports whenever it is asked for an answer.
struct Site {
    deployment: Deployment,
    target: Target,
    reports: u64,
    /// When no ordinary request was answered.
    unanswered: Vec<&'static str>,
}

impl Site {
    fn start(limits: ProcessLimits) -> Self {
        let settings = DeploymentSettings {
            control_options: METRICS_OPTIONS,
            router_options: METRICS_OPTIONS,
            limits,
        };
        let mut deployment = Deployment::with_settings(NETWORK, settings);
        deployment.start_router();
        deployment.configure("k1");
        let target = Target::start(deployment.host(21), "t1", Behaviour::Answer);
        deployment.report("t1", &target, "s", "ready", 1);
        deployment.wait_ready();
        Self {
            deployment,
            target,
            reports: 1,
            unanswered: Vec::new(),
        }
    }

    /// Waits until an ordinary request is answered.
    fn expect_answer(&mut self, when: &'static str) {
        let is_answered = comes_true(|| {
            self.reports += 1;
            let body = report_body(self.target.address, "s", "ready", &self.reports.to_string());
            let is_reported = (1..=3).any(|control| {
                let address = self.deployment.address(control, CONTROL_PORT);
                let reply = json_call(address, "PUT", "/replicas/t1", &body);
                reply.is_some_and(|reply| reply.status == 200)
            });
            let id = format!("ordinary-{}", self.reports);
            let reply = self.deployment.request("GET", "/read/1", &id, "k1");
            is_reported && reply.is_some_and(|reply| reply.status == 200)
        });
        self.record(when, is_answered);
    }

    /// Waits until a control instance returns the configuration.
    fn expect_config(&mut self, control: u8, when: &'static str) {
        let address = self.deployment.address(control, CONTROL_PORT);
        let is_answered = comes_true(|| {
            json_call(address, "GET", "/config", "").is_some_and(|reply| reply.status == 200)
        });
        self.record(when, is_answered);
    }

    fn record(&mut self, when: &'static str, is_answered: bool) {
        if !is_answered {
            self.unanswered.push(when);
        }
    }

    fn watch(&self, index: u8, name: &str) -> Watch {
        let host = self.deployment.host(index);
        let id = self.deployment.processes[name].id();
        Watch::start(id, move |address| *address.ip() == host)
    }

    /// Checks that the process lives and kept its limits.
    fn check(&mut self, name: &str, peak: Peak, limits: ProcessLimits) {
        println!("{name}: {peak:?}, no answer: {:?}", self.unanswered);
        let process = self.deployment.processes.get_mut(name).expect("a process");
        let ended = process.try_wait().expect("its state");
        assert!(ended.is_none(), "{name} has ended: {ended:?}");
        assert!(self.unanswered.is_empty(), "{:?}", self.unanswered);
        assert!(peak.total_mb < limits.memory_mb, "{name}: {peak:?}");
        assert!(peak.descriptors < limits.max_fds, "{name}: {peak:?}");
    }
}

/// Sends a crowd to a door of the router, and checks that ordinary callers are answered beside it
/// and behind it, and that the router keeps its limits.
fn send_to_router(port: u16, connections: usize, client: Client) {
    let _alone = run_alone();
    let mut site = Site::start(LIMITS);
    let watch = site.watch(9, "router");
    let address = site.deployment.address(9, port);
    let crowd = Crowd::start(address, connections, client);
    thread::sleep(SENDING_TIME);
    site.expect_answer("beside the crowd");
    crowd.fall_silent();
    site.expect_answer("beside the open connections of the crowd");
    println!("{} connections open", crowd.open());
    drop(crowd);
    site.expect_answer("after the crowd");
    site.check("router", watch.peak(), LIMITS);
}

/// Sends a crowd to a door of a control instance, as [`send_to_router`] does.
fn send_to_control(port: u16, connections: usize, client: Client) {
    let _alone = run_alone();
    let mut site = Site::start(LIMITS);
    let watch = site.watch(2, "control-2");
    let address = site.deployment.address(2, port);
    let crowd = Crowd::start(address, connections, client);
    thread::sleep(SENDING_TIME);
    site.expect_config(2, "beside the crowd");
    crowd.fall_silent();
    site.expect_config(2, "beside the open connections of the crowd");
    drop(crowd);
    site.expect_config(2, "after the crowd");
    site.expect_answer("after the crowd");
    site.check("control-2", watch.peak(), LIMITS);
}

#[test]
fn callers_with_bodies_in_small_chunks_leave_memory_and_answers_for_others() {
    let client = Client::chunked(CALLER_HEAD, 1, LARGE_BODY_BYTES);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_bodies_in_large_chunks_leave_memory_and_answers_for_others() {
    let client = Client::chunked(CALLER_HEAD, 64 * 1024, LARGE_BODY_BYTES);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_long_chunk_extensions_leave_memory_and_answers_for_others() {
    let head = format!("{CALLER_HEAD}Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(200));
    let client = Client::repeating(&head, &chunk, 4 * LARGE_BODY_BYTES);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_large_bodies_leave_memory_and_answers_for_others() {
    let client = Client::with_length(CALLER_HEAD, LARGE_BODY_BYTES, 1);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_bodies_over_the_limit_leave_memory_and_answers_for_others() {
    let client = Client::with_length(CALLER_HEAD, 64 * LARGE_BODY_BYTES, 1);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_unfinished_short_bodies_leave_memory_and_answers_for_others() {
    let client = Client::with_length(CALLER_HEAD, 16 * 1024, 1);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn callers_with_heads_without_end_leave_memory_and_answers_for_others() {
    let client = Client::repeating(CALLER_HEAD, "X-A: b\r\n", LARGE_BODY_BYTES);
    send_to_router(CALLER_PORT, CROWD, client);
}

/// More connections than descriptors.
#[test]
fn callers_without_requests_leave_descriptors_and_answers_for_others() {
    send_to_router(CALLER_PORT, 2_000, Client::only(""));
}

#[test]
fn callers_that_pipeline_requests_leave_memory_and_answers_for_others() {
    let request = format!(
        "{}Content-Length: 0\r\n\r\n",
        CALLER_HEAD.replace("k1", "no")
    );
    let client = Client::repeating("", &request, LARGE_BODY_BYTES);
    send_to_router(CALLER_PORT, CROWD, client);
}

#[test]
fn reports_in_small_chunks_leave_memory_and_answers_for_others() {
    let client = Client::chunked(REPORT_HEAD, 1, 64 * 1024);
    send_to_router(REPORT_PORT, CROWD, client);
}

#[test]
fn connections_to_the_port_for_reports_leave_descriptors_for_others() {
    send_to_router(REPORT_PORT, 2_000, Client::only("PUT /"));
}

#[test]
fn connections_for_readiness_leave_memory_and_descriptors_for_others() {
    let client = Client::repeating("", "G", 256 * 1024);
    send_to_router(READY_PORT, 2_000, client);
}

#[test]
fn connections_for_metrics_leave_memory_and_descriptors_for_others() {
    let client = Client::repeating("GET /metrics HTTP/1.1\r\nX: ", "y", 256 * 1024);
    send_to_router(METRICS_PORT, 2_000, client);
}

#[test]
fn links_of_strangers_to_a_router_leave_memory_and_descriptors_for_others() {
    // The begin of a frame of 4 MB.
    let client = Client::repeating("\0\x40\0\0", "x", LARGE_BODY_BYTES - 1);
    send_to_router(LINK_PORT, 2_000, client);
}

#[test]
fn operators_with_bodies_in_small_chunks_leave_memory_and_answers_for_others() {
    let client = Client::chunked(CONFIG_HEAD, 1, LARGE_BODY_BYTES);
    send_to_control(CONTROL_PORT, CROWD, client);
}

#[test]
fn operators_with_large_bodies_leave_memory_and_answers_for_others() {
    let client = Client::with_length(CONFIG_HEAD, LARGE_BODY_BYTES, 1);
    send_to_control(CONTROL_PORT, CROWD, client);
}

#[test]
fn operators_without_requests_leave_descriptors_for_others() {
    send_to_control(CONTROL_PORT, 2_000, Client::only("PUT /"));
}

#[test]
fn connections_for_metrics_of_a_control_instance_leave_descriptors_for_others() {
    send_to_control(METRICS_PORT, 2_000, Client::only("GET /"));
}

#[test]
fn links_of_strangers_to_a_control_instance_leave_memory_and_descriptors_for_others() {
    let client = Client::repeating("\0\x40\0\0", "x", LARGE_BODY_BYTES - 1);
    send_to_control(LINK_PORT, 2_000, client);
}

/// What arrives at a suspended process counts as its memory too.
#[test]
fn a_suspended_router_keeps_its_limits_and_answers_when_it_goes_on() {
    let _alone = run_alone();
    let mut site = Site::start(LIMITS);
    let watch = site.watch(9, "router");
    site.deployment.signal("router", Signal::STOP);
    let address: SocketAddr = site.deployment.caller_address();
    let crowd = Crowd::start(
        address,
        CROWD,
        Client::chunked(CALLER_HEAD, 1, LARGE_BODY_BYTES),
    );
    thread::sleep(SENDING_TIME / 2);
    site.deployment.signal("router", Signal::CONT);
    thread::sleep(SENDING_TIME / 2);
    site.expect_answer("beside the crowd");
    drop(crowd);
    site.expect_answer("after the crowd");
    site.check("router", watch.peak(), LIMITS);
}
