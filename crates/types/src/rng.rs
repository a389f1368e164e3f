//! Seeded random numbers.

use std::time::Duration;

use crate::id::mix64;

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Creates a generator; equal seeds give equal sequences.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns 64 random bits.
    pub const fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix64(self.state)
    }

    /// Returns a number below `bound`, or 0 when `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(bound);
        u64::try_from(wide >> 64).unwrap_or(0)
    }

    /// Returns a duration in `0..=limit`, in whole microseconds.
    pub fn duration_up_to(&mut self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX - 1);
        Duration::from_micros(self.below(micros.saturating_add(1)))
    }

    /// Returns an index below `length`, or 0 when `length` is 0.
    pub fn index(&mut self, length: usize) -> usize {
        let bound = u64::try_from(length).unwrap_or(u64::MAX);
        usize::try_from(self.below(bound)).unwrap_or(0)
    }
}
