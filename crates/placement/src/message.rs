//! Messages between routers.

use bamboospur_types::{ChatId, InstanceId, OfferId, TargetId};
use serde::{Deserialize, Serialize};

use crate::decision::Ticket;

/// UDP and IP header plus truncated keyed hash, once per packet.
pub const PACKET_OVERHEAD_BYTES: usize = 28 + 16;

/// Kind of a cache event.
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

/// How far the walk of an ask over the owners has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReservationStage {
    /// First owner, named by the rendezvous order.
    First,
    /// First owner, named by the caller's hint.
    Hinted,
    /// The owner of the second choice is asked whether it knows the chat.
    Probe,
    /// An owner that knows the chat named this one.
    Followed,
    /// No prefix is known: any target below the limit will do.
    Cold,
    /// Every earlier target was denied: any target within the bound will do.
    Last,
}

/// An ask for room on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// Router that waits for the answer.
    pub holder: InstanceId,
    /// Ticket on the holder.
    pub ticket: Ticket,
    /// Chat to place.
    pub chat: ChatId,
    /// Offer needed.
    pub offer: Option<OfferId>,
    /// Work without any cached prefix, in tokens.
    pub work_tokens: u32,
    /// Part of the prompt that may be cached, in tokens.
    pub prefix_tokens: u32,
    /// Targets in order of preference, at most six.
    pub choices: Vec<TargetId>,
    /// Index of the choice asked for.
    pub next: u8,
    /// Target that the hint or the last owner named.
    pub at: Option<TargetId>,
    /// Round of asks for the ticket; a denial of an earlier round is ignored.
    pub round: u8,
    /// Position in the walk.
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

/// Everything one holder runs on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Target.
    pub target: TargetId,
    /// Sum of the work held, in tokens.
    pub work_tokens: u32,
    /// Requests held.
    pub requests: u16,
}

/// Message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// Asks the owner of a target for room; owners forward it along the choices.
    #[serde(rename = "Ask")]
    ReservationRequest(ReservationRequest),
    /// Answers an ask: room is counted for the holder.
    Grant {
        /// Ticket on the holder.
        ticket: Ticket,
        /// Target granted.
        target: TargetId,
        /// Work counted, in tokens.
        work_tokens: u32,
        /// Target that probably holds the prefix.
        source: Option<TargetId>,
    },
    /// Answers an ask: no target asked for has room.
    Deny {
        /// Ticket on the holder.
        ticket: Ticket,
        /// Round denied.
        round: u8,
    },
    /// Declares all that the sender holds on the receiver's targets. Values are
    /// absolute and the newest version wins, so that losses, repeats and
    /// reordering need no further care.
    Declare {
        /// Version, increasing per sender.
        version: u64,
        /// Every ask with a ticket up to this one is settled.
        settled: Ticket,
        /// All holdings that are not zero.
        holdings: Vec<Holding>,
    },
    /// Load of the sender's own targets, for the mean.
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
        /// Chat.
        chat: ChatId,
        /// Target that runs it.
        target: TargetId,
        /// Prompt tokens that will be cached there.
        prefix_tokens: u32,
    },
    /// Relays evictions of one target to its owner.
    Evicted {
        /// Target.
        target: TargetId,
        /// Chats evicted.
        chats: Vec<ChatId>,
    },
}

impl PlacementMessage {
    /// Returns the size budgeted in a packet, without [`PACKET_OVERHEAD_BYTES`].
    ///
    /// Ids of targets, instances and offers, tickets and versions count 4 bytes:
    /// the wire form truncates them and the receiver resolves them against its
    /// own lists. Token counts take 3 bytes, or 4 where they are sums.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        match self {
            Self::ReservationRequest(ask) => {
                let ids = ask.choices.len()
                    + ask.excluded.len()
                    + usize::from(ask.source.is_some())
                    + usize::from(ask.at.is_some())
                    + usize::from(ask.offer.is_some());
                1 + 4 + 4 + 8 + 3 + 3 + 2 + 4 * ids
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
