//! Seeded random numbers for election time-outs.

use std::time::Duration;

use bamboospur_types::mix64;

/// Increment of `SplitMix64`: 2^64 divided by the golden ratio.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    pub const fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix64(self.state)
    }

    /// Returns a duration from `low` up to `high`, exclusive, in whole
    /// microseconds above `low`.
    pub fn duration_between(&mut self, low: Duration, high: Duration) -> Duration {
        let span = high.saturating_sub(low).as_micros();
        let span = u64::try_from(span).unwrap_or(u64::MAX);
        if span == 0 {
            return low;
        }
        low + Duration::from_micros(self.next() % span)
    }
}
