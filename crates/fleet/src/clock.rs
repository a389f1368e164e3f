//! Clock that includes the time the machine is suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, suspends included. The monotonic clock of
/// the standard library leaves suspends out, so a lease timed by it could outlive its
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let millis = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
        Self(seconds * 1_000 + millis)
    }

    /// Returns the time since an earlier reading, or zero if `earlier` is the later one.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
