//! The `Retry-After` of refusals.

use std::time::Duration;

use bamboospur_types::Rng;

/// Limits of the `Retry-After` of refusals.
#[derive(Clone, Debug)]
pub struct RefusalSettings {
    /// Mean pause just above full load.
    pub base: Duration,
    /// Longest pause before jitter.
    pub cap: Duration,
}

impl Default for RefusalSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_secs(1),
            cap: Duration::from_secs(30),
        }
    }
}

/// Computes the pause that refused callers are asked for.
#[derive(Clone, Debug, Default)]
pub struct Refusal {
    settings: RefusalSettings,
}

impl Refusal {
    /// Creates a refusal policy.
    #[must_use]
    pub const fn new(settings: RefusalSettings) -> Self {
        Self { settings }
    }

    /// Returns the pause at an offered load of `offered_percent` of capacity.
    ///
    /// The mean grows with the square of the overload, and the jitter is half
    /// the mean in both directions, so refused callers do not return together.
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
