//! Retry budget of one pool on one router.

use std::time::{Duration, Instant};

/// Limits of a retry budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries allowed for each 1,000 fresh requests.
    pub retries_per_thousand: u32,
    /// Retries a second that are allowed whatever the fresh traffic.
    pub floor_per_second: u32,
    /// Longest time over which unused retries add up.
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

const MILLI: u64 = 1_000;
const NANOS_PER_MILLI_TOKEN: u128 = 1_000_000;

/// Budget that earns retries from fresh traffic.
///
/// Credit is kept in thousandths of a retry. The part that fresh traffic earned
/// and the part from the floor have separate caps, so a quiet pool never saves
/// up more than one window of the floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    earned_milli: u64,
    floor_milli: u64,
    floor_at: Instant,
    window_end: Instant,
    window_earned_milli: u64,
    last_window_milli: u64,
    violations: u64,
}

impl RetryBudget {
    /// Creates a budget with one second of its floor.
    #[must_use]
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let floor_milli = u64::from(settings.floor_per_second) * MILLI;
        let window_end = now + settings.window;
        Self {
            settings,
            earned_milli: 0,
            floor_milli,
            floor_at: now,
            window_end,
            window_earned_milli: 0,
            last_window_milli: 0,
            violations: 0,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        let milli = u64::from(self.settings.retries_per_thousand);
        self.earned_milli += milli;
        self.window_earned_milli += milli;
        self.check();
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.earned_milli >= MILLI {
            self.earned_milli -= MILLI;
            return true;
        }
        let both = self.earned_milli + self.floor_milli;
        if both < MILLI {
            return false;
        }
        self.floor_milli = both - MILLI;
        self.earned_milli = 0;
        true
    }

    /// Returns how often an internal bound was found broken; 0 is expected.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the retries that could be made at once.
    #[must_use]
    pub const fn available(&self) -> u64 {
        (self.earned_milli + self.floor_milli) / MILLI
    }

    fn advance(&mut self, now: Instant) {
        self.earn_floor(now);
        if now < self.window_end {
            return;
        }
        let idle_for_a_window = now >= self.window_end + self.settings.window;
        self.last_window_milli = if idle_for_a_window {
            0
        } else {
            self.window_earned_milli
        };
        self.window_earned_milli = 0;
        self.window_end = now + self.settings.window;
        self.earned_milli = self.earned_milli.min(self.last_window_milli);
    }

    fn earn_floor(&mut self, now: Instant) {
        let cap = u64::from(self.settings.floor_per_second) * MILLI;
        let elapsed = now.saturating_duration_since(self.floor_at);
        let rate = u128::from(self.settings.floor_per_second);
        let earned = elapsed.as_nanos() * rate / NANOS_PER_MILLI_TOKEN;
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        if earned == 0 {
            return;
        }
        self.floor_milli = self.floor_milli.saturating_add(earned).min(cap);
        self.floor_at = now;
    }

    const fn check(&mut self) {
        if self.earned_milli > self.last_window_milli + self.window_earned_milli {
            self.earned_milli = self.last_window_milli + self.window_earned_milli;
            self.violations += 1;
        }
    }
}
