//! Batching of placement messages into packets.

use bamboospur_placement::PlacementMessage;
use bamboospur_types::{InstanceId, stable_id};
use bamboospur_wire::datagram::{
    HEADER_BYTES, IP_UDP_HEADER_BYTES, MAX_PACKET_BYTES, Outgoing, POOL_ID_BYTES, ShortId,
    shorten_id,
};

/// Room left free in a packet, because a body exceeds its budget by some bytes
/// when a number is larger than the budget assumes.
const SPARE_BYTES: usize = 64;
const MAX_BODIES_BYTES: usize =
    MAX_PACKET_BYTES - IP_UDP_HEADER_BYTES - HEADER_BYTES - POOL_ID_BYTES - SPARE_BYTES;

/// Unsent messages grouped by receiver and pool, in the order of arrival.
#[derive(Debug, Default)]
pub struct Batches {
    pending: Vec<Batch>,
}

#[derive(Debug)]
struct Batch {
    to: InstanceId,
    pool: ShortId,
    bytes: usize,
    messages: Vec<PlacementMessage>,
}

impl Batch {
    fn into_packet(self) -> (InstanceId, Outgoing) {
        let content = Outgoing::Placement {
            pool: self.pool,
            messages: self.messages,
        };
        (self.to, content)
    }

    /// Returns whether the message fits into the packet. The sequence number of
    /// the packet serves as the version of its messages, so a packet holds at
    /// most one message of each versioned kind.
    fn has_room_for(&self, message: &PlacementMessage, bytes: usize) -> bool {
        let same_kind = |queued: &PlacementMessage| {
            is_versioned(message)
                && std::mem::discriminant(queued) == std::mem::discriminant(message)
        };
        self.bytes + bytes <= MAX_BODIES_BYTES && !self.messages.iter().any(same_kind)
    }
}

const fn is_versioned(message: &PlacementMessage) -> bool {
    matches!(
        message,
        PlacementMessage::Declare { .. } | PlacementMessage::Summary { .. }
    )
}

impl Batches {
    /// Adds a message. Returns the packet that had no room for the message and
    /// must be sent before it.
    pub fn add(
        &mut self,
        to: InstanceId,
        pool: &str,
        message: PlacementMessage,
    ) -> Option<(InstanceId, Outgoing)> {
        let pool = shorten_id(stable_id(pool));
        let bytes = message.body_bytes();
        let index = self
            .pending
            .iter()
            .position(|b| b.to == to && b.pool == pool);
        let fits = index.is_some_and(|index| self.pending[index].has_room_for(&message, bytes));
        let full = match index {
            Some(index) if !fits => Some(self.pending.swap_remove(index).into_packet()),
            _ => None,
        };
        match index {
            Some(index) if fits => {
                self.pending[index].bytes += bytes;
                self.pending[index].messages.push(message);
            }
            _ => self.pending.push(Batch {
                to,
                pool,
                bytes,
                messages: vec![message],
            }),
        }
        full
    }

    /// Returns one packet for each receiver and pool.
    pub fn into_packets(self) -> impl Iterator<Item = (InstanceId, Outgoing)> {
        self.pending.into_iter().map(Batch::into_packet)
    }
}
