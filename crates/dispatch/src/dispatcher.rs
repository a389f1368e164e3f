//! Choice of targets for all services of a router.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_registry::{Announcement, StartTime};
use bamboospur_target_limits::{LimitShare, StatedLimit, TargetLimits, TargetLimitsSettings};
use bamboospur_types::{InstanceId, RequestRate, Rng, mix64, stable_id};

use crate::cache_map::{CacheId, CacheMap, CachedPrefix};
use crate::choice::{ChoiceContext, unit_interval};
use crate::cold::Cold;
use crate::health::Outcome;
use crate::load::LoadReport;
use crate::pause::Pause;
use crate::pool::{CopySource, Pool, prefix_hash};
use crate::request::{ChooseError, ChosenTarget, DispatchRequest};
use crate::settings::DispatchSettings;
use crate::target::{Target, cache_id};

/// Chooses targets for the requests of one router.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    data_centre: String,
    pools: BTreeMap<String, Pool>,
    cache_map: CacheMap,
    /// Usable and draining targets, from which cached prefixes can be copied.
    copy_sources: BTreeMap<CacheId, CopySource>,
    /// Data centres whose targets get no requests. Cached prefixes can be copied from them.
    evacuated: BTreeSet<String>,
    /// Limits that targets stated.
    limits: TargetLimits,
    rng: Rng,
    /// Number of routers that send to the same targets, this one included.
    router_count: u32,
}

impl Dispatcher {
    /// Creates a dispatcher without targets for a router in `data_centre`.
    #[must_use]
    pub fn new(settings: DispatchSettings, data_centre: &str, seed: u64) -> Self {
        Self {
            settings,
            data_centre: data_centre.to_owned(),
            pools: BTreeMap::new(),
            cache_map: CacheMap::default(),
            copy_sources: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            limits: TargetLimits::new(TargetLimitsSettings::default(), mix64(seed)),
            rng: Rng::new(seed),
            router_count: 1,
        }
    }

    /// Sets the data centres whose targets get no requests.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<String>) {
        self.evacuated = data_centres;
    }

    /// Records that a target stays cold until then.
    pub fn record_cold(&mut self, announcement: &Announcement, until: Instant, now: Instant) {
        let phase = unit_interval(self.rng.next_u64());
        let (service, name) = (&announcement.service, &announcement.name);
        if let Some(target) = self.target_mut(service, name, announcement.start) {
            match &mut target.cold {
                Some(cold) if cold.is_cold(now) => cold.set_until(until),
                cold => *cold = Some(Cold::new(phase, now, until)),
            }
        }
    }

    /// Sets the number of routers that send to the same targets, this one included.
    pub fn set_router_count(&mut self, router_count: u32) {
        self.router_count = router_count.max(1);
        self.limits.set_router_count(router_count);
    }

    /// Replaces the set of targets. Targets that remain usable keep their load and health,
    /// unless they have restarted. Draining targets receive no requests, but cached
    /// prefixes can be copied from them.
    pub fn update(&mut self, usable: &[&Announcement], draining: &[&Announcement], now: Instant) {
        let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
        for announcement in usable {
            let known = self
                .target(
                    &announcement.service,
                    &announcement.name,
                    announcement.start,
                )
                .cloned();
            let is_local = announcement.data_centre == self.data_centre;
            let mut target =
                known.unwrap_or_else(|| Target::new(announcement, is_local, &self.settings));
            target.address = announcement.address;
            target.software.clone_from(&announcement.software);
            target.slots = announcement.slots;
            let pool = pools.entry(announcement.service.clone()).or_default();
            pool.targets.insert(announcement.name.clone(), target);
        }
        for (service, pool) in &mut pools {
            if let Some(known) = self.pools.get(service) {
                pool.fleet_rate = known.fleet_rate;
                pool.request_duration_s = known.request_duration_s;
            }
        }
        self.pools = pools;
        let source = |announcement: &&Announcement| {
            let source = CopySource {
                address: announcement.address,
                data_centre: announcement.data_centre.clone(),
            };
            (cache_id(announcement), source)
        };
        self.copy_sources = usable.iter().chain(draining).map(source).collect();
        let sources = &self.copy_sources;
        self.cache_map
            .retain(|cache| sources.contains_key(&cache), now);
    }

    /// Chooses a target and counts the attempt as in flight until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Returns an error if no target is usable or none has capacity.
    pub fn choose(
        &mut self,
        request: &DispatchRequest<'_>,
        now: Instant,
    ) -> Result<ChosenTarget, ChooseError> {
        self.limits.expire(now);
        let context = ChoiceContext {
            settings: &self.settings,
            limits: &self.limits,
            evacuated: &self.evacuated,
            router_count: self.router_count,
            random: self.rng.next_u64(),
            now,
        };
        let pool = self
            .pools
            .get_mut(request.service)
            .ok_or(ChooseError::NoTarget)?;
        let hash = prefix_hash(request.prompt);
        let is_first_attempt = request.tried.is_empty();
        if is_first_attempt {
            pool.fleet_rate.record(now);
        }
        let same_prefix_arrivals = self.cache_map.arrivals(hash);
        if is_first_attempt && !request.prompt.is_empty() {
            self.cache_map.record_request(hash, now);
        }
        let caches = self.cache_map.caches(hash);
        let sources = &self.copy_sources;
        let mut choice = pool.choose(request, caches, same_prefix_arrivals, context)?;
        if let Some(target) = pool.targets.get_mut(&choice.name) {
            target.load.own += 1;
            if let Some(cold) = &mut target.cold {
                cold.record_request(now);
            }
            if let Some(pause) = &mut target.pause {
                pause.record_request(now);
            }
            self.limits.record_request(target.cache_id, now);
            if !request.prompt.is_empty() {
                let cache = target.cache_id;
                choice.prefix_hash = hash;
                choice.is_cached = caches.contains(&cache);
                if !choice.is_cached {
                    let caches = caches.iter().copied();
                    let reachable = pool.reachable_sources(caches, sources, &self.settings, now);
                    choice.copy_from = nearest_copy_source(&reachable, sources.get(&cache));
                }
                self.cache_map.record_use(
                    CachedPrefix {
                        prefix_hash: hash,
                        cache_id: cache,
                    },
                    now,
                );
            }
        }
        Ok(choice)
    }

    /// Adds cached prefixes that other routers have reported.
    pub fn add_cached_prefixes(
        &mut self,
        prefixes: impl IntoIterator<Item = CachedPrefix>,
        now: Instant,
    ) {
        for prefix in prefixes {
            self.cache_map.add_remote(prefix, now);
        }
    }

    /// Removes and returns the cached prefixes not yet sent to other routers.
    pub fn take_new_prefixes(&mut self) -> Vec<CachedPrefix> {
        self.cache_map.take_unsent()
    }

    /// Returns at most `max_count` cached prefixes with the newest target of each, for a router
    /// that has just started.
    #[must_use]
    pub fn newest_prefixes(&self, max_count: usize) -> Vec<CachedPrefix> {
        self.cache_map.newest().take(max_count).collect()
    }

    /// Returns at most `max_count` cached prefixes with the other targets of each.
    #[must_use]
    pub fn other_prefixes(&self, max_count: usize) -> Vec<CachedPrefix> {
        self.cache_map.others().take(max_count).collect()
    }

    /// Returns the load of this router to report to other routers: the requests in flight
    /// at each target that has any, and the arrival rate of each service under an id of
    /// its own.
    pub fn collect_own_loads(&mut self, now: Instant) -> Vec<(CacheId, u32)> {
        let mut loads = Vec::new();
        for (service, pool) in &mut self.pools {
            let rate = pool.fleet_rate.report_rate(now);
            if rate > 0 {
                loads.push((arrival_rate_id(service), rate));
            }
            for target in pool.targets.values_mut() {
                target.last_reported = target.load.own;
                if target.last_reported > 0 {
                    loads.push((target.cache_id, target.last_reported));
                }
            }
        }
        loads
    }

    /// Applies the sums of the loads that all routers reported, this one included.
    pub fn apply_load_totals(&mut self, totals: &BTreeMap<CacheId, u32>, now: Instant) {
        for (service, pool) in &mut self.pools {
            let rate = totals.get(&arrival_rate_id(service)).copied();
            pool.fleet_rate.record_total(rate.unwrap_or(0), now);
            for target in pool.targets.values_mut() {
                let total = totals.get(&target.cache_id).copied().unwrap_or(0);
                target.load.record_total(total, target.last_reported, now);
            }
        }
    }

    /// Records the load that an answer reported for its target.
    pub fn record_load_report(
        &mut self,
        service: &str,
        choice: &ChosenTarget,
        report: LoadReport,
        now: Instant,
    ) {
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.load.record_report(report, now);
        }
    }

    /// Records that a target asked for no requests for this time. Until it has done so three
    /// times in a row, a part of the time counts; see [`DispatchSettings::first_pause`].
    pub fn record_rejection(
        &mut self,
        service: &str,
        choice: &ChosenTarget,
        rejected_for: Duration,
        now: Instant,
    ) {
        let settings = self.settings;
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            match &mut target.pause {
                Some(pause) if pause.is_asked_for(now) => {
                    pause.extend(rejected_for, &settings, now);
                }
                pause => *pause = Some(Pause::begin(rejected_for, &settings, now)),
            }
        }
    }

    /// Records that a target has begun to answer a request, which ends its pause if the request
    /// was the trial.
    pub fn record_acceptance(&mut self, service: &str, choice: &ChosenTarget) {
        if let Some(target) = self.target_mut(service, &choice.name, choice.start)
            && target
                .pause
                .is_some_and(|pause| pause.is_trial(choice.chosen_at))
        {
            target.pause = None;
        }
    }

    /// Records the limit on its requests that a target stated in its answer to a request, or
    /// that it stated none.
    pub fn record_stated_limit(
        &mut self,
        choice: &ChosenTarget,
        limit: Option<RequestRate>,
        now: Instant,
    ) {
        self.limits
            .record_answer(choice.start_id(), limit, choice.chosen_at, now);
    }

    /// Removes and returns the stated limits that the other routers are to be told.
    pub fn take_stated_limits(&mut self) -> Vec<StatedLimit> {
        self.limits.take_reports()
    }

    /// Puts back stated limits that could not be sent.
    pub fn put_back_stated_limits(&mut self, limits: Vec<StatedLimit>) {
        self.limits.put_back_reports(limits);
    }

    /// Applies the shares of limits that a control instance assigned to the routers, of which
    /// this one has the id `own_id`.
    pub fn apply_limit_shares(&mut self, shares: &[LimitShare], own_id: InstanceId, now: Instant) {
        for share in shares {
            self.limits.apply(share, own_id, now);
        }
    }

    /// Returns the known limits, for a router that has just started.
    #[must_use]
    pub fn limit_shares(&self) -> Vec<LimitShare> {
        self.limits.shares()
    }

    /// Returns the number of limits that this router knows of.
    #[must_use]
    pub fn limit_count(&self) -> usize {
        self.limits.len()
    }

    /// Records the end and the outcome of an attempt.
    pub fn finish(&mut self, service: &str, choice: &ChosenTarget, outcome: Outcome, now: Instant) {
        let settings = self.settings;
        if let (Outcome::Answered { .. }, Some(pool)) = (outcome, self.pools.get_mut(service)) {
            let duration = now.saturating_duration_since(choice.chosen_at);
            pool.request_duration_s +=
                settings.latency_weight * (duration.as_secs_f64() - pool.request_duration_s);
        }
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.load.own = target.load.own.saturating_sub(1);
            target.health.record(outcome, &settings, now);
            target.end_trial(outcome, choice.chosen_at, now);
        }
    }

    /// Records a failure of an attempt for which [`Self::finish`] was already called.
    pub fn record_failure(&mut self, service: &str, choice: &ChosenTarget, now: Instant) {
        self.record_outcome(service, choice, Outcome::Failed, now);
    }

    /// Records that no connection to a target could be made, other than by an attempt.
    pub fn record_unreachable(&mut self, service: &str, choice: &ChosenTarget, now: Instant) {
        self.record_outcome(service, choice, Outcome::Unreachable, now);
    }

    fn record_outcome(
        &mut self,
        service: &str,
        choice: &ChosenTarget,
        outcome: Outcome,
        now: Instant,
    ) {
        let settings = self.settings;
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.health.record(outcome, &settings, now);
        }
    }

    fn target(&self, service: &str, name: &str, start: StartTime) -> Option<&Target> {
        let target = self.pools.get(service)?.targets.get(name)?;
        (target.start == start).then_some(target)
    }

    fn target_mut(&mut self, service: &str, name: &str, start: StartTime) -> Option<&mut Target> {
        let target = self.pools.get_mut(service)?.targets.get_mut(name)?;
        (target.start == start).then_some(target)
    }
}

/// Returns the id under which the arrival rate of a service is reported among the loads.
fn arrival_rate_id(service: &str) -> CacheId {
    mix64(stable_id(service))
}

/// Returns the address of the one of `sources` to copy a prefix from to `chosen`. Targets in
/// the data centre of the chosen one are preferred, as a copy within a data centre takes half
/// the time of a copy between two.
fn nearest_copy_source(sources: &[&CopySource], chosen: Option<&CopySource>) -> Option<SocketAddr> {
    let data_centre = chosen.map(|chosen| &chosen.data_centre);
    let nearest = sources
        .iter()
        .max_by_key(|source| Some(&source.data_centre) == data_centre);
    nearest.map(|source| source.address)
}
