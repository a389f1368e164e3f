//! Announcement and heartbeats of a test target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Announces a target and sends heartbeats for it until this value is dropped.
pub struct Heartbeat {
    operators: SocketAddr,
    name: String,
    incarnation: Value,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    draining: AtomicBool,
}

impl Heartbeat {
    pub fn start(operators: SocketAddr, record: Value) -> Self {
        let name = record["name"].as_str().expect("name").to_owned();
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        let incarnation = record["incarnation"].clone();
        let (own_name, own_incarnation) = (name.clone(), incarnation.clone());
        thread::spawn(move || {
            post(operators, "/targets/announce", &record);
            let mut sequence = 0;
            while !thread_shared.stop.load(Ordering::Relaxed) {
                sequence += 1;
                let own = (own_name.as_str(), &own_incarnation);
                send_heartbeat(operators, own, sequence, &thread_shared);
                thread::sleep(Duration::from_millis(100));
            }
        });
        Self {
            operators,
            name,
            incarnation,
            shared,
        }
    }

    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Relaxed);
    }

    /// Stops the heartbeats and removes the target from the node.
    pub fn leave(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        let body = json!({"name": self.name, "incarnation": self.incarnation});
        post(self.operators, "/targets/leave", &body);
    }
}

impl Drop for Heartbeat {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

fn send_heartbeat(
    operators: SocketAddr,
    (name, incarnation): (&str, &Value),
    sequence: u64,
    shared: &Shared,
) {
    let draining = shared.draining.load(Ordering::Relaxed);
    let state = if draining { "draining" } else { "ready" };
    let body = json!({
        "name": name, "incarnation": incarnation, "sequence": sequence,
        "load_tokens": 0, "load_requests": 0, "state": state,
    });
    post(operators, "/targets/heartbeat", &body);
}

fn post(operators: SocketAddr, path: &str, body: &Value) {
    let url = format!("http://{operators}{path}");
    let request = ureq::post(url).header("content-type", "application/json");
    // The node may be down in tests that restart it.
    let _ = request.send(body.to_string());
}
