//! Choice of the routers that divide a limit.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, RequestRate, mix64};

use crate::message::{LimitShare, StatedLimit, TargetStartId};

/// Bounds of a hub.
#[derive(Clone, Copy, Debug)]
pub struct LimitHubSettings {
    /// Part of a limit for which there is a holder, in thousandths of a request per second.
    pub milli_per_s_per_holder: u32,
    /// Holders besides, so that a small limit is also used when one of them has few requests.
    pub further_holders: usize,
    /// Most routers that divide a limit.
    pub max_holders: usize,
    /// Time after which unchanged shares are sent again, for routers that missed them.
    pub refresh_interval: Duration,
    /// Time after which a limit is forgotten that no target has stated again.
    pub retention: Duration,
    /// Most limits that are remembered.
    pub max_limits: usize,
}

impl Default for LimitHubSettings {
    fn default() -> Self {
        Self {
            milli_per_s_per_holder: 500,
            further_holders: 2,
            max_holders: 16,
            refresh_interval: Duration::from_secs(10),
            retention: Duration::from_mins(5),
            max_limits: 4_096,
        }
    }
}

/// A limit as it was last stated.
#[derive(Clone, Debug)]
struct Limit {
    rate: RequestRate,
    stated_at: Instant,
    holders: Vec<InstanceId>,
    /// When the share was last sent to routers by this hub.
    sent_at: Option<Instant>,
}

/// Names the routers that divide each limit.
#[derive(Clone, Debug)]
pub struct LimitHub {
    settings: LimitHubSettings,
    limits: BTreeMap<TargetStartId, Limit>,
}

impl LimitHub {
    /// Creates a hub that knows of no limit.
    #[must_use]
    pub const fn new(settings: LimitHubSettings) -> Self {
        Self {
            settings,
            limits: BTreeMap::new(),
        }
    }

    /// Records what targets stated to a router. Returns the shares to send to all routers;
    /// `routers` are those that can be holders.
    pub fn handle(
        &mut self,
        stated: &[StatedLimit],
        routers: &[InstanceId],
        now: Instant,
    ) -> Vec<LimitShare> {
        let shares = stated.iter().filter_map(|statement| {
            let before = self.limits.get(&statement.target);
            let before = before.map(|limit| (limit.rate, limit.sent_at));
            if !self.record(statement, now) {
                // Also routers of which this hub has not heard may know of the limit.
                return Some(LimitShare {
                    target: statement.target,
                    limit: None,
                    holders: Vec::new(),
                });
            }
            let limit = self.limits.get_mut(&statement.target)?;
            let holders = holders(statement.target, limit.rate, routers, &self.settings);
            let same = before.is_some_and(|(rate, _)| rate == limit.rate);
            let is_recent = before
                .and_then(|(_, sent_at)| sent_at)
                .is_some_and(|at| now < at + self.settings.refresh_interval);
            if same && holders == limit.holders && is_recent {
                return None;
            }
            limit.holders = holders;
            limit.sent_at = Some(now);
            Some(share(statement.target, limit))
        });
        shares.collect()
    }

    /// Records what targets stated to a router of another hub, which tells the routers.
    pub fn record_peer(&mut self, stated: &[StatedLimit], routers: &[InstanceId], now: Instant) {
        for statement in stated {
            if self.record(statement, now)
                && let Some(limit) = self.limits.get_mut(&statement.target)
            {
                limit.holders = holders(statement.target, limit.rate, routers, &self.settings);
            }
        }
    }

    /// Replaces holders that are gone. Returns the shares to send to all routers.
    pub fn replace_holders(&mut self, routers: &[InstanceId], now: Instant) -> Vec<LimitShare> {
        let settings = self.settings;
        let changed = self.limits.iter_mut().filter_map(|(&target, limit)| {
            let wanted = holders(target, limit.rate, routers, &settings);
            let is_gone = |holder: &InstanceId| !routers.contains(holder);
            if routers.is_empty() || !limit.holders.iter().any(is_gone) || wanted == limit.holders {
                return None;
            }
            limit.holders = wanted;
            limit.sent_at = Some(now);
            Some(share(target, limit))
        });
        changed.collect()
    }

    /// Returns the shares of all limits, for a router that may have missed them.
    #[must_use]
    pub fn shares(&self) -> Vec<LimitShare> {
        let limits = self.limits.iter();
        limits
            .map(|(&target, limit)| share(target, limit))
            .collect()
    }

    /// Forgets limits that have not been stated for long.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.settings.retention;
        self.limits
            .retain(|_, limit| now < limit.stated_at + retention);
    }

    /// Returns the number of known limits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records a statement; returns whether the target has a limit.
    fn record(&mut self, statement: &StatedLimit, now: Instant) -> bool {
        let Some(rate) = statement.limit else {
            self.limits.remove(&statement.target);
            return false;
        };
        let is_full = self.limits.len() >= self.settings.max_limits;
        if is_full && !self.limits.contains_key(&statement.target) {
            // Routers keep to equal parts of it.
            return true;
        }
        let limit = self.limits.entry(statement.target).or_insert(Limit {
            rate,
            stated_at: now,
            holders: Vec::new(),
            sent_at: None,
        });
        limit.rate = rate;
        limit.stated_at = now;
        true
    }
}

fn share(target: TargetStartId, limit: &Limit) -> LimitShare {
    LimitShare {
        target,
        limit: Some(limit.rate),
        holders: limit.holders.clone(),
    }
}

/// Returns the routers that divide the limit of a target, by rendezvous hashing, so that the
/// loss of a router changes few shares.
fn holders(
    target: TargetStartId,
    rate: RequestRate,
    routers: &[InstanceId],
    settings: &LimitHubSettings,
) -> Vec<InstanceId> {
    let wanted = rate
        .milli_per_s()
        .div_ceil(settings.milli_per_s_per_holder.max(1));
    let wanted = usize::try_from(wanted).unwrap_or(usize::MAX);
    let wanted = wanted.saturating_add(settings.further_holders);
    let mut ranked: Vec<InstanceId> = routers.to_vec();
    ranked.sort_by_key(|&router| (Reverse(mix64(target ^ mix64(router))), router));
    ranked.truncate(wanted.clamp(1, settings.max_holders));
    ranked
}
