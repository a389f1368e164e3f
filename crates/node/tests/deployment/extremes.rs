//! Numbers at the ends of their ranges, from targets, operators and callers.
//!
//! Whatever number arrives, it is rejected or limited, and the processes go on and answer.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{
    Behaviour, CONTROL_PORT, Deployment, Target, call, config, eventually, json_call, read_reply,
    report_body, request_text,
};
use super::raw_target::{self, RawConnection, answer};
use super::versions::SPREAD_TIME;

const SMALL: [&str; 6] = ["0", "-0.0", "-1", "-1e22", "1e-300", "0.5"];
pub const LARGE: [&str; 9] = [
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "1e20",
    "9.3e21",
    "1e22",
    "1e30",
    "1e300",
];
/// Time after which a target serves again whatever one answer of it said.
const MAX_OUT_OF_SERVICE: Duration = Duration::from_secs(6);

pub fn all_numbers() -> impl Iterator<Item = &'static str> {
    SMALL.into_iter().chain(LARGE)
}

/// Fails if a process of the deployment has ended by itself.
fn assert_all_run(deployment: &mut Deployment, after: &str) {
    for (name, process) in &mut deployment.processes {
        let ended = process.try_wait().expect("the state of a process");
        assert!(ended.is_none(), "{name} ended after {after}: {ended:?}");
    }
}

fn control_call(deployment: &Deployment, index: u8, request: (&str, &str, &str)) -> u16 {
    let (method, path, body) = request;
    let address = deployment.address(index, CONTROL_PORT);
    json_call(address, method, path, body).map_or(0, |reply| reply.status)
}

/// Guards against control instances that go on after a report and answer nothing any more: the
/// sum of its time and the present overflowed.
#[test]
fn reports_with_extreme_numbers_stop_no_control_instance() {
    let mut deployment = Deployment::start(11);
    deployment.configure("k1");
    let first = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &first, "s", "ready", 1);
    deployment.wait_ready();
    for field in ["coldLeftMs", "seq", "slots", "born"] {
        for (index, number) in all_numbers().enumerate() {
            let fields = [
                ("seq", "1"),
                ("slots", "4"),
                ("born", "1"),
                ("coldLeftMs", "0"),
            ];
            let fields = fields.map(|(name, usual)| {
                let value = if name == field { number } else { usual };
                format!("\"{name}\":{value}")
            });
            let body = format!(
                "{{\"service\":\"unused\",\"address\":\"127.0.0.1:9\",\"zone\":\"north\",\
                 \"state\":\"ready\",{}}}",
                fields.join(",")
            );
            for control in 1..=3 {
                let path = format!("/replicas/{field}-{index}");
                let status = control_call(&deployment, control, ("PUT", &path, &body));
                assert!(matches!(status, 200 | 400), "{field} {number}: {status}");
            }
        }
        for control in 1..=3 {
            let status = control_call(&deployment, control, ("GET", "/config", ""));
            assert_eq!(status, 200, "control-{control} after {field}");
        }
    }
    deployment.configure("k2");
    deployment.report("t1", &first, "s", "ready", 2);
    eventually("the new key works", || {
        let reply = deployment.request("GET", "/read/1", "id", "k2");
        reply.is_some_and(|reply| reply.status == 200)
    });
    assert_all_run(&mut deployment, "the reports");
}
