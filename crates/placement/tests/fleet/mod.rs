//! Routers joined by a seeded network that loses, repeats and reorders.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_placement::{
    Decision, PlacementMessage, PlacementOutput, PlacementRequest, PlacementSettings, Placer,
    TargetView, Ticket,
};
use bamboospur_types::{InstanceId, TargetId, TargetState, mix64};

pub const OFFER: u64 = 7;

pub fn view(id: TargetId) -> TargetView {
    TargetView {
        id,
        incarnation: 1,
        data_centre: 1,
        same_data_centre: true,
        offers: vec![OFFER],
        capacity_tokens: 100_000,
        capacity_requests: 10_000,
        report: None,
        state: TargetState::Ready,
        damped: false,
    }
}

pub fn request(chat: u64, work_tokens: u64, excluded: &[TargetId]) -> PlacementRequest<'_> {
    PlacementRequest {
        team: 1,
        chat,
        offer: Some(OFFER),
        work_tokens,
        prefix_tokens: 0,
        excluded,
        hint: None,
        priority: 0,
    }
}

/// Where a request runs.
pub struct Run {
    pub router: usize,
    pub ticket: Ticket,
    pub target: TargetId,
}

pub struct Fleet {
    pub placers: Vec<Placer>,
    pub targets: Vec<TargetId>,
    pub runs: Vec<Run>,
    pub now: Instant,
    /// Chance of loss and of a repeat, in percent.
    pub faults: u64,
    /// Whether every ask is sent twice.
    pub repeats_asks: bool,
    random: u64,
    network: Vec<(usize, InstanceId, PlacementMessage)>,
}

impl Fleet {
    pub fn new(routers: u64, targets: u64, faults: u64, seed: u64) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=routers).collect();
        let targets: Vec<TargetId> = (101..101 + targets).collect();
        let placers = ids.iter().map(|id| {
            let mut placer = Placer::new(PlacementSettings::default(), *id, 1);
            for target in &targets {
                placer.set_target(view(*target), now);
            }
            placer.set_routers(&ids, now);
            placer
        });
        let mut fleet = Self {
            placers: placers.collect(),
            targets,
            runs: Vec::new(),
            now,
            faults,
            repeats_asks: false,
            random: seed,
            network: Vec::new(),
        };
        fleet.pass(20);
        fleet
    }

    pub fn draw(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.random) % limit.max(1)
    }

    /// Places a request; returns the target when the answer is immediate.
    pub fn place(&mut self, router: usize, request: &PlacementRequest<'_>) -> Option<TargetId> {
        match self.placers[router].place(request, self.now) {
            Decision::Send { target, ticket, .. } => {
                self.runs.push(Run {
                    router,
                    ticket,
                    target,
                });
                Some(target)
            }
            Decision::ReservationRequest { owner, message, .. } => {
                if self.repeats_asks {
                    self.network.push((router, owner, message.clone()));
                }
                self.network.push((router, owner, message));
                None
            }
            Decision::Refuse { .. } => None,
        }
    }

    pub fn finish_one(&mut self) {
        if !self.runs.is_empty() {
            let index = usize::try_from(self.draw(self.runs.len() as u64)).unwrap();
            let run = self.runs.swap_remove(index);
            self.placers[run.router].finish(run.ticket, self.now);
        }
    }

    /// Lets `steps` times 5 ms pass, with the messages that are under way.
    pub fn pass(&mut self, steps: u32) {
        for _ in 0..steps {
            // Delivery takes less than a tick, so only lost asks are repeated.
            self.deliver_all();
            self.now += Duration::from_millis(5);
            for router in 0..self.placers.len() {
                let outputs = self.placers[router].tick(self.now);
                self.act(router, outputs);
            }
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        let mut budget = 10_000;
        while !self.network.is_empty() && budget > 0 {
            budget -= 1;
            self.deliver_one();
        }
    }

    fn deliver_one(&mut self) {
        // Any message may come next: this is what reorders them.
        let faulty = self.faults > 0;
        let index = if faulty {
            self.draw(self.network.len() as u64)
        } else {
            0
        };
        let (from, to, message) = self.network.remove(usize::try_from(index).unwrap());
        if faulty && self.draw(100) < self.faults {
            return;
        }
        if faulty && self.draw(100) < self.faults {
            self.network.push((from, to, message.clone()));
        }
        let router = usize::try_from(to - 1).unwrap();
        if router >= self.placers.len() {
            return;
        }
        let outputs = self.placers[router].handle(message, from as u64 + 1, self.now);
        self.act(router, outputs);
    }

    fn act(&mut self, router: usize, outputs: Vec<PlacementOutput>) {
        for output in outputs {
            match output {
                PlacementOutput::Send { to, message } => {
                    assert_ne!(to, router as u64 + 1, "a message to itself: {message:?}");
                    self.network.push((router, to, message));
                }
                PlacementOutput::Placed { ticket, target, .. } => {
                    self.runs.push(Run {
                        router,
                        ticket,
                        target,
                    });
                }
                PlacementOutput::Refused { .. } => {}
                PlacementOutput::Violation { what } => panic!("violated: {what}"),
            }
        }
    }

    /// Work held by all routers on each target.
    pub fn holdings(&self) -> BTreeMap<TargetId, u64> {
        let sum = |target: &TargetId| self.placers.iter().map(|p| p.held_tokens(*target)).sum();
        self.targets
            .iter()
            .map(|target| (*target, sum(target)))
            .collect()
    }

    /// Work counted by the owner of each target.
    pub fn counts(&self) -> BTreeMap<TargetId, u64> {
        let count = |target: &TargetId| {
            let mut counts = self
                .placers
                .iter()
                .filter_map(|p| p.counted_tokens(*target));
            let only = counts.next().expect("a target without an owner");
            assert!(counts.next().is_none(), "two owners of target {target}");
            only
        };
        self.targets
            .iter()
            .map(|target| (*target, count(target)))
            .collect()
    }

    /// Stops the faults and waits for the repair of all counts.
    pub fn repair(&mut self) {
        self.faults = 0;
        self.pass(2_400);
    }
}
