//! Declarations of holdings to the owners, relayed evictions and summaries.

use std::time::{Duration, Instant};

use bamboospur_types::{InstanceId, TargetId};

use crate::decision::PlacementOutput;
use crate::message::{Holding, PlacementMessage};
use crate::placer::{Placer, wire_tokens};

/// Shortest and longest time between regular summaries to one router that are sent
/// in a packet of their own.
const SUMMARY_INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(3));

/// Shortest time between summaries to one router that share a packet with another
/// message.
const MIN_SHARED_SUMMARY_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between summaries to one router that are sent because the load
/// changed.
const MIN_CHANGED_SUMMARY_INTERVAL: Duration = Duration::from_millis(20);

/// Change of the own targets' load, as a fraction of the data centre's load, that is
/// sent to the peers at once. In a small or idle pool one request shifts the mean
/// by this much, and owners with an old mean would deny requests without need.
const SUMMARY_LOAD_CHANGE_RATIO: f64 = 0.02;

/// Most evicted chats in one message; more would not fit in a packet.
const MAX_EVICTIONS_PER_MESSAGE: usize = 100;

impl Placer {
    /// Schedules a declaration to the owner of `target` for `due` or earlier, and to
    /// the previous owner shortly after a change.
    pub(crate) fn schedule_target_declaration(
        &mut self,
        target: TargetId,
        due: Instant,
        now: Instant,
    ) {
        let Some(entry) = self.targets.get(target) else {
            return;
        };
        for owner in entry.declaration_receivers(now) {
            self.peers.schedule_declaration(owner, due);
        }
    }

    /// Schedules declarations of all holdings for the next tick, and a first one to
    /// each new router of the own data centre.
    pub(crate) fn schedule_all_declarations(&mut self, now: Instant) {
        let held: Vec<TargetId> = self.held.targets().map(|(target, _)| target).collect();
        for target in held {
            self.schedule_target_declaration(target, now, now);
        }
        for router in self.targets.routers() {
            if *router != self.own_id {
                self.peers.get_or_insert(*router, now);
            }
        }
    }

    /// Sends the declarations that are due, with the evictions to relay.
    pub(crate) fn send_declarations(&mut self, now: Instant, outputs: &mut Vec<PlacementOutput>) {
        for to in self.peers.due_peers(now) {
            self.send_declaration(to, now, outputs);
        }
    }

    fn send_declaration(
        &mut self,
        to: InstanceId,
        now: Instant,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let holdings = self.holdings_for_owner(to, now);
        let is_local = self.targets.routers().contains(&to);
        if holdings.is_empty() && !is_local && self.peers.remove_if_idle(to, now) {
            return;
        }
        let settled = self.settled_up_to();
        let version = self.peers.next_version();
        let refresh = self.settings.declare_refresh;
        let peer = self.peers.get_or_insert(to, now);
        peer.next_declaration_at = now + refresh;
        if !holdings.is_empty() || is_local {
            peer.last_held_at = now;
        }
        let evicted = std::mem::take(&mut peer.pending_evictions);
        let message = PlacementMessage::Declare {
            version,
            settled,
            holdings,
        };
        outputs.push(PlacementOutput::Send { to, message });
        for (target, chats) in evicted {
            for part in chats.chunks(MAX_EVICTIONS_PER_MESSAGE) {
                let chats = part.to_vec();
                let message = PlacementMessage::Evicted { target, chats };
                outputs.push(PlacementOutput::Send { to, message });
            }
        }
    }

    fn holdings_for_owner(&self, owner: InstanceId, now: Instant) -> Vec<Holding> {
        let mut holdings = Vec::new();
        for (target, sum) in self.held.targets() {
            let Some(entry) = self.targets.get(target) else {
                continue;
            };
            if entry.declaration_receivers(now).any(|to| to == owner) {
                holdings.push(Holding {
                    target,
                    work_tokens: wire_tokens(sum.work_tokens),
                    requests: u16::try_from(sum.requests).unwrap_or(u16::MAX),
                });
            }
        }
        holdings
    }

    /// Adds summaries for the routers of the own data centre that get a packet
    /// anyway.
    pub(crate) fn add_summaries(&mut self, outputs: &mut Vec<PlacementOutput>, now: Instant) {
        let mut receivers: Vec<InstanceId> = Vec::new();
        for output in outputs.iter() {
            let PlacementOutput::Send { to, .. } = output else {
                continue;
            };
            if !receivers.contains(to)
                && self.is_summary_older(*to, MIN_SHARED_SUMMARY_INTERVAL, now)
            {
                receivers.push(*to);
            }
        }
        receivers.retain(|to| self.targets.routers().contains(to));
        self.send_summaries(receivers, outputs, now);
    }

    /// Sends summaries to routers whose last one is too old, or whose last one states
    /// a load that has changed since.
    pub(crate) fn send_overdue_summaries(
        &mut self,
        outputs: &mut Vec<PlacementOutput>,
        now: Instant,
    ) {
        let load = self.owned_load(now).load_tokens;
        let change_tokens = SUMMARY_LOAD_CHANGE_RATIO * self.data_centre_load(now).load_tokens;
        let due = self.summaries_due_at.is_none_or(|due| now >= due);
        if !due && (load - self.summary_check_tokens).abs() <= change_tokens / 4.0 {
            return;
        }
        let routers = self.targets.routers();
        let peers = u32::try_from(routers.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let interval = self.settings.summary_interval.saturating_mul(peers);
        let interval = interval.clamp(SUMMARY_INTERVAL_RANGE.0, SUMMARY_INTERVAL_RANGE.1);
        let mut receivers = routers.to_vec();
        receivers.retain(|to| {
            let load_changed = (load - self.peers.last_summary_tokens(*to)).abs() > change_tokens;
            let min_interval = if load_changed {
                MIN_CHANGED_SUMMARY_INTERVAL
            } else {
                interval
            };
            *to != self.own_id && self.is_summary_older(*to, min_interval, now)
        });
        self.summary_check_tokens = load;
        self.summaries_due_at = Some(now + MIN_CHANGED_SUMMARY_INTERVAL);
        self.send_summaries(receivers, outputs, now);
    }

    fn send_summaries(
        &mut self,
        receivers: Vec<InstanceId>,
        outputs: &mut Vec<PlacementOutput>,
        now: Instant,
    ) {
        let load_tokens = self.owned_load(now).load_tokens;
        for to in receivers {
            let message = self.summary(now);
            let peer = self.peers.get_or_insert(to, now);
            peer.summary_sent_at = Some(now);
            peer.last_summary_tokens = load_tokens;
            outputs.push(PlacementOutput::Send { to, message });
        }
    }

    fn is_summary_older(&self, peer: InstanceId, age: Duration, now: Instant) -> bool {
        let at = self.peers.summary_sent_at(peer);
        at.is_none_or(|at| now.saturating_duration_since(at) >= age)
    }

    fn summary(&mut self, now: Instant) -> PlacementMessage {
        let group = self.owned_load(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "loads and weights of a few targets, saturating"
        )]
        let tokens = |value: f64| value.round() as u32;
        PlacementMessage::Summary {
            version: self.peers.next_version(),
            load_tokens: tokens(group.load_tokens),
            weight_tokens: tokens(group.weight_tokens),
        }
    }
}
