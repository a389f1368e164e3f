//! Clients that do not behave, against real processes.
//!
//! A crowd of connections sends what no well-meant client sends, while the memory of the process,
//! with the bytes that have arrived and are unread, and its open descriptors are watched. The
//! bounds are the limits that the settings of the process state. No check depends on the speed of
//! the machine. The tests run one at a time.

#[path = "../deployment/caller.rs"]
#[allow(dead_code, reason = "these tests use a part of the caller")]
mod caller;
mod calm;
mod crowd;
#[path = "../deployment/harness.rs"]
#[allow(dead_code, reason = "these tests use a part of the deployment")]
mod harness;
mod node;
mod roles;
mod soak;
#[path = "../support/mod.rs"]
mod support;
#[path = "../deployment/target.rs"]
#[allow(dead_code, reason = "these tests use a part of the target")]
mod target;
mod usage;

use std::sync::{Mutex, MutexGuard, PoisonError};

use support::disk;

/// Byte of the loopback addresses of all tests here, which never run side by side.
const NETWORK: u8 = 96;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
fn run_alone() -> MutexGuard<'static, ()> {
    // A test that failed leaves nothing behind.
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}
