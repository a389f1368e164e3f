//! Byte budget over a sliding second, and traffic counters.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::message::{MAX_PACKET_BYTES, MessageKind};

const WINDOW: Duration = Duration::from_secs(1);
/// Part of the budget that loads and aggregates may use at most.
const BULK_PERCENT: usize = 30;
/// Part of the budget that probes may use at most: an instance that takes many
/// targets for silent would otherwise have no bytes left to learn better.
const PROBE_PERCENT: usize = 15;

/// How much of the budget a packet may use.
///
/// Lower classes stop earlier, so that loads and repairs never delay the news
/// that a member is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// Pings and their answers: without them live instances look dead, and the
    /// news of that uses up the budget for the answers.
    Ping,
    /// Heartbeats on the way to watchers, for the same reason.
    Heartbeat,
    /// Failures and departures.
    Urgent,
    /// New members.
    Join,
    /// Anti-entropy and answers to requests for records.
    Repair,
    /// Probes of silent targets.
    Probe,
    /// Loads and aggregates.
    Bulk,
}

impl Class {
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

/// Packets and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Packets.
    pub packets: u64,
    /// Bytes, with packet headers.
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: usize) {
        self.packets += 1;
        self.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }
}

/// Counters of one instance, from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Sent packets by kind.
    pub sent: BTreeMap<MessageKind, Traffic>,
    /// Received packets by kind.
    pub received: BTreeMap<MessageKind, Traffic>,
    /// Probes of targets, with their estimated bytes.
    pub probes: Traffic,
    /// Packets that the budget held back.
    pub throttled_packets: u64,
    /// Targets that were declared suspect here.
    pub suspected_targets: u64,
    /// Instances that were declared suspect here.
    pub suspected_instances: u64,
    /// Broken invariants; 0 is expected.
    pub violations: u64,
}

impl Counters {
    /// Returns all bytes sent, with those of probes.
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

/// Exact sum of the bytes sent in the last second.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    limit: usize,
    sent: VecDeque<(Instant, usize, Class)>,
    sum: usize,
    bulk: usize,
    probes: usize,
}

impl ByteBudget {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(MAX_PACKET_BYTES),
            sent: VecDeque::new(),
            sum: 0,
            bulk: 0,
            probes: 0,
        }
    }

    /// Returns the bytes that a class may send now.
    pub(crate) fn room(&mut self, class: Class, now: Instant) -> usize {
        while let Some((at, bytes, sent_class)) = self.sent.front().copied() {
            if now.saturating_duration_since(at) <= WINDOW {
                break;
            }
            self.sent.pop_front();
            self.sum -= bytes;
            if let Some(sum) = self.class_sum(sent_class) {
                *sum -= bytes;
            }
        }
        let room = self.part(class.percent()).saturating_sub(self.sum);
        match class {
            Class::Bulk => room.min(self.part(BULK_PERCENT).saturating_sub(self.bulk)),
            Class::Probe => room.min(self.part(PROBE_PERCENT).saturating_sub(self.probes)),
            _ => room,
        }
    }

    /// Takes bytes from the budget, if the class has them.
    pub(crate) fn take(&mut self, bytes: usize, class: Class, now: Instant) -> bool {
        if bytes > self.room(class, now) {
            return false;
        }
        self.sent.push_back((now, bytes, class));
        self.sum += bytes;
        if let Some(sum) = self.class_sum(class) {
            *sum += bytes;
        }
        true
    }

    /// Returns whether the sum is within the limit.
    pub(crate) const fn holds(&self) -> bool {
        self.sum <= self.limit
    }

    const fn part(&self, percent: usize) -> usize {
        self.limit * percent / 100
    }

    const fn class_sum(&mut self, class: Class) -> Option<&mut usize> {
        match class {
            Class::Bulk => Some(&mut self.bulk),
            Class::Probe => Some(&mut self.probes),
            _ => None,
        }
    }
}
