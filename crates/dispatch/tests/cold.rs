//! Targets that are cold: all routers together send them no more than they bear, however many
//! routers and cold targets there are, and whatever the prompts are; and those that are warm
//! before the others are not overloaded instead.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_dispatch::{
    ChosenTarget, DispatchRequest, DispatchSettings, Dispatcher, Outcome, PromptPart,
};
use bamboospur_registry::{Announcement, Phase, StartTime};
use bamboospur_types::{RequestRate, Rng};

const STEP: Duration = Duration::from_millis(5);
/// Time between two exchanges of loads.
const LOADS_STEPS: usize = 50;
/// Time that a request takes.
const DURATION_STEPS: usize = 100;
const COLD_PER_S: f64 = 9.0;
/// Requests of one second that a cold target bears at most.
const MAX_PER_S: usize = 18;
/// Deployments may send this part of the requests to targets above the load bound.
const MAX_SHARE_ABOVE_BOUND: f64 = 0.03;

/// Fleet of routers that send prompts to engines.
struct Fleet {
    routers: Vec<Dispatcher>,
    targets: Vec<Announcement>,
    /// Requests in progress by the step of their end.
    running: BTreeMap<usize, Vec<(usize, ChosenTarget)>>,
    /// Requests in progress by target.
    loads: BTreeMap<String, usize>,
    /// Steps at which requests were sent, by target.
    sent: BTreeMap<String, Vec<usize>>,
    refused: usize,
    /// Requests sent to a target with a load above twice the mean plus three.
    above_bound: usize,
    step: usize,
    start: Instant,
    rng: Rng,
    requests_per_s: u64,
    /// Prompts that callers choose among evenly; 1 is a crowd with one prompt.
    prompts: u64,
}

fn target(index: usize) -> Announcement {
    Announcement {
        name: format!("t{index}"),
        start: StartTime(1),
        sequence: 1,
        phase: Phase::Ready,
        service: "chat".to_owned(),
        software: "v1".to_owned(),
        address: format!("10.0.{}.{}:80", index / 250, index % 250)
            .parse()
            .expect("an address"),
        data_centre: ["north", "south", "west"][index % 3].to_owned(),
        slots: 64,
        warm_up: Duration::ZERO,
    }
}

impl Fleet {
    fn new(routers: usize, targets: usize, requests_per_s: u64, prompts: u64) -> Self {
        let dispatcher = |seed| {
            let settings = DispatchSettings::default();
            let mut dispatcher = Dispatcher::new(settings, "north", seed);
            dispatcher.set_router_count(u32::try_from(routers).expect("a number of routers"));
            dispatcher
        };
        let mut fleet = Self {
            routers: (1..=routers as u64).map(dispatcher).collect(),
            targets: Vec::new(),
            running: BTreeMap::new(),
            loads: BTreeMap::new(),
            sent: BTreeMap::new(),
            refused: 0,
            above_bound: 0,
            step: 0,
            start: Instant::now(),
            rng: Rng::new(7),
            requests_per_s,
            prompts,
        };
        fleet.add((0..targets).map(target).collect());
        fleet
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("a short run")
    }

    fn add(&mut self, targets: Vec<Announcement>) {
        let now = self.now();
        self.targets.extend(targets);
        let all: Vec<&Announcement> = self.targets.iter().collect();
        for router in &mut self.routers {
            router.update(&all, &[], now);
        }
    }

    /// Makes targets cold for a time, as the routers hear.
    fn make_cold(&mut self, names: &[String], cold_s: u64) {
        let now = self.now();
        let until = now + Duration::from_secs(cold_s);
        for target in self.targets.iter().filter(|t| names.contains(&t.name)) {
            for router in &mut self.routers {
                router.record_cold(target, until, now);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step += 1;
            let now = self.now();
            for (router, choice) in self.running.remove(&self.step).unwrap_or_default() {
                let answered = Outcome::Answered {
                    latency: Duration::from_millis(50),
                };
                self.routers[router].finish("chat", &choice, answered, now);
                *self.loads.entry(choice.name).or_default() -= 1;
            }
            if self.step.is_multiple_of(LOADS_STEPS) {
                self.exchange_loads(now);
            }
            let steps_per_s = 200;
            let arriving = self.requests_per_s / steps_per_s
                + u64::from(self.rng.below(steps_per_s) < self.requests_per_s % steps_per_s);
            for _ in 0..arriving {
                self.send(now);
            }
        }
    }

    fn send(&mut self, now: Instant) {
        let router = self.rng.index(self.routers.len());
        let part = |hash| PromptPart { hash, tokens: 500 };
        let shared = 1 + self.rng.below(self.prompts);
        let request = DispatchRequest {
            service: "chat",
            prompt: &[part(shared), part(self.rng.next_u64())],
            repeatable: true,
            software: None,
            tried: &[],
            max_in_flight_per_target: 1_000,
            cold_rate: RequestRate::from_per_s(COLD_PER_S),
        };
        let Ok(choice) = self.routers[router].choose(&request, now) else {
            self.refused += 1;
            return;
        };
        self.above_bound += usize::from(self.is_above_bound(&choice.name));
        *self.loads.entry(choice.name.clone()).or_default() += 1;
        self.sent
            .entry(choice.name.clone())
            .or_default()
            .push(self.step);
        let ends = self.running.entry(self.step + DURATION_STEPS).or_default();
        ends.push((router, choice));
    }

    fn is_above_bound(&self, name: &str) -> bool {
        let load = self.loads.get(name).copied().unwrap_or(0);
        let (all, targets) = (self.loads.values().sum::<usize>(), self.targets.len());
        load * targets > all * 2 + targets * 3
    }

    fn sent_count(&self) -> usize {
        self.sent.values().map(Vec::len).sum()
    }

    fn exchange_loads(&mut self, now: Instant) {
        let mut totals = BTreeMap::new();
        for router in &mut self.routers {
            for (id, count) in router.collect_own_loads(now) {
                *totals.entry(id).or_insert(0) += count;
            }
        }
        for router in &mut self.routers {
            router.apply_load_totals(&totals, now);
        }
    }

    /// Returns the most requests that one of the targets got in a second since a step.
    fn most_per_s(&self, names: &[String], since: usize) -> usize {
        let steps = names.iter().filter_map(|name| self.sent.get(name));
        let most = steps.map(|steps| {
            let steps: Vec<usize> = steps.iter().copied().filter(|&s| s >= since).collect();
            let in_window = |first: &usize| {
                let window = *first..first + 200;
                steps.iter().filter(|s| window.contains(s)).count()
            };
            steps.iter().map(in_window).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }
}

fn names(targets: &[Announcement]) -> Vec<String> {
    targets.iter().map(|target| target.name.clone()).collect()
}

/// Runs a fleet whose `cold` targets become cold for five seconds, after some calm seconds, and
/// returns the most requests that one of them got in a second.
fn most_at_cold_targets(fleet: &mut Fleet, cold: &[String]) -> usize {
    fleet.run(Duration::from_secs(3));
    let since = fleet.step;
    fleet.make_cold(cold, 5);
    fleet.run(Duration::from_secs(5));
    fleet.most_per_s(cold, since)
}

#[test]
fn a_cold_target_gets_what_it_bears() {
    for (routers, targets, cold, prompts) in [
        (72, 90, 1, 1_000),
        (72, 90, 27, 1_000),
        (72, 90, 30, 1_000),
        (72, 90, 90, 1_000),
        (7, 9, 3, 100),
        (72, 90, 30, 1),
    ] {
        let mut fleet = Fleet::new(routers, targets, 1_000, prompts);
        let cold = names(&fleet.targets[..cold]);
        let most = most_at_cold_targets(&mut fleet, &cold);
        assert!(
            most <= MAX_PER_S,
            "{most} requests in a second at one of {} cold targets of {targets}, {prompts} prompts",
            cold.len()
        );
    }
}

#[test]
fn added_targets_are_used_by_steps() {
    let mut fleet = Fleet::new(72, 60, 1_000, 300);
    fleet.run(Duration::from_secs(3));
    let added: Vec<Announcement> = (60..90).map(target).collect();
    let added_names = names(&added);
    let since = fleet.step;
    fleet.add(added);
    fleet.make_cold(&added_names, 3);
    fleet.run(Duration::from_secs(3));
    let most = fleet.most_per_s(&added_names, since);
    assert!(most <= MAX_PER_S, "{most} requests in a second");
    assert_eq!(fleet.refused, 0);
    let sent: usize = added_names
        .iter()
        .filter_map(|name| fleet.sent.get(name))
        .map(Vec::len)
        .sum();
    assert!(sent > 0, "cold targets are not used at all");
}

#[test]
fn routers_with_other_numbers_of_routers_do_not_exceed_the_bound() {
    let mut fleet = Fleet::new(72, 90, 1_000, 300);
    for (index, router) in fleet.routers.iter_mut().enumerate() {
        // Some know only of the routers of their data centre.
        if index % 3 == 0 {
            router.set_router_count(24);
        }
    }
    let cold = names(&fleet.targets[..30]);
    let most = most_at_cold_targets(&mut fleet, &cold);
    assert!(most <= MAX_PER_S, "{most} requests in a second");
}

#[test]
fn the_first_targets_of_a_release_that_are_warm_are_not_overloaded() {
    for warm in [1, 4, 10, 30] {
        let mut fleet = Fleet::new(72, 90, 600, 300);
        let (first, others) = fleet.targets.split_at(warm);
        let (first, others) = (names(first), names(others));
        fleet.make_cold(&first, 1);
        fleet.make_cold(&others, 4);
        fleet.run(Duration::from_secs(4));
        let (sent, above) = (fleet.sent_count(), fleet.above_bound);
        println!(
            "{warm} warm: sent {sent}, above {above}, refused {}",
            fleet.refused
        );
        #[expect(clippy::cast_precision_loss, reason = "few requests are sent")]
        let share = above as f64 / sent as f64;
        assert!(
            share <= MAX_SHARE_ABOVE_BOUND,
            "{above} of {sent} requests above the bound, {warm} warm targets, {} refused",
            fleet.refused
        );
    }
}
