//! Packets on the way in.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bamboospur_types::InstanceId;

use super::window::Window;
use super::{
    Body, DatagramError, HEADER_BYTES, MAX_DATAGRAM_BYTES, PacketKind, limits, membership,
    placement, seal,
};
use crate::key::{FleetKey, MAC_BYTES};

/// Senders remembered; a fleet has 420 instances. Windows are kept for good,
/// because a forgotten sender's old packets would be accepted again.
const MAX_SENDERS: usize = 16_384;

/// An accepted packet.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenedPacket {
    /// Instance that sent the packet.
    pub sender: InstanceId,
    /// Number of the packet, rising over all processes of the sender.
    pub sequence: u64,
    /// Content.
    pub body: Body,
}

/// Checks the packets that one instance receives.
#[derive(Debug)]
pub struct Opener {
    key: FleetKey,
    own: SocketAddr,
    windows: BTreeMap<InstanceId, Window>,
}

impl Opener {
    /// Creates the opener of the instance with this address.
    #[must_use]
    pub fn new(key: &FleetKey, own: SocketAddr) -> Self {
        Self {
            key: key.derive(&[seal::DATAGRAMS]),
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Checks and reads a packet.
    ///
    /// # Errors
    ///
    /// Fails when the packet is forged, replayed or not well formed.
    pub fn open(&mut self, bytes: &[u8]) -> Result<OpenedPacket, DatagramError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Header);
        }
        let (tag, rest) = bytes
            .split_first_chunk::<MAC_BYTES>()
            .ok_or(DatagramError::Header)?;
        let address = seal::address(self.own);
        if !self.key.verify(&[rest, &address], tag) {
            return Err(DatagramError::Forged);
        }
        let (sender, rest) = number(rest)?;
        let (sequence, rest) = number(rest)?;
        let (kind, rest) = rest.split_first().ok_or(DatagramError::Header)?;
        let kind = PacketKind::from_repr(*kind).ok_or(DatagramError::Header)?;
        if !self.is_fresh(sender, sequence) {
            return Err(DatagramError::Replayed);
        }
        let body = match kind {
            PacketKind::Membership => Body::Membership(membership::read(rest)?),
            PacketKind::Placement => placement::read(rest)?,
            PacketKind::Limits => Body::Limits(limits::read(rest)?),
        };
        Ok(OpenedPacket {
            sender,
            sequence,
            body,
        })
    }

    fn is_fresh(&mut self, sender: InstanceId, sequence: u64) -> bool {
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender) {
            return false;
        }
        self.windows.entry(sender).or_default().accept(sequence)
    }
}

fn number(bytes: &[u8]) -> Result<(u64, &[u8]), DatagramError> {
    let (number, rest) = bytes
        .split_first_chunk::<8>()
        .ok_or(DatagramError::Header)?;
    Ok((u64::from_le_bytes(*number), rest))
}
