//! Values of the four quantities that a share limits.

use bamboospur_types::WorkTokens;

/// One value for each limited quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Requests in flight.
    pub requests: u64,
    /// Work in flight, in tokens.
    pub work: WorkTokens,
    /// Requests started in a minute.
    pub requests_per_minute: u64,
    /// Work started in a minute, in tokens.
    pub work_per_minute: WorkTokens,
}

/// A team's share in one data centre: its fleet share times the data centre's
/// part of the fleet's capacity.
pub type TeamShare = Amount;

impl Amount {
    /// Amount that imposes no limit.
    pub const UNLIMITED: Self = Self {
        requests: u64::MAX,
        work: u64::MAX,
        requests_per_minute: u64::MAX,
        work_per_minute: u64::MAX,
    };

    /// Scales a fleet share to a data centre with `own` of the fleet's `total`
    /// capacity. Each quantity is at least 1; unlimited quantities stay unlimited.
    /// A `total` of 0 leaves the share unchanged.
    #[must_use]
    pub fn scaled(&self, own: u64, total: u64) -> Self {
        let scale = |value: u64| {
            if value == u64::MAX || total == 0 {
                return value;
            }
            let scaled = u128::from(value) * u128::from(own) / u128::from(total);
            u64::try_from(scaled).unwrap_or(u64::MAX).max(1)
        };
        self.map(scale)
    }

    /// Applies a function to each quantity.
    #[must_use]
    pub fn map(&self, f: impl Fn(u64) -> u64) -> Self {
        Self {
            requests: f(self.requests),
            work: f(self.work),
            requests_per_minute: f(self.requests_per_minute),
            work_per_minute: f(self.work_per_minute),
        }
    }

    /// Applies a function to each pair of corresponding quantities.
    #[must_use]
    pub fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            work: f(self.work, other.work),
            requests_per_minute: f(self.requests_per_minute, other.requests_per_minute),
            work_per_minute: f(self.work_per_minute, other.work_per_minute),
        }
    }

    /// Returns whether no quantity exceeds the one of `other`.
    #[must_use]
    pub const fn fits_within(&self, other: &Self) -> bool {
        self.requests <= other.requests
            && self.work <= other.work
            && self.requests_per_minute <= other.requests_per_minute
            && self.work_per_minute <= other.work_per_minute
    }

    /// Returns the smaller value of each quantity.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger value of each quantity.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Adds each quantity, saturating at `u64::MAX`.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts each quantity, saturating at 0.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns a percentage of each quantity, rounded down.
    #[must_use]
    pub fn percent(&self, percent: u64) -> Self {
        self.map(|value| {
            let scaled = u128::from(value) * u128::from(percent) / 100;
            u64::try_from(scaled).unwrap_or(u64::MAX)
        })
    }

    /// Returns whether every quantity is 0.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}
