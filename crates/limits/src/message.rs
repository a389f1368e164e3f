//! Messages between lease holders and lease owners.

use bamboospur_types::{InstanceId, TeamId};

use crate::amount::Amount;

/// Largest packet, with the UDP/IP header and the keyed hash.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// UDP/IP header (28 bytes) and keyed hash (16 bytes).
const PACKET_OVERHEAD_BYTES: usize = 44;
/// Cap'n Proto segment table, root pointer, sender and list pointer.
const MESSAGE_OVERHEAD_BYTES: usize = 40;
const LEASE_REQUEST_BYTES: usize = 48;
const LEASE_GRANT_BYTES: usize = 40;

/// Number of tokens in one unit of work on the wire.
pub const WORK_UNIT_TOKENS: u64 = 16;

/// Report of what a holder uses for one team, and request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Team whose share is used.
    pub team: TeamId,
    /// Number of this lease request; each lease request of a holder, for any team,
    /// has the next number.
    pub request_number: u32,
    /// Number of the last grant received from the addressed owner, 0 for none.
    pub lease_number: u32,
    /// Requests and work in flight, and the leased part of the demanded rates.
    pub used: Amount,
    /// What callers demand, refused requests included; all zero returns the lease.
    pub demand: Amount,
}

/// Lease that an owner gives to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Team whose share is leased.
    pub team: TeamId,
    /// Number of the lease request that this grant answers.
    pub request_number: u32,
    /// Number of this grant; it rises with each grant of the team.
    pub lease_number: u32,
    /// What the holder may use; it replaces the former lease.
    pub amount: Amount,
    /// Whether the team is at its share, which suspends standing allowances.
    pub strict: bool,
    /// Lifetime in milliseconds, from the moment the lease request was sent.
    pub lifetime_ms: u32,
}

/// Message between a holder and an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitsMessage {
    /// Lease requests from a holder to an owner.
    Ask(Vec<LeaseRequest>),
    /// Leases from an owner to a holder.
    Grant(Vec<LeaseGrant>),
}

impl LimitsMessage {
    /// Maximum number of lease requests in one packet.
    pub const MAX_LEASE_REQUESTS: usize =
        (MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES - MESSAGE_OVERHEAD_BYTES) / LEASE_REQUEST_BYTES;
    /// Maximum number of grants in one packet.
    pub const MAX_GRANTS: usize =
        (MAX_PACKET_BYTES - PACKET_OVERHEAD_BYTES - MESSAGE_OVERHEAD_BYTES) / LEASE_GRANT_BYTES;

    /// Returns the size of the message in bytes that the byte budget counts,
    /// without the UDP/IP header and the keyed hash.
    ///
    /// Amounts are four 32-bit numbers on the wire, with work in units of 16
    /// tokens: rounded up in lease requests and down in grants.
    #[must_use]
    pub const fn encoded_bytes(&self) -> usize {
        MESSAGE_OVERHEAD_BYTES
            + match self {
                Self::Ask(entries) => entries.len() * LEASE_REQUEST_BYTES,
                Self::Grant(entries) => entries.len() * LEASE_GRANT_BYTES,
            }
    }

    /// Returns the size of the packet in bytes that the byte budget counts.
    #[must_use]
    pub const fn packet_bytes(&self) -> usize {
        PACKET_OVERHEAD_BYTES + self.encoded_bytes()
    }
}

/// Action that the caller of a holder or an owner must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitsOutput {
    /// Send a message to a router, which may be the sender itself.
    Send {
        /// Router that receives the message.
        to: InstanceId,
        /// Message to send.
        message: LimitsMessage,
        /// Size of the packet that the byte budget counts; 0 if `to` is the sender.
        bytes: usize,
    },
}
