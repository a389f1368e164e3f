//! Verification and decoding of received packets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboospur_types::InstanceId;

use super::window::Window;
use super::{
    Body, DatagramError, HEADER_BYTES, MAX_DATAGRAM_BYTES, PacketKind, crashes, limits, membership,
    placement, seal, target_limits,
};
use crate::key::{FleetKey, MAC_BYTES};

/// Most tracked senders; a fleet has 420 instances. Replay windows are never removed,
/// because old packets of a removed sender would be accepted again.
const MAX_SENDER_COUNT: usize = 16_384;

/// Verified and decoded packet.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedPacket {
    /// Instance that sent the packet.
    pub sender: InstanceId,
    /// Sequence number, which increases across restarts of the sender.
    pub sequence: u64,
    /// Decoded content.
    pub body: Body,
}

/// Verifies and decodes the packets that one instance receives.
#[derive(Debug)]
pub struct Opener {
    key: FleetKey,
    own_address: SocketAddr,
    windows: BTreeMap<InstanceId, Window>,
}

impl Opener {
    /// Creates an opener for the instance that peers reach at `own_address`.
    #[must_use]
    pub fn new(key: &FleetKey, own_address: SocketAddr) -> Self {
        Self {
            key: key.derive(&[seal::DATAGRAM_KEY_LABEL]),
            own_address,
            windows: BTreeMap::new(),
        }
    }

    /// Verifies and decodes a packet.
    ///
    /// # Errors
    ///
    /// Fails when the packet is forged, replayed or malformed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<OpenedPacket, DatagramError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Header);
        }
        let (tag, rest) = bytes
            .split_first_chunk::<MAC_BYTES>()
            .ok_or(DatagramError::Header)?;
        let address = seal::address_bytes(self.own_address);
        if !self.key.verify(&[rest, &address], tag) {
            return Err(DatagramError::Forged);
        }
        let (sender, rest) = split_u64(rest)?;
        let (sequence, rest) = split_u64(rest)?;
        let (kind, rest) = rest.split_first().ok_or(DatagramError::Header)?;
        let kind = PacketKind::from_repr(*kind).ok_or(DatagramError::Header)?;
        if !self.is_fresh(sender, sequence) {
            return Err(DatagramError::Replayed);
        }
        let body = match kind {
            PacketKind::Membership => Body::Membership(membership::read(rest)?),
            PacketKind::Placement => placement::read(rest)?,
            PacketKind::Limits => Body::Limits(limits::read(rest)?),
            PacketKind::Crashes => Body::Crashes(crashes::read(rest)?),
            PacketKind::TargetLimits => Body::TargetLimits(target_limits::read(rest)?),
        };
        Ok(OpenedPacket {
            sender,
            sequence,
            body,
        })
    }

    fn is_fresh(&mut self, sender: InstanceId, sequence: u64) -> bool {
        if self.windows.len() >= MAX_SENDER_COUNT && !self.windows.contains_key(&sender) {
            return false;
        }
        self.windows.entry(sender).or_default().accept(sequence)
    }
}

fn split_u64(bytes: &[u8]) -> Result<(u64, &[u8]), DatagramError> {
    let (number, rest) = bytes
        .split_first_chunk::<8>()
        .ok_or(DatagramError::Header)?;
    Ok((u64::from_le_bytes(*number), rest))
}
