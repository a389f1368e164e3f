//! Placement from lagging load reports, when no owner answers.

use std::time::Instant;

use bamboospur_types::{TargetId, WorkTokens};

use crate::load::{LIGHT, float};
use crate::mean::GroupLoad;
use crate::message::ReservationRequest;
use crate::placer::Placer;
use crate::request::PlacementRequest;
use crate::targets::Entry;

impl Placer {
    /// Sums the reported loads by data centre.
    pub(crate) fn sum_reports(&mut self, now: Instant) {
        self.reported.clear();
        for entry in self.targets.all().filter(|entry| entry.takes_work()) {
            let group = GroupLoad {
                load_tokens: float(entry.reported_tokens()),
                weight_tokens: entry.weight(self.settings.warm_up, now),
            };
            let sum = self.reported.entry(entry.view.data_centre).or_default();
            *sum = sum.plus(group);
        }
    }

    /// Returns the load of a target over its mean, as far as reports and own
    /// requests tell.
    pub(crate) fn estimate(&self, target: TargetId, now: Instant) -> f64 {
        let Some(entry) = self.targets.get(target) else {
            return f64::INFINITY;
        };
        let held = self.held.sum(target).work_tokens;
        let load = float(entry.reported_tokens().max(held));
        load / self.reported_mean(entry, now).max(1.0)
    }

    /// Returns the reported mean of a target's data centre, scaled to its weight.
    fn reported_mean(&self, entry: &Entry, now: Instant) -> f64 {
        let group = self.reported.get(&entry.view.data_centre);
        let group = group.copied().unwrap_or_default();
        let weight = entry.weight(self.settings.warm_up, now);
        weight * group.load_tokens / group.weight_tokens.max(1.0)
    }

    /// Chooses from reports: the first choice within the stricter bound, or the
    /// one with the lowest load.
    pub(crate) fn by_reports(
        &self,
        ask: &ReservationRequest,
        now: Instant,
    ) -> (Option<TargetId>, WorkTokens) {
        let work_tokens = WorkTokens::from(ask.work_tokens);
        let parts = &self.settings.features;
        let serves = |target: &TargetId| {
            let entry = self.targets.get(*target);
            entry.is_some_and(|e| e.serves(ask.offer)) && !ask.excluded.contains(target)
        };
        let mut choices: Vec<TargetId> = ask.at.into_iter().collect();
        choices.extend(&ask.choices);
        choices.retain(serves);
        let order =
            |a: &TargetId, b: &TargetId| self.estimate(*a, now).total_cmp(&self.estimate(*b, now));
        if parts.two_choices {
            choices.truncate(2);
            return (choices.into_iter().min_by(order), work_tokens);
        }
        if !parts.bounded {
            return (choices.first().copied(), work_tokens);
        }
        let fits = |target: &&TargetId| {
            let entry = self.targets.get(**target);
            let mean = entry.map_or(0.0, |entry| self.reported_mean(entry, now));
            let added = float(work_tokens) / mean.max(1.0);
            let level = self.estimate(**target, now);
            level + added <= self.settings.report_limit || level <= LIGHT
        };
        let first = choices.iter().find(fits).copied();
        (
            first.or_else(|| choices.into_iter().min_by(order)),
            work_tokens,
        )
    }

    /// Chooses between the own data centre and others; `None` when all are full.
    pub(crate) fn pick_data_centre(
        &self,
        request: &PlacementRequest<'_>,
        near: Vec<TargetId>,
        far: Vec<TargetId>,
        now: Instant,
    ) -> Option<Vec<TargetId>> {
        let counted = self.data_centre(now);
        let use_of = |target: Option<&TargetId>| {
            let entry = target.and_then(|target| self.targets.get(*target));
            let group = entry.and_then(|entry| self.reported.get(&entry.view.data_centre));
            group.map_or(0.0, |group| {
                group.load_tokens / group.weight_tokens.max(1.0)
            })
        };
        let near_use =
            use_of(near.first()).max(counted.load_tokens / counted.weight_tokens.max(1.0));
        let far_use = use_of(far.first());
        let refuse_at = match request.priority {
            0 => self.settings.refuse_at,
            // Lower priorities give way before the pool is full.
            _ => self.settings.refuse_at * 0.9,
        };
        let choose_far = near.is_empty()
            || (!far.is_empty() && near_use > self.settings.short_at && far_use < 0.9 * near_use);
        let (choices, load) = if choose_far {
            (far, far_use)
        } else {
            (near, near_use)
        };
        (load < refuse_at).then_some(choices)
    }
}
