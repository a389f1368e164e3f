//! Test environment: a node as a real process, targets that fail on demand, and
//! callers.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the environment"
)]

pub mod broken_heads;
mod caller;
mod crashing;
pub mod disk;
mod heartbeat;
pub mod memory;
mod node;
mod target;

pub use caller::{Answer, Caller, read_answer, stream_body};
pub use crashing::{CRASHING_MESSAGE, CrashRecords, CrashingEngine, WhileDown};
pub use heartbeat::Heartbeat;
pub use node::{Node, test_folder, test_folder_in};
pub use target::{Target, TargetAction};

use std::thread;
use std::time::{Duration, Instant};

/// Waits until a condition holds; panics after a time that a passing test never needs.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < limit, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
