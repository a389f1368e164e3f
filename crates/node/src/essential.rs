//! Threads without which the node cannot do its work.
//!
//! A panic ends only its thread. A node that went on without one of these would take calls and
//! answer none, or answer them by a state of the past. So the node then stops as on a signal, with
//! its requests in progress finished, and reports a failure, to be started again.

use std::io;
use std::process;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use signal_hook::consts::SIGTERM;
use signal_hook::low_level::raise;
use tracing::error;

/// Exit status of a node that cannot stop as on a signal.
const EXIT_CANNOT_STOP: i32 = 3;

static HAS_FAILED: AtomicBool = AtomicBool::new(false);

/// Stops the node when it is dropped by a panic.
struct PanicGuard {
    part: &'static str,
}

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        stop_node(self.part);
    }
}

/// Stops the node as on a signal because this part of it cannot go on.
pub fn stop_node(part: &'static str) {
    error!(
        part,
        "a part of the node cannot go on; the node stops, to be started again"
    );
    HAS_FAILED.store(true, Ordering::SeqCst);
    if let Err(error) = raise(SIGTERM) {
        error!(%error, "the node cannot stop as on a signal; ending it at once");
        process::exit(EXIT_CANNOT_STOP);
    }
}

/// Starts a thread whose panic stops the node.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be started.
pub fn spawn(part: &'static str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new().name(part.to_owned());
    builder.spawn(move || {
        let _guard = PanicGuard { part };
        run();
    })?;
    Ok(())
}

/// Whether a part has ended without which the node cannot do its work.
#[must_use]
pub fn has_failed() -> bool {
    HAS_FAILED.load(Ordering::SeqCst)
}
