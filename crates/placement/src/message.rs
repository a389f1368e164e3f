//! Messages between routers.

use bamboospur_types::{ChatId, InstanceId, OfferId, TargetId};
use serde::{Deserialize, Serialize};

use crate::decision::Ticket;

/// Size of the UDP and IP headers plus the truncated keyed hash, counted once per
/// packet.
pub const PACKET_OVERHEAD_BYTES: usize = 28 + 16;

/// Kind of a cache event that an engine reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CacheEventKind {
    /// The engine has the prefix in its cache.
    Stored,
    /// The engine dropped the prefix.
    Evicted,
}

/// Position of a reservation request on its way from owner to owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReservationStage {
    /// The owner of the first choice decides.
    First,
    /// The owner of the target that the caller's hint names decides.
    Hinted,
    /// The owner of the second choice is asked whether it knows the chat.
    Probe,
    /// The owner of the target where another owner located the chat decides.
    Followed,
    /// No cached prefix is known; the owner may grant any of its targets below the
    /// limit.
    Cold,
    /// Last round; the owner may grant any of its targets within the full bound.
    Last,
}

/// A request to reserve room for a chat on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Router that sent the request and waits for the answer.
    pub holder: InstanceId,
    /// Ticket of the request on the holder.
    pub ticket: Ticket,
    /// Chat to place.
    pub chat: ChatId,
    /// Offer that the target must serve; `None` accepts every target.
    pub offer: Option<OfferId>,
    /// Work of the request if no prefix is cached, in tokens.
    pub work_tokens: u32,
    /// Part of the prompt that may be cached, in tokens.
    pub prefix_tokens: u32,
    /// Targets in order of preference, at most six. The owners of the first two
    /// are told where the chat is placed.
    pub choices: Vec<TargetId>,
    /// Index of the requested target in `choices`, unless `stage` selects `at`.
    pub next: u8,
    /// Target that the caller's hint or the previous owner named.
    pub at: Option<TargetId>,
    /// Number of the round, from 0; the holder ignores the denial of an earlier
    /// round.
    pub round: u8,
    /// Position on the way from owner to owner.
    pub stage: ReservationStage,
    /// Target that probably holds the prefix but had no room.
    pub source: Option<TargetId>,
    /// Targets that must not be granted.
    pub excluded: Vec<TargetId>,
}

impl ReservationRequest {
    /// Returns the target whose owner decides next.
    #[must_use]
    pub fn requested_target(&self) -> Option<TargetId> {
        match self.stage {
            ReservationStage::Hinted | ReservationStage::Followed => self.at,
            ReservationStage::First
            | ReservationStage::Probe
            | ReservationStage::Cold
            | ReservationStage::Last => self.choices.get(usize::from(self.next)).copied(),
        }
    }
}

/// Sum of all requests that one router holds on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Target that runs the requests.
    pub target: TargetId,
    /// Sum of the work held, in tokens.
    pub work_tokens: u32,
    /// Number of requests held.
    pub requests: u16,
}

/// Message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// Requests room from the owner of a target; owners may forward the request to
    /// the owner of another choice.
    #[serde(rename = "Ask")]
    ReservationRequest(ReservationRequest),
    /// Grants a reservation request; the owner has counted the work for the holder.
    Grant {
        /// Ticket of the request on the holder.
        ticket: Ticket,
        /// Target granted.
        target: TargetId,
        /// Work counted, in tokens.
        work_tokens: u32,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
    },
    /// Denies a reservation request; no target tried in this round has room.
    Deny {
        /// Ticket of the request on the holder.
        ticket: Ticket,
        /// Round that is denied.
        round: u8,
    },
    /// Declares all that the sender holds on the receiver's targets. The values are
    /// absolute and the highest version wins, so that a later declaration corrects
    /// lost, repeated and reordered ones.
    Declare {
        /// Version, increasing per sender.
        version: u64,
        /// Highest ticket up to which the sender waits for no reservation.
        settled: Ticket,
        /// Holdings by target; a target that is not listed has none.
        holdings: Vec<Holding>,
    },
    /// Reports the load of the sender's own targets, for the mean of the data centre.
    Summary {
        /// Version, increasing per sender.
        version: u64,
        /// Load of the sender's targets, in tokens.
        load_tokens: u32,
        /// Effective capacity of the sender's targets, in tokens.
        weight_tokens: u32,
    },
    /// Tells an owner where a chat was placed.
    Note {
        /// Chat that was placed.
        chat: ChatId,
        /// Target that runs the chat.
        target: TargetId,
        /// Prompt tokens that the target will have cached.
        prefix_tokens: u32,
    },
    /// Relays evictions of one target to its owner.
    Evicted {
        /// Target that evicted the prefixes.
        target: TargetId,
        /// Chats whose prefix was evicted.
        chats: Vec<ChatId>,
    },
}

/// Size of the epoch of a holder that is not the sender of the packet.
const EPOCH_BYTES: usize = 5;

impl PlacementMessage {
    /// Returns the size budgeted in a packet, without [`PACKET_OVERHEAD_BYTES`].
    ///
    /// Ids of targets, instances and offers, tickets and versions count 4 bytes:
    /// the wire format truncates them and the receiver resolves them against its
    /// own lists. Token counts take 3 bytes, or 4 bytes if they are sums. A reservation request
    /// counts the epoch of its holder, which a forwarded one carries.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        match self {
            Self::ReservationRequest(reservation) => {
                let ids = reservation.choices.len()
                    + reservation.excluded.len()
                    + usize::from(reservation.source.is_some())
                    + usize::from(reservation.at.is_some())
                    + usize::from(reservation.offer.is_some());
                EPOCH_BYTES + 1 + 4 + 4 + 8 + 3 + 3 + 2 + 4 * ids
            }
            Self::Grant { source, .. } => 1 + 4 + 4 + 3 + 4 * usize::from(source.is_some()),
            Self::Deny { .. } => 1 + 4 + 1,
            Self::Declare { holdings, .. } => 1 + 4 + 4 + 1 + 10 * holdings.len(),
            Self::Summary { .. } => 1 + 4 + 4 + 4,
            Self::Note { .. } => 1 + 8 + 4 + 3,
            Self::Evicted { chats, .. } => 1 + 4 + 1 + 8 * chats.len(),
        }
    }

    /// Returns the size budgeted for this message alone in one packet.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        PACKET_OVERHEAD_BYTES + self.body_bytes()
    }
}
