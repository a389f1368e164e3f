//! Measures and enforces rates per minute.

use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(2);
const WINDOWS_PER_MINUTE: u64 = 30;
const NANOS_PER_MINUTE: u128 = 60_000_000_000;
/// Size of a bucket, as seconds of its rate.
const BURST_SECONDS: u64 = 2;

/// Event counts of the current and the previous window.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    current: u64,
    previous: u64,
    window_end: Instant,
}

impl Rate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: 0,
            previous: 0,
            window_end: now + WINDOW,
        }
    }

    pub(crate) fn add(&mut self, count: u64, now: Instant) {
        self.advance(now);
        self.current = self.current.saturating_add(count);
    }

    /// Returns the larger count of the current and the previous window, as a rate
    /// per minute.
    pub(crate) fn per_minute(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.current
            .max(self.previous)
            .saturating_mul(WINDOWS_PER_MINUTE)
    }

    fn advance(&mut self, now: Instant) {
        if now < self.window_end {
            return;
        }
        let is_next = now < self.window_end + WINDOW;
        self.previous = if is_next { self.current } else { 0 };
        self.current = 0;
        self.window_end = now + WINDOW;
    }
}

/// Token bucket whose rate is passed to each check, so that it can change.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level: u64,
    filled_at: Instant,
}

impl Bucket {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            level: 0,
            filled_at: now,
        }
    }

    /// Refills the bucket and returns whether it holds `count`. A count above the
    /// bucket's size needs only a full bucket; otherwise it could never pass.
    pub(crate) fn has(&mut self, count: u64, per_minute: u64, now: Instant) -> bool {
        let size = (per_minute / 60).saturating_mul(BURST_SECONDS).max(1);
        let elapsed = now.saturating_duration_since(self.filled_at).as_nanos();
        let earned = elapsed.saturating_mul(u128::from(per_minute)) / NANOS_PER_MINUTE;
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        if earned > 0 {
            self.level = self.level.saturating_add(earned);
            self.filled_at = now;
        }
        self.level = self.level.min(size);
        self.level >= count.min(size)
    }

    pub(crate) const fn take(&mut self, count: u64) {
        self.level = self.level.saturating_sub(count);
    }
}
