//! Drives one policy through the trace under a virtual clock.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bamboospur_placement::{CacheEventKind, Decision, PlacementMessage, PlacementRequest, Placer};
use bamboospur_types::mix64;

use super::churn::{Change, schedule};
use super::engine::Engine;
use super::policy::{Policy, Seen, least_reported, oracle};
use super::tally::Tally;
use super::trace::{Arrival, Random, Size};

pub const OFFER: u64 = 7;
/// Work of an engine at full batch, in tokens.
pub const CAPACITY_TOKENS: u64 = 90_000;

pub enum Event {
    Retry(Job),
    Deliver {
        to: usize,
        from: usize,
        message: PlacementMessage,
    },
    Finish(u64),
    Tick(usize),
    Alarm(usize),
    Second,
    Evicted {
        router: usize,
        target: usize,
        chat: u64,
    },
    Change(Change),
    Learn {
        router: usize,
        change: Change,
    },
}

#[derive(Clone)]
pub struct Job {
    pub arrival: Arrival,
    pub excluded: Vec<u64>,
    pub router: usize,
}

pub struct Running {
    pub target: usize,
    pub incarnation: u64,
    pub router: Option<usize>,
    pub ticket: u64,
    pub work: u64,
    pub job: Job,
}

pub struct World<'a> {
    pub size: &'a Size,
    pub policy: Policy,
    pub engines: Vec<Engine>,
    pub up: Vec<bool>,
    pub joined_us: Vec<u64>,
    pub target_centre: Vec<usize>,
    pub router_centre: Vec<usize>,
    pub target_ids: Vec<u64>,
    pub router_ids: Vec<u64>,
    indexes: HashMap<u64, usize>,
    pub placers: Vec<Option<Placer>>,
    pub known_routers: Vec<Vec<u64>>,
    queue: BTreeMap<(u64, u64), Event>,
    pub sequence: u64,
    pub waiting: HashMap<(usize, u64), (Job, u64)>,
    pub running: HashMap<u64, Running>,
    pub hints: HashMap<u64, u64>,
    turn: usize,
    pub random: Random,
    pub tally: Tally,
    pub now_us: u64,
    start: Instant,
}

/// Runs one policy and returns its sums.
pub fn simulate(size: &Size, arrivals: &[Arrival], policy: &Policy, seed: u64) -> Tally {
    let mut world = World::new(size, policy.clone(), seed);
    let mut next = 0;
    loop {
        let queued = world
            .queue
            .first_key_value()
            .map_or(u64::MAX, |(key, _)| key.0);
        let arrival = arrivals.get(next);
        if let Some(arrival) = arrival.filter(|arrival| arrival.at_us <= queued) {
            next += 1;
            world.now_us = arrival.at_us;
            let router = usize::from(arrival.router);
            world.arrive(Job {
                arrival: *arrival,
                excluded: Vec::new(),
                router,
            });
            continue;
        }
        if arrival.is_none() || queued == u64::MAX {
            break;
        }
        if let Some(((at_us, _), event)) = world.queue.pop_first() {
            world.now_us = at_us;
            world.take(event);
        }
    }
    world.tally.seconds = (size.seconds - size.warm_up_seconds) as f64;
    for placer in world.placers.iter().flatten() {
        world.tally.violations += placer.violations();
        world.tally.remembered = world.tally.remembered.max(placer.remembered_chats());
    }
    world.tally
}

impl<'a> World<'a> {
    fn new(size: &'a Size, policy: Policy, seed: u64) -> Self {
        let spread = |part: fn(&(usize, usize)) -> usize| -> Vec<usize> {
            let centres = size.centres.iter().enumerate();
            centres
                .flat_map(|(i, centre)| std::iter::repeat_n(i, part(centre)))
                .collect()
        };
        let (router_centre, target_centre) = (spread(|c| c.0), spread(|c| c.1));
        let (routers, targets) = (router_centre.len(), target_centre.len());
        let target_ids: Vec<u64> = (0..targets as u64).map(|i| mix64(i + 1)).collect();
        let router_ids: Vec<u64> = (0..routers as u64).map(|i| mix64(i + 100_001)).collect();
        let mut world = Self {
            size,
            policy,
            engines: (0..targets).map(|_| Engine::default()).collect(),
            up: vec![true; targets],
            joined_us: vec![0; targets],
            indexes: target_ids
                .iter()
                .copied()
                .enumerate()
                .map(|(i, id)| (id, i))
                .collect(),
            target_centre,
            router_centre,
            target_ids,
            known_routers: vec![router_ids.clone(); routers],
            router_ids,
            placers: (0..routers).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            waiting: HashMap::new(),
            running: HashMap::new(),
            hints: HashMap::new(),
            turn: 0,
            random: Random(seed),
            tally: Tally {
                sent_bytes: vec![0; routers],
                ..Tally::default()
            },
            now_us: 0,
            start: Instant::now(),
        };
        for (at, change) in schedule(size, targets, routers, seed) {
            world.at((at * 1e6) as u64, Event::Change(change));
        }
        for engine in &mut world.engines {
            engine.ready = true;
        }
        for router in 0..routers {
            world.start_router(router);
        }
        world.at(1_000_000, Event::Second);
        world
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    pub fn measuring(&self) -> bool {
        self.now_us >= self.size.warm_up_seconds * 1_000_000
    }

    pub fn at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((at_us.max(self.now_us), self.sequence), event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Retry(job) => self.arrive(job),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Finish(run) => self.finish(run),
            Event::Tick(router) => {
                self.tick(router);
                self.at(self.now_us + 50_000, Event::Tick(router));
            }
            Event::Alarm(router) => self.tick(router),
            Event::Second => self.second(),
            Event::Evicted {
                router,
                target,
                chat,
            } => {
                let (now, id) = (self.now(), self.target_ids[target]);
                if let Some(placer) = &mut self.placers[router] {
                    placer.handle_cache_event(id, chat, 0, CacheEventKind::Evicted, now);
                }
            }
            Event::Change(change) => self.change(change),
            Event::Learn { router, change } => self.learn(router, change),
        }
    }

    fn arrive(&mut self, mut job: Job) {
        if let Policy::Placer(_) = self.policy {
            while self.placers[job.router].is_none() {
                job.router = (job.router + 1) % self.placers.len();
            }
            self.place(job);
            return;
        }
        let centre = self.router_centre[job.router];
        let serves = |i: &usize| self.target_centre[*i] == centre && self.engines[*i].ready;
        let mut ready: Vec<usize> = (0..self.engines.len()).filter(serves).collect();
        if ready.is_empty() {
            ready = (0..self.engines.len())
                .filter(|i| self.engines[*i].ready)
                .collect();
        }
        let arrival = &job.arrival;
        let seen = Seen {
            engines: &self.engines,
            ready: &ready,
            chat: arrival.chat,
            cold_work: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            prefix_tokens: arrival.prefix_tokens,
            cached_cost: 1.0 / 16.0,
        };
        self.turn += 1;
        let chosen = match self.policy {
            Policy::RoundRobin => ready.get(self.turn % ready.len()).copied(),
            Policy::LeastReported => least_reported(&seen, &mut self.random),
            _ => oracle(&seen, 1.25),
        };
        if let Some(target) = chosen {
            self.run(target, 0, None, job);
        }
    }

    fn place(&mut self, job: Job) {
        let (now, arrival, router) = (self.now(), job.arrival, job.router);
        let hint = self
            .hints
            .get(&arrival.chat)
            .copied()
            .filter(|_| arrival.hinted);
        let request = PlacementRequest {
            team: arrival.team,
            chat: arrival.chat,
            offer: Some(OFFER),
            work_tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            prefix_tokens: u64::from(arrival.prefix_tokens),
            excluded: &job.excluded,
            hint,
            priority: 0,
        };
        let Some(placer) = &mut self.placers[router] else {
            return;
        };
        let began = Instant::now();
        let decision = placer.place(&request, now);
        let taken = began.elapsed();
        if self.measuring() {
            self.tally.place_ns.push(taken.as_nanos() as u32);
        }
        match decision {
            Decision::Send { target, ticket, .. } => {
                self.tally.unasked += u64::from(self.measuring());
                self.send(router, ticket, target, job);
            }
            Decision::ReservationRequest {
                owner,
                ticket,
                message,
                ..
            } => {
                self.waiting.insert((router, ticket), (job, self.now_us));
                self.post(router, vec![(owner, message)]);
                self.at(self.now_us + 5_000, Event::Alarm(router));
                self.at(self.now_us + 10_000, Event::Alarm(router));
            }
            Decision::Refuse { .. } => {
                self.tally.refused += u64::from(self.measuring());
                self.at(self.now_us + 1_000_000, Event::Retry(job));
            }
        }
    }

    /// Sends a request to its target, which refuses it when it is down.
    pub fn send(&mut self, router: usize, ticket: u64, target: u64, mut job: Job) {
        let index = self.indexes[&target];
        if self.up[index] {
            self.run(index, ticket, Some(router), job);
            return;
        }
        self.tally.refused_connections += u64::from(self.measuring());
        let now = self.now();
        if let Some(placer) = &mut self.placers[router] {
            placer.finish(ticket, now);
        }
        job.excluded.push(target);
        job.excluded.dedup();
        self.at(self.now_us + 1_000, Event::Retry(job));
    }
}
