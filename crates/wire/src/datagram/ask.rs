//! Wire form of asks.

use bamboospur_placement::{ReservationRequest, ReservationStage};
use serde::{Deserialize, Serialize};

use super::placement::{PlacementIdMaps, count, ticket};
use super::{DatagramError, ShortId, ShortIdMap, short};

const STAGES: [ReservationStage; 6] = [
    ReservationStage::First,
    ReservationStage::Hinted,
    ReservationStage::Probe,
    ReservationStage::Followed,
    ReservationStage::Cold,
    ReservationStage::Last,
];

const SOURCE: u16 = 1;
const AT: u16 = 2;
const OFFER: u16 = 4;
/// Widths of the fields above the three flags.
const NEXT_BITS: u32 = 3;
const CHOICES_BITS: u32 = 3;
const ROUND_BITS: u32 = 2;
const EXCLUDED_BITS: u32 = 5;
/// In the field of the excluded targets: their number follows in a byte.
const MANY_EXCLUDED: usize = (1 << EXCLUDED_BITS) - 1;

/// An ask with short ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireReservationRequest {
    stage: ReservationStage,
    head: Head,
    /// Choices, then source, hint and offer when their flags are set, then the
    /// excluded targets.
    ids: Vec<ShortId>,
    excluded: usize,
}

/// Fixed part of an ask. `shape` packs the flags, the next choice, the number of
/// choices, the round and the number of excluded targets into two bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    holder: ShortId,
    ticket: u32,
    chat: [u8; 8],
    work_tokens: u32,
    prefix_tokens: u32,
    shape: [u8; 2],
}

/// Puts a number into a field of so many bits.
fn pack(shape: &mut u16, at: &mut u32, bits: u32, value: usize) -> Result<(), DatagramError> {
    let value = u16::try_from(value).map_err(|_| DatagramError::Malformed)?;
    if value >> bits != 0 {
        return Err(DatagramError::Malformed);
    }
    *shape |= value << *at;
    *at += bits;
    Ok(())
}

fn unpack(shape: u16, at: &mut u32, bits: u32) -> usize {
    let value = (shape >> *at) & ((1 << bits) - 1);
    *at += bits;
    usize::from(value)
}

impl TryFrom<&ReservationRequest> for WireReservationRequest {
    type Error = DatagramError;

    fn try_from(ask: &ReservationRequest) -> Result<Self, Self::Error> {
        let mut ids: Vec<ShortId> = ask.choices.iter().map(|id| short(*id)).collect();
        let (mut shape, mut at) = (0, 3);
        for (flag, id) in [(SOURCE, ask.source), (AT, ask.at), (OFFER, ask.offer)] {
            if let Some(id) = id {
                shape |= flag;
                ids.push(short(id));
            }
        }
        let excluded = ask.excluded.len();
        ids.extend(ask.excluded.iter().map(|id| short(*id)));
        pack(&mut shape, &mut at, NEXT_BITS, ask.next.into())?;
        pack(&mut shape, &mut at, CHOICES_BITS, ask.choices.len())?;
        pack(&mut shape, &mut at, ROUND_BITS, ask.round.into())?;
        pack(
            &mut shape,
            &mut at,
            EXCLUDED_BITS,
            excluded.min(MANY_EXCLUDED),
        )?;
        let head = Head {
            holder: short(ask.holder),
            ticket: count(ask.ticket),
            chat: ask.chat.to_le_bytes(),
            work_tokens: ask.work_tokens,
            prefix_tokens: ask.prefix_tokens,
            shape: shape.to_le_bytes(),
        };
        Ok(Self {
            stage: ask.stage,
            head,
            ids,
            excluded,
        })
    }
}

impl WireReservationRequest {
    /// Appends the ask; the first byte is above `tag` by the stage.
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

    /// Reads an ask whose first byte was above the tag by `stage`.
    pub(super) fn read(stage: u8, bytes: &[u8]) -> Result<(Self, &[u8]), DatagramError> {
        let stage = STAGES
            .get(usize::from(stage))
            .ok_or(DatagramError::Malformed)?;
        let (head, mut rest) = postcard::take_from_bytes::<Head>(bytes)?;
        let shape = u16::from_le_bytes(head.shape);
        let mut at = 3 + NEXT_BITS;
        let choices = unpack(shape, &mut at, CHOICES_BITS);
        at += ROUND_BITS;
        let mut excluded = unpack(shape, &mut at, EXCLUDED_BITS);
        if excluded == MANY_EXCLUDED {
            let (number, left) = rest.split_first().ok_or(DatagramError::Malformed)?;
            excluded = usize::from(*number);
            rest = left;
        }
        let optional = (shape & (SOURCE | AT | OFFER)).count_ones() as usize;
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

    pub(super) fn resolve(
        &self,
        epoch: u32,
        names: &PlacementIdMaps<'_>,
    ) -> Option<ReservationRequest> {
        let shape = u16::from_le_bytes(self.head.shape);
        let mut at = 3;
        let next = unpack(shape, &mut at, NEXT_BITS);
        let choices = unpack(shape, &mut at, CHOICES_BITS);
        let round = unpack(shape, &mut at, ROUND_BITS);
        let (choices, rest) = self.ids.split_at_checked(choices)?;
        let mut rest = rest.iter();
        let mut optional = |flag, names: &ShortIdMap| -> Option<Option<u64>> {
            if shape & flag == 0 {
                return Some(None);
            }
            names.resolve(*rest.next()?).map(Some)
        };
        let source = optional(SOURCE, names.targets)?;
        let at = optional(AT, names.targets)?;
        let offer = optional(OFFER, names.offers)?;
        let resolve = |id: &ShortId| names.targets.resolve(*id);
        // A target that is not known here cannot be granted here either, so an
        // unknown exclusion can be left out; the order of choices cannot change.
        let excluded = rest.filter_map(resolve).collect();
        Some(ReservationRequest {
            holder: names.instances.resolve(self.head.holder)?,
            ticket: ticket(epoch, self.head.ticket),
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
