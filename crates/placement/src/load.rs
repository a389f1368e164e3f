//! Counted loads of the targets that this router owns, and the load bound.

use std::time::{Duration, Instant};

use bamboospur_types::{TargetId, WorkTokens};

use crate::held::TargetLoad;
use crate::mean::GroupLoad;
use crate::placer::Placer;

/// Time after a change of owner in which the reported load is taken if it exceeds
/// the counted one, because some holders may not have declared to the new owner.
const REBUILD_TIME: Duration = Duration::from_secs(1);

/// Ratio of load to mean up to which a target accepts a request that exceeds the
/// bound. The bound allows the mean plus one request, but granting that up to the
/// mean would leave no room for returning chats.
pub const LIGHT_LOAD_RATIO: f64 = 0.75;

/// Load limit that a grant is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// Up to `cold_limit`; for requests without a cached prefix.
    Cold,
    /// Up to the bound less its headroom, or any request on a target whose load
    /// is at most the mean; for returning chats, whose work is small.
    Warm,
    /// Up to the bound less its headroom, or any request on a target whose load
    /// is at most `LIGHT_LOAD_RATIO` of the mean.
    Usual,
    /// Up to the full bound, or any request on a target whose load is at most the
    /// mean; for the last round.
    Last,
}

impl Placer {
    /// Returns the counted load of an own target, over all routers.
    pub(crate) fn counted_load(&self, target: TargetId) -> TargetLoad {
        let others = self.counts.sum(target);
        let own = self.held.sum(target);
        TargetLoad {
            work_tokens: others.work_tokens + own.work_tokens,
            requests: others.requests + own.requests,
        }
    }

    /// Returns the load and weight of the own targets that take work.
    pub(crate) fn owned_load(&self, now: Instant) -> GroupLoad {
        let mut group = GroupLoad::default();
        for target in self.targets.owned() {
            let Some(entry) = self.targets.get(*target) else {
                continue;
            };
            if entry.takes_work() {
                group = group.plus(GroupLoad {
                    load_tokens: tokens_as_f64(self.counted_load(*target).work_tokens),
                    weight_tokens: entry.weight(self.settings.warm_up, now),
                });
            }
        }
        group
    }

    /// Returns the load and weight of the own data centre, from the own counts and
    /// the summaries of the peers.
    pub(crate) fn data_centre_load(&self, now: Instant) -> GroupLoad {
        self.owned_load(now).plus(self.summaries.total())
    }

    /// Returns the load of an own target and the mean load of its data centre scaled
    /// to the weight of the target, both after `work_tokens` are added.
    fn load_and_mean_after(
        &self,
        target: TargetId,
        work_tokens: WorkTokens,
        now: Instant,
    ) -> Option<(f64, f64)> {
        let entry = self.targets.get(target)?;
        let total = self.data_centre_load(now);
        let mean = (total.load_tokens + tokens_as_f64(work_tokens)) / total.weight_tokens.max(1.0);
        let mut load = tokens_as_f64(self.counted_load(target).work_tokens);
        if now.saturating_duration_since(entry.owned_since) < REBUILD_TIME {
            load = load.max(tokens_as_f64(entry.reported_tokens()));
        }
        let weight = entry.weight(self.settings.warm_up, now);
        Some((load + tokens_as_f64(work_tokens), mean * weight))
    }

    /// Returns the ratio of load to mean of an own target after `work_tokens` are
    /// added.
    pub(crate) fn load_ratio_after(
        &self,
        target: TargetId,
        work_tokens: WorkTokens,
        now: Instant,
    ) -> f64 {
        self.load_and_mean_after(target, work_tokens, now)
            .map_or(f64::INFINITY, |(load, mean)| load / mean.max(1.0))
    }

    /// Returns whether an own target has room for `work_tokens`.
    ///
    /// The load bound is a multiple of the mean, or the mean plus the request if
    /// that is larger. `strictness` selects the limit within the bound.
    pub(crate) fn admits(
        &self,
        target: TargetId,
        work_tokens: WorkTokens,
        strictness: Strictness,
        now: Instant,
    ) -> bool {
        let Some((load, mean)) = self.load_and_mean_after(target, work_tokens, now) else {
            return false;
        };
        let capacity = self.targets.get(target).map(|e| e.view.capacity_requests);
        if self.counted_load(target).requests >= capacity.unwrap_or(0) {
            return false;
        }
        if !self.settings.features.bounded {
            return true;
        }
        let usable_ratio = 1.0 - self.settings.headroom;
        let before = load - tokens_as_f64(work_tokens);
        match strictness {
            Strictness::Cold => load <= self.settings.cold_limit * mean,
            Strictness::Warm => load <= self.settings.bound * usable_ratio * mean || before <= mean,
            Strictness::Usual => {
                load <= self.settings.bound * usable_ratio * mean
                    || before <= LIGHT_LOAD_RATIO * mean
            }
            Strictness::Last => load <= self.settings.bound * mean || before <= mean,
        }
    }

    /// Checks that a grant just counted leaves the target within the load bound.
    pub(crate) fn check_grant(&mut self, target: TargetId, work_tokens: WorkTokens, now: Instant) {
        let Some((load, mean)) = self.load_and_mean_after(target, 0, now) else {
            self.record_violation("an unknown target was granted");
            return;
        };
        let limit = (self.settings.bound * mean).max(mean + tokens_as_f64(work_tokens));
        // The added token allows for the rounding of the sums.
        if self.settings.features.bounded && load > limit + 1.0 {
            self.record_violation("a grant exceeded the load bound");
        }
    }
}

/// Converts a token count to `f64` for computing means.
#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
pub fn tokens_as_f64(tokens: WorkTokens) -> f64 {
    tokens as f64
}
