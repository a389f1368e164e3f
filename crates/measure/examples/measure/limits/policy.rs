//! The admission policies that the measurement compares: leases and two baselines.

use std::collections::BTreeMap;
use std::time::Duration;

/// How requests are admitted and when refused callers retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Leases; refused callers wait for the `Retry-After` time.
    Leases,
    /// Each router admits up to an equal, fixed part of each team's share.
    StaticDivision,
    /// Leases; refused callers ignore `Retry-After` and retry after 100 ms.
    UnlimitedRetries,
}

/// Admission by static division.
#[derive(Debug, Default)]
pub struct StaticDivision {
    /// Requests in flight by router and team.
    used_by_router: BTreeMap<(usize, u64), u64>,
    /// Requests in flight by team.
    used_by_team: BTreeMap<u64, u64>,
}

impl StaticDivision {
    /// Admits a request within the router's part of the share, which is at least one
    /// request.
    pub fn admit(&mut self, router: usize, team: u64, share: u64, routers: u64) -> bool {
        let used = self.used_by_router.entry((router, team)).or_default();
        if *used >= (share / routers).max(1) {
            return false;
        }
        *used += 1;
        *self.used_by_team.entry(team).or_default() += 1;
        true
    }

    pub fn finish(&mut self, router: usize, team: u64) {
        if let Some(used) = self.used_by_router.get_mut(&(router, team)) {
            *used -= 1;
            *self.used_by_team.entry(team).or_default() -= 1;
        }
    }

    pub fn in_flight(&self, team: u64) -> u64 {
        self.used_by_team.get(&team).copied().unwrap_or(0)
    }
}

impl Policy {
    /// Returns how long a refused caller waits; `retry_after` is the router's answer.
    pub fn retry_delay(self, retry_after: Duration) -> Duration {
        match self {
            Self::Leases => retry_after,
            Self::StaticDivision => Duration::from_secs(1),
            Self::UnlimitedRetries => Duration::from_millis(100),
        }
    }
}
