//! Encoding of placement messages.
//!
//! Versions are not sent. The sequence number of the packet replaces them, because it
//! increases across restarts of the sender.
//!
//! The upper half of a ticket is the start time of the holder's process in seconds (the
//! epoch), and the lower half is a count. Only the count is sent. Replies go to the
//! holder, which knows its own epoch. The epoch of the sender is computed from the
//! sequence number of the packet. A message of a holder with another epoch, such as a
//! forwarded reservation request, is preceded by an entry with that epoch.

use bamboospur_placement::{Holding, PlacementMessage};
use serde::{Deserialize, Serialize};

use super::reservation::WireReservationRequest;
use super::seal::PACKETS_PER_MS_BITS;
use super::{Body, DatagramError, ShortId, ShortIdMap, shorten_id};

/// First byte of a reservation request, to which the index of its stage is added.
/// Lower values are variants of [`WireOther`].
const RESERVATION_REQUEST_TAG: u8 = 16;

/// Placement message with short ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WirePlacement {
    /// Request for a reservation on a target.
    ReservationRequest(WireReservationRequest),
    /// Message of any other type.
    Other(WireOther),
}

/// Placement message other than a reservation request, with short ids and the counts
/// of tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOther {
    /// Epoch of the tickets in the messages that follow.
    Epoch([u8; 4]),
    /// Grant without a target that holds the prefix: ticket, target and work tokens.
    Grant(u32, ShortId, u32),
    /// Grant with a target that holds the prefix: ticket, granted target, work tokens,
    /// and the target that holds the prefix.
    GrantFrom(u32, ShortId, u32, ShortId),
    /// Denial: ticket and round.
    Deny(u32, u8),
    /// Settled ticket, and holdings as target, work tokens and requests.
    Declare(u32, Vec<(ShortId, u32, u16)>),
    /// Load and effective capacity, in tokens.
    Summary(u32, u32),
    /// Chat, target and tokens of the cached prefix.
    Note([u8; 8], ShortId, u32),
    /// Target, and the chats evicted from its cache.
    Evicted(ShortId, Vec<[u8; 8]>),
}

impl TryFrom<&PlacementMessage> for WirePlacement {
    type Error = DatagramError;

    fn try_from(message: &PlacementMessage) -> Result<Self, Self::Error> {
        Ok(Self::Other(match message {
            PlacementMessage::ReservationRequest(request) => {
                return WireReservationRequest::try_from(request).map(Self::ReservationRequest);
            }
            PlacementMessage::Grant {
                ticket,
                target,
                work_tokens,
                source,
            } => match source {
                None => WireOther::Grant(ticket_count(*ticket), shorten_id(*target), *work_tokens),
                Some(source) => {
                    let (target, source) = (shorten_id(*target), shorten_id(*source));
                    WireOther::GrantFrom(ticket_count(*ticket), target, *work_tokens, source)
                }
            },
            PlacementMessage::Deny { ticket, round } => {
                WireOther::Deny(ticket_count(*ticket), *round)
            }
            PlacementMessage::Declare {
                settled, holdings, ..
            } => {
                let holdings = holdings.iter();
                let holdings = holdings.map(|h| (shorten_id(h.target), h.work_tokens, h.requests));
                WireOther::Declare(ticket_count(*settled), holdings.collect())
            }
            PlacementMessage::Summary {
                load_tokens,
                weight_tokens,
                ..
            } => WireOther::Summary(*load_tokens, *weight_tokens),
            PlacementMessage::Note {
                chat,
                target,
                prefix_tokens,
            } => WireOther::Note(chat.to_le_bytes(), shorten_id(*target), *prefix_tokens),
            PlacementMessage::Evicted { target, chats } => {
                let chats = chats.iter().map(|chat| chat.to_le_bytes());
                WireOther::Evicted(shorten_id(*target), chats.collect())
            }
        }))
    }
}

impl WirePlacement {
    fn write(&self, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
        match self {
            Self::ReservationRequest(request) => request.write(RESERVATION_REQUEST_TAG, bytes)?,
            Self::Other(other) => bytes.extend(postcard::to_stdvec(other)?),
        }
        Ok(())
    }

    fn read(bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        match bytes.split_first() {
            Some((tag, rest)) if *tag >= RESERVATION_REQUEST_TAG => {
                let (request, rest) =
                    WireReservationRequest::read(tag - RESERVATION_REQUEST_TAG, rest)?;
                Ok((Self::ReservationRequest(request), rest))
            }
            _ => {
                let (other, rest) = postcard::take_from_bytes(bytes)?;
                Ok((Self::Other(other), rest))
            }
        }
    }
}

/// Returns the lower half of a ticket.
pub(super) fn ticket_count(ticket: u64) -> u32 {
    let bytes = ticket.to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

const fn ticket_epoch(ticket: u64) -> u32 {
    (ticket >> 32) as u32
}

pub(super) const fn make_ticket(epoch: u32, count: u32) -> u64 {
    (epoch as u64) << 32 | count as u64
}

/// Returns the epoch of the process that sent a packet with this sequence number: its
/// start time in seconds.
fn sender_epoch(sequence: u64) -> u32 {
    u32::try_from((sequence >> PACKETS_PER_MS_BITS) / 1_000).unwrap_or(u32::MAX)
}

/// Encodes the messages of one packet.
pub(super) fn write(
    messages: &[PlacementMessage],
    sequence: u64,
    bytes: &mut Vec<u8>,
) -> Result<(), DatagramError> {
    let mut current = sender_epoch(sequence);
    for message in messages {
        let holder_ticket = match message {
            PlacementMessage::ReservationRequest(request) => Some(request.ticket),
            PlacementMessage::Declare { settled, .. } => Some(*settled),
            _ => None,
        };
        if let Some(other) = holder_ticket
            .map(ticket_epoch)
            .filter(|other| *other != current)
        {
            current = other;
            let wire = WireOther::Epoch(other.to_le_bytes());
            WirePlacement::Other(wire).write(bytes)?;
        }
        WirePlacement::try_from(message)?.write(bytes)?;
    }
    Ok(())
}

/// Resolves the short ids in the messages of a packet. Returns the resolved messages
/// and the number of messages dropped because they contain unknown ids.
#[must_use]
pub fn resolve_placement(
    messages: &[WirePlacement],
    sequence: u64,
    id_maps: &PlacementIdMaps<'_>,
) -> (Vec<PlacementMessage>, usize) {
    let mut holder_epoch = sender_epoch(sequence);
    let mut known = Vec::with_capacity(messages.len());
    let mut epochs = 0;
    for message in messages {
        match message {
            WirePlacement::ReservationRequest(request) => {
                known.extend(
                    request
                        .resolve(holder_epoch, id_maps)
                        .map(PlacementMessage::ReservationRequest),
                );
            }
            WirePlacement::Other(WireOther::Epoch(epoch)) => {
                holder_epoch = u32::from_le_bytes(*epoch);
                epochs += 1;
            }
            WirePlacement::Other(other) => {
                known.extend(other.resolve(sequence, holder_epoch, id_maps));
            }
        }
    }
    let unknown = messages.len() - epochs - known.len();
    (known, unknown)
}

/// Maps that resolve the short ids of one pool.
#[derive(Clone, Copy, Debug)]
pub struct PlacementIdMaps<'a> {
    /// Epoch of the receiver: the upper half of its own tickets.
    pub epoch: u32,
    /// Targets of the pool.
    pub targets: &'a ShortIdMap,
    /// Instances that hold tickets (routers).
    pub instances: &'a ShortIdMap,
    /// Offers of the targets.
    pub offers: &'a ShortIdMap,
}

impl WireOther {
    /// Resolves the short ids; `None` when a required one is unknown, and for
    /// [`WireOther::Epoch`].
    fn resolve(
        &self,
        sequence: u64,
        holder_epoch: u32,
        id_maps: &PlacementIdMaps<'_>,
    ) -> Option<PlacementMessage> {
        let target = |id: &ShortId| id_maps.targets.resolve(*id);
        match self {
            Self::Epoch(_) => None,
            Self::Grant(count, id, work_tokens) => Some(PlacementMessage::Grant {
                ticket: make_ticket(id_maps.epoch, *count),
                target: target(id)?,
                work_tokens: *work_tokens,
                source: None,
            }),
            Self::GrantFrom(count, id, work_tokens, source) => Some(PlacementMessage::Grant {
                ticket: make_ticket(id_maps.epoch, *count),
                target: target(id)?,
                work_tokens: *work_tokens,
                source: target(source),
            }),
            Self::Deny(count, round) => Some(PlacementMessage::Deny {
                ticket: make_ticket(id_maps.epoch, *count),
                round: *round,
            }),
            Self::Declare(settled, holdings) => {
                let holdings = holdings.iter().filter_map(|(id, work_tokens, requests)| {
                    Some(Holding {
                        target: target(id)?,
                        work_tokens: *work_tokens,
                        requests: *requests,
                    })
                });
                Some(PlacementMessage::Declare {
                    version: sequence,
                    settled: make_ticket(holder_epoch, *settled),
                    holdings: holdings.collect(),
                })
            }
            Self::Summary(load_tokens, weight_tokens) => Some(PlacementMessage::Summary {
                version: sequence,
                load_tokens: *load_tokens,
                weight_tokens: *weight_tokens,
            }),
            Self::Note(chat, id, prefix_tokens) => Some(PlacementMessage::Note {
                chat: u64::from_le_bytes(*chat),
                target: target(id)?,
                prefix_tokens: *prefix_tokens,
            }),
            Self::Evicted(id, chats) => Some(PlacementMessage::Evicted {
                target: target(id)?,
                chats: chats.iter().map(|chat| u64::from_le_bytes(*chat)).collect(),
            }),
        }
    }
}

pub(super) fn read(bytes: &[u8]) -> Result<Body, DatagramError> {
    let (pool, mut rest) = bytes
        .split_first_chunk::<4>()
        .ok_or(DatagramError::Malformed)?;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, left) = WirePlacement::read(rest)?;
        messages.push(message);
        rest = left;
    }
    Ok(Body::Placement {
        pool: *pool,
        messages,
    })
}
