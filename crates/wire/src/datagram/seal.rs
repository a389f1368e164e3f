//! Encoding and signing of outgoing packets.

use std::net::SocketAddr;

use bamboospur_crashes::CrashMessage;
use bamboospur_limits::LimitsMessage;
use bamboospur_membership::Message;
use bamboospur_placement::PlacementMessage;
use bamboospur_target_limits::StatedLimit;
use bamboospur_types::InstanceId;

use super::{
    DatagramError, HEADER_BYTES, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES, POOL_ID_BYTES,
    PacketKind, ShortId, crashes, limits, membership, placement, target_limits,
};
use crate::key::{FleetKey, MAC_BYTES};

/// Low bits of a sequence number that count packets: a process can send 2^22 packets
/// before its numbers reach those of a process that starts one millisecond later.
pub(super) const PACKETS_PER_MS_BITS: u32 = 22;

/// Label that derives the key for packets from the fleet key.
pub(super) const DATAGRAM_KEY_LABEL: &[u8] = b"datagrams";

/// Content of one outgoing packet.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// Gossip and probes between instances.
    Membership(Message),
    /// Placement messages of one pool.
    Placement {
        /// Short id of the pool.
        pool: ShortId,
        /// Messages in order; together they must fit into one packet.
        messages: Vec<PlacementMessage>,
    },
    /// Leases of team limits.
    Limits(LimitsMessage),
    /// Parts of requests that crash targets.
    Crashes(CrashMessage),
    /// Limits that targets state.
    TargetLimits(Vec<StatedLimit>),
}

/// Encoded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// UDP payload.
    pub bytes: Vec<u8>,
    /// Kind, for traffic counters.
    pub kind: PacketKind,
    /// Size that the crate of the content budgets, including the IP and UDP headers. A
    /// placement packet can exceed its budget by some bytes, when a number is larger than
    /// the budget assumes or a ticket has another epoch than the sender's.
    pub budget_bytes: usize,
}

impl Packet {
    /// Returns the size on the network, including the IP and UDP headers.
    #[must_use]
    pub fn sent_bytes(&self) -> usize {
        IP_UDP_HEADER_BYTES + self.bytes.len()
    }
}

/// Encodes and signs the packets of one sender.
#[derive(Debug)]
pub struct Sealer {
    key: FleetKey,
    sender: InstanceId,
    sequence: u64,
}

impl Sealer {
    /// Creates a sealer for a process. `incarnation` is the start time of the process in
    /// milliseconds since the Unix epoch and must increase with each start; otherwise
    /// receivers refuse the packets as replayed.
    #[must_use]
    pub fn new(key: &FleetKey, sender: InstanceId, incarnation: u64) -> Self {
        Self {
            key: key.derive(&[DATAGRAM_KEY_LABEL]),
            sender,
            sequence: incarnation << PACKETS_PER_MS_BITS,
        }
    }

    /// Encodes and signs a packet for a receiver.
    ///
    /// # Errors
    ///
    /// Fails when the content does not fit into one packet or cannot be encoded.
    pub fn seal(&mut self, to: SocketAddr, content: &Outgoing) -> Result<Packet, DatagramError> {
        self.sequence += 1;
        let kind = content.kind();
        let mut bytes = vec![0; MAC_BYTES];
        bytes.extend(self.sender.to_le_bytes());
        bytes.extend(self.sequence.to_le_bytes());
        bytes.push(kind as u8);
        content.write(self.sequence, &mut bytes)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            let bytes = bytes.len() + IP_UDP_HEADER_BYTES;
            return Err(DatagramError::TooLarge { bytes });
        }
        let tag = self.key.sign(&[&bytes[MAC_BYTES..], &address_bytes(to)]);
        bytes[..MAC_BYTES].copy_from_slice(&tag);
        Ok(Packet {
            bytes,
            kind,
            budget_bytes: content.budget_bytes(),
        })
    }
}

impl Outgoing {
    const fn kind(&self) -> PacketKind {
        match self {
            Self::Membership(_) => PacketKind::Membership,
            Self::Placement { .. } => PacketKind::Placement,
            Self::Limits(_) => PacketKind::Limits,
            Self::Crashes(_) => PacketKind::Crashes,
            Self::TargetLimits(_) => PacketKind::TargetLimits,
        }
    }

    /// Returns the size that the crate of the content budgets, including the IP and
    /// UDP headers. For placement packets the full header is added here, because
    /// `PACKET_OVERHEAD_BYTES` of the placement crate does not include the sender, the
    /// sequence number and the pool.
    #[must_use]
    pub fn budget_bytes(&self) -> usize {
        match self {
            Self::Membership(message) => message.packet_bytes(),
            Self::Placement { messages, .. } => {
                let bodies = messages.iter().map(PlacementMessage::body_bytes);
                IP_UDP_HEADER_BYTES + HEADER_BYTES + POOL_ID_BYTES + bodies.sum::<usize>()
            }
            Self::Limits(message) => message.packet_bytes(),
            Self::Crashes(_) => crashes::PACKET_BYTES,
            Self::TargetLimits(_) => target_limits::PACKET_BYTES,
        }
    }

    fn write(&self, sequence: u64, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
        match self {
            Self::Membership(message) => membership::write(message, bytes),
            Self::Placement { pool, messages } => {
                bytes.extend(pool);
                placement::write(messages, sequence, bytes)
            }
            Self::Limits(message) => limits::write(message, bytes),
            Self::Crashes(message) => crashes::write(message, bytes),
            Self::TargetLimits(stated) => target_limits::write(stated, bytes),
        }
    }
}

/// Returns the receiver's address as signed: IPv4 is mapped to IPv6, so that both sides
/// sign the same bytes.
pub(super) fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip().to_canonical() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}
