//! Packs lease requests and grants into packets and enforces the byte budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use crate::message::{LeaseGrant, LeaseRequest, LimitsMessage, LimitsOutput};

const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Counters of one holder or owner since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsCounters {
    /// Packets sent to other routers.
    pub sent_packets: u64,
    /// Bytes sent to other routers, with packet headers.
    pub sent_bytes: u64,
    /// Bytes received from other routers, with packet headers.
    pub received_bytes: u64,
    /// Packets dropped because they exceeded the byte budget; holders repeat their
    /// lease requests.
    pub dropped_packets: u64,
    /// Number of broken invariants: a request ended twice, or leases above a share.
    /// Any other value than 0 is a bug.
    pub violations: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    own_id: InstanceId,
    budget_bytes: usize,
    sent: VecDeque<(Instant, usize)>,
    window_bytes: usize,
    pub(crate) counters: LimitsCounters,
}

impl Outbox {
    pub(crate) fn new(own_id: InstanceId, budget_bytes: usize) -> Self {
        Self {
            own_id,
            budget_bytes,
            sent: VecDeque::new(),
            window_bytes: 0,
            counters: LimitsCounters::default(),
        }
    }

    pub(crate) fn send_requests(
        &mut self,
        entries: BTreeMap<InstanceId, Vec<LeaseRequest>>,
        now: Instant,
    ) -> Vec<LimitsOutput> {
        let mut outputs = Vec::new();
        for (to, requests) in entries {
            for part in requests.chunks(LimitsMessage::MAX_LEASE_REQUESTS) {
                let message = LimitsMessage::Ask(part.to_vec());
                outputs.extend(self.send(to, message, now));
            }
        }
        outputs
    }

    pub(crate) fn send_grants(
        &mut self,
        to: InstanceId,
        grants: &[LeaseGrant],
        now: Instant,
    ) -> Vec<LimitsOutput> {
        let mut outputs = Vec::new();
        for part in grants.chunks(LimitsMessage::MAX_GRANTS) {
            let message = LimitsMessage::Grant(part.to_vec());
            outputs.extend(self.send(to, message, now));
        }
        outputs
    }

    fn send(
        &mut self,
        to: InstanceId,
        message: LimitsMessage,
        now: Instant,
    ) -> Option<LimitsOutput> {
        if to == self.own_id {
            return Some(LimitsOutput::Send {
                to,
                message,
                bytes: 0,
            });
        }
        let bytes = message.packet_bytes();
        while let Some((at, old)) = self.sent.front().copied() {
            if now.saturating_duration_since(at) <= BUDGET_WINDOW {
                break;
            }
            self.sent.pop_front();
            self.window_bytes -= old;
        }
        if self.window_bytes + bytes > self.budget_bytes {
            self.counters.dropped_packets += 1;
            return None;
        }
        self.sent.push_back((now, bytes));
        self.window_bytes += bytes;
        self.counters.sent_packets += 1;
        self.counters.sent_bytes += u64::try_from(bytes).unwrap_or(0);
        Some(LimitsOutput::Send { to, message, bytes })
    }

    pub(crate) fn count_received(&mut self, from: InstanceId, message: &LimitsMessage) {
        if from != self.own_id {
            let bytes = u64::try_from(message.packet_bytes()).unwrap_or(0);
            self.counters.received_bytes += bytes;
        }
    }
}
