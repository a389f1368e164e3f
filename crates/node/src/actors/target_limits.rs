//! Part of the router actor: limits that targets state on the requests of all routers together.
//!
//! Every instance tells the others of its data centre what targets stated to it. As all know the
//! same routers, each has a hub of its own, and all name the same holders of a limit.

use std::time::Instant;

use bamboospur_placement::Refusal;
use bamboospur_target_limits::{
    LimitHub, LimitHubSettings, LimitShare, MAX_STATED_PER_MESSAGE, StatedLimit, TargetLimits,
    TargetLimitsSettings, TargetStartId,
};
use bamboospur_types::{RequestRate, TargetId};
use tracing::info;

use super::router::Router;
use crate::peers::PeerMessage;
use crate::request::Placement;

/// Limits that the router keeps, and who divides them.
pub(super) struct Limits {
    member: TargetLimits,
    hub: LimitHub,
}

impl Limits {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            member: TargetLimits::new(TargetLimitsSettings::default(), seed),
            hub: LimitHub::new(LimitHubSettings::default()),
        }
    }

    /// Whether a target has stated a limit.
    pub(super) fn is_limited(&self, target: TargetStartId) -> bool {
        self.member.is_limited(target)
    }

    /// Whether a request may be sent to a target now.
    pub(super) fn has_room(&self, target: TargetStartId, now: Instant) -> bool {
        self.member.available_at(target, now).is_none()
    }

    /// Records that a request is sent to a target.
    pub(super) fn record_request(&mut self, target: TargetStartId, now: Instant) {
        self.member.record_request(target, now);
    }

    fn available_at(&self, target: TargetStartId, now: Instant) -> Option<Instant> {
        self.member.available_at(target, now)
    }
}

impl Router {
    pub(super) fn record_limit(
        &mut self,
        target: TargetStartId,
        limit: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) {
        let member = &mut self.limits.member;
        member.record_answer(target, limit, sent_at, now);
    }

    /// Handles what targets stated to another instance.
    pub(super) fn handle_stated_limits(&mut self, stated: &[StatedLimit], now: Instant) {
        let shares = self.limits.hub.handle(stated, &self.routers, now);
        self.apply_limit_shares(&shares, now);
    }

    /// Tells the other instances what targets stated to this one.
    pub(super) fn target_limits_tick(&mut self, now: Instant) {
        self.limits.member.expire(now);
        self.limits.hub.remove_expired(now);
        let member = &self.limits.member;
        let changed = self.targets.set_limited(|start| member.is_limited(start));
        for (name, view) in changed {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.placer.set_target(view, now);
            }
        }
        let stated = self.limits.member.take_reports();
        if stated.is_empty() {
            return;
        }
        for StatedLimit { target, limit } in &stated {
            let limit = limit.map(|limit| limit.to_string());
            info!(target, limit, "a target stated a limit on its requests");
        }
        for part in stated.chunks(MAX_STATED_PER_MESSAGE) {
            for &to in self.routers.iter().filter(|&&to| to != self.own_id) {
                let stated = part.to_vec();
                self.peers.send(PeerMessage::TargetLimits { to, stated });
            }
        }
        self.handle_stated_limits(&stated, now);
    }

    /// Replaces holders of limits that are gone.
    pub(super) fn update_limit_holders(&mut self, now: Instant) {
        let routers = u32::try_from(self.routers.len()).unwrap_or(u32::MAX);
        self.limits.member.set_router_count(routers);
        let shares = self.limits.hub.replace_holders(&self.routers, now);
        self.apply_limit_shares(&shares, now);
    }

    fn apply_limit_shares(&mut self, shares: &[LimitShare], now: Instant) {
        for share in shares {
            self.limits.member.apply(share, self.own_id, now);
        }
    }

    /// Returns the targets of a pool that take no request of this router now, and when the
    /// first of them does.
    pub(super) fn targets_at_limit(
        &self,
        pool: &str,
        now: Instant,
    ) -> (Vec<TargetId>, Option<Instant>) {
        let targets = self.targets.in_pool(pool).filter_map(|target| {
            let available_at = self.limits.available_at(target.start_id(), now)?;
            Some((target.view.id, available_at))
        });
        let targets: Vec<(TargetId, Instant)> = targets.collect();
        let first = targets.iter().map(|&(_, at)| at).min();
        (targets.into_iter().map(|(id, _)| id).collect(), first)
    }

    /// Refuses a request for which targets are left only at their limits.
    pub(super) fn refuse_at_limit(available_at: Instant, now: Instant) -> Placement {
        Placement::Refused {
            reason: Refusal::Overloaded,
            retry_after: available_at.saturating_duration_since(now),
        }
    }
}
