//! UDP packets.
//!
//! A packet is a keyed hash (16 bytes), the sender (8), its sequence number
//! (8), the kind (1) and a `postcard` body. The keyed hash also covers the
//! receiver's address, so that a packet recorded on the way to one instance is
//! refused by every other one.
//!
//! Cap'n Proto is not used here: its 8-byte alignment and its segment table
//! would double packets whose budget is a few KB a second.

mod ask;
mod limits;
mod membership;
mod open;
mod placement;
mod seal;
mod short;
mod window;

use bamboospur_limits::LimitsMessage;
use bamboospur_membership::Message;
use quick_error::quick_error;

use crate::key::MAC_BYTES;

pub use ask::WireReservationRequest;
pub use open::{OpenedPacket, Opener};
pub use placement::{PlacementIdMaps, WireOther, WirePlacement, resolve_placement};
pub use seal::{Outgoing, Packet, Sealer};
pub use short::{ShortId, ShortIdMap, short};

/// Largest packet, with the UDP/IP header.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// UDP and IP header.
pub const IP_BYTES: usize = 28;
/// Largest payload of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = MAX_PACKET_BYTES - IP_BYTES;
/// Keyed hash, sender, sequence number and kind.
pub const HEADER_BYTES: usize = MAC_BYTES + 8 + 8 + 1;
/// Pool of a placement packet.
pub const POOL_BYTES: usize = 4;

/// Kind of a packet, for counters.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumIter,
    strum::FromRepr,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum PacketKind {
    /// Gossip and probes between instances.
    Membership = 1,
    /// Owner counts.
    Placement = 2,
    /// Leases.
    Limits = 3,
}

/// Content of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Gossip and probes between instances.
    Membership(Message),
    /// Owner counts of one pool, with short ids.
    Placement {
        /// Short id of the pool.
        pool: ShortId,
        /// Messages in the order in which they were sent.
        messages: Vec<WirePlacement>,
    },
    /// Leases.
    Limits(LimitsMessage),
}

quick_error! {
    /// Why a packet was not sent or not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum DatagramError {
        /// Larger than a packet can be.
        TooLarge { bytes: usize } {
            display("the packet has {bytes} bytes and the limit is {MAX_PACKET_BYTES}")
        }
        /// Too short, or not a known kind.
        Header {
            display("the packet has no valid header")
        }
        /// From outside the fleet, changed on the way, or for another instance.
        Forged {
            display("the keyed hash does not match: check that all instances have the same fleet secret")
        }
        /// Seen before, or too old to tell.
        Replayed {
            display("the packet was received before")
        }
        /// The content is not well formed.
        Malformed {
            display("the content cannot be read: the sender may run another version")
        }
    }
}

impl From<postcard::Error> for DatagramError {
    fn from(_: postcard::Error) -> Self {
        Self::Malformed
    }
}
