//! Circuit breaker of one target.
//!
//! Failures are counted per team. The breaker opens on failures of several
//! teams, or on connection failures, which do not depend on the request. A team
//! whose own requests fail everywhere cannot open it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{Rng, TeamId};

/// Limits of a breaker.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Teams with failures in a row that open the breaker.
    pub failing_teams: usize,
    /// Failures in a row after which a team counts as failing.
    pub failures_per_team: u32,
    /// Connection failures in a row that open the breaker.
    pub connection_failures: u32,
    /// Age at which a failure is forgotten.
    pub memory: Duration,
    /// Upper end of the first pause before a probe; doubles with each failed one.
    pub open: Duration,
    /// Upper end of every pause before a probe.
    pub open_cap: Duration,
    /// Time after which a probe without a verdict counts as failed.
    pub probe_timeout: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failing_teams: 3,
            failures_per_team: 2,
            connection_failures: 3,
            memory: Duration::from_secs(10),
            open: Duration::from_secs(1),
            open_cap: Duration::from_secs(30),
            probe_timeout: Duration::from_secs(30),
        }
    }
}

/// How an attempt at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered, or refused for the caller's own fault.
    Success,
    /// The target failed while it processed the request.
    Failure,
    /// The connection was refused, reset or timed out before an answer.
    ConnectionFailure,
    /// The attempt was cancelled and says nothing about the target.
    Abandoned,
}

/// Whether an attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The breaker is closed.
    Allowed,
    /// The attempt is the single probe of a half-open breaker.
    Probe,
    /// The breaker is open until the given time at least.
    Refused {
        /// Earliest time of the next probe.
        until: Instant,
    },
}

/// State of a breaker, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BreakerState {
    /// Attempts pass.
    Closed,
    /// Attempts are refused.
    Open,
    /// One probe is running.
    HalfOpen,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed,
    Open { until: Instant },
    HalfOpen { deadline: Instant },
}

#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    last: Instant,
}

/// Upper bound on remembered teams; older entries are dropped first.
const MAX_TEAMS: usize = 64;

/// Circuit breaker of one target on one router.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    teams: BTreeMap<TeamId, Failures>,
    connection: Option<Failures>,
    failed_probes: u32,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub const fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed,
            teams: BTreeMap::new(),
            connection: None,
            failed_probes: 0,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> BreakerState {
        match self.state {
            State::Closed => BreakerState::Closed,
            State::Open { .. } => BreakerState::Open,
            State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Asks for one attempt; `Permit::Probe` must be followed by `record`.
    pub fn allow(&mut self, now: Instant) -> Permit {
        match self.state {
            State::Closed => Permit::Allowed,
            State::Open { until } if now < until => Permit::Refused { until },
            State::HalfOpen { deadline } if now < deadline => Permit::Refused { until: deadline },
            State::Open { .. } | State::HalfOpen { .. } => {
                let deadline = now + self.settings.probe_timeout;
                self.state = State::HalfOpen { deadline };
                Permit::Probe
            }
        }
    }

    /// Returns whether `allow` would refuse, without taking the probe.
    #[must_use]
    pub fn refuses(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => false,
            State::Open { until } => now < until,
            State::HalfOpen { deadline } => now < deadline,
        }
    }

    /// Records the end of an attempt that `allow` permitted.
    pub fn record(
        &mut self,
        team: TeamId,
        permit: Permit,
        verdict: AttemptOutcome,
        now: Instant,
        rng: &mut Rng,
    ) {
        if permit == Permit::Probe {
            self.record_probe(verdict, now, rng);
            return;
        }
        match verdict {
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Success => {
                self.teams.remove(&team);
                self.connection = None;
            }
            AttemptOutcome::Failure => self.count_team(team, now),
            AttemptOutcome::ConnectionFailure => self.count_connection(now),
        }
        if matches!(self.state, State::Closed) && self.is_failing(now) {
            self.open(now, rng);
        }
    }

    fn record_probe(&mut self, verdict: AttemptOutcome, now: Instant, rng: &mut Rng) {
        if !matches!(self.state, State::HalfOpen { .. }) {
            return;
        }
        match verdict {
            AttemptOutcome::Success => {
                self.state = State::Closed;
                self.teams.clear();
                self.connection = None;
                self.failed_probes = 0;
            }
            AttemptOutcome::Abandoned => self.state = State::Open { until: now },
            AttemptOutcome::Failure | AttemptOutcome::ConnectionFailure => {
                self.failed_probes = self.failed_probes.saturating_add(1);
                self.open(now, rng);
            }
        }
    }

    fn count_team(&mut self, team: TeamId, now: Instant) {
        self.forget(now);
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            let oldest = self
                .teams
                .iter()
                .min_by_key(|(_, f)| f.last)
                .map(|(t, _)| *t);
            if let Some(oldest) = oldest {
                self.teams.remove(&oldest);
            }
        }
        let failures = self.teams.entry(team).or_insert(Failures {
            count: 0,
            last: now,
        });
        failures.count = failures.count.saturating_add(1);
        failures.last = now;
    }

    fn count_connection(&mut self, now: Instant) {
        self.forget(now);
        let count = self.connection.map_or(0, |f| f.count);
        self.connection = Some(Failures {
            count: count.saturating_add(1),
            last: now,
        });
    }

    fn forget(&mut self, now: Instant) {
        let memory = self.settings.memory;
        let fresh = |f: &Failures| now.saturating_duration_since(f.last) < memory;
        self.teams.retain(|_, f| fresh(f));
        self.connection = self.connection.filter(fresh);
    }

    fn is_failing(&mut self, now: Instant) -> bool {
        self.forget(now);
        let limit = self.settings.failures_per_team;
        let failing = self.teams.values().filter(|f| f.count >= limit).count();
        let connection = self.connection.map_or(0, |f| f.count);
        failing >= self.settings.failing_teams || connection >= self.settings.connection_failures
    }

    /// Half the pause is fixed and half is random, so that routers do not probe
    /// together and a probe never follows at once.
    fn open(&mut self, now: Instant, rng: &mut Rng) {
        let factor = 1_u32.checked_shl(self.failed_probes).unwrap_or(u32::MAX);
        let pause = self
            .settings
            .open
            .saturating_mul(factor)
            .min(self.settings.open_cap);
        let until = now + pause / 2 + rng.duration_up_to(pause / 2);
        self.state = State::Open { until };
    }
}
