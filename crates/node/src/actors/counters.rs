//! Counters of the actors, by the names that the metrics server uses.
//! docs/OPERATIONS.md explains each.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_control::Member;
use bamboospur_orders::OrderResult;

use super::control::Control;
use super::members::Members;
use super::router::Router;

/// Values by name. Monotonic counters count from the start of the process.
pub type Counters = BTreeMap<&'static str, u64>;

/// Numbers of orders to engines since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCounts {
    pub(super) issued: u64,
    pub(super) sent: u64,
    done: u64,
    not_run: u64,
    unknown: u64,
}

impl OrderCounts {
    pub(super) const fn record(&mut self, result: OrderResult) {
        match result {
            OrderResult::Done => self.done += 1,
            OrderResult::NotRun => self.not_run += 1,
            OrderResult::Unknown => self.unknown += 1,
        }
    }
}

impl Router {
    /// Returns the counters of placement and limits.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let limits = self.shares.counters();
        let sum = |value: fn(&bamboospur_limits::LimitsCounters) -> u64| {
            limits.iter().map(|counters| value(counters)).sum::<u64>()
        };
        Counters::from([
            ("placement.placed", self.placed),
            ("placement.at_targets", self.placed - self.finished),
            ("placement.waiting", self.waiting()),
            ("placement.violations", self.placement_violations()),
            ("limits.sent_bytes", sum(|c| c.sent_bytes)),
            ("limits.received_bytes", sum(|c| c.received_bytes)),
            ("limits.dropped_packets", sum(|c| c.dropped_packets)),
            ("limits.violations", sum(|c| c.violations)),
        ])
    }

    fn waiting(&self) -> u64 {
        let waiting = self.pools.values().map(|pool| pool.waiting.len() as u64);
        waiting.sum()
    }

    fn placement_violations(&self) -> u64 {
        let placers = self.pools.values().map(|pool| pool.placer.violations());
        placers.sum::<u64>() + self.violations
    }
}

impl Members {
    /// Returns the counters of membership.
    #[must_use]
    pub fn counters(&self, now: Instant) -> Counters {
        let counters = self.membership.counters();
        let ready = self.membership.targets(now).filter(|t| t.takes_work);
        Counters::from([
            ("membership.routers", self.routers() as u64),
            (
                "membership.targets",
                self.membership.targets(now).count() as u64,
            ),
            ("membership.ready_targets", ready.count() as u64),
            ("membership.sent_bytes", counters.sent_bytes()),
            ("membership.received_bytes", counters.received_bytes()),
            ("membership.held_back", counters.throttled_packets),
            ("membership.suspected_targets", counters.suspected_targets),
            (
                "membership.suspected_instances",
                counters.suspected_instances,
            ),
            ("membership.violations", counters.violations),
        ])
    }
}

impl Control {
    /// Returns the counters of settings, claims, orders and links.
    #[must_use]
    pub fn counters(&self, now: Instant) -> Counters {
        let status = self.member.as_ref().map(Member::status);
        let lost = self.leader_contact.lost_at;
        let cut_off = lost.map(|(since, _)| now.saturating_duration_since(since));
        let cut_off = cut_off.unwrap_or_default().as_millis();
        let traffic = self.peers.traffic();
        Counters::from([
            ("control.revision", self.follower.revision()),
            ("control.leads", u64::from(self.leader == Some(self.own_id))),
            (
                "control.leaderless_ms",
                u64::try_from(cut_off).unwrap_or(u64::MAX),
            ),
            (
                "control.commit_index",
                status.as_ref().map_or(0, |s| s.replica.commit_index),
            ),
            ("control.waiting", self.pending_requests.len() as u64),
            ("control.violations", self.violation_count()),
            (
                "claims.held",
                status.as_ref().map_or(0, |s| s.claims as u64),
            ),
            ("claims.watched", self.claim_watches.len() as u64),
            ("orders.issued", self.order_counts.issued),
            ("orders.sent", self.order_counts.sent),
            ("orders.done", self.order_counts.done),
            ("orders.not_run", self.order_counts.not_run),
            ("orders.unknown", self.order_counts.unknown),
            (
                "peers.links",
                self.peers.links().borrow().status().len() as u64,
            ),
            ("peers.refused", traffic.refused),
            ("peers.dropped", traffic.dropped),
            ("peers.not_sent", traffic.not_sent),
            ("peers.over_budget", traffic.over_budget),
        ])
    }
}
