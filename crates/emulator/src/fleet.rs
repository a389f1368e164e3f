//! A fleet of routers in front of engines.
//!
//! Each router is a [`Dispatcher`] that knows the loads of the last report period and the
//! prefixes that others reported. Requests arrive at random routers with a given rate.

use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    CachedPrefix, ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, LoadReport, Outcome,
    PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_types::{MAX_TIME, Rng, time_from_s};

use crate::engine::{Engine, Prefix, PrefixSource, RouterIndex};

/// Name of the emulated service.
const SERVICE: &str = "chat";
/// Attempts of a request after which it counts as refused.
const MAX_ATTEMPTS: u32 = 3;
/// Tokens of a prefix.
const PREFIX_TOKENS: u64 = 1_000;
/// Latency that answers report to the dispatchers.
const LATENCY: Duration = Duration::from_millis(100);

/// Size of a fleet and the load on it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Requests that may queue at an engine before it refuses further ones.
    pub max_queue: u32,
    /// Number of prefixes. Those with low numbers are more popular.
    pub prefixes: u64,
    /// Mean time that a request runs, in seconds.
    pub mean_service_s: f64,
    /// Additional time that a request runs when its prefix has to be processed.
    pub prefix_time: Duration,
    /// Requests per second during the warm-up.
    pub warm_up_rate_per_s: f64,
    /// Requests per second after the warm-up.
    pub rate_per_s: f64,
    /// Share of the requests after the warm-up that have prefix 0.
    pub hot_share: f64,
    /// Share of the requests that arrive at the first router in addition to its equal
    /// share.
    pub skew: f64,
    /// Number of engines, from index 0, that crash at the end of the warm-up.
    pub crashed: usize,
    /// Time between two exchanges of loads; received totals are one period old.
    pub load_report_period: Duration,
    /// Time between two exchanges of cached prefixes.
    pub prefix_report_period: Duration,
    /// Time in which the routers learn where prefixes are cached; not counted.
    pub warm_up: Duration,
    /// Length of the run, with the warm-up.
    pub length: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            routers: 30,
            engines: 60,
            slots: 24,
            max_queue: 100,
            prefixes: 40,
            mean_service_s: 0.5,
            prefix_time: Duration::ZERO,
            warm_up_rate_per_s: 500.0,
            rate_per_s: 500.0,
            hot_share: 0.0,
            skew: 0.0,
            crashed: 0,
            load_report_period: Duration::from_millis(250),
            prefix_report_period: Duration::from_millis(100),
            warm_up: Duration::from_millis(1_500),
            length: Duration::from_millis(6_500),
            seed: 1,
        }
    }
}

impl FleetSettings {
    /// Returns the rate that uses this share of all slots, in requests per second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "fleets have few engines")]
    pub fn rate_for_share(&self, share_of_capacity: f64) -> f64 {
        share_of_capacity * self.engines as f64 * f64::from(self.slots) / self.mean_service_s
    }
}

/// Counts of a run after its warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Attempts sent to an engine.
    pub sent: u64,
    /// Attempts sent to an engine with a load above twice the mean plus three.
    pub above_bound: u64,
    /// Attempts that an engine with a full queue refused.
    pub shed: u64,
    /// Requests refused by their router, or failed at three engines.
    pub refused: u64,
    /// Of [`Self::refused`], those refused while more than half of all slots were free.
    pub refused_with_room: u64,
    /// Requests that ended.
    pub finished: u64,
    /// Attempts for which the engine copied the prefix from another engine.
    pub copied: u64,
    /// Attempts for which the engine processed the prefix.
    pub processed: u64,
}

/// A running request; the maximum is the one that ends first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends_ms: std::cmp::Reverse<u64>,
    router: RouterIndex,
    engine: usize,
}

/// An emulated fleet.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    start: Instant,
    rng: Rng,
    routers: Vec<Dispatcher>,
    engine_indices: BTreeMap<String, usize>,
    engines: Vec<Engine>,
    running: BinaryHeap<Running>,
    /// Choices of the requests in flight, by router and engine.
    choices: BTreeMap<(RouterIndex, usize), Vec<ChosenTarget>>,
    /// Loads reported in the current period, summed over the routers.
    totals: BTreeMap<u64, u32>,
    counts: Counts,
}

impl Fleet {
    /// Creates a fleet without requests and with empty caches.
    #[must_use]
    pub fn new(settings: FleetSettings) -> Self {
        let start = Instant::now();
        let engines: Vec<Announcement> = (0..settings.engines)
            .map(|index| announcement(index, settings.slots))
            .collect();
        let usable: Vec<&Announcement> = engines.iter().collect();
        let router = |index: usize| {
            let seed = to_u64(index) + settings.seed * 1_000;
            let mut router = Dispatcher::new(DispatchSettings::default(), "north", seed);
            router.set_router_count(u32::try_from(settings.routers).unwrap_or(u32::MAX));
            router.update(&usable, &[], start);
            router
        };
        Self {
            start,
            rng: Rng::new(settings.seed),
            routers: (0..settings.routers).map(router).collect(),
            engine_indices: (0..settings.engines)
                .map(|index| (engine_name(index), index))
                .collect(),
            engines: vec![Engine::default(); settings.engines],
            running: BinaryHeap::new(),
            choices: BTreeMap::new(),
            totals: BTreeMap::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Runs to the end and returns the counts after the warm-up.
    #[must_use]
    pub fn run(mut self) -> Counts {
        let warm_up_ms = to_ms(self.settings.warm_up);
        let load_report_ms = to_ms(self.settings.load_report_period);
        let prefix_report_ms = to_ms(self.settings.prefix_report_period);
        for now_ms in 0..to_ms(self.settings.length) {
            if now_ms == warm_up_ms {
                self.counts = Counts::default();
            }
            self.finish_requests(now_ms);
            if now_ms % load_report_ms == 0 {
                self.exchange_totals(now_ms);
            }
            if now_ms % prefix_report_ms == 0 {
                self.exchange_prefixes(now_ms);
            }
            let rate_per_s = if now_ms < warm_up_ms {
                self.settings.warm_up_rate_per_s
            } else {
                self.settings.rate_per_s
            };
            let mut arrivals = rate_per_s / 1_000.0;
            while unit(&mut self.rng) < arrivals {
                arrivals -= 1.0;
                self.handle_arrival(now_ms, now_ms >= warm_up_ms);
            }
        }
        self.counts
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn finish_requests(&mut self, now_ms: u64) {
        while self.running.peek().is_some_and(|r| r.ends_ms.0 <= now_ms) {
            let Some(Running { router, engine, .. }) = self.running.pop() else {
                return;
            };
            self.engines[engine].running -= 1;
            if let Some((next, service_ms)) = self.engines[engine].waiting.pop_front() {
                self.start_request(next, engine, now_ms, service_ms);
            }
            self.counts.finished += 1;
            let Some(choice) = self.choices.get_mut(&(router, engine)).and_then(Vec::pop) else {
                continue;
            };
            let now = self.at(now_ms);
            let state = &self.engines[engine];
            let report = LoadReport {
                running: state.running,
                waiting: state.load() - state.running,
                slots: self.settings.slots,
            };
            let outcome = Outcome::Answered { latency: LATENCY };
            self.routers[router].record_load_report(SERVICE, &choice, report, now);
            self.routers[router].finish(SERVICE, &choice, outcome, now);
        }
    }

    fn exchange_totals(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let totals = std::mem::take(&mut self.totals);
        for router in &mut self.routers {
            router.apply_load_totals(&totals, now);
            for (cache, count) in router.collect_own_loads(now) {
                *self.totals.entry(cache).or_default() += count;
            }
        }
    }

    fn exchange_prefixes(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let new_prefixes: Vec<CachedPrefix> = self
            .routers
            .iter_mut()
            .flat_map(Dispatcher::take_new_prefixes)
            .collect();
        for router in &mut self.routers {
            router.add_cached_prefixes(new_prefixes.iter().copied(), now);
        }
    }

    fn handle_arrival(&mut self, now_ms: u64, after_warm_up: bool) {
        self.counts.offered += 1;
        let router = if unit(&mut self.rng) < self.settings.skew {
            0
        } else {
            self.rng.index(self.settings.routers)
        };
        let prefix = self.next_prefix(after_warm_up);
        let part = |hash| PromptPart {
            hash,
            tokens: PREFIX_TOKENS,
        };
        let prompt = [part(prefix), part(1_000_000 + self.counts.offered)];
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let request = DispatchRequest {
                service: SERVICE,
                software: None,
                prompt: &prompt,
                repeatable: true,
                tried: &tried,
                max_in_flight_per_target: 1_000,
                cold_rate: None,
            };
            let now = self.at(now_ms);
            let Ok(choice) = self.routers[router].choose(&request, now) else {
                break;
            };
            let engine = self.engine_indices[&choice.name];
            let outcome = if after_warm_up && engine < self.settings.crashed {
                Outcome::Unreachable
            } else {
                self.count_sent(engine);
                if self.engines[engine].load() < self.settings.slots + self.settings.max_queue {
                    return self.take_request(router, engine, prefix, choice, now_ms);
                }
                self.counts.shed += 1;
                Outcome::Full
            };
            self.routers[router].finish(SERVICE, &choice, outcome, now);
            tried.push(choice.name);
        }
        self.counts.refused += 1;
        let alive = &self.engines[self.settings.crashed..];
        let used: u32 = alive.iter().map(Engine::load).sum();
        let slots = to_u64(alive.len()) * u64::from(self.settings.slots);
        self.counts.refused_with_room += u64::from(u64::from(used) * 2 < slots);
    }

    /// Returns a prefix; those with low numbers are more popular.
    fn next_prefix(&mut self, after_warm_up: bool) -> Prefix {
        if after_warm_up && unit(&mut self.rng) < self.settings.hot_share {
            return 0;
        }
        let prefixes = self.settings.prefixes;
        self.rng.below(prefixes).min(self.rng.below(prefixes))
    }

    fn take_request(
        &mut self,
        router: RouterIndex,
        engine: usize,
        prefix: Prefix,
        choice: ChosenTarget,
        now_ms: u64,
    ) {
        let can_copy = choice
            .copy_from
            .and_then(engine_index)
            .is_some_and(|source| self.engines[source].has_cached(prefix));
        let mean_s = self.settings.mean_service_s;
        let mut duration =
            time_from_s(-mean_s * (1.0 - unit(&mut self.rng)).ln()).unwrap_or(MAX_TIME);
        match self.engines[engine].load_prefix(prefix, can_copy) {
            PrefixSource::Cache => {}
            PrefixSource::Copy => self.counts.copied += 1,
            PrefixSource::Processed => {
                self.counts.processed += 1;
                duration += self.settings.prefix_time;
            }
        }
        self.choices
            .entry((router, engine))
            .or_default()
            .push(choice);
        let service_ms = to_ms(duration);
        if self.engines[engine].running < self.settings.slots {
            self.start_request(router, engine, now_ms, service_ms);
        } else {
            self.engines[engine].waiting.push_back((router, service_ms));
        }
    }

    /// Starts a request at an engine with a free slot.
    fn start_request(&mut self, router: RouterIndex, engine: usize, now_ms: u64, service_ms: u64) {
        self.engines[engine].running += 1;
        self.running.push(Running {
            ends_ms: std::cmp::Reverse(now_ms + 1 + service_ms),
            router,
            engine,
        });
    }

    fn count_sent(&mut self, engine: usize) {
        self.counts.sent += 1;
        let alive = &self.engines[self.settings.crashed..];
        let total: u32 = alive.iter().map(Engine::load).sum();
        #[expect(clippy::cast_precision_loss, reason = "fleets have few engines")]
        let mean = f64::from(total) / alive.len() as f64;
        if f64::from(self.engines[engine].load()) > 2.0 * mean + 3.0 {
            self.counts.above_bound += 1;
        }
    }
}

fn engine_name(index: usize) -> String {
    format!("e{index}")
}

fn announcement(index: usize, slots: u32) -> Announcement {
    Announcement {
        name: engine_name(index),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: SERVICE.to_owned(),
        software: "v1".to_owned(),
        address: engine_address(index),
        data_centre: "north".to_owned(),
        slots,
        warm_up: Duration::ZERO,
    }
}

/// Port of the first engine; each engine has its own.
const FIRST_PORT: usize = 10_000;

fn engine_address(index: usize) -> SocketAddr {
    let port = u16::try_from(FIRST_PORT + index).unwrap_or(u16::MAX);
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn engine_index(address: SocketAddr) -> Option<usize> {
    usize::from(address.port()).checked_sub(FIRST_PORT)
}

/// Returns a random number in [0, 1).
fn unit(rng: &mut Rng) -> f64 {
    const STEPS: u32 = 1 << 30;
    f64::from(u32::try_from(rng.below(STEPS.into())).unwrap_or(0)) / f64::from(STEPS)
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
