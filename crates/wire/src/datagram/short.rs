//! Ids truncated to 32 bits, and the map that resolves them.

use std::collections::BTreeMap;

/// Low 32 bits of an id in little-endian order. Ids are hashes, so a variable-length
/// number would not be shorter.
pub type ShortId = [u8; 4];

/// Truncates an id to its short id.
#[must_use]
pub const fn shorten_id(id: u64) -> ShortId {
    let bytes = id.to_le_bytes();
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

/// Full ids by short id.
///
/// In a fleet of 3,000 members, two ids have the same short id with a probability of
/// 0.1%. Such a short id does not resolve, so that messages with it are dropped instead
/// of being attributed to the wrong member.
#[derive(Clone, Debug, Default)]
pub struct ShortIdMap {
    ids: BTreeMap<ShortId, Option<u64>>,
}

impl ShortIdMap {
    /// Adds an id. When another id has the same short id, neither of them resolves.
    pub fn insert(&mut self, id: u64) {
        let entry = self.ids.entry(shorten_id(id)).or_insert(Some(id));
        if *entry != Some(id) {
            *entry = None;
        }
    }

    /// Returns the full id; `None` when the short id is unknown or ambiguous.
    #[must_use]
    pub fn resolve(&self, short: ShortId) -> Option<u64> {
        self.ids.get(&short).copied().flatten()
    }
}

impl FromIterator<u64> for ShortIdMap {
    fn from_iter<I: IntoIterator<Item = u64>>(ids: I) -> Self {
        let mut map = Self::default();
        ids.into_iter().for_each(|id| map.insert(id));
        map
    }
}
