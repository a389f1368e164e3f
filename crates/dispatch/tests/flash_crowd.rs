//! A flash crowd at many routers: together they send more than the engines can run,
//! and each knows the loads of some hundred milliseconds ago.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    CachedPrefix, ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, LoadReport, Outcome,
    PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_types::Rng;

const ROUTERS: usize = 30;
const ENGINES: usize = 60;
const SLOTS: u32 = 24;
/// Requests that wait at an engine before it refuses further ones.
const QUEUE: u32 = 100;
const PROMPTS: u64 = 40;
const SERVICE_S: f64 = 0.5;
/// Loads are told and totals heard this often, and are one period old.
const TOTALS_MS: u64 = 250;
const NEWS_MS: u64 = 100;
/// Time in which the routers learn where prompts are.
const WARM_UP_MS: u64 = 1_500;
const LENGTH_MS: u64 = 6_500;

/// A request that runs, ordered by its end.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends_ms: std::cmp::Reverse<u64>,
    router: usize,
    engine: usize,
}

/// An engine: it runs as many requests as it has slots, and the others wait.
#[derive(Clone, Default)]
struct Engine {
    running: u32,
    /// Routers whose requests wait.
    waiting: VecDeque<usize>,
}

impl Engine {
    fn held(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).expect("few")
    }
}

#[derive(Default)]
struct Result {
    /// Sent to an engine with more than twice the mean and three.
    above_bound: u64,
    sent: u64,
    shed: u64,
    refused: u64,
    finished: u64,
    offered: u64,
}

struct Crowd {
    start: Instant,
    rng: Rng,
    routers: Vec<Dispatcher>,
    names: BTreeMap<String, usize>,
    engines: Vec<Engine>,
    running: BinaryHeap<Running>,
    choices: BTreeMap<(usize, usize), Vec<ChosenTarget>>,
    totals: BTreeMap<u64, u32>,
    /// Share of the requests that come to the first router, besides its usual one.
    skew: f64,
    /// Engines that crash when the crowd comes.
    crashed: usize,
    result: Result,
}

fn engine(index: usize) -> Announcement {
    Announcement {
        name: format!("e{index}"),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: "chat".to_owned(),
        address: format!("10.0.0.{}:80", index + 1)
            .parse()
            .expect("an address"),
        data_centre: "north".to_owned(),
        slots: SLOTS,
        warm_up: Duration::ZERO,
    }
}

impl Crowd {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let engines: Vec<Announcement> = (0..ENGINES).map(engine).collect();
        let usable: Vec<&Announcement> = engines.iter().collect();
        let router = |index: usize| {
            let seed = u64::try_from(index).expect("small") + seed * 1_000;
            let mut router = Dispatcher::new(DispatchSettings::default(), "north", seed);
            router.set_routers(u32::try_from(ROUTERS).expect("small"));
            router.update(&usable, &[], start);
            router
        };
        Self {
            start,
            rng: Rng::new(seed),
            routers: (0..ROUTERS).map(router).collect(),
            names: (0..ENGINES).map(|i| (format!("e{i}"), i)).collect(),
            engines: vec![Engine::default(); ENGINES],
            running: BinaryHeap::new(),
            choices: BTreeMap::new(),
            totals: BTreeMap::new(),
            skew: 0.0,
            crashed: 0,
            result: Result::default(),
        }
    }

    /// Plays requests that arrive at one rate a second before the crowd comes, and at
    /// another one then.
    fn play(mut self, before: f64, crowd: f64) -> Result {
        for now_ms in 0..LENGTH_MS {
            if now_ms == WARM_UP_MS {
                self.result = Result::default();
            }
            self.finish(now_ms);
            if now_ms % TOTALS_MS == 0 {
                self.exchange_totals(now_ms);
            }
            if now_ms % NEWS_MS == 0 {
                self.exchange_news(now_ms);
            }
            let rate = if now_ms < WARM_UP_MS { before } else { crowd };
            let mut arrivals = rate / 1_000.0;
            while unit(&mut self.rng) < arrivals {
                arrivals -= 1.0;
                self.arrive(now_ms);
            }
        }
        self.result
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn finish(&mut self, now_ms: u64) {
        while self.running.peek().is_some_and(|r| r.ends_ms.0 <= now_ms) {
            let Some(Running { router, engine, .. }) = self.running.pop() else {
                return;
            };
            self.engines[engine].running -= 1;
            if let Some(next) = self.engines[engine].waiting.pop_front() {
                self.run(next, engine, now_ms);
            }
            self.result.finished += 1;
            let choices = self.choices.get_mut(&(router, engine)).expect("choices");
            let choice = choices.pop().expect("a choice");
            let latency = Duration::from_millis(100);
            let now = self.at(now_ms);
            let held = &self.engines[engine];
            let report = LoadReport {
                running: held.running,
                waiting: held.held() - held.running,
                slots: SLOTS,
            };
            self.routers[router].record_load_report("chat", &choice, report, now);
            self.routers[router].finish("chat", &choice, Outcome::Answered { latency }, now);
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

    fn exchange_news(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let news: Vec<CachedPrefix> = self
            .routers
            .iter_mut()
            .flat_map(Dispatcher::take_new_prefixes)
            .collect();
        for router in &mut self.routers {
            router.add_cached_prefixes(news.iter().copied(), now);
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        self.result.offered += 1;
        let now = self.at(now_ms);
        let router = if unit(&mut self.rng) < self.skew {
            0
        } else {
            self.rng.index(ROUTERS)
        };
        // A few prompts get most of the requests.
        let popular = self.rng.below(PROMPTS).min(self.rng.below(PROMPTS));
        let part = |hash| PromptPart {
            hash,
            tokens: 1_000,
        };
        let prompt = [part(popular), part(1_000_000 + self.result.offered)];
        let mut tried = Vec::new();
        for _ in 0..3 {
            let demand = DispatchRequest {
                service: "chat",
                prompt: &prompt,
                repeatable: true,
                tried: &tried,
                connection_share: 1_000,
            };
            let Ok(choice) = self.routers[router].choose(&demand, now) else {
                self.result.refused += 1;
                return;
            };
            let engine = self.names[&choice.name];
            if engine < self.crashed && now_ms >= WARM_UP_MS {
                self.routers[router].finish("chat", &choice, Outcome::Unreachable, now);
                tried.push(choice.name);
                continue;
            }
            self.count_arrival(engine);
            if self.engines[engine].held() >= SLOTS + QUEUE {
                self.result.shed += 1;
                self.routers[router].finish("chat", &choice, Outcome::Full, now);
                tried.push(choice.name);
                continue;
            }
            self.choices
                .entry((router, engine))
                .or_default()
                .push(choice);
            if self.engines[engine].running < SLOTS {
                self.run(router, engine, now_ms);
            } else {
                self.engines[engine].waiting.push_back(router);
            }
            return;
        }
        self.result.refused += 1;
    }

    /// Begins a request at an engine with a free slot.
    fn run(&mut self, router: usize, engine: usize, now_ms: u64) {
        self.engines[engine].running += 1;
        let service_ms = -SERVICE_S * 1_000.0 * (1.0 - unit(&mut self.rng)).ln();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let ends_ms = now_ms + 1 + service_ms as u64;
        self.running.push(Running {
            ends_ms: std::cmp::Reverse(ends_ms),
            router,
            engine,
        });
    }

    fn count_arrival(&mut self, engine: usize) {
        self.result.sent += 1;
        let up = &self.engines[self.crashed..];
        let held: u32 = up.iter().map(Engine::held).sum();
        #[expect(clippy::cast_precision_loss)]
        let mean = f64::from(held) / up.len() as f64;
        if f64::from(self.engines[engine].held()) > 2.0 * mean + 3.0 {
            self.result.above_bound += 1;
        }
    }
}

/// A number in [0, 1).
fn unit(rng: &mut Rng) -> f64 {
    const STEPS: u32 = 1 << 30;
    f64::from(u32::try_from(rng.below(STEPS.into())).expect("small")) / f64::from(STEPS)
}

fn rate(share_of_capacity: f64) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let engines = ENGINES as f64;
    share_of_capacity * engines * f64::from(SLOTS) / SERVICE_S
}

#[expect(clippy::cast_precision_loss)]
fn share(part: u64, of: u64) -> f64 {
    part as f64 / of as f64
}

fn check(share_of_capacity: f64, skew: f64, crashed: usize) -> Result {
    // The last seed is the one that the caller looks at further.
    play(share_of_capacity, skew, crashed, 2);
    play(share_of_capacity, skew, crashed, 3);
    play(share_of_capacity, skew, crashed, 1)
}

fn play(share_of_capacity: f64, skew: f64, crashed: usize, seed: u64) -> Result {
    let before = rate(share_of_capacity.min(0.2));
    let mut crowd = Crowd::new(seed);
    crowd.skew = skew;
    crowd.crashed = crashed;
    let result = crowd.play(before, rate(share_of_capacity));
    let Result {
        offered,
        sent,
        above_bound,
        shed,
        refused,
        finished,
        ..
    } = result;
    println!(
        "{share_of_capacity} of capacity: {offered} offered, {sent} sent, {above_bound} above the \
         bound, {shed} shed, {refused} refused, {finished} finished"
    );
    // The deployments allow 3 in 100 above the bound, and one repeat for each five
    // requests.
    assert!(share(above_bound, sent) < 0.03, "{above_bound} of {sent}");
    assert!(share(shed, offered) < 0.2, "{shed} of {offered}");
    result
}

#[test]
fn a_light_load_is_served_whole() {
    let result = check(0.3, 0.0, 0);
    assert!(share(result.refused, result.offered) < 0.01);
}

#[test]
fn a_crowd_near_capacity_is_spread() {
    let result = check(0.8, 0.0, 0);
    assert!(share(result.refused, result.offered) < 0.1);
}

#[test]
fn a_router_with_many_callers_refuses_no_more_than_others() {
    let result = check(0.6, 0.3, 0);
    assert!(share(result.refused, result.offered) < 0.01);
}

#[test]
fn a_crowd_beyond_capacity_keeps_the_engines_busy_and_below_the_bound() {
    let result = check(1.8, 0.0, 0);
    let capacity = rate(1.0) * 5.0;
    #[expect(clippy::cast_precision_loss)]
    let used = result.finished as f64 / capacity;
    assert!(used > 0.8, "{used}");
}

#[test]
fn engines_that_stay_up_when_most_crash_are_not_buried() {
    let result = check(0.9, 0.0, 36);
    let held = f64::from(SLOTS + QUEUE / 2) * 24.0;
    #[expect(clippy::cast_precision_loss)]
    let left = (result.sent - result.finished) as f64;
    assert!(left < held, "{left} of {held}");
}
