//! Targets of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_placement::{mix_node, score_mixed};
use bamboospur_registry::{Announcement, Start, TargetName};
use bamboospur_types::{mix64, stable_id};

use crate::cache_map::{CacheId, SharedHash};
use crate::demand::{Choice, Demand, NoChoice, PromptPart};
use crate::health::Health;
use crate::load::Load;
use crate::settings::DispatchSettings;

/// Room is expected within one typical answer.
const MIN_ROOM_WAIT: Duration = Duration::from_millis(100);
/// Engines that are all full have more callers than places; a generation takes a
/// second or two, and those that return before some have ended are refused again.
const MIN_PROMPT_ROOM_WAIT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
pub struct Target {
    pub start: Start,
    pub address: SocketAddr,
    pub is_local: bool,
    pub data_centre: String,
    pub slots: u32,
    /// Hash of its name, for rendezvous hashing.
    pub hash: u64,
    /// Identity of this start, whose cache began empty.
    pub cache: CacheId,
    pub load: Load,
    /// Requests of this router that the other ones were told of.
    pub told: u32,
    pub health: Health,
}

impl Target {
    pub fn new(news: &Announcement, is_local: bool, settings: &DispatchSettings) -> Self {
        Self {
            start: news.start,
            address: news.address,
            is_local,
            data_centre: news.data_centre.clone(),
            slots: news.slots,
            hash: mix_node(stable_id(&news.name)),
            cache: cache_id(news),
            load: Load::new(),
            told: 0,
            health: Health::new(settings),
        }
    }
}

/// Returns the identity of one start of a target.
pub fn cache_id(news: &Announcement) -> CacheId {
    mix64(stable_id(&news.name) ^ mix64(news.start.0))
}

#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub targets: BTreeMap<TargetName, Target>,
}

/// A target that can take the request now.
struct Candidate<'a> {
    name: &'a TargetName,
    target: &'a Target,
    load: f64,
}

impl Pool {
    pub fn choose(
        &self,
        demand: &Demand<'_>,
        caches: &[CacheId],
        settings: &DispatchSettings,
        tie: u64,
        now: Instant,
    ) -> Result<Choice, NoChoice> {
        let loads = self.loads(settings, now);
        let all: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .zip(&loads)
            .filter(|((name, _), _)| !demand.tried.contains(name))
            .map(|((name, target), &load)| Candidate { name, target, load })
            .collect();
        if all.is_empty() {
            return Err(NoChoice::NoTarget);
        }
        let mean = mean(loads.iter().copied());
        let all = self.reachable(all, demand, settings, now);
        let healthy = self.healthy(all, demand, settings, now);
        let share = demand.connection_share;
        let mut open = healthy;
        open.retain(|c| c.target.load.own < share && !c.target.health.is_full(now));
        if !demand.prompt.is_empty() {
            open.retain(|c| has_place(c, settings));
        }
        if open.is_empty() {
            return Err(NoChoice::Full {
                room_in: self.room_in(demand),
            });
        }
        Ok(if demand.prompt.is_empty() {
            by_expected_wait(&open, settings, tie, now)
        } else {
            by_prompt(&open, shared_hash(demand.prompt), caches, mean, settings)
        })
    }

    /// Leaves out targets that cannot be reached, unless none can.
    fn reachable<'a>(
        &self,
        all: Vec<Candidate<'a>>,
        demand: &Demand<'_>,
        settings: &DispatchSettings,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let mut cut_off = self.cut_off(settings, now);
        // One failed connection to a data centre is enough for one request.
        let tried = demand
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

    /// Returns other data centres that seem to be cut off from this one.
    fn cut_off(&self, settings: &DispatchSettings, now: Instant) -> BTreeSet<&str> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for target in self.targets.values().filter(|target| !target.is_local) {
            let (unreachable, all) = counts.entry(&target.data_centre).or_default();
            *unreachable += usize::from(target.health.is_unreachable(now));
            *all += 1;
        }
        let needed = settings.unreachable_targets;
        let cut = counts
            .into_iter()
            .filter(|&(_, (count, all))| count >= needed.min(all));
        cut.map(|(data_centre, _)| data_centre).collect()
    }

    /// Leaves out ejected targets, but never more than the allowed share.
    fn healthy<'a>(
        &self,
        mut all: Vec<Candidate<'a>>,
        demand: &Demand<'_>,
        settings: &DispatchSettings,
        now: Instant,
    ) -> Vec<Candidate<'a>> {
        let serves = |c: &Candidate<'_>| {
            let health = &c.target.health;
            let trial = health.is_on_trial() && (c.target.load.own > 0 || !demand.repeatable);
            !health.is_ejected(now) && !trial
        };
        if all.iter().all(serves) {
            return all;
        }
        all.sort_by(|a, b| {
            let failures = |c: &Candidate<'_>| c.target.health.failure_share();
            (serves(b).cmp(&serves(a))).then(failures(a).total_cmp(&failures(b)))
        });
        let serving = all.iter().filter(|c| serves(c)).count();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a pool has few targets"
        )]
        let least = (self.targets.len() as f64 * (1.0 - settings.eject_most)).ceil() as usize;
        all.truncate(serving.max(least));
        all
    }

    /// Estimates the load of each target, in their order. A report that is getting old gives way
    /// to the mean of what other routers have at the reported targets.
    fn loads(&self, settings: &DispatchSettings, now: Instant) -> Vec<f64> {
        let memory = settings.report_memory;
        let reports = self
            .targets
            .values()
            .map(|target| (target, target.load.others(now, memory)));
        let reports: Vec<_> = reports.collect();
        let sum: f64 = reports
            .iter()
            .map(|(_, (others, trust))| others * trust)
            .sum();
        #[expect(clippy::cast_precision_loss, reason = "a pool has few targets")]
        let typical = sum / (reports.len().max(1) as f64);
        let estimate = |target: &Target, others: f64, trust: f64| {
            f64::from(target.load.own) + others * trust + typical * (1.0 - trust)
        };
        let loads = reports.into_iter();
        loads
            .map(|(target, (others, trust))| estimate(target, others, trust))
            .collect()
    }

    /// Typical time until one of the running requests ends.
    fn room_in(&self, demand: &Demand<'_>) -> Duration {
        let latencies = self.targets.values().map(|t| t.health.latency_s());
        let least = if demand.prompt.is_empty() {
            MIN_ROOM_WAIT
        } else {
            MIN_PROMPT_ROOM_WAIT
        };
        Duration::from_secs_f64(mean(latencies).min(60.0)).max(least)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Hash of the parts that a prompt shares with others.
pub fn shared_hash(prompt: &[PromptPart]) -> SharedHash {
    let shared = match prompt {
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
        [] => &[],
    };
    shared
        .iter()
        .fold(0, |hash, part| mix64(hash ^ mix64(part.hash)))
}

/// Whether a target can run another prompt without keeping it waiting.
fn has_place(candidate: &Candidate<'_>, settings: &DispatchSettings) -> bool {
    let slots = f64::from(candidate.target.slots);
    slots < 1.0 || candidate.load + 1.0 <= (slots * settings.slots_factor).max(1.0)
}

fn by_prompt(
    open: &[Candidate<'_>],
    shared: SharedHash,
    caches: &[CacheId],
    mean: f64,
    settings: &DispatchSettings,
) -> Choice {
    let score = |c: &Candidate<'_>| score_mixed(shared, c.target.hash, 1.0);
    let scored = open.iter().map(|candidate| (score(candidate), candidate));
    let mut scored: Vec<(f64, &Candidate<'_>)> = scored.collect();
    scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let order: Vec<&Candidate<'_>> = scored.into_iter().map(|(_, c)| c).collect();
    let caches: BTreeSet<CacheId> = caches.iter().copied().collect();
    let ranked = || order.iter().enumerate();
    let least_loaded =
        |a: &(usize, &&Candidate<'_>), b: &(usize, &&Candidate<'_>)| a.1.load.total_cmp(&b.1.load);
    let stay = mean * settings.stay_factor + settings.stay_slack;
    let warm = ranked().filter(|(_, c)| caches.contains(&c.target.cache));
    let reuse = warm
        .filter(|(_, c)| c.load + 1.0 <= stay)
        .min_by(least_loaded);
    if let Some((rank, candidate)) = reuse {
        return chosen(candidate, stay, rank);
    }
    let bound = mean * settings.load_factor + settings.load_slack;
    let below = ranked().find(|(_, c)| c.load + 1.0 <= bound);
    let (rank, candidate) = below
        .or_else(|| ranked().min_by(least_loaded))
        .unwrap_or((0, &order[0]));
    chosen(candidate, bound, rank)
}

fn by_expected_wait(
    open: &[Candidate<'_>],
    settings: &DispatchSettings,
    tie: u64,
    now: Instant,
) -> Choice {
    let latencies = open.iter().map(|c| c.target.health.latency_s());
    let best_s = latencies.fold(f64::INFINITY, f64::min);
    let wait = |c: &Candidate<'_>| {
        let remote = if c.target.is_local {
            0.0
        } else {
            settings.remote_penalty.as_secs_f64()
        };
        (c.load + 1.0) * c.target.health.expected_latency_s(best_s, settings, now) + remote
    };
    let rank = (0..open.len()).min_by(|&a, &b| {
        let ties = |i: usize| mix64(tie ^ open[i].target.hash);
        wait(&open[a])
            .total_cmp(&wait(&open[b]))
            .then(ties(a).cmp(&ties(b)))
    });
    let best = &open[rank.unwrap_or(0)];
    chosen(best, f64::INFINITY, 0)
}

fn chosen(candidate: &Candidate<'_>, bound: f64, rank: usize) -> Choice {
    Choice {
        name: candidate.name.clone(),
        start: candidate.target.start,
        address: candidate.target.address,
        load: candidate.load,
        bound,
        copy_from: None,
        is_cached: false,
        rank,
    }
}
