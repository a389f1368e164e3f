//! All services of a router.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboospur_registry::{Announcement, StartTime};
use bamboospur_types::{Rng, mix64, stable_id};

use crate::arrivals::Arrivals;
use crate::cache_map::{CacheId, CacheMap, CachedPrefix};
use crate::demand::{ChooseError, ChosenTarget, DispatchRequest};
use crate::health::Outcome;
use crate::load::LoadReport;
use crate::pool::{Pool, Situation, Target, cache_id, shared_hash};
use crate::settings::DispatchSettings;

/// Chooses targets for the requests of one router.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    data_centre: String,
    pools: BTreeMap<String, Pool>,
    cache_map: CacheMap,
    /// Targets that may have prompts in their caches.
    sources: BTreeMap<CacheId, Source>,
    rng: Rng,
    /// Routers that send to the same targets, this one included.
    routers: u32,
}

impl Dispatcher {
    /// Creates a dispatcher for a router in a data centre.
    #[must_use]
    pub fn new(settings: DispatchSettings, data_centre: &str, seed: u64) -> Self {
        Self {
            settings,
            data_centre: data_centre.to_owned(),
            pools: BTreeMap::new(),
            cache_map: CacheMap::default(),
            sources: BTreeMap::new(),
            rng: Rng::new(seed),
            routers: 1,
        }
    }

    /// Sets the number of routers that send to the same targets.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Replaces the usable targets; those that stay keep their state. Draining
    /// ones take no requests, but prompts can be copied from them.
    pub fn update(&mut self, usable: &[&Announcement], draining: &[&Announcement], now: Instant) {
        let mut pools: BTreeMap<String, Pool> = BTreeMap::new();
        for news in usable {
            let known = self.target(&news.service, &news.name, news.start).cloned();
            let is_local = news.data_centre == self.data_centre;
            let mut target = known.unwrap_or_else(|| Target::new(news, is_local, &self.settings));
            target.address = news.address;
            target.slots = news.slots;
            let pool = pools.entry(news.service.clone()).or_default();
            pool.targets.insert(news.name.clone(), target);
        }
        for (service, pool) in &mut pools {
            if let Some(known) = self.pools.get(service) {
                pool.arrivals = known.arrivals;
                pool.fleet_rate = known.fleet_rate;
                pool.duration_s = known.duration_s;
            }
        }
        self.pools = pools;
        let source = |news: &&Announcement| {
            let source = Source {
                address: news.address,
                data_centre: news.data_centre.clone(),
            };
            (cache_id(news), source)
        };
        self.sources = usable.iter().chain(draining).map(source).collect();
        let sources = &self.sources;
        self.cache_map
            .retain(|cache| sources.contains_key(&cache), now);
    }

    /// Chooses a target and counts the attempt as under way.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn choose(
        &mut self,
        demand: &DispatchRequest<'_>,
        now: Instant,
    ) -> Result<ChosenTarget, ChooseError> {
        let situation = Situation {
            settings: &self.settings,
            routers: self.routers,
            random: self.rng.next_u64(),
            now,
        };
        let pool = self
            .pools
            .get_mut(demand.service)
            .ok_or(ChooseError::NoTarget)?;
        let shared = shared_hash(demand.prompt);
        let is_first = demand.tried.is_empty();
        if is_first {
            pool.arrivals.count(now);
        }
        let alike = match demand.prompt {
            [_, ..] if is_first => self.cache_map.count(shared, now),
            _ => Arrivals::default(),
        };
        let caches = self.cache_map.caches(shared);
        let mut choice = pool.choose(demand, caches, alike, situation)?;
        if let Some(target) = pool.targets.get_mut(&choice.name) {
            target.load.own += 1;
            if !demand.prompt.is_empty() {
                let cache = target.cache;
                choice.is_cached = caches.contains(&cache);
                choice.copy_from = copy_source(caches, cache, &self.sources);
                self.cache_map.used(CachedPrefix { shared, cache }, now);
            }
        }
        Ok(choice)
    }

    /// Takes what other routers say about cached prompts.
    pub fn add_cached_prefixes(
        &mut self,
        prefixes: impl IntoIterator<Item = CachedPrefix>,
        now: Instant,
    ) {
        for prefix in prefixes {
            self.cache_map.learn(prefix, now);
        }
    }

    /// Takes what other routers do not know about cached prompts.
    pub fn take_new_prefixes(&mut self) -> Vec<CachedPrefix> {
        self.cache_map.take_news()
    }

    /// Returns the known places of cached prompts, for a router that knows none.
    #[must_use]
    pub fn cached_prefixes(&self, most: usize) -> Vec<CachedPrefix> {
        self.cache_map.all().take(most).collect()
    }

    /// Returns the requests of this router at each target that has any, and how many
    /// arrive for each service, for the other routers.
    pub fn collect_own_loads(&mut self, now: Instant) -> Vec<(CacheId, u32)> {
        let mut loads = Vec::new();
        for (service, pool) in &mut self.pools {
            let rate = pool.fleet_rate.tell(&pool.arrivals, now);
            if rate > 0 {
                loads.push((rate_id(service), rate));
            }
            for target in pool.targets.values_mut() {
                target.told = target.load.own;
                if target.told > 0 {
                    loads.push((target.cache, target.told));
                }
            }
        }
        loads
    }

    /// Takes the sums of what all routers told.
    pub fn apply_load_totals(&mut self, apply_load_totals: &BTreeMap<CacheId, u32>, now: Instant) {
        for (service, pool) in &mut self.pools {
            let rate = apply_load_totals.get(&rate_id(service)).copied();
            pool.fleet_rate.hear(rate.unwrap_or(0), now);
            for target in pool.targets.values_mut() {
                let total = apply_load_totals.get(&target.cache).copied().unwrap_or(0);
                target.load.total(total, target.told, now);
            }
        }
    }

    /// Takes what an answer said about its target.
    pub fn record_load_report(
        &mut self,
        service: &str,
        choice: &ChosenTarget,
        record_load_report: LoadReport,
        now: Instant,
    ) {
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.load.report(record_load_report, now);
        }
    }

    /// Ends an attempt.
    pub fn finish(&mut self, service: &str, choice: &ChosenTarget, outcome: Outcome, now: Instant) {
        let settings = self.settings;
        if let (Outcome::Answered { .. }, Some(pool)) = (outcome, self.pools.get_mut(service)) {
            let took = now.saturating_duration_since(choice.chosen_at);
            pool.duration_s += settings.latency_weight * (took.as_secs_f64() - pool.duration_s);
        }
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.load.own = target.load.own.saturating_sub(1);
            target.health.record(outcome, &settings, now);
        }
    }

    /// Records a failure of an attempt that has already ended.
    pub fn record_failure(&mut self, service: &str, choice: &ChosenTarget, now: Instant) {
        let settings = self.settings;
        if let Some(target) = self.target_mut(service, &choice.name, choice.start) {
            target.health.record(Outcome::Failed, &settings, now);
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

/// Key of a service's arrivals among the loads.
fn rate_id(service: &str) -> CacheId {
    mix64(stable_id(service))
}

/// A target that may have prompts in its cache.
#[derive(Clone, Debug)]
struct Source {
    address: SocketAddr,
    data_centre: String,
}

/// Returns a target to copy from, when the chosen one has not read the shared
/// parts. A copy within a data centre takes half the time of one between two.
fn copy_source(
    caches: &[CacheId],
    chosen: CacheId,
    sources: &BTreeMap<CacheId, Source>,
) -> Option<SocketAddr> {
    if caches.contains(&chosen) {
        return None;
    }
    let data_centre = sources.get(&chosen).map(|source| &source.data_centre);
    let known = caches.iter().filter_map(|cache| sources.get(cache));
    let nearest = known.max_by_key(|source| Some(&source.data_centre) == data_centre);
    nearest.map(|source| source.address)
}
