//! Retry budget of one pool on one router.

use std::time::{Duration, Instant};

/// Size of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries allowed per 1,000 first attempts.
    pub retries_per_thousand: u32,
    /// Retries per second that are allowed regardless of the number of first attempts.
    pub floor_per_second: u32,
    /// Length of a window. Unused credit is limited to what the current and the previous
    /// window earned.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            floor_per_second: 1,
            window: Duration::from_secs(10),
        }
    }
}

const MILLI_PER_RETRY: u64 = 1_000;
/// Nanoseconds per thousandth of a retry at a floor of one retry per second.
const NANOS_PER_MILLI_RETRY: u128 = 1_000_000;

/// Budget that allows retries in proportion to first attempts.
///
/// Credit is counted in thousandths of a retry. The credit earned by first attempts and the
/// credit from the floor have separate caps, so that a pool with little traffic cannot
/// accumulate more than one second of the floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    earned_milli: u64,
    floor_milli: u64,
    floor_updated_at: Instant,
    window_end: Instant,
    window_earned_milli: u64,
    last_window_earned_milli: u64,
    violations: u64,
}

impl RetryBudget {
    /// Creates a budget with a credit of one second of the floor.
    #[must_use]
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let floor_milli = u64::from(settings.floor_per_second) * MILLI_PER_RETRY;
        let window_end = now + settings.window;
        Self {
            settings,
            earned_milli: 0,
            floor_milli,
            floor_updated_at: now,
            window_end,
            window_earned_milli: 0,
            last_window_earned_milli: 0,
            violations: 0,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        let milli = u64::from(self.settings.retries_per_thousand);
        self.earned_milli += milli;
        self.window_earned_milli += milli;
        self.cap_earned();
    }

    /// Takes one retry from the budget and returns whether the retry is allowed.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.earned_milli >= MILLI_PER_RETRY {
            self.earned_milli -= MILLI_PER_RETRY;
            return true;
        }
        let total_milli = self.earned_milli + self.floor_milli;
        if total_milli < MILLI_PER_RETRY {
            return false;
        }
        self.floor_milli = total_milli - MILLI_PER_RETRY;
        self.earned_milli = 0;
        true
    }

    /// Returns how often the earned credit exceeded its bound; 0 unless this type has a bug.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the number of retries that the current credit allows.
    #[must_use]
    pub const fn available(&self) -> u64 {
        (self.earned_milli + self.floor_milli) / MILLI_PER_RETRY
    }

    fn advance(&mut self, now: Instant) {
        self.earn_floor(now);
        if now < self.window_end {
            return;
        }
        let idle_for_a_window = now >= self.window_end + self.settings.window;
        self.last_window_earned_milli = if idle_for_a_window {
            0
        } else {
            self.window_earned_milli
        };
        self.window_earned_milli = 0;
        self.window_end = now + self.settings.window;
        self.earned_milli = self.earned_milli.min(self.last_window_earned_milli);
    }

    fn earn_floor(&mut self, now: Instant) {
        let cap = u64::from(self.settings.floor_per_second) * MILLI_PER_RETRY;
        let elapsed = now.saturating_duration_since(self.floor_updated_at);
        let rate = u128::from(self.settings.floor_per_second);
        let earned = elapsed.as_nanos() * rate / NANOS_PER_MILLI_RETRY;
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        if earned == 0 {
            return;
        }
        self.floor_milli = self.floor_milli.saturating_add(earned).min(cap);
        self.floor_updated_at = now;
    }

    /// Limits the earned credit to what the current and the previous window earned. Counts
    /// a violation if the credit was higher.
    const fn cap_earned(&mut self) {
        if self.earned_milli > self.last_window_earned_milli + self.window_earned_milli {
            self.earned_milli = self.last_window_earned_milli + self.window_earned_milli;
            self.violations += 1;
        }
    }
}
