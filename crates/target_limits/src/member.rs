//! What a router knows of limits, and what it may send.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, RequestRate, Rng};

use crate::message::{LimitShare, StatedLimit, TargetStartId};

/// Bounds of a router's knowledge.
#[derive(Clone, Copy, Debug)]
pub struct TargetLimitsSettings {
    /// Time after which an unchanged limit is reported again.
    pub report_interval: Duration,
    /// Time after which a share that no hub repeats is replaced by an equal part.
    pub share_lifetime: Duration,
    /// Time after which a limit is forgotten that neither a target nor a hub has stated again.
    pub retention: Duration,
    /// Time between two requests of all routers together that show whether the limit still
    /// holds, as far as it allows them.
    pub check_interval: Duration,
    /// Least rate at which all routers together send to a target, so that they notice the end
    /// of its limit.
    pub min_rate: RequestRate,
    /// Most limits that are remembered.
    pub max_limits: usize,
}

impl Default for TargetLimitsSettings {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_secs(5),
            share_lifetime: Duration::from_mins(1),
            retention: Duration::from_mins(5),
            check_interval: Duration::from_secs(2),
            min_rate: RequestRate::from_milli_per_s(350),
            max_limits: 4_096,
        }
    }
}

/// A part of a limit that this router may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// One of as many equal parts.
    OneOf(u32),
    /// None: other routers divide the limit.
    Nothing,
}

/// A limit, and the part of this router.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RequestRate,
    known_since: Instant,
    /// When an answer or a hub last stated the limit.
    stated_at: Instant,
    reported_at: Option<Instant>,
    part: Part,
    /// When the part that a hub named is replaced by an equal one.
    part_ends_at: Option<Instant>,
    /// Earliest time of the next request.
    next_at: Instant,
    /// When this router last sent a request to the target.
    sent_at: Option<Instant>,
}

/// Limits that a router keeps.
#[derive(Clone, Debug)]
pub struct TargetLimits {
    settings: TargetLimitsSettings,
    router_count: u32,
    limits: BTreeMap<TargetStartId, Limit>,
    unreported: BTreeMap<TargetStartId, Option<RequestRate>>,
    rng: Rng,
}

impl TargetLimits {
    /// Creates the state of a router that knows of no limit.
    #[must_use]
    pub fn new(settings: TargetLimitsSettings, seed: u64) -> Self {
        Self {
            settings,
            router_count: 1,
            limits: BTreeMap::new(),
            unreported: BTreeMap::new(),
            rng: Rng::new(seed),
        }
    }

    /// Sets the number of routers that send to the same targets, this one included.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
    }

    /// Records the limit that a target stated in its answer to a request, or that it stated
    /// none.
    pub fn record_answer(
        &mut self,
        target: TargetStartId,
        limit: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) {
        let known = self.limits.get_mut(&target);
        match (known, limit) {
            (None, None) => {}
            // An answer to an older request can be older than the limit.
            (Some(known), None) if sent_at < known.stated_at => {}
            (Some(_), None) => {
                self.limits.remove(&target);
                self.unreported.insert(target, None);
            }
            (Some(known), Some(rate)) => {
                known.stated_at = now;
                let is_new = known.rate != rate;
                let interval = self.settings.report_interval;
                if is_new || known.reported_at.is_none_or(|at| now >= at + interval) {
                    known.reported_at = Some(now);
                    self.unreported.insert(target, Some(rate));
                }
                if is_new {
                    let part = known.part;
                    self.set(target, rate, part, now);
                }
            }
            (None, Some(rate)) => {
                self.set(target, rate, Part::OneOf(self.router_count), now);
                if let Some(limit) = self.limits.get_mut(&target) {
                    limit.reported_at = Some(now);
                }
                self.unreported.insert(target, Some(rate));
            }
        }
    }

    /// Removes and returns what is to be reported to a hub.
    pub fn take_reports(&mut self) -> Vec<StatedLimit> {
        let unreported = std::mem::take(&mut self.unreported);
        let reports = unreported.into_iter();
        reports
            .map(|(target, limit)| StatedLimit { target, limit })
            .collect()
    }

    /// Puts back reports that could not be sent, unless there are newer ones.
    pub fn put_back_reports(&mut self, reports: Vec<StatedLimit>) {
        for report in reports {
            let newer = self.unreported.entry(report.target);
            newer.or_insert(report.limit);
        }
    }

    /// Applies the share that a hub named to the router with the id `own_id`.
    pub fn apply(&mut self, share: &LimitShare, own_id: InstanceId, now: Instant) {
        let Some(rate) = share.limit else {
            self.limits.remove(&share.target);
            return;
        };
        // A router that passes on what it knows does not name the holders.
        let names_no_holders = share.holders.is_empty();
        let known = self.limits.get(&share.target);
        if names_no_holders && known.is_some_and(|known| known.rate == rate) {
            return;
        }
        let part = if names_no_holders {
            Part::OneOf(self.router_count)
        } else if share.holders.contains(&own_id) {
            Part::OneOf(u32::try_from(share.holders.len()).unwrap_or(u32::MAX))
        } else {
            Part::Nothing
        };
        self.set(share.target, rate, part, now);
        if let Some(limit) = self.limits.get_mut(&share.target) {
            limit.part_ends_at = Some(now + self.settings.share_lifetime);
        }
    }

    /// Returns the known limits with unknown holders, for a router that has just started.
    #[must_use]
    pub fn shares(&self) -> Vec<LimitShare> {
        let limits = self.limits.iter();
        let share = |(&target, limit): (&TargetStartId, &Limit)| LimitShare {
            target,
            limit: Some(limit.rate),
            holders: Vec::new(),
        };
        limits.map(share).collect()
    }

    /// Returns when a request may be sent to a target next; `None` if that is now.
    #[must_use]
    pub fn available_at(&self, target: TargetStartId, now: Instant) -> Option<Instant> {
        let limit = self.limits.get(&target)?;
        match limit.part {
            Part::OneOf(_) => (now < limit.next_at).then_some(limit.next_at),
            // One of the holders can send about then.
            Part::Nothing => Some(now + self.interval(limit.rate, 1)),
        }
    }

    /// Whether a target has stated a limit.
    #[must_use]
    pub fn is_limited(&self, target: TargetStartId) -> bool {
        self.limits.contains_key(&target)
    }

    /// Whether this router is to send a request to a limited target, if it may, so that the
    /// routers together notice the end of the limit.
    #[must_use]
    pub fn is_check_due(&self, target: TargetStartId, now: Instant) -> bool {
        self.limits.get(&target).is_some_and(|limit| {
            let Part::OneOf(parts) = limit.part else {
                return false;
            };
            let since = limit.sent_at.unwrap_or(limit.known_since);
            now >= since + self.settings.check_interval * parts
        })
    }

    /// Records that a request is sent to a target.
    pub fn record_request(&mut self, target: TargetStartId, now: Instant) {
        let Some(limit) = self.limits.get(&target).copied() else {
            return;
        };
        if let Part::OneOf(parts) = limit.part {
            let next_at = now + self.interval(limit.rate, parts);
            if let Some(limit) = self.limits.get_mut(&target) {
                limit.next_at = next_at;
                limit.sent_at = Some(now);
            }
        }
    }

    /// Replaces shares that no hub has repeated, and forgets old limits.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.settings.retention;
        self.limits
            .retain(|_, limit| now < limit.stated_at + retention);
        let ended = self.limits.iter().filter(|(_, limit)| {
            let ends_at = limit.part_ends_at;
            ends_at.is_some_and(|at| now >= at)
        });
        let ended: Vec<(TargetStartId, RequestRate)> =
            ended.map(|(&target, limit)| (target, limit.rate)).collect();
        for (target, rate) in ended {
            let stated_at = self.limits.get(&target).map(|limit| limit.stated_at);
            self.set(target, rate, Part::OneOf(self.router_count), now);
            if let (Some(limit), Some(stated_at)) = (self.limits.get_mut(&target), stated_at) {
                limit.stated_at = stated_at;
                limit.part_ends_at = None;
            }
        }
    }

    /// Whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of known limits.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Sets a limit and the part of this router. The routers that divide a limit send at
    /// random times, so that they do not all send at once.
    fn set(&mut self, target: TargetStartId, rate: RequestRate, part: Part, now: Instant) {
        let before = self.limits.get(&target).copied();
        if before.is_none() && self.limits.len() >= self.settings.max_limits {
            return;
        }
        let sent_at = before.and_then(|before| before.sent_at);
        let unchanged = before.filter(|before| before.part == part && before.rate == rate);
        let next_at = match (unchanged, part) {
            (Some(unchanged), _) => unchanged.next_at,
            (None, Part::Nothing) => now,
            (None, Part::OneOf(parts)) => {
                let interval = self.interval(rate, parts);
                let earliest = sent_at.map_or(now, |at| at + interval);
                earliest.max(now + self.rng.duration_up_to(interval))
            }
        };
        let limit = Limit {
            rate,
            known_since: before.map_or(now, |before| before.known_since),
            stated_at: now,
            reported_at: before.and_then(|before| before.reported_at),
            part,
            part_ends_at: before.and_then(|before| before.part_ends_at),
            next_at,
            sent_at,
        };
        self.limits.insert(target, limit);
    }

    fn interval(&self, rate: RequestRate, parts: u32) -> Duration {
        let rate = rate.max(self.settings.min_rate);
        let interval = rate.interval(parts);
        interval.unwrap_or(self.settings.retention)
    }
}
