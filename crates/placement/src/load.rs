//! Loads and bounds of this router's own targets.

use std::time::{Duration, Instant};

use bamboospur_types::{TargetId, WorkTokens};

use crate::held::HeldSum;
use crate::mean::GroupLoad;
use crate::placer::Placer;

/// Time after a change of owner in which the reported load also counts,
/// because some holders may not have declared yet.
const REBUILD_TIME: Duration = Duration::from_secs(1);

/// Load over mean up to which a target takes a request that leads it over the
/// bound: the mean plus one request is allowed, but crowds out returning chats.
pub const LIGHT: f64 = 0.75;

/// How strictly the bound is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// Up to `cold_limit`.
    Cold,
    /// Up to the bound less its headroom; a returning chat, whose work is small.
    Warm,
    /// Up to the bound less its headroom; large requests need a light target.
    Usual,
    /// Up to the bound itself, when nothing else is left.
    Last,
}

impl Placer {
    /// Returns the counted load of an own target.
    pub(crate) fn load(&self, target: TargetId) -> HeldSum {
        let others = self.counts.sum(target);
        let own = self.held.sum(target);
        HeldSum {
            work_tokens: others.work_tokens + own.work_tokens,
            requests: others.requests + own.requests,
        }
    }

    /// Returns load and weight of the own targets that take work.
    pub(crate) fn group(&self, now: Instant) -> GroupLoad {
        let mut group = GroupLoad::default();
        for target in self.targets.owned() {
            let Some(entry) = self.targets.get(*target) else {
                continue;
            };
            if entry.takes_work() {
                group = group.plus(GroupLoad {
                    load_tokens: float(self.load(*target).work_tokens),
                    weight_tokens: entry.weight(self.settings.warm_up, now),
                });
            }
        }
        group
    }

    /// Returns load and weight of the own data centre as far as known.
    pub(crate) fn data_centre(&self, now: Instant) -> GroupLoad {
        self.group(now).plus(self.summaries.total())
    }

    /// Returns the load of an own target for placement, with the mean of its
    /// data centre scaled to its weight, both after `work_tokens` are added.
    fn after(&self, target: TargetId, work_tokens: WorkTokens, now: Instant) -> Option<(f64, f64)> {
        let entry = self.targets.get(target)?;
        let total = self.data_centre(now);
        let mean = (total.load_tokens + float(work_tokens)) / total.weight_tokens.max(1.0);
        let mut load = float(self.load(target).work_tokens);
        if now.saturating_duration_since(entry.owned_since) < REBUILD_TIME {
            load = load.max(float(entry.reported_tokens()));
        }
        let weight = entry.weight(self.settings.warm_up, now);
        Some((load + float(work_tokens), mean * weight))
    }

    /// Returns load over mean of an own target after `work_tokens` are added.
    pub(crate) fn relative(&self, target: TargetId, work_tokens: WorkTokens, now: Instant) -> f64 {
        self.after(target, work_tokens, now)
            .map_or(f64::INFINITY, |(load, mean)| load / mean.max(1.0))
    }

    /// Returns whether an own target has room for `work_tokens`.
    ///
    /// The bound is a multiple of the mean, or the mean plus the request when
    /// that is larger.
    pub(crate) fn admits(
        &self,
        target: TargetId,
        work_tokens: WorkTokens,
        strictness: Strictness,
        now: Instant,
    ) -> bool {
        let Some((load, mean)) = self.after(target, work_tokens, now) else {
            return false;
        };
        let capacity = self.targets.get(target).map(|e| e.view.capacity_requests);
        if self.load(target).requests >= capacity.unwrap_or(0) {
            return false;
        }
        if !self.settings.features.bounded {
            return true;
        }
        let room = 1.0 - self.settings.headroom;
        let before = load - float(work_tokens);
        match strictness {
            Strictness::Cold => load <= self.settings.cold_limit * mean,
            Strictness::Warm => load <= self.settings.bound * room * mean || before <= mean,
            Strictness::Usual => {
                load <= self.settings.bound * room * mean || before <= LIGHT * mean
            }
            Strictness::Last => load <= self.settings.bound * mean || before <= mean,
        }
    }

    /// Checks a grant that was just counted.
    pub(crate) fn check_grant(&mut self, target: TargetId, work_tokens: WorkTokens, now: Instant) {
        let Some((load, mean)) = self.after(target, 0, now) else {
            self.violate("an unknown target was granted");
            return;
        };
        let limit = (self.settings.bound * mean).max(mean + float(work_tokens));
        // One token covers the rounding of the sums.
        if self.settings.features.bounded && load > limit + 1.0 {
            self.violate("a grant exceeded the load bound");
        }
    }
}

/// Converts a token count for the arithmetic of means.
#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
pub fn float(tokens: WorkTokens) -> f64 {
    tokens as f64
}
