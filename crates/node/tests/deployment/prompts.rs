//! Routers that start learn where prompts are cached.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::harness::{Behaviour, CALLER_PORT, Deployment, Target, call, eventually, request_text};

const PROMPTS: [&str; 6] = ["a1", "b2", "c3", "d4", "e5", "f6"];

/// Sends a prompt to a router; returns whether it was answered.
fn send_prompt(deployment: &Deployment, router: u8, prompt: &str, id: &str) -> bool {
    let field = format!("X-Bamboospur-Prefix-Hash: {prompt}:900,{id}f:10\r\nConnection: close");
    let text = request_text("POST", "/chat/1", id, "k1").replace("Connection: close", &field);
    let reply = call(deployment.address(router, CALLER_PORT), &text);
    reply.is_some_and(|reply| reply.status == 200)
}

/// A router that started asked one of several control instances for the cached prompts,
/// and each had stored only those that its own routers had reported.
#[test]
fn a_router_that_starts_knows_the_prompts_that_any_other_has_sent() {
    let mut deployment = Deployment::start(50);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &target, "engine", "ready", 1);
    deployment.wait_ready();
    // Each router reports to the control instance that its address prefers.
    for (prompt, router) in PROMPTS.iter().zip(30..) {
        deployment.start_router_at(router, &format!("router-{router}"));
        deployment.wait_ready_at(router);
        eventually("a prompt is answered", || {
            send_prompt(&deployment, router, prompt, prompt)
        });
    }
    // Cached prompts are reported every 100 ms.
    thread::sleep(Duration::from_millis(500));
    for router in 10..13 {
        let name = format!("router-{router}");
        deployment.start_router_at(router, &name);
        deployment.wait_ready_at(router);
        thread::sleep(Duration::from_millis(300));
        for (index, prompt) in PROMPTS.iter().enumerate() {
            let id = format!("{router}{index}");
            assert!(send_prompt(&deployment, router, prompt, &id), "{name}");
        }
        let log_path = deployment.folder.join(format!("{name}.log"));
        eventually("the requests are logged", || {
            let log = fs::read_to_string(&log_path).expect("a log");
            log.matches("request ended").count() == PROMPTS.len()
        });
        let log = fs::read_to_string(&log_path).expect("a log");
        assert_eq!(log.matches("cached=true").count(), PROMPTS.len(), "{name}");
    }
}

/// A router that heard of a newly cached prompt before it asked for the others never asked for
/// them.
#[test]
fn a_router_that_starts_into_traffic_learns_the_prompts_that_were_sent_before() {
    let mut deployment = Deployment::start(62);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &target, "engine", "ready", 1);
    deployment.wait_ready();
    for prompt in PROMPTS {
        eventually("a prompt is answered", || {
            send_prompt(&deployment, 9, prompt, prompt)
        });
    }
    thread::sleep(Duration::from_millis(500));
    deployment.start_router_at(10, "router-10");
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for number in 0x1000.. {
                if done.load(Ordering::SeqCst) {
                    return;
                }
                let prompt = format!("{number:x}");
                send_prompt(&deployment, 9, &prompt, &prompt);
                thread::sleep(Duration::from_millis(10));
            }
        });
        deployment.wait_ready_at(10);
        thread::sleep(Duration::from_secs(1));
        for (index, prompt) in PROMPTS.iter().enumerate() {
            assert!(send_prompt(&deployment, 10, prompt, &format!("10{index}")));
        }
        done.store(true, Ordering::SeqCst);
    });
    let log_path = deployment.folder.join("router-10.log");
    eventually("the requests are logged", || {
        let log = fs::read_to_string(&log_path).expect("a log");
        log.matches("request ended").count() == PROMPTS.len()
    });
    let log = fs::read_to_string(&log_path).expect("a log");
    assert_eq!(log.matches("cached=true").count(), PROMPTS.len());
}
