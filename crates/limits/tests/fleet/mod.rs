//! Simulates routers with lease holders and owners in virtual time, over a network
//! that loses, duplicates, delays and reorders packets.

#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_limits::{
    Admission, AdmissionTicket, Amount, LeaseHolder, LeaseOwner, LimitsMessage, LimitsOutput,
    LimitsSettings, Rng, TeamShare,
};
use bamboospur_types::{InstanceId, TeamId, mix64};

/// Faults and delays of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub delay_us: u64,
    pub jitter_us: u64,
}

pub struct Router {
    pub holder: LeaseHolder,
    pub owner: LeaseOwner,
    generation: u32,
}

enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        from: usize,
        message: LimitsMessage,
    },
    Finish {
        router: usize,
        generation: u32,
        ticket: AdmissionTicket,
    },
}

/// Requests and work in flight of one team on all routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlight {
    pub requests: u64,
    pub work: u64,
}

pub struct Fleet {
    pub start: Instant,
    pub now: Instant,
    pub network: Network,
    pub routers: Vec<Option<Router>>,
    pub in_flight: BTreeMap<TeamId, InFlight>,
    pub rng: Rng,
    pub sent_bytes: u64,
    settings: LimitsSettings,
    shares: BTreeMap<TeamId, TeamShare>,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
}

pub fn router_id(router: usize) -> InstanceId {
    mix64(1 + u64::try_from(router).unwrap())
}

impl Fleet {
    pub fn new(routers: usize, shares: BTreeMap<TeamId, TeamShare>, seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            network: Network {
                delay_us: 500,
                jitter_us: 200,
                ..Network::default()
            },
            routers: Vec::new(),
            in_flight: BTreeMap::new(),
            rng: Rng::new(seed),
            sent_bytes: 0,
            settings: LimitsSettings::default(),
            shares,
            events: BTreeMap::new(),
            next_event: 0,
        };
        for router in 0..routers {
            fleet.routers.push(None);
            fleet.start_router(router);
            let phase = Duration::from_micros(fleet.rng.below(20_000));
            fleet.push(start + phase, Event::Tick(router));
        }
        fleet.update_live_routers();
        fleet.run_for(Duration::from_secs(3));
        fleet
    }

    fn start_router(&mut self, router: usize) {
        let (own_id, seed) = (router_id(router), self.rng.next_u64());
        let mut holder = LeaseHolder::new(self.settings.clone(), own_id, seed, self.now);
        let mut owner = LeaseOwner::new(self.settings.clone(), own_id, seed, self.now);
        for (team, share) in &self.shares {
            holder.set_team(*team, *share);
            owner.set_team(*team, *share);
        }
        let generation = 0;
        self.routers[router] = Some(Router {
            holder,
            owner,
            generation,
        });
    }

    /// Sets the routers that are live on each live router.
    pub fn update_live_routers(&mut self) {
        let live =
            |(index, router): (usize, &Option<Router>)| router.is_some().then(|| router_id(index));
        let mut ids: Vec<InstanceId> = self.routers.iter().enumerate().filter_map(live).collect();
        ids.sort_unstable();
        let now = self.now;
        for router in self.routers.iter_mut().flatten() {
            router.holder.set_routers(&ids, now);
            router.owner.set_routers(&ids, now);
        }
    }

    pub fn index_of(&self, id: InstanceId) -> usize {
        (0..self.routers.len())
            .find(|router| router_id(*router) == id)
            .unwrap()
    }

    /// Stops a router and ends its requests.
    pub fn stop(&mut self, router: usize) {
        let stopped = self.routers[router].take().unwrap();
        for (team, in_flight) in &mut self.in_flight {
            let used = stopped.holder.used(*team);
            in_flight.requests -= used.requests;
            in_flight.work -= used.work;
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    pub fn run_until(&mut self, end: Instant) {
        while let Some((key, _)) = self.events.first_key_value() {
            let key = *key;
            if key.0 > end {
                break;
            }
            let event = self.events.remove(&key).unwrap();
            self.now = key.0;
            self.run_event(event);
        }
        self.now = end;
    }

    fn run_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(index) => {
                if let Some(router) = self.routers[index].as_mut() {
                    let mut outputs = router.holder.tick(now);
                    outputs.extend(router.owner.tick(now));
                    self.transmit(index, outputs);
                }
                self.push(now + self.settings.tick_interval, Event::Tick(index));
            }
            Event::Deliver { to, from, message } => {
                let Some(router) = self.routers[to].as_mut() else {
                    return;
                };
                let from = router_id(from);
                let outputs = match message {
                    LimitsMessage::Ask(_) => router.owner.handle(from, &message, now),
                    LimitsMessage::Grant(_) => router.holder.handle(from, &message, now),
                };
                self.transmit(to, outputs);
            }
            Event::Finish {
                router,
                generation,
                ticket,
            } => {
                let Some(router) = self.routers[router].as_mut() else {
                    return;
                };
                if router.generation == generation {
                    let in_flight = self.in_flight.get_mut(&ticket.team).unwrap();
                    in_flight.requests -= 1;
                    in_flight.work -= ticket.work;
                    router.holder.finish(ticket, now);
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, outputs: Vec<LimitsOutput>) {
        for output in outputs {
            let LimitsOutput::Send { to, message, bytes } = output;
            let to = self.index_of(to);
            self.sent_bytes += u64::try_from(bytes).unwrap();
            if to == from {
                self.push(self.now, Event::Deliver { to, from, message });
                continue;
            }
            let copies = 1 + u64::from(self.rng.below(100) < self.network.duplicate_percent);
            for _ in 0..copies {
                if self.rng.below(100) >= self.network.loss_percent {
                    let delay = self.network.delay_us + self.rng.below(self.network.jitter_us + 1);
                    let at = self.now + Duration::from_micros(delay);
                    let message = message.clone();
                    self.push(at, Event::Deliver { to, from, message });
                }
            }
        }
    }

    /// Returns a random live router.
    pub fn random_live_router(&mut self) -> usize {
        loop {
            let count = u64::try_from(self.routers.len()).unwrap();
            let router = usize::try_from(self.rng.below(count)).unwrap();
            if self.routers[router].is_some() {
                return router;
            }
        }
    }

    /// Admits one request that runs for `time`, or returns the pause until a retry.
    pub fn request(
        &mut self,
        router: usize,
        team: TeamId,
        work: u64,
        time: Duration,
    ) -> Result<(), Duration> {
        let now = self.now;
        let live_router = self.routers[router].as_mut().unwrap();
        let generation = live_router.generation;
        match live_router.holder.admit(team, work, 0, now) {
            Admission::Granted(ticket) => {
                let in_flight = self.in_flight.entry(team).or_default();
                in_flight.requests += 1;
                in_flight.work += work;
                self.push(
                    now + time,
                    Event::Finish {
                        router,
                        generation,
                        ticket,
                    },
                );
                Ok(())
            }
            Admission::Refused { retry_after, .. } => Err(retry_after),
        }
    }

    pub fn in_flight(&self, team: TeamId) -> InFlight {
        self.in_flight.get(&team).copied().unwrap_or_default()
    }

    pub fn leases(&self, team: TeamId) -> Amount {
        let live = self.routers.iter().flatten();
        live.fold(Amount::default(), |sum, router| {
            sum.plus(&router.holder.lease(team, self.now))
        })
    }

    pub fn violations(&self) -> u64 {
        let live = self.routers.iter().flatten();
        live.map(|router| router.holder.counters().violations + router.owner.counters().violations)
            .sum()
    }
}
