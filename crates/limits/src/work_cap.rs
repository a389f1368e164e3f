//! Common cap on the work of any one team while the data centre is overloaded.
//!
//! Every owner derives the cap from the same load, so no messages are needed.
//! Lowering a common cap until the load fits is max-min fair: only the teams
//! with the most work are limited, all to the same amount.

use std::time::{Duration, Instant};

use crate::amount::TeamShare;

/// Minimum time between changes of the cap; load reports lag by 1 s to 3 s.
const CAP_INTERVAL: Duration = Duration::from_secs(1);
/// Load above which the cap is lowered.
const LOWER_ABOVE_PERCENT: u32 = 100;
/// Load below which the cap is raised.
const RAISE_BELOW_PERCENT: u32 = 90;
/// Size of a lowered cap relative to the former one.
const LOWERED_CAP_PERCENT: u64 = 85;
/// Size of a raised cap relative to the former one.
const RAISED_CAP_PERCENT: u64 = 105;
/// Lower bound of the cap: the work of one large request.
const MIN_CAP_TOKENS: u64 = 32 * 1024;

#[derive(Clone, Debug, Default)]
pub(crate) struct WorkCap {
    cap: Option<u64>,
    changed_at: Option<Instant>,
}

impl WorkCap {
    pub(crate) fn set_load(&mut self, load_percent: u32, largest_share: u64, now: Instant) {
        let too_early = self
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CAP_INTERVAL);
        if too_early {
            return;
        }
        let cap = self.cap.unwrap_or(largest_share);
        if load_percent > LOWER_ABOVE_PERCENT {
            let lower = u128::from(cap) * u128::from(LOWERED_CAP_PERCENT) / 100;
            self.cap = Some(u64::try_from(lower).unwrap_or(u64::MAX).max(MIN_CAP_TOKENS));
        } else if load_percent < RAISE_BELOW_PERCENT && self.cap.is_some() {
            let higher = u128::from(cap) * u128::from(RAISED_CAP_PERCENT) / 100;
            let higher = u64::try_from(higher).unwrap_or(u64::MAX);
            self.cap = (higher < largest_share).then_some(higher);
        } else {
            return;
        }
        self.changed_at = Some(now);
    }

    pub(crate) fn apply(&self, share: &TeamShare) -> TeamShare {
        TeamShare {
            work: share.work.min(self.cap.unwrap_or(u64::MAX)),
            ..*share
        }
    }

    pub(crate) const fn cap(&self) -> Option<u64> {
        self.cap
    }
}
