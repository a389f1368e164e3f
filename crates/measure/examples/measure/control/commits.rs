//! Measures the rate and the latency of commits.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use bamboospur_agreement::Ticket;
use bamboospur_types::time_from_s;

use super::group::ReplicaGroup;

/// Load before the measurement, whose results are discarded.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time for results to arrive after the measurement.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How requests are generated.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Closed loop: this many requests are in flight at all times.
    Concurrent(usize),
    /// Open loop: this many requests per second, whether or not the group keeps up.
    Rate(f64),
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Concurrent(count) => write!(f, "{count} in flight"),
            Self::Rate(rate) => write!(f, "{rate} proposals/s"),
        }
    }
}

#[derive(Debug, Default)]
pub struct CommitStats {
    pub commits_per_s: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
    pub commits_per_sync: f64,
    pub failed: usize,
}

struct LoadGenerator {
    group: ReplicaGroup,
    leader: u64,
    pending: BTreeMap<Ticket, Instant>,
    last_ticket: Ticket,
    latencies_ms: Vec<f64>,
    failed: usize,
}

/// Measures a group of `size` replicas under a load. Each sync takes `added_sync`
/// longer than the disk needs.
pub fn measure_commits(
    size: u64,
    load: Load,
    duration: Duration,
    added_sync: Duration,
) -> CommitStats {
    let group = ReplicaGroup::start(size, added_sync);
    let leader = group.wait_for_leader();
    let mut generator = LoadGenerator {
        group,
        leader,
        pending: BTreeMap::new(),
        last_ticket: 0,
        latencies_ms: Vec::new(),
        failed: 0,
    };
    generator.run(load, WARM_UP);
    generator.latencies_ms.clear();
    generator.failed = 0;
    let syncs = generator.group.syncs(leader);
    let began = Instant::now();
    generator.run(load, duration);
    let seconds = began.elapsed().as_secs_f64();
    let syncs = generator.group.syncs(leader) - syncs;
    generator.into_stats(seconds, syncs)
}

impl LoadGenerator {
    fn propose(&mut self) {
        self.last_ticket += 1;
        let began = self.group.propose(self.leader, self.last_ticket);
        self.pending.insert(self.last_ticket, began);
    }

    /// Waits for one result for at most `wait`. Returns whether a result came.
    fn receive_result(&mut self, wait: Duration) -> bool {
        match self.group.results.recv_timeout(wait) {
            Ok((ticket, result)) => {
                let began = self.pending.remove(&ticket);
                match (result, began) {
                    (Ok(_), Some(began)) => {
                        self.latencies_ms
                            .push(began.elapsed().as_secs_f64() * 1000.0);
                    }
                    _ => self.failed += 1,
                }
                true
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => false,
        }
    }

    /// Proposes entries for `duration`, then waits for the missing results.
    fn run(&mut self, load: Load, duration: Duration) {
        let began = Instant::now();
        let end = began + duration;
        let mut proposed = 0_u32;
        while Instant::now() < end {
            match load {
                Load::Concurrent(count) => {
                    while self.pending.len() < count {
                        self.propose();
                    }
                    self.receive_result(Duration::from_millis(10));
                }
                Load::Rate(rate) => {
                    let due = began + time_from_s(f64::from(proposed) / rate).unwrap_or_default();
                    let wait = due.saturating_duration_since(Instant::now());
                    if wait.is_zero() {
                        self.propose();
                        proposed += 1;
                    } else {
                        self.receive_result(wait);
                    }
                }
            }
        }
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while !self.pending.is_empty() && Instant::now() < deadline {
            self.receive_result(Duration::from_millis(10));
        }
    }

    fn into_stats(mut self, seconds: f64, syncs: usize) -> CommitStats {
        self.failed += self.pending.len();
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let percentile_ms = |percent: usize| {
            let index = (count * percent / 100).min(count.saturating_sub(1));
            self.latencies_ms
                .get(index)
                .copied()
                .unwrap_or(f64::INFINITY)
        };
        CommitStats {
            commits_per_s: to_f64(count) / seconds,
            p50_ms: percentile_ms(50),
            p99_ms: percentile_ms(99),
            max_ms: percentile_ms(100),
            commits_per_sync: to_f64(count) / to_f64(syncs.max(1)),
            failed: self.failed,
        }
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
