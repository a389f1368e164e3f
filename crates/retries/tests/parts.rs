//! Checks the bounds of the retry budget, the delays and the circuit breaker.

use std::time::{Duration, Instant};

use bamboospur_retries::{
    AttemptOutcome, Backoff, BackoffSettings, Breaker, BreakerSettings, BreakerState,
    BudgetSettings, Permit, RetryAfterPolicy, RetryAfterSettings, RetryBudget, Rng,
};
use quickcheck::quickcheck;

quickcheck! {
    /// Retries never exceed the fraction of all first attempts, plus the floor for the
    /// elapsed time and one second of the floor at the start.
    fn budget_never_exceeds_fraction_and_floor(steps: Vec<(u8, bool)>) -> bool {
        let start = Instant::now();
        let settings = BudgetSettings::default();
        let mut budget = RetryBudget::new(settings.clone(), start);
        let (mut now, mut first_attempts, mut retries) = (start, 0_u64, 0_u64);
        for (pause, is_first) in steps {
            now += Duration::from_millis(u64::from(pause) * 4);
            if is_first {
                budget.record_request(now);
                first_attempts += 1;
            } else {
                retries += u64::from(budget.try_retry(now));
            }
            let seconds = (now - start).as_secs() + 2;
            let floor = u64::from(settings.floor_per_second) * seconds;
            if retries > first_attempts * u64::from(settings.retries_per_thousand) / 1_000 + floor {
                return false;
            }
        }
        budget.violations() == 0
    }

    fn delays_stay_within_their_bounds(seed: u64, attempt: u32, after_ms: u16) -> bool {
        let mut rng = Rng::new(seed);
        let settings = BackoffSettings::default();
        let limit = settings.base.saturating_mul(1 << attempt.min(16)).min(settings.cap);
        let after = Duration::from_millis(u64::from(after_ms));
        let backoff = Backoff::new(settings);
        let extended = backoff.next_after(attempt, after, &mut rng);
        backoff.next(attempt, &mut rng) <= limit && extended >= after && extended <= after + limit
    }
}

#[test]
fn credit_of_a_burst_expires_after_two_windows() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(BudgetSettings::default(), start);
    for _ in 0..10_000 {
        budget.record_request(start);
    }
    assert!(!budget.try_retry(start) || budget.available() > 900);
    let later = start + Duration::from_secs(40);
    let granted = (0..1_000).filter(|_| budget.try_retry(later)).count();
    assert_eq!(granted, 1, "only the floor is left");
}

#[test]
fn retry_after_of_refusals_grows_with_overload() {
    let policy = RetryAfterPolicy::new(RetryAfterSettings::default());
    let mut rng = Rng::new(7);
    let mut mean = |percent| {
        let total: Duration = (0..500)
            .map(|_| policy.retry_after(percent, &mut rng))
            .sum();
        total / 500
    };
    let (full, double, tenfold) = (mean(100), mean(200), mean(1_000));
    assert!(
        full < double && double < tenfold,
        "{full:?} {double:?} {tenfold:?}"
    );
    assert!(tenfold <= RetryAfterSettings::default().cap * 3 / 2);
}

/// Makes 20 attempts for each team and records the same outcome for all that are allowed.
fn record_attempts(
    breaker: &mut Breaker,
    teams: std::ops::Range<u64>,
    outcome: AttemptOutcome,
    now: Instant,
) {
    let mut rng = Rng::new(1);
    for _ in 0..20 {
        for team in teams.clone() {
            let permit = breaker.allow(now);
            if !matches!(permit, Permit::Refused { .. }) {
                breaker.record(team, permit, outcome, now, &mut rng);
            }
        }
    }
}

#[test]
fn failures_of_fewer_than_three_teams_do_not_open_the_breaker() {
    let now = Instant::now();
    let mut breaker = Breaker::new(BreakerSettings::default());
    record_attempts(&mut breaker, 0..2, AttemptOutcome::Failure, now);
    assert_eq!(breaker.state(), BreakerState::Closed);
    record_attempts(&mut breaker, 0..3, AttemptOutcome::Failure, now);
    assert_eq!(breaker.state(), BreakerState::Open);
}

#[test]
fn connection_failures_open_the_breaker_and_one_probe_at_a_time_can_close_it() {
    let now = Instant::now();
    let mut rng = Rng::new(2);
    let mut breaker = Breaker::new(BreakerSettings::default());
    record_attempts(&mut breaker, 0..1, AttemptOutcome::ConnectionFailure, now);
    assert!(matches!(breaker.allow(now), Permit::Refused { .. }));
    let mut later = now + Duration::from_secs(2);
    assert_eq!(breaker.allow(later), Permit::Probe);
    assert!(matches!(breaker.allow(later), Permit::Refused { .. }));
    breaker.record(1, Permit::Probe, AttemptOutcome::Failure, later, &mut rng);
    assert_eq!(breaker.state(), BreakerState::Open);
    later += Duration::from_secs(4);
    assert_eq!(breaker.allow(later), Permit::Probe);
    breaker.record(1, Permit::Probe, AttemptOutcome::Success, later, &mut rng);
    assert_eq!(breaker.allow(later), Permit::Allowed);
}

#[test]
fn a_probe_without_an_outcome_does_not_keep_the_breaker_half_open() {
    let now = Instant::now();
    let mut breaker = Breaker::new(BreakerSettings::default());
    record_attempts(&mut breaker, 0..1, AttemptOutcome::ConnectionFailure, now);
    let probe_at = now + Duration::from_secs(2);
    assert_eq!(breaker.allow(probe_at), Permit::Probe);
    let after = probe_at + BreakerSettings::default().probe_timeout;
    assert_eq!(breaker.allow(after), Permit::Probe);
}
