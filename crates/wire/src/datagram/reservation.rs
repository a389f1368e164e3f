//! Encoding of reservation requests.

use bamboospur_placement::{ReservationRequest, ReservationStage};
use serde::{Deserialize, Serialize};

use super::placement::{PlacementIdMaps, make_ticket, ticket_count};
use super::{DatagramError, ShortId, ShortIdMap, shorten_id};

const STAGES: [ReservationStage; 6] = [
    ReservationStage::First,
    ReservationStage::Hinted,
    ReservationStage::Probe,
    ReservationStage::Followed,
    ReservationStage::Cold,
    ReservationStage::Last,
];

/// Flags in the low bits of `shape`; each is set when the id of that name is present.
const SOURCE_FLAG: u16 = 1;
const AT_FLAG: u16 = 2;
const OFFER_FLAG: u16 = 4;
/// Widths in bits of the fields of `shape` that follow the three flags.
const NEXT_BITS: u32 = 3;
const CHOICES_BITS: u32 = 3;
const ROUND_BITS: u32 = 2;
const EXCLUDED_BITS: u32 = 5;
/// Value of the excluded-targets field which means that the count follows the header
/// as a byte.
const MANY_EXCLUDED: usize = (1 << EXCLUDED_BITS) - 1;

/// Reservation request with short ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireReservationRequest {
    stage: ReservationStage,
    head: Head,
    /// Choices, then `source`, `at` and `offer` if their flags are set, then the
    /// excluded targets.
    ids: Vec<ShortId>,
    excluded: usize,
}

/// Fields that every reservation request has. `shape` packs into two bytes: the flags,
/// the index of the next choice, the number of choices, the round and the number of
/// excluded targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    holder: ShortId,
    ticket: u32,
    chat: [u8; 8],
    work_tokens: u32,
    prefix_tokens: u32,
    shape: [u8; 2],
}

/// Writes `value` into the next `bits` bits of `shape`; fails when it does not fit.
fn pack(shape: &mut u16, offset: &mut u32, bits: u32, value: usize) -> Result<(), DatagramError> {
    let value = u16::try_from(value).map_err(|_| DatagramError::Malformed)?;
    if value >> bits != 0 {
        return Err(DatagramError::Malformed);
    }
    *shape |= value << *offset;
    *offset += bits;
    Ok(())
}

fn unpack(shape: u16, offset: &mut u32, bits: u32) -> usize {
    let value = (shape >> *offset) & ((1 << bits) - 1);
    *offset += bits;
    usize::from(value)
}

impl TryFrom<&ReservationRequest> for WireReservationRequest {
    type Error = DatagramError;

    fn try_from(request: &ReservationRequest) -> Result<Self, Self::Error> {
        let mut ids: Vec<ShortId> = request.choices.iter().map(|id| shorten_id(*id)).collect();
        let (mut shape, mut offset) = (0, 3);
        for (flag, id) in [
            (SOURCE_FLAG, request.source),
            (AT_FLAG, request.at),
            (OFFER_FLAG, request.offer),
        ] {
            if let Some(id) = id {
                shape |= flag;
                ids.push(shorten_id(id));
            }
        }
        let excluded = request.excluded.len();
        ids.extend(request.excluded.iter().map(|id| shorten_id(*id)));
        pack(&mut shape, &mut offset, NEXT_BITS, request.next.into())?;
        pack(&mut shape, &mut offset, CHOICES_BITS, request.choices.len())?;
        pack(&mut shape, &mut offset, ROUND_BITS, request.round.into())?;
        pack(
            &mut shape,
            &mut offset,
            EXCLUDED_BITS,
            excluded.min(MANY_EXCLUDED),
        )?;
        let head = Head {
            holder: shorten_id(request.holder),
            ticket: ticket_count(request.ticket),
            chat: request.chat.to_le_bytes(),
            work_tokens: request.work_tokens,
            prefix_tokens: request.prefix_tokens,
            shape: shape.to_le_bytes(),
        };
        Ok(Self {
            stage: request.stage,
            head,
            ids,
            excluded,
        })
    }
}

impl WireReservationRequest {
    /// Appends the request; its first byte is `tag` plus the index of the stage.
    pub(super) fn write(&self, tag: u8, bytes: &mut Vec<u8>) -> Result<(), DatagramError> {
        let stage = STAGES.iter().position(|stage| *stage == self.stage);
        let stage = u8::try_from(stage.unwrap_or(0)).unwrap_or(0);
        bytes.push(tag + stage);
        bytes.extend(postcard::to_stdvec(&self.head)?);
        if self.excluded >= MANY_EXCLUDED {
            let excluded = u8::try_from(self.excluded).map_err(|_| DatagramError::Malformed)?;
            bytes.push(excluded);
        }
        bytes.extend(self.ids.iter().flatten());
        Ok(())
    }

    /// Decodes a request from the bytes after the first one, which gave the index
    /// `stage`. Returns the request and the remaining bytes.
    pub(super) fn read(stage: u8, bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        let stage = STAGES
            .get(usize::from(stage))
            .ok_or(DatagramError::Malformed)?;
        let (head, mut rest) = postcard::take_from_bytes::<Head>(bytes)?;
        let shape = u16::from_le_bytes(head.shape);
        let mut offset = 3 + NEXT_BITS;
        let choices = unpack(shape, &mut offset, CHOICES_BITS);
        offset += ROUND_BITS;
        let mut excluded = unpack(shape, &mut offset, EXCLUDED_BITS);
        if excluded == MANY_EXCLUDED {
            let (number, left) = rest.split_first().ok_or(DatagramError::Malformed)?;
            excluded = usize::from(*number);
            rest = left;
        }
        let optional = (shape & (SOURCE_FLAG | AT_FLAG | OFFER_FLAG)).count_ones() as usize;
        let length = (choices + optional + excluded) * 4;
        let (ids, rest) = rest
            .split_at_checked(length)
            .ok_or(DatagramError::Malformed)?;
        let (ids, _) = ids.as_chunks::<4>();
        let wire = Self {
            stage: *stage,
            head,
            ids: ids.to_vec(),
            excluded,
        };
        Ok((wire, rest))
    }

    /// Resolves the short ids; `None` when a required one is unknown. `epoch` is that of
    /// the holder.
    pub(super) fn resolve(
        &self,
        epoch: u32,
        id_maps: &PlacementIdMaps<'_>,
    ) -> Option<ReservationRequest> {
        let shape = u16::from_le_bytes(self.head.shape);
        let mut offset = 3;
        let next = unpack(shape, &mut offset, NEXT_BITS);
        let choices = unpack(shape, &mut offset, CHOICES_BITS);
        let round = unpack(shape, &mut offset, ROUND_BITS);
        let (choices, rest) = self.ids.split_at_checked(choices)?;
        let mut rest = rest.iter();
        let mut optional = |flag, map: &ShortIdMap| -> Option<Option<u64>> {
            if shape & flag == 0 {
                return Some(None);
            }
            map.resolve(*rest.next()?).map(Some)
        };
        let source = optional(SOURCE_FLAG, id_maps.targets)?;
        let at = optional(AT_FLAG, id_maps.targets)?;
        let offer = optional(OFFER_FLAG, id_maps.offers)?;
        let resolve = |id: &ShortId| id_maps.targets.resolve(*id);
        // An unknown target cannot be granted here, so an unknown exclusion can be
        // skipped. Choices are positional, so an unknown choice fails the request.
        let excluded = rest.filter_map(resolve).collect();
        Some(ReservationRequest {
            holder: id_maps.instances.resolve(self.head.holder)?,
            ticket: make_ticket(epoch, self.head.ticket),
            chat: u64::from_le_bytes(self.head.chat),
            offer,
            work_tokens: self.head.work_tokens,
            prefix_tokens: self.head.prefix_tokens,
            choices: choices.iter().map(resolve).collect::<Option<_>>()?,
            next: u8::try_from(next).ok()?,
            at,
            round: u8::try_from(round).ok()?,
            stage: self.stage,
            source,
            excluded,
        })
    }
}
