//! Counters of messages and bytes exchanged with other instances, by kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use bamboospur_wire::datagram::PacketKind;
use bamboospur_wire::link::FrameKind;
use serde::Serialize;

/// Size of the IP and TCP headers of one write, with TCP timestamps.
/// Acknowledgements without data are not counted.
pub const TCP_HEADER_BYTES: usize = 52;

#[derive(Debug, Default)]
struct Counter {
    sent_bytes: AtomicU64,
    sent: AtomicU64,
    received_bytes: AtomicU64,
    received: AtomicU64,
}

/// Counters of all traffic with other instances, since the start of the process.
#[derive(Debug, Default)]
pub struct Traffic {
    packets: [Counter; 5],
    frames: [Counter; 5],
    tcp: Counter,
    refused: AtomicU64,
    over_budget: AtomicU64,
    not_sent: AtomicU64,
    unresolved: AtomicU64,
}

/// Counts of one kind of packet or frame.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Count {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Packets or frames sent.
    pub sent: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Packets or frames received.
    pub received: u64,
}

/// All counts since the start of the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TrafficStatus {
    /// UDP packets by kind. Bytes include UDP and IP headers.
    pub udp: BTreeMap<String, Count>,
    /// TCP frames by kind. Bytes exclude TCP and IP headers.
    pub tcp: BTreeMap<String, Count>,
    /// Estimated TCP and IP headers of writes and of received frames.
    pub tcp_headers: Count,
    /// Bytes of all packets, frames and headers. The numbers of messages count
    /// UDP packets and TCP segments with data.
    pub total: Count,
    /// Received packets that were refused (forged, replayed or malformed), and
    /// incoming links that failed.
    pub refused: u64,
    /// Packets larger than their size budget, and packets that could not be
    /// encoded.
    pub over_budget: u64,
    /// Messages dropped for lack of an address, a link or room in a queue.
    pub dropped: u64,
    /// Packets that the system failed to send.
    pub not_sent: u64,
    /// Messages that named a target or an instance unknown to this node.
    pub unresolved: u64,
}

impl Counter {
    fn add_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    fn add_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    fn snapshot(&self) -> Count {
        Count {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

const PACKET_KINDS: [PacketKind; 5] = [
    PacketKind::Membership,
    PacketKind::Placement,
    PacketKind::Limits,
    PacketKind::Crashes,
    PacketKind::TargetLimits,
];
const FRAME_KINDS: [FrameKind; 5] = [
    FrameKind::Heartbeat,
    FrameKind::Agreement,
    FrameKind::Request,
    FrameKind::Settings,
    FrameKind::Formation,
];

impl Traffic {
    fn packet_counter(&self, kind: PacketKind) -> &Counter {
        match kind {
            PacketKind::Membership => &self.packets[0],
            PacketKind::Placement => &self.packets[1],
            PacketKind::Limits => &self.packets[2],
            PacketKind::Crashes => &self.packets[3],
            PacketKind::TargetLimits => &self.packets[4],
        }
    }

    fn frame_counter(&self, kind: FrameKind) -> &Counter {
        match kind {
            FrameKind::Heartbeat => &self.frames[0],
            FrameKind::Agreement => &self.frames[1],
            FrameKind::Request => &self.frames[2],
            FrameKind::Settings => &self.frames[3],
            FrameKind::Formation => &self.frames[4],
        }
    }

    pub(super) fn count_packet_sent(&self, kind: PacketKind, bytes: usize) {
        self.packet_counter(kind).add_sent(bytes);
    }

    pub(super) fn count_packet_received(&self, kind: PacketKind, bytes: usize) {
        self.packet_counter(kind).add_received(bytes);
    }

    pub(super) fn count_frame_sent(&self, kind: FrameKind, bytes: usize) {
        self.frame_counter(kind).add_sent(bytes);
    }

    pub(super) fn count_frame_received(&self, kind: FrameKind, bytes: usize) {
        self.frame_counter(kind).add_received(bytes);
        self.tcp.add_received(TCP_HEADER_BYTES);
    }

    pub(super) fn count_write(&self) {
        self.tcp.add_sent(TCP_HEADER_BYTES);
    }

    pub(super) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_over_budget(&self) {
        self.over_budget.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unresolved(&self, messages: u64) {
        self.unresolved.fetch_add(messages, Ordering::Relaxed);
    }

    pub(super) fn count_not_sent(&self) {
        self.not_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all counts. The number of dropped messages is counted by the main
    /// loop and passed in.
    #[must_use]
    pub fn status(&self, dropped: u64) -> TrafficStatus {
        let udp = PACKET_KINDS.map(|kind| (kind.to_string(), self.packet_counter(kind).snapshot()));
        let tcp = FRAME_KINDS.map(|kind| (kind.to_string(), self.frame_counter(kind).snapshot()));
        let tcp_headers = self.tcp.snapshot();
        let mut total = Count::default();
        let counts = udp.iter().chain(&tcp).map(|(_, count)| *count);
        for count in counts.chain([tcp_headers]) {
            total.sent_bytes += count.sent_bytes;
            total.received_bytes += count.received_bytes;
        }
        Count::sum_packets(&mut total, &udp, &tcp_headers);
        TrafficStatus {
            udp: BTreeMap::from(udp),
            tcp: BTreeMap::from(tcp),
            tcp_headers,
            total,
            refused: self.refused.load(Ordering::Relaxed),
            over_budget: self.over_budget.load(Ordering::Relaxed),
            dropped,
            not_sent: self.not_sent.load(Ordering::Relaxed),
            unresolved: self.unresolved.load(Ordering::Relaxed),
        }
    }
}

impl Count {
    /// Sets the numbers of packets on the network: UDP packets, and TCP segments
    /// with data.
    fn sum_packets(total: &mut Self, udp: &[(String, Self)], tcp: &Self) {
        total.sent = tcp.sent + udp.iter().map(|(_, count)| count.sent).sum::<u64>();
        total.received = tcp.received + udp.iter().map(|(_, count)| count.received).sum::<u64>();
    }
}
