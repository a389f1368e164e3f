//! Packing of entries into packets, within the byte budget.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

use crate::message::{LeaseGrant, LeaseRequest, LimitsMessage, LimitsOutput};

const WINDOW: Duration = Duration::from_secs(1);

/// Counters of one holder or owner, from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitsCounters {
    /// Packets sent to other routers.
    pub sent_packets: u64,
    /// Bytes sent to other routers, with packet headers.
    pub sent_bytes: u64,
    /// Bytes received from other routers, with packet headers.
    pub received_bytes: u64,
    /// Packets that the byte budget dropped; holders ask again.
    pub dropped_packets: u64,
    /// Broken invariants; 0 is expected.
    pub violations: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    me: InstanceId,
    limit: usize,
    sent: VecDeque<(Instant, usize)>,
    sum: usize,
    pub(crate) counters: LimitsCounters,
}

impl Outbox {
    pub(crate) fn new(me: InstanceId, limit: usize) -> Self {
        Self {
            me,
            limit,
            sent: VecDeque::new(),
            sum: 0,
            counters: LimitsCounters::default(),
        }
    }

    pub(crate) fn asks(
        &mut self,
        entries: BTreeMap<InstanceId, Vec<LeaseRequest>>,
        now: Instant,
    ) -> Vec<LimitsOutput> {
        let mut outputs = Vec::new();
        for (to, asks) in entries {
            for part in asks.chunks(LimitsMessage::MAX_REQUESTS) {
                let message = LimitsMessage::Ask(part.to_vec());
                outputs.extend(self.send(to, message, now));
            }
        }
        outputs
    }

    pub(crate) fn grants(
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
        if to == self.me {
            return Some(LimitsOutput::Send {
                to,
                message,
                bytes: 0,
            });
        }
        let bytes = message.packet_bytes();
        while let Some((at, old)) = self.sent.front().copied() {
            if now.saturating_duration_since(at) <= WINDOW {
                break;
            }
            self.sent.pop_front();
            self.sum -= old;
        }
        if self.sum + bytes > self.limit {
            self.counters.dropped_packets += 1;
            return None;
        }
        self.sent.push_back((now, bytes));
        self.sum += bytes;
        self.counters.sent_packets += 1;
        self.counters.sent_bytes += u64::try_from(bytes).unwrap_or(0);
        Some(LimitsOutput::Send { to, message, bytes })
    }

    pub(crate) fn received(&mut self, from: InstanceId, message: &LimitsMessage) {
        if from != self.me {
            let bytes = u64::try_from(message.packet_bytes()).unwrap_or(0);
            self.counters.received_bytes += bytes;
        }
    }
}
