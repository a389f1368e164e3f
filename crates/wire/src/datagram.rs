//! UDP packets between instances.
//!
//! A packet consists of a truncated HMAC (16 bytes), the id of the sender (8), a
//! sequence number (8), the packet kind (1) and a `postcard` body. The HMAC also
//! covers the receiver's address, so that a packet captured on its way to one instance
//! cannot be replayed to another one.
//!
//! Cap'n Proto is not used here: its 8-byte alignment and its segment table would
//! double the size of packets, and the traffic budget is a few KB a second.

mod crashes;
mod limits;
mod membership;
mod open;
mod placement;
mod reservation;
mod seal;
mod short;
mod target_limits;
mod window;

use bamboospur_crashes::CrashMessage;
use bamboospur_limits::LimitsMessage;
use bamboospur_membership::Message;
use bamboospur_target_limits::StatedLimit;
use quick_error::quick_error;

use crate::key::MAC_BYTES;

pub use open::{OpenedPacket, Opener};
pub use placement::{PlacementIdMaps, WireOther, WirePlacement, resolve_placement};
pub use reservation::WireReservationRequest;
pub use seal::{Outgoing, Packet, Sealer};
pub use short::{ShortId, ShortIdMap, shorten_id};

/// Largest packet, including the IP and UDP headers.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// Size of the IPv4 and UDP headers.
pub const IP_UDP_HEADER_BYTES: usize = 28;
/// Largest UDP payload.
pub const MAX_DATAGRAM_BYTES: usize = MAX_PACKET_BYTES - IP_UDP_HEADER_BYTES;
/// Size of the HMAC, sender, sequence number and packet kind.
pub const HEADER_BYTES: usize = MAC_BYTES + 8 + 8 + 1;
/// Size of the pool's short id, which starts the body of a placement packet.
pub const POOL_ID_BYTES: usize = 4;

/// Kind of a packet, as sent in the header; also labels traffic counters.
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
    /// Placement of requests on targets.
    Placement = 2,
    /// Leases of team limits.
    Limits = 3,
    /// Parts of requests that crash targets.
    Crashes = 4,
    /// Limits that targets state.
    TargetLimits = 5,
}

/// Decoded body of a received packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Gossip and probes between instances.
    Membership(Message),
    /// Placement messages of one pool; their short ids are not resolved yet.
    Placement {
        /// Short id of the pool.
        pool: ShortId,
        /// Messages in the order of sending.
        messages: Vec<WirePlacement>,
    },
    /// Leases of team limits.
    Limits(LimitsMessage),
    /// Parts of requests that crash targets.
    Crashes(CrashMessage),
    /// Limits that targets state.
    TargetLimits(Vec<StatedLimit>),
}

quick_error! {
    /// Error that prevents a packet from being sent or accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum DatagramError {
        /// The content does not fit into one packet.
        TooLarge { bytes: usize } {
            display("the packet has {bytes} bytes and the limit is {MAX_PACKET_BYTES}")
        }
        /// The size of the packet or its kind is invalid.
        Header {
            display("the packet has no valid header")
        }
        /// The HMAC does not match: the packet comes from outside the fleet, was
        /// modified, or was sent to another instance.
        Forged {
            display("the HMAC of the packet does not match: check that all instances have the same fleet secret")
        }
        /// The sequence number was received before, is too old to check, or the sender
        /// is beyond the limit of tracked senders.
        Replayed {
            display("the packet was received before")
        }
        /// The content cannot be encoded or decoded.
        Malformed {
            display("the content of the packet is malformed: the sender may run another version")
        }
    }
}

impl From<postcard::Error> for DatagramError {
    fn from(_: postcard::Error) -> Self {
        Self::Malformed
    }
}
