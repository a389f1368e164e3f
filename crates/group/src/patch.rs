//! Differences between two versions of a text.
//!
//! A change of a configuration usually touches a few routes of a document of hundreds
//! of kilobytes, and every instance already has the version before. A [`Patch`] holds
//! the ranges to copy from that version and the text between them. It applies only to
//! the text that it was made from, and proves its result by a checksum.
//!
//! The base is cut into blocks, which are looked up at every position of the new text
//! that no copied range covers yet; a match is extended in both directions. So a patch
//! is found in time proportional to both lengths, at the price of missing common ranges
//! shorter than two blocks.

use bamboospur_agreement::checksum;
use bamboospur_types::mix64;
use serde::{Deserialize, Serialize};

use crate::compression::{MAX_TEXT_BYTES, compress, decompress};
use crate::document::DocumentVersion;

const BLOCK_BYTES: usize = 32;

/// Range of the base to copy, and the length of the new text that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Edit {
    start: u32,
    length: u32,
    new_bytes: u32,
}

/// Difference that leads from one version of a document to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version that the patch applies to.
    pub base_version: DocumentVersion,
    /// Version that the patch leads to.
    pub version: DocumentVersion,
    base_checksum: u64,
    checksum: u64,
    edits: Vec<Edit>,
    /// New text of all edits, compressed.
    new_text: Vec<u8>,
}

impl Patch {
    /// Returns the difference between two texts, or `None` when one exceeds the size
    /// limit.
    #[must_use]
    pub fn between(base: (DocumentVersion, &[u8]), new: (DocumentVersion, &[u8])) -> Option<Self> {
        let (base_version, base) = base;
        let (version, new) = new;
        if base.len().max(new.len()) > MAX_TEXT_BYTES {
            return None;
        }
        let mut edits = Vec::new();
        let mut new_text = Vec::new();
        let mut push = |range: Range, text: &[u8]| {
            new_text.extend_from_slice(text);
            edits.push(Edit {
                start: to_u32(range.start),
                length: to_u32(range.length),
                new_bytes: to_u32(text.len()),
            });
        };
        let blocks = BlockIndex::new(base);
        let mut last = Range::default();
        // Start of the text that belongs to no copied range yet.
        let mut unmatched_from = 0;
        let mut at = 0;
        while at + BLOCK_BYTES <= new.len() {
            let Some(start) = blocks.find(&new[at..at + BLOCK_BYTES]) else {
                at += 1;
                continue;
            };
            let before = common_suffix(&base[..start], &new[unmatched_from..at]);
            let length = before + common_prefix(&base[start..], &new[at..]);
            push(last, &new[unmatched_from..at - before]);
            last = Range {
                start: start - before,
                length,
            };
            at += length - before;
            unmatched_from = at;
        }
        push(last, &new[unmatched_from..]);
        Some(Self {
            base_version,
            version,
            base_checksum: checksum(base),
            checksum: checksum(new),
            edits,
            new_text: compress(&new_text),
        })
    }

    /// Approximate size of the encoded patch, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.new_text.len() + self.edits.len() * size_of::<Edit>()
    }

    /// Returns the new text; `None` when the base is another text or the patch is
    /// malformed.
    #[must_use]
    pub fn apply(&self, base: &[u8]) -> Option<Vec<u8>> {
        if checksum(base) != self.base_checksum {
            return None;
        }
        let new_text = decompress(&self.new_text).ok()?;
        let copied: u64 = self.edits.iter().map(|e| u64::from(e.length)).sum();
        let total = usize::try_from(copied).ok()?.checked_add(new_text.len())?;
        if total > MAX_TEXT_BYTES {
            return None;
        }
        let mut rest = new_text.as_slice();
        let mut text = Vec::with_capacity(total);
        for edit in &self.edits {
            let start = to_usize(edit.start);
            let end = start.checked_add(to_usize(edit.length))?;
            text.extend_from_slice(base.get(start..end)?);
            let (inserted, after) = rest.split_at_checked(to_usize(edit.new_bytes))?;
            text.extend_from_slice(inserted);
            rest = after;
        }
        (checksum(&text) == self.checksum).then_some(text)
    }
}

/// Range of the base.
#[derive(Clone, Copy, Debug, Default)]
struct Range {
    start: usize,
    length: usize,
}

/// Positions of the blocks of a text, by the hash of their content. Of two blocks with
/// the same slot the later one is found.
struct BlockIndex<'a> {
    text: &'a [u8],
    /// Number of the block plus one; 0 for an empty slot.
    slots: Vec<u32>,
}

impl<'a> BlockIndex<'a> {
    fn new(text: &'a [u8]) -> Self {
        let count = text.len() / BLOCK_BYTES;
        let mut slots = vec![0; (count * 4).next_power_of_two()];
        for (number, block) in text.chunks_exact(BLOCK_BYTES).enumerate() {
            let slot = slot_of(block, slots.len());
            slots[slot] = to_u32(number + 1);
        }
        Self { text, slots }
    }

    /// Returns the position of a block with this content.
    fn find(&self, content: &[u8]) -> Option<usize> {
        let number = self.slots[slot_of(content, self.slots.len())].checked_sub(1)?;
        let start = to_usize(number) * BLOCK_BYTES;
        (self.text.get(start..start + BLOCK_BYTES)? == content).then_some(start)
    }
}

/// Returns the slot of a block; `slots` is a power of two.
fn slot_of(block: &[u8], slots: usize) -> usize {
    let words = block.as_chunks().0;
    let hash = words.iter().fold(0_u64, |hash, word| {
        (hash.rotate_left(5) ^ u64::from_le_bytes(*word)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    });
    usize::try_from(mix64(hash)).unwrap_or_default() & (slots - 1)
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    let pairs = a.iter().rev().zip(b.iter().rev());
    pairs.take_while(|(a, b)| a == b).count()
}

/// Converts a length that [`MAX_TEXT_BYTES`] bounds.
fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn to_usize(length: u32) -> usize {
    usize::try_from(length).unwrap_or(usize::MAX)
}
