//! Targets of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_placement::{hash_node_id, rendezvous_score};
use bamboospur_registry::{Announcement, StartTime, TargetName};
use bamboospur_types::{mix64, stable_id};

use crate::arrivals::{Arrivals, FleetRate, level, weighted};
use crate::cache_map::{CacheId, SharedHash};
use crate::demand::{ChooseError, ChosenTarget, DispatchRequest, PromptPart};
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
    pub start: StartTime,
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
            hash: hash_node_id(stable_id(&news.name)),
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
    /// Requests of this router.
    pub arrivals: Arrivals,
    /// Requests of all routers.
    pub fleet_rate: FleetRate,
    /// Smoothed time that a request takes, in seconds.
    pub duration_s: f64,
}

/// What is known besides the targets.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    pub settings: &'a DispatchSettings,
    /// Routers that send to the same targets, this one included.
    pub routers: u32,
    /// A random number.
    pub random: u64,
    pub now: Instant,
}

impl Situation<'_> {
    /// Returns a number in [0, 1).
    #[expect(clippy::cast_precision_loss, reason = "53 bits are kept on purpose")]
    fn unit(&self, salt: u64) -> f64 {
        (mix64(self.random ^ salt) >> 11) as f64 / (1_u64 << 53) as f64
    }
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
        demand: &DispatchRequest<'_>,
        caches: &[CacheId],
        alike: Arrivals,
        situation: Situation<'_>,
    ) -> Result<ChosenTarget, ChooseError> {
        let Situation { settings, now, .. } = situation;
        let loads = self.loads(settings, now);
        let all: Vec<Candidate<'_>> = self
            .targets
            .iter()
            .zip(&loads)
            .filter(|((name, _), _)| !demand.tried.contains(name))
            .map(|((name, target), &load)| Candidate { name, target, load })
            .collect();
        if all.is_empty() {
            return Err(ChooseError::NoTarget);
        }
        let mean = mean(loads.iter().copied());
        let all = self.reachable(all, demand, settings, now);
        let healthy = self.healthy(all, demand, settings, now);
        let share = demand.connection_share;
        let mut open = healthy;
        open.retain(|c| c.target.load.own < share && !c.target.health.is_full(now));
        let full = ChooseError::Full {
            available_in: self.room_in(demand),
        };
        if demand.prompt.is_empty() {
            if open.is_empty() {
                return Err(full);
            }
            return Ok(by_expected_wait(&open, settings, situation.random, now));
        }
        let prompt = Prompt {
            shared: shared_hash(demand.prompt),
            caches: caches.iter().copied().collect(),
            alike: self.others(alike, situation),
            arrivals: self.others(self.arrivals, situation) / count(&loads),
        };
        if is_half_taken(&open, settings) {
            let admitted = self.admitted_share(&open, situation);
            if admitted < 1.0 {
                return self
                    .by_room(&open, &prompt, admitted, situation)
                    .ok_or(full);
            }
        }
        open.retain(|c| has_place(c, settings));
        if open.is_empty() {
            return Err(full);
        }
        Ok(by_prompt(&open, &prompt, mean, situation))
    }

    /// Requests that all routers send for each one of this router.
    fn fleet_ratio(&self, situation: Situation<'_>) -> f64 {
        let memory = situation.settings.report_memory;
        self.fleet_rate
            .ratio(situation.routers, memory, situation.now)
    }

    /// Requests that other routers send before their loads are heard.
    fn others(&self, own: Arrivals, situation: Situation<'_>) -> f64 {
        let own = own.expected(situation.settings.report_age, situation.now);
        own * (self.fleet_ratio(situation) - 1.0)
    }

    /// Share of the requests that find a place until the loads of other routers are
    /// heard, when all routers admit that share.
    fn admitted_share(&self, open: &[Candidate<'_>], situation: Situation<'_>) -> f64 {
        let Situation { settings, now, .. } = situation;
        let room = open.iter().map(|c| self.room(c.target, c.load, settings));
        let arrivals = self.arrivals.expected(settings.report_age, now);
        room.sum::<f64>() / (arrivals * self.fleet_ratio(situation)).max(1.0)
    }

    /// Prompts that a target can take until the loads of other routers are heard, as
    /// some of those that it runs end in that time. The others wait.
    fn room(&self, target: &Target, load: f64, settings: &DispatchSettings) -> f64 {
        let time_s = settings.report_age.as_secs_f64();
        let ended = time_s / self.duration_s.max(time_s);
        let running = load.min(f64::from(target.slots));
        (places(target, settings) - load + running * ended).max(0.0)
    }

    /// Chooses a target when there are more prompts than places. Each one is chosen
    /// in proportion to its room: otherwise every router by itself fills the few
    /// targets that had room when their loads were told.
    fn by_room(
        &self,
        open: &[Candidate<'_>],
        prompt: &Prompt,
        admitted: f64,
        situation: Situation<'_>,
    ) -> Option<ChosenTarget> {
        if situation.unit(3) >= admitted {
            return None;
        }
        let settings = situation.settings;
        let room = |c: &Candidate<'_>| self.room(c.target, c.load, settings);
        let pick = |among: &[&Candidate<'_>]| {
            let weights: Vec<f64> = among.iter().map(|c| room(c)).collect();
            let picked = among[weighted(&weights, situation.unit(1))?];
            let bound = places(picked.target, settings);
            Some(chosen(picked, bound, 0, situation.now))
        };
        let all: Vec<&Candidate<'_>> = open.iter().collect();
        let warm = all.iter().copied();
        let warm: Vec<_> = warm
            .filter(|c| prompt.caches.contains(&c.target.cache))
            .collect();
        let warm_room: f64 = warm.iter().map(|c| room(c)).sum();
        let alike = (prompt.alike * admitted).max(1.0);
        let stays = situation.unit(2) * alike < warm_room;
        let reuse = if stays { pick(&warm) } else { None };
        reuse.or_else(|| pick(&all))
    }

    /// Leaves out targets that cannot be reached, unless none can.
    fn reachable<'a>(
        &self,
        all: Vec<Candidate<'a>>,
        demand: &DispatchRequest<'_>,
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
        demand: &DispatchRequest<'_>,
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
    fn room_in(&self, demand: &DispatchRequest<'_>) -> Duration {
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

#[expect(clippy::cast_precision_loss, reason = "a pool has few targets")]
fn count<T>(all: &[T]) -> f64 {
    all.len().max(1) as f64
}

/// Prompts that a target takes.
fn places(target: &Target, settings: &DispatchSettings) -> f64 {
    let slots = f64::from(target.slots);
    if slots < 1.0 {
        f64::INFINITY
    } else {
        (slots * settings.slots_factor).max(1.0)
    }
}

/// Whether half of the places are taken.
fn is_half_taken(open: &[Candidate<'_>], settings: &DispatchSettings) -> bool {
    let places: f64 = open.iter().map(|c| places(c.target, settings)).sum();
    open.iter().map(|c| c.load).sum::<f64>() * 2.0 > places
}

/// Whether a target can run another prompt without keeping it waiting.
fn has_place(candidate: &Candidate<'_>, settings: &DispatchSettings) -> bool {
    candidate.load + 1.0 <= places(candidate.target, settings)
}

/// A prompt that needs a target.
struct Prompt {
    shared: SharedHash,
    /// Targets that have read its shared parts.
    caches: BTreeSet<CacheId>,
    /// Requests with the same shared parts that other routers are about to send.
    alike: f64,
    /// Requests that other routers are about to send to each target.
    arrivals: f64,
}

/// Chooses a target that has read the prompt's shared parts. Those that the targets
/// cannot take below their bound go to the next ones in the prompt's order.
fn by_prompt(
    open: &[Candidate<'_>],
    prompt: &Prompt,
    mean: f64,
    situation: Situation<'_>,
) -> ChosenTarget {
    let settings = situation.settings;
    let score = |c: &Candidate<'_>| rendezvous_score(prompt.shared, c.target.hash, 1.0);
    let scored = open.iter().map(|candidate| (score(candidate), candidate));
    let mut order: Vec<(f64, &Candidate<'_>)> = scored.collect();
    order.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let ranked = || order.iter().map(|&(_, c)| c).enumerate();
    let pick = |among: &[(usize, &Candidate<'_>)], bound: f64| {
        let loads: Vec<f64> = among.iter().map(|(_, c)| c.load).collect();
        let arrivals = prompt.alike.max(prompt.arrivals * count(&loads));
        let picked = level(&loads, arrivals, situation.unit(1))?;
        let (rank, candidate) = among[picked];
        Some(chosen(candidate, bound, rank, situation.now))
    };
    let stay = mean * settings.stay_factor + settings.stay_slack;
    let warm = ranked().filter(|(_, c)| prompt.caches.contains(&c.target.cache));
    let warm: Vec<_> = warm.filter(|(_, c)| c.load + 1.0 <= stay).collect();
    let most = mean * settings.most_factor + settings.most_slack;
    let room: f64 = warm.iter().map(|(_, c)| most - c.load).sum();
    let stays = situation.unit(2) * prompt.alike.max(1.0) < room;
    let reuse = if stays { pick(&warm, stay) } else { None };
    if let Some(choice) = reuse {
        return choice;
    }
    let bound = mean * settings.load_factor + settings.load_slack;
    let below = ranked().filter(|(_, c)| c.load + 1.0 <= bound);
    let mut below: Vec<_> = below.collect();
    below.truncate(needed(&below, bound, prompt.alike - room));
    let any = || pick(&ranked().collect::<Vec<_>>(), bound);
    let choice = pick(&below, bound).or_else(any);
    choice.unwrap_or_else(|| chosen(&open[0], bound, 0, situation.now))
}

/// Number of the first targets that can take so many requests below a bound; one at
/// least.
fn needed(targets: &[(usize, &Candidate<'_>)], bound: f64, requests: f64) -> usize {
    let mut left = requests;
    let filled = targets.iter().take_while(|(_, c)| {
        left -= bound - c.load;
        left > 0.0
    });
    filled.count() + 1
}

fn by_expected_wait(
    open: &[Candidate<'_>],
    settings: &DispatchSettings,
    tie: u64,
    now: Instant,
) -> ChosenTarget {
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
    chosen(best, f64::INFINITY, 0, now)
}

fn chosen(candidate: &Candidate<'_>, bound: f64, rank: usize, now: Instant) -> ChosenTarget {
    ChosenTarget {
        name: candidate.name.clone(),
        start: candidate.target.start,
        address: candidate.target.address,
        load: candidate.load,
        bound,
        copy_from: None,
        is_cached: false,
        chosen_at: now,
        rank,
    }
}
