//! `Retry-After` of refused requests.

use std::time::Duration;

use bamboospur_types::Rng;

/// Bounds of the `Retry-After` of refused requests.
#[derive(Clone, Debug)]
pub struct RetryAfterSettings {
    /// Mean delay at an offered load equal to the capacity.
    pub base: Duration,
    /// Upper bound of the mean delay; jitter can add half of the mean.
    pub cap: Duration,
}

impl Default for RetryAfterSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_secs(1),
            cap: Duration::from_secs(30),
        }
    }
}

/// Computes the delay that refused callers are asked to wait.
#[derive(Clone, Debug, Default)]
pub struct RetryAfterPolicy {
    settings: RetryAfterSettings,
}

impl RetryAfterPolicy {
    /// Creates a policy with the given bounds.
    #[must_use]
    pub const fn new(settings: RetryAfterSettings) -> Self {
        Self { settings }
    }

    /// Returns the delay at an offered load of `offered_percent` of capacity.
    ///
    /// The mean grows with the square of the offered load. The jitter is half the mean in
    /// both directions, so that refused callers do not return together.
    pub fn retry_after(&self, offered_percent: u32, rng: &mut Rng) -> Duration {
        let ratio = u64::from(offered_percent.max(100));
        let factor = u32::try_from(ratio * ratio / 10_000).unwrap_or(u32::MAX);
        let mean = self
            .settings
            .base
            .saturating_mul(factor)
            .min(self.settings.cap);
        mean / 2 + rng.duration_up_to(mean)
    }
}
