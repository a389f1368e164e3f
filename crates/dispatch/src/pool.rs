//! Targets of one service: which of them a request may go to, and whether they have room.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_registry::TargetName;
use bamboospur_target_limits::TargetLimits;
use bamboospur_types::{mix64, time_from_s};

use crate::arrivals::{FleetRate, PrefixArrivals, choose_by_weight};
use crate::cache_map::{CacheId, PrefixHash};
use crate::choice::{
    Candidate, ChoiceContext, MeanLoads, PromptDemand, choose_by_expected_wait, choose_by_prompt,
    chosen_target, has_capacity, is_half_full,
};
use crate::cold::ColdPace;
use crate::request::{ChooseError, ChosenTarget, DispatchRequest, PromptPart};
use crate::settings::DispatchSettings;
use crate::target::{Target, prompt_capacity};

/// Shortest time in which a pool without capacity is expected to have some again.
const MIN_FULL_WAIT: Duration = Duration::from_millis(100);
/// As [`MIN_FULL_WAIT`], for prompts. When all engines are full, there are more callers than
/// slots; a generation takes one to two seconds, and callers that return before some have ended
/// are refused again.
const MIN_FULL_PROMPT_WAIT: Duration = Duration::from_secs(2);

/// Longest time in which a pool without capacity is expected to have some again.
const MAX_FULL_WAIT: Duration = Duration::from_mins(1);

/// Targets that get requests in place of cold ones stay below the load bound by this multiple
/// of its square root: the load of a target varies like the number of independent arrivals.
const LOAD_DEVIATIONS: f64 = 1.6;
/// Factor by which the estimated rate of all routers can be too high.
const MAX_RATE_ERROR: f64 = 1.25;

/// A target from which cached prefixes can be copied.
#[derive(Clone, Debug)]
pub struct CopySource {
    pub address: SocketAddr,
    pub data_centre: String,
}

#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub targets: BTreeMap<TargetName, Target>,
    /// Arrival rates at this router and at all routers.
    pub fleet_rate: FleetRate,
    /// Smoothed time from the choice of a target to the end of an answered request.
    pub request_duration_s: f64,
}

/// The targets that a request may go to.
struct Candidates<'a> {
    /// Those that take a request now.
    accepting: Vec<Candidate<'a>>,
    /// When the next cold target takes a request, if most are cold and some take none now.
    next_cold_at: Option<Instant>,
}

impl Pool {
    /// Chooses a target for one attempt. `caches` are those believed to have the prompt's
    /// prefix, and `same_prefix_arrivals` is the rate of earlier requests with this prefix
    /// at this router.
    pub fn choose(
        &self,
        request: &DispatchRequest<'_>,
        caches: &[CacheId],
        same_prefix_arrivals: PrefixArrivals,
        context: ChoiceContext<'_>,
    ) -> Result<ChosenTarget, ChooseError> {
        let ChoiceContext { settings, now, .. } = context;
        let loads = self.estimate_loads(context);
        let Candidates {
            accepting,
            next_cold_at,
        } = self.candidates(request, &loads, context)?;
        let reachable = self.reachable(accepting, request, settings, now);
        let healthy = self.healthy(reachable, request, settings, now);
        let max_own = request.max_in_flight_per_target;
        let mut available = healthy;
        available.retain(|c| c.target.load.own < max_own && !c.target.health.is_full(now));
        let full = ChooseError::Full {
            available_in: self.available_in(request),
        };
        if request.prompt.is_empty() {
            if available.is_empty() {
                return Err(full);
            }
            return Ok(choose_by_expected_wait(&available, context));
        }
        let means = self.mean_loads(&loads, context);
        let prompt = PromptDemand {
            prefix_hash: prefix_hash(request.prompt),
            caches: caches.iter().copied().collect(),
            expected_same_prefix: self.expected_from_others(same_prefix_arrivals, context),
            expected_per_target: self.expected_at_all_routers(context) / means.open_count,
        };
        // The expected arrivals are those at targets of all versions, and a stream that has
        // begun comes before new ones.
        if request.software.is_none() && is_half_full(&available, settings) {
            let admitted_share = self.admitted_share(&available, context);
            if admitted_share < 1.0 {
                return self
                    .choose_by_spare_capacity(&available, &prompt, admitted_share, context)
                    .ok_or(full);
            }
        }
        available.retain(|c| has_capacity(c, settings));
        // A stream that has begun comes before new ones.
        if let Some(next_cold_at) = next_cold_at.filter(|_| request.software.is_none()) {
            available = self.limit_warm(available, next_cold_at, means, context)?;
        }
        if available.is_empty() {
            return Err(full);
        }
        let to_check = available.iter().find(|c| {
            let target = c.target.cache_id;
            context.limits.is_check_due(target, now)
        });
        if let Some(to_check) = to_check {
            let bound = prompt_capacity(to_check.target, settings);
            return Ok(chosen_target(to_check, bound, 0, now));
        }
        // The targets without a limit have become the busy ones.
        let mean_of_all = mean(loads.iter().copied());
        if means.all > mean_of_all * settings.max_load_factor + settings.max_load_slack {
            for candidate in &mut available {
                candidate.is_spared = false;
            }
        }
        Ok(choose_by_prompt(&available, &prompt, means, context))
    }

    /// Whether so many targets are cold that the others could hold over twice the mean load.
    fn is_mostly_cold(&self, context: ChoiceContext<'_>) -> bool {
        let open = self.targets.values().filter(|t| !context.is_evacuated(t));
        let (cold, warm): (Vec<_>, Vec<_>) = open.partition(|target| target.is_cold(context.now));
        cold.len() > warm.len()
    }

    /// Removes the targets that are not cold if they have no room for their part of the expected
    /// requests. Cold targets take few of them, and all the rest would go to the others.
    fn limit_warm<'a>(
        &self,
        available: Vec<Candidate<'a>>,
        next_cold_at: Instant,
        means: MeanLoads,
        context: ChoiceContext<'_>,
    ) -> Result<Vec<Candidate<'a>>, ChooseError> {
        let ChoiceContext { settings, now, .. } = context;
        let is_cold = |c: &Candidate<'_>| c.target.is_cold(now);
        let bound = means.max_load(settings);
        let max_load = bound - LOAD_DEVIATIONS * bound.sqrt();
        let warm = available.iter().filter(|c| !is_cold(c));
        let room: f64 = warm
            .map(|c| self.room_below(max_load, c.target, c.load, settings))
            .sum();
        let expected = self.expected_at_all_routers(context) / MAX_RATE_ERROR;
        if context.random_unit(4) * expected < room {
            return Ok(available);
        }
        let cold: Vec<_> = available.into_iter().filter(is_cold).collect();
        if cold.is_empty() {
            return Err(ChooseError::Full {
                available_in: next_cold_at.saturating_duration_since(now),
            });
        }
        Ok(cold)
    }

    /// Returns those of `caches` from which prefixes can be copied. A target that cannot reach
    /// its source waits in vain, and processes the prefix after all.
    pub fn reachable_sources<'a>(
        &self,
        caches: impl Iterator<Item = CacheId>,
        sources: &'a BTreeMap<CacheId, CopySource>,
        settings: &DispatchSettings,
        now: Instant,
    ) -> Vec<&'a CopySource> {
        let cut_off = self.cut_off_data_centres(settings, now);
        let is_unreachable = |cache: &CacheId| {
            let mut targets = self.targets.values();
            targets.any(|t| t.cache_id == *cache && t.health.is_unreachable(now))
        };
        caches
            .filter(|cache| !is_unreachable(cache))
            .filter_map(|cache| sources.get(&cache))
            .filter(|source| !cut_off.contains(source.data_centre.as_str()))
            .collect()
    }

    /// Returns the mean loads of the targets without a limit. The load of the others is kept low;
    /// with it, prompts would leave targets that have them cached.
    fn mean_loads(&self, loads: &[f64], context: ChoiceContext<'_>) -> MeanLoads {
        let unlimited = self.unlimited(context.limits);
        let open = self.not_evacuated(&unlimited, context);
        MeanLoads {
            all: mean(unlimited.iter().map(|&index| loads[index])),
            open: mean(open.iter().map(|&index| loads[index])),
            open_count: count_at_least_one(&open),
        }
    }

    /// Returns the positions of the targets without a limit, or of all if each has one.
    fn unlimited(&self, limits: &TargetLimits) -> Vec<usize> {
        let targets = self.targets.values().enumerate();
        let unlimited = targets.filter(|(_, target)| !limits.is_limited(target.cache_id));
        let unlimited: Vec<usize> = unlimited.map(|(index, _)| index).collect();
        if unlimited.is_empty() {
            (0..self.targets.len()).collect()
        } else {
            unlimited
        }
    }

    /// Returns those of the targets at these positions whose data centre is not evacuated.
    fn not_evacuated(&self, indexes: &[usize], context: ChoiceContext<'_>) -> Vec<usize> {
        let targets: Vec<&Target> = self.targets.values().collect();
        let indexes = indexes.iter().copied();
        indexes
            .filter(|&index| !context.is_evacuated(targets[index]))
            .collect()
    }

    /// Returns the targets that a request may go to: those of the wanted version that were not
    /// tried before and accept requests.
    fn candidates<'a>(
        &'a self,
        request: &DispatchRequest<'_>,
        loads: &[f64],
        context: ChoiceContext<'_>,
    ) -> Result<Candidates<'a>, ChooseError> {
        let ChoiceContext {
            settings,
            limits,
            router_count,
            now,
            ..
        } = context;
        let pace = ColdPace {
            rate: request.cold_rate,
            router_count,
        };
        // When a target that takes no request now takes the next one.
        let accepts_at = |target: &Target| {
            let paused_until = target.pause.and_then(|pause| pause.ends_at(settings, now));
            let cold_until = target.cold.and_then(|cold| cold.available_at(pace, now));
            let limited_until = limits.available_at(target.cache_id, now);
            paused_until.max(cold_until).max(limited_until)
        };
        let fits = |name: &TargetName, target: &Target| {
            let has_version = request
                .software
                .is_none_or(|wanted| target.software == wanted);
            has_version && !request.tried.contains(name) && !context.is_evacuated(target)
        };
        let fitting = self.targets.iter().zip(loads);
        let fitting = fitting.filter(|((name, target), _)| fits(name, target));
        let (rejecting, accepting): (Vec<_>, Vec<_>) = fitting
            .map(|((name, target), &load)| Candidate {
                name,
                target,
                load,
                is_spared: limits.is_limited(target.cache_id),
            })
            .partition(|candidate| accepts_at(candidate.target).is_some());
        if !accepting.is_empty() {
            let cold = rejecting.iter().filter_map(|c| c.target.cold);
            let next_cold_at = cold.filter_map(|cold| cold.available_at(pace, now)).min();
            return Ok(Candidates {
                accepting,
                next_cold_at: next_cold_at.filter(|_| self.is_mostly_cold(context)),
            });
        }
        let ends = rejecting.iter().filter_map(|c| accepts_at(c.target));
        Err(ends
            .min()
            .map_or(ChooseError::NoTarget, |end| ChooseError::Full {
                available_in: end.saturating_duration_since(now),
            }))
    }

    /// Returns the requests of all routers per request of this router.
    fn fleet_ratio(&self, context: ChoiceContext<'_>) -> f64 {
        let max_age = context.settings.report_decay;
        self.fleet_rate
            .ratio(context.router_count, max_age, context.now)
    }

    /// Returns the requests that other routers are expected to send before their next loads
    /// arrive, given the rate `own` of this router.
    fn expected_from_others(&self, own: PrefixArrivals, context: ChoiceContext<'_>) -> f64 {
        let own = own.expected_after_another(context.settings.max_report_age, context.now);
        own * (self.fleet_ratio(context) - 1.0)
    }

    /// Returns the requests that all routers are expected to get before their next loads
    /// arrive.
    fn expected_at_all_routers(&self, context: ChoiceContext<'_>) -> f64 {
        let ChoiceContext {
            settings,
            router_count,
            now,
            ..
        } = context;
        let max_age = settings.report_decay;
        let time = settings.max_report_age;
        self.fleet_rate
            .expected_within(time, router_count, max_age, now)
    }

    /// Returns the share of the expected requests that every router may admit so that the
    /// targets have capacity for them until the next loads of other routers arrive. Can
    /// exceed 1.
    fn admitted_share(&self, available: &[Candidate<'_>], context: ChoiceContext<'_>) -> f64 {
        let spare = available
            .iter()
            .map(|c| self.spare_capacity(c.target, c.load, context.settings));
        spare.sum::<f64>() / self.expected_at_all_routers(context).max(1.0)
    }

    /// Returns the prompts that a target can take until the next loads of other routers
    /// arrive. Some of the running requests end in that time; queued ones do not.
    fn spare_capacity(&self, target: &Target, load: f64, settings: &DispatchSettings) -> f64 {
        self.room_below(prompt_capacity(target, settings), target, load, settings)
    }

    /// As [`Self::spare_capacity`], up to a load.
    fn room_below(
        &self,
        max_load: f64,
        target: &Target,
        load: f64,
        settings: &DispatchSettings,
    ) -> f64 {
        let time_s = settings.max_report_age.as_secs_f64();
        let ended = time_s / self.request_duration_s.max(time_s);
        let running = load.min(f64::from(target.slots));
        (max_load - load + running * ended).max(0.0)
    }

    /// Chooses a target when more prompts are expected than the targets have capacity for,
    /// or refuses the prompt. Targets are weighted by spare capacity: otherwise every
    /// router would fill the same few targets that had capacity at the last load report.
    fn choose_by_spare_capacity(
        &self,
        available: &[Candidate<'_>],
        prompt: &PromptDemand,
        admitted_share: f64,
        context: ChoiceContext<'_>,
    ) -> Option<ChosenTarget> {
        if context.random_unit(3) >= admitted_share {
            return None;
        }
        let settings = context.settings;
        let spare_capacity = |c: &Candidate<'_>| self.spare_capacity(c.target, c.load, settings);
        let pick = |among: &[&Candidate<'_>]| {
            let weights: Vec<f64> = among.iter().map(|c| spare_capacity(c)).collect();
            let picked = among[choose_by_weight(&weights, context.random_unit(1))?];
            let bound = prompt_capacity(picked.target, settings);
            Some(chosen_target(picked, bound, 0, context.now))
        };
        let all: Vec<&Candidate<'_>> = available.iter().collect();
        let cached = all.iter().copied();
        let cached: Vec<_> = cached
            .filter(|c| prompt.caches.contains(&c.target.cache_id))
            .collect();
        let cached_capacity: f64 = cached.iter().map(|c| spare_capacity(c)).sum();
        let expected = (prompt.expected_same_prefix * admitted_share).max(1.0);
        let can_reuse = context.random_unit(2) * expected < cached_capacity;
        let reuse = if can_reuse { pick(&cached) } else { None };
        reuse.or_else(|| pick(&all))
    }

    /// Removes unreachable targets, unless all are.
    fn reachable<'a>(
        &self,
        all: Vec<Candidate<'a>>,
        request: &DispatchRequest<'_>,
        settings: &DispatchSettings,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let mut cut_off = self.cut_off_data_centres(settings, now);
        // A request that failed to connect to a data centre avoids its other targets as well.
        let tried = request
            .tried
            .iter()
            .filter_map(|name| self.targets.get(name));
        let failed = tried.filter(|t| !t.is_local && t.health.is_unreachable(now));
        cut_off.extend(failed.map(|target| target.data_centre.as_str()));
        let reachable = |c: &Candidate<'_>| {
            let target = c.target;
            !target.health.is_unreachable(now) && !cut_off.contains(target.data_centre.as_str())
        };
        if all.iter().any(reachable) {
            all.into_iter().filter(reachable).collect()
        } else {
            all
        }
    }

    /// Returns the other data centres that are taken to be unreachable as a whole.
    fn cut_off_data_centres(&self, settings: &DispatchSettings, now: Instant) -> BTreeSet<&str> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for target in self.targets.values().filter(|target| !target.is_local) {
            let (unreachable, all) = counts.entry(&target.data_centre).or_default();
            *unreachable += usize::from(target.health.is_unreachable(now));
            *all += 1;
        }
        let needed = settings.unreachable_targets_for_cut_off;
        let cut_off = counts
            .into_iter()
            .filter(|&(_, (count, all))| count >= needed.min(all));
        cut_off.map(|(data_centre, _)| data_centre).collect()
    }

    /// Removes ejected targets, those with the highest share of failures first, up to
    /// [`DispatchSettings::max_ejected_share`] of the pool. A target on trial takes one
    /// repeatable request at a time.
    fn healthy<'a>(
        &self,
        mut all: Vec<Candidate<'a>>,
        request: &DispatchRequest<'_>,
        settings: &DispatchSettings,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let is_eligible = |c: &Candidate<'_>| {
            let health = &c.target.health;
            let refuses_trial =
                health.is_on_trial() && (c.target.load.own > 0 || !request.repeatable);
            !health.is_ejected(now) && !refuses_trial
        };
        if all.iter().all(is_eligible) {
            return all;
        }
        all.sort_by(|a, b| {
            let failures = |c: &Candidate<'_>| c.target.health.failure_share();
            (is_eligible(b).cmp(&is_eligible(a))).then(failures(a).total_cmp(&failures(b)))
        });
        let eligible_count = all.iter().filter(|c| is_eligible(c)).count();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a pool has few targets"
        )]
        let min_count =
            (self.targets.len() as f64 * (1.0 - settings.max_ejected_share)).ceil() as usize;
        all.truncate(eligible_count.max(min_count));
        all
    }

    /// Estimates the load of each target, in the order of `targets`. As a report ages, the
    /// mean of the weighted reported loads replaces it: over the targets that are evacuated
    /// for one of them, and over the others for another one.
    fn estimate_loads(&self, context: ChoiceContext<'_>) -> Vec<f64> {
        let decay = context.settings.report_decay;
        let reports = self
            .targets
            .values()
            .map(|target| (target, target.load.others(context.now, decay)));
        let reports: Vec<_> = reports.collect();
        let mean_others = |evacuated: bool| {
            let alike = reports
                .iter()
                .filter(|(t, _)| context.is_evacuated(t) == evacuated);
            mean(alike.map(|(_, (others, weight))| others * weight))
        };
        let (mean_open, mean_evacuated) = (mean_others(false), mean_others(true));
        let estimate = |target: &Target, others: f64, weight: f64| {
            let mean_others = if context.is_evacuated(target) {
                mean_evacuated
            } else {
                mean_open
            };
            f64::from(target.load.own) + others * weight + mean_others * (1.0 - weight)
        };
        let loads = reports.iter();
        loads
            .map(|(target, (others, weight))| estimate(target, *others, *weight))
            .collect()
    }

    /// Returns the expected time until a target has capacity: the mean latency of the targets,
    /// at most [`MAX_FULL_WAIT`] and at least [`MIN_FULL_WAIT`] or, for prompts,
    /// [`MIN_FULL_PROMPT_WAIT`].
    fn available_in(&self, request: &DispatchRequest<'_>) -> Duration {
        let latencies = self.targets.values().map(|t| t.health.latency_s());
        let min_wait = if request.prompt.is_empty() {
            MIN_FULL_WAIT
        } else {
            MIN_FULL_PROMPT_WAIT
        };
        let wait = time_from_s(mean(latencies)).unwrap_or(MAX_FULL_WAIT);
        wait.clamp(min_wait, MAX_FULL_WAIT)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Hashes the parts that a prompt shares with others: all but the last, or the only one.
pub fn prefix_hash(prompt: &[PromptPart]) -> PrefixHash {
    let shared = match prompt {
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
        [] => &[],
    };
    shared
        .iter()
        .fold(0, |hash, part| mix64(hash ^ mix64(part.hash)))
}

#[expect(clippy::cast_precision_loss, reason = "a pool has few targets")]
fn count_at_least_one<T>(all: &[T]) -> f64 {
    all.len().max(1) as f64
}
