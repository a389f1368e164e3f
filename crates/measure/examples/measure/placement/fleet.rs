//! Changes of the fleet, the routers' views of it, load reports and load samples.

use bamboospur_placement::{LoadReport, Placer, TargetView};
use bamboospur_types::TargetState;

use super::churn::Change;
use super::policy::Policy;
use super::world::{ENGINE_CAPACITY_TOKENS, Event, OFFER_ID, Simulation};

/// Time over which the weight of a joining target grows; equal to the default of
/// the placement setting `warm_up`.
const JOIN_RAMP_US: u64 = 30_000_000;

impl Simulation<'_> {
    pub fn start_router(&mut self, router: usize) {
        let Policy::Placer(settings) = self.policy.clone() else {
            return;
        };
        let now = self.now();
        let epoch = 1 + self.now_us / 1_000_000;
        let mut placer = Placer::new(*settings, self.router_ids[router], epoch, epoch);
        for target in 0..self.engines.len() {
            if self.engines[target].ready {
                placer.set_target(
                    self.target_view(target, router, TargetState::Ready, false),
                    now,
                );
            }
        }
        self.placers[router] = Some(placer);
        self.known_routers[router] = (0..self.placers.len())
            .filter(|r| self.now_us == 0 || self.placers[*r].is_some())
            .map(|r| self.router_ids[r])
            .collect();
        self.update_routers(router);
        let phase = self.random.below(50_000) as u64;
        self.schedule_at(self.now_us + phase, Event::Tick(router));
    }

    /// Passes the routers that a router knows to its placer, by data centre.
    fn update_routers(&mut self, router: usize) {
        let now = self.now();
        let Some(placer) = &mut self.placers[router] else {
            return;
        };
        for data_centre in 0..self.size.data_centres.len() {
            let known = &self.known_routers[router];
            let pairs = self.router_ids.iter().zip(&self.router_data_centre);
            let ids =
                pairs.filter(|(id, located_in)| **located_in == data_centre && known.contains(id));
            let ids: Vec<u64> = ids.map(|(id, _)| *id).collect();
            if data_centre == self.router_data_centre[router] {
                placer.set_routers(&ids, now);
            } else {
                placer.set_remote_routers(data_centre as u64, &ids, now);
            }
        }
    }

    fn target_view(
        &self,
        target: usize,
        router: usize,
        state: TargetState,
        damped: bool,
    ) -> TargetView {
        let data_centre = self.target_data_centre[target];
        TargetView {
            id: self.target_ids[target],
            incarnation: self.engines[target].incarnation,
            data_centre: data_centre as u64,
            same_data_centre: data_centre == self.router_data_centre[router],
            offers: vec![OFFER_ID],
            capacity_tokens: ENGINE_CAPACITY_TOKENS,
            capacity_requests: 1_000,
            report: None,
            state,
            damped,
        }
    }

    /// Applies a change now; each router observes it 0.2 s to 3 s later.
    pub fn apply_change(&mut self, change: Change) {
        match change {
            Change::Drain(target) => self.engines[target].ready = false,
            Change::Crash(target) => {
                self.target_up[target] = false;
                self.fail_requests(target);
                self.engines[target].crash();
            }
            Change::Join { target, damped } => {
                if self.engines[target].ready {
                    return;
                }
                self.fail_requests(target);
                self.engines[target].crash();
                self.target_up[target] = true;
                self.engines[target].ready = !damped;
                self.target_joined_us[target] = self.now_us;
            }
            Change::Readmit(target) => {
                self.engines[target].ready = self.target_up[target];
                self.target_joined_us[target] = self.now_us;
            }
            Change::RouterCrash(router) => self.crash_router(router),
            Change::RouterJoin(router) => self.start_router(router),
        }
        for router in 0..self.placers.len() {
            let delay_us = 200_000 + self.random.below(2_800_000) as u64;
            self.schedule_at(
                self.now_us + delay_us,
                Event::ObserveChange { router, change },
            );
        }
    }

    /// Updates one router's view after a change.
    pub fn observe_change(&mut self, router: usize, change: Change) {
        let now = self.now();
        match change {
            Change::Crash(target) => {
                let id = self.target_ids[target];
                if let Some(placer) = &mut self.placers[router]
                    && !self.target_up[target]
                {
                    placer.remove_target(id, now);
                }
            }
            Change::Drain(target) => self.set_target(target, router, TargetState::Draining, false),
            Change::Join { target, damped } => {
                self.set_target(target, router, TargetState::Ready, damped);
            }
            Change::Readmit(target) => self.set_target(target, router, TargetState::Ready, false),
            Change::RouterCrash(crashed) => {
                let id = self.router_ids[crashed];
                self.known_routers[router].retain(|known| *known != id);
                self.update_routers(router);
            }
            Change::RouterJoin(joined) => {
                let id = self.router_ids[joined];
                if !self.known_routers[router].contains(&id) {
                    self.known_routers[router].push(id);
                }
                self.update_routers(router);
            }
        }
    }

    /// Passes a target's state to one router's placer, unless the target is down.
    fn set_target(&mut self, target: usize, router: usize, state: TargetState, damped: bool) {
        if !self.target_up[target] {
            return;
        }
        let (now, view) = (self.now(), self.target_view(target, router, state, damped));
        if let Some(placer) = &mut self.placers[router] {
            placer.set_target(view, now);
        }
    }

    /// Sends the load reports to all placers and samples the loads, once a second.
    pub fn report_and_sample(&mut self) {
        let now = self.now();
        for target in 0..self.engines.len() {
            let engine = &mut self.engines[target];
            engine
                .load_history
                .push_back((engine.load_tokens, engine.requests));
            // Half of the engines report a load that is 1 s old, half one of 3 s.
            let lag = if target % 2 == 0 { 1 } else { 3 };
            while engine.load_history.len() > lag + 1 {
                engine.load_history.pop_front();
            }
            let (load_tokens, load_requests) =
                engine.load_history.front().copied().unwrap_or_default();
            let age = std::time::Duration::from_secs(engine.load_history.len() as u64 - 1);
            let report = LoadReport {
                load_tokens,
                load_requests,
                taken_at: now.checked_sub(age).unwrap_or(now),
            };
            for placer in self.placers.iter_mut().flatten() {
                placer.set_report(self.target_ids[target], report);
            }
        }
        if self.measuring() {
            for data_centre in 0..self.size.data_centres.len() {
                self.sample_loads(data_centre);
            }
        }
        self.schedule_at(self.now_us + 1_000_000, Event::ReportAndSample);
    }

    /// Compares the true loads of a data centre with the load bound. A joining
    /// target counts in the mean with the weight of its warm-up, while its own
    /// bound is that of a target of full weight.
    fn sample_loads(&mut self, data_centre: usize) {
        let ready = |index: &usize| {
            self.target_data_centre[*index] == data_centre && self.engines[*index].ready
        };
        let ready: Vec<usize> = (0..self.engines.len()).filter(ready).collect();
        let age = |index: usize| match self.target_joined_us[index] {
            0 => JOIN_RAMP_US,
            joined_us => self.now_us - joined_us,
        };
        let weight = |index: usize| (age(index) as f64 / JOIN_RAMP_US as f64).clamp(0.1, 1.0);
        let total: f64 = ready
            .iter()
            .map(|index| self.engines[*index].load_tokens as f64)
            .sum();
        let weight_sum: f64 = ready.iter().map(|index| weight(*index)).sum();
        let mean = total / weight_sum.max(0.1);
        let unweighted_mean = total / ready.len().max(1) as f64;
        for index in ready {
            let engine = &self.engines[index];
            let (load, largest) = (
                engine.load_tokens as f64,
                engine.largest_request_tokens() as f64,
            );
            let exceeds_bound = |mean: f64| load > (1.25 * mean).max(mean + largest) + 1.0;
            self.tally.samples += 1;
            self.tally.load_over_mean.push(load / mean.max(1.0));
            self.tally.over_bound += u64::from(exceeds_bound(mean));
            self.tally.over_full_weight += u64::from(exceeds_bound(unweighted_mean));
            let counted = self
                .placers
                .iter()
                .flatten()
                .find_map(|placer| placer.counted_tokens(self.target_ids[index]));
            if let Some(counted) = counted {
                self.tally.count_samples += 1;
                self.tally.count_error_sum += (counted as f64 - load).abs() / mean.max(1.0);
            }
        }
    }
}
