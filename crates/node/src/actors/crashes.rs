//! Part of the router actor: parts of requests that crash targets.
//!
//! The two live routers with the lowest ids of a data centre are the hubs to which all report,
//! so that the loss of one delays no decision.

use std::time::{Duration, Instant};

use bamboospur_crashes::{
    CrashMessage, Hub, HubSettings, Member, PartHash, SuspectedCrashes, TargetStartId,
};
use bamboospur_types::InstanceId;
use tracing::{info, warn};

use super::router::Router;
use super::router_messages::RouterMessage;
use crate::peers::PeerMessage;

const HUBS: usize = 2;
/// Time between two messages with all blocked parts, since packets can be lost.
const STATE_INTERVAL: Duration = Duration::from_secs(5);

/// What the router knows of requests that crash targets.
pub(super) struct Crashes {
    member: Member,
    suspected: SuspectedCrashes,
    /// Used while this instance is a hub.
    hub: Hub,
    next_state_at: Instant,
}

impl Crashes {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            member: Member::default(),
            suspected: SuspectedCrashes::default(),
            hub: Hub::new(HubSettings::default()),
            next_state_at: now + STATE_INTERVAL,
        }
    }

    /// Returns when the block of a request with these parts ends, if one is blocked.
    pub(super) fn blocked_until(&self, parts: &[PartHash], now: Instant) -> Option<Instant> {
        let blocked = self.member.find_blocked(parts.iter().copied(), now);
        blocked.map(|(_, until)| until)
    }
}

impl Router {
    /// Handles what requests and other instances tell about crashes.
    pub(super) fn handle_crash_evidence(&mut self, message: RouterMessage, now: Instant) {
        match message {
            RouterMessage::Answered { parts } => self.record_answer(parts, now),
            RouterMessage::BrokenOff {
                target,
                parts,
                reply,
            } => {
                let is_first = self.crashes.suspected.record(target, parts);
                // If the request no longer waits, the target is checked with the next one.
                let _ = reply.try_send(is_first);
            }
            RouterMessage::TargetChecked { target, has_ended } => {
                self.finish_check(target, has_ended, now);
            }
            RouterMessage::Crashes { from, message } => {
                self.handle_crash_message(from, message, now);
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, parts: Vec<PartHash>, now: Instant) {
        if let Some(report) = self.crashes.member.record_answer(parts, now) {
            self.report_to_hubs(&report, now);
        }
    }

    /// Reports a target that has ended with the parts of the requests that broke off there.
    fn finish_check(&mut self, target: TargetStartId, has_ended: bool, now: Instant) {
        let parts = self.crashes.suspected.take(target);
        if !has_ended {
            return;
        }
        // Membership takes longer to notice. Until then the target would count as idle in the
        // mean load, and the others would seem to be above their bound.
        if let Some(ended) = self.targets.find_start(target) {
            ended.suspend();
            if let Some(pool) = self.pools.get_mut(&ended.pool) {
                pool.placer.set_target(ended.view.clone(), now);
            }
        }
        info!(
            target,
            parts = parts.len(),
            "a target ended while it processed requests; reporting their parts"
        );
        for report in CrashMessage::crash_reports(target, &parts) {
            self.report_to_hubs(&report, now);
        }
    }

    fn handle_crash_message(&mut self, from: InstanceId, message: CrashMessage, now: Instant) {
        self.apply_to_member(&message, Some(from), now);
        if self.is_hub(self.own_id) {
            self.apply_to_hub(message, now);
        }
    }

    /// Blocks what has been watched for long enough, and repeats what is blocked.
    pub(super) fn crashes_tick(&mut self, now: Instant) {
        let hub = &self.crashes.hub;
        if hub.next_deadline().is_some_and(|due| now >= due) {
            let messages = self.crashes.hub.tick(now);
            self.send_to_members(messages, now);
        }
        if now >= self.crashes.next_state_at {
            self.crashes.next_state_at = now + STATE_INTERVAL;
            self.crashes.hub.remove_expired(now);
            let blocked = self.crashes.member.state(now);
            if self.is_hub(self.own_id) {
                self.send_to_members(blocked, now);
            }
        }
    }

    /// Tells the hub of this instance what the instance knew before it became one.
    pub(super) fn update_hub(&mut self, now: Instant) {
        if self.is_hub(self.own_id) {
            for message in self.crashes.member.state(now) {
                self.apply_to_hub(message, now);
            }
        }
    }

    fn hubs(&self) -> Vec<InstanceId> {
        let mut hubs = self.routers.clone();
        hubs.sort_unstable();
        hubs.truncate(HUBS);
        hubs
    }

    fn is_hub(&self, instance: InstanceId) -> bool {
        self.hubs().contains(&instance)
    }

    fn report_to_hubs(&mut self, report: &CrashMessage, now: Instant) {
        for to in self.hubs() {
            if to == self.own_id {
                self.apply_to_hub(report.clone(), now);
            } else {
                let message = report.clone();
                self.peers.send(PeerMessage::Crashes { to, message });
            }
        }
    }

    fn apply_to_hub(&mut self, message: CrashMessage, now: Instant) {
        let messages = self.crashes.hub.handle(message, now);
        self.send_to_members(messages, now);
    }

    /// Sends messages of the own hub to all routers, this one included.
    fn send_to_members(&mut self, messages: Vec<CrashMessage>, now: Instant) {
        for message in messages {
            let others = self.routers.iter().filter(|&&to| to != self.own_id);
            for &to in others {
                let message = message.clone();
                self.peers.send(PeerMessage::Crashes { to, message });
            }
            self.apply_to_member(&message, None, now);
        }
    }

    /// Applies a message of a hub, which is the own one if `from` is `None`.
    fn apply_to_member(&mut self, message: &CrashMessage, from: Option<InstanceId>, now: Instant) {
        if let CrashMessage::Blocked(parts) = message {
            warn!(
                ?parts,
                "parts of requests crash targets; rejecting requests with them"
            );
        }
        let Some(reply) = self.crashes.member.handle(message, now) else {
            return;
        };
        match from {
            Some(to) => self.peers.send(PeerMessage::Crashes { to, message: reply }),
            None => self.apply_to_hub(reply, now),
        }
    }
}
