//! Byte budget over a sliding window of one second, and traffic counters.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::message::{MAX_PACKET_BYTES, MessageKind};

const WINDOW: Duration = Duration::from_secs(1);
/// Largest share of the budget for loads and aggregates.
const BULK_MAX_PERCENT: usize = 30;
/// Largest share of the budget for probes. Without the bound, an instance that
/// wrongly sees many targets as silent has no bytes left for the messages that
/// would correct it.
const PROBE_MAX_PERCENT: usize = 15;

/// Traffic class of a packet, which sets how much of the budget it may use.
///
/// Classes of lower priority are throttled earlier, so that loads and repairs
/// never delay failures and departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TrafficClass {
    /// Pings and acks. If they were throttled, live instances would be suspected,
    /// and spreading the suspicions would use up the budget for further acks.
    Ping,
    /// Heartbeats forwarded to watchers; the highest priority after pings, because
    /// a lost heartbeat leads to false suspicions in the same way.
    Heartbeat,
    /// Failures and departures, and replies to joining instances.
    Urgent,
    /// New members, other changes that are not urgent, and requests for records.
    Join,
    /// Anti-entropy, corrections of outdated states, answers to requests for records,
    /// and aggregates sent to other data centres.
    Repair,
    /// Probes of silent targets.
    Probe,
    /// Loads, and aggregates spread within the data centre.
    Bulk,
}

impl TrafficClass {
    /// Share of the budget, used by all classes together, above which a packet of this
    /// class is not sent.
    const fn percent(self) -> usize {
        match self {
            Self::Ping => 100,
            Self::Heartbeat => 97,
            Self::Urgent => 94,
            Self::Join | Self::Repair | Self::Probe => 88,
            Self::Bulk => 55,
        }
    }
}

/// Packets and bytes of one kind of message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of packets.
    pub packets: u64,
    /// Bytes, including packet headers.
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.packets += 1;
        self.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}

/// Counters of one instance since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sent packets by kind.
    pub sent: BTreeMap<MessageKind, Traffic>,
    /// Received packets by kind.
    pub received: BTreeMap<MessageKind, Traffic>,
    /// Probes of targets; the bytes are estimated.
    pub probes: Traffic,
    /// Packets and probes not sent because the budget was used up.
    pub throttled_packets: u64,
    /// Number of times that this instance suspected a target.
    pub suspected_targets: u64,
    /// Number of times that this instance suspected another instance.
    pub suspected_instances: u64,
    /// Broken invariants: a packet over the size limit, bytes over the budget, or a
    /// dead or departed member made live again in the same incarnation. Always 0
    /// in correct operation.
    pub violations: u64,
}

impl Counters {
    /// Returns all bytes sent, including the estimated bytes of probes.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.values().map(|traffic| traffic.bytes).sum::<u64>() + self.probes.bytes
    }

    /// Returns all bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received.values().map(|traffic| traffic.bytes).sum()
    }
}

/// Exact sum of the bytes sent within the window.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    limit_bytes: usize,
    sent: VecDeque<(Instant, usize, TrafficClass)>,
    sum_bytes: usize,
    bulk_bytes: usize,
    probe_bytes: usize,
}

impl ByteBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit_bytes: limit.max(MAX_PACKET_BYTES),
            sent: VecDeque::new(),
            sum_bytes: 0,
            bulk_bytes: 0,
            probe_bytes: 0,
        }
    }

    /// Returns the number of bytes that a class may send now.
    pub(crate) fn available_bytes(&mut self, class: TrafficClass, now: Instant) -> usize {
        while let Some((at, bytes, sent_class)) = self.sent.front().copied() {
            if now.saturating_duration_since(at) <= WINDOW {
                break;
            }
            self.sent.pop_front();
            self.sum_bytes -= bytes;
            if let Some(sum) = self.class_sum_bytes(sent_class) {
                *sum -= bytes;
            }
        }
        let available = self
            .percent_of_limit(class.percent())
            .saturating_sub(self.sum_bytes);
        match class {
            TrafficClass::Bulk => available.min(
                self.percent_of_limit(BULK_MAX_PERCENT)
                    .saturating_sub(self.bulk_bytes),
            ),
            TrafficClass::Probe => available.min(
                self.percent_of_limit(PROBE_MAX_PERCENT)
                    .saturating_sub(self.probe_bytes),
            ),
            _ => available,
        }
    }

    /// Consumes bytes of the budget; returns false if the class has too few left.
    pub(crate) fn try_consume(&mut self, bytes: usize, class: TrafficClass, now: Instant) -> bool {
        if bytes > self.available_bytes(class, now) {
            return false;
        }
        self.sent.push_back((now, bytes, class));
        self.sum_bytes += bytes;
        if let Some(sum) = self.class_sum_bytes(class) {
            *sum += bytes;
        }
        true
    }

    pub(crate) const fn is_within_limit(&self) -> bool {
        self.sum_bytes <= self.limit_bytes
    }

    const fn percent_of_limit(&self, percent: usize) -> usize {
        self.limit_bytes * percent / 100
    }

    const fn class_sum_bytes(&mut self, class: TrafficClass) -> Option<&mut usize> {
        match class {
            TrafficClass::Bulk => Some(&mut self.bulk_bytes),
            TrafficClass::Probe => Some(&mut self.probe_bytes),
            _ => None,
        }
    }
}
