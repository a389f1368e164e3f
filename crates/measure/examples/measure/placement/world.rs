//! Discrete-event simulation of one policy on the trace, under a virtual clock.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bamboospur_placement::{CacheEventKind, Decision, PlacementMessage, PlacementRequest, Placer};
use bamboospur_types::mix64;

use super::churn::{Change, schedule};
use super::engine::Engine;
use super::policy::{BaselineInput, Policy, least_reported, oracle};
use super::tally::Tally;
use super::trace::{Arrival, Random, Size};

/// The one offer that all targets serve and all requests name.
pub const OFFER_ID: u64 = 7;
/// Work of an engine at full batch.
pub const ENGINE_CAPACITY_TOKENS: u64 = 90_000;

pub enum Event {
    Retry(Job),
    Deliver {
        to: usize,
        from: usize,
        message: PlacementMessage,
    },
    /// Ends the running request with this id.
    Finish(u64),
    /// Regular tick of a router's placer.
    Tick(usize),
    /// Extra tick of a router's placer, between its regular ones, to handle an
    /// unanswered reservation request in time.
    ReservationTimer(usize),
    ReportAndSample,
    /// A router receives the cache event of an evicted chat.
    Evicted {
        router: usize,
        target: usize,
        chat: u64,
    },
    Change(Change),
    /// A router's membership reports a change.
    ObserveChange {
        router: usize,
        change: Change,
    },
}

/// A request of the trace with what its retries need.
#[derive(Clone)]
pub struct Job {
    pub arrival: Arrival,
    /// Targets that failed the request.
    pub excluded: Vec<u64>,
    pub router: usize,
}

pub struct RunningRequest {
    pub target: usize,
    pub incarnation: u64,
    /// Empty for the baselines and after a crash of the router.
    pub router: Option<usize>,
    pub ticket: u64,
    /// Work on the engine, in tokens.
    pub work: u64,
    pub job: Job,
}

pub struct Simulation<'a> {
    pub size: &'a Size,
    pub policy: Policy,
    pub engines: Vec<Engine>,
    /// Whether each target accepts connections.
    pub target_up: Vec<bool>,
    /// When each target last joined; 0 for those present from the start.
    pub target_joined_us: Vec<u64>,
    pub target_data_centre: Vec<usize>,
    pub router_data_centre: Vec<usize>,
    pub target_ids: Vec<u64>,
    pub router_ids: Vec<u64>,
    /// Index of each target by id.
    target_indexes: HashMap<u64, usize>,
    /// One for each router; empty for the baselines and crashed routers.
    pub placers: Vec<Option<Placer>>,
    /// Ids of the routers that each router knows.
    pub known_routers: Vec<Vec<u64>>,
    /// Events by time and sequence number.
    queue: BTreeMap<(u64, u64), Event>,
    pub sequence: u64,
    /// Requests that wait for an owner's answer, with the time of asking, by router and
    /// ticket.
    pub awaiting_reservation: HashMap<(usize, u64), (Job, u64)>,
    /// Requests on engines, by id.
    pub running: HashMap<u64, RunningRequest>,
    /// Last target of each chat whose caller sends hints.
    pub hints: HashMap<u64, u64>,
    round_robin_count: usize,
    pub random: Random,
    pub tally: Tally,
    pub now_us: u64,
    /// Real time that stands for the virtual time 0.
    start: Instant,
}

/// Runs one policy over the arrivals.
pub fn simulate(size: &Size, arrivals: &[Arrival], policy: &Policy, seed: u64) -> Tally {
    let mut simulation = Simulation::new(size, policy.clone(), seed);
    let mut next_arrival = 0;
    loop {
        let next_event_us = simulation
            .queue
            .first_key_value()
            .map_or(u64::MAX, |(key, _)| key.0);
        let arrival = arrivals.get(next_arrival);
        if let Some(arrival) = arrival.filter(|arrival| arrival.at_us <= next_event_us) {
            next_arrival += 1;
            simulation.now_us = arrival.at_us;
            let router = usize::from(arrival.router);
            simulation.handle_request(Job {
                arrival: *arrival,
                excluded: Vec::new(),
                router,
            });
            continue;
        }
        if arrival.is_none() || next_event_us == u64::MAX {
            break;
        }
        if let Some(((at_us, _), event)) = simulation.queue.pop_first() {
            simulation.now_us = at_us;
            simulation.handle_event(event);
        }
    }
    simulation.tally.seconds = (size.seconds - size.warm_up_seconds) as f64;
    for placer in simulation.placers.iter().flatten() {
        simulation.tally.violations += placer.violations();
        simulation.tally.max_remembered_chats = simulation
            .tally
            .max_remembered_chats
            .max(placer.remembered_chats());
    }
    simulation.tally
}

impl<'a> Simulation<'a> {
    fn new(size: &'a Size, policy: Policy, seed: u64) -> Self {
        let data_centre_of_each = |count: fn(&(usize, usize)) -> usize| -> Vec<usize> {
            let data_centres = size.data_centres.iter().enumerate();
            data_centres
                .flat_map(|(i, data_centre)| std::iter::repeat_n(i, count(data_centre)))
                .collect()
        };
        let (router_data_centre, target_data_centre) =
            (data_centre_of_each(|c| c.0), data_centre_of_each(|c| c.1));
        let (routers, targets) = (router_data_centre.len(), target_data_centre.len());
        let target_ids: Vec<u64> = (0..targets as u64).map(|i| mix64(i + 1)).collect();
        let router_ids: Vec<u64> = (0..routers as u64).map(|i| mix64(i + 100_001)).collect();
        let mut simulation = Self {
            size,
            policy,
            engines: (0..targets).map(|_| Engine::default()).collect(),
            target_up: vec![true; targets],
            target_joined_us: vec![0; targets],
            target_indexes: target_ids
                .iter()
                .copied()
                .enumerate()
                .map(|(i, id)| (id, i))
                .collect(),
            target_data_centre,
            router_data_centre,
            target_ids,
            known_routers: vec![router_ids.clone(); routers],
            router_ids,
            placers: (0..routers).map(|_| None).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            awaiting_reservation: HashMap::new(),
            running: HashMap::new(),
            hints: HashMap::new(),
            round_robin_count: 0,
            random: Random(seed),
            tally: Tally {
                sent_bytes: vec![0; routers],
                ..Tally::default()
            },
            now_us: 0,
            start: Instant::now(),
        };
        for (at_s, change) in schedule(size, targets, routers, seed) {
            simulation.schedule_at((at_s * 1e6) as u64, Event::Change(change));
        }
        for engine in &mut simulation.engines {
            engine.ready = true;
        }
        for router in 0..routers {
            simulation.start_router(router);
        }
        simulation.schedule_at(1_000_000, Event::ReportAndSample);
        simulation
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Whether the warm-up is over.
    pub fn measuring(&self) -> bool {
        self.now_us >= self.size.warm_up_seconds * 1_000_000
    }

    /// Queues an event, at the earliest for now.
    pub fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((at_us.max(self.now_us), self.sequence), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Retry(job) => self.handle_request(job),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Finish(id) => self.finish_request(id),
            Event::Tick(router) => {
                self.tick(router);
                self.schedule_at(self.now_us + 50_000, Event::Tick(router));
            }
            Event::ReservationTimer(router) => self.tick(router),
            Event::ReportAndSample => self.report_and_sample(),
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
            Event::Change(change) => self.apply_change(change),
            Event::ObserveChange { router, change } => self.observe_change(router, change),
        }
    }

    fn handle_request(&mut self, mut job: Job) {
        if let Policy::Placer(_) = self.policy {
            while self.placers[job.router].is_none() {
                job.router = (job.router + 1) % self.placers.len();
            }
            self.place(job);
            return;
        }
        let data_centre = self.router_data_centre[job.router];
        let is_candidate = |index: &usize| {
            self.target_data_centre[*index] == data_centre && self.engines[*index].ready
        };
        let mut ready: Vec<usize> = (0..self.engines.len()).filter(is_candidate).collect();
        if ready.is_empty() {
            ready = (0..self.engines.len())
                .filter(|index| self.engines[*index].ready)
                .collect();
        }
        let arrival = &job.arrival;
        let input = BaselineInput {
            engines: &self.engines,
            ready: &ready,
            chat: arrival.chat,
            cold_work: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            prefix_tokens: arrival.prefix_tokens,
            cached_token_cost: 1.0 / 16.0,
        };
        self.round_robin_count += 1;
        let chosen = match self.policy {
            Policy::RoundRobin => ready.get(self.round_robin_count % ready.len()).copied(),
            Policy::LeastReported => least_reported(&input, &mut self.random),
            _ => oracle(&input, 1.25),
        };
        if let Some(target) = chosen {
            self.start_request(target, 0, None, job);
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
            offer: Some(OFFER_ID),
            work_tokens: u64::from(arrival.prompt_tokens + arrival.output_tokens),
            prefix_tokens: u64::from(arrival.prefix_tokens),
            excluded: &job.excluded,
            hint,
            priority: 0,
        };
        let Some(placer) = &mut self.placers[router] else {
            return;
        };
        let started = Instant::now();
        let decision = placer.place(&request, now);
        let elapsed = started.elapsed();
        if self.measuring() {
            self.tally.place_ns.push(elapsed.as_nanos() as u32);
        }
        match decision {
            Decision::Send { target, ticket, .. } => {
                self.tally.placed_without_reservation += u64::from(self.measuring());
                self.send_to_target(router, ticket, target, job);
            }
            Decision::ReservationRequest {
                owner,
                ticket,
                message,
                ..
            } => {
                self.awaiting_reservation
                    .insert((router, ticket), (job, self.now_us));
                self.send_messages(router, vec![(owner, message)]);
                self.schedule_at(self.now_us + 5_000, Event::ReservationTimer(router));
                self.schedule_at(self.now_us + 10_000, Event::ReservationTimer(router));
            }
            Decision::Refuse { .. } => {
                self.tally.refused += u64::from(self.measuring());
                self.schedule_at(self.now_us + 1_000_000, Event::Retry(job));
            }
        }
    }

    /// Sends a request to its target; a target that is down refuses the connection.
    pub fn send_to_target(&mut self, router: usize, ticket: u64, target: u64, mut job: Job) {
        let index = self.target_indexes[&target];
        if self.target_up[index] {
            self.start_request(index, ticket, Some(router), job);
            return;
        }
        self.tally.refused_connections += u64::from(self.measuring());
        let now = self.now();
        if let Some(placer) = &mut self.placers[router] {
            placer.finish(ticket, now);
        }
        job.excluded.push(target);
        job.excluded.dedup();
        self.schedule_at(self.now_us + 1_000, Event::Retry(job));
    }
}
