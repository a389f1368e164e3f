//! The synthetic trace: warm-up, surge with the loss of an owner, and recovery.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_limits::{Amount, Rng, TeamShare, owner_of};
use bamboospur_types::time_from_s;

use super::fleet::{Fleet, router_id};
use super::policy::{Policy, StaticDivision};

const WARM_UP: Duration = Duration::from_mins(1);
const SURGE_DURATION: Duration = Duration::from_mins(1);
/// Longest wait for the recovery after the surge.
const RECOVERY_LIMIT: Duration = Duration::from_mins(5);
/// Time from the start of the surge to the crash of the owner.
const OWNER_LOSS_DELAY: Duration = Duration::from_secs(20);
/// Time that membership takes to remove a crashed router.
const DETECTION_DELAY: Duration = Duration::from_secs(4);
const MEAN_RUN_TIME_S: f64 = 10.0;
/// Work of each request.
const REQUEST_WORK_TOKENS: u64 = 2_500;
/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// The team whose rate rises tenfold; teams are numbered by rank.
const SURGING_TEAM: u64 = 3;

/// Size of the simulated data centre.
pub struct Size {
    pub name: &'static str,
    pub routers: usize,
    pub teams: u64,
    pub requests_per_second: f64,
}

/// Measurements of one run.
#[derive(Debug, Default)]
pub struct TraceResult {
    /// Largest excess over the surging team's share from 2 s into the surge to its
    /// end, as a part of the share.
    pub overshoot: f64,
    /// Time of the largest excess, from the start of the surge.
    pub overshoot_at_s: f64,
    /// Refused attempts of the other teams while they used less than their share.
    pub small_team_refused: u64,
    /// Those of them while the team used less than three quarters of its share.
    pub small_team_refused_low: u64,
    /// Requests of the other teams, without retries.
    pub small_team_offered: u64,
    /// Time from the end of the surge until no caller waits to retry; empty if some
    /// still wait after the recovery limit.
    pub recovery_s: Option<f64>,
    /// Mean rate at which a router sends, in the minute before the surge.
    pub bytes_per_second: f64,
    /// Mean rate at which a router sends during the surge.
    pub surge_bytes_per_second: f64,
    /// Most requests and retries in a second.
    pub peak_attempts: u64,
    /// Most teams active on a router at once.
    pub active_teams: usize,
    /// Violated invariants that the fleet counted.
    pub violations: u64,
}

/// Returns equal shares for teams with one request a second each.
pub fn equal_shares(teams: u64) -> BTreeMap<u64, TeamShare> {
    (0..teams).map(|team| (team, share_of(1.0))).collect()
}

/// Returns three times what a team uses on average, at least 8 requests.
fn share_of(requests_per_second: f64) -> TeamShare {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive"
    )]
    let requests = ((requests_per_second * MEAN_RUN_TIME_S * 3.0).ceil() as u64).max(8);
    Amount {
        requests,
        work: requests * REQUEST_WORK_TOKENS * 2,
        requests_per_minute: requests * 60,
        work_per_minute: requests * 60 * REQUEST_WORK_TOKENS * 2,
    }
}

struct Trace {
    fleet: Fleet,
    division: StaticDivision,
    policy: Policy,
    shares: BTreeMap<u64, TeamShare>,
    /// Running sum of the teams' rates, to draw a team.
    cumulative_rates: Vec<f64>,
    /// Requests a second by team.
    team_rates: Vec<f64>,
    rng: Rng,
    /// Teams of the refused requests, by time of the retry and sequence number.
    retries: BTreeMap<(Instant, u64), u64>,
    /// Router and team of the requests under static division, by end time and
    /// sequence number.
    finishing: BTreeMap<(Instant, u64), (usize, u64)>,
    sequence: u64,
    /// Requests and retries since the last sample.
    attempts: u64,
    surge_start: Instant,
    result: TraceResult,
}

pub fn run_trace(size: &Size, policy: Policy, seed: u64) -> TraceResult {
    let mut trace = Trace::new(size, policy, seed);
    let start = trace.fleet.now;
    trace.run_to(start + WARM_UP, 1.0);
    let bytes_before = trace.fleet.sent_bytes;
    trace.run_to(start + WARM_UP * 2, 1.0);
    trace.result.bytes_per_second =
        trace.bytes_per_second_per_router(bytes_before, WARM_UP, size.routers);
    let bytes_before = trace.fleet.sent_bytes;
    trace.surge(size);
    trace.result.surge_bytes_per_second =
        trace.bytes_per_second_per_router(bytes_before, SURGE_DURATION, size.routers);
    trace.recover();
    trace.result.violations = trace.fleet.violations();
    trace.result
}

impl Trace {
    fn new(size: &Size, policy: Policy, seed: u64) -> Self {
        let weight = |rank: u64| 1.0 / f64::from(u32::try_from(rank).unwrap_or(u32::MAX) + 1);
        let total: f64 = (0..size.teams).map(weight).sum();
        let team_rates: Vec<f64> = (0..size.teams)
            .map(|rank| size.requests_per_second * weight(rank) / total)
            .collect();
        let shares: BTreeMap<u64, TeamShare> = (0..)
            .zip(&team_rates)
            .map(|(team, rate)| (team, share_of(*rate)))
            .collect();
        let mut sum = 0.0;
        let cumulative_rates = team_rates
            .iter()
            .map(|rate| {
                sum += rate;
                sum
            })
            .collect();
        Self {
            fleet: Fleet::new(size.routers, shares.clone(), seed),
            division: StaticDivision::default(),
            policy,
            shares,
            cumulative_rates,
            team_rates,
            rng: Rng::new(seed),
            retries: BTreeMap::new(),
            finishing: BTreeMap::new(),
            sequence: 0,
            attempts: 0,
            surge_start: Instant::now(),
            result: TraceResult::default(),
        }
    }

    fn bytes_per_second_per_router(
        &self,
        bytes_before: u64,
        time: Duration,
        routers: usize,
    ) -> f64 {
        let bytes = u32::try_from(self.fleet.sent_bytes - bytes_before).unwrap_or(u32::MAX);
        f64::from(bytes) / time.as_secs_f64() / f64::from(u32::try_from(routers).unwrap_or(1))
    }

    /// Runs the surge with the crash of the owner.
    fn surge(&mut self, size: &Size) {
        let start = self.fleet.now;
        self.surge_start = start;
        self.run_to(start + Duration::from_secs(2), 10.0);
        self.result.overshoot = 0.0;
        self.run_to(start + OWNER_LOSS_DELAY, 10.0);
        let ids: Vec<u64> = (0..size.routers).map(router_id).collect();
        if self.policy != Policy::StaticDivision
            && let Some(owner) = owner_of(SURGING_TEAM, &ids)
        {
            let owner = self.fleet.index_of(owner);
            self.fleet.stop(owner);
        }
        self.run_to(start + OWNER_LOSS_DELAY + DETECTION_DELAY, 10.0);
        self.fleet.update_live_routers();
        self.run_to(start + SURGE_DURATION, 10.0);
    }

    /// Runs until no caller waits to retry; the overshoot of the surge is kept.
    fn recover(&mut self) {
        let start = self.fleet.now;
        let (overshoot, overshoot_at_s) = (self.result.overshoot, self.result.overshoot_at_s);
        while self.fleet.now < start + RECOVERY_LIMIT {
            if self.retries.is_empty() {
                self.result.recovery_s = Some((self.fleet.now - start).as_secs_f64());
                break;
            }
            self.run_to(self.fleet.now + Duration::from_secs(1), 1.0);
        }
        self.result.overshoot = overshoot;
        self.result.overshoot_at_s = overshoot_at_s;
    }

    /// Runs until `end`, with the surging team at `factor` times its rate.
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
        while let Some((due, _)) = self.finishing.first_key_value()
            && due.0 <= now
        {
            if let Some((_, (router, team))) = self.finishing.pop_first() {
                self.division.finish(router, team);
            }
        }
        let mean = self.cumulative_rates.last().copied().unwrap_or(0.0) * STEP.as_secs_f64();
        for _ in 0..self.poisson(mean) {
            let team = self.draw_team();
            self.send(team, true);
        }
        let rate = self.team_rates[usize::try_from(SURGING_TEAM).unwrap_or(0)];
        let extra = rate * (factor - 1.0) * STEP.as_secs_f64();
        for _ in 0..self.poisson(extra) {
            self.send(SURGING_TEAM, true);
        }
        while let Some((due, _)) = self.retries.first_key_value()
            && due.0 <= now
        {
            if let Some((_, team)) = self.retries.pop_first() {
                self.send(team, false);
            }
        }
        self.fleet.run_for(STEP);
        let used = self.in_flight(SURGING_TEAM);
        let share = self.shares[&SURGING_TEAM].requests;
        let excess = f64::from(u32::try_from(used.saturating_sub(share)).unwrap_or(u32::MAX));
        let excess = excess / f64::from(u32::try_from(share).unwrap_or(u32::MAX));
        if excess > self.result.overshoot {
            self.result.overshoot = excess;
            self.result.overshoot_at_s = (now - self.surge_start).as_secs_f64();
        }
    }

    /// Records the attempts of the last second and the active teams.
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
        let in_flight_before = self.in_flight(team);
        let refused = self.admit(router, team);
        let share = self.shares[&team].requests;
        if team != SURGING_TEAM {
            self.result.small_team_offered += u64::from(is_fresh);
            if refused.is_some() && in_flight_before < share {
                self.result.small_team_refused += 1;
                self.result.small_team_refused_low += u64::from(in_flight_before * 4 < share * 3);
            }
        }
        if let Some(retry_after) = refused {
            self.sequence += 1;
            let at = self.fleet.now + self.policy.retry_delay(retry_after);
            self.retries.insert((at, self.sequence), team);
        }
    }

    /// Returns the time to wait if the request is refused.
    fn admit(&mut self, router: usize, team: u64) -> Option<Duration> {
        let run_time = self.run_time();
        if self.policy != Policy::StaticDivision {
            return self
                .fleet
                .request(router, team, REQUEST_WORK_TOKENS, run_time)
                .err();
        }
        let routers = u64::try_from(self.fleet.routers.len()).unwrap_or(1);
        let share = self.shares[&team].requests;
        if !self.division.admit(router, team, share, routers) {
            return Some(Duration::from_secs(1));
        }
        self.sequence += 1;
        self.finishing
            .insert((self.fleet.now + run_time, self.sequence), (router, team));
        None
    }

    /// Returns a value in (0, 1).
    fn uniform(&mut self) -> f64 {
        let bits = u32::try_from(self.rng.next_u64() >> 32).unwrap_or(u32::MAX);
        (f64::from(bits) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// Draws an exponential run time, at most six times the mean.
    fn run_time(&mut self) -> Duration {
        let seconds = -self.uniform().ln() * MEAN_RUN_TIME_S;
        time_from_s(seconds.min(MEAN_RUN_TIME_S * 6.0)).unwrap_or_default()
    }

    /// Draws a Poisson-distributed count.
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
        let total = self.cumulative_rates.last().copied().unwrap_or(0.0);
        let point = self.uniform() * total;
        let index = self.cumulative_rates.partition_point(|sum| *sum < point);
        u64::try_from(index.min(self.cumulative_rates.len() - 1)).unwrap_or(0)
    }
}
