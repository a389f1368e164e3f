//! Amounts of the four limited quantities.

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
    /// An amount that never limits.
    pub const UNLIMITED: Self = Self {
        requests: u64::MAX,
        work: u64::MAX,
        requests_per_minute: u64::MAX,
        work_per_minute: u64::MAX,
    };

    /// Returns the part of a fleet share that belongs to a data centre with
    /// `own` of the fleet's `total` capacity; at least 1 of each quantity.
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

    /// Returns the amount with a function applied to each quantity.
    #[must_use]
    pub fn map(&self, f: impl Fn(u64) -> u64) -> Self {
        Self {
            requests: f(self.requests),
            work: f(self.work),
            requests_per_minute: f(self.requests_per_minute),
            work_per_minute: f(self.work_per_minute),
        }
    }

    /// Returns the amount with a function applied to each pair of quantities.
    #[must_use]
    pub fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            work: f(self.work, other.work),
            requests_per_minute: f(self.requests_per_minute, other.requests_per_minute),
            work_per_minute: f(self.work_per_minute, other.work_per_minute),
        }
    }

    /// Returns whether every quantity is at most the other's.
    #[must_use]
    pub const fn fits_within(&self, other: &Self) -> bool {
        self.requests <= other.requests
            && self.work <= other.work
            && self.requests_per_minute <= other.requests_per_minute
            && self.work_per_minute <= other.work_per_minute
    }

    /// Returns the smaller of each pair.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the larger of each pair.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the sum, at most the largest number.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference, at least 0.
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
