//! Placers of several routers, connected by a simulated network that loses, repeats
//! and reorders messages from a seed.

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

/// A placed request that is not finished.
pub struct RunningRequest {
    pub router: usize,
    pub ticket: Ticket,
    pub target: TargetId,
}

pub struct Fleet {
    pub placers: Vec<Placer>,
    pub targets: Vec<TargetId>,
    pub runs: Vec<RunningRequest>,
    pub now: Instant,
    /// Probability that a message is lost, and that one is repeated, in percent.
    pub fault_percent: u64,
    /// Whether the first reservation request of each placement is sent twice.
    pub duplicates_reservations: bool,
    random_state: u64,
    in_flight: Vec<(usize, InstanceId, PlacementMessage)>,
}

impl Fleet {
    pub fn new(routers: u64, targets: u64, fault_percent: u64, seed: u64) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=routers).collect();
        let targets: Vec<TargetId> = (101..101 + targets).collect();
        let placers = ids.iter().map(|id| {
            let mut placer = Placer::new(PlacementSettings::default(), *id, 1, 1);
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
            fault_percent,
            duplicates_reservations: false,
            random_state: seed,
            in_flight: Vec::new(),
        };
        fleet.advance(20);
        fleet
    }

    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.random_state) % limit.max(1)
    }

    /// Places a request; returns the target when the answer is immediate.
    pub fn place(&mut self, router: usize, request: &PlacementRequest<'_>) -> Option<TargetId> {
        match self.placers[router].place(request, self.now) {
            Decision::Send { target, ticket, .. } => {
                self.runs.push(RunningRequest {
                    router,
                    ticket,
                    target,
                });
                Some(target)
            }
            Decision::ReservationRequest { owner, message, .. } => {
                if self.duplicates_reservations {
                    self.in_flight.push((router, owner, message.clone()));
                }
                self.in_flight.push((router, owner, message));
                None
            }
            Decision::Refuse { .. } => None,
        }
    }

    pub fn finish_one(&mut self) {
        if !self.runs.is_empty() {
            let index = usize::try_from(self.random_below(self.runs.len() as u64)).unwrap();
            let run = self.runs.swap_remove(index);
            self.placers[run.router].finish(run.ticket, self.now);
        }
    }

    /// Advances the clock by `steps` times 5 ms and delivers the messages sent in that
    /// time.
    pub fn advance(&mut self, steps: u32) {
        for _ in 0..steps {
            // Messages arrive within a tick, so that only lost reservation requests
            // are repeated.
            self.deliver_all();
            self.now += Duration::from_millis(5);
            for router in 0..self.placers.len() {
                let outputs = self.placers[router].tick(self.now);
                self.apply_outputs(router, outputs);
            }
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        let mut remaining_deliveries = 10_000;
        while !self.in_flight.is_empty() && remaining_deliveries > 0 {
            remaining_deliveries -= 1;
            self.deliver_one();
        }
    }

    fn deliver_one(&mut self) {
        // With faults, any message in flight may be delivered next, which reorders
        // them.
        let faulty = self.fault_percent > 0;
        let index = if faulty {
            self.random_below(self.in_flight.len() as u64)
        } else {
            0
        };
        let (from, to, message) = self.in_flight.remove(usize::try_from(index).unwrap());
        if faulty && self.random_below(100) < self.fault_percent {
            return;
        }
        if faulty && self.random_below(100) < self.fault_percent {
            self.in_flight.push((from, to, message.clone()));
        }
        let router = usize::try_from(to - 1).unwrap();
        if router >= self.placers.len() {
            return;
        }
        let outputs = self.placers[router].handle(message, from as u64 + 1, self.now);
        self.apply_outputs(router, outputs);
    }

    fn apply_outputs(&mut self, router: usize, outputs: Vec<PlacementOutput>) {
        for output in outputs {
            match output {
                PlacementOutput::Send { to, message } => {
                    assert_ne!(
                        to,
                        router as u64 + 1,
                        "a router sent a message to itself: {message:?}"
                    );
                    self.in_flight.push((router, to, message));
                }
                PlacementOutput::Placed { ticket, target, .. } => {
                    self.runs.push(RunningRequest {
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

    /// Returns the work that all routers hold on each target, in tokens.
    pub fn holdings(&self) -> BTreeMap<TargetId, u64> {
        let sum = |target: &TargetId| self.placers.iter().map(|p| p.held_tokens(*target)).sum();
        self.targets
            .iter()
            .map(|target| (*target, sum(target)))
            .collect()
    }

    /// Returns the work that the owner of each target counts, in tokens.
    pub fn counts(&self) -> BTreeMap<TargetId, u64> {
        let count = |target: &TargetId| {
            let mut counts = self
                .placers
                .iter()
                .filter_map(|p| p.counted_tokens(*target));
            let only = counts.next().expect("no router owns the target");
            assert!(counts.next().is_none(), "two owners of target {target}");
            only
        };
        self.targets
            .iter()
            .map(|target| (*target, count(target)))
            .collect()
    }

    /// Stops the faults and advances 12 s, by which time declarations must have
    /// corrected all counts.
    pub fn repair(&mut self) {
        self.fault_percent = 0;
        self.advance(2_400);
    }
}
