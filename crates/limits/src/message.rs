//! Messages between holders and owners.

use bamboospur_types::{InstanceId, TeamId};

use crate::amount::Amount;

/// Largest packet, with the UDP/IP header and the keyed hash.
pub const MAX_PACKET_BYTES: usize = 1_200;
/// UDP/IP header (28) and keyed hash (16).
const PACKET_BYTES: usize = 44;
/// Cap'n Proto segment table, root pointer, sender and list pointer.
const MESSAGE_BYTES: usize = 40;
const ASK_BYTES: usize = 48;
const GRANT_BYTES: usize = 40;

/// Work on the wire is in units of this many tokens.
pub const WORK_UNIT: u64 = 16;

/// What a holder uses and needs for one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Team.
    pub team: TeamId,
    /// Number of this ask; grows by one with each ask of the holder.
    pub ask: u32,
    /// Number of the last grant received, 0 for none.
    pub lease: u32,
    /// What is in use.
    pub used: Amount,
    /// What callers want, with refused requests; all zero returns the lease.
    pub demand: Amount,
}

/// What an owner lets a holder use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Team.
    pub team: TeamId,
    /// The ask that this answers.
    pub ask: u32,
    /// Number of this grant.
    pub lease: u32,
    /// What the holder may use.
    pub amount: Amount,
    /// Whether the team is at its share, which suspends standing allowances.
    pub strict: bool,
    /// Lifetime from the moment the ask was sent, in milliseconds.
    pub lifetime_ms: u32,
}

/// Message of limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitsMessage {
    /// From a holder to an owner.
    Ask(Vec<LeaseRequest>),
    /// From an owner to a holder.
    Grant(Vec<LeaseGrant>),
}

impl LimitsMessage {
    /// Most asks in one packet.
    pub const MAX_REQUESTS: usize = (MAX_PACKET_BYTES - PACKET_BYTES - MESSAGE_BYTES) / ASK_BYTES;
    /// Most grants in one packet.
    pub const MAX_GRANTS: usize = (MAX_PACKET_BYTES - PACKET_BYTES - MESSAGE_BYTES) / GRANT_BYTES;

    /// Returns the budgeted size of the message without the packet header.
    ///
    /// Amounts are four 32-bit numbers on the wire, with work in units of 16
    /// tokens: rounded up in asks and down in grants.
    #[must_use]
    pub const fn encoded_bytes(&self) -> usize {
        MESSAGE_BYTES
            + match self {
                Self::Ask(entries) => entries.len() * ASK_BYTES,
                Self::Grant(entries) => entries.len() * GRANT_BYTES,
            }
    }

    /// Returns the budgeted size of the packet.
    #[must_use]
    pub const fn packet_bytes(&self) -> usize {
        PACKET_BYTES + self.encoded_bytes()
    }
}

/// What the host must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitsOutput {
    /// Send a message; `bytes` is the size of the packet, 0 to the own instance.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: LimitsMessage,
        /// Budgeted size of the packet.
        bytes: usize,
    },
}
