//! The synthetic trace and what is measured in it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_limits::{Amount, Rng, TeamShare, owner_of};

use super::fleet::{Fleet, router_id};
use super::policy::{Division, Policy};

const WARM_UP: Duration = Duration::from_mins(1);
const SURGE: Duration = Duration::from_mins(1);
const AFTER: Duration = Duration::from_mins(5);
/// Time into the surge at which the owner is lost.
const OWNER_LOST: Duration = Duration::from_secs(20);
/// Time that membership takes to drop a dead router.
const DETECTION: Duration = Duration::from_secs(4);
const MEAN_RUN_S: f64 = 10.0;
const WORK: u64 = 2_500;
const STEP: Duration = Duration::from_millis(10);
/// Rank of the team that surges.
const SURGING: u64 = 3;

/// A size of the data centre.
pub struct Size {
    pub name: &'static str,
    pub routers: usize,
    pub teams: u64,
    pub requests_per_second: f64,
}

/// What one run showed.
#[derive(Debug, Default)]
pub struct Result {
    /// Largest excess over the share from 2 s into the surge to its end, as a
    /// part of the share.
    pub overshoot: f64,
    /// Time of that from the start of the surge.
    pub overshoot_at_s: f64,
    /// Refusals of other teams while they used less than their share.
    pub small_refused: u64,
    /// The same below three quarters of the share.
    pub small_refused_low: u64,
    pub small_offered: u64,
    /// Time from the end of the surge until no caller waits.
    pub recovery_s: Option<f64>,
    pub bytes_per_second: f64,
    pub surge_bytes_per_second: f64,
    pub peak_attempts: u64,
    pub active_teams: usize,
    pub violations: u64,
}

/// Equal shares for `teams` teams.
pub fn equal_shares(teams: u64) -> BTreeMap<u64, TeamShare> {
    (0..teams).map(|team| (team, share_of(1.0))).collect()
}

/// Three times what the team uses on average, and at least 8 requests.
fn share_of(requests_per_second: f64) -> TeamShare {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive"
    )]
    let requests = ((requests_per_second * MEAN_RUN_S * 3.0).ceil() as u64).max(8);
    Amount {
        requests,
        work: requests * WORK * 2,
        requests_per_minute: requests * 60,
        work_per_minute: requests * 60 * WORK * 2,
    }
}

struct Trace {
    fleet: Fleet,
    division: Division,
    policy: Policy,
    shares: BTreeMap<u64, TeamShare>,
    /// Sums of the teams' rates, to draw a team.
    cumulated: Vec<f64>,
    rates: Vec<f64>,
    rng: Rng,
    /// Requests to send again, by time.
    waiting: BTreeMap<(Instant, u64), u64>,
    finishing: BTreeMap<(Instant, u64), (usize, u64)>,
    next: u64,
    attempts: u64,
    surge_at: Instant,
    result: Result,
}

/// Runs the trace under a policy.
pub fn run_trace(size: &Size, policy: Policy, seed: u64) -> Result {
    let mut trace = Trace::new(size, policy, seed);
    let start = trace.fleet.now;
    trace.run_to(start + WARM_UP, 1.0);
    let bytes = trace.fleet.sent_bytes;
    trace.run_to(start + WARM_UP * 2, 1.0);
    trace.result.bytes_per_second = trace.rate_of_bytes(bytes, WARM_UP, size.routers);
    let bytes = trace.fleet.sent_bytes;
    trace.surge(size);
    trace.result.surge_bytes_per_second = trace.rate_of_bytes(bytes, SURGE, size.routers);
    trace.recover();
    trace.result.violations = trace.fleet.violations();
    trace.result
}

impl Trace {
    fn new(size: &Size, policy: Policy, seed: u64) -> Self {
        let weight = |rank: u64| 1.0 / f64::from(u32::try_from(rank).unwrap_or(u32::MAX) + 1);
        let total: f64 = (0..size.teams).map(weight).sum();
        let rates: Vec<f64> = (0..size.teams)
            .map(|rank| size.requests_per_second * weight(rank) / total)
            .collect();
        let shares: BTreeMap<u64, TeamShare> = (0..)
            .zip(&rates)
            .map(|(team, rate)| (team, share_of(*rate)))
            .collect();
        let mut sum = 0.0;
        let cumulated = rates
            .iter()
            .map(|rate| {
                sum += rate;
                sum
            })
            .collect();
        Self {
            fleet: Fleet::new(size.routers, shares.clone(), seed),
            division: Division::default(),
            policy,
            shares,
            cumulated,
            rates,
            rng: Rng::new(seed),
            waiting: BTreeMap::new(),
            finishing: BTreeMap::new(),
            next: 0,
            attempts: 0,
            surge_at: Instant::now(),
            result: Result::default(),
        }
    }

    fn rate_of_bytes(&self, before: u64, time: Duration, routers: usize) -> f64 {
        let bytes = u32::try_from(self.fleet.sent_bytes - before).unwrap_or(u32::MAX);
        f64::from(bytes) / time.as_secs_f64() / f64::from(u32::try_from(routers).unwrap_or(1))
    }

    fn surge(&mut self, size: &Size) {
        let start = self.fleet.now;
        self.surge_at = start;
        self.run_to(start + Duration::from_secs(2), 10.0);
        self.result.overshoot = 0.0;
        self.run_to(start + OWNER_LOST, 10.0);
        let ids: Vec<u64> = (0..size.routers).map(router_id).collect();
        if self.policy != Policy::StaticDivision
            && let Some(owner) = owner_of(SURGING, &ids)
        {
            let owner = self.fleet.index_of(owner);
            self.fleet.stop(owner);
        }
        self.run_to(start + OWNER_LOST + DETECTION, 10.0);
        self.fleet.update_live_routers();
        self.run_to(start + SURGE, 10.0);
    }

    fn recover(&mut self) {
        let start = self.fleet.now;
        let (overshoot, overshoot_at_s) = (self.result.overshoot, self.result.overshoot_at_s);
        while self.fleet.now < start + AFTER {
            if self.waiting.is_empty() {
                self.result.recovery_s = Some((self.fleet.now - start).as_secs_f64());
                break;
            }
            self.run_to(self.fleet.now + Duration::from_secs(1), 1.0);
        }
        self.result.overshoot = overshoot;
        self.result.overshoot_at_s = overshoot_at_s;
    }

    /// Runs to a time, with the surging team at `factor` times its rate.
    fn run_to(&mut self, end: Instant, factor: f64) {
        let mut second_end = self.fleet.now + Duration::from_secs(1);
        while self.fleet.now < end {
            self.step(factor);
            if self.fleet.now >= second_end {
                second_end += Duration::from_secs(1);
                self.sample();
            }
        }
    }

    fn step(&mut self, factor: f64) {
        let now = self.fleet.now;
        while let Some((key, _)) = self.finishing.first_key_value()
            && key.0 <= now
        {
            if let Some((_, (router, team))) = self.finishing.pop_first() {
                self.division.finish(router, team);
            }
        }
        let mean = self.cumulated.last().copied().unwrap_or(0.0) * STEP.as_secs_f64();
        for _ in 0..self.poisson(mean) {
            let team = self.draw_team();
            self.send(team, true);
        }
        let rate = self.rates[usize::try_from(SURGING).unwrap_or(0)];
        let extra = rate * (factor - 1.0) * STEP.as_secs_f64();
        for _ in 0..self.poisson(extra) {
            self.send(SURGING, true);
        }
        while let Some((key, _)) = self.waiting.first_key_value()
            && key.0 <= now
        {
            if let Some((_, team)) = self.waiting.pop_first() {
                self.send(team, false);
            }
        }
        self.fleet.run_for(STEP);
        let used = self.in_flight(SURGING);
        let share = self.shares[&SURGING].requests;
        let excess = f64::from(u32::try_from(used.saturating_sub(share)).unwrap_or(u32::MAX));
        let excess = excess / f64::from(u32::try_from(share).unwrap_or(u32::MAX));
        if excess > self.result.overshoot {
            self.result.overshoot = excess;
            self.result.overshoot_at_s = (now - self.surge_at).as_secs_f64();
        }
    }

    fn sample(&mut self) {
        self.result.peak_attempts = self.result.peak_attempts.max(self.attempts);
        self.attempts = 0;
        let holders = self.fleet.routers.iter().flatten();
        let active = holders.map(|router| router.holder.active_teams()).max();
        self.result.active_teams = self.result.active_teams.max(active.unwrap_or(0));
    }

    fn in_flight(&self, team: u64) -> u64 {
        match self.policy {
            Policy::StaticDivision => self.division.in_flight(team),
            Policy::Leases | Policy::UnlimitedRetries => self.fleet.in_flight(team).requests,
        }
    }

    fn send(&mut self, team: u64, is_fresh: bool) {
        self.attempts += 1;
        let router = self.fleet.random_live_router();
        let before = self.in_flight(team);
        let refused = self.admit(router, team);
        let share = self.shares[&team].requests;
        if team != SURGING {
            self.result.small_offered += u64::from(is_fresh);
            if refused.is_some() && before < share {
                self.result.small_refused += 1;
                self.result.small_refused_low += u64::from(before * 4 < share * 3);
            }
        }
        if let Some(retry_after) = refused {
            self.next += 1;
            let at = self.fleet.now + self.policy.pause(retry_after);
            self.waiting.insert((at, self.next), team);
        }
    }

    fn admit(&mut self, router: usize, team: u64) -> Option<Duration> {
        let time = self.run_time();
        if self.policy != Policy::StaticDivision {
            return self.fleet.request(router, team, WORK, time).err();
        }
        let routers = u64::try_from(self.fleet.routers.len()).unwrap_or(1);
        let share = self.shares[&team].requests;
        if !self.division.admit(router, team, share, routers) {
            return Some(Duration::from_secs(1));
        }
        self.next += 1;
        self.finishing
            .insert((self.fleet.now + time, self.next), (router, team));
        None
    }

    fn uniform(&mut self) -> f64 {
        let bits = u32::try_from(self.rng.next_u64() >> 32).unwrap_or(u32::MAX);
        (f64::from(bits) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    fn run_time(&mut self) -> Duration {
        let seconds = -self.uniform().ln() * MEAN_RUN_S;
        Duration::from_secs_f64(seconds.min(MEAN_RUN_S * 6.0))
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let mut product = self.uniform();
        let mut count = 0;
        while product > limit {
            product *= self.uniform();
            count += 1;
        }
        count
    }

    fn draw_team(&mut self) -> u64 {
        let total = self.cumulated.last().copied().unwrap_or(0.0);
        let point = self.uniform() * total;
        let index = self.cumulated.partition_point(|sum| *sum < point);
        u64::try_from(index.min(self.cumulated.len() - 1)).unwrap_or(0)
    }
}
