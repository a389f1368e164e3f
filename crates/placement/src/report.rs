//! Placement from load reports, which lag behind the actual load.
//!
//! The placer uses the reports to place requests without reservations or when no owner
//! answers, and to choose the data centre.

use std::time::Instant;

use bamboospur_types::{TargetId, WorkTokens};

use crate::load::{LIGHT_LOAD_RATIO, tokens_as_f64};
use crate::mean::GroupLoad;
use crate::message::ReservationRequest;
use crate::placer::Placer;
use crate::request::PlacementRequest;
use crate::targets::TargetEntry;

impl Placer {
    /// Sums the reported loads by data centre.
    pub(crate) fn sum_reports(&mut self, now: Instant) {
        self.reported_loads.clear();
        for entry in self.targets.entries().filter(|entry| entry.takes_work()) {
            let group = GroupLoad {
                load_tokens: tokens_as_f64(entry.reported_tokens()),
                weight_tokens: entry.weight(self.settings.warm_up, now),
            };
            let sum = self
                .reported_loads
                .entry(entry.view.data_centre)
                .or_default();
            *sum = sum.plus(group);
        }
    }

    /// Returns the ratio of load to mean of a target, estimated from its report and
    /// the requests that this router holds on it; infinite for an unknown target.
    pub(crate) fn estimated_load_ratio(&self, target: TargetId, now: Instant) -> f64 {
        let Some(entry) = self.targets.get(target) else {
            return f64::INFINITY;
        };
        let held = self.held.sum(target).work_tokens;
        let load = tokens_as_f64(entry.reported_tokens().max(held));
        load / self.reported_mean(entry, now).max(1.0)
    }

    /// Returns the reported mean of a target's data centre, scaled to its weight.
    fn reported_mean(&self, entry: &TargetEntry, now: Instant) -> f64 {
        let group = self.reported_loads.get(&entry.view.data_centre);
        let group = group.copied().unwrap_or_default();
        let weight = entry.weight(self.settings.warm_up, now);
        weight * group.load_tokens / group.weight_tokens.max(1.0)
    }

    /// Returns the first choice within `report_limit`, or the least loaded one if
    /// none is within. The target is `None` if no choice is usable.
    pub(crate) fn choose_by_reports(
        &self,
        reservation: &ReservationRequest,
        now: Instant,
    ) -> (Option<TargetId>, WorkTokens) {
        let work_tokens = WorkTokens::from(reservation.work_tokens);
        let features = &self.settings.features;
        let serves = |target: &TargetId| {
            let entry = self.targets.get(*target);
            entry.is_some_and(|e| e.serves(reservation.offer))
                && !reservation.excluded.contains(target)
        };
        let mut choices: Vec<TargetId> = reservation.at.into_iter().collect();
        choices.extend(&reservation.choices);
        choices.retain(serves);
        let by_load = |a: &TargetId, b: &TargetId| {
            self.estimated_load_ratio(*a, now)
                .total_cmp(&self.estimated_load_ratio(*b, now))
        };
        if features.two_choices {
            choices.truncate(2);
            return (choices.into_iter().min_by(by_load), work_tokens);
        }
        if !features.bounded {
            return (choices.first().copied(), work_tokens);
        }
        let fits = |target: &&TargetId| {
            let entry = self.targets.get(**target);
            let mean = entry.map_or(0.0, |entry| self.reported_mean(entry, now));
            let added = tokens_as_f64(work_tokens) / mean.max(1.0);
            let load_ratio = self.estimated_load_ratio(**target, now);
            load_ratio + added <= self.settings.report_limit || load_ratio <= LIGHT_LOAD_RATIO
        };
        let first = choices.iter().find(fits).copied();
        (
            first.or_else(|| choices.into_iter().min_by(by_load)),
            work_tokens,
        )
    }

    /// Returns the local or the remote choices; `None` if the chosen data centre is
    /// too loaded for the priority of the request.
    pub(crate) fn choose_data_centre(
        &self,
        request: &PlacementRequest<'_>,
        local: Vec<TargetId>,
        remote: Vec<TargetId>,
        now: Instant,
    ) -> Option<Vec<TargetId>> {
        let counted = self.data_centre_load(now);
        let reported_load_ratio = |target: Option<&TargetId>| {
            let entry = target.and_then(|target| self.targets.get(*target));
            let group = entry.and_then(|entry| self.reported_loads.get(&entry.view.data_centre));
            group.map_or(0.0, |group| {
                group.load_tokens / group.weight_tokens.max(1.0)
            })
        };
        let local_load_ratio = reported_load_ratio(local.first())
            .max(counted.load_tokens / counted.weight_tokens.max(1.0));
        let remote_load_ratio = reported_load_ratio(remote.first());
        let refuse_at = match request.priority {
            0 => self.settings.refuse_at,
            // Lower priorities are refused before the pool is full.
            _ => self.settings.refuse_at * 0.9,
        };
        let choose_remote = local.is_empty()
            || (!remote.is_empty()
                && local_load_ratio > self.settings.remote_above
                && remote_load_ratio < 0.9 * local_load_ratio);
        let (choices, load) = if choose_remote {
            (remote, remote_load_ratio)
        } else {
            (local, local_load_ratio)
        };
        (load < refuse_at).then_some(choices)
    }
}
