//! Exponential backoff with full jitter.

use std::time::Duration;

use bamboospur_types::Rng;

/// Bounds of a backoff.
#[derive(Clone, Debug)]
pub struct BackoffSettings {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            cap: Duration::from_secs(5),
        }
    }
}

/// Computes the delay before a retry.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    settings: BackoffSettings,
}

impl Backoff {
    /// Creates a backoff with the given bounds.
    #[must_use]
    pub const fn new(settings: BackoffSettings) -> Self {
        Self { settings }
    }

    /// Returns the delay before retry number `attempt`, counted from 0: uniform between 0
    /// and `base * 2^attempt`, or `cap` if that is less.
    pub fn next(&self, attempt: u32, rng: &mut Rng) -> Duration {
        rng.duration_up_to(self.max_delay(attempt))
    }

    /// Returns the delay when the target sent a `Retry-After`: at least `retry_after`, with
    /// the jitter of [`Self::next`] added so that retries of many callers are spread.
    pub fn next_after(&self, attempt: u32, retry_after: Duration, rng: &mut Rng) -> Duration {
        retry_after.saturating_add(self.next(attempt, rng))
    }

    fn max_delay(&self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
        self.settings
            .base
            .saturating_mul(factor)
            .min(self.settings.cap)
    }
}
