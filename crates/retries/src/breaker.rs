//! Circuit breaker of one target.
//!
//! Failures are counted per team. The breaker opens on failures of several teams, or on
//! connection failures, which do not depend on the request. A single team whose requests
//! fail at every target cannot open the breaker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{Rng, TeamId};

/// Thresholds and delays of a breaker.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Number of failing teams that opens the breaker.
    pub failing_teams: usize,
    /// Failures in a row from which on a team counts as failing.
    pub failures_per_team: u32,
    /// Connection failures in a row that open the breaker, regardless of the team.
    pub connection_failures: u32,
    /// Time after the last failure of a team, or the last connection failure, after which
    /// the count of these failures is dropped.
    pub failure_ttl: Duration,
    /// Upper bound of the first pause before a probe; doubles with each failed probe.
    pub first_pause: Duration,
    /// Upper bound of every pause before a probe.
    pub max_pause: Duration,
    /// Time after which another probe is allowed if the outcome of a probe is not recorded.
    pub probe_timeout: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failing_teams: 3,
            failures_per_team: 2,
            connection_failures: 3,
            failure_ttl: Duration::from_secs(10),
            first_pause: Duration::from_secs(1),
            max_pause: Duration::from_secs(30),
            probe_timeout: Duration::from_secs(30),
        }
    }
}

/// Result of an attempt at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered, or refused the request because of a fault of the caller.
    Success,
    /// The target failed while it processed the request.
    Failure,
    /// The connection was refused, reset or timed out before an answer.
    ConnectionFailure,
    /// The attempt was cancelled; the state of the target is unknown.
    Abandoned,
}

/// Decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The breaker is closed; the attempt may be made.
    Allowed,
    /// The attempt may be made as the single probe of a half-open breaker.
    Probe,
    /// The attempt may not be made: the breaker is open or another probe is running.
    Refused {
        /// Earliest time of the next probe.
        until: Instant,
    },
}

/// State of a breaker, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BreakerState {
    /// Attempts are allowed.
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
    last_at: Instant,
}

/// Largest number of teams with counted failures; the one that failed least recently is evicted.
const MAX_TEAMS: usize = 64;

/// Circuit breaker of one target on one router.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    teams: BTreeMap<TeamId, Failures>,
    connection_failures: Option<Failures>,
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
            connection_failures: None,
            failed_probes: 0,
        }
    }

    /// Returns the state as of the last call of [`Self::allow`] or [`Self::record`].
    #[must_use]
    pub const fn state(&self) -> BreakerState {
        match self.state {
            State::Closed => BreakerState::Closed,
            State::Open { .. } => BreakerState::Open,
            State::HalfOpen { .. } => BreakerState::HalfOpen,
        }
    }

    /// Decides on one attempt. After [`Permit::Probe`] the caller must call
    /// [`Self::record`].
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

    /// Returns whether [`Self::allow`] would refuse an attempt, without starting a probe.
    #[must_use]
    pub fn refuses(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => false,
            State::Open { until } => now < until,
            State::HalfOpen { deadline } => now < deadline,
        }
    }

    /// Records the outcome of an attempt that [`Self::allow`] permitted.
    pub fn record(
        &mut self,
        team: TeamId,
        permit: Permit,
        outcome: AttemptOutcome,
        now: Instant,
        rng: &mut Rng,
    ) {
        if permit == Permit::Probe {
            self.record_probe(outcome, now, rng);
            return;
        }
        match outcome {
            AttemptOutcome::Abandoned => {}
            AttemptOutcome::Success => {
                self.teams.remove(&team);
                self.connection_failures = None;
            }
            AttemptOutcome::Failure => self.record_team_failure(team, now),
            AttemptOutcome::ConnectionFailure => self.record_connection_failure(now),
        }
        if matches!(self.state, State::Closed) && self.should_open(now) {
            self.open(now, rng);
        }
    }

    fn record_probe(&mut self, outcome: AttemptOutcome, now: Instant, rng: &mut Rng) {
        if !matches!(self.state, State::HalfOpen { .. }) {
            return;
        }
        match outcome {
            AttemptOutcome::Success => {
                self.state = State::Closed;
                self.teams.clear();
                self.connection_failures = None;
                self.failed_probes = 0;
            }
            AttemptOutcome::Abandoned => self.state = State::Open { until: now },
            AttemptOutcome::Failure | AttemptOutcome::ConnectionFailure => {
                self.failed_probes = self.failed_probes.saturating_add(1);
                self.open(now, rng);
            }
        }
    }

    fn record_team_failure(&mut self, team: TeamId, now: Instant) {
        self.drop_expired(now);
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            let oldest = self
                .teams
                .iter()
                .min_by_key(|(_, f)| f.last_at)
                .map(|(t, _)| *t);
            if let Some(oldest) = oldest {
                self.teams.remove(&oldest);
            }
        }
        let failures = self.teams.entry(team).or_insert(Failures {
            count: 0,
            last_at: now,
        });
        failures.count = failures.count.saturating_add(1);
        failures.last_at = now;
    }

    fn record_connection_failure(&mut self, now: Instant) {
        self.drop_expired(now);
        let count = self.connection_failures.map_or(0, |f| f.count);
        self.connection_failures = Some(Failures {
            count: count.saturating_add(1),
            last_at: now,
        });
    }

    fn drop_expired(&mut self, now: Instant) {
        let ttl = self.settings.failure_ttl;
        let is_recent = |f: &Failures| now.saturating_duration_since(f.last_at) < ttl;
        self.teams.retain(|_, f| is_recent(f));
        self.connection_failures = self.connection_failures.filter(is_recent);
    }

    fn should_open(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        let limit = self.settings.failures_per_team;
        let failing = self.teams.values().filter(|f| f.count >= limit).count();
        let connection = self.connection_failures.map_or(0, |f| f.count);
        failing >= self.settings.failing_teams || connection >= self.settings.connection_failures
    }

    /// Opens the breaker until the next probe. Half of the pause is fixed and half is random,
    /// so that routers do not probe at the same time and never without a pause.
    fn open(&mut self, now: Instant, rng: &mut Rng) {
        let factor = 1_u32.checked_shl(self.failed_probes).unwrap_or(u32::MAX);
        let pause = self
            .settings
            .first_pause
            .saturating_mul(factor)
            .min(self.settings.max_pause);
        let until = now + pause / 2 + rng.duration_up_to(pause / 2);
        self.state = State::Open { until };
    }
}
