//! Load summaries of the peers, from which the mean load of a data centre follows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

/// Age at which a peer's summary is dropped.
const SUMMARY_EXPIRY: Duration = Duration::from_secs(10);

/// Load and weight of a group of targets, such as those of one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Sum of the loads, in tokens.
    pub load_tokens: f64,
    /// Sum of the effective capacities, in tokens.
    pub weight_tokens: f64,
}

impl GroupLoad {
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            load_tokens: self.load_tokens + other.load_tokens,
            weight_tokens: self.weight_tokens + other.weight_tokens,
        }
    }
}

#[derive(Debug)]
struct Summary {
    version: u64,
    received_at: Instant,
    group: GroupLoad,
}

/// Last summary of each peer.
#[derive(Debug, Default)]
pub struct Summaries {
    peers: BTreeMap<InstanceId, Summary>,
}

impl Summaries {
    /// Stores a summary unless one with the same or a higher version is known.
    pub fn update(&mut self, from: InstanceId, version: u64, group: GroupLoad, now: Instant) {
        let known = self.peers.get(&from).map_or(0, |summary| summary.version);
        if version <= known {
            return;
        }
        let summary = Summary {
            version,
            received_at: now,
            group,
        };
        self.peers.insert(from, summary);
    }

    /// Keeps the summaries of `routers` only.
    pub fn retain(&mut self, routers: &[InstanceId]) {
        self.peers.retain(|peer, _| routers.contains(peer));
    }

    /// Drops summaries older than `SUMMARY_EXPIRY`.
    pub fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, s| now.saturating_duration_since(s.received_at) < SUMMARY_EXPIRY);
    }

    /// Returns the peer with the lowest ratio of load to weight among those that
    /// are not excluded.
    pub fn least_loaded(&self, is_excluded: impl Fn(InstanceId) -> bool) -> Option<InstanceId> {
        let load_ratio =
            |summary: &Summary| summary.group.load_tokens / summary.group.weight_tokens.max(1.0);
        self.peers
            .iter()
            .filter(|(peer, summary)| summary.group.weight_tokens > 0.0 && !is_excluded(**peer))
            .min_by(|a, b| load_ratio(a.1).total_cmp(&load_ratio(b.1)))
            .map(|(peer, _)| *peer)
    }

    /// Returns the sum over all known summaries.
    pub fn total(&self) -> GroupLoad {
        self.peers
            .values()
            .fold(GroupLoad::default(), |sum, s| sum.plus(s.group))
    }
}
