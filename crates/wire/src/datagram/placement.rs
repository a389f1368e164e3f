//! Wire form of owner counts.
//!
//! Versions are not sent: the sequence number of the packet takes their place,
//! because it rises over all processes of the sender.
//!
//! A ticket has the start of the holder's process in its upper half (the
//! epoch) and a count in its lower half, and only the count is sent. Answers go
//! to the holder, which knows its epoch. The epoch of the sender follows from
//! the sequence number of the packet; before a message of another holder, such
//! as an ask that is passed on, the packet names its epoch.

use bamboospur_placement::{Holding, PlacementMessage};
use serde::{Deserialize, Serialize};

use super::ask::WireReservationRequest;
use super::seal::PACKETS_PER_MS_BITS;
use super::{Body, DatagramError, ShortId, ShortIdMap, short};

/// First byte of an ask; the stage is added. Lower values are other messages.
const ASK: u8 = 16;

/// A placement message with short ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WirePlacement {
    /// Ask for room.
    ReservationRequest(WireReservationRequest),
    /// Any other message.
    Other(WireOther),
}

/// A message that is not an ask, with short ids and the counts of tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOther {
    /// Epoch of the holders of the messages that follow.
    Epoch([u8; 4]),
    /// Grant without a source of the prefix.
    Grant(u32, ShortId, u32),
    /// Grant with a source of the prefix.
    GrantFrom(u32, ShortId, u32, ShortId),
    /// Denial of a round.
    Deny(u32, u8),
    /// Settled ticket and holdings.
    Declare(u32, Vec<(ShortId, u32, u16)>),
    /// Load and capacity.
    Summary(u32, u32),
    /// Chat, target and cached tokens.
    Note([u8; 8], ShortId, u32),
    /// Target and chats.
    Evicted(ShortId, Vec<[u8; 8]>),
}

impl TryFrom<&PlacementMessage> for WirePlacement {
    type Error = DatagramError;

    fn try_from(message: &PlacementMessage) -> Result<Self, Self::Error> {
        Ok(Self::Other(match message {
            PlacementMessage::ReservationRequest(ask) => {
                return WireReservationRequest::try_from(ask).map(Self::ReservationRequest);
            }
            PlacementMessage::Grant {
                ticket,
                target,
                work_tokens,
                source,
            } => match source {
                None => WireOther::Grant(count(*ticket), short(*target), *work_tokens),
                Some(source) => {
                    let (target, source) = (short(*target), short(*source));
                    WireOther::GrantFrom(count(*ticket), target, *work_tokens, source)
                }
            },
            PlacementMessage::Deny { ticket, round } => WireOther::Deny(count(*ticket), *round),
            PlacementMessage::Declare {
                settled, holdings, ..
            } => {
                let holdings = holdings.iter();
                let holdings = holdings.map(|h| (short(h.target), h.work_tokens, h.requests));
                WireOther::Declare(count(*settled), holdings.collect())
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
            } => WireOther::Note(chat.to_le_bytes(), short(*target), *prefix_tokens),
            PlacementMessage::Evicted { target, chats } => {
                let chats = chats.iter().map(|chat| chat.to_le_bytes());
                WireOther::Evicted(short(*target), chats.collect())
            }
        }))
    }
}

impl WirePlacement {
    fn write(&self, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
        match self {
            Self::ReservationRequest(ask) => ask.write(ASK, bytes)?,
            Self::Other(other) => bytes.extend(postcard::to_stdvec(other)?),
        }
        Ok(())
    }

    fn read(bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        match bytes.split_first() {
            Some((tag, rest)) if *tag >= ASK => {
                let (ask, rest) = WireReservationRequest::read(tag - ASK, rest)?;
                Ok((Self::ReservationRequest(ask), rest))
            }
            _ => {
                let (other, rest) = postcard::take_from_bytes(bytes)?;
                Ok((Self::Other(other), rest))
            }
        }
    }
}

/// Low half of a ticket.
pub(super) fn count(ticket: u64) -> u32 {
    let bytes = ticket.to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

const fn epoch(ticket: u64) -> u32 {
    (ticket >> 32) as u32
}

pub(super) const fn ticket(epoch: u32, count: u32) -> u64 {
    (epoch as u64) << 32 | count as u64
}

/// Epoch of a process whose packets have such numbers: its start in seconds.
fn epoch_of(sequence: u64) -> u32 {
    u32::try_from((sequence >> PACKETS_PER_MS_BITS) / 1_000).unwrap_or(u32::MAX)
}

/// Encodes the messages of one packet.
pub(super) fn write(
    messages: &[PlacementMessage],
    sequence: u64,
    bytes: &mut Vec<u8>,
) -> Result<(), DatagramError> {
    let mut current = epoch_of(sequence);
    for message in messages {
        let held = match message {
            PlacementMessage::ReservationRequest(ask) => Some(ask.ticket),
            PlacementMessage::Declare { settled, .. } => Some(*settled),
            _ => None,
        };
        if let Some(other) = held.map(epoch).filter(|other| *other != current) {
            current = other;
            let wire = WireOther::Epoch(other.to_le_bytes());
            WirePlacement::Other(wire).write(bytes)?;
        }
        WirePlacement::try_from(message)?.write(bytes)?;
    }
    Ok(())
}

/// Resolves the messages of a packet. Those that name unknown ids are left out
/// and counted.
#[must_use]
pub fn resolve_placement(
    messages: &[WirePlacement],
    sequence: u64,
    names: &PlacementIdMaps<'_>,
) -> (Vec<PlacementMessage>, usize) {
    let mut holder = epoch_of(sequence);
    let mut known = Vec::with_capacity(messages.len());
    let mut epochs = 0;
    for message in messages {
        match message {
            WirePlacement::ReservationRequest(ask) => {
                known.extend(
                    ask.resolve(holder, names)
                        .map(PlacementMessage::ReservationRequest),
                );
            }
            WirePlacement::Other(WireOther::Epoch(epoch)) => {
                holder = u32::from_le_bytes(*epoch);
                epochs += 1;
            }
            WirePlacement::Other(other) => known.extend(other.resolve(sequence, holder, names)),
        }
    }
    let unknown = messages.len() - epochs - known.len();
    (known, unknown)
}

/// Lists that resolve the short ids of one pool.
#[derive(Clone, Copy, Debug)]
pub struct PlacementIdMaps<'a> {
    /// Upper half of the receiver's own tickets.
    pub epoch: u32,
    /// Targets.
    pub targets: &'a ShortIdMap,
    /// Routers.
    pub instances: &'a ShortIdMap,
    /// Offers.
    pub offers: &'a ShortIdMap,
}

impl WireOther {
    /// Resolves the short ids; `None` when one is not known here.
    fn resolve(
        &self,
        sequence: u64,
        holder: u32,
        names: &PlacementIdMaps<'_>,
    ) -> Option<PlacementMessage> {
        let target = |id: &ShortId| names.targets.resolve(*id);
        match self {
            Self::Epoch(_) => None,
            Self::Grant(count, id, work_tokens) => Some(PlacementMessage::Grant {
                ticket: ticket(names.epoch, *count),
                target: target(id)?,
                work_tokens: *work_tokens,
                source: None,
            }),
            Self::GrantFrom(count, id, work_tokens, source) => Some(PlacementMessage::Grant {
                ticket: ticket(names.epoch, *count),
                target: target(id)?,
                work_tokens: *work_tokens,
                source: target(source),
            }),
            Self::Deny(count, round) => Some(PlacementMessage::Deny {
                ticket: ticket(names.epoch, *count),
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
                    settled: ticket(holder, *settled),
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
